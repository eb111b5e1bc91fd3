//! Rates at which requests use the parts of prompts, as one host sees them. Does no I/O.

use std::collections::HashMap;

use crate::prelude::*;

/// Length of one period of counting. The rate is that of the current and the previous period.
const PERIOD: Duration = Duration::from_secs(2);

/// Fewest uses from which a rate is estimated.
const MIN_USES: u32 = 3;

/// Counts of the current and the previous period, by the hash of the part.
#[derive(Clone, Debug, Default)]
pub struct Popularity {
    period_start: Instant,
    current: HashMap<u64, u32>,
    previous: HashMap<u64, u32>,
}

impl Popularity {
    /// Counts a use of a part, and returns its rate in uses per second; 0 while there are too few uses
    /// to tell.
    pub fn record(&mut self, now: Instant, part: u64) -> f64 {
        self.advance(now);
        let count = self.current.entry(part).or_default();
        *count += 1;
        let previous = self.previous.get(&part).copied().unwrap_or(0);
        let uses = *count + previous;
        if uses < MIN_USES {
            return 0.0;
        }
        let span = PERIOD + now.since(self.period_start);
        f64::from(uses) / span.as_secs_f64()
    }

    /// Starts a new period when the current one has ended.
    fn advance(&mut self, now: Instant) {
        let age = now.since(self.period_start);
        if age < PERIOD {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age >= PERIOD * 2 {
            self.previous.clear();
        }
        self.period_start = now;
    }
}
