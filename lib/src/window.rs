//! Sliding-window counters.

use std::collections::VecDeque;

use crate::prelude::*;

/// The times of the events within the last `span`.
#[derive(Clone, Debug)]
pub struct Window {
    span: Duration,
    times: VecDeque<Instant>,
}

impl Window {
    /// Creates an empty window of length `span`.
    pub fn new(span: Duration) -> Self {
        Window { span, times: VecDeque::new() }
    }

    /// Records an event that happens now.
    pub fn push(&mut self, now: Instant) {
        self.expire(now);
        self.times.push_back(now);
    }

    /// Returns the number of events within the span that ends now.
    pub fn count(&mut self, now: Instant) -> usize {
        self.expire(now);
        self.times.len()
    }

    /// Drops the events that are no longer within the span that ends now.
    fn expire(&mut self, now: Instant) {
        while self.times.front().is_some_and(|it| now.since(*it) >= self.span) {
            self.times.pop_front();
        }
    }
}

/// Slots into which a [`Sum`] divides its span.
const SUM_SLOTS: u32 = 10;

/// The sum of the amounts within the last `span`, in a fixed number of slots.
#[derive(Clone, Debug)]
pub struct Sum {
    slot_length: Duration,
    /// Number of the newest slot since the start of the clock.
    newest: u64,
    slots: [u64; SUM_SLOTS as usize],
}

impl Sum {
    /// Creates an empty sum over a sliding window of length `span`.
    pub fn new(span: Duration) -> Self {
        Sum { slot_length: span / SUM_SLOTS, newest: 0, slots: [0; SUM_SLOTS as usize] }
    }

    /// Adds an amount now.
    pub fn add(&mut self, now: Instant, amount: u64) {
        self.advance(now);
        self.slots[self.slot_index(self.newest)] += amount;
    }

    /// Returns the sum of the amounts within the span that ends now.
    pub fn total(&mut self, now: Instant) -> u64 {
        self.advance(now);
        self.slots.iter().sum()
    }

    /// Clears the slots that are older than the span.
    fn advance(&mut self, now: Instant) {
        let length = self.slot_length.as_nanos().max(1);
        let current = (now.since(Instant::ZERO).as_nanos() / length) as u64;
        let steps = current.saturating_sub(self.newest).min(SUM_SLOTS.into());
        for step in 0..steps {
            let index = self.slot_index(current - step);
            self.slots[index] = 0;
        }
        self.newest = self.newest.max(current);
    }

    fn slot_index(&self, slot: u64) -> usize {
        (slot % u64::from(SUM_SLOTS)) as usize
    }
}
