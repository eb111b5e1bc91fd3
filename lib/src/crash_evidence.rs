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
/// How much longer an answer has to go on than one at which an upstream crashed, to show that its request does not crash
/// upstreams. It shows that after each such time.
pub const RUN_STEP: Duration = Duration::from_millis(1500);
/// How long the longest run of an answer to a key counts for reports that come late.
const RUN_TTL: Duration = Duration::from_secs(5);

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

/// What an answer shows of the keys that its request holds. Its first event shows nothing: an upstream may crash right
/// after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proof {
    /// The answer has gone on for so long after its first event. The request does not crash upstreams much earlier.
    Ran(Duration),
    /// The answer was complete. The request does not crash upstreams.
    Whole,
}

impl Proof {
    /// Returns whether the answer refutes that a key crashed an upstream that had written an answer for `ran`.
    fn refutes(self, ran: Option<Duration>) -> bool {
        match self {
            Proof::Ran(time) => time >= ran.unwrap_or_default() + RUN_STEP,
            Proof::Whole => true,
        }
    }
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
    /// The parts of the prompt that other requests may share.
    pub parts: Keys,
    /// Time from the first event of the response until the connection broke; `None` if no event had arrived.
    pub ran: Option<Duration>,
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
    ran: Option<Duration>,
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

/// The last answers to a key.
#[derive(Clone, Copy, Debug, Default)]
struct Answers {
    whole_at: Option<Instant>,
    /// The longest run of a moment ago, and when it was seen.
    run: Option<(Instant, Duration)>,
}

impl Answers {
    fn record(&mut self, at: Instant, proof: Proof) {
        match proof {
            Proof::Whole => self.whole_at = self.whole_at.max(Some(at)),
            Proof::Ran(time) => {
                let is_longest = |it: (Instant, Duration)| it.1 <= time || it.0 + RUN_TTL < at;
                if self.run.is_none_or(is_longest) {
                    self.run = Some((at, time));
                }
            }
        }
    }
}

/// Answers to keys. Two generations bound the memory: the older one is dropped when the newer one is full.
#[derive(Debug, Default)]
struct Answered {
    newer: HashMap<Key, Answers>,
    older: HashMap<Key, Answers>,
}

impl Answered {
    fn record(&mut self, key: Key, at: Instant, proof: Proof) {
        if self.newer.len() >= MAX_ANSWERED_PARTS && !self.newer.contains_key(&key) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.entry(key).or_default().record(at, proof);
    }

    fn answers(&self, key: Key) -> impl Iterator<Item = &Answers> {
        [&self.newer, &self.older].into_iter().filter_map(move |it| it.get(&key))
    }

    /// Returns when a request with a key last got a whole answer.
    fn last_whole(&self, key: Key) -> Option<Instant> {
        self.answers(key).filter_map(|it| it.whole_at).max()
    }

    /// Returns whether an answer refutes that a key crashed an upstream at `broke_at`.
    fn refutes(&self, key: Key, broke_at: Instant, ran: Option<Duration>) -> bool {
        self.answers(key).any(|it| {
            let run = it.run.filter(|run| run.0 >= broke_at);
            it.whole_at >= Some(broke_at) || run.is_some_and(|it| Proof::Ran(it.1).refutes(ran))
        })
    }
}

/// What a break has added to the evidence.
#[derive(Clone, Debug, Default)]
pub(crate) struct Addition {
    /// Keys that it puts under suspicion; none if it was known, as most reports are that hosts tell again.
    pub(crate) suspected: Keys,
    /// Keys to which this host has seen whole answers since the break.
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
    /// The longest time for which the upstream had written an answer to a request with the key; `None` if it had not
    /// begun to. Had a request with the key crashed it, it would have been this one.
    pub(crate) ran: Option<Duration>,
    /// Whether the upstream had begun to answer no other request later.
    pub(crate) is_latest: bool,
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
        let (mut answered, suspected): (Keys, Keys) = report
            .keys()
            .into_iter()
            .partition(|it| self.answered.refutes(*it, broke_at, report.ran));
        answered.retain(|it| self.answered.last_whole(*it) >= Some(broke_at));
        let mut addition = Addition { suspected, answered, known_at: now };
        if addition.suspected.is_empty() {
            return addition;
        }
        let alive_at = report.silence.map(|it| broke_at.saturating_sub(it)).unwrap_or_default();
        let broken = BrokenRequest {
            request: report.request,
            keys: addition.suspected.clone(),
            ran: report.ran,
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
                let is_full = crash.requests.len() >= MAX_BROKEN_REQUESTS;
                let longest = crash.requests.iter_mut().max_by_key(|it| it.ran);
                match longest.filter(|_| is_full) {
                    _ if is_known => {
                        addition.suspected.clear();
                        return addition;
                    }
                    None => crash.requests.push(broken),
                    // The request that crashed the upstream is rather one that it had just begun to answer.
                    Some(longest) if broken.ran < longest.ran => {
                        let dropped = std::mem::replace(longest, broken);
                        dropped.keys.iter().for_each(|it| release(&mut self.suspected, *it));
                    }
                    Some(_) => {
                        addition.suspected.clear();
                        return addition;
                    }
                }
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
    pub(crate) fn remember_answer(&mut self, at: Instant, key: Key, proof: Proof) {
        self.answered.record(key, at, proof);
    }

    /// Takes a key that was answered at `at` from the crashes before that which the answer refutes. Returns whether it
    /// was in one.
    pub(crate) fn clear(&mut self, at: Instant, key: Key, proof: Proof) -> bool {
        // Nearly all answers are to requests that nothing is held against.
        if !self.suspected.contains_key(&key) {
            return false;
        }
        let mut was_suspected = false;
        for crash in &mut self.crashes {
            let earlier = crash.requests.iter_mut().filter(|it| it.broke_at <= at);
            for request in earlier.filter(|it| proof.refutes(it.ran)) {
                let before = request.keys.len();
                request.keys.retain(|it| *it != key);
                if request.keys.len() < before {
                    was_suspected = true;
                    release(&mut self.suspected, key);
                }
            }
            crash.requests.retain(|it| !it.keys.is_empty());
        }
        self.crashes.retain(|it| !it.requests.is_empty());
        was_suspected
    }

    /// Returns whether a key is that of a whole request that is under suspicion.
    pub(crate) fn is_request(&self, key: Key) -> bool {
        let mut requests = self.crashes.iter().flat_map(|it| &it.requests);
        self.suspected.contains_key(&key) && requests.any(|it| key == it.request.into())
    }

    /// Counts the requests that hold each key that is under suspicion.
    fn count_suspected(&mut self) {
        self.suspected.clear();
        let requests = self.crashes.iter().flat_map(|it| &it.requests);
        for key in requests.flat_map(|it| &it.keys) {
            *self.suspected.entry(*key).or_default() += 1;
        }
    }

    /// Returns whether this host has seen a whole answer to a request with a key after `at`.
    pub(crate) fn is_answered_after(&self, at: Instant, key: Key) -> bool {
        self.answered.last_whole(key).is_some_and(|it| it > at)
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
                ran: it.ran,
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
                let ran = with_key().map(|it| it.ran).max().flatten();
                occurrences.push(Occurrence {
                    crash: index,
                    broke_at: last.broke_at,
                    alive_at: last.alive_at,
                    ran,
                    is_latest: crash.requests.iter().all(|it| it.ran >= ran),
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

/// Counts one request less that holds a key under suspicion.
fn release(suspected: &mut HashMap<Key, u32>, key: Key) {
    if let Some(count) = suspected.get_mut(&key) {
        *count -= 1;
        if *count == 0 {
            suspected.remove(&key);
        }
    }
}
