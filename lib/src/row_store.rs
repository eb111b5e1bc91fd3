//! What the gateway asks of the platform's store: tables of rows, changes, transactions.

use std::future::Future;

use thiserror::Error as ThisError;

use crate::{prelude::*, replica::Row};

/// The tables that the gateway reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Table {
    /// What operators ask for.
    Operators,
    /// Upstreams.
    Upstreams,
    /// Hosts of this system.
    Hosts,
    /// Leases of this system.
    Leases,
}

impl Table {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Table::Operators => "operators",
            Table::Upstreams => "upstreams",
            Table::Hosts => "hosts",
            Table::Leases => "leases",
        }
    }
}

/// Rows as of a version, or the changes up to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// The store's version.
    pub version: u64,
    /// The store's steady clock.
    pub clock: Duration,
}

/// One write of a row.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// The table.
    pub table: Table,
    /// The row's key.
    pub key: FastStr,
    /// The new value; none removes the row.
    pub value: Option<Bytes>,
    /// Version that the row must have, 0 for none; not checked where not set.
    pub expected_version: Option<u64>,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It was done and is the row's last change.
    Committed {
        /// The store's version after it.
        version: u64,
        /// The store's steady clock.
        clock: Duration,
    },
    /// The row had another version.
    Conflict,
}

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ThisError)]
pub enum RowStoreError {
    /// The changes asked for are no longer kept.
    #[error("the changes are no longer kept")]
    Compacted,
    /// Nothing was done.
    #[error("refused with status {0}")]
    Refused(u16),
    /// Nothing was sent.
    #[error("not reachable")]
    Unreachable,
    /// A write may have been done, or may be done later.
    #[error("no answer")]
    OutcomeUnknown,
    /// The answer cannot be read.
    #[error("the answer cannot be read")]
    Unreadable,
}

/// The store.
pub trait RowStore: Clone + Send + Sync + 'static {
    /// Waits at most `wait` for changes of a table after a version.
    fn changes(
        &self,
        table: Table,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, RowStoreError>> + Send;

    /// Reads a whole table.
    fn read_table(&self, table: Table) -> impl Future<Output = Result<Page, RowStoreError>> + Send;

    /// Writes one row.
    fn write(
        &self,
        write: Write,
    ) -> impl Future<Output = Result<WriteOutcome, RowStoreError>> + Send;
}
