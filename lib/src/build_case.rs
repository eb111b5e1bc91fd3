//! The likelihood ratios between a bad and a good new build, from the counts of both sides.
//!
//! Load pattern: as in [`build_trial`](crate::build_trial); a judgement goes through at most 64 seconds of 8
//! routes.
//!
//! Does no I/O.

use std::collections::VecDeque;

use crate::{
    build_evidence::{BINS, OCTAVE_BINS, RouteKey, Slice, Tally},
    build_trial::{Cause, Reason},
    prelude::*,
};

/// Parts of the answers that a bad build may fail or delay.
const PARTS: [f64; 7] = [0.02, 0.035, 0.06, 0.1, 0.18, 0.3, 0.5];
/// Least part of slow answers that makes a build count as slow in the odds.
const LEAST_SLOW_PART: f64 = 0.18;
/// How likely a fault begins in the first second.
const AT_ONCE: f64 = 0.5;
/// Seconds over which a fault may begin later, with the same probability each.
const ONSETS: f64 = 32.0;
/// The most that one second's failed answers add to the logarithm of the likelihood ratio.
const MAX_ERRORS_GAIN: f64 = 9.0;
/// The most that one second's slow answers add to the logarithm of the likelihood ratio.
const MAX_SLOW_GAIN: f64 = 6.0;
/// Standard deviations over the mean at which a second's rate isn't chance.
const SURPRISE: f64 = 2.0;
/// Rate of failures that is not held against a build while the old ones give no answers.
const UNCOMPARED_RATE: f64 = 0.3;
/// Old answers that a comparison of latencies needs.
const MIN_OLD: u32 = 20;
/// Part of the old builds' answers over the threshold for the body of the latencies.
const BODY: f64 = 0.25;
/// Part of the old builds' answers over the threshold for the tail of the latencies.
const TAIL: f64 = 0.03;
/// Latency bins by which a build may be slower.
const TOLERANCE_BINS: usize = OCTAVE_BINS / 2;
/// Latency bins by which a build may be slower while its upstreams are cold.
const COLD_TOLERANCE_BINS: usize = OCTAVE_BINS * 3 / 2;
/// How long a new build's upstreams are cold after its first answer on a route, in seconds.
const COLD_SECONDS: usize = 2;
/// How long after a fall of the share the new build's answers are those that take long, in seconds.
const LINGERING_SECONDS: usize = 6;
/// How likely a fault is on one route only.
const ONE_ROUTE: f64 = 0.25;
/// Least part of the old builds' answers of a route that is judged by itself.
const LEAST_ROUTE: f64 = 0.03;
/// Seconds before and after, one after the other, over which old answers are gathered until they are enough.
const REFERENCE_REACHES: [usize; 3] = [1, 5, 64];
/// Seconds before and after without old answers that leave latencies uncompared.
const SILENCE: usize = 5;

/// What is counted as a hit among the new build's answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Indicator {
    /// A failed answer.
    Errors,
    /// An answer slower than the body of the old builds' answers.
    Body,
    /// An answer in the tail of the old builds' answers.
    Tail,
}

impl Indicator {
    pub(crate) const ALL: [(Indicator, f64); 3] =
        [(Indicator::Errors, 0.5), (Indicator::Body, 0.4), (Indicator::Tail, 0.1)];

    pub(crate) fn cause(self) -> Cause {
        if self == Indicator::Errors { Cause::Errors } else { Cause::Slow }
    }

    fn max_gain(self) -> f64 {
        if self == Indicator::Errors { MAX_ERRORS_GAIN } else { MAX_SLOW_GAIN }
    }
}

/// The logarithms of the likelihood ratios of a second, for each of [`PARTS`].
pub(crate) type Gains = [f64; PARTS.len()];

/// Answers of the new build on a route in a second.
#[derive(Clone, Copy, Debug)]
struct Sampled {
    hits: u32,
    answers: u32,
    /// Rate of hits that a good build has at most.
    rate: f64,
}

impl Sampled {
    fn gain(self, part: f64) -> f64 {
        let rate = self.rate.clamp(1e-6, 1.0 - 1e-6);
        let misses = f64::from(self.answers.saturating_sub(self.hits));
        f64::from(self.hits) * ((rate + part * (1.0 - rate)) / rate).ln()
            + misses * (1.0 - part).ln()
    }
}

/// Returns the places in [`PARTS`] that a fault may have.
fn parts(indicator: Indicator) -> std::ops::Range<usize> {
    let least = if indicator == Indicator::Body { LEAST_SLOW_PART } else { 0.0 };
    PARTS.iter().position(|it| *it >= least).unwrap_or_default()..PARTS.len()
}

/// Mixes the likelihood ratios over the parts of answers and the seconds in which the fault may begin.
pub(crate) fn likelihood_ratio(indicator: Indicator, gains: &[Gains]) -> f64 {
    let begun = |part: usize| {
        gains.iter().enumerate().fold((0.0, 1.0), |(begun, to_come), (index, gain)| {
            let onset: f64 = if index == 0 { AT_ONCE } else { (1.0 - AT_ONCE) / ONSETS };
            let begins = onset.min(to_come);
            let gain = gain[part].min(indicator.max_gain()).exp();
            ((begun + begins) * gain, to_come - begins)
        })
    };
    let parts = parts(indicator);
    let count = parts.len() as f64;
    parts.map(begun).map(|(begun, to_come)| begun + to_come).sum::<f64>() / count
}

/// Returns the odds of a fault that has been there in all of some seconds.
pub(crate) fn fault_odds(indicator: Indicator, gains: &[Gains]) -> f64 {
    let slow = parts(Indicator::Body);
    let parts = if indicator == Indicator::Errors { parts(indicator) } else { slow };
    let count = parts.len() as f64;
    parts.map(|part| gains.iter().map(|it| it[part]).sum::<f64>().exp()).sum::<f64>() / count
}

/// The counts of all seconds by route, and what they tell.
pub(crate) struct Case<'a> {
    slices: &'a VecDeque<Slice>,
    pub(crate) routes: Vec<RouteKey>,
    /// Sums over all seconds by route: old builds, new build.
    totals: Vec<(Tally, Tally)>,
    /// Sums over all routes by second: answers of the old builds, and bad ones of them.
    seconds: Vec<(u32, u32)>,
    /// Answers of the old builds by route, and bad ones of them, in the seconds in which nothing ails all.
    calm: Vec<(u32, u32)>,
    /// The old builds' latencies that those of each second are compared with, by route.
    references: Vec<Vec<Option<Tally>>>,
    /// Seconds in which the share of requests fell.
    falls: SmallVec<[usize; 4]>,
}

impl<'a> Case<'a> {
    pub(crate) fn new(slices: &'a VecDeque<Slice>, falls: SmallVec<[usize; 4]>) -> Self {
        let mut sums: BTreeMap<RouteKey, (Tally, Tally)> = BTreeMap::new();
        for (route, pair) in slices.iter().flatten() {
            let sum = sums.entry(*route).or_default();
            sum.0.add(&pair.old);
            sum.1.add(&pair.new);
        }
        let second = |slice: &Slice| {
            slice.values().fold((0, 0), |sum, it| (sum.0 + it.old.answers, sum.1 + it.old.bad))
        };
        let seconds = slices.iter().map(second).collect();
        let (routes, totals) = sums.into_iter().unzip();
        let mut case = Case {
            slices,
            routes,
            totals,
            seconds,
            calm: Vec::new(),
            references: Vec::new(),
            falls,
        };
        case.calm = case.calm_rates();
        let references = |route| {
            let has_new = |it: &usize| {
                slices[*it].get(&case.routes[route]).is_some_and(|it| it.new.answers > it.new.bad)
            };
            let reference = |it| Some(it).filter(has_new).and_then(|it| case.reference(route, it));
            (0..slices.len()).map(reference).collect()
        };
        case.references = (0..case.routes.len()).map(references).collect();
        case
    }

    /// Returns the old builds' answers and bad ones by route, without the seconds that stand out.
    fn calm_rates(&self) -> Vec<(u32, u32)> {
        let mean = self.mean_rate();
        let mut calm = vec![(0, 0); self.routes.len()];
        for (slice, (answers, bad)) in self.slices.iter().zip(&self.seconds) {
            if second_rate(*bad, *answers, mean) > mean {
                continue;
            }
            for (sum, key) in calm.iter_mut().zip(&self.routes) {
                if let Some(pair) = slice.get(key) {
                    *sum = (sum.0 + pair.old.answers, sum.1 + pair.old.bad);
                }
            }
        }
        calm
    }

    /// Returns the old builds' rate of failures over all routes and seconds.
    fn mean_rate(&self) -> f64 {
        let sum = self.seconds.iter().fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
        upper_rate(sum.1, sum.0)
    }

    /// Returns where a fault may be, on a route or on all for `None`, and how much each weighs. Routes on
    /// which the old builds have few of the answers are left to the one for all.
    pub(crate) fn scopes(&self) -> Vec<(Option<usize>, f64)> {
        let old: u32 = self.totals.iter().map(|it| it.0.answers).sum();
        let is_used = |it: &usize| {
            f64::from(self.totals[*it].0.answers) >= LEAST_ROUTE * f64::from(old.max(1))
        };
        let used: Vec<usize> = (0..self.routes.len()).filter(is_used).collect();
        let weight = ONE_ROUTE / used.len().max(1) as f64;
        let routes = used.into_iter().map(|it| (Some(it), weight));
        std::iter::once((None, 1.0 - ONE_ROUTE)).chain(routes).collect()
    }

    /// Returns the gains of each second for each route, and for all routes together.
    pub(crate) fn gains(&self, indicator: Indicator) -> (Vec<Vec<Gains>>, Vec<Gains>) {
        let mut all = vec![Gains::default(); self.slices.len()];
        let mut by_route = vec![all.clone(); self.routes.len()];
        for (route, gains) in by_route.iter_mut().enumerate() {
            let first = self.first_new(route);
            for index in first..self.slices.len() {
                let is_cold = index - first < COLD_SECONDS;
                let Some(sampled) = self.sampled(indicator, route, index, is_cold) else {
                    continue;
                };
                for (part, sum) in all[index].iter_mut().enumerate() {
                    gains[index][part] = sampled.gain(PARTS[part]);
                    *sum += gains[index][part];
                }
            }
        }
        (by_route, all)
    }

    /// Returns the evidence for the log line.
    pub(crate) fn reason(&self, cause: Cause, route: Option<RouteKey>) -> Reason {
        let mut reason =
            Reason { cause, route, old_answers: 0, old_bad: 0, new_answers: 0, new_bad: 0 };
        for (key, (old, new)) in self.routes.iter().zip(&self.totals) {
            if route.is_none_or(|it| it == *key) {
                reason.old_answers += old.answers;
                reason.old_bad += old.bad;
                reason.new_answers += new.answers;
                reason.new_bad += new.bad;
            }
        }
        reason
    }

    /// Returns the first second in which the new build answered on a route.
    fn first_new(&self, route: usize) -> usize {
        let key = self.routes[route];
        let answered = |it: &Slice| it.get(&key).is_some_and(|it| it.new.answers > 0);
        self.slices.iter().position(answered).unwrap_or(self.slices.len())
    }

    fn sampled(
        &self,
        indicator: Indicator,
        route: usize,
        index: usize,
        is_cold: bool,
    ) -> Option<Sampled> {
        let new = &self.slices[index].get(&self.routes[route])?.new;
        if new.answers == 0 {
            return None;
        }
        let level = match indicator {
            Indicator::Errors => {
                let rate = self.error_rate(route, index);
                return Some(Sampled { hits: new.bad, answers: new.answers, rate });
            }
            Indicator::Body => BODY,
            Indicator::Tail => TAIL,
        };
        if self.falls.iter().any(|it| (*it..*it + LINGERING_SECONDS).contains(&index)) {
            return None;
        }
        let old = self.references[route][index].as_ref()?;
        let tolerance = if is_cold { COLD_TOLERANCE_BINS } else { TOLERANCE_BINS };
        let (threshold, rate) = threshold(old, level);
        let rate = self.slow_rate(route, index, threshold, rate);
        let hits = new.latencies.get(threshold + tolerance..)?.iter().sum();
        Some(Sampled { hits, answers: new.latencies.iter().sum(), rate })
    }

    /// Returns the rate of answers from a latency bin on that a good build has at most in a second: a mean
    /// rate of the old builds, or that of this second and those beside it if it is higher.
    fn slow_rate(&self, route: usize, index: usize, threshold: usize, mean: f64) -> f64 {
        let key = self.routes[route];
        let near = index.saturating_sub(1)..(index + 2).min(self.slices.len());
        let rates = self.slices.range(near).filter_map(|it| it.get(&key)).map(|it| {
            let latencies = &it.old.latencies;
            let hits = latencies[threshold..].iter().sum();
            second_rate(hits, latencies.iter().sum(), mean)
        });
        rates.fold(mean, f64::max)
    }

    /// Returns the rate of failures that a good build has at most in a second: the old builds' over all
    /// seconds, or that of this second and those beside it if it is higher.
    fn error_rate(&self, route: usize, index: usize) -> f64 {
        let (answers, bad) = self.calm[route];
        let mean = upper_rate(bad, answers);
        let (answers, bad) = self.calm.iter().fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
        let all_mean = upper_rate(bad, answers);
        let key = self.routes[route];
        let mut rate = mean;
        let mut compared = 0;
        for near in index.saturating_sub(1)..(index + 2).min(self.slices.len()) {
            let tally = self.slices[near].get(&key).map(|it| (it.old.answers, it.old.bad));
            let (answers, bad) = tally.unwrap_or_default();
            compared += answers;
            rate = rate.max(second_rate(bad, answers, mean));
            // A second that is bad on all routes tells of a route with few answers.
            let (answers, bad) = self.seconds[near];
            if second_rate(bad, answers, all_mean) > all_mean {
                rate = rate.max(second_rate(bad, answers, all_mean));
            }
        }
        if compared == 0 { rate.max(UNCOMPARED_RATE) } else { rate }
    }

    /// Returns the old builds' latencies that those of a second are compared with: of as few seconds around
    /// it as have enough answers. Returns `None` if the old builds gave no answers about then, or few in all.
    fn reference(&self, route: usize, index: usize) -> Option<Tally> {
        let key = self.routes[route];
        for reach in REFERENCE_REACHES {
            let mut sum = Tally::default();
            let near = index.saturating_sub(reach)..(index + reach + 1).min(self.slices.len());
            for pair in self.slices.range(near).filter_map(|it| it.get(&key)) {
                sum.add(&pair.old);
            }
            if sum.latencies.iter().sum::<u32>() >= MIN_OLD {
                return Some(sum);
            }
            if reach >= SILENCE && sum.answers == 0 {
                return None;
            }
        }
        None
    }
}

/// Returns a rate with a margin for the chance in its counts.
fn upper_rate(hits: u32, answers: u32) -> f64 {
    let hits = f64::from(hits);
    ((hits + 1.0 + 0.5 * hits.sqrt()) / (f64::from(answers) + 2.0)).min(1.0)
}

/// Returns the rate of a second: a mean rate, or its own with a margin if that is higher by more than chance.
fn second_rate(hits: u32, answers: u32, mean: f64) -> f64 {
    let expected = mean * f64::from(answers);
    let chance = SURPRISE * (expected * (1.0 - mean)).sqrt() + 1.0;
    let hits = f64::from(hits);
    if hits <= expected + chance {
        return mean;
    }
    ((hits + hits.sqrt() + 1.0) / (f64::from(answers) + 2.0)).min(1.0)
}

/// Returns the first latency bin of which at most a part of the answers lies at or above, and that part with
/// a margin.
fn threshold(old: &Tally, level: f64) -> (usize, f64) {
    let answers: u32 = old.latencies.iter().sum();
    let mut above = 0;
    let mut threshold = BINS;
    while threshold > 0 {
        let next = above + old.latencies[threshold - 1];
        if f64::from(next) > level * f64::from(answers) {
            break;
        }
        above = next;
        threshold -= 1;
    }
    (threshold, upper_rate(above, answers))
}
