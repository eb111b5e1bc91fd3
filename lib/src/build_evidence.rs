//! How the answers of a new build compare with those of the old ones: counts of one host, and the sums of
//! all hosts.
//!
//! Load pattern: up to a thousand answers a second over hundreds of hosts, of which a few in a hundred come
//! from the new build. A host counts by side, route and second and sends the absolute counts of its last
//! seconds, so that lost, repeated and reordered news do no harm; older seconds are summed over all hosts.
//!
//! Does no I/O.

use std::collections::{HashMap, VecDeque};

use crate::prelude::*;

/// Seconds whose counts are sent: the present one and those before.
const SENT_SLICES: u32 = 3;
/// Seconds that are kept by host, because news of them may still come.
const OPEN_SLICES: u32 = 5;
/// Seconds that are kept in sums; older ones are forgotten.
const MAX_SLICES: usize = 64;
/// Hosts whose counts are taken.
const MAX_HOSTS: usize = 1024;
/// Routes that are told apart; answers on others count for the last one.
const MAX_ROUTES: usize = 8;
/// Latency bins, from [`FIRST_BIN_MILLIS`] on.
pub const BINS: usize = 48;
/// Latency bins in which latencies double.
pub(crate) const OCTAVE_BINS: usize = 4;
/// Upper end of the lowest latency bin, in milliseconds.
const FIRST_BIN_MILLIS: f64 = 8.0;

/// Which builds an answer comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Side {
    /// A build that the service has run so far.
    Old,
    /// The build on trial.
    New,
}

/// One answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// A whole and valid answer.
    Good {
        /// Time until the answer.
        latency: Duration,
    },
    /// A failed, invalid or broken answer.
    Bad,
}

/// Hash of a route's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(pub u32);

/// Counts of a host, side, route and second.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Count {
    /// Which builds.
    pub side: Side,
    /// The route.
    pub route: RouteKey,
    /// The second, by the host's own count.
    pub slice: u32,
    /// All answers.
    pub answers: u32,
    /// Those that were bad.
    pub bad: u32,
    /// Good answers by latency bin, without empty bins at the end.
    pub latencies: SmallVec<[u32; 16]>,
}

/// Answers of one side.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    pub(crate) answers: u32,
    pub(crate) bad: u32,
    pub(crate) latencies: [u32; BINS],
}

impl Default for Tally {
    fn default() -> Self {
        Tally { answers: 0, bad: 0, latencies: [0; BINS] }
    }
}

impl Tally {
    /// Adds the answers of another tally.
    pub(crate) fn add(&mut self, other: &Tally) {
        self.answers = self.answers.saturating_add(other.answers);
        self.bad = self.bad.saturating_add(other.bad);
        if other.answers > other.bad {
            for (sum, it) in self.latencies.iter_mut().zip(&other.latencies) {
                *sum = sum.saturating_add(*it);
            }
        }
    }

    /// Returns what is in this tally and not in an earlier one.
    fn less(&self, earlier: &Tally) -> Tally {
        let mut news = self.clone();
        news.answers = news.answers.saturating_sub(earlier.answers);
        news.bad = news.bad.saturating_sub(earlier.bad);
        for (it, earlier) in news.latencies.iter_mut().zip(&earlier.latencies) {
            *it = it.saturating_sub(*earlier);
        }
        news
    }

    fn record(&mut self, sample: Sample) {
        self.answers += 1;
        match sample {
            Sample::Good { latency } => self.latencies[bin(latency)] += 1,
            Sample::Bad => self.bad += 1,
        }
    }
}

impl From<&Count> for Tally {
    fn from(count: &Count) -> Self {
        let bad = count.bad.min(count.answers);
        let mut tally = Tally { answers: count.answers, bad, ..Tally::default() };
        for (bin, it) in tally.latencies.iter_mut().zip(&count.latencies) {
            *bin = *it;
        }
        tally
    }
}

/// Both sides of a route in one second.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pair {
    pub(crate) old: Tally,
    pub(crate) new: Tally,
}

impl Pair {
    fn side(&mut self, side: Side) -> &mut Tally {
        match side {
            Side::Old => &mut self.old,
            Side::New => &mut self.new,
        }
    }
}

/// All routes in one second.
pub(crate) type Slice = BTreeMap<RouteKey, Pair>;

/// Returns the latency bin of an answer.
fn bin(latency: Duration) -> usize {
    let octaves = (latency.as_secs_f64() * 1000.0 / FIRST_BIN_MILLIS).max(1.0).log2();
    ((octaves * OCTAVE_BINS as f64).ceil() as usize).min(BINS - 1)
}

/// Returns the entry of a route; the last one stands for all others when there are too many.
fn entry(slice: &mut Slice, route: RouteKey) -> &mut Pair {
    let full = slice.len() >= MAX_ROUTES && !slice.contains_key(&route);
    let last = slice.keys().next_back().copied();
    slice.entry(last.filter(|_| full).unwrap_or(route)).or_default()
}

/// What one host has counted.
#[derive(Clone, Debug)]
pub struct Evidence {
    started: Instant,
    first_slice: u32,
    /// The last seconds, the oldest first.
    slices: VecDeque<(u32, Slice)>,
}

impl Evidence {
    /// Creates the counts of a host that sees the order at `started`. Its seconds are counted from
    /// `first_slice`, which must grow from one start of the host to the next (e.g. seconds of the wall
    /// clock), so that counts of its earlier life aren't taken for those of the present one.
    pub fn new(started: Instant, first_slice: u32) -> Self {
        Evidence { started, first_slice, slices: VecDeque::new() }
    }

    /// Counts one answer.
    pub fn record(&mut self, now: Instant, side: Side, route: RouteKey, sample: Sample) {
        let present = self.slice_at(now);
        if self.slices.back().is_none_or(|(slice, _)| *slice < present) {
            self.slices.push_back((present, Slice::new()));
        }
        while self.slices.len() > SENT_SLICES as usize {
            self.slices.pop_front();
        }
        if let Some((_, slice)) = self.slices.back_mut() {
            entry(slice, route).side(side).record(sample);
        }
    }

    /// Returns the absolute counts of the last seconds.
    pub fn counts(&self) -> Vec<Count> {
        let mut counts = Vec::new();
        for (slice, routes) in &self.slices {
            for (route, pair) in routes {
                for (side, tally) in [(Side::Old, &pair.old), (Side::New, &pair.new)] {
                    if tally.answers > 0 {
                        counts.push(count(*slice, *route, side, tally));
                    }
                }
            }
        }
        counts
    }

    fn slice_at(&self, now: Instant) -> u32 {
        self.first_slice.saturating_add(whole_seconds(now.since(self.started)))
    }
}

fn count(slice: u32, route: RouteKey, side: Side, tally: &Tally) -> Count {
    let used = tally.latencies.iter().rposition(|it| *it > 0).map_or(0, |it| it + 1);
    let latencies = SmallVec::from_slice(&tally.latencies[..used]);
    Count { side, route, slice, answers: tally.answers, bad: tally.bad, latencies }
}

fn whole_seconds(span: Duration) -> u32 {
    u32::try_from(span.as_secs()).unwrap_or(u32::MAX)
}

/// What one host has reported of its last seconds.
#[derive(Clone, Debug)]
struct Reporter {
    /// Its latest second of which counts came.
    newest: u32,
    /// The pool's seconds less the host's; the least that was seen, as news are late at times.
    offset: i64,
    /// Its seconds of which news are still taken, with the number that they have in the pool.
    open: BTreeMap<u32, (u32, Slice)>,
}

/// The counts of all hosts, by the seconds of this one.
#[derive(Clone, Debug)]
pub struct Pool {
    started: Instant,
    reporters: HashMap<Host, Reporter>,
    /// Number of the first second in `sums`.
    first: u32,
    sums: VecDeque<Slice>,
}

impl Pool {
    /// Creates an empty pool at a host that sees the order at `started`.
    pub fn new(started: Instant) -> Self {
        Pool { started, reporters: HashMap::new(), first: 0, sums: VecDeque::new() }
    }

    /// Takes the newest counts of a host, also this one's own. Older counts of the same seconds, and counts
    /// of seconds that are closed for this host, change nothing.
    pub fn apply(&mut self, now: Instant, host: &Host, counts: Vec<Count>) {
        let Some(newest) = counts.iter().map(|it| it.slice).max() else { return };
        let present = self.slice_at(now);
        let offset = i64::from(present) - i64::from(newest);
        if !self.reporters.contains_key(host) && self.reporters.len() >= MAX_HOSTS {
            return;
        }
        let reporter = self.reporters.entry(host.clone()).or_insert(Reporter {
            newest,
            offset,
            open: BTreeMap::new(),
        });
        reporter.newest = reporter.newest.max(newest);
        reporter.offset = reporter.offset.min(offset);
        let oldest_open = reporter.newest.saturating_sub(OPEN_SLICES - 1);
        reporter.open = reporter.open.split_off(&oldest_open);
        for count in counts.iter().filter(|it| it.slice >= oldest_open) {
            let Ok(number) = u32::try_from(i64::from(count.slice) + reporter.offset) else {
                continue;
            };
            let (number, slice) =
                reporter.open.entry(count.slice).or_insert((number.min(present), Slice::new()));
            let known = entry(slice, count.route).side(count.side);
            let tally = Tally::from(count);
            if tally.answers > known.answers {
                let news = tally.less(known);
                *known = tally;
                let sums = slice_of(&mut self.sums, &mut self.first, *number);
                if let Some(sums) = sums {
                    entry(sums, count.route).side(count.side).add(&news);
                }
            }
        }
    }

    /// Returns the number of answers of a side so far, and how many of them were bad.
    pub fn totals(&self, side: Side) -> (u64, u64) {
        let (mut answers, mut bad) = (0, 0);
        for pair in self.sums.iter().flat_map(BTreeMap::values) {
            let tally = if side == Side::Old { &pair.old } else { &pair.new };
            answers += u64::from(tally.answers);
            bad += u64::from(tally.bad);
        }
        (answers, bad)
    }

    /// Returns this host's number of the second of a time.
    fn slice_at(&self, now: Instant) -> u32 {
        whole_seconds(now.since(self.started))
    }

    /// Returns the place in [`sums`](Self::sums) of the second of a time.
    pub(crate) fn index_at(&self, now: Instant) -> usize {
        self.slice_at(now).saturating_sub(self.first) as usize
    }

    /// Returns the sums over all hosts by second, the oldest first.
    pub(crate) fn sums(&self) -> &VecDeque<Slice> {
        &self.sums
    }
}

/// Returns the sums of a second. The oldest seconds are forgotten when there are too many.
fn slice_of<'a>(
    sums: &'a mut VecDeque<Slice>,
    first: &mut u32,
    number: u32,
) -> Option<&'a mut Slice> {
    let index = number.checked_sub(*first)? as usize;
    let excess = (index + 1).saturating_sub(MAX_SLICES);
    sums.drain(..excess.min(sums.len()));
    *first = first.saturating_add(u32::try_from(excess).unwrap_or(u32::MAX));
    let index = index - excess;
    while sums.len() <= index {
        sums.push_back(Slice::new());
    }
    sums.get_mut(index)
}
