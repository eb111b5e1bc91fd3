//! Keeps what was known before the row store came back from a copy in force for a bounded time, until
//! operators and upstreams have written again what the store has lost. No I/O.

use std::collections::HashMap;

use crate::{host_settings::HostSettings, prelude::*, upstream_state::UpstreamRow};

/// Heartbeats of upstreams within which the store again has the rows of those that are alive, and no
/// longer those of the others: it removes a row after three that were missed.
const HEARTBEATS: u32 = 4;

/// Heartbeats of upstreams within which the store again has the rows of those that are alive.
pub(crate) const REWRITE_HEARTBEATS: u32 = 2;

/// How long the removal of an upstream is remembered: longer than the age of any copy.
const REMOVAL_RETENTION: Duration = Duration::from_secs(60);

/// Removal of an upstream's row.
#[derive(Clone, Copy, Debug)]
struct Removal {
    at: Instant,
    /// Start of the process that the row was of, in Unix milliseconds.
    start_time_ms: u64,
}

/// What stays in force after the store has come back from a copy.
#[derive(Debug)]
pub struct Holdover {
    period: Duration,
    until: Instant,
    rewrite_time: Duration,
    rows_rewritten_at: Instant,
    removals: HashMap<Upstream, Removal>,
    /// Rows that the store has again although they are older than what was known.
    held_back: HashMap<Upstream, UpstreamRow>,
}

impl Holdover {
    /// Creates the state of a host for which the store has not come back from a copy.
    pub fn new(host_settings: &HostSettings) -> Self {
        let bounds = &host_settings.bounds;
        let heartbeats = host_settings.heartbeat.saturating_mul(HEARTBEATS);
        let period = heartbeats.max(bounds.evacuate).max(bounds.max_staleness);
        Holdover {
            period,
            until: Instant::ZERO,
            rewrite_time: host_settings.heartbeat.saturating_mul(REWRITE_HEARTBEATS),
            rows_rewritten_at: Instant::ZERO,
            removals: HashMap::new(),
            held_back: HashMap::new(),
        }
    }

    /// Returns how long what was known before stays in force: the longest of four heartbeats, the bound
    /// for evacuations and the staleness bound.
    pub fn period(&self) -> Duration {
        self.period
    }

    /// Starts the period, or starts it anew if it has not ended.
    pub fn start(&mut self, now: Instant) {
        self.until = now + self.period;
        self.rows_rewritten_at = now + self.rewrite_time;
    }

    /// Returns the time from which the store again holds the rows of all upstreams that are alive.
    pub fn rows_rewritten_at(&self) -> Instant {
        self.rows_rewritten_at
    }

    /// Returns whether the store's word does not yet count alone.
    pub fn is_active(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Records that the row of an upstream was removed; `known` is the last one.
    pub fn record_removal(&mut self, now: Instant, id: &Upstream, known: Option<&UpstreamRow>) {
        self.held_back.remove(id);
        self.removals.retain(|_, it| now.since(it.at) < REMOVAL_RETENTION);
        if let Some(known) = known {
            let removal = Removal { at: now, start_time_ms: known.start_time_ms };
            self.removals.insert(id.clone(), removal);
        }
    }

    /// Returns the row of an upstream if it counts now. Until the period ends, an upstream that was
    /// draining or removed does not come back in the same incarnation, and none in an earlier one: the
    /// copy is older than what was known. `known` is the row in force.
    pub fn admit(
        &mut self,
        now: Instant,
        row: UpstreamRow,
        known: Option<&UpstreamRow>,
    ) -> Option<UpstreamRow> {
        let removal = self.removals.get(&row.id);
        let former = match (known, removal) {
            (Some(known), _) => Some((known.start_time_ms, known.draining)),
            (None, removal) => removal.map(|it| (it.start_time_ms, true)),
        };
        let is_older = former.is_some_and(|(start_time_ms, was_out)| {
            let is_same = row.start_time_ms == start_time_ms;
            row.start_time_ms < start_time_ms || is_same && was_out && !row.draining
        });
        if is_older && self.is_active(now) {
            log::info!(upstream = row.id.as_str(), start_time_ms = row.start_time_ms,
                known_start_time_ms = former.map_or(0, |it| it.0),
                left_ms = self.until.since(now).as_millis() as u64;
                "upstream's row is older than what was known, held back");
            self.held_back.insert(row.id.clone(), row);
            return None;
        }
        self.held_back.remove(&row.id);
        self.removals.remove(&row.id);
        Some(row)
    }

    /// Returns the rows that were held back, once the period has ended: the store's word then counts
    /// again.
    pub fn release(&mut self, now: Instant) -> Vec<UpstreamRow> {
        if self.is_active(now) {
            return Vec::new();
        }
        self.held_back.drain().map(|it| it.1).collect()
    }
}
