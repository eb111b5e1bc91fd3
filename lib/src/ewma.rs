//! An exponentially weighted moving average that decays towards 0 without samples.

use crate::prelude::*;

/// The average, its last update and its parameters.
#[derive(Clone, Copy, Debug)]
pub struct Ewma {
    value: f64,
    at: Instant,
    weight: f64,
    half_life: Duration,
}

impl Ewma {
    /// Creates an average of 0. A new sample gets `weight`, between 0 and 1, and the average halves
    /// in each `half_life` without samples.
    pub const fn new(weight: f64, half_life: Duration) -> Self {
        Ewma { value: 0.0, at: Instant::ZERO, weight, half_life }
    }

    /// Returns the average, decayed up to `now`.
    pub fn value_at(&self, now: Instant) -> f64 {
        let halvings = now.since(self.at).as_secs_f64() / self.half_life.as_secs_f64();
        self.value * 0.5_f64.powf(halvings)
    }

    /// Adds a sample that was measured at `now`.
    pub fn record(&mut self, now: Instant, value: f64) {
        let mean = self.value_at(now);
        self.value = mean + self.weight * (value - mean);
        self.at = now;
    }
}
