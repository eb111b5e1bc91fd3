//! Remembers at which times the row store was seen at which version. This bounds the age of a row that
//! a host learns of late, because the host was suspended or could not reach the store. No I/O.

use std::collections::VecDeque;

use crate::prelude::*;

/// Time between two sightings that are kept, so that reads by many callers do not push out old ones.
const MIN_SPACING: Duration = Duration::from_millis(250);
/// Most sightings that are kept. Together they reach back further than the longest wait of a long poll,
/// after which a row of a silent connection may still arrive.
const MAX_SIGHTINGS: usize = 128;

/// At the time `as_of`, or later, the store still had this version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sighting {
    as_of: Instant,
    version: u64,
}

/// Past versions of the row store, as one host saw them.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Ascending by time and by version.
    sightings: VecDeque<Sighting>,
}

impl History {
    /// Records that the store had `version` at `as_of` or later, for example when it responded to a call
    /// that was sent at `as_of`.
    pub fn record(&mut self, as_of: Instant, version: u64) {
        // A later sighting of the same or a lower version says more.
        if self.sightings.iter().any(|it| it.as_of >= as_of && it.version <= version) {
            return;
        }
        self.sightings.retain(|it| it.as_of > as_of || it.version < version);
        let index = self.sightings.partition_point(|it| it.as_of < as_of);
        self.sightings.insert(index, Sighting { as_of, version });
        self.thin_out();
    }

    /// Returns the latest known time at which the store had not reached `version` yet: the row with this
    /// version was written after it. Returns `None` if there is no such time.
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
