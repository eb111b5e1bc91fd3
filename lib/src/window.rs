//! Counts of events over a span that slides with the time.

use std::collections::VecDeque;

use crate::prelude::*;

/// Events of the last span, one time each.
#[derive(Clone, Debug)]
pub struct Window {
    span: Duration,
    times: VecDeque<Instant>,
}

impl Window {
    /// Creates a window of a length.
    pub fn new(span: Duration) -> Self {
        Window { span, times: VecDeque::new() }
    }

    /// Counts an event.
    pub fn push(&mut self, now: Instant) {
        self.expire(now);
        self.times.push_back(now);
    }

    /// Returns the events of the span that ends now.
    pub fn count(&mut self, now: Instant) -> usize {
        self.expire(now);
        self.times.len()
    }

    fn expire(&mut self, now: Instant) {
        while self.times.front().is_some_and(|it| now.since(*it) >= self.span) {
            self.times.pop_front();
        }
    }
}

/// Requests that were sent once more, held to a share of the requests and this host's part
/// of a fixed allowance.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    requests: Window,
    retries: Window,
}

/// Part of the allowance that is used: hosts may differ for a moment in what they count.
const MARGIN: f64 = 0.8;

impl RetryBudget {
    /// Creates a quota over a span.
    pub fn new(span: Duration) -> Self {
        RetryBudget { requests: Window::new(span), retries: Window::new(span) }
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Instant) {
        self.requests.push(now);
    }

    /// Counts a request that is sent once more, unless the quota is used up.
    pub fn try_retry(&mut self, now: Instant, ratio: f64, slack: f64) -> bool {
        let allowed = MARGIN * (ratio * self.requests.count(now) as f64 + slack);
        if self.retries.count(now) as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push(now);
        true
    }
}
