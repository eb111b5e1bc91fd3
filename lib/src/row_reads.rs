//! Reads of the upstreams' rows that requests wait for. What another host has begun by now, it began at an
//! upstream whose row the store held by now, so rows that are read from now on hold it as well. The age of
//! rows that were read earlier says nothing of that.

use tokio::{
    sync::{Notify, watch},
    time::timeout,
};

use crate::{codec::Codec, gateway::Gateway, prelude::*};

/// How long a request waits for the rows.
pub(crate) const READ_WAIT: Duration = Duration::from_millis(400);

/// How long a stream that can also go on without newer rows waits for them.
pub(crate) const BRIEF_READ_WAIT: Duration = Duration::from_millis(100);

/// Connects requests that need newer rows with the loop that reads them.
#[derive(Debug, Default)]
pub(crate) struct RowReads {
    /// The time as of which the rows are known.
    as_of: watch::Sender<Option<Instant>>,
    /// Notified when a request waits for newer rows.
    wanted: Notify,
}

impl RowReads {
    /// Records that the rows are known as of a time.
    fn record(&self, as_of: Instant) {
        self.as_of.send_if_modified(|known| {
            let is_newer = known.is_none_or(|it| it < as_of);
            if is_newer {
                *known = Some(as_of);
            }
            is_newer
        });
    }

    /// Waits until a request needs newer rows than are known.
    pub(crate) async fn wanted(&self) {
        self.wanted.notified().await;
    }

    /// Asks for rows as of `since` or later, and waits until they are known.
    async fn wait(&self, since: Instant) {
        let mut as_of = self.as_of.subscribe();
        let is_known = |it: &Option<Instant>| it.is_some_and(|it| it >= since);
        if !is_known(&as_of.borrow()) {
            self.wanted.notify_one();
        }
        // The sender is part of `self`, so it cannot be gone.
        let _ = as_of.wait_for(is_known).await;
    }
}

impl<C> Gateway<C>
where
    C: Codec,
{
    /// Records that the rows of the upstreams are known as of a time.
    pub fn set_rows_as_of(&self, as_of: Instant) {
        self.fleet().set_rows_as_of(as_of);
        self.row_reads.record(as_of);
    }

    /// Waits, for at most `wait`, until the rows of the upstreams are known as of `since` or later. Returns
    /// whether they are, and hold every upstream that was in use by then.
    pub(crate) async fn wait_for_rows(&self, since: Instant, wait: Duration) -> bool {
        // A store that has come back from a copy lacks the rows of the newest upstreams for a while.
        let needed = || since.max(self.holdover().rows_rewritten_at());
        let rows = async {
            let mut known = Instant::ZERO;
            // The read that is waited for may be the first one to show it.
            while known < needed() {
                known = needed();
                self.row_reads.wait(known).await;
            }
        };
        timeout(wait, rows).await.is_ok()
    }
}
