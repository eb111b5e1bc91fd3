//! A request as far as it may crash upstreams: what its attempts show of that, and how it ends because of it.

use crate::{
    codec::Codec,
    fleet::{Choice, Outcome},
    forward::{AttemptError, Forwarder, InFlightAttempt},
    poison::{self, Admission, Break},
    prelude::*,
};

/// Tells the caller why the request is not sent, or withdrawn.
const FATAL_PART_MESSAGE: &str = "prompts with the same part have crashed several upstreams";
const FATAL_REQUEST_MESSAGE: &str = "the request has crashed several upstreams";

/// What an attempt showed of its upstream until it ended without a whole response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Signs {
    /// Whether the connection broke. Otherwise the response was not valid.
    pub(crate) is_break: bool,
    /// Whether the connection came from the pool, and nothing was received on it since.
    pub(crate) pooled: bool,
    /// Time since the first event of the response, or since the head of one that is not read by events; `None` if it had
    /// not arrived.
    pub(crate) ran: Option<Duration>,
    /// Time from the upstream's last sign of life on the connection: its opening, the end of the response before, or the
    /// head of this one. `None` if the response was not valid.
    pub(crate) silence: Option<Duration>,
}

impl Signs {
    /// Signs of an upstream that responded, but not with a valid response.
    pub(crate) const INVALID_RESPONSE: Signs =
        Signs { is_break: false, pooled: false, ran: None, silence: None };
}

impl<C> Forwarder<C>
where
    C: Codec,
{
    /// Returns the keys of what other requests share with this one: its own, which repeats have, and those of its shared
    /// prompt parts.
    pub(crate) fn crash_keys(&self) -> poison::Keys {
        self.shared_parts.iter().copied().chain([self.job.fingerprint.into()]).collect()
    }

    /// Waits until requests like this one are known to crash upstreams, unless this attempt is a trial.
    pub(crate) fn wait_fatal(&self) -> impl Future<Output = ()> + Send + use<C> {
        let (gateway, keys, is_trial) = (self.gateway.clone(), self.crash_keys(), self.is_trial);
        async move {
            if is_trial {
                return std::future::pending().await;
            }
            gateway.wait_fatal(&keys).await;
        }
    }

    /// Decides whether the request may be sent now. A trial that was not sent goes on.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller if it may not.
    pub(crate) fn check_admission(&mut self) -> Result<(), Error> {
        if self.has_unsent_trial {
            return Ok(());
        }
        match self.gateway.admit(&self.crash_keys()) {
            Ok(admission) => {
                self.is_trial = admission == Admission::Trial;
                self.has_unsent_trial = self.is_trial;
                Ok(())
            }
            Err(rejection) => Err(self.rejection_error(&rejection)),
        }
    }

    /// Returns whether the request has been found to crash upstreams since it was admitted.
    pub(crate) fn is_fatal(&self) -> bool {
        !self.is_trial && self.gateway.is_fatal(&self.crash_keys())
    }

    /// Gives back a trial that was not sent.
    pub(crate) fn return_unsent_trial(&mut self) {
        if std::mem::take(&mut self.has_unsent_trial) {
            self.gateway.return_trial(&self.crash_keys());
        }
    }

    /// Gives up an attempt whose upstream would crash when it begins to respond. The upstream drops the
    /// request when its connection closes.
    pub(crate) fn withdraw(&mut self, attempt: InFlightAttempt<C>) -> AttemptError {
        self.times_sent += 1;
        self.runs += 1;
        self.count_withdrawal(&attempt.choice);
        attempt.complete(Outcome::Cancelled);
        AttemptError::Fail(Error::new(Kind::UpstreamFailed, self.fatal_message()))
    }

    /// Logs and counts an attempt that was given up because its upstream would crash.
    pub(crate) fn count_withdrawal(&self, choice: &Choice) {
        self.log_attempt(choice, "withdrawn");
        self.gateway.metrics.fatal_prompts.with_label_values(&["withdrawn"]).inc();
    }

    /// Returns why the request is not sent, or withdrawn, for the caller.
    fn fatal_message(&self) -> &'static str {
        let is_part = self.gateway.is_fatal(&self.shared_parts);
        if is_part { FATAL_PART_MESSAGE } else { FATAL_REQUEST_MESSAGE }
    }

    /// Returns the error of a request that crashes upstreams, in whole or by a part of its prompt.
    fn rejection_error(&self, rejection: &poison::Rejection) -> Error {
        log::info!(request = self.job.metadata.id.as_str(),
            parts = poison::format_keys(&rejection.parts).as_str(),
            next_trial_ms = rejection.retry_after.as_millis() as u64;
            "request crashes upstreams, or holds prompt parts that do");
        self.gateway.metrics.fatal_prompts.with_label_values(&["refused"]).inc();
        let kind = if self.runs == 0 { Kind::Quarantined } else { Kind::UpstreamFailed };
        Error::new(kind, self.fatal_message()).with_retry_after(rejection.retry_after)
    }

    /// Records that the upstream broke off, and logs what tells a request that may have crashed it from
    /// one that only ran beside that: its prompt parts, and for how long the upstream had written the response.
    pub(crate) fn report_break(&self, choice: &Choice, signs: Signs) {
        let start_time_ms = choice.incarnation.start_time_ms;
        log::info!(request = self.job.metadata.id.as_str(), upstream = choice.id.as_str(),
            start_time_ms = start_time_ms, ran_ms = signs.ran.map(|it| it.as_millis() as u64),
            is_break = signs.is_break,
            pooled = signs.pooled, silence_ms = signs.silence.map(|it| it.as_millis() as u64),
            fingerprint = self.job.fingerprint.to_string().as_str(),
            parts = poison::format_keys(&self.shared_parts).as_str();
            "upstream broke off");
        if !signs.is_break {
            return;
        }
        self.gateway.record_break(Break {
            request: self.job.fingerprint,
            upstream: choice.id.clone(),
            start_time_ms,
            parts: self.shared_parts.clone(),
            ran: signs.ran,
            broke_at: self.gateway.crash_clock(),
            silence: signs.silence,
        });
    }
}
