//! A lease in a row of the store: who may give orders, and under which fencing number.
//!
//! Times of the row are the store's steady clock, which no host can bend. A holder counts its
//! own time from before it read that clock, so its belief ends before the row's time does.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// How long a lease is taken for; renewed while there is work.
const TERM: Duration = Duration::from_millis(1300);
/// Left of the term when a lease is renewed.
const RENEWAL: Duration = Duration::from_millis(800);
/// Taken off the holder's own time for what lies between a check and what it allows.
const MARGIN: Duration = Duration::from_millis(200);

/// Namings of weights that a row keeps: those whose bounds may still run.
const MAX_TARGETS: usize = 8;

/// When operators named a weight version, for hosts that start later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The model.
    pub model: String,
    /// The version.
    pub version: u32,
    /// The time, in milliseconds of the store's clock.
    pub since_ms: u64,
}

/// The row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Who holds it.
    pub holder: String,
    /// Identifies the holder's start: a host that comes back is another holder.
    pub boot: u64,
    /// Grows with each holder.
    pub fence: u64,
    /// When it ends, in milliseconds of the store's clock.
    pub until_ms: u64,
    /// The weights that were named last.
    #[serde(default, rename = "namings")]
    pub targets: Vec<Target>,
}

/// What is to be done about the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write this row, if the row still has this version; 0 means that there is none.
    Write {
        /// The new row.
        row: Row,
        /// The version that the row must have.
        expected_version: u64,
        /// Until when this host may act if the write is done.
        until: Instant,
    },
    /// Another host holds it; look again after this time.
    Wait(Duration),
    /// This host holds it.
    Hold,
}

/// One host's side of the lease.
#[derive(Clone, Debug)]
pub struct Lease {
    me: Host,
    boot: u64,
    /// How long a former holder must have been silent.
    pause: Duration,
    held: Option<Held>,
    targets: Vec<Target>,
    /// When this host may last have acted, or a former holder if this one has not; in
    /// milliseconds of the store's clock.
    acted_ms: u64,
}

#[derive(Clone, Debug)]
struct Held {
    row: Row,
    version: u64,
    until: Instant,
    /// Before the last write was sent.
    asked: Instant,
    /// The store's clock in the answer to it.
    clock: Duration,
}

impl Lease {
    /// Creates the side of a host that holds nothing. `boot` identifies its start, `pause` is
    /// how long a former holder must have been silent before the next one acts.
    pub fn new(me: Host, boot: u64, pause: Duration) -> Self {
        Lease { me, boot, pause, held: None, targets: Vec::new(), acted_ms: 0 }
    }

    /// Returns the fencing number while this host may act.
    pub fn fencing_token(&self, now: Instant) -> Option<u64> {
        let held = self.held.as_ref()?;
        (now + MARGIN < held.until).then_some(held.row.fence)
    }

    /// Tells whether the lease should be read and written before there is more to do.
    pub fn needs_renewal(&self, now: Instant) -> bool {
        self.held.as_ref().is_none_or(|it| now + RENEWAL >= it.until)
    }

    /// Decides on the row as the store has it. `asked` is the time before it was asked for,
    /// `clock` the store's clock in the answer.
    pub fn next_action(
        &mut self,
        asked: Instant,
        clock: Duration,
        row: Option<(Row, u64)>,
    ) -> Action {
        if let Some((row, _)) = &row {
            self.add_targets(row.targets.clone());
        }
        let now_ms = millis(clock);
        let until_ms = now_ms + millis(TERM);
        let own = |fence| Row {
            holder: self.me.to_string(),
            boot: self.boot,
            fence,
            until_ms,
            targets: self.targets.clone(),
        };
        let until = asked + TERM;
        match row {
            None => Action::Write { row: own(1), expected_version: 0, until },
            Some((row, version)) if self.is_own(&row) && row.until_ms > now_ms => {
                match self.needs_renewal(asked) {
                    true => Action::Write { row: own(row.fence), expected_version: version, until },
                    false => Action::Hold,
                }
            }
            Some((row, version)) => {
                // Also a host's own row that ran out: its orders may still be on their way.
                let free_ms = row.until_ms + millis(self.pause);
                if now_ms < free_ms {
                    return Action::Wait(Duration::from_millis(free_ms - now_ms));
                }
                self.acted_ms = row.until_ms;
                Action::Write { row: own(row.fence + 1), expected_version: version, until }
            }
        }
    }

    /// Takes that a row was written. `asked` is the time before the write was sent, `clock` the
    /// store's clock in its answer.
    pub fn record_write(
        &mut self,
        row: Row,
        version: u64,
        until: Instant,
        asked: Instant,
        clock: Duration,
    ) {
        self.held = Some(Held { row, version, until, asked, clock });
    }

    /// Returns the write that renews the lease without reading it first: it fails if another
    /// holder has come. None while it need not be renewed, or is not held.
    pub fn renewal(&self, now: Instant) -> Option<Action> {
        let held = self.held.as_ref()?;
        self.fencing_token(now)?;
        if !self.needs_renewal(now) {
            return None;
        }
        // The store's clock shows at most this: its answer was read after `asked`.
        let most = held.clock + now.since(held.asked);
        let until_ms = millis(most + TERM);
        let row = Row { until_ms, targets: self.targets.clone(), ..held.row.clone() };
        // The row's time may run ahead of the store's by the time of one call; the holder's
        // own time does not.
        Some(Action::Write { row, expected_version: held.version, until: now + TERM })
    }

    /// Returns the store's clock at a time, at most; none while the lease is not held.
    pub fn store_time(&self, now: Instant) -> Option<Duration> {
        let held = self.held.as_ref()?;
        Some(held.clock + now.since(held.asked))
    }

    /// Takes when weights were named; what is known already stays.
    pub fn add_targets(&mut self, targets: Vec<Target>) {
        for target in targets {
            let known =
                |it: &Target| (it.model == target.model, it.version) == (true, target.version);
            if !self.targets.iter().any(known) {
                self.targets.push(target);
            }
        }
        self.targets.sort_by_key(|it| it.since_ms);
        let old = self.targets.len().saturating_sub(MAX_TARGETS);
        self.targets.drain(..old);
    }

    /// Takes that it is not known, or not so, that this host holds the lease.
    pub fn mark_lost(&mut self) {
        self.held = None;
    }

    /// Takes that this host may act until now.
    pub fn record_activity(&mut self, now: Instant) {
        if let Some(clock) = self.store_time(now) {
            self.acted_ms = self.acted_ms.max(millis(clock));
        }
    }

    /// Gives the lease up: returns the row that ends it when a holder last acted, so that the
    /// next one need not wait for longer than that asks for, and the version it must have.
    pub fn release(&mut self) -> Option<(Row, u64)> {
        let held = self.held.take()?;
        let until_ms = held.row.until_ms.min(self.acted_ms);
        Some((Row { until_ms, ..held.row }, held.version))
    }

    fn is_own(&self, row: &Row) -> bool {
        row.holder == self.me.as_str() && row.boot == self.boot
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
