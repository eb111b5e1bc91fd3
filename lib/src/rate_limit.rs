//! Limits that upstreams name in their responses: how many requests per second they take from all hosts
//! together. A limit holds for one process of the upstream, until that process responds without one.
//!
//! Does no I/O.

use std::collections::HashMap;

use thiserror::Error as ThisError;

use crate::{codec::RateLimit, prelude::*, upstream_state::Incarnation};

/// Requests per second from all hosts together; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

/// Reason why a response names no limit although it has the field for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ThisError)]
pub enum NoRate {
    /// Less than zero requests.
    #[error("the limit is negative")]
    Negative,
    /// Infinite, or not a number.
    #[error("the limit is not a finite number")]
    NotFinite,
    /// The text is no number.
    #[error("the limit is not a number")]
    Unreadable,
}

impl Rate {
    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Rate {
    type Error = NoRate;

    fn try_from(per_second: f64) -> Result<Self, NoRate> {
        match per_second {
            _ if !per_second.is_finite() => Err(NoRate::NotFinite),
            _ if per_second < 0.0 => Err(NoRate::Negative),
            _ => Ok(Rate(per_second)),
        }
    }
}

impl TryFrom<&RateLimit> for Rate {
    type Error = NoRate;

    fn try_from(limit: &RateLimit) -> Result<Self, NoRate> {
        match limit {
            RateLimit::PerSecond(per_second) => Rate::try_from(*per_second),
            RateLimit::Unreadable(_) => Err(NoRate::Unreadable),
        }
    }
}

/// What a process of an upstream says about its limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// The upstream's id.
    pub upstream: Upstream,
    /// The process that said so.
    pub incarnation: Incarnation,
    /// The limit, or `None` if the process has none any more.
    pub rate: Option<Rate>,
    /// When it said so.
    pub said_at: Instant,
}

/// What a statement changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The upstream had no limit before.
    Named,
    /// The limit was another one.
    Changed(Rate),
    /// The upstream has no limit any more.
    Ended,
    /// Nothing: it was known, or is older than what is known.
    Nothing,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    incarnation: Incarnation,
    rate: Option<Rate>,
    said_at: Instant,
}

/// All limits that this host knows.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    by_upstream: HashMap<Upstream, SmallVec<[Entry; 1]>>,
}

impl Limits {
    /// Records what a process has said, unless it has said something later.
    pub fn record(&mut self, statement: &Statement) -> Change {
        let Statement { incarnation, rate, said_at, .. } = *statement;
        let known = self.by_upstream.get_mut(&statement.upstream);
        let entry = known.and_then(|it| it.iter_mut().find(|it| it.incarnation == incarnation));
        let Some(entry) = entry else {
            if rate.is_none() {
                return Change::Nothing;
            }
            let entries = self.by_upstream.entry(statement.upstream.clone()).or_default();
            entries.push(Entry { incarnation, rate, said_at });
            return Change::Named;
        };
        if said_at < entry.said_at {
            return Change::Nothing;
        }
        entry.said_at = said_at;
        match (std::mem::replace(&mut entry.rate, rate), rate) {
            (None, Some(_)) => Change::Named,
            (Some(_), None) => Change::Ended,
            (Some(former), Some(rate)) if former != rate => Change::Changed(former),
            _ => Change::Nothing,
        }
    }

    /// Returns when a process last said something about its limit, if it has one.
    pub fn limited_since(&self, upstream: &Upstream, incarnation: Incarnation) -> Option<Instant> {
        let entries = self.by_upstream.get(upstream)?;
        let limited = entries.iter().find(|it| it.incarnation == incarnation && it.rate.is_some());
        limited.map(|it| it.said_at)
    }

    /// Returns the number of processes that have a limit.
    pub fn count(&self) -> usize {
        self.by_upstream.values().flatten().filter(|it| it.rate.is_some()).count()
    }
}
