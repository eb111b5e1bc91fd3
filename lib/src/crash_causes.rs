//! What a host knows of the requests and prompt parts that crash upstreams: takes what its own requests and other hosts
//! show, and tells the requests that must not be sent or must be withdrawn. `poison` decides.

use tokio::time::timeout;

use crate::{
    codec::Codec,
    gateway::{Gateway, lock},
    poison::{
        self, Admission, Break, CAUSE_TTL, CauseReport, Detector, Fingerprint, Key, Rejection,
    },
    prelude::*,
};

/// How long after its start a host may hold requests, until another host has told it what crashes upstreams.
const CAUSES_WAIT: Duration = Duration::from_secs(1);

/// Time by which the clock of crashes is ahead of the host's, so that crashes from before the host's start have a time.
const CRASH_HISTORY: Duration = CAUSE_TTL;

/// Largest number of breaks, and of answered parts, that wait to be told to other hosts. A host without any
/// other one would collect them for ever.
const MAX_UNSENT: usize = 1024;

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
        push_bounded(&mut lock(&self.breaks), report);
    }

    /// Records a break that another host reported.
    pub fn record_remote_break(&self, peer: &Host, report: &Break) {
        self.apply_break(peer.as_str(), report);
    }

    fn apply_break(&self, source: &str, report: &Break) {
        let now = self.crash_clock();
        let answered = self.update_poison(source, |it| it.record_break(now, report));
        self.tell_answered(&answered);
    }

    /// Records that an upstream began to answer a request whose prompt has these shared parts.
    pub fn record_answer(&self, parts: &[Key]) {
        if !parts.is_empty() {
            let now = self.crash_clock();
            let cleared = self.update_poison("answer", |it| it.record_answer(now, parts));
            self.tell_answered(&cleared);
        }
    }

    /// Records that an upstream answered a whole request.
    pub fn record_whole_answer(&self, request: Fingerprint) {
        let now = self.crash_clock();
        let cleared = self.update_poison("answer", |it| it.record_whole_answer(now, request));
        self.tell_answered(&cleared);
    }

    /// Records that another host has seen a request or a prompt part answered.
    pub fn record_remote_answer(&self, peer: &Host, part: Key, at: Instant) {
        self.update_poison(peer.as_str(), |it| it.clear(at, part));
    }

    /// Follows a cause of crashes that another host has found.
    pub fn follow_cause(&self, peer: &Host, report: &CauseReport) {
        let now = self.crash_clock();
        let answered = self.update_poison(peer.as_str(), |it| it.follow(now, report));
        self.tell_answered(&answered);
    }

    /// Records that another host has told all causes of crashes that it knows.
    pub fn set_knows_causes(&self) {
        if !self.knows_causes.send_replace(true) {
            log::info!(since_start_ms = self.now().since(Instant::ZERO).as_millis() as u64;
                "causes of crashes are known from another host");
        }
    }

    /// Returns whether this host knows what crashes upstreams, as far as any host does: it was told, or has run for long
    /// enough.
    pub fn knows_causes(&self) -> bool {
        *self.knows_causes.borrow() || self.now().since(Instant::ZERO) >= CAUSES_WAIT
    }

    /// Holds a request that is under suspicion, in whole or in part, while this host has just started, until another host
    /// has told it what crashes upstreams, or for [`CAUSES_WAIT`]: it may be the only one. Without a
    /// suspicion nothing waits, because all hosts may have started together.
    pub async fn wait_for_causes(&self, keys: &[Key]) {
        let left = CAUSES_WAIT.saturating_sub(self.now().since(Instant::ZERO));
        if left.is_zero() || !lock(&self.poison).is_any_suspected(keys) {
            return;
        }
        let mut known = self.knows_causes.subscribe();
        if timeout(left, known.wait_for(|it| *it)).await.is_err() {
            log::info!("no other host has told the causes of crashes");
        }
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
            let parts: Vec<_> = causes.iter().map(|it| poison::format_keys(&it.parts)).collect();
            log::warn!(source = source, causes = parts.join(" ").as_str(),
                crashes = detector.crash_count();
                "requests or prompt parts that crash upstreams have changed");
            self.metrics.crash_causes.set(i64::try_from(causes.len()).unwrap_or(i64::MAX));
            self.cause_changes.send_replace(());
        }
        result
    }

    fn tell_answered(&self, parts: &[Key]) {
        let now = self.crash_clock();
        let mut answered = lock(&self.answered_parts);
        parts.iter().for_each(|it| push_bounded(&mut answered, (*it, now)));
    }

    /// Removes and returns the breaks that have not been sent to the other hosts yet.
    pub fn take_breaks(&self) -> Vec<Break> {
        std::mem::take(&mut *lock(&self.breaks))
    }

    /// Puts breaks back that could not be sent to the other hosts.
    pub fn return_breaks<I>(&self, breaks: I)
    where
        I: Iterator<Item = Break>,
    {
        let mut unsent = lock(&self.breaks);
        breaks.for_each(|it| push_bounded(&mut unsent, it));
    }

    /// Removes and returns the keys that were answered after a crash, with the times of the
    /// answers, which have not been sent to the other hosts yet.
    pub fn take_answered_parts(&self) -> Vec<(Key, Instant)> {
        std::mem::take(&mut *lock(&self.answered_parts))
    }
}

/// Adds an item, unless there are [`MAX_UNSENT`] already.
fn push_bounded<T>(unsent: &mut Vec<T>, item: T) {
    if unsent.len() < MAX_UNSENT {
        unsent.push(item);
    } else {
        log::debug!("news about crashes cannot be told to other hosts and is dropped");
    }
}
