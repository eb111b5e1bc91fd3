//! Keeps what was known before the row store came back from a copy in force for a bounded time, until
//! operators and upstreams have written again what the store has lost. No I/O.

use crate::{host_settings::HostSettings, prelude::*};

/// Heartbeats of upstreams within which the store again has the rows of those that are alive, and no
/// longer those of the others: it removes a row after three that were missed.
const HEARTBEATS: u32 = 4;

/// Time for which what was known before stays in force after the store has come back from a copy.
#[derive(Debug)]
pub struct Holdover {
    period: Duration,
    until: Instant,
}

impl Holdover {
    /// Creates the state of a host for which the store has not come back from a copy.
    pub fn new(host_settings: &HostSettings) -> Self {
        let bounds = &host_settings.bounds;
        let heartbeats = host_settings.heartbeat.saturating_mul(HEARTBEATS);
        let period = heartbeats.max(bounds.evacuate).max(bounds.max_staleness);
        Holdover { period, until: Instant::ZERO }
    }

    /// Returns how long what was known before stays in force: the longest of four heartbeats, the bound
    /// for evacuations and the staleness bound.
    pub fn period(&self) -> Duration {
        self.period
    }

    /// Starts the period, or starts it anew if it has not ended.
    pub fn start(&mut self, now: Instant) {
        self.until = now + self.period;
    }

    /// Returns whether the store's word does not yet count alone.
    pub fn is_active(&self, now: Instant) -> bool {
        now < self.until
    }
}
