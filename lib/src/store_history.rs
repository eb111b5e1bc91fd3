//! Remembers at which times the row store was seen at which version. This bounds the age of a row that
//! a host learns of late, because the host was suspended or could not reach the store. No I/O.

use std::collections::VecDeque;

use crate::{prelude::*, replica::Revision};

/// Time between two sightings that are kept, so that reads by many callers do not push out old ones.
const MIN_SPACING: Duration = Duration::from_millis(250);
/// Most sightings that are kept. Together they reach back further than the longest wait of a long poll,
/// after which a row of a silent connection may still arrive.
const MAX_SIGHTINGS: usize = 256;

/// Shortest time for which the store must have held a call for changes, to tell that its response
/// followed a change at once.
const MIN_HELD: Duration = Duration::from_millis(500);
/// Time between a change and the response to a call that waits for it.
const CHANGE_DELAY: Duration = Duration::from_millis(150);

/// At the time `as_of`, or later, the store still had this version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sighting {
    as_of: Instant,
    version: u64,
}

/// Past versions of the row store, as one host saw them.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Era of the store that the sightings belong to. A version of another era tells nothing about when
    /// a row of this one was written.
    era: u64,
    /// Ascending by time and by version.
    sightings: VecDeque<Sighting>,
    /// A time before a call, and the store's clock in its response: those that give the latest local
    /// times for the store's clock.
    clock: Option<(Instant, Duration)>,
}

impl History {
    /// Records the store's clock in a response to a call that was sent at `requested_at`.
    pub fn observe_clock(&mut self, requested_at: Instant, clock: Duration) {
        let is_later = |(at, known): (Instant, Duration)| requested_at + known > at + clock;
        if self.clock.is_none_or(is_later) {
            self.clock = Some((requested_at, clock));
        }
    }

    /// Returns a local time that is not after the moment at which the store's clock was `clock`.
    fn local_time(&self, clock: Duration) -> Option<Instant> {
        let (at, known) = self.clock?;
        Some((at + clock.saturating_sub(known)).saturating_sub(known.saturating_sub(clock)))
    }

    /// Records the response to a call that waits for changes: the store holds it until there is one, and
    /// then responds at once. `clock` is its clock in the response, `first_change` the revision of the
    /// first row. If the call was held, that row was written just before the response, whenever it came.
    pub fn record_held_call(
        &mut self,
        requested_at: Instant,
        clock: Duration,
        first_change: Revision,
    ) {
        let Some(responded_at) = self.local_time(clock) else { return };
        if responded_at.since(requested_at) >= MIN_HELD {
            let before = first_change.version.saturating_sub(1);
            let before = Revision { version: before, ..first_change };
            self.record(responded_at.saturating_sub(CHANGE_DELAY), before);
        }
    }

    /// Records that the store was at `revision` at `as_of` or later, for example when it responded to a
    /// call that was sent at `as_of`. The first one of a new era drops those of the former one.
    pub fn record(&mut self, as_of: Instant, revision: Revision) {
        let Revision { era, version } = revision;
        if era < self.era {
            return;
        }
        if era > self.era {
            self.era = era;
            self.sightings.clear();
            self.clock = None;
        }
        // A later sighting of the same or a lower version says more.
        if self.sightings.iter().any(|it| it.as_of >= as_of && it.version <= version) {
            return;
        }
        self.sightings.retain(|it| it.as_of > as_of || it.version < version);
        let index = self.sightings.partition_point(|it| it.as_of < as_of);
        self.sightings.insert(index, Sighting { as_of, version });
        self.thin_out();
    }

    /// Returns the latest known time at which the store had not reached `version` of its era yet: the row
    /// with this version was written after it. Returns `None` if there is no such time.
    pub fn written_after(&self, version: u64) -> Option<Instant> {
        let older = self.sightings.partition_point(|it| it.version < version);
        older.checked_sub(1).map(|index| self.sightings[index].as_of)
    }

    /// Drops the last sighting but one if its neighbours are close to each other, and the oldest one if
    /// there are too many.
    fn thin_out(&mut self) {
        let count = self.sightings.len();
        if count >= 3
            && self.sightings[count - 1].as_of.since(self.sightings[count - 3].as_of) < MIN_SPACING
        {
            self.sightings.remove(count - 2);
        }
        if self.sightings.len() > MAX_SIGHTINGS {
            self.sightings.pop_front();
        }
    }
}
