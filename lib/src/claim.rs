//! Claims: a request that is not idempotent is sent at most once, whatever fails.
//!
//! A request's row in the table service moves from `claimed` over `sent` to `done`, `lost`
//! or `not_run`, each step a conditional write under the attempt's id. Only the attempt
//! that committed `sent` sends, once. The machine does no I/O: each [`Step`] is carried
//! out by its caller, who brings back the matching [`Input`].

use http::Response;

use crate::{
    fault::{Delivery, Fault},
    generated::wire::{Claim, ClaimAnswer, ClaimState, Outcome, Row, Write},
    invariant::{Invariant, check},
    prelude::*,
};

/// Time within which a claim has to be sent; after it, anyone may take the claim over.
pub const CLAIM_WINDOW: Duration = Duration::from_secs(5);
/// How long before the end of its window an attempt stops trusting its claim. Covers the
/// difference between hosts' wall clocks.
pub const CLOCK_SKEW_MARGIN: Duration = Duration::from_secs(1);
/// Time after a sent request's own timeout before others take its outcome for lost.
const SENT_GRACE: Duration = Duration::from_secs(5);
/// Largest answer that is kept for replay, in bytes.
const KEPT_ANSWER: usize = 64 << 10;
/// Calls to the table service by which one transition may be settled.
const SETTLE_CALLS: u32 = 6;
/// When to come back while another attempt holds the claim.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// What the caller of the machine has to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Read the row.
    Read,
    /// Write the row.
    Write(Write),
    /// Send the request, once.
    Send,
    /// Answer the caller.
    Answer(Result<Reply, Error>),
}

/// An answer to a request that is not idempotent.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
    /// Whether it was stored by an earlier attempt.
    pub replayed: bool,
}

/// What came of a step.
#[derive(Clone, Debug)]
pub enum Input {
    /// What came of [`Step::Read`].
    Row(Result<Option<Row>, Fault>),
    /// What came of [`Step::Write`].
    Written(Result<Outcome, Fault>),
    /// What came of [`Step::Send`].
    Sent(Result<Response<Bytes>, Fault>),
}

/// The time at which an input came, by both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Time {
    /// Monotonic time of this host.
    pub now: Instant,
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// Identity of a request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The row's key.
    pub key: String,
    /// Hash of method, path and body.
    pub hash: String,
    /// The attempt's id.
    pub attempt: String,
    /// The host that makes the attempt.
    pub host: Host,
    /// Longest wait for the service's answer.
    pub timeout: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Claiming,
    MarkingSent,
    Sending,
    Abandoning,
    Storing,
    Over,
}

/// One attempt at a request that is not idempotent.
#[derive(Debug)]
pub struct StateMachine {
    request: Request,
    phase: Phase,
    /// Version of the row that the next write replaces; 0 where there is none.
    version: u64,
    /// End of the first claim's window, by this host's clock. A repeated write does not
    /// move it, because it may have been the first one that took effect.
    until: Instant,
    settle_calls: u32,
    send_count: u32,
    result: Option<Result<Reply, Error>>,
}

impl StateMachine {
    /// Starts an attempt and returns its first step.
    pub fn start(request: Request, time: Time) -> (Self, Step) {
        let mut machine = StateMachine {
            request,
            phase: Phase::Claiming,
            version: 0,
            until: time.now + CLAIM_WINDOW,
            settle_calls: 0,
            send_count: 0,
            result: None,
        };
        let step = machine.claim(time);
        (machine, step)
    }

    /// Takes what came of the last step and returns the next one.
    pub fn next(&mut self, time: Time, input: Input) -> Step {
        match (self.phase, input) {
            (Phase::Claiming, Input::Written(Ok(outcome))) if outcome.committed => {
                self.claimed(time, outcome.version.unwrap_or_default())
            }
            (Phase::MarkingSent, Input::Written(Ok(outcome))) if outcome.committed => {
                self.marked(time, outcome.version.unwrap_or_default())
            }
            (Phase::Claiming | Phase::MarkingSent, Input::Written(_)) => self.settle(time),
            (Phase::Claiming | Phase::MarkingSent, Input::Row(Ok(row))) => self.row(time, row),
            (Phase::Claiming | Phase::MarkingSent, Input::Row(Err(_))) => self.settle(time),
            (Phase::Sending, Input::Sent(result)) => self.sent(time, result),
            (Phase::Abandoning | Phase::Storing, Input::Written(_)) => self.finish(),
            (phase, _) => {
                log::error!(phase = format!("{phase:?}").as_str(); "step and input do not match");
                self.answer(Err(Error::new(Kind::Internal, "a claim got out of step")))
            }
        }
    }

    /// Returns how often the request was sent.
    pub fn send_count(&self) -> u32 {
        self.send_count
    }

    fn claim(&mut self, time: Time) -> Step {
        self.phase = Phase::Claiming;
        Step::Write(self.write(ClaimState::Claimed, time, CLAIM_WINDOW, None))
    }

    fn claimed(&mut self, time: Time, version: u64) -> Step {
        self.version = version;
        self.settle_calls = 0;
        if !self.trusted(time) {
            return self.abandon(time);
        }
        self.mark_sent(time)
    }

    fn mark_sent(&mut self, time: Time) -> Step {
        self.phase = Phase::MarkingSent;
        let window = self.request.timeout + SENT_GRACE;
        Step::Write(self.write(ClaimState::Sent, time, window, None))
    }

    /// The row says that this attempt sends. The time is checked once more, because a
    /// pause may have come between.
    fn marked(&mut self, time: Time, version: u64) -> Step {
        self.version = version;
        if !self.trusted(time) {
            return self.abandon(time);
        }
        self.phase = Phase::Sending;
        self.send_count += 1;
        if !check(Invariant::SentOnce, self.send_count == 1) {
            return self.answer(Err(Error::new(Kind::Internal, "sent already")));
        }
        Step::Send
    }

    fn sent(&mut self, time: Time, result: Result<Response<Bytes>, Fault>) -> Step {
        let (state, result) = match result {
            Ok(response) => (ClaimState::Done, Ok(Reply::from(&response))),
            Err(Fault { delivery: Delivery::NotSent, .. }) => {
                let message = "the service could not be reached";
                (ClaimState::NotRun, Err(Error::new(Kind::NotRun, message).retry_after(BUSY_RETRY)))
            }
            Err(Fault { delivery: Delivery::Unknown, .. }) => (ClaimState::Lost, Err(lost())),
        };
        let answer = result.as_ref().ok().filter(|it| it.body.len() <= KEPT_ANSWER);
        let answer = answer.map(ClaimAnswer::from);
        self.result = Some(result);
        self.phase = Phase::Storing;
        Step::Write(self.write(state, time, Duration::ZERO, answer))
    }

    /// Gives the claim back unsent. The row keeps this attempt from ever sending.
    fn abandon(&mut self, time: Time) -> Step {
        self.phase = Phase::Abandoning;
        self.result = Some(Err(self.refusal(time)));
        Step::Write(self.write(ClaimState::NotRun, time, Duration::ZERO, None))
    }

    /// Reads back what became of a write whose answer was lost or which met another row.
    fn settle(&mut self, time: Time) -> Step {
        self.settle_calls += 1;
        if self.settle_calls > SETTLE_CALLS || !self.trusted(time) {
            return self.answer(Err(self.refusal(time)));
        }
        Step::Read
    }

    fn row(&mut self, time: Time, row: Option<Row>) -> Step {
        let Some(row) = row else {
            return self.missing(time);
        };
        let Ok(claim) = serde_json::from_str::<Claim>(&row.value) else {
            let message = format!("row `{}` of the table service is damaged", row.key);
            return self.answer(Err(Error::new(Kind::OutcomeUnknown, message)));
        };
        if claim.attempt == self.request.attempt {
            return self.own(time, row.version, claim.state);
        }
        self.other(time, row.version, &claim)
    }

    /// No row is there: the write did not take effect, or not yet. Writing the same once
    /// more is safe, because both writes expect that no row is there.
    fn missing(&mut self, time: Time) -> Step {
        if self.phase == Phase::MarkingSent {
            // The row of this attempt was removed, so that nothing proves its claim.
            return self.answer(Err(lost()));
        }
        self.version = 0;
        self.claim(time)
    }

    fn own(&mut self, time: Time, version: u64, state: ClaimState) -> Step {
        match (self.phase, state) {
            (Phase::Claiming, ClaimState::Claimed) => self.claimed(time, version),
            (Phase::MarkingSent, ClaimState::Claimed) => {
                self.version = version;
                self.mark_sent(time)
            }
            (Phase::MarkingSent, ClaimState::Sent) => self.marked(time, version),
            _ => self.answer(Err(lost())),
        }
    }

    /// Another attempt's row stands under the key.
    fn other(&mut self, time: Time, version: u64, claim: &Claim) -> Step {
        if claim.request != self.request.hash {
            let message = "the idempotency key was used for another request";
            return self.answer(Err(Error::new(Kind::IdempotencyKeyReused, message)));
        }
        let running = time.unix_ms < claim.until_ms;
        match claim.state {
            ClaimState::Done => {
                let reply = claim.answer.as_ref().and_then(|it| Reply::try_from(it).ok());
                let gone = "the request ran; its answer was too large to be kept";
                self.answer(reply.ok_or_else(|| Error::new(Kind::OutcomeUnknown, gone)))
            }
            ClaimState::Claimed | ClaimState::Sent if running => self.answer(Err(busy())),
            ClaimState::NotRun | ClaimState::Claimed => {
                self.version = version;
                self.claim(time)
            }
            ClaimState::Sent | ClaimState::Lost => self.answer(Err(lost())),
        }
    }

    /// Refuses without having sent. That is the whole truth only while no other attempt
    /// can have taken the claim over.
    fn refusal(&self, time: Time) -> Error {
        if !check(Invariant::RefusalTrue, self.send_count == 0) {
            return lost();
        }
        if !self.trusted(time) {
            return busy();
        }
        let message = "the table service does not answer, the request was not sent";
        Error::new(Kind::TableUnavailable, message).retry_after(BUSY_RETRY)
    }

    fn trusted(&self, time: Time) -> bool {
        time.now + CLOCK_SKEW_MARGIN < self.until
    }

    fn write(
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

    fn finish(&mut self) -> Step {
        let result = self.result.take();
        self.answer(result.unwrap_or_else(|| Err(lost())))
    }

    fn answer(&mut self, result: Result<Reply, Error>) -> Step {
        self.phase = Phase::Over;
        if let Err(err) = &result {
            let sent_nothing =
                err.kind.descriptor().run == RunStatus::Unknown || self.send_count == 0;
            // Not reaching any instance proves that the one send had no effect.
            check(Invariant::RefusalTrue, sent_nothing || err.kind == Kind::NotRun);
        }
        Step::Answer(result)
    }
}

fn lost() -> Error {
    Error::new(Kind::OutcomeUnknown, "the request was sent and its outcome is not known")
}

fn busy() -> Error {
    let message = "a request with this idempotency key is in progress";
    Error::new(Kind::InProgress, message).retry_after(BUSY_RETRY)
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
