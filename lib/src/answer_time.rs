//! How long whole responses take by route, to tell whether a request can still end in the time that is left.
//!
//! Load pattern: an upstream uses up most of a request's time before it fails, or a request comes while the host
//! is about to stop. An attempt that is cut off occupies an upstream and gives its caller nothing.
//!
//! Does no I/O.

use std::collections::HashMap;

use crate::prelude::*;

/// Weight of the newest response in the moving average of a route.
const WEIGHT: f64 = 0.1;
/// Responses of a route before its average counts.
const MIN_RESPONSES: u32 = 8;
/// Most routes with an average. Configurations that come later may have others.
const MAX_ROUTES: usize = 4096;
/// Part of the average that a response takes at least. Shorter ones are rare.
const MIN_PART: f64 = 0.5;

#[derive(Clone, Copy, Debug, Default)]
struct Average {
    seconds: f64,
    responses: u32,
}

/// Moving averages of the time from sending a request to the end of its response, by route.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    by_route: HashMap<FastStr, Average>,
}

impl AnswerTimes {
    /// Records how long a whole response of a route took.
    pub fn record(&mut self, route: &str, time: Duration) {
        if !self.by_route.contains_key(route) {
            if self.by_route.len() >= MAX_ROUTES {
                self.by_route.clear();
            }
            self.by_route.insert(FastStr::new(route), Average::default());
        }
        let Some(average) = self.by_route.get_mut(route) else { return };
        let weight = if average.responses == 0 { 1.0 } else { WEIGHT };
        average.seconds += weight * (time.as_secs_f64() - average.seconds);
        average.responses = average.responses.saturating_add(1);
    }

    /// Returns how long a response of a route takes on average, or `None` if too few have come.
    pub fn mean(&self, route: &str) -> Option<Duration> {
        let average = self.by_route.get(route).filter(|it| it.responses >= MIN_RESPONSES)?;
        Some(Duration::from_secs_f64(average.seconds.max(0.0)))
    }

    /// Returns whether a response of a route may still end within `left`. Without an average, any may.
    pub fn may_end_within(&self, route: &str, left: Duration) -> bool {
        self.mean(route).is_none_or(|it| it.mul_f64(MIN_PART) <= left)
    }
}
