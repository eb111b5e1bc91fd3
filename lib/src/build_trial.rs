//! Whether a new build of a service is as good as the old ones, and which share of the requests it gets.
//!
//! Load pattern: 3 to 900 requests a second over 9 to 300 hosts, and at most a tenth of them for a build that
//! may be bad. Each second's answers of the new build are compared with the old builds' of the same second and
//! route, so that what ails both is no evidence.
//!
//! The verdict is a sequential test: likelihood ratios, mixed over the kind of fault, the route, the part of
//! answers and the second in which it begins. Under a good build the mixture exceeds [`CONVICTION`] at any
//! time with a probability of at most its inverse. Fixed windows were weighed and not taken: they need a rate
//! of false alarms for each look.
//!
//! Does no I/O.

use std::fmt;

use crate::{
    build_case::{Case, fault_odds, likelihood_ratio},
    build_evidence::{Pool, RouteKey},
    prelude::*,
};

/// Likelihood ratio at which a build is bad.
const CONVICTION: f64 = 1000.0;
/// Odds that a build is bad at or under which it is good enough at its share.
const ACQUITTAL: f64 = 1.0 / 250.0;

/// Shares on the way to all requests.
const STEPS: [f64; 2] = [0.25, 0.5];
/// Shares at which a build is tried first, by how many requests there are.
const SMALL_SHARES: [f64; 3] = [0.04, 0.08, 0.16];
/// Part of the requests that a bad build may get that is spent on the first share.
const FIRST_PART: f64 = 0.4;
/// Part of the bounds that is used.
const CAUTION: f64 = 0.9;
/// Part of the present rate of requests that will certainly go on.
const CERTAIN: f64 = 0.8;
/// Time from which on a rate of requests is known, in seconds.
const LEAST_SPAN: f64 = 1.0;
/// How long a share above the first is held at least.
const LEAST_STAY: Duration = Duration::from_millis(1500);
/// How long a bad build is borne at a higher share until it is detected and all hosts know.
const DETECTION: Duration = Duration::from_millis(2500);
/// How long a lower share takes to reach all hosts.
const REACTION: Duration = Duration::from_millis(1000);
/// Part of the time in which a build that is undecided may get all requests, if the bounds bear it.
const REST: f64 = 0.5;
/// How much longer than to the deadline the requests are reckoned then, in seconds.
const REST_MARGIN: f64 = 0.5;
/// Odds at which a build that is undecided may get all requests.
const UNSUSPICIOUS: f64 = 1.0;

/// What a bad build does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It fails answers.
    Errors,
    /// It is slow.
    Slow,
}

/// Why a build is bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reason {
    /// What it does.
    pub cause: Cause,
    /// The route; `None` if it is about all routes.
    pub route: Option<RouteKey>,
    /// Answers of the old builds on these routes.
    pub old_answers: u32,
    /// Those that failed.
    pub old_bad: u32,
    /// Answers of the new build on these routes.
    pub new_answers: u32,
    /// Those that failed.
    pub new_bad: u32,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.cause {
            Cause::Errors => "errors",
            Cause::Slow => "slow",
        })
    }
}

/// What is known of a new build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Too little.
    Undecided,
    /// It is good enough at the present share.
    Good,
    /// It is bad; this is final.
    Bad(Reason),
}

/// The trial of one build.
#[derive(Clone, Debug)]
pub struct Trial {
    raised: Instant,
    bad: Option<Reason>,
    odds: f64,
}

impl Trial {
    /// Starts a trial at `started`, when the order is seen.
    pub fn new(started: Instant) -> Self {
        Trial { raised: started, bad: None, odds: 1.0 }
    }

    /// Records that the share of requests was raised: a good verdict then needs evidence at that share, as
    /// some builds are bad under load only.
    pub fn raise(&mut self, now: Instant) {
        self.raised = now;
        self.odds = 1.0;
    }

    /// Takes another host's verdict that the build is bad.
    pub fn convict(&mut self, reason: Reason) {
        self.bad.get_or_insert(reason);
    }

    /// Returns the odds that the build is bad, as of the last verdict.
    pub fn odds(&self) -> f64 {
        self.odds
    }

    /// Returns what the counts tell of the build.
    pub fn judge(&mut self, _now: Instant, pool: &Pool) -> Verdict {
        if let Some(reason) = self.bad {
            return Verdict::Bad(reason);
        }
        let (first, slices) = pool.slices();
        let raised = pool.slice_at(self.raised).saturating_sub(first) as usize;
        let case = Case::new(&slices);
        let (mut ratio, mut odds) = (0.0, 0.0);
        let mut strongest: Option<(f64, Cause, Option<RouteKey>)> = None;
        for (indicator, scope, weight) in case.hypotheses() {
            let gains = case.gains(indicator, scope);
            let share = weight * likelihood_ratio(&gains, indicator.max_gain());
            ratio += share;
            odds += weight
                * (0.7 * fault_odds(indicator, &gains)
                    + 0.3 * fault_odds(indicator, gains.get(raised..).unwrap_or_default()));
            if strongest.is_none_or(|(most, ..)| share > most) {
                strongest = Some((share, indicator.cause(), scope.map(|it| case.routes[it])));
            }
        }
        self.odds = odds;
        if let Some((_, cause, route)) = strongest.filter(|_| ratio >= CONVICTION) {
            let reason = case.reason(cause, route);
            self.bad = Some(reason);
            return Verdict::Bad(reason);
        }
        if odds <= ACQUITTAL { Verdict::Good } else { Verdict::Undecided }
    }
}

/// Bounds on the requests that a bad build may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Part of the service's requests between the order and its deadline.
    pub exposure_share: f64,
    /// Requests beside that part.
    pub exposure_slack: u32,
}

/// How far a roll-out is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// The present time.
    pub now: Instant,
    /// When the order was seen.
    pub ordered: Instant,
    /// How long after it the roll-out must be complete.
    pub deadline: Duration,
    /// The present share of requests for the new build.
    pub share: f64,
    /// Since when the share is at that level.
    pub since: Instant,
    /// Requests of the service since the order.
    pub requests: u64,
    /// Those of them that the new build got.
    pub exposed: u64,
    /// The present verdict.
    pub verdict: Verdict,
    /// The odds that the build is bad.
    pub odds: f64,
}

/// The shares of requests that a new build gets, one after the other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Schedule {
    bounds: Bounds,
}

impl Schedule {
    /// Creates a schedule within bounds.
    pub fn new(bounds: Bounds) -> Self {
        Schedule { bounds }
    }

    /// Returns the share of requests for the new build from now on; 0 if it is bad. Call it some times a
    /// second; when the share differs from the present one, [`Trial::raise`] is due.
    pub fn share(&self, progress: &Progress) -> f64 {
        match progress.verdict {
            Verdict::Bad(_) => return 0.0,
            _ if progress.share >= 1.0 => return 1.0,
            _ => {}
        }
        let forecast = Forecast::new(&self.bounds, progress);
        let is_good = progress.verdict == Verdict::Good;
        let has_stayed = progress.now.since(progress.since) >= LEAST_STAY;
        if forecast.bears_rest() && progress.odds <= UNSUSPICIOUS {
            return 1.0;
        }
        let small = forecast.small_share();
        if progress.share < STEPS[0] {
            let may_rise = is_good && forecast.bears(STEPS[0], DETECTION);
            return if may_rise { STEPS[0] } else { small.max(progress.share) };
        }
        if is_good && has_stayed {
            let next = STEPS.into_iter().find(|it| *it > progress.share).unwrap_or(1.0);
            return next;
        }
        let must_retreat = has_stayed && !is_good && !forecast.bears(progress.share, REACTION);
        if must_retreat { small } else { progress.share }
    }
}

/// What the rest of a roll-out is expected to bring.
struct Forecast {
    /// Requests a second.
    rate: f64,
    /// Seconds until the deadline.
    left: f64,
    /// Seconds from the order to the deadline.
    span: f64,
    exposed: f64,
    /// Requests that a bad build may get in all.
    bound: f64,
    expected: f64,
}

impl Forecast {
    fn new(bounds: &Bounds, progress: &Progress) -> Self {
        let elapsed = progress.now.since(progress.ordered).as_secs_f64();
        let span = progress.deadline.as_secs_f64();
        let left = (span - elapsed).max(0.0);
        let rate = progress.requests as f64 / elapsed.max(LEAST_SPAN);
        let expected = progress.requests as f64 + CERTAIN * rate * left;
        let bound = bounds.exposure_share * expected + f64::from(bounds.exposure_slack);
        Forecast { rate, left, span, exposed: progress.exposed as f64, bound, expected }
    }

    /// Whether a share stays within the bounds for a time.
    fn bears(&self, share: f64, span: Duration) -> bool {
        self.exposed + share * self.rate * span.as_secs_f64() <= CAUTION * self.bound
    }

    /// Whether the new build may get all requests until the deadline, even if it is bad.
    fn bears_rest(&self) -> bool {
        self.left <= REST * self.span
            && self.exposed + self.rate * (self.left + REST_MARGIN) <= CAUTION * self.bound
    }

    /// The share at which a build is tried first: a part of what it may get in all.
    fn small_share(&self) -> f64 {
        let target = FIRST_PART * self.bound / self.expected.max(1.0);
        let fits = |it: &f64| *it <= target;
        SMALL_SHARES.into_iter().rev().find(fits).unwrap_or(SMALL_SHARES[0])
    }
}
