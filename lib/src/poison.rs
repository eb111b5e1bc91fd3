//! Finds what crashes upstreams, so that requests which hold it are sent to no further upstream: a whole request that
//! callers repeat, or a prompt part. Does no I/O.
//!
//! Load pattern: a request, or one part in requests that differ in everything else, crashes every upstream that begins
//! to answer it. Sound requests share the key, the first part and the sessions.
//!
//! A request whose upstream breaks off puts itself and all its shared parts under suspicion; so do the requests that only
//! ran beside it. A whole answer clears them, on all hosts; its first event does not, since upstreams may crash right after
//! it. What is left after several separate crashes caused them, unless something else was there at all of its crashes and
//! at others. Parts that were always there together are taken as one cause: only requests that hold all of them are kept
//! away. A whole request is one more part of itself.

use std::collections::VecDeque;

use crate::{
    crash_evidence::{Evidence, Occurrence},
    prelude::*,
    rendezvous,
};

pub use crate::crash_evidence::{Break, Fingerprint, Key, Keys, Proof, RUN_STEP, format_keys};

/// Largest number of parts of one request that are looked at.
pub const MAX_REQUEST_PARTS: usize = 16;
/// The same with the key of the whole request.
const MAX_KEYS: usize = MAX_REQUEST_PARTS + 1;
/// Separate crashes with a part, and no answer, after which the part is taken for their cause.
const CRASH_LIMIT: usize = 3;
/// Weights of a crash with a part: before the upstream had begun to answer, a moment after that or if it had begun to answer
/// no other request later, and else. The longer an answer had run, the rather another request caused the crash.
const PART_WEIGHTS: [usize; 3] = [20, 15, 12];
/// Time from the first event of an answer within which a crash rather has to do with its request.
const FRESH_RUN: Duration = Duration::from_millis(250);
/// Sum of the weights of the crashes with a part from which it may be taken for their cause.
const PART_WEIGHT_LIMIT: usize = 60;
/// The same for a whole request.
const REQUEST_WEIGHTS: [usize; 3] = [2, 1, 1];
/// Sum of the weights of the crashes with a whole request from which it may be taken for their cause.
const REQUEST_WEIGHT_LIMIT: usize = 4;
/// Separate crashes with a whole request, and no answer, after which it may be taken for their cause. Its repeats alone are
/// kept away then, and few callers send the same request. An attempt and the one after it may meet upstreams that lose
/// power together.
const REQUEST_CRASH_LIMIT: usize = 2;
/// Mean difference between how long the answers to two requests had run at crashes, from which the one that had run for
/// longer is taken for sound.
const MIN_RUN_DIFFERENCE: Duration = Duration::from_millis(100);
/// Time from a crash until it is judged. Meanwhile the other requests that broke with it, and answers, become known.
const JUDGE_DELAY: Duration = Duration::from_millis(100);
/// Largest number of keys that wait to be judged.
const MAX_UNJUDGED: usize = 256;
/// Pause before a request with a cause is sent as a trial, to learn whether it is sound.
const FIRST_TRIAL_PAUSE: Duration = Duration::from_secs(5);
/// Factor by which the pause grows with each trial.
const TRIAL_PAUSE_FACTOR: u32 = 4;
/// Trials that are left out for a cause that many requests share, of which any may be the trial.
const SHARED_CAUSE_TRIALS: u32 = 1;
/// Longest pause between trials.
const MAX_TRIAL_PAUSE: Duration = Duration::from_secs(1800);
/// Pause after a trial that was not sent, because no upstream was there to take it.
const UNSENT_TRIAL_PAUSE: Duration = Duration::from_secs(1);
/// Difference from which the earlier one of two times of a trial holds that hosts tell each other. Smaller ones come from
/// the time that messages take.
const TRIAL_SKEW: Duration = Duration::from_millis(500);
/// Time, for each host, over which the hosts' trials are spread, so that one host tries first and the
/// others learn of it.
const TRIAL_SPREAD: Duration = Duration::from_millis(300);
/// Longest time over which they are spread.
const MAX_TRIAL_SPREAD: Duration = Duration::from_secs(10);
/// How long a cause is remembered after its last crash.
pub(crate) const CAUSE_TTL: Duration = Duration::from_secs(3600);
/// How long hosts tell each other of a cause after it changed or kept a request away. Most whole requests never come again;
/// a host that missed it asks.
const CAUSE_NEWS_WINDOW: Duration = Duration::from_secs(5);
/// Largest number of remembered causes; beyond it, the one with the oldest crash is dropped.
const MAX_CAUSES: usize = 64;

/// What crashes upstreams, as one host tells another.
#[derive(Clone, Debug, PartialEq)]
pub struct CauseReport {
    /// The keys of parts, or of a whole request; requests that hold all of them are kept away.
    pub parts: Keys,
    /// Time since the last crash.
    pub last_crash_age: Duration,
    /// Trials so far, with those that are left out.
    pub trials: u32,
    /// Time until the next trial.
    pub next_trial_in: Duration,
}

/// What keeps a request from being sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Rejection {
    /// The keys of what crashes upstreams.
    pub parts: Keys,
    /// Time until a request with them may be sent as a trial.
    pub retry_after: Duration,
}

/// Permission to send a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request holds nothing that is known to crash upstreams.
    Ordinary,
    /// It does, and tells whether that still crashes them.
    Trial,
}

/// Keys that crash upstreams when a request holds all of them.
#[derive(Clone, Debug)]
struct Cause {
    /// In ascending order.
    parts: Keys,
    last_crash: Instant,
    trials: u32,
    next_trial: Instant,
    /// When it last changed, or kept a request away here.
    active_at: Instant,
}

impl Cause {
    /// Returns whether a request with these keys holds all keys of the cause.
    fn is_held_by(&self, keys: &[Key]) -> bool {
        self.parts.iter().all(|it| keys.contains(it))
    }

    fn report(&self, now: Instant) -> CauseReport {
        CauseReport {
            parts: self.parts.clone(),
            last_crash_age: now.since(self.last_crash),
            trials: self.trials,
            next_trial_in: self.next_trial.since(now),
        }
    }

    /// Returns when `host` may send a trial; a different time for each of `host_count` hosts.
    fn next_trial_of(&self, host: &Host, host_count: usize) -> Instant {
        let key = self.parts.iter().fold(0, |sum: u64, it| sum.wrapping_add(it.0));
        let weight = rendezvous::weight(key, host.as_str());
        let spread = TRIAL_SPREAD * u32::try_from(host_count).unwrap_or(u32::MAX);
        self.next_trial + spread.min(MAX_TRIAL_SPREAD).mul_f64(weight as f64 / u64::MAX as f64)
    }
}

/// Returns the pause before the next trial after so many.
fn trial_pause(trials: u32) -> Duration {
    let factor = TRIAL_PAUSE_FACTOR.saturating_pow(trials);
    FIRST_TRIAL_PAUSE.saturating_mul(factor).min(MAX_TRIAL_PAUSE)
}

/// Returns the separate crashes after which a whole request, or a part, may be taken for their cause.
fn crash_limit(is_request: bool) -> usize {
    if is_request { REQUEST_CRASH_LIMIT } else { CRASH_LIMIT }
}

/// Returns whether the answers in the first crashes had run for much longer than those in the second ones, so that the
/// requests of the second ones rather caused them.
fn ran_longer(first: &[Occurrence], second: &[Occurrence]) -> bool {
    let mean = |it: &[Occurrence]| {
        let sum: Duration = it.iter().filter_map(|it| it.ran).sum();
        sum / u32::try_from(it.len()).unwrap_or(u32::MAX).max(1)
    };
    mean(first) > mean(second) * 2 + MIN_RUN_DIFFERENCE
}

/// The evidence against requests and prompt parts, and those that were found to crash upstreams.
#[derive(Debug, Default)]
pub struct Detector {
    evidence: Evidence,
    /// Keys that may be the cause of a crash, each with a request that holds it and when the crash became known.
    unjudged: VecDeque<(Instant, Fingerprint, Key)>,
    causes: Vec<Cause>,
    /// Number of changes of the causes.
    revision: u64,
}

impl Detector {
    /// Records a request whose upstream broke off. Returns the keys to which this host has seen whole answers since, of
    /// which the reporting host does not know that.
    pub fn record_break(&mut self, now: Instant, report: &Break) -> Keys {
        self.judge_due(now);
        let addition = self.evidence.record(now, report);
        let keys = &addition.suspected;
        for cause in self.causes.iter_mut().filter(|it| it.is_held_by(keys)) {
            cause.last_crash = cause.last_crash.max(report.broke_at);
        }
        let known_at = addition.known_at;
        for key in addition.suspected {
            let is_waiting = self.unjudged.iter().any(|it| it.0 == known_at && it.2 == key);
            let is_request = key == report.request.into();
            let may_be_cause = self.evidence.request_count(key) >= crash_limit(is_request);
            if may_be_cause && !is_waiting && self.unjudged.len() < MAX_UNJUDGED {
                self.unjudged.push_back((known_at, report.request, key));
            }
        }
        addition.answered
    }

    /// Judges the crashes that became known long enough ago.
    pub fn judge_due(&mut self, now: Instant) {
        let is_due = |it: &mut (Instant, Fingerprint, Key)| it.0 + JUDGE_DELAY <= now;
        let mut explained = None;
        while let Some((_, request, key)) = self.unjudged.pop_front_if(is_due) {
            let explained_crashes = explained.get_or_insert_with(|| self.explained());
            if self.judge(now, request, key, explained_crashes) {
                explained = None;
            }
        }
    }

    /// Records that an upstream began to answer a request, which shows that it lives and says nothing of the request.
    pub fn record_first_event(&mut self, now: Instant) {
        self.evidence.record_answer_time(now);
    }

    /// Records that an upstream has answered a request with these parts, as far as `proof` says. Returns those that were
    /// under suspicion, which other hosts should be told.
    pub fn record_answer(&mut self, now: Instant, parts: &[Key], proof: Proof) -> Keys {
        self.evidence.record_answer_time(now);
        parts.iter().copied().filter(|it| self.clear(now, *it, proof)).collect()
    }

    /// Records that an upstream answered a whole request. Returns its key if it was under suspicion.
    pub fn record_whole_answer(&mut self, now: Instant, request: Fingerprint) -> Keys {
        self.evidence.record_answer_time(now);
        let key = Key::from(request);
        let was_suspected = self.forget(now, key, Proof::Whole);
        if was_suspected {
            // Only then: most requests never come again.
            self.evidence.remember_answer(now, key, Proof::Whole);
        }
        was_suspected.then_some(key).into_iter().collect()
    }

    /// Clears a key that was answered at `at`. Returns whether it was under suspicion.
    pub fn clear(&mut self, at: Instant, key: Key, proof: Proof) -> bool {
        self.evidence.remember_answer(at, key, proof);
        self.forget(at, key, proof)
    }

    /// Clears the key of a whole request that another host says was answered at `at`, in a message that does not tell
    /// answers from first events. Keys of parts stay under suspicion.
    pub fn clear_request(&mut self, at: Instant, key: Key) {
        if self.evidence.is_request(key) {
            self.clear(at, key, Proof::Whole);
        }
    }

    fn forget(&mut self, at: Instant, key: Key, proof: Proof) -> bool {
        let mut was_suspected = self.evidence.clear(at, key, proof);
        if proof < Proof::Whole {
            return was_suspected;
        }
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

    /// Decides whether a request with these keys may be sent.
    ///
    /// # Errors
    ///
    /// Returns what keeps it from being sent.
    pub fn admit(
        &mut self,
        now: Instant,
        host: &Host,
        host_count: usize,
        keys: &[Key],
    ) -> Result<Admission, Rejection> {
        self.judge_due(now);
        let mut admission = Admission::Ordinary;
        for cause in self.causes.iter_mut().filter(|it| it.is_held_by(keys)) {
            cause.active_at = now;
            let next_trial = cause.next_trial_of(host, host_count);
            if next_trial > now {
                let retry_after = next_trial.since(now);
                return Err(Rejection { parts: cause.parts.clone(), retry_after });
            }
            admission = Admission::Trial;
        }
        for cause in self.causes.iter_mut().filter(|it| it.is_held_by(keys)) {
            cause.trials = cause.trials.saturating_add(1);
            cause.next_trial = now + trial_pause(cause.trials);
        }
        Ok(admission)
    }

    /// Allows another trial soon in place of one that was not sent.
    pub fn return_trial(&mut self, now: Instant, keys: &[Key]) {
        for cause in self.causes.iter_mut().filter(|it| it.is_held_by(keys)) {
            cause.next_trial = cause.next_trial.min(now + UNSENT_TRIAL_PAUSE);
            cause.active_at = now;
        }
    }

    /// Returns whether a request with these keys is known to crash upstreams.
    pub fn is_fatal(&self, keys: &[Key]) -> bool {
        self.causes.iter().any(|it| it.is_held_by(keys))
    }

    /// Returns whether one of these keys is under suspicion.
    pub fn is_any_suspected(&self, keys: &[Key]) -> bool {
        self.evidence.holds_any(keys)
    }

    /// Returns the known causes.
    pub fn causes(&self, now: Instant) -> impl Iterator<Item = CauseReport> {
        self.causes.iter().map(move |it| it.report(now))
    }

    /// Returns the causes that have changed, or kept requests away here, a moment ago, to tell other hosts.
    pub fn cause_news(&self, now: Instant) -> impl Iterator<Item = CauseReport> {
        let active =
            self.causes.iter().filter(move |it| now.since(it.active_at) < CAUSE_NEWS_WINDOW);
        active.map(move |it| it.report(now))
    }

    /// Returns all requests that are under suspicion, to tell a host that has missed some.
    pub fn breaks(&self) -> impl Iterator<Item = Break> {
        self.evidence.reports()
    }

    /// Follows a cause that another host has found. Returns the keys to which this host has seen whole answers since the
    /// last crash, which the other host does not know.
    pub fn follow(&mut self, now: Instant, report: &CauseReport) -> Keys {
        let last_crash = now.saturating_sub(report.last_crash_age);
        if report.last_crash_age >= CAUSE_TTL {
            return Keys::new();
        }
        let is_answered = |key: &Key| self.evidence.is_answered_after(last_crash, *key);
        let (answered, mut parts): (Keys, Keys) =
            report.parts.iter().copied().partition(is_answered);
        parts.sort();
        parts.truncate(MAX_KEYS);
        if parts.is_empty() {
            return answered;
        }
        let next_trial = now + report.next_trial_in;
        // A cause that is a part of the reported one keeps away the same requests and more.
        let known = self.causes.iter_mut().find(|it| it.is_held_by(&parts));
        match known {
            Some(cause) => {
                cause.last_crash = cause.last_crash.max(last_crash);
                let is_returned =
                    report.trials == cause.trials && next_trial + TRIAL_SKEW < cause.next_trial;
                if report.trials > cause.trials || is_returned {
                    (cause.trials, cause.next_trial) = (report.trials, next_trial);
                    cause.active_at = now;
                }
            }
            None => {
                let trials = report.trials;
                self.add(Cause { parts, last_crash, trials, next_trial, active_at: now });
            }
        }
        answered
    }

    /// Forgets evidence and causes that are too old.
    pub fn purge(&mut self, now: Instant) {
        self.evidence.purge(now);
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
        self.evidence.crash_count()
    }

    /// Returns the crashes with each cause, for [`occurrences`](Self::occurrences).
    fn explained(&self) -> Vec<(Keys, SmallVec<[usize; 4]>)> {
        let causes = self.causes.iter().map(|it| &it.parts);
        causes.map(|it| (it.clone(), self.evidence.crashes_with(it))).collect()
    }

    /// Adds a key of a request that broke, with those that were always there together with it, to the causes if the
    /// evidence suffices. Returns whether the causes have changed.
    fn judge(
        &mut self,
        now: Instant,
        request: Fingerprint,
        key: Key,
        explained: &[(Keys, SmallVec<[usize; 4]>)],
    ) -> bool {
        let is_request = key == request.into();
        if self.evidence.request_count(key) < crash_limit(is_request) {
            return false;
        }
        let occurrences = self.occurrences(now, key, explained);
        if !self.suffices(is_request, &occurrences) {
            return false;
        }
        let mut parts = Keys::from_slice(&[key]);
        for other in self.evidence.common_keys(&occurrences) {
            if other == key {
                continue;
            }
            let others = self.occurrences(now, other, explained);
            let has_more = others.len() > occurrences.len();
            let is_same_request =
                occurrences.iter().all(|it| self.evidence.is_shared(it.crash, key, other));
            match (is_same_request, has_more) {
                // All repeats of a request hold its parts, whatever else they are at.
                (true, _) if is_request => parts.push(other),
                (true, false) => parts.push(other),
                // The other one explains these crashes and more, unless its answers had run for too long.
                (_, true) if !ran_longer(&others, &occurrences) => return false,
                (false, false) if ran_longer(&occurrences, &others) => return false,
                // Two requests that were always there together: a trial tells which one it is.
                _ => {}
            }
        }
        parts.sort();
        parts.truncate(MAX_KEYS);
        if self.causes.iter().any(|it| it.is_held_by(&parts)) {
            return false;
        }
        let last_crash = occurrences.iter().map(|it| it.broke_at).max().unwrap_or(now);
        let is_shared = !parts.contains(&request.into());
        let trials = if is_shared { SHARED_CAUSE_TRIALS } else { 0 };
        let next_trial = now + trial_pause(trials);
        self.add(Cause { parts, last_crash, trials, next_trial, active_at: now });
        true
    }

    /// Returns whether these crashes show that a whole request, or a part, caused them.
    fn suffices(&self, is_request: bool, occurrences: &[Occurrence]) -> bool {
        let (weights, limit) = match is_request {
            true => (REQUEST_WEIGHTS, REQUEST_WEIGHT_LIMIT),
            false => (PART_WEIGHTS, PART_WEIGHT_LIMIT),
        };
        let weight = |it: &Occurrence| match it.ran {
            None => weights[0],
            Some(ran) if ran < FRESH_RUN || it.is_latest => weights[1],
            Some(_) => weights[2],
        };
        self.evidence.count_separate(occurrences) >= crash_limit(is_request)
            && occurrences.iter().map(weight).sum::<usize>() >= limit
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

    /// Returns the crashes in which a key is under suspicion, in the order of their times. Those of the last moment do not
    /// count yet: other reports of them may still come. Nor do those that a known cause without this key explains, unless
    /// the key was at all crashes of that cause and so explains them as well.
    fn occurrences(
        &self,
        now: Instant,
        key: Key,
        explained: &[(Keys, SmallVec<[usize; 4]>)],
    ) -> SmallVec<[Occurrence; 8]> {
        let is_settled = |crash: usize| self.evidence.known_at(crash) + JUDGE_DELAY <= now;
        let explains = |(parts, crashes): &&(Keys, SmallVec<[usize; 4]>)| {
            let mut settled = crashes.iter().filter(|it| is_settled(**it));
            !parts.contains(&key) && settled.any(|it| !self.evidence.holds(*it, key))
        };
        self.evidence.occurrences(key, |crash| {
            is_settled(crash)
                && !explained.iter().filter(|it| it.1.contains(&crash)).any(|it| explains(&it))
        })
    }
}
