//! Monotonic time that includes periods in which the host is suspended, and wall-clock time.
//!
//! Decision code takes an [`Instant`] as a parameter, so that tests can set the time.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use rustix::time::{ClockId, clock_gettime};

/// A point in monotonic time, in nanoseconds since the start of the [`Clock`] that it comes from. A
/// host starts its clock when the process starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(u64);

impl Instant {
    /// The start of the clock.
    pub const ZERO: Instant = Instant(0);

    /// Creates the point `nanos` nanoseconds after the start of the clock.
    pub fn from_nanos(nanos: u64) -> Self {
        Instant(nanos)
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Instant) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Instant {
    /// Returns the point `span` earlier, but not before the start of the clock.
    pub fn saturating_sub(self, span: Duration) -> Instant {
        let nanos = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
        Instant(self.0.saturating_sub(nanos))
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, rhs: Duration) -> Instant {
        let nanos = u64::try_from(rhs.as_nanos()).unwrap_or(u64::MAX);
        Instant(self.0.saturating_add(nanos))
    }
}

impl Sub for Instant {
    type Output = Duration;

    fn sub(self, rhs: Instant) -> Duration {
        self.since(rhs)
    }
}

/// The monotonic clock of this process.
///
/// It keeps running while the host is suspended, so that a process that resumes knows how old
/// its state is. The ordinary monotonic clock stops during suspension.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Clock { start: since_boot() }
    }

    /// Returns the time since the clock's start.
    pub fn now(&self) -> Instant {
        Instant::default() + since_boot().saturating_sub(self.start)
    }
}

/// Returns the time since the host booted, including time spent suspended.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, or 0 before the epoch.
pub fn unix_millis() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
}
