//! Finds the prompt parts that crash upstreams, so that requests which hold one are sent to no further
//! upstream. Does no I/O.
//!
//! Load pattern: one part crashes every upstream that begins to answer a request with it. The requests
//! differ in everything else, and sound requests share their key, their first part and their sessions.
//!
//! A request whose upstream breaks off before an event of the response has arrived puts all its shared
//! parts under suspicion; so do the requests that only waited beside it. An answer clears the parts of
//! its request, on all hosts. A part that is left after several separate crashes caused them, unless
//! another part was there at all of its crashes and at others. Parts that were always there together
//! are taken as one cause: only requests that hold all of them are kept away.

use std::{
    collections::{HashMap, VecDeque},
    fmt,
};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    prelude::*,
    quarantine::{Crash as RequestCrash, Fingerprint},
    rendezvous,
};

/// Largest number of parts of one request that are looked at.
pub const MAX_REQUEST_PARTS: usize = 16;
/// Separate crashes with a part, and no answer, after which the part is taken for their cause.
const CRASH_LIMIT: usize = 3;
/// Different requests that must be among them: one request that is sent again says nothing about which
/// of its parts is the cause.
const MIN_REQUESTS: usize = 2;
/// Upstreams that lose power together break off within this time, seen from one host.
const MIN_SEPARATION: Duration = Duration::from_millis(200);
/// How long a crash counts as evidence.
const EVIDENCE_TTL: Duration = Duration::from_secs(600);
/// Largest number of crashes that are remembered; beyond it, the oldest is dropped.
const MAX_CRASHES: usize = 64;
/// Largest number of requests that are remembered of one crash.
const MAX_BROKEN_REQUESTS: usize = 64;
/// Pause before a request with a cause is sent as a trial, to learn whether the part is sound again.
const FIRST_TRIAL_PAUSE: Duration = Duration::from_secs(20);
/// Factor by which the pause grows with each trial.
const TRIAL_PAUSE_FACTOR: u32 = 4;
/// Longest pause between trials.
const MAX_TRIAL_PAUSE: Duration = Duration::from_secs(1800);
/// Time, for each host, over which the hosts' trials are spread, so that one host tries first and the
/// others learn of it.
const TRIAL_SPREAD: Duration = Duration::from_millis(300);
/// How long a cause is remembered after its last crash.
const CAUSE_TTL: Duration = Duration::from_secs(3600);
/// Largest number of remembered causes; beyond it, the one with the oldest crash is dropped.
const MAX_CAUSES: usize = 64;
/// Parts in one of the two generations in which answers are remembered.
const MAX_ANSWERED_PARTS: usize = 4096;
/// Times of answers that are remembered, and the shortest time between two of them.
const MAX_ANSWER_TIMES: usize = 512;
const ANSWER_TIME_STEP: Duration = Duration::from_millis(10);

/// Identifies a prompt part: a hash of its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u64);

impl Key {
    /// Returns the key of the part with this id.
    pub fn new(id: &str) -> Self {
        Key(xxh3_64(id.as_bytes()))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Keys of parts, as one request holds them.
pub type Keys = SmallVec<[Key; 4]>;

/// Returns keys as text for logs.
pub fn format_keys(keys: &[Key]) -> String {
    keys.iter().map(Key::to_string).collect::<Vec<_>>().join(",")
}

/// A request whose upstream broke off before the response was complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Break {
    /// The request and the upstream.
    pub crash: RequestCrash,
    /// Start of the upstream's process in Unix milliseconds; 0 if not known.
    pub start_time_ms: u64,
    /// The parts of the prompt that other requests may share; none if an event had arrived.
    pub parts: Keys,
    /// When the connection broke.
    pub broke_at: Instant,
    /// Time from the upstream's last sign of life on that connection until it broke; `None` if there
    /// was none since the request was sent.
    pub silence: Option<Duration>,
}

/// Parts that crash upstreams, as one host tells another.
#[derive(Clone, Debug, PartialEq)]
pub struct CauseReport {
    /// The parts; requests that hold all of them are kept away.
    pub parts: Keys,
    /// Time since the last crash.
    pub last_crash_age: Duration,
    /// Trials so far.
    pub trials: u32,
    /// Time until the next trial.
    pub next_trial_in: Duration,
}

/// What keeps a request from being sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Rejection {
    /// The parts that crash upstreams.
    pub parts: Keys,
    /// Time until a request with them may be sent as a trial.
    pub retry_after: Duration,
}

/// Permission to send a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request holds no parts that are known to crash upstreams.
    Ordinary,
    /// It does, and tells whether they still do.
    Trial,
}

#[derive(Clone, Debug)]
struct BrokenRequest {
    request: Fingerprint,
    parts: Keys,
    broke_at: Instant,
    /// When the upstream last showed that it was alive; the default if it did not since the request was
    /// sent.
    alive_at: Instant,
}

/// The end of one process of an upstream.
#[derive(Clone, Debug)]
struct Crash {
    upstream: Upstream,
    start_time_ms: u64,
    /// Requests that waited for a first event there.
    requests: Vec<BrokenRequest>,
}

#[derive(Clone, Debug)]
struct Cause {
    parts: Keys,
    last_crash: Instant,
    trials: u32,
    next_trial: Instant,
}

impl Cause {
    fn new(parts: Keys, last_crash: Instant, now: Instant) -> Self {
        Cause { parts, last_crash, trials: 0, next_trial: now + FIRST_TRIAL_PAUSE }
    }

    /// Returns whether a request with these parts holds all parts of the cause.
    fn is_held_by(&self, parts: &[Key]) -> bool {
        self.parts.iter().all(|it| parts.contains(it))
    }

    /// Returns when `host` may send a trial; a different time for each of `host_count` hosts.
    fn next_trial_of(&self, host: &Host, host_count: usize) -> Instant {
        let key = self.parts.iter().fold(0, |sum: u64, it| sum.wrapping_add(it.0));
        let weight = rendezvous::weight(key, host.as_str());
        let spread = TRIAL_SPREAD * u32::try_from(host_count).unwrap_or(u32::MAX);
        self.next_trial + spread.mul_f64(weight as f64 / u64::MAX as f64)
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

/// A crash as it counts for one part.
struct Occurrence {
    /// Index of the crash.
    crash: usize,
    broke_at: Instant,
    alive_at: Instant,
}

/// The evidence against prompt parts, and the parts that were found to crash upstreams.
#[derive(Debug, Default)]
pub struct Detector {
    crashes: VecDeque<Crash>,
    causes: Vec<Cause>,
    answered: Answered,
    /// When upstreams answered any request of this host, in order.
    answer_times: VecDeque<Instant>,
    /// Number of changes of the causes.
    revision: u64,
}

impl Detector {
    /// Records a request whose upstream broke off. Returns the parts that this host has seen answered
    /// since, of which the reporting host does not know that.
    pub fn record_break(&mut self, now: Instant, report: &Break) -> Keys {
        let broke_at = report.broke_at;
        let is_answered = |key: &Key| self.answered.last(*key).is_some_and(|it| it >= broke_at);
        let (answered, parts): (Keys, Keys) = report.parts.iter().copied().partition(is_answered);
        if parts.is_empty() {
            return answered;
        }
        let alive_at = report.silence.map(|it| broke_at.saturating_sub(it)).unwrap_or_default();
        let broken = BrokenRequest {
            request: report.crash.request,
            parts: parts.clone(),
            broke_at,
            alive_at,
        };
        let is_same = |it: &Crash| {
            it.upstream == report.crash.upstream && it.start_time_ms == report.start_time_ms
        };
        match self.crashes.iter_mut().find(|it| is_same(it)) {
            Some(crash) => {
                // Other hosts may report it more than once.
                let is_known = crash
                    .requests
                    .iter()
                    .any(|it| it.request == broken.request && it.parts == broken.parts);
                if !is_known && crash.requests.len() < MAX_BROKEN_REQUESTS {
                    crash.requests.push(broken);
                }
            }
            None => {
                if self.crashes.len() >= MAX_CRASHES {
                    self.crashes.pop_front();
                }
                self.crashes.push_back(Crash {
                    upstream: report.crash.upstream.clone(),
                    start_time_ms: report.start_time_ms,
                    requests: vec![broken],
                });
            }
        }
        for cause in self.causes.iter_mut().filter(|it| it.is_held_by(&parts)) {
            cause.last_crash = cause.last_crash.max(broke_at);
        }
        for key in parts {
            self.judge(now, key);
        }
        answered
    }

    /// Records an answer to a request with these parts. Returns those that were under suspicion, which
    /// other hosts should be told.
    pub fn record_answer(&mut self, now: Instant, parts: &[Key]) -> Keys {
        let last = self.answer_times.back();
        if last.is_none_or(|it| now.since(*it) >= ANSWER_TIME_STEP) {
            if self.answer_times.len() >= MAX_ANSWER_TIMES {
                self.answer_times.pop_front();
            }
            self.answer_times.push_back(now);
        }
        parts.iter().copied().filter(|it| self.clear(now, *it)).collect()
    }

    /// Clears a part that was answered at `at`. Returns whether it was under suspicion.
    pub fn clear(&mut self, at: Instant, key: Key) -> bool {
        self.answered.record(key, at);
        let mut was_suspected = false;
        for crash in &mut self.crashes {
            for request in crash.requests.iter_mut().filter(|it| it.broke_at <= at) {
                let before = request.parts.len();
                request.parts.retain(|it| *it != key);
                was_suspected |= request.parts.len() < before;
            }
            crash.requests.retain(|it| !it.parts.is_empty());
        }
        self.crashes.retain(|it| !it.requests.is_empty());
        for cause in self.causes.iter_mut().filter(|it| it.last_crash <= at) {
            let before = cause.parts.len();
            cause.parts.retain(|it| *it != key);
            if cause.parts.len() < before {
                was_suspected = true;
                self.revision += 1;
            }
        }
        self.causes.retain(|it| !it.parts.is_empty());
        was_suspected
    }

    /// Decides whether a request with these parts may be sent.
    ///
    /// # Errors
    ///
    /// Returns what keeps it from being sent.
    pub fn admit(
        &mut self,
        now: Instant,
        host: &Host,
        host_count: usize,
        parts: &[Key],
    ) -> Result<Admission, Rejection> {
        let mut admission = Admission::Ordinary;
        for cause in self.causes.iter().filter(|it| it.is_held_by(parts)) {
            let next_trial = cause.next_trial_of(host, host_count);
            if next_trial > now {
                let retry_after = next_trial.since(now);
                return Err(Rejection { parts: cause.parts.clone(), retry_after });
            }
            admission = Admission::Trial;
        }
        for cause in self.causes.iter_mut().filter(|it| it.is_held_by(parts)) {
            cause.trials += 1;
            let factor = TRIAL_PAUSE_FACTOR.saturating_pow(cause.trials);
            cause.next_trial = now + FIRST_TRIAL_PAUSE.saturating_mul(factor).min(MAX_TRIAL_PAUSE);
        }
        Ok(admission)
    }

    /// Returns whether a request with these parts is known to crash upstreams.
    pub fn is_fatal(&self, parts: &[Key]) -> bool {
        self.causes.iter().any(|it| it.is_held_by(parts))
    }

    /// Returns whether one of these parts is under suspicion.
    pub fn is_suspected(&self, parts: &[Key]) -> bool {
        let requests = self.crashes.iter().flat_map(|it| &it.requests);
        requests.flat_map(|it| &it.parts).any(|it| parts.contains(it))
    }

    /// Returns the known causes, to tell other hosts.
    pub fn causes(&self, now: Instant) -> impl Iterator<Item = CauseReport> {
        self.causes.iter().map(move |it| CauseReport {
            parts: it.parts.clone(),
            last_crash_age: now.since(it.last_crash),
            trials: it.trials,
            next_trial_in: it.next_trial.since(now),
        })
    }

    /// Follows a cause that another host has found. Returns the parts that this host has seen answered
    /// since the last crash, which the other host does not know.
    pub fn follow(&mut self, now: Instant, report: &CauseReport) -> Keys {
        let last_crash = now.saturating_sub(report.last_crash_age);
        if report.last_crash_age >= CAUSE_TTL {
            return Keys::new();
        }
        let is_answered = |key: &Key| self.answered.last(*key).is_some_and(|it| it > last_crash);
        let (answered, mut parts): (Keys, Keys) =
            report.parts.iter().copied().partition(is_answered);
        parts.sort();
        parts.truncate(MAX_REQUEST_PARTS);
        if parts.is_empty() {
            return answered;
        }
        let next_trial = now + report.next_trial_in;
        // A cause that is a part of the reported one keeps away the same requests and more.
        let known = self.causes.iter_mut().find(|it| it.is_held_by(&parts));
        match known {
            Some(cause) => {
                cause.last_crash = cause.last_crash.max(last_crash);
                if report.trials > cause.trials {
                    (cause.trials, cause.next_trial) = (report.trials, next_trial);
                }
            }
            None => self.add(Cause { parts, last_crash, trials: report.trials, next_trial }),
        }
        answered
    }

    /// Returns the other requests that broke in crashes which a known cause explains.
    pub fn bystanders(&self) -> Vec<(Fingerprint, Upstream)> {
        let explained = self
            .crashes
            .iter()
            .filter(|crash| crash.requests.iter().any(|it| self.is_fatal(&it.parts)));
        let bystanders = explained.flat_map(|crash| {
            let others = crash.requests.iter().filter(|it| !self.is_fatal(&it.parts));
            others.map(|it| (it.request, crash.upstream.clone()))
        });
        bystanders.collect()
    }

    /// Forgets evidence and causes that are too old.
    pub fn purge(&mut self, now: Instant) {
        self.crashes
            .retain(|it| it.requests.iter().any(|it| now.since(it.broke_at) < EVIDENCE_TTL));
        let before = self.causes.len();
        self.causes.retain(|it| now.since(it.last_crash) < CAUSE_TTL);
        self.revision += u64::from(self.causes.len() < before);
    }

    /// Returns the number of changes of the causes so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of remembered crashes.
    pub fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// Adds a part, with those that were always there together with it, to the causes if the evidence
    /// suffices.
    fn judge(&mut self, now: Instant, key: Key) {
        let occurrences = self.occurrences(key);
        if self.count_separate(&occurrences) < CRASH_LIMIT
            || self.count_requests(key, &occurrences) < MIN_REQUESTS
        {
            return;
        }
        let crashes: Vec<_> = occurrences.iter().map(|it| it.crash).collect();
        let mut parts = Keys::from_slice(&[key]);
        for other in self.parts_of(crashes[0]) {
            if other == key {
                continue;
            }
            let of_other: Vec<_> = self.occurrences(other).iter().map(|it| it.crash).collect();
            if !crashes.iter().all(|it| of_other.contains(it)) {
                continue;
            }
            if of_other.len() > crashes.len() {
                // The other part explains these crashes and more.
                return;
            }
            parts.push(other);
        }
        parts.sort();
        parts.truncate(MAX_REQUEST_PARTS);
        if self.causes.iter().any(|it| it.is_held_by(&parts)) {
            return;
        }
        let last_crash = occurrences.iter().map(|it| it.broke_at).max().unwrap_or(now);
        self.add(Cause::new(parts, last_crash, now));
    }

    /// Adds a cause, in place of those that it includes.
    fn add(&mut self, cause: Cause) {
        self.causes.retain(|it| !cause.is_held_by(&it.parts));
        if self.causes.len() >= MAX_CAUSES {
            let oldest = self.causes.iter().enumerate().min_by_key(|it| it.1.last_crash);
            if let Some((index, _)) = oldest {
                self.causes.swap_remove(index);
            }
        }
        self.causes.push(cause);
        self.revision += 1;
    }

    /// Returns the crashes in which a part is under suspicion, in the order of their times. Those that a
    /// known cause without this part explains do not count.
    fn occurrences(&self, key: Key) -> SmallVec<[Occurrence; 8]> {
        let mut occurrences: SmallVec<[Occurrence; 8]> = SmallVec::new();
        for (index, crash) in self.crashes.iter().enumerate() {
            let with_part = crash.requests.iter().filter(|it| it.parts.contains(&key));
            let Some(last) = with_part.max_by_key(|it| it.alive_at) else { continue };
            let is_explained = self.causes.iter().any(|cause| {
                !cause.parts.contains(&key)
                    && crash.requests.iter().any(|it| cause.is_held_by(&it.parts))
            });
            if !is_explained {
                let (broke_at, alive_at) = (last.broke_at, last.alive_at);
                occurrences.push(Occurrence { crash: index, broke_at, alive_at });
            }
        }
        occurrences.sort_by_key(|it| it.broke_at);
        occurrences
    }

    /// Returns how many crashes are separate events. A crash is separate from the one before it if its
    /// upstream was alive after that, or if other requests were answered between the two. So upstreams
    /// that lose power together count once, also when nothing is left that could answer.
    fn count_separate(&self, occurrences: &[Occurrence]) -> usize {
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

    /// Returns how many different requests with a part broke in these crashes.
    fn count_requests(&self, key: Key, occurrences: &[Occurrence]) -> usize {
        let requests = occurrences.iter().flat_map(|it| &self.crashes[it.crash].requests);
        let mut requests: Vec<_> =
            requests.filter(|it| it.parts.contains(&key)).map(|it| it.request).collect();
        requests.sort();
        requests.dedup();
        requests.len()
    }

    /// Returns all parts that are under suspicion in a crash.
    fn parts_of(&self, crash: usize) -> Vec<Key> {
        let requests = self.crashes[crash].requests.iter();
        let mut parts: Vec<_> = requests.flat_map(|it| it.parts.iter().copied()).collect();
        parts.sort();
        parts.dedup();
        parts
    }
}
