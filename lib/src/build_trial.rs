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
    build_case::{Case, Gains, Indicator, fault_odds, likelihood_ratio},
    build_evidence::{Pool, RouteKey},
    prelude::*,
};

/// Likelihood ratio at which a build is bad.
const CONVICTION: f64 = 300.0;
/// Odds that a build is bad at or under which it is good enough at its share.
const ACQUITTAL: f64 = 1.0 / 500.0;

/// How likely a fault of a bad build shows under the load of the present step only.
const LOAD_ODDS: f64 = 0.3;
/// Part of the former share under which a fall leaves mostly answers that take long.
const DEEP_FALL: f64 = 0.6;
/// Shares on the way to all requests.
const STEPS: [f64; 2] = [0.25, 0.5];
/// The share while the rate of requests is not known yet.
const FIRST_SHARE: f64 = 0.04;
/// Shares at which a build is tried first, by how many requests there are.
const SMALL_SHARES: [f64; 7] = [0.01, 0.02, 0.03, 0.04, 0.06, 0.08, 0.12];
/// Part of the requests that a bad build may get that is spent on the first share.
const FIRST_PART: f64 = 0.4;
/// Part of the bounds that is used.
const CAUTION: f64 = 0.9;
/// Part of the present rate of requests that will certainly go on.
const CERTAIN: f64 = 0.9;
/// Time from which on a rate of requests is known, in seconds.
const LEAST_SPAN: f64 = 1.0;
/// Part of the time in which the first share stays, as some builds turn bad later.
const FIRST_RISE: f64 = 0.3;
/// How long a share above the first is held at least.
const LEAST_STAY: Duration = Duration::from_millis(1500);
/// How long a share above the first is held over the bounds at most without a good verdict.
const LONGEST_STAY: Duration = Duration::from_millis(2000);
/// Odds at which a build may get a share that the bounds bear until it is detected.
const LIKELY: f64 = 0.1;
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
    /// When the present step began.
    raised: Instant,
    share: f64,
    /// When the share fell.
    falls: SmallVec<[Instant; 4]>,
    bad: Option<Reason>,
    odds: f64,
}

impl Trial {
    /// Starts a trial at `started`, when the order is seen.
    pub fn new(started: Instant) -> Self {
        Trial { raised: started, share: 0.0, falls: SmallVec::new(), bad: None, odds: 1.0 }
    }

    /// Records that the share of requests has changed. After a step up a good verdict needs evidence at the
    /// new share, as some builds are bad under load only.
    pub fn set_share(&mut self, now: Instant, share: f64) {
        if share > self.share && share >= STEPS[0] {
            self.raised = now;
            self.odds = 1.0;
        }
        if share < self.share * DEEP_FALL {
            self.falls.push(now);
        }
        self.share = share;
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
        let raised = pool.index_at(self.raised);
        let falls = self.falls.iter().map(|it| pool.index_at(*it)).collect();
        let case = Case::new(pool.sums(), falls);
        let (mut ratio, mut odds) = (0.0, 0.0);
        let mut strongest: Option<(f64, Cause, Option<RouteKey>)> = None;
        for (indicator, indicator_weight) in Indicator::ALL {
            let (by_route, all) = case.gains(indicator);
            for (scope, scope_weight) in case.scopes() {
                let gains = scope.map_or(&all, |it| &by_route[it]);
                let weight = indicator_weight * scope_weight;
                let share = weight * likelihood_ratio(indicator, gains);
                ratio += share;
                odds += weight * odds_since(indicator, scope, gains, raised);
                if strongest.is_none_or(|(most, ..)| share > most) {
                    let route = scope.map(|it| case.routes[it]);
                    strongest = Some((share, indicator.cause(), route));
                }
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

/// Returns the odds of a fault that is there from the start, or from the present step on on all routes.
fn odds_since(indicator: Indicator, scope: Option<usize>, gains: &[Gains], raised: usize) -> f64 {
    let always = fault_odds(indicator, gains);
    match (scope, gains.get(raised..)) {
        (None, Some(step)) => (1.0 - LOAD_ODDS) * always + LOAD_ODDS * fault_odds(indicator, step),
        _ => always,
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
    /// second; when the share differs from the present one, [`Trial::set_share`] is due.
    pub fn share(&self, progress: &Progress) -> f64 {
        match progress.verdict {
            Verdict::Bad(_) => return 0.0,
            _ if progress.share >= 1.0 => return 1.0,
            _ => {}
        }
        let forecast = Forecast::new(&self.bounds, progress);
        let elapsed = progress.now.since(progress.ordered);
        let is_good = progress.verdict == Verdict::Good;
        if forecast.bears_rest() && progress.odds <= UNSUSPICIOUS {
            return 1.0;
        }
        let next = STEPS.into_iter().find(|it| *it > progress.share).unwrap_or(1.0);
        let may_rise = is_good || progress.odds <= LIKELY && forecast.bears(next, DETECTION);
        if progress.share < STEPS[0] {
            let is_time = elapsed >= progress.deadline.mul_f64(FIRST_RISE);
            return match may_rise {
                true if is_time => next,
                _ if elapsed.as_secs_f64() < LEAST_SPAN => FIRST_SHARE,
                _ => forecast.small_share(progress.share),
            };
        }
        let stay = progress.now.since(progress.since);
        if may_rise && stay >= LEAST_STAY {
            return next;
        }
        let must_retreat =
            !is_good && stay >= LONGEST_STAY && !forecast.bears(progress.share, REACTION);
        if must_retreat { forecast.small_share(0.0) } else { progress.share }
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
}

impl Forecast {
    fn new(bounds: &Bounds, progress: &Progress) -> Self {
        let elapsed = progress.now.since(progress.ordered).as_secs_f64();
        let span = progress.deadline.as_secs_f64();
        let left = (span - elapsed).max(0.0);
        let rate = progress.requests as f64 / elapsed.max(LEAST_SPAN);
        let expected = progress.requests as f64 + CERTAIN * rate * left;
        let bound = bounds.exposure_share * expected + f64::from(bounds.exposure_slack);
        Forecast { rate, left, span, exposed: progress.exposed as f64, bound }
    }

    /// Whether a share stays within the bounds for a time.
    fn bears(&self, share: f64, span: Duration) -> bool {
        self.exposed + share * self.rate * span.as_secs_f64() <= CAUTION * self.bound
    }

    /// Whether the new build may get all requests until the deadline, even if it is bad.
    fn bears_rest(&self) -> bool {
        let rest = self.rate * (self.left + REST_MARGIN);
        self.left <= REST * self.span
            && self.exposed + rest + 2.0 * rest.sqrt() <= CAUTION * self.bound
    }

    /// The share at which a build is tried first: one that spends a part of what it may get in all, or a
    /// present one that may stay until the deadline.
    fn small_share(&self, present: f64) -> f64 {
        let left = (FIRST_PART * self.bound - self.exposed) / (self.rate * self.left).max(1.0);
        let fits = |it: &f64| *it <= left;
        let first = SMALL_SHARES.into_iter().rev().find(fits).unwrap_or(0.0);
        let present = SMALL_SHARES
            .into_iter()
            .rev()
            .find(|it| *it <= present && self.bears(*it, Duration::from_secs_f64(self.left)));
        first.max(present.unwrap_or(0.0))
    }
}
