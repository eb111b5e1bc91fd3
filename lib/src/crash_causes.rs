//! What a host knows of the requests and prompt parts that crash upstreams: takes what its own requests and other hosts
//! show, and tells the requests that must not be sent or must be withdrawn. `poison` decides.

use tokio::time::timeout;

use crate::{
    codec::Codec,
    crash_contact::Contact,
    gateway::{Gateway, lock},
    poison::{
        self, Admission, Break, CAUSE_TTL, CauseReport, Detector, Fingerprint, Key, Proof,
        Rejection,
    },
    prelude::*,
};

/// Time by which the clock of crashes is ahead of the host's, so that crashes from before the host's start have a time.
const CRASH_HISTORY: Duration = CAUSE_TTL;

/// Most causes in a log line, the latest ones.
const MAX_LOGGED_CAUSES: usize = 8;

/// Most requests of which a host is told that may have missed news.
const MAX_TOLD_BREAKS: usize = 1024;

impl<C> Gateway<C>
where
    C: Codec,
{
    /// Returns the current time on the clock of crashes and their causes.
    pub fn crash_clock(&self) -> Instant {
        self.now() + CRASH_HISTORY
    }

    /// Records that an upstream broke the connection while it ran a request, and queues that for the
    /// other hosts.
    pub fn record_break(&self, report: Break) {
        self.apply_break("own connection", &report);
        if !lock(&self.breaks).push(self.crash_clock(), report) {
            log::debug!("break cannot be told to other hosts and is dropped");
        }
    }

    /// Records a break that another host reported.
    pub fn record_remote_break(&self, peer: &Host, report: &Break) {
        self.apply_break(peer.as_str(), report);
    }

    fn apply_break(&self, source: &str, report: &Break) {
        let now = self.crash_clock();
        let ended_at = self.now().saturating_sub(now.since(report.broke_at));
        self.fleet().record_end(ended_at, &report.upstream, report.start_time_ms, source);
        let answered = self.update_poison(source, |it| it.record_break(now, report));
        self.tell_answered(&answered, Proof::Whole);
    }

    /// Records that an upstream began to answer a request.
    pub fn record_first_event(&self) {
        let now = self.crash_clock();
        self.update_poison("answer", |it| it.record_first_event(now));
    }

    /// Records that an upstream has answered a request whose prompt has these shared parts, as far as `proof` says.
    pub fn record_answer(&self, parts: &[Key], proof: Proof) {
        if !parts.is_empty() {
            let now = self.crash_clock();
            let cleared = self.update_poison("answer", |it| it.record_answer(now, parts, proof));
            self.tell_answered(&cleared, proof);
        }
    }

    /// Records that an upstream answered a whole request.
    pub fn record_whole_answer(&self, request: Fingerprint) {
        let now = self.crash_clock();
        let cleared = self.update_poison("answer", |it| it.record_whole_answer(now, request));
        self.tell_answered(&cleared, Proof::Whole);
    }

    /// Records that another host has seen a request or a prompt part answered. `proof` is `None` if that host does not
    /// tell answers to parts from their first events.
    pub fn record_remote_answer(&self, peer: &Host, part: Key, at: Instant, proof: Option<Proof>) {
        self.update_poison(peer.as_str(), |it| match proof {
            Some(proof) => {
                it.clear(at, part, proof);
            }
            None => it.clear_request(at, part),
        });
    }

    /// Follows a cause of crashes that another host has found, or the row store holds.
    pub fn follow_cause(&self, source: &str, report: &CauseReport) {
        let now = self.crash_clock();
        let answered = self.update_poison(source, |it| it.follow(now, report));
        self.tell_answered(&answered, Proof::Whole);
    }

    /// Records that another host has told all causes of crashes that it knows.
    pub fn record_crash_word(&self) {
        let now = self.now();
        self.update_contact(|it| it.record_word(now));
    }

    /// Records an answer about crashes to what this host asked at `asked_at`: from another host, or from the row store.
    pub fn record_crash_answer(&self, asked_at: Instant) {
        self.update_contact(|it| it.record_answer(asked_at));
    }

    /// Records a turn of the loop that exchanges messages with other hosts.
    pub(crate) fn record_crash_turn(&self) {
        let now = self.now();
        self.update_contact(|it| it.record_turn(now));
    }

    /// Changes how well this host keeps up with what others know of crashes, and wakes the requests that wait for it.
    fn update_contact<F>(&self, f: F)
    where
        F: FnOnce(&mut Contact),
    {
        let now = self.now();
        self.crash_contact.send_if_modified(|contact| {
            let (had_word, held_since) = (contact.has_word(), contact.held_since());
            let was_held = contact.held_until(now, true).is_some();
            f(contact);
            let is_released = was_held && contact.held_until(now, false).is_none();
            if !had_word && contact.has_word() {
                log::info!(since_start_ms = now.since(Instant::ZERO).as_millis() as u64;
                    "causes of crashes are known from another host");
            }
            log_hold(held_since, contact);
            is_released
        });
    }

    /// Returns whether this host knows what crashes upstreams, as far as any host does: it was told, or has waited for
    /// that for long enough.
    pub fn knows_causes(&self) -> bool {
        self.crash_hold(&[]).is_none()
    }

    /// Returns until when a request with these keys is held for what other hosts know of crashes, or `None` if it is not.
    fn crash_hold(&self, keys: &[Key]) -> Option<Instant> {
        let (now, mut until) = (self.now(), None);
        let is_suspected = lock(&self.poison).is_any_suspected(keys);
        self.crash_contact.send_if_modified(|contact| {
            let held_since = contact.held_since();
            until = contact.held_until(now, is_suspected);
            log_hold(held_since, contact);
            false
        });
        until
    }

    /// Holds a request while this host may lack what others know of crashes, for a short time at most.
    pub async fn wait_for_causes(&self, keys: &[Key]) {
        let mut contact = self.crash_contact.subscribe();
        let mut is_asked = false;
        while let Some(until) = self.crash_hold(keys) {
            if !std::mem::replace(&mut is_asked, true) {
                self.crash_news_wanted.notify_one();
            }
            // The sender is part of `self`, so it cannot be gone.
            let _ = timeout(until.since(self.now()), contact.changed()).await;
        }
    }

    /// Returns the part of what is known to crash upstreams that is to be told to the other hosts now.
    pub fn cause_news(&self) -> Vec<CauseReport> {
        let now = self.crash_clock();
        self.update_poison("evidence", |it| {
            it.judge_due(now);
            it.cause_news(now).collect()
        })
    }

    /// Returns what is known to crash upstreams.
    pub fn crash_causes(&self) -> Vec<CauseReport> {
        let now = self.crash_clock();
        self.update_poison("evidence", |it| {
            it.judge_due(now);
            it.causes(now).collect()
        })
    }

    /// Decides whether a request with these keys may be sent.
    ///
    /// # Errors
    ///
    /// Returns what keeps it from being sent.
    pub fn admit(&self, keys: &[Key]) -> Result<Admission, Rejection> {
        let host_count = self.fleet().host_count();
        let (now, host) = (self.crash_clock(), &self.host_settings.host);
        self.update_poison("evidence", |it| it.admit(now, host, host_count, keys))
    }

    /// Allows another trial soon in place of one that was not sent.
    pub fn return_trial(&self, keys: &[Key]) {
        lock(&self.poison).return_trial(self.crash_clock(), keys);
    }

    /// Returns whether a request with these keys is known to crash upstreams.
    pub fn is_fatal(&self, keys: &[Key]) -> bool {
        lock(&self.poison).is_fatal(keys)
    }

    /// Waits until requests with these keys are known to crash upstreams.
    pub async fn wait_fatal(&self, keys: &[Key]) {
        let mut changes = self.cause_changes.subscribe();
        while !self.is_fatal(keys) {
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Forgets evidence and causes that are too old.
    pub(crate) fn purge_causes(&self) {
        let now = self.crash_clock();
        self.update_poison("age", |it| it.purge(now));
    }

    /// Changes what is known to crash upstreams. A change of the causes is logged, and
    /// wakes the requests that wait for an answer.
    fn update_poison<F, R>(&self, source: &str, f: F) -> R
    where
        F: FnOnce(&mut Detector) -> R,
    {
        let mut detector = lock(&self.poison);
        let before = detector.revision();
        let result = f(&mut detector);
        if detector.revision() != before {
            let causes: Vec<_> = detector.causes(self.crash_clock()).collect();
            let latest = causes.iter().rev().take(MAX_LOGGED_CAUSES);
            let parts: Vec<_> = latest.map(|it| poison::format_keys(&it.parts)).collect();
            log::warn!(source = source, causes = parts.join(" ").as_str(), count = causes.len(),
                crashes = detector.crash_count();
                "requests or prompt parts that crash upstreams have changed");
            self.metrics.crash_causes.set(i64::try_from(causes.len()).unwrap_or(i64::MAX));
            self.cause_changes.send_replace(());
        }
        result
    }

    fn tell_answered(&self, keys: &[Key], proof: Proof) {
        let now = self.crash_clock();
        let mut answered = lock(&self.answered_parts);
        for key in keys {
            let answer = Answer { key: *key, at: now, proof };
            // Each report of a crash that comes again asks for the same answer.
            let is_told = answered.replace(answer, |it| it.key == *key && it.proof <= proof);
            if !is_told && !answered.push(now, answer) {
                log::debug!("answer cannot be told to other hosts and is dropped");
            }
        }
    }

    /// Returns the breaks that are to be told to the other hosts now.
    pub fn take_breaks(&self) -> Vec<Break> {
        let detector = lock(&self.poison);
        let is_suspected = |it: &Break| detector.is_any_suspected(&it.keys());
        lock(&self.breaks).take_due(self.crash_clock(), is_suspected)
    }

    /// Returns the keys that were answered after a crash, with the times of the answers, which are to be told to the other
    /// hosts now.
    pub fn take_answered_parts(&self) -> Vec<Answer> {
        lock(&self.answered_parts).take_due(self.crash_clock(), |_| true)
    }

    /// Returns the latest requests that are under suspicion, for a host that may not know of them.
    pub fn all_breaks(&self) -> Vec<Break> {
        let mut breaks: Vec<_> = lock(&self.poison).breaks().collect();
        breaks.sort_by_key(|it| it.broke_at);
        breaks.split_off(breaks.len().saturating_sub(MAX_TOLD_BREAKS))
    }
}

/// An answer to a request with a key that was under suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The key.
    pub key: Key,
    /// When this host saw the answer.
    pub at: Instant,
    /// What the answer shows.
    pub proof: Proof,
}

/// Logs that requests are held since now, if they were not at `held_since`.
fn log_hold(held_since: Option<Instant>, contact: &Contact) {
    if contact.held_since().is_some_and(|it| held_since != Some(it)) {
        log::info!("requests wait for what other hosts know of crashes");
    }
}
