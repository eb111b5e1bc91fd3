//! Evidence of what crashes upstreams: which requests broke with each end of an upstream's process, and what was answered
//! since. [`poison`](crate::poison) judges it. Does no I/O.

use std::{
    collections::{HashMap, VecDeque},
    fmt,
};

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::prelude::*;

/// Upstreams that lose power together break off within this time, seen from one host.
const MIN_SEPARATION: Duration = Duration::from_millis(200);
/// A process that was alive this long after a crash is not the one that crashed. Hosts see the same crash at slightly
/// different times.
const CRASH_SKEW: Duration = Duration::from_millis(200);
/// How long a crash counts as evidence.
const EVIDENCE_TTL: Duration = Duration::from_secs(600);
/// Largest number of crashes that are remembered; beyond it, the oldest is dropped.
const MAX_CRASHES: usize = 64;
/// Largest number of requests that are remembered of one crash.
const MAX_BROKEN_REQUESTS: usize = 64;
/// Parts in one of the two generations in which answers are remembered.
const MAX_ANSWERED_PARTS: usize = 4096;
/// Times of answers that are remembered, and the shortest time between two of them.
const MAX_ANSWER_TIMES: usize = 512;
const ANSWER_TIME_STEP: Duration = Duration::from_millis(10);

/// Hash of a request's path, API key and body, which are the same when a caller repeats it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a request; `key` is the caller's API key.
    pub fn new(path: &str, key: Option<&str>, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [path.as_bytes(), key.unwrap_or_default().as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Fingerprint(hasher.digest())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies what requests may share: a part of a prompt, by a hash of its id, or the whole request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u64);

impl Key {
    /// Returns the key of the prompt part with this id.
    pub fn new(id: &str) -> Self {
        Key(xxh3_64(id.as_bytes()))
    }
}

impl From<Fingerprint> for Key {
    fn from(request: Fingerprint) -> Self {
        Key(request.0)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Keys that one request holds: its own and those of its parts.
pub type Keys = SmallVec<[Key; 4]>;

/// Returns keys as text for logs.
pub fn format_keys(keys: &[Key]) -> String {
    keys.iter().map(Key::to_string).collect::<Vec<_>>().join(",")
}

/// A request whose upstream broke off before the response was complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Break {
    /// The request.
    pub request: Fingerprint,
    /// The upstream.
    pub upstream: Upstream,
    /// Start of the upstream's process in Unix milliseconds; 0 if not known.
    pub start_time_ms: u64,
    /// The parts of the prompt that other requests may share; none if an event had arrived.
    pub parts: Keys,
    /// Whether the upstream had begun to respond, so that another request may have crashed it.
    pub had_event: bool,
    /// When the connection broke.
    pub broke_at: Instant,
    /// Time from the upstream's last sign of life on that connection until it broke; `None` if that is not known.
    pub silence: Option<Duration>,
}

impl Break {
    /// Returns the keys that the break puts under suspicion, in ascending order.
    pub fn keys(&self) -> Keys {
        let mut keys: Keys = self.parts.iter().copied().chain([self.request.into()]).collect();
        keys.sort();
        keys.dedup();
        keys
    }
}

#[derive(Clone, Debug)]
struct BrokenRequest {
    request: Fingerprint,
    /// Those of its keys that are under suspicion.
    keys: Keys,
    had_event: bool,
    broke_at: Instant,
    /// When the upstream last showed that it was alive; the default if that is not known.
    alive_at: Instant,
}

/// The end of one process of an upstream.
#[derive(Clone, Debug)]
struct Crash {
    upstream: Upstream,
    start_time_ms: u64,
    /// When this host first heard of it.
    known_at: Instant,
    /// Requests that were under way there.
    requests: Vec<BrokenRequest>,
}

impl Crash {
    /// Returns whether a break is of this end of the process. An upstream may come back under its id without telling
    /// the time of its start.
    fn includes(&self, report: &Break, alive_at: Instant) -> bool {
        if self.upstream != report.upstream || self.start_time_ms != report.start_time_ms {
            return false;
        }
        let broke_at = self.requests.iter().map(|it| it.broke_at).min().unwrap_or_default();
        let last_alive_at = self.requests.iter().map(|it| it.alive_at).max().unwrap_or_default();
        alive_at <= broke_at + CRASH_SKEW && last_alive_at <= report.broke_at + CRASH_SKEW
    }

    fn holds(&self, key: Key) -> bool {
        self.requests.iter().any(|it| it.keys.contains(&key))
    }

    /// Returns all keys that are under suspicion, in ascending order.
    fn keys(&self) -> Vec<Key> {
        let keys = self.requests.iter().flat_map(|it| it.keys.iter().copied());
        let mut keys: Vec<_> = keys.collect();
        keys.sort();
        keys.dedup();
        keys
    }
}

/// When parts were last answered. Two generations bound the memory: the older one is dropped when the
/// newer one is full.
#[derive(Debug, Default)]
struct Answered {
    newer: HashMap<Key, Instant>,
    older: HashMap<Key, Instant>,
}

impl Answered {
    fn record(&mut self, key: Key, at: Instant) {
        if self.newer.len() >= MAX_ANSWERED_PARTS && !self.newer.contains_key(&key) {
            self.older = std::mem::take(&mut self.newer);
        }
        let entry = self.newer.entry(key).or_insert(at);
        *entry = at.max(*entry);
    }

    fn last(&self, key: Key) -> Option<Instant> {
        self.newer.get(&key).copied().max(self.older.get(&key).copied())
    }
}

/// What a break has added to the evidence.
#[derive(Clone, Debug, Default)]
pub(crate) struct Addition {
    /// Keys that it puts under suspicion; none if it was known, as most reports are that hosts tell again.
    pub(crate) suspected: Keys,
    /// Keys that this host has seen answered since the break.
    pub(crate) answered: Keys,
    /// When this host first heard of the crash.
    pub(crate) known_at: Instant,
}

/// A crash as it counts for one key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Occurrence {
    /// Index of the crash.
    pub(crate) crash: usize,
    pub(crate) broke_at: Instant,
    alive_at: Instant,
    /// Whether the upstream had begun to respond to all requests with the key.
    pub(crate) had_event: bool,
}

/// Crashes in which keys are under suspicion, and answers.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    crashes: VecDeque<Crash>,
    /// Keys that are under suspicion, each with the number of requests that hold it.
    suspected: HashMap<Key, u32>,
    answered: Answered,
    /// When upstreams answered any request of this host, in order.
    answer_times: VecDeque<Instant>,
}

impl Evidence {
    /// Records a request whose upstream broke off.
    pub(crate) fn record(&mut self, now: Instant, report: &Break) -> Addition {
        let broke_at = report.broke_at;
        let (answered, suspected): (Keys, Keys) = report
            .keys()
            .into_iter()
            .partition(|it| self.answered.last(*it).is_some_and(|it| it >= broke_at));
        let mut addition = Addition { suspected, answered, known_at: now };
        if addition.suspected.is_empty() {
            return addition;
        }
        let alive_at = report.silence.map(|it| broke_at.saturating_sub(it)).unwrap_or_default();
        let broken = BrokenRequest {
            request: report.request,
            keys: addition.suspected.clone(),
            had_event: report.had_event,
            broke_at,
            alive_at,
        };
        match self.crashes.iter_mut().find(|it| it.includes(report, alive_at)) {
            Some(crash) => {
                // Other hosts may report it more than once.
                let is_known = crash
                    .requests
                    .iter()
                    .any(|it| it.request == broken.request && it.keys == broken.keys);
                addition.known_at = crash.known_at;
                if is_known || crash.requests.len() >= MAX_BROKEN_REQUESTS {
                    addition.suspected.clear();
                    return addition;
                }
                crash.requests.push(broken);
            }
            None => {
                if self.crashes.len() >= MAX_CRASHES {
                    self.crashes.pop_front();
                    self.count_suspected();
                }
                self.crashes.push_back(Crash {
                    upstream: report.upstream.clone(),
                    start_time_ms: report.start_time_ms,
                    known_at: now,
                    requests: vec![broken],
                });
            }
        }
        for key in &addition.suspected {
            *self.suspected.entry(*key).or_default() += 1;
        }
        addition
    }

    /// Records that an upstream answered a request of this host.
    pub(crate) fn record_answer_time(&mut self, now: Instant) {
        let last = self.answer_times.back();
        if last.is_none_or(|it| now.since(*it) >= ANSWER_TIME_STEP) {
            if self.answer_times.len() >= MAX_ANSWER_TIMES {
                self.answer_times.pop_front();
            }
            self.answer_times.push_back(now);
        }
    }

    /// Remembers that a key was answered, for reports of crashes that come later.
    pub(crate) fn remember_answer(&mut self, at: Instant, key: Key) {
        self.answered.record(key, at);
    }

    /// Takes a key that was answered at `at` from all crashes before that. Returns whether it was in one.
    pub(crate) fn clear(&mut self, at: Instant, key: Key) -> bool {
        // Nearly all answers are to requests that nothing is held against.
        let Some(count) = self.suspected.get_mut(&key) else { return false };
        let mut was_suspected = false;
        for crash in &mut self.crashes {
            for request in crash.requests.iter_mut().filter(|it| it.broke_at <= at) {
                let before = request.keys.len();
                request.keys.retain(|it| *it != key);
                let is_cleared = request.keys.len() < before;
                was_suspected |= is_cleared;
                *count -= u32::from(is_cleared);
            }
            crash.requests.retain(|it| !it.keys.is_empty());
        }
        self.crashes.retain(|it| !it.requests.is_empty());
        if *count == 0 {
            self.suspected.remove(&key);
        }
        was_suspected
    }

    /// Counts the requests that hold each key that is under suspicion.
    fn count_suspected(&mut self) {
        self.suspected.clear();
        let requests = self.crashes.iter().flat_map(|it| &it.requests);
        for key in requests.flat_map(|it| &it.keys) {
            *self.suspected.entry(*key).or_default() += 1;
        }
    }

    /// Returns whether this host has seen a key answered after `at`.
    pub(crate) fn is_answered_after(&self, at: Instant, key: Key) -> bool {
        self.answered.last(key).is_some_and(|it| it > at)
    }

    /// Forgets crashes that are too old.
    pub(crate) fn purge(&mut self, now: Instant) {
        self.crashes
            .retain(|it| it.requests.iter().any(|it| now.since(it.broke_at) < EVIDENCE_TTL));
        self.count_suspected();
    }

    /// Returns the number of remembered crashes.
    pub(crate) fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// Returns the requests that are remembered of all crashes, with the keys that are under suspicion.
    pub(crate) fn reports(&self) -> impl Iterator<Item = Break> {
        self.crashes.iter().flat_map(|crash| {
            crash.requests.iter().map(|it| Break {
                request: it.request,
                upstream: crash.upstream.clone(),
                start_time_ms: crash.start_time_ms,
                parts: it.keys.iter().copied().filter(|key| *key != it.request.into()).collect(),
                had_event: it.had_event,
                broke_at: it.broke_at,
                silence: (it.alive_at != Instant::ZERO).then(|| it.broke_at.since(it.alive_at)),
            })
        })
    }

    /// Returns whether one of these keys is under suspicion.
    pub(crate) fn holds_any(&self, keys: &[Key]) -> bool {
        keys.iter().any(|it| self.suspected.contains_key(it))
    }

    /// Returns how many requests with a key are under suspicion because of it, which is no less than the number of crashes
    /// with it.
    pub(crate) fn request_count(&self, key: Key) -> usize {
        self.suspected.get(&key).map_or(0, |it| *it as usize)
    }

    /// Returns the crashes in which a key is under suspicion and for which `counts` returns true, in the order of their
    /// times.
    pub(crate) fn occurrences<F>(&self, key: Key, counts: F) -> SmallVec<[Occurrence; 8]>
    where
        F: Fn(usize) -> bool,
    {
        let mut occurrences: SmallVec<[Occurrence; 8]> = SmallVec::new();
        for (index, crash) in self.crashes.iter().enumerate() {
            let with_key = || crash.requests.iter().filter(|it| it.keys.contains(&key));
            let Some(last) = with_key().max_by_key(|it| it.alive_at) else { continue };
            if counts(index) {
                occurrences.push(Occurrence {
                    crash: index,
                    broke_at: last.broke_at,
                    alive_at: last.alive_at,
                    had_event: with_key().all(|it| it.had_event),
                });
            }
        }
        occurrences.sort_by_key(|it| it.broke_at);
        occurrences
    }

    /// Returns how many crashes are separate events. A crash is separate from the one before it if its
    /// upstream was alive after that, or if other requests were answered between the two. So upstreams
    /// that lose power together count once, also when nothing is left that could answer.
    pub(crate) fn count_separate(&self, occurrences: &[Occurrence]) -> usize {
        let mut count = 0;
        let mut last: Option<Instant> = None;
        for it in occurrences {
            let is_separate = last.is_none_or(|last| {
                let answered = self.answer_times.partition_point(|time| *time <= last);
                let answered =
                    self.answer_times.get(answered).is_some_and(|time| *time < it.broke_at);
                it.alive_at > last || answered && it.broke_at.since(last) >= MIN_SEPARATION
            });
            if is_separate {
                count += 1;
                last = Some(it.broke_at);
            }
        }
        count
    }

    /// Returns the keys that are under suspicion in each of these crashes.
    pub(crate) fn common_keys(&self, occurrences: &[Occurrence]) -> Vec<Key> {
        let mut crashes = occurrences.iter().map(|it| &self.crashes[it.crash]);
        let mut common = crashes.next().map(Crash::keys).unwrap_or_default();
        for crash in crashes {
            let keys = crash.keys();
            common.retain(|it| keys.binary_search(it).is_ok());
        }
        common
    }

    /// Returns whether some request in a crash holds both keys.
    pub(crate) fn is_shared(&self, crash: usize, first: Key, second: Key) -> bool {
        let mut requests = self.crashes[crash].requests.iter();
        requests.any(|it| it.keys.contains(&first) && it.keys.contains(&second))
    }

    /// Returns when this host first heard of a crash.
    pub(crate) fn known_at(&self, crash: usize) -> Instant {
        self.crashes[crash].known_at
    }

    /// Returns whether a key is under suspicion in a crash.
    pub(crate) fn holds(&self, crash: usize, key: Key) -> bool {
        self.crashes[crash].holds(key)
    }

    /// Returns the crashes in which a request holds all of these keys.
    pub(crate) fn crashes_with(&self, keys: &[Key]) -> SmallVec<[usize; 4]> {
        if !keys.iter().all(|it| self.suspected.contains_key(it)) {
            return SmallVec::new();
        }
        let holds_all = |it: &BrokenRequest| keys.iter().all(|key| it.keys.contains(key));
        let crashes = self.crashes.iter().enumerate();
        crashes.filter(|it| it.1.requests.iter().any(holds_all)).map(|it| it.0).collect()
    }
}
