//! Claims: a request that is not idempotent is sent at most once, whatever fails.
//!
//! Each request has a row in the table service, which moves from `claimed` through `sent` to
//! `done`, `lost` or `not_run`. Every transition is a conditional write that carries the id of
//! the attempt. Only the attempt that committed `sent` sends the request, once. The state
//! machine does no I/O: its caller performs each [`Step`] and passes back the matching
//! [`Input`].

use http::Response;

use crate::{
    fault::{Delivery, Fault},
    generated::wire::{Claim, ClaimAnswer, ClaimState, Outcome, Row, Write},
    invariant::{Invariant, check},
    prelude::*,
};

/// Time within which an attempt must send under its claim. After it, any other attempt may
/// take the claim over.
pub const CLAIM_WINDOW: Duration = Duration::from_secs(5);
/// Time before the end of the claim window at which an attempt stops relying on its claim.
/// Covers the difference between the wall clocks of hosts.
pub const CLOCK_SKEW_MARGIN: Duration = Duration::from_secs(1);
/// Time after the timeout of a sent request before other attempts treat its outcome as lost.
const SENT_GRACE: Duration = Duration::from_secs(5);
/// Largest reply body that is stored for replay, in bytes.
const MAX_STORED_BODY_BYTES: usize = 64 << 10;
/// Reads of the row that an attempt makes per transition to find out what became of a failed or
/// conflicting write.
const MAX_RESOLVE_CALLS: u32 = 6;
/// Retry delay suggested to a caller while another attempt holds the claim, and when the request
/// was not run.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The action that the caller of the state machine performs next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Read the request's row.
    Read,
    /// Commit this write of the request's row.
    Write(Write),
    /// Send the request, once.
    Send,
    /// Answer the caller; the attempt is over.
    Answer(Result<Reply, Error>),
}

/// The reply of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
    /// Whether it is the stored reply of an earlier attempt.
    pub replayed: bool,
}

/// The result of a [`Step`].
#[derive(Clone, Debug)]
pub enum Input {
    /// Result of [`Step::Read`].
    Row(Result<Option<Row>, Fault>),
    /// Result of [`Step::Write`].
    Written(Result<Outcome, Fault>),
    /// Result of [`Step::Send`].
    Sent(Result<Response<Bytes>, Fault>),
}

/// The time at which an input arrived, by the monotonic and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Time {
    /// Monotonic time of this host.
    pub now: Instant,
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// Identity of a request and of the attempt at it, and the timeout of the request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Key of the request's row.
    pub key: String,
    /// Hash of method, path and body. Tells a repetition from another request with the same key.
    pub hash: String,
    /// The attempt's id.
    pub attempt: String,
    /// The host that makes the attempt.
    pub host: Host,
    /// Maximum wait for the reply of the service.
    pub timeout: Duration,
}

/// The operation whose result the attempt waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Writing `claimed`.
    Claiming,
    /// Writing `sent`.
    MarkingSent,
    /// Sending the request.
    Sending,
    /// Writing `not_run`, because too little of the claim window is left to send.
    Abandoning,
    /// Writing the outcome.
    Storing,
    /// The caller has its answer.
    Over,
}

/// State machine of one attempt at a request that is not idempotent.
#[derive(Debug)]
pub struct StateMachine {
    request: Request,
    phase: Phase,
    /// Version of the row that the next write replaces; 0 if there is no row.
    version: u64,
    /// End of the claim window by this host's monotonic clock, counted from the first claim
    /// write. Repeating the write does not extend it, because the first write may be the one
    /// that took effect.
    claim_deadline: Instant,
    /// Reads of the row so far to resolve the pending write, see [`MAX_RESOLVE_CALLS`].
    resolve_calls: u32,
    /// How many times the request was sent; more than once violates an invariant.
    send_count: u32,
    /// Answer for the caller once the pending write of the row has ended.
    result: Option<Result<Reply, Error>>,
}

impl StateMachine {
    /// Starts an attempt and returns its first step.
    pub fn start(request: Request, time: Time) -> (Self, Step) {
        let mut machine = StateMachine {
            request,
            phase: Phase::Claiming,
            version: 0,
            claim_deadline: time.now + CLAIM_WINDOW,
            resolve_calls: 0,
            send_count: 0,
            result: None,
        };
        let step = machine.write_claim(time);
        (machine, step)
    }

    /// Takes the result of the last step and returns the next step.
    pub fn next(&mut self, time: Time, input: Input) -> Step {
        match (self.phase, input) {
            (Phase::Claiming, Input::Written(Ok(outcome))) if outcome.committed => {
                self.on_claimed(time, outcome.version.unwrap_or_default())
            }
            (Phase::MarkingSent, Input::Written(Ok(outcome))) if outcome.committed => {
                self.on_marked_sent(time, outcome.version.unwrap_or_default())
            }
            (Phase::Claiming | Phase::MarkingSent, Input::Written(_)) => self.resolve_write(time),
            (Phase::Claiming | Phase::MarkingSent, Input::Row(Ok(row))) => self.on_row(time, row),
            (Phase::Claiming | Phase::MarkingSent, Input::Row(Err(_))) => self.resolve_write(time),
            (Phase::Sending, Input::Sent(result)) => self.on_send_result(time, result),
            (Phase::Abandoning | Phase::Storing, Input::Written(_)) => self.answer_stored_result(),
            (phase, _) => {
                log::error!(phase = format!("{phase:?}").as_str();
                    "claim input does not match the phase");
                self.answer(Err(Error::new(Kind::Internal, "a claim got out of step")))
            }
        }
    }

    /// Returns how many times the request was sent.
    pub fn send_count(&self) -> u32 {
        self.send_count
    }

    fn write_claim(&mut self, time: Time) -> Step {
        self.phase = Phase::Claiming;
        Step::Write(self.row_write(ClaimState::Claimed, time, CLAIM_WINDOW, None))
    }

    /// Continues once `claimed` is committed.
    fn on_claimed(&mut self, time: Time, version: u64) -> Step {
        self.version = version;
        self.resolve_calls = 0;
        if !self.claim_is_safe(time) {
            return self.abandon(time);
        }
        self.mark_sent(time)
    }

    /// Writes `sent`, which must be committed before the request is sent.
    fn mark_sent(&mut self, time: Time) -> Step {
        self.phase = Phase::MarkingSent;
        let window = self.request.timeout + SENT_GRACE;
        Step::Write(self.row_write(ClaimState::Sent, time, window, None))
    }

    /// Sends the request once `sent` is committed. Checks the claim window again, because the
    /// process may have been paused during the write.
    fn on_marked_sent(&mut self, time: Time, version: u64) -> Step {
        self.version = version;
        if !self.claim_is_safe(time) {
            return self.abandon(time);
        }
        self.phase = Phase::Sending;
        self.send_count += 1;
        if !check(Invariant::SentOnce, self.send_count == 1) {
            return self.answer(Err(Error::new(Kind::Internal, "sent already")));
        }
        Step::Send
    }

    /// Stores the outcome of the send.
    fn on_send_result(&mut self, time: Time, result: Result<Response<Bytes>, Fault>) -> Step {
        let (state, result) = match result {
            Ok(response) => (ClaimState::Done, Ok(Reply::from(&response))),
            Err(Fault { delivery: Delivery::NotSent, .. }) => {
                let message = "the service could not be reached";
                (
                    ClaimState::NotRun,
                    Err(Error::new(Kind::NotRun, message).with_retry_after(RETRY_AFTER)),
                )
            }
            Err(Fault { delivery: Delivery::Unknown, .. }) => {
                (ClaimState::Lost, Err(outcome_unknown()))
            }
        };
        let answer = result.as_ref().ok().filter(|it| it.body.len() <= MAX_STORED_BODY_BYTES);
        let answer = answer.map(ClaimAnswer::from);
        self.result = Some(result);
        self.phase = Phase::Storing;
        Step::Write(self.row_write(state, time, Duration::ZERO, answer))
    }

    /// Releases the claim without sending. The row then keeps this attempt from ever sending.
    fn abandon(&mut self, time: Time) -> Step {
        self.phase = Phase::Abandoning;
        self.result = Some(Err(self.unsent_error(time)));
        Step::Write(self.row_write(ClaimState::NotRun, time, Duration::ZERO, None))
    }

    /// Reads the row to find out what became of a write whose response was lost or that conflicted
    /// with a write of another attempt.
    fn resolve_write(&mut self, time: Time) -> Step {
        self.resolve_calls += 1;
        if self.resolve_calls > MAX_RESOLVE_CALLS || !self.claim_is_safe(time) {
            return self.answer(Err(self.unsent_error(time)));
        }
        Step::Read
    }

    /// Continues with the row as it was read after a failed or conflicting write.
    fn on_row(&mut self, time: Time, row: Option<Row>) -> Step {
        let Some(row) = row else {
            return self.on_missing_row(time);
        };
        let Ok(claim) = serde_json::from_str::<Claim>(&row.value) else {
            let message = format!("row `{}` of the table service is damaged", row.key);
            return self.answer(Err(Error::new(Kind::OutcomeUnknown, message)));
        };
        if claim.attempt == self.request.attempt {
            return self.on_own_row(time, row.version, claim.state);
        }
        self.on_other_row(time, row.version, &claim)
    }

    /// Handles a missing row: the write did not take effect, or not yet. Repeating the write
    /// is safe, because both writes expect that the row does not exist.
    fn on_missing_row(&mut self, time: Time) -> Step {
        if self.phase == Phase::MarkingSent {
            // This attempt's row was removed, so nothing proves its claim any more.
            return self.answer(Err(outcome_unknown()));
        }
        self.version = 0;
        self.write_claim(time)
    }

    /// Handles a row that this attempt wrote itself.
    fn on_own_row(&mut self, time: Time, version: u64, state: ClaimState) -> Step {
        match (self.phase, state) {
            (Phase::Claiming, ClaimState::Claimed) => self.on_claimed(time, version),
            (Phase::MarkingSent, ClaimState::Claimed) => {
                self.version = version;
                self.mark_sent(time)
            }
            (Phase::MarkingSent, ClaimState::Sent) => self.on_marked_sent(time, version),
            _ => self.answer(Err(outcome_unknown())),
        }
    }

    /// Handles a row that another attempt wrote.
    fn on_other_row(&mut self, time: Time, version: u64, claim: &Claim) -> Step {
        if claim.request != self.request.hash {
            let message = "the idempotency key was used for another request";
            return self.answer(Err(Error::new(Kind::IdempotencyKeyReused, message)));
        }
        let unexpired = time.unix_ms < claim.until_ms;
        match claim.state {
            ClaimState::Done => {
                let reply = claim.answer.as_ref().and_then(|it| Reply::try_from(it).ok());
                let too_large = "the request ran; its answer was too large to be kept";
                self.answer(reply.ok_or_else(|| Error::new(Kind::OutcomeUnknown, too_large)))
            }
            ClaimState::Claimed | ClaimState::Sent if unexpired => self.answer(Err(in_progress())),
            ClaimState::NotRun | ClaimState::Claimed => {
                self.version = version;
                self.write_claim(time)
            }
            ClaimState::Sent | ClaimState::Lost => self.answer(Err(outcome_unknown())),
        }
    }

    /// Returns the error for a request that this attempt did not send. The error says that it
    /// was not sent at all only while no other attempt can have taken the claim over.
    fn unsent_error(&self, time: Time) -> Error {
        if !check(Invariant::RefusalTrue, self.send_count == 0) {
            return outcome_unknown();
        }
        if !self.claim_is_safe(time) {
            return in_progress();
        }
        let message = "the table service does not answer, the request was not sent";
        Error::new(Kind::TableUnavailable, message).with_retry_after(RETRY_AFTER)
    }

    /// Returns whether no other attempt can have taken the claim over yet.
    fn claim_is_safe(&self, time: Time) -> bool {
        time.now + CLOCK_SKEW_MARGIN < self.claim_deadline
    }

    /// Builds the conditional write that moves the row to `state`; others may act on the row
    /// once `window` has passed.
    fn row_write(
        &self,
        state: ClaimState,
        time: Time,
        window: Duration,
        answer: Option<ClaimAnswer>,
    ) -> Write {
        let claim = Claim {
            state,
            attempt: self.request.attempt.clone(),
            request: self.request.hash.clone(),
            host: self.request.host.to_string(),
            until_ms: time.unix_ms + window.as_millis() as u64,
            answer,
        };
        let value = serde_json::to_string(&claim).ok();
        Write { key: self.request.key.clone(), version: self.version, value }
    }

    /// Answers the caller once the last write has ended, whether it succeeded or not.
    fn answer_stored_result(&mut self) -> Step {
        let result = self.result.take();
        self.answer(result.unwrap_or_else(|| Err(outcome_unknown())))
    }

    /// Ends the attempt with an answer to the caller, and checks that an error does not deny a
    /// send.
    fn answer(&mut self, result: Result<Reply, Error>) -> Step {
        self.phase = Phase::Over;
        if let Err(err) = &result {
            let truthful = err.kind.descriptor().run == RunStatus::Unknown || self.send_count == 0;
            // `NotRun` after the send means that no instance could be reached, which proves that
            // the send had no effect.
            check(Invariant::RefusalTrue, truthful || err.kind == Kind::NotRun);
        }
        Step::Answer(result)
    }
}

fn outcome_unknown() -> Error {
    Error::new(Kind::OutcomeUnknown, "the request was sent and its outcome is not known")
}

fn in_progress() -> Error {
    let message = "a request with this idempotency key is in progress";
    Error::new(Kind::InProgress, message).with_retry_after(RETRY_AFTER)
}

impl From<&Response<Bytes>> for Reply {
    fn from(response: &Response<Bytes>) -> Self {
        let content_type = response.headers().get(http::header::CONTENT_TYPE);
        Reply {
            status: response.status().as_u16(),
            content_type: content_type.and_then(|it| it.to_str().ok()).map(Into::into),
            body: response.body().clone(),
            replayed: false,
        }
    }
}

impl From<&Reply> for ClaimAnswer {
    fn from(reply: &Reply) -> Self {
        use base64::{Engine as _, engine::general_purpose::STANDARD};
        ClaimAnswer {
            status: reply.status,
            content_type: reply.content_type.clone(),
            body: STANDARD.encode(&reply.body),
        }
    }
}

impl TryFrom<&ClaimAnswer> for Reply {
    type Error = base64::DecodeError;

    fn try_from(answer: &ClaimAnswer) -> Result<Self, base64::DecodeError> {
        use base64::{Engine as _, engine::general_purpose::STANDARD};
        Ok(Reply {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: STANDARD.decode(&answer.body)?.into(),
            replayed: true,
        })
    }
}
