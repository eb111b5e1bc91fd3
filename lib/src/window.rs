//! Sliding-window counters, and the gateway's retry budget, which is built on them.

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

/// Limits retries to a ratio of the requests plus this host's share of a fixed allowance.
/// `mothvale serve` has [`Budgets`](crate::retry::Budgets) instead.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    requests: Window,
    retries: Window,
}

/// Fraction of the budget that is used, because hosts may disagree for a moment about the number of
/// hosts.
const BUDGET_FRACTION: f64 = 0.8;
/// Fraction of the retries allowed in a window that may go to requests that an upstream answered with
/// an error. The rest is kept for requests that got no answer at all.
const ERROR_FRACTION: f64 = 0.5;

impl RetryBudget {
    /// Creates a budget over a sliding window of length `span`.
    pub fn new(span: Duration) -> Self {
        RetryBudget { requests: Window::new(span), retries: Window::new(span) }
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Instant) {
        self.requests.push(now);
    }

    /// Records a retry and returns true, unless the budget is used up. `ratio` is the number of
    /// retries per request, and `slack` this host's share of the fixed allowance.
    pub fn try_retry(&mut self, now: Instant, ratio: f64, slack: f64) -> bool {
        if self.retries.count(now) as f64 + 1.0 > self.allowed(now, ratio, slack) {
            return false;
        }
        self.retries.push(now);
        true
    }

    /// Returns the number of callers' requests in the window that ends now.
    pub fn request_count(&mut self, now: Instant) -> usize {
        self.requests.count(now)
    }

    /// Returns the number of retries in the window that ends now.
    pub fn retry_count(&mut self, now: Instant) -> usize {
        self.retries.count(now)
    }

    /// Returns whether there is room for the retry of a request that an upstream answered with an
    /// error. Parameters as for [`RetryBudget::try_retry`]; takes nothing.
    pub fn has_room_after_error(&mut self, now: Instant, ratio: f64, slack: f64) -> bool {
        let allowed = ERROR_FRACTION * self.allowed(now, ratio, slack);
        self.retries.count(now) as f64 + 1.0 <= allowed
    }

    /// Returns the number of retries allowed in the window that ends now.
    fn allowed(&mut self, now: Instant, ratio: f64, slack: f64) -> f64 {
        BUDGET_FRACTION * (ratio * self.requests.count(now) as f64 + slack)
    }
}
