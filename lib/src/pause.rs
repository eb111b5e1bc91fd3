//! Pauses that upstreams ask for when they turn a request away. Until a pause is over, this host sends
//! the upstream nothing. A pause holds for one process of the upstream and for this host alone.
//!
//! Does no I/O.

use std::{collections::HashMap, time::SystemTime};

use thiserror::Error as ThisError;

use crate::{
    codec::RetryAfter,
    prelude::*,
    rendezvous,
    upstream_state::{Incarnation, UpstreamRow},
};

/// Longest pause in seconds that is kept. A longer one is most likely in another unit, and would take
/// the upstream out for good.
const MAX_PAUSE: Duration = Duration::from_secs(3600);
/// Longest pause until a date that is kept. Without the upstream's own time in the response, the date
/// is compared with the time of day here, which may jump.
const MAX_DATED_PAUSE: Duration = Duration::from_secs(60);
/// Span over which returns after a wait are spread, as a fraction of the wait.
const SPREAD_FRACTION: f64 = 0.25;
/// Shortest span over which returns are spread.
const MIN_SPREAD: Duration = Duration::from_millis(200);
/// Longest span over which returns are spread.
const MAX_SPREAD: Duration = Duration::from_secs(2);

/// The length of a pause that an upstream asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Length {
    /// Time from the response on for which the upstream wants nothing.
    pub duration: Duration,
    /// Whether the upstream asked for more than is kept.
    pub bounded: bool,
}

/// Reason why a response that turns a request away asks for no pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ThisError)]
pub enum NoPause {
    /// The field is missing.
    #[error("no pause is given")]
    Missing,
    /// Zero seconds.
    #[error("the pause is zero")]
    Zero,
    /// Less than zero seconds.
    #[error("the pause is negative")]
    Negative,
    /// Infinite, or not a number.
    #[error("the pause is not a finite number")]
    NotFinite,
    /// Neither seconds nor a date.
    #[error("the pause is neither a number of seconds nor a date")]
    Unreadable,
    /// The date is not in the future.
    #[error("the date has passed")]
    Past,
}

impl Length {
    /// Reads how long a pause is. A date is compared with `response_date`, the upstream's own time in
    /// the same response, or else with `time_of_day`.
    ///
    /// # Errors
    ///
    /// Returns why there is no pause.
    pub fn read(
        retry_after: Option<&RetryAfter>,
        response_date: Option<SystemTime>,
        time_of_day: SystemTime,
    ) -> Result<Length, NoPause> {
        let (duration, max) = match retry_after.ok_or(NoPause::Missing)? {
            RetryAfter::Seconds(seconds) if !seconds.is_finite() => return Err(NoPause::NotFinite),
            RetryAfter::Seconds(seconds) if *seconds < 0.0 => return Err(NoPause::Negative),
            RetryAfter::Seconds(0.0) => return Err(NoPause::Zero),
            RetryAfter::Seconds(seconds) => {
                (Duration::try_from_secs_f64(*seconds).unwrap_or(Duration::MAX), MAX_PAUSE)
            }
            RetryAfter::Date(date) => {
                let start = response_date.unwrap_or(time_of_day);
                (date.duration_since(start).unwrap_or_default(), MAX_DATED_PAUSE)
            }
            RetryAfter::Unreadable(_) => return Err(NoPause::Unreadable),
        };
        if duration.is_zero() {
            return Err(NoPause::Past);
        }
        Ok(Length { duration: duration.min(max), bounded: duration > max })
    }
}

/// Returns how much longer than `wait` one of many waits that end at the same moment should take, so
/// that they end one after the other. `sample` is a hash that differs between them.
pub fn spread(wait: Duration, sample: u64) -> Duration {
    let span = wait.mul_f64(SPREAD_FRACTION).clamp(MIN_SPREAD, MAX_SPREAD);
    let fraction = (rendezvous::mix64(sample) >> 11) as f64 / (1_u64 << 53) as f64;
    span.mul_f64(fraction)
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    incarnation: Incarnation,
    until: Instant,
}

/// All pauses that upstreams have asked this host for.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
    by_upstream: HashMap<Upstream, SmallVec<[Entry; 1]>>,
}

impl Pauses {
    /// Records a pause from `now` on. `sample` differs between hosts, which then return one after the
    /// other. A pause that ends earlier than one before it changes nothing. Returns whether the
    /// upstream had no pause before.
    pub fn record(
        &mut self,
        now: Instant,
        id: &Upstream,
        incarnation: Incarnation,
        duration: Duration,
        sample: u64,
    ) -> bool {
        let until = now + duration.saturating_add(spread(duration, sample));
        let entries = self.by_upstream.entry(id.clone()).or_default();
        match entries.iter_mut().find(|it| it.incarnation == incarnation) {
            Some(entry) => {
                let is_new = entry.until <= now;
                entry.until = entry.until.max(until);
                is_new
            }
            None => {
                entries.push(Entry { incarnation, until });
                true
            }
        }
    }

    /// Returns the end of the pause of the process that a row is about, or `None` if it has none now.
    pub fn until(&self, now: Instant, row: &UpstreamRow) -> Option<Instant> {
        let entries = self.by_upstream.get(&row.id)?;
        let matching = entries.iter().filter(|it| row.incarnation().may_be(it.incarnation));
        matching.map(|it| it.until).filter(|it| *it > now).max()
    }

    /// Drops pauses that are over.
    pub fn purge(&mut self, now: Instant) {
        for entries in self.by_upstream.values_mut() {
            entries.retain(|it| it.until > now);
        }
        self.by_upstream.retain(|_, entries| !entries.is_empty());
    }
}
