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
        let allowed = BUDGET_FRACTION * (ratio * self.requests.count(now) as f64 + slack);
        if self.retries.count(now) as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push(now);
        true
    }
}
