//! A request as far as its prompt may crash upstreams: what its attempts show of that, and how it ends
//! because of it.

use crate::{
    codec::Codec,
    fleet::{Choice, Outcome},
    forward::{AttemptError, Forwarder, InFlightAttempt},
    poison::{self, Break},
    prelude::*,
    quarantine::Crash,
};

/// Tells the caller why the request is not sent, or withdrawn.
const FATAL_MESSAGE: &str = "prompts with the same part have crashed several upstreams";

/// What an attempt showed of its upstream until it ended without a whole response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Signs {
    /// Whether the connection broke. Otherwise the response was not valid.
    pub(crate) is_break: bool,
    /// Whether the connection came from the pool, and nothing was received on it since.
    pub(crate) pooled: bool,
    /// Whether an event of the response had arrived.
    pub(crate) had_event: bool,
    /// Time from the upstream's last sign of life on the connection; `None` if there was none since the
    /// request was sent.
    pub(crate) silence: Option<Duration>,
}

impl Signs {
    /// Signs of an upstream that responded, but not with a valid response.
    pub(crate) const INVALID_RESPONSE: Signs =
        Signs { is_break: false, pooled: false, had_event: false, silence: None };
}

impl<C> Forwarder<C>
where
    C: Codec,
{
    /// Waits until prompts like this one are known to crash upstreams, unless this attempt is a trial.
    pub(crate) async fn wait_fatal(&self) {
        let parts = if self.is_trial { &[] } else { &self.shared_parts[..] };
        self.gateway.wait_fatal(parts).await;
    }

    /// Gives up an attempt whose upstream would crash when it begins to respond. The upstream drops the
    /// request when its connection closes.
    pub(crate) fn withdraw(&mut self, attempt: InFlightAttempt<C>) -> AttemptError {
        self.times_sent += 1;
        self.runs += 1;
        self.count_withdrawal(&attempt.choice);
        attempt.complete(Outcome::Cancelled);
        AttemptError::Fail(Error::new(Kind::UpstreamFailed, FATAL_MESSAGE))
    }

    /// Logs and counts an attempt that was given up because its upstream would crash.
    pub(crate) fn count_withdrawal(&self, choice: &Choice) {
        self.log_attempt(choice, "withdrawn");
        self.gateway.metrics.fatal_prompts.with_label_values(&["withdrawn"]).inc();
    }

    /// Returns the error of a request whose prompt crashes upstreams.
    pub(crate) fn rejection_error(&self, rejection: &poison::Rejection) -> Error {
        log::info!(request = self.job.metadata.id.as_str(),
            parts = poison::format_keys(&rejection.parts).as_str(),
            next_trial_ms = rejection.retry_after.as_millis() as u64;
            "request holds prompt parts that crash upstreams");
        self.gateway.metrics.fatal_prompts.with_label_values(&["refused"]).inc();
        let kind = if self.runs == 0 { Kind::Quarantined } else { Kind::UpstreamFailed };
        Error::new(kind, FATAL_MESSAGE).with_retry_after(rejection.retry_after)
    }

    /// Records that the upstream broke off, and logs what tells a request that may have crashed it from
    /// one that only ran beside that: its prompt parts, and whether an event of the response had arrived.
    pub(crate) fn report_break(&self, choice: &Choice, signs: Signs) {
        let start_time_ms = choice.incarnation.start_time_ms;
        log::info!(request = self.job.metadata.id.as_str(), upstream = choice.id.as_str(),
            start_time_ms = start_time_ms, had_event = signs.had_event, is_break = signs.is_break,
            pooled = signs.pooled, silence_ms = signs.silence.map(|it| it.as_millis() as u64),
            fingerprint = self.job.fingerprint.to_string().as_str(),
            parts = poison::format_keys(&self.shared_parts).as_str();
            "upstream broke off");
        let may_be_cause = signs.is_break && !signs.had_event;
        self.gateway.record_break(Break {
            crash: Crash {
                request: self.job.fingerprint,
                upstream: choice.id.clone(),
                suspected: signs.pooled || signs.had_event,
            },
            start_time_ms,
            parts: if may_be_cause { self.shared_parts.clone() } else { poison::Keys::new() },
            broke_at: self.gateway.now(),
            silence: signs.silence,
        });
    }
}
