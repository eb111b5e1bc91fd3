//! The newest era of the row store that any answer has told this host, and since when.
//!
//! The era rises by one each time the store comes back from a copy: writes that it had acknowledged
//! may be gone, and versions are given out again.

use crate::{
    codec::Codec,
    gateway::Gateway,
    prelude::*,
    row_store::{Page, RowStore, RowStoreError, Table, Write, WriteOutcome},
};

/// What this host knows of the store's present era. Era 0 is that of a store that has never come
/// back from a copy, or names no era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sighting {
    /// The newest era of any answer.
    pub era: u64,
    /// When the first answer of that era came.
    pub first_seen: Instant,
    /// The store's version in the first answer of the era that told one, and when it came. The store
    /// gave out this version and all lower ones before then.
    pub version: Option<(u64, Instant)>,
}

impl Sighting {
    /// Records the era of an answer, and the store's version if the answer told it. Answers of older
    /// eras, which come late, change nothing.
    pub fn observe(&mut self, now: Instant, era: u64, version: Option<u64>) {
        if era > self.era {
            *self = Sighting { era, first_seen: now, version: None };
        }
        if era == self.era && self.version.is_none() {
            self.version = version.map(|it| (it, now));
        }
    }
}

/// A client of the row store whose answers all tell the gateway their era.
#[derive(Debug)]
pub struct Watched<C, L> {
    /// The gateway that is told.
    pub gateway: Arc<Gateway<C>>,
    /// The client.
    pub row_store: L,
}

impl<C, L> Clone for Watched<C, L>
where
    L: Clone,
{
    fn clone(&self) -> Self {
        Watched { gateway: self.gateway.clone(), row_store: self.row_store.clone() }
    }
}

impl<C, L> Watched<C, L>
where
    C: Codec,
    L: RowStore,
{
    fn observe<T, F>(
        &self,
        result: Result<T, RowStoreError>,
        era_and_version: F,
    ) -> Result<T, RowStoreError>
    where
        F: Fn(&T) -> Option<(u64, u64)>,
    {
        if let Some((era, version)) = result.as_ref().ok().and_then(era_and_version) {
            self.gateway.observe_store_era(era, Some(version));
        }
        // Also errors and conflicts are answers.
        self.gateway.observe_store_era(self.row_store.newest_era(), None);
        result
    }
}

impl<C, L> RowStore for Watched<C, L>
where
    C: Codec,
    L: RowStore,
{
    async fn changes(
        &self,
        table: Table,
        after: u64,
        wait: Duration,
    ) -> Result<Page, RowStoreError> {
        let result = self.row_store.changes(table, after, wait).await;
        self.observe(result, |it| Some((it.era, it.version)))
    }

    async fn read_table(&self, table: Table) -> Result<Page, RowStoreError> {
        let result = self.row_store.read_table(table).await;
        self.observe(result, |it| Some((it.era, it.version)))
    }

    async fn write(&self, write: Write) -> Result<WriteOutcome, RowStoreError> {
        let result = self.row_store.write(write).await;
        self.observe(result, |it| match it {
            WriteOutcome::Committed { era, version, .. } => Some((*era, *version)),
            WriteOutcome::Conflict => None,
        })
    }

    fn newest_era(&self) -> u64 {
        self.row_store.newest_era()
    }
}
