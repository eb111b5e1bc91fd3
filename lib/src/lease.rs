//! A lease kept in a row of the row store: which host may order upstreams to load weights, and
//! under which fencing token.
//!
//! Times in the row are by the row store's monotonic clock, which hosts cannot influence. A holder
//! counts its own time from before it read that clock, so it stops acting on the lease before the
//! lease ends by the row.
//!
//! When the row store comes back from a copy, rows that it had acknowledged may be gone, and its
//! versions are given out again. Nothing of a former era is relied on then: fencing tokens tell the
//! era in which they were taken, a lease of a former era ends at once for its holder, and the others
//! wait by their own clocks until it must have ended. No I/O.

use serde::{Deserialize, Serialize};

use crate::{era_watch::Sighting, prelude::*};

/// Time for which a lease is acquired. It is renewed while there is work.
const LEASE_DURATION: Duration = Duration::from_millis(1300);
/// Remaining time of a lease at which it is renewed.
const RENEW_BEFORE_END: Duration = Duration::from_millis(800);
/// How long before the end of the lease the holder stops acting, to allow for the time between a
/// check of the lease and the action that follows it.
const SAFETY_MARGIN: Duration = Duration::from_millis(200);

/// Fencing tokens of an era of the row store start at the era times this, above all tokens of former
/// eras. Leaves room for the versions of one era: 4,000 a second for 30 years.
const TOKENS_PER_ERA: u64 = 1 << 42;
/// Number of eras that have tokens. Tokens are JSON numbers, which are exact below 2^53.
const ERAS_WITH_TOKENS: u64 = 1 << 11;

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

impl LeaseRow {
    /// Returns how long ago a target of this row was set, by the row store's clock in a response of
    /// this era. Returns `None` if it is unknown: the clock of a former era was ahead of this one.
    pub fn target_age(&self, target: &Target, clock: Duration, era: u64) -> Option<Duration> {
        let since = Duration::from_millis(target.since_ms);
        let is_ahead = token_era(self.fence) < era && since > clock;
        (!is_ahead).then(|| clock.saturating_sub(since))
    }
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

/// A rise of the row store's era, as a host learns of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rise {
    /// The former era.
    pub from: u64,
    /// The present era.
    pub to: u64,
    /// Whether this host's lease of the former era was running. It may acquire the lease again at
    /// once.
    pub was_held: bool,
    /// How long this host waits before it acquires the lease, unless it finds a row of the present era.
    pub wait: Duration,
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
    /// The newest era of the row store.
    store_era: Sighting,
    /// When this host's lease of a former era ends by its own clock, if it has not been acquired again
    /// since the era rose. No other host can have acquired the lease before.
    former_until: Option<Instant>,
    /// Version of a stored row that was written in a former era, and when this host first saw it.
    former_row: Option<(u64, Instant)>,
    /// The row store's clock in the newest response, and a local time after which it came.
    clock_seen: Option<(Instant, Duration)>,
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
            store_era: Sighting::default(),
            former_until: None,
            former_row: None,
            clock_seen: None,
            last_activity_ms: 0,
        }
    }

    /// Records the newest era of the row store that this host has seen. When it rises, this host does
    /// not hold the lease any more, and forgets what is only true of the former era: versions, and
    /// times of the store's clock. Returns the rise.
    pub fn observe_era(&mut self, now: Instant, store_era: Sighting) -> Option<Rise> {
        let former = self.store_era.era;
        if store_era.era < former {
            return None;
        }
        self.store_era = store_era;
        if store_era.era == former {
            return None;
        }
        let was_held = self.fencing_token(now).is_some();
        if let Some(held) = self.held.take() {
            self.former_until = Some(held.until);
        }
        self.targets.clear();
        self.unreadable = None;
        self.former_row = None;
        self.clock_seen = None;
        let free_at = match self.is_former_holder(now) {
            true => now,
            false => store_era.first_seen + LEASE_DURATION + self.takeover_delay,
        };
        Some(Rise { from: former, to: store_era.era, was_held, wait: free_at.since(now) })
    }

    /// Returns whether this host's lease of a former era would still run, so that it need not wait to
    /// acquire the lease again.
    pub fn is_former_holder(&self, now: Instant) -> bool {
        self.former_until.is_some_and(|it| now + SAFETY_MARGIN < it)
    }

    /// Returns the newest era of the row store that this host has seen.
    pub fn store_era(&self) -> u64 {
        self.store_era.era
    }

    /// Returns whether a row was decided on in the present era of the store. A write of a row of a
    /// former era must not be sent: the store may have given out the expected version again.
    pub fn is_current(&self, row: &LeaseRow) -> bool {
        token_era(row.fence) == self.store_era.era
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
    /// in the response. The response is of the era that was observed last.
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
        let era = self.store_era.era;
        // Without a row, no host has acquired the lease in the present era.
        let row_era = row.as_ref().map_or(0, |it| token_era(it.0.fence));
        match row {
            Some((row, version)) if row_era > era => {
                // Either the store does not name its era any more, or another program wrote the row.
                log::error!(fence = row.fence, version = version, era = era;
                    "lease row is of a later era than the row store; no orders are given");
                Action::Wait(LEASE_DURATION + self.takeover_delay)
            }
            row if row_era < era => {
                let version = row.map_or(0, |it| it.1);
                let free_at = self.former_era_end(requested_at, version);
                if requested_at < free_at {
                    return Action::Wait(free_at.since(requested_at));
                }
                self.last_activity_ms = now_ms;
                self.write_action(requested_at, clock, self.era_token(version), version)
            }
            None => self.write_action(requested_at, clock, Some(1), 0),
            Some((row, version)) if self.is_own(&row) && row.until_ms > now_ms => {
                match self.needs_renewal(requested_at) {
                    true => self.write_action(requested_at, clock, Some(row.fence), version),
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
                let fence = match era {
                    0 => Some(row.fence + 1).filter(|it| token_era(*it) == 0),
                    _ => self.era_token(version),
                };
                self.write_action(requested_at, clock, fence, version)
            }
        }
    }

    /// Returns when any lease of a former era has ended, and the takeover delay after it, if the
    /// stored row is of a former era. `version` is the row's version, 0 if there is none.
    fn former_era_end(&mut self, now: Instant, version: u64) -> Instant {
        if self.is_former_holder(now) {
            return now;
        }
        // A write of a former era may be carried out late and replace the row of a holder of the
        // present era. So the time counts from when the row is known to have been there.
        let known_since = match (version, self.store_era.version) {
            (0, _) => self.store_era.first_seen,
            (_, Some((newest, at))) if version <= newest => at,
            _ => match self.former_row {
                Some((seen, at)) if seen == version => at,
                _ => now,
            },
        };
        self.former_row = Some((version, known_since));
        known_since + LEASE_DURATION + self.takeover_delay
    }

    /// Returns the fencing token of the host that replaces a row with this version in the present
    /// era. Each version is replaced once in an era, so each token has one holder.
    fn era_token(&self, version: u64) -> Option<u64> {
        let fits = self.store_era.era < ERAS_WITH_TOKENS && version < TOKENS_PER_ERA - 1;
        fits.then(|| self.store_era.era * TOKENS_PER_ERA + version + 1)
    }

    /// Returns the write that acquires or renews the lease; waits if there is no fencing token.
    fn write_action(
        &self,
        requested_at: Instant,
        clock: Duration,
        fence: Option<u64>,
        expected_version: u64,
    ) -> Action {
        let Some(fence) = fence else {
            log::error!(version = expected_version, era = self.store_era.era;
                "no fencing token for this era and version of the row store; no orders are given");
            return Action::Wait(LEASE_DURATION + self.takeover_delay);
        };
        let row = LeaseRow {
            holder: self.host.to_string(),
            boot: self.boot,
            fence,
            until_ms: millis(clock + LEASE_DURATION),
            targets: self.targets.clone(),
        };
        Action::Write { row, expected_version, until: requested_at + LEASE_DURATION }
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
        // Each fencing token took a write, and each write a version.
        self.write_action(requested_at, clock, self.era_token(version), version)
    }

    /// Records that a row was written, so this host holds the lease, unless the row store's era has
    /// risen since the row was decided on. `sent_at` is the time before
    /// the write was sent, `store_clock` the row store's clock in the response.
    pub fn record_write(
        &mut self,
        row: LeaseRow,
        version: u64,
        until: Instant,
        sent_at: Instant,
        store_clock: Duration,
    ) {
        if !self.is_current(&row) {
            self.held = None;
            return;
        }
        self.former_until = None;
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

    /// Records the row store's clock in a response that has come before `now`.
    pub fn observe_clock(&mut self, now: Instant, clock: Duration) {
        self.clock_seen = Some((now, clock));
    }

    /// Returns a lower bound of the row store's clock at a local time, or `None` if no response has been
    /// observed in this era. Targets are dated by it: no host may take one for younger than it is.
    pub fn min_store_time(&self, now: Instant) -> Option<Duration> {
        let (seen_at, clock) = self.clock_seen?;
        Some(clock + now.since(seen_at))
    }

    /// Adds target weight versions to those that are stored with the lease. Of two times of the same
    /// version the earlier one is kept, so that no host takes it for younger than it is.
    pub fn add_targets(&mut self, targets: Vec<Target>) {
        for target in targets {
            let known = |it: &&mut Target| it.model == target.model && it.version == target.version;
            match self.targets.iter_mut().find(known) {
                Some(known) => known.since_ms = known.since_ms.min(target.since_ms),
                None => self.targets.push(target),
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

/// Returns the era of the row store in which a fencing token was taken.
fn token_era(fence: u64) -> u64 {
    fence / TOKENS_PER_ERA
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
