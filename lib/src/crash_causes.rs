//! What a host knows of the prompt parts that crash upstreams: takes what its own requests and other hosts
//! show, and tells the requests that must not be sent or must be withdrawn. `poison` decides.

use tokio::time::timeout;

use crate::{
    codec::Codec,
    gateway::{Gateway, lock},
    poison::{self, Admission, Break, CauseReport, Detector, Key, Rejection},
    prelude::*,
};

/// How long after its start a host may hold a request whose prompt has shared parts, until another host has
/// told it which parts crash upstreams.
const CAUSES_WAIT: Duration = Duration::from_secs(1);

/// Largest number of breaks, and of answered parts, that wait to be told to other hosts. A host without any
/// other one would collect them for ever.
const MAX_UNSENT: usize = 1024;

impl<C> Gateway<C>
where
    C: Codec,
{
    /// Records that an upstream broke the connection while it ran a request, and queues that for the
    /// other hosts.
    pub fn record_break(&self, report: Break) {
        let is_new_for_request = self.record_crash("own connection", &report);
        self.apply_break("own connection", &report);
        if is_new_for_request || !report.parts.is_empty() {
            push_bounded(&mut lock(&self.breaks), report);
        }
    }

    /// Records a break that another host reported.
    pub fn record_remote_break(&self, peer: &Host, report: &Break) {
        self.record_crash(peer.as_str(), report);
        self.apply_break(peer.as_str(), report);
    }

    /// Records the crash for the whole request, and returns whether it was not known before.
    fn record_crash(&self, source: &str, report: &Break) -> bool {
        let (now, request) = (self.now(), report.crash.request);
        let mut quarantine = lock(&self.quarantine);
        let was_quarantined = quarantine.is_quarantined(now, request);
        let is_new = quarantine.record_crash(now, &report.crash);
        if !was_quarantined && quarantine.is_quarantined(now, request) {
            log::warn!(source = source, fingerprint = request.to_string().as_str(),
                upstream = report.crash.upstream.as_str();
                "request that crashes upstreams is kept away from them");
        }
        is_new
    }

    fn apply_break(&self, source: &str, report: &Break) {
        let answered = self.update_poison(source, |it| it.record_break(self.now(), report));
        self.tell_answered(&answered);
        let bystanders = lock(&self.poison).bystanders();
        let mut quarantine = lock(&self.quarantine);
        for (request, upstream) in bystanders {
            quarantine.forgive(request, &upstream);
        }
    }

    /// Records that an upstream began to answer a request whose prompt has these shared parts.
    pub fn record_answer(&self, parts: &[Key]) {
        if !parts.is_empty() {
            let cleared = self.update_poison("answer", |it| it.record_answer(self.now(), parts));
            self.tell_answered(&cleared);
        }
    }

    /// Records that another host has seen a prompt part answered.
    pub fn record_remote_answer(&self, peer: &Host, part: Key, at: Instant) {
        self.update_poison(peer.as_str(), |it| it.clear(at, part));
    }

    /// Follows a cause of crashes that another host has found.
    pub fn follow_cause(&self, peer: &Host, report: &CauseReport) {
        let answered = self.update_poison(peer.as_str(), |it| it.follow(self.now(), report));
        self.tell_answered(&answered);
    }

    /// Records that another host has told all causes of crashes that it knows.
    pub fn set_knows_causes(&self) {
        if !self.knows_causes.send_replace(true) {
            log::info!(since_start_ms = self.now().since(Instant::ZERO).as_millis() as u64;
                "causes of crashes are known from another host");
        }
    }

    /// Returns whether this host knows which prompt parts crash upstreams, as far as any host does: it was
    /// told, or has run for long enough.
    pub fn knows_causes(&self) -> bool {
        *self.knows_causes.borrow() || self.now().since(Instant::ZERO) >= CAUSES_WAIT
    }

    /// Holds a request with a part under suspicion while this host has just started, until another host has
    /// told it which parts crash upstreams, or for [`CAUSES_WAIT`]: it may be the only one. Without a
    /// suspicion nothing waits, because all hosts may have started together.
    pub async fn wait_for_causes(&self, parts: &[Key]) {
        let left = CAUSES_WAIT.saturating_sub(self.now().since(Instant::ZERO));
        if left.is_zero() || !lock(&self.poison).is_suspected(parts) {
            return;
        }
        let mut known = self.knows_causes.subscribe();
        if timeout(left, known.wait_for(|it| *it)).await.is_err() {
            log::info!("no other host has told the causes of crashes");
        }
    }

    /// Returns the prompt parts that are known to crash upstreams.
    pub fn crash_causes(&self) -> Vec<CauseReport> {
        lock(&self.poison).causes(self.now()).collect()
    }

    /// Decides whether a request whose prompt has these shared parts may be sent.
    ///
    /// # Errors
    ///
    /// Returns what keeps it from being sent.
    pub fn admit_parts(&self, parts: &[Key]) -> Result<Admission, Rejection> {
        if parts.is_empty() {
            return Ok(Admission::Ordinary);
        }
        let host_count = self.fleet().host_count();
        let host = &self.host_settings.host;
        lock(&self.poison).admit(self.now(), host, host_count, parts)
    }

    /// Waits until prompts with these parts are known to crash upstreams.
    pub async fn wait_fatal(&self, parts: &[Key]) {
        let mut changes = self.cause_changes.subscribe();
        while parts.is_empty() || !lock(&self.poison).is_fatal(parts) {
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Forgets evidence and causes that are too old.
    pub(crate) fn purge_causes(&self) {
        self.update_poison("age", |it| it.purge(self.now()));
    }

    /// Changes what is known of prompt parts that crash upstreams. A change of the causes is logged, and
    /// wakes the requests that wait for an answer.
    fn update_poison<F, R>(&self, source: &str, f: F) -> R
    where
        F: FnOnce(&mut Detector) -> R,
    {
        let mut detector = lock(&self.poison);
        let before = detector.revision();
        let result = f(&mut detector);
        if detector.revision() != before {
            let causes: Vec<_> = detector.causes(self.now()).collect();
            let parts: Vec<_> = causes.iter().map(|it| poison::format_keys(&it.parts)).collect();
            log::warn!(source = source, causes = parts.join(" ").as_str(),
                crashes = detector.crash_count();
                "prompt parts that crash upstreams have changed");
            self.metrics.crash_causes.set(i64::try_from(causes.len()).unwrap_or(i64::MAX));
            self.cause_changes.send_replace(());
        }
        result
    }

    fn tell_answered(&self, parts: &[Key]) {
        let now = self.now();
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

    /// Removes and returns the prompt parts that were answered after a crash, with the times of the
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
