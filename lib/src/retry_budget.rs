//! Limits on how often requests are sent once more, in proportion to callers' requests plus this host's part of
//! an allowance that all hosts share. `mothvale serve` has [`Budgets`](crate::retry::Budgets) instead.
//!
//! Hosts use the allowance without asking each other. A host that knows too few of the others, or not what
//! was used under its name before it started, would take more than its part.
//!
//! Does no I/O.

use std::collections::VecDeque;

use crate::{prelude::*, window::Window};

/// Fraction of the budget that is used, because hosts may disagree for a moment about the number of
/// hosts.
const BUDGET_FRACTION: f64 = 0.8;
/// Fraction of the retries allowed in a window that may go to requests that an upstream answered with
/// an error. The rest is kept for requests that got no answer at all.
const ERROR_FRACTION: f64 = 0.5;
/// Fraction of its part that a process uses within the first window after its start. A former process of the
/// host may have used [`BUDGET_FRACTION`] of it in the same window.
const FIRST_WINDOW_FRACTION: f64 = 0.25;

/// Limits the retries of one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    requests: Window,
    retries: Window,
}

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
    /// retries per request, and `slack` this host's part of the fixed allowance.
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

/// This host's part of an allowance that all hosts share in each window.
#[derive(Clone, Debug)]
pub struct Allowance {
    /// What all hosts together may use in a window.
    total: f64,
    span: Duration,
    /// Numbers of hosts within the span, each with the time until which it held; decreasing from the front.
    former_counts: VecDeque<(Instant, usize)>,
    /// The number of hosts now; `None` until it is known.
    count: Option<usize>,
}

impl Allowance {
    /// Creates the allowance of a process that starts at [`Instant::ZERO`] and does not know the other hosts.
    pub fn new(total: f64, span: Duration) -> Self {
        Allowance { total, span, former_counts: VecDeque::new(), count: None }
    }

    /// Sets the number of hosts, this one included.
    pub fn set_host_count(&mut self, now: Instant, count: usize) {
        if let Some(former) = self.count.replace(count)
            && former > count
        {
            self.former_counts.retain(|it| it.1 > former);
            self.former_counts.push_back((now, former));
        }
    }

    /// Returns whether the number of hosts is known.
    pub fn knows_hosts(&self) -> bool {
        self.count.is_some()
    }

    /// Returns this host's part. Hosts that have left within the span count: they may have used theirs.
    pub fn part(&mut self, now: Instant) -> f64 {
        let Some(count) = self.count else { return 0.0 };
        while self.former_counts.front().is_some_and(|it| now.since(it.0) >= self.span) {
            self.former_counts.pop_front();
        }
        let count = self.former_counts.front().map_or(count, |it| it.1.max(count));
        let part = self.total / count.max(1) as f64;
        let is_first_window = now.since(Instant::ZERO) < self.span;
        if is_first_window { FIRST_WINDOW_FRACTION * part } else { part }
    }
}
