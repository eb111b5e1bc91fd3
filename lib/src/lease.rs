//! A lease kept in a row of the row store: which host may order upstreams to load weights, and
//! under which fencing token.
//!
//! Times in the row are by the row store's monotonic clock, which hosts cannot influence. A holder
//! counts its own time from before it read that clock, so it stops acting on the lease before the
//! lease ends by the row. No I/O.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Time for which a lease is acquired. It is renewed while there is work.
const LEASE_DURATION: Duration = Duration::from_millis(1300);
/// Remaining time of a lease at which it is renewed.
const RENEW_BEFORE_END: Duration = Duration::from_millis(800);
/// How long before the end of the lease the holder stops acting, to allow for the time between a
/// check of the lease and the action that follows it.
const SAFETY_MARGIN: Duration = Duration::from_millis(200);

/// Most target weight versions that a row keeps: enough for those whose rollout bound may not have
/// ended.
const MAX_TARGETS: usize = 8;

/// When operators set a target weight version, for hosts that start later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The model.
    pub model: String,
    /// The weight version.
    pub version: u32,
    /// When it was set, in milliseconds of the row store's clock.
    pub since_ms: u64,
}

/// The lease's row in the row store, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The host that holds the lease.
    pub holder: String,
    /// Identifies the holder's process start: a host that has restarted is another holder.
    pub boot: u64,
    /// Fencing token. Increases with each holder.
    pub fence: u64,
    /// When the lease ends, in milliseconds of the row store's clock.
    pub until_ms: u64,
    /// The most recent target weight versions.
    #[serde(default, rename = "namings")]
    pub targets: Vec<Target>,
}

/// Next action for the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write this row if the stored row has the expected version.
    Write {
        /// The new row.
        row: LeaseRow,
        /// The version that the stored row must have; 0 means that there must be no row.
        expected_version: u64,
        /// Until when this host holds the lease if the write succeeds.
        until: Instant,
    },
    /// The lease is not free; read the row again after this time.
    Wait(Duration),
    /// This host holds the lease and need not renew it yet.
    Hold,
}

/// One host's view of the lease.
#[derive(Clone, Debug)]
pub struct Lease {
    host: Host,
    boot: u64,
    /// How long after the end of a holder's lease the next holder must wait.
    takeover_delay: Duration,
    held: Option<Held>,
    targets: Vec<Target>,
    /// Version of a stored row that cannot be read, and the row store's clock when this host first saw
    /// it, in milliseconds.
    unreadable: Option<(u64, u64)>,
    /// Latest time at which this host may have acted, or the previous holder if this one has not,
    /// in milliseconds of the row store's clock.
    last_activity_ms: u64,
}

/// The lease as this host last wrote it.
#[derive(Clone, Debug)]
struct Held {
    row: LeaseRow,
    /// Version of the stored row.
    version: u64,
    /// When the lease ends by the holder's own clock.
    until: Instant,
    /// A time just before the last write was sent.
    sent_at: Instant,
    /// The row store's clock in the response to the last write.
    store_clock: Duration,
}

impl Lease {
    /// Creates the view of a host that does not hold the lease. `boot` identifies its process
    /// start; `takeover_delay` is how long after the end of a holder's lease the next holder must
    /// wait.
    pub fn new(host: Host, boot: u64, takeover_delay: Duration) -> Self {
        Lease {
            host,
            boot,
            takeover_delay,
            held: None,
            targets: Vec::new(),
            unreadable: None,
            last_activity_ms: 0,
        }
    }

    /// Returns the fencing token while this host holds the lease.
    pub fn fencing_token(&self, now: Instant) -> Option<u64> {
        let held = self.held.as_ref()?;
        (now + SAFETY_MARGIN < held.until).then_some(held.row.fence)
    }

    /// Returns whether the lease is not held, or is due for renewal.
    pub fn needs_renewal(&self, now: Instant) -> bool {
        self.held.as_ref().is_none_or(|it| now + RENEW_BEFORE_END >= it.until)
    }

    /// Decides whether to acquire, renew, keep or wait for the lease. `row` is the stored row with
    /// its version, `requested_at` the time before it was requested, `clock` the row store's clock
    /// in the response.
    pub fn next_action(
        &mut self,
        requested_at: Instant,
        clock: Duration,
        row: Option<(LeaseRow, u64)>,
    ) -> Action {
        if let Some((row, _)) = &row {
            self.add_targets(row.targets.clone());
        }
        let now_ms = millis(clock);
        let until_ms = now_ms + millis(LEASE_DURATION);
        let new_row = |fence| LeaseRow {
            holder: self.host.to_string(),
            boot: self.boot,
            fence,
            until_ms,
            targets: self.targets.clone(),
        };
        let until = requested_at + LEASE_DURATION;
        match row {
            None => Action::Write { row: new_row(1), expected_version: 0, until },
            Some((row, version)) if self.is_own(&row) && row.until_ms > now_ms => {
                match self.needs_renewal(requested_at) {
                    true => {
                        Action::Write { row: new_row(row.fence), expected_version: version, until }
                    }
                    false => Action::Hold,
                }
            }
            Some((row, version)) => {
                // The delay also applies to this host's own expired lease: its orders may still be
                // in flight.
                let free_at_ms = row.until_ms + millis(self.takeover_delay);
                if now_ms < free_at_ms {
                    return Action::Wait(Duration::from_millis(free_at_ms - now_ms));
                }
                self.last_activity_ms = row.until_ms;
                Action::Write { row: new_row(row.fence + 1), expected_version: version, until }
            }
        }
    }

    /// Decides what to do about a stored row that cannot be read: it is replaced once any lease in it
    /// must have ended. `version` is the row's version; the other arguments are those of
    /// [`next_action`](Self::next_action).
    pub fn replace_unreadable(
        &mut self,
        requested_at: Instant,
        clock: Duration,
        version: u64,
    ) -> Action {
        let now_ms = millis(clock);
        let first_seen_ms = match self.unreadable {
            Some((seen, at)) if seen == version => at,
            _ => now_ms,
        };
        self.unreadable = Some((version, first_seen_ms));
        let free_at_ms = first_seen_ms + millis(LEASE_DURATION + self.takeover_delay);
        if now_ms < free_at_ms {
            return Action::Wait(Duration::from_millis(free_at_ms - now_ms));
        }
        self.last_activity_ms = now_ms;
        let row = LeaseRow {
            holder: self.host.to_string(),
            boot: self.boot,
            // Each fencing token took a write, and each write a version.
            fence: version + 1,
            until_ms: now_ms + millis(LEASE_DURATION),
            targets: self.targets.clone(),
        };
        Action::Write { row, expected_version: version, until: requested_at + LEASE_DURATION }
    }

    /// Records that a row was written, so this host holds the lease. `sent_at` is the time before
    /// the write was sent, `store_clock` the row store's clock in the response.
    pub fn record_write(
        &mut self,
        row: LeaseRow,
        version: u64,
        until: Instant,
        sent_at: Instant,
        store_clock: Duration,
    ) {
        self.held = Some(Held { row, version, until, sent_at, store_clock });
    }

    /// Returns the write that renews the lease without reading the row first. The write fails if
    /// another host has acquired the lease. Returns `None` while no renewal is due or the lease is
    /// not held.
    pub fn renewal(&self, now: Instant) -> Option<Action> {
        let held = self.held.as_ref()?;
        self.fencing_token(now)?;
        if !self.needs_renewal(now) {
            return None;
        }
        // The row store's clock is at most this: its response was read after `sent_at`.
        let max_clock = held.store_clock + now.since(held.sent_at);
        let until_ms = millis(max_clock + LEASE_DURATION);
        let row = LeaseRow { until_ms, targets: self.targets.clone(), ..held.row.clone() };
        // The end of the lease by the row may be late by the duration of one call. By the holder's
        // own clock it is not.
        Some(Action::Write { row, expected_version: held.version, until: now + LEASE_DURATION })
    }

    /// Returns an upper bound of the row store's clock at a local time, or `None` while the lease
    /// is not held.
    pub fn store_time(&self, now: Instant) -> Option<Duration> {
        let held = self.held.as_ref()?;
        Some(held.store_clock + now.since(held.sent_at))
    }

    /// Adds target weight versions to those that are stored with the lease. Versions that are
    /// known already keep their time.
    pub fn add_targets(&mut self, targets: Vec<Target>) {
        for target in targets {
            let known =
                |it: &Target| (it.model == target.model, it.version) == (true, target.version);
            if !self.targets.iter().any(known) {
                self.targets.push(target);
            }
        }
        self.targets.sort_by_key(|it| it.since_ms);
        let excess = self.targets.len().saturating_sub(MAX_TARGETS);
        self.targets.drain(..excess);
    }

    /// Records that this host does not hold the lease, or cannot know that it does.
    pub fn mark_lost(&mut self) {
        self.held = None;
    }

    /// Records that this host may have acted under the lease up to `now`.
    pub fn record_activity(&mut self, now: Instant) {
        if let Some(clock) = self.store_time(now) {
            self.last_activity_ms = self.last_activity_ms.max(millis(clock));
        }
    }

    /// Releases the lease. Returns the row to write and the version that the stored row must have.
    /// By that row the lease ended when a holder last acted, so that the next holder waits no
    /// longer than needed.
    pub fn release(&mut self) -> Option<(LeaseRow, u64)> {
        let held = self.held.take()?;
        let until_ms = held.row.until_ms.min(self.last_activity_ms);
        Some((LeaseRow { until_ms, ..held.row }, held.version))
    }

    fn is_own(&self, row: &LeaseRow) -> bool {
        row.holder == self.host.as_str() && row.boot == self.boot
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
