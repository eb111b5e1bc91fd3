//! A mean of measured values that fades while nothing is measured. No I/O.

use crate::prelude::*;

/// The mean.
#[derive(Clone, Copy, Debug)]
pub struct Ewma {
    value: f64,
    at: Instant,
    weight: f64,
    half_life: Duration,
}

impl Ewma {
    /// Creates a mean of 0 in which the newest value has a weight, and of which half is
    /// forgotten in a time.
    pub const fn new(weight: f64, half_life: Duration) -> Self {
        Ewma { value: 0.0, at: Instant::ZERO, weight, half_life }
    }

    /// Returns the mean.
    pub fn value_at(&self, now: Instant) -> f64 {
        let halvings = now.since(self.at).as_secs_f64() / self.half_life.as_secs_f64();
        self.value * 0.5_f64.powf(halvings)
    }

    /// Takes a value that was measured now.
    pub fn record(&mut self, now: Instant, value: f64) {
        let mean = self.value_at(now);
        self.value = mean + self.weight * (value - mean);
        self.at = now;
    }
}
