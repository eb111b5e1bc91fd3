//! Gives up calls to the row store that may never be answered, because they were sent before the store was last silent.
//!
//! Load pattern: the store is silent for some seconds, and what was sent to it by then gets no response, on connections that
//! stay open. New connections work afterwards. A call that waits for changes would keep this host behind until its timeout,
//! although other calls show that the store has been silent and responds again.

use std::{future::Future, sync::Mutex};

use tokio::sync::watch;

use crate::{
    codec::Codec,
    gateway::{Gateway, lock},
    prelude::*,
    row_store::{Page, RowStore, RowStoreError, Table, Write, WriteOutcome},
};

/// Shortest time for which the store refuses all calls, so that it counts as silent to those that wait. Single refusals
/// are a matter of its load.
const MIN_REFUSAL_TIME: Duration = Duration::from_millis(300);

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The store responded.
    Answered,
    /// The store refused the call.
    Refused,
    /// No response came.
    Silent,
}

impl<T> From<&Result<T, RowStoreError>> for Outcome {
    fn from(result: &Result<T, RowStoreError>) -> Self {
        match result {
            Ok(_) | Err(RowStoreError::Compacted | RowStoreError::Unreadable) => Outcome::Answered,
            Err(RowStoreError::Refused(_)) => Outcome::Refused,
            Err(RowStoreError::Unreachable | RowStoreError::OutcomeUnknown) => Outcome::Silent,
        }
    }
}

/// Calls without an answer since the last one that had one.
#[derive(Clone, Copy, Debug)]
struct Failures {
    /// When the first and the last of them were sent.
    first: Instant,
    last: Instant,
    /// Whether one of them got no response.
    has_silence: bool,
}

/// Which calls may never be answered. Does no I/O.
#[derive(Clone, Debug, Default)]
pub struct Silence {
    failures: Option<Failures>,
    /// Calls that were sent before this time may never be answered.
    lost_before: Instant,
}

impl Silence {
    /// Records what became of a call that was sent at `sent_at`. Returns whether other calls may never be answered since
    /// then: those sent before [`lost_before`](Self::lost_before).
    pub fn record(&mut self, sent_at: Instant, outcome: Outcome) -> bool {
        if outcome != Outcome::Answered {
            if sent_at >= self.lost_before {
                let failures = self.failures.get_or_insert(Failures {
                    first: sent_at,
                    last: sent_at,
                    has_silence: false,
                });
                failures.first = failures.first.min(sent_at);
                failures.last = failures.last.max(sent_at);
                failures.has_silence |= outcome == Outcome::Silent;
            }
            return false;
        }
        // An answer to a call from before the failures does not show that they are over.
        let Some(failures) = self.failures.filter(|it| it.last < sent_at) else { return false };
        self.failures = None;
        let was_silent = failures.has_silence || sent_at.since(failures.first) >= MIN_REFUSAL_TIME;
        if was_silent {
            self.lost_before = self.lost_before.max(sent_at);
        }
        was_silent
    }

    /// Returns the time before which calls were sent that may never be answered.
    pub fn lost_before(&self) -> Instant {
        self.lost_before
    }
}

/// Client of the row store that gives up calls which may never be answered; clones share what they know.
#[derive(Debug)]
pub struct Client<C, L> {
    gateway: Arc<Gateway<C>>,
    row_store: L,
    silence: Arc<Mutex<Silence>>,
    lost_before: watch::Sender<Instant>,
}

impl<C, L> Clone for Client<C, L>
where
    L: Clone,
{
    fn clone(&self) -> Self {
        Client {
            gateway: self.gateway.clone(),
            row_store: self.row_store.clone(),
            silence: self.silence.clone(),
            lost_before: self.lost_before.clone(),
        }
    }
}

impl<C, L> Client<C, L>
where
    C: Codec,
    L: RowStore,
{
    /// Creates a client that makes its calls with another one.
    pub fn new(gateway: Arc<Gateway<C>>, row_store: L) -> Self {
        let lost_before = watch::Sender::new(Instant::ZERO);
        Client { gateway, row_store, silence: Arc::default(), lost_before }
    }

    /// Makes a call, and gives it up if it may never be answered.
    async fn call<T, F>(&self, call: F) -> Result<T, RowStoreError>
    where
        F: Future<Output = Result<T, RowStoreError>>,
    {
        let sent_at = self.gateway.now();
        let mut lost_before = self.lost_before.subscribe();
        let result = tokio::select! {
            result = call => result,
            _ = lost_before.wait_for(|it| *it > sent_at) => {
                log::info!(waited_ms = self.gateway.now().since(sent_at).as_millis() as u64;
                    "row store has been silent since a call was sent, gave it up");
                return Err(RowStoreError::OutcomeUnknown);
            }
        };
        let mut silence = lock(&self.silence);
        if silence.record(sent_at, Outcome::from(&result)) {
            self.lost_before.send_replace(silence.lost_before());
        }
        result
    }
}

impl<C, L> RowStore for Client<C, L>
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
        self.call(self.row_store.changes(table, after, wait)).await
    }

    async fn read_table(&self, table: Table) -> Result<Page, RowStoreError> {
        self.call(self.row_store.read_table(table)).await
    }

    async fn write(&self, write: Write) -> Result<WriteOutcome, RowStoreError> {
        self.call(self.row_store.write(write)).await
    }

    fn newest_era(&self) -> u64 {
        self.row_store.newest_era()
    }
}
