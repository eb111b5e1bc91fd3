//! Interface of the platform's row store, which the gateway uses: reading tables and their changes,
//! and writing rows on condition of their version. The table service of `mothvale serve` is in
//! [`table`](crate::table).

use std::future::Future;

use thiserror::Error as ThisError;

use crate::{
    prelude::*,
    replica::{Revision, Row},
};

/// Longest wait for a response, in addition to the time for which the store may hold a call for changes.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1300);

/// Tables of the row store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Table {
    /// The configuration, evacuated zones and target weight versions that operators have set.
    Operators,
    /// Upstreams, each of which writes its own row.
    Upstreams,
    /// Gateway hosts.
    Hosts,
    /// Leases that gateway hosts hold.
    Leases,
    /// The builds that each service has had lately.
    Builds,
    /// The builds at which streams began.
    Streams,
    /// What crashes upstreams.
    Crashes,
    /// What gateway hosts tell operators of their orders.
    Status,
}

impl Table {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Table::Operators => "operators",
            Table::Upstreams => "upstreams",
            Table::Hosts => "hosts",
            Table::Leases => "leases",
            Table::Builds => "builds",
            Table::Streams => "streams",
            Table::Crashes => "crashes",
            Table::Status => "status",
        }
    }
}

/// All rows of a table as of a version, or the changes up to that version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// The store's version that the rows are as of.
    pub version: u64,
    /// How often the store has come back from a copy. Versions are comparable only within an era.
    pub era: u64,
    /// The store's monotonic clock when it responded.
    pub clock: Duration,
}

impl Page {
    /// Returns the point in the store's history that the rows are as of.
    pub fn revision(&self) -> Revision {
        Revision { era: self.era, version: self.version }
    }
}

/// One write of a row.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// The table.
    pub table: Table,
    /// The row's key.
    pub key: FastStr,
    /// The new value; `None` removes the row.
    pub value: Option<Bytes>,
    /// Version that the row must have for the write to be done, 0 for a row that must not exist;
    /// `None` writes unconditionally.
    pub expected_version: Option<u64>,
}

/// Outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was done and is the row's last change.
    Committed {
        /// The store's version after the write.
        version: u64,
        /// The store's era in which the write was done.
        era: u64,
        /// The store's monotonic clock when it responded.
        clock: Duration,
    },
    /// The row did not have the expected version; nothing was written.
    Conflict,
}

/// Failure of a call to the row store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ThisError)]
pub enum RowStoreError {
    /// The store no longer has all changes after the given version, or came back from a copy while
    /// a table was read. The whole table has to be read.
    #[error("the changes were compacted")]
    Compacted,
    /// The store refused the call with this HTTP status; nothing was done.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The store could not be reached; nothing was sent.
    #[error("not reachable")]
    Unreachable,
    /// No response came; a write may have been done, or may still be done later.
    #[error("no answer")]
    OutcomeUnknown,
    /// The response cannot be read.
    #[error("the answer cannot be read")]
    Unreadable,
}

/// Client of the row store.
pub trait RowStore: Clone + Send + Sync + 'static {
    /// Returns the changes of a table after version `after`; waits up to `wait` while there are
    /// none, and [`RESPONSE_TIMEOUT`] longer for the response.
    fn changes(
        &self,
        table: Table,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, RowStoreError>> + Send;

    /// Returns all rows of a table.
    fn read_table(&self, table: Table) -> impl Future<Output = Result<Page, RowStoreError>> + Send;

    /// Writes or removes one row.
    fn write(
        &self,
        write: Write,
    ) -> impl Future<Output = Result<WriteOutcome, RowStoreError>> + Send;

    /// Returns the newest era of all answers so far, also of errors and conflicts; 0 if the store
    /// names none.
    fn newest_era(&self) -> u64 {
        0
    }
}
