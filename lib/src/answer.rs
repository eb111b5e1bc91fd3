//! State machine of the answer to one prompt. It performs no I/O: it takes frames and failures of
//! the current stream and returns the next [`Step`], so that the caller gets every part of the
//! answer once and in order, or an error.

use crate::{
    fault::{Cause, Delivery, Fault},
    generated::wire::{Finish, Frame},
    invariant::{Invariant, check},
    prelude::*,
};

/// Maximum number of attempts at one request, including the first one; each starts a run.
const MAX_ATTEMPTS: u32 = 3;
/// Times that the stream of one run may be resumed.
const MAX_RESUMES: u32 = 2;
/// `Retry-After` of an answer that failed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What the owner of the answer has to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Choose an upstream and start a run there.
    Dispatch,
    /// Resume the run at the same upstream, from the frame with this sequence number on.
    Resume(u64),
    /// Send this text to the caller.
    Deliver(FastStr),
    /// Send this text to the caller; the answer is complete.
    Finish(FastStr, Finish),
    /// Send this error to the caller; the answer has failed.
    Fail(Error),
    /// Ignore the frame or the failure, for this reason.
    Drop(DropReason),
    /// Stop reading the stream and pass this fault to [`Answer::handle_failure`].
    Abandon(Fault),
}

/// Why a frame or a failure is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Its text was delivered already.
    Duplicate,
    /// It belongs to another run.
    ForeignFrame,
    /// The answer has ended.
    AfterEnd,
}

/// The answer to one prompt, across all attempts.
#[derive(Debug)]
pub struct Answer {
    /// Id of the current attempt.
    attempt: FastStr,
    /// Sequence number of the next frame to accept.
    next_seq: u64,
    /// Accepted frames of the current attempt. Counted separately from `next_seq`, which decides
    /// which frames are accepted, so that the invariant check does not depend on it.
    accepted: u64,
    attempts: u32,
    /// Times that the stream of the current run was resumed.
    resumes: u32,
    max_tokens: u32,
    /// Tokens delivered so far.
    tokens: u32,
    /// Text delivered so far.
    delivered: String,
    /// Indices of the upstreams of all attempts.
    tried: SmallVec<[usize; MAX_ATTEMPTS as usize]>,
    /// Attempts of which an engine may have received at least a part.
    possibly_sent: u32,
    ended: bool,
}

impl Answer {
    /// Creates an answer of at most `max_tokens`.
    pub fn new(max_tokens: u32) -> Self {
        Answer {
            attempt: FastStr::default(),
            next_seq: 0,
            accepted: 0,
            attempts: 0,
            resumes: 0,
            max_tokens,
            tokens: 0,
            delivered: String::new(),
            tried: SmallVec::new(),
            possibly_sent: 0,
            ended: false,
        }
    }

    /// Records that an attempt with this id is started at an upstream, given by its index. Frames
    /// of earlier runs are dropped from now on.
    pub fn start_attempt(&mut self, attempt: FastStr, upstream: usize) {
        self.attempt = attempt;
        self.next_seq = 0;
        self.accepted = 0;
        self.attempts += 1;
        self.possibly_sent += 1;
        self.resumes = 0;
        self.tried.push(upstream);
    }

    /// Returns the indices of the upstreams at which attempts were started.
    pub fn tried(&self) -> &[usize] {
        &self.tried
    }

    /// Returns the number of attempts started.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the text delivered so far, which a further attempt has to continue.
    pub fn delivered(&self) -> &str {
        &self.delivered
    }

    /// Returns the number of tokens delivered so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the number of tokens that may still follow.
    pub fn tokens_left(&self) -> u32 {
        self.max_tokens.saturating_sub(self.tokens)
    }

    /// Handles a frame of the current stream. Frames of other runs and repeated ones are
    /// dropped; after a gap the stream is resumed, as often as that is allowed.
    pub fn handle_frame(&mut self, frame: Frame) -> Step {
        if self.ended {
            return Step::Drop(DropReason::AfterEnd);
        }
        if self.attempt != frame.attempt {
            return Step::Drop(DropReason::ForeignFrame);
        }
        if frame.seq < self.next_seq {
            return Step::Drop(DropReason::Duplicate);
        }
        if frame.seq > self.next_seq {
            return self.resume().unwrap_or(Step::Abandon(Fault::PROTOCOL));
        }
        self.accept(frame)
    }

    /// Accepts the next frame in sequence and returns its text for delivery.
    fn accept(&mut self, frame: Frame) -> Step {
        if !check(Invariant::AnswerWhole, frame.seq == self.accepted) {
            return self.abort(Error::new(Kind::Internal, "the answer would not be whole"));
        }
        self.accepted += 1;
        self.next_seq += 1;
        self.tokens += frame.tokens.unwrap_or(0);
        let text = FastStr::from(frame.text.unwrap_or_default());
        self.delivered.push_str(&text);
        match frame.finish {
            Some(finish) => {
                self.mark_ended();
                Step::Finish(text, finish)
            }
            None => Step::Deliver(text),
        }
    }

    /// Handles a failure of the current stream or of starting it. A run that broke or timed out
    /// after its first frame is resumed; otherwise another attempt follows, if one is allowed.
    /// `allow_retry` takes one retry from the retry budget and is called at most once.
    pub fn handle_failure<F>(&mut self, fault: Fault, allow_retry: F) -> Step
    where
        F: FnOnce() -> bool,
    {
        if self.ended {
            return Step::Drop(DropReason::AfterEnd);
        }
        if fault.delivery == Delivery::NotSent {
            self.possibly_sent -= 1;
        }
        if fault.delivery == Delivery::Unknown
            && matches!(fault.cause, Cause::Broken | Cause::Timeout)
            && self.next_seq > 0
            && let Some(step) = self.resume()
        {
            return step;
        }
        if self.attempts >= MAX_ATTEMPTS {
            return self.fail(fault, "every attempt failed");
        }
        if !allow_retry() {
            return self.fail(fault, "the attempt failed and retries are used up");
        }
        Step::Dispatch
    }

    /// Ends the answer with an error. An error that claims that nothing ran is replaced if an
    /// engine may have received an attempt.
    pub fn abort(&mut self, err: Error) -> Step {
        if self.ended {
            return Step::Drop(DropReason::AfterEnd);
        }
        self.mark_ended();
        let claims_not_run = err.kind.descriptor().run == RunStatus::NotRun;
        if claims_not_run && self.possibly_sent > 0 {
            let message = format!("every attempt failed; {}", err.message);
            let after = err.retry_after.unwrap_or(RETRY_AFTER);
            return Step::Fail(Error::new(Kind::UpstreamFailed, message).with_retry_after(after));
        }
        Step::Fail(err)
    }

    /// Returns the step that resumes the run from the next frame, or `None` if it may not be
    /// resumed again.
    fn resume(&mut self) -> Option<Step> {
        if self.resumes >= MAX_RESUMES {
            return None;
        }
        self.resumes += 1;
        Some(Step::Resume(self.next_seq))
    }

    /// Ends the answer after its last failure.
    fn fail(&mut self, fault: Fault, message: &str) -> Step {
        let kind = match fault.cause {
            Cause::Protocol => Kind::UpstreamInvalid,
            _ => Kind::NoUpstream,
        };
        self.abort(Error::new(kind, message).with_retry_after(RETRY_AFTER))
    }

    fn mark_ended(&mut self) {
        check(Invariant::AnswerEnds, !self.ended);
        self.ended = true;
    }
}
