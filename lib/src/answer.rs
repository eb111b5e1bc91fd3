//! State of one prompt's answer: which frames count, and what follows a failure.

use crate::{
    fault::{Cause, Delivery, Fault},
    generated::wire::{Finish, Frame},
    invariant::{Invariant, check},
    prelude::*,
};

/// Runs started for one request, the first one included.
const ATTEMPTS: u32 = 3;
/// Times that the stream of one run may be asked for again.
const RESUMES: u32 = 2;
const COME_BACK: Duration = Duration::from_secs(1);

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Choose an upstream and start a run there.
    Dispatch,
    /// Ask the same upstream for the frames from this sequence number on.
    Resume(u64),
    /// Hand this text to the caller.
    Deliver(FastStr),
    /// Hand this text to the caller; the answer is whole.
    Finish(FastStr, Finish),
    /// Tell the caller that the answer failed.
    Fail(Error),
    /// Drop the frame.
    Drop(DropReason),
    /// The stream is of no more use; [`Answer::handle_failure`] decides what follows.
    Abandon(Fault),
}

/// Why a frame is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Its text was delivered before.
    Duplicate,
    /// It belongs to another run.
    WrongAttempt,
    /// The answer has ended.
    AfterEnd,
}

/// The answer to one prompt.
#[derive(Debug)]
pub struct Answer {
    attempt: FastStr,
    next_seq: u64,
    /// Frames accepted of the current attempt, counted apart from `next_seq`, so that the
    /// check of the invariant does not rest on what decides which frames count.
    accepted: u64,
    attempts: u32,
    resumes: u32,
    max_tokens: u32,
    tokens: u32,
    delivered: String,
    tried: SmallVec<[usize; ATTEMPTS as usize]>,
    /// Attempts of which an engine may have seen a part.
    reached: u32,
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
            reached: 0,
            ended: false,
        }
    }

    /// Notes that a run was started at an upstream under an attempt id.
    pub fn start_attempt(&mut self, attempt: FastStr, upstream: usize) {
        self.attempt = attempt;
        self.next_seq = 0;
        self.accepted = 0;
        self.attempts += 1;
        self.reached += 1;
        self.resumes = 0;
        self.tried.push(upstream);
    }

    /// Returns the upstreams at which runs were started.
    pub fn tried(&self) -> &[usize] {
        &self.tried
    }

    /// Returns how many runs were started.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the text delivered so far, which a further run has to continue.
    pub fn delivered(&self) -> &str {
        &self.delivered
    }

    /// Returns the tokens delivered so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the tokens that are still allowed.
    pub fn tokens_left(&self) -> u32 {
        self.max_tokens.saturating_sub(self.tokens)
    }

    /// Takes a frame of the current stream.
    pub fn handle_frame(&mut self, frame: Frame) -> Step {
        if self.ended {
            return Step::Drop(DropReason::AfterEnd);
        }
        if self.attempt != frame.attempt {
            return Step::Drop(DropReason::WrongAttempt);
        }
        if frame.seq < self.next_seq {
            return Step::Drop(DropReason::Duplicate);
        }
        if frame.seq > self.next_seq {
            return self.resume().unwrap_or(Step::Abandon(Fault::PROTOCOL));
        }
        self.accept(frame)
    }

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
                self.end();
                Step::Finish(text, finish)
            }
            None => Step::Deliver(text),
        }
    }

    /// Takes a failure of the current stream, or of starting it. `allow` takes one retry
    /// out of the budget and is asked at most once.
    pub fn handle_failure<F>(&mut self, fault: Fault, allow: F) -> Step
    where
        F: FnOnce() -> bool,
    {
        if self.ended {
            return Step::Drop(DropReason::AfterEnd);
        }
        if fault.delivery == Delivery::NotSent {
            self.reached -= 1;
        }
        if fault.delivery == Delivery::Unknown
            && matches!(fault.cause, Cause::Broken | Cause::Timeout)
            && self.next_seq > 0
            && let Some(step) = self.resume()
        {
            return step;
        }
        if self.attempts >= ATTEMPTS {
            return self.fail(fault, "every attempt failed");
        }
        if !allow() {
            return self.fail(fault, "the attempt failed and retries are used up");
        }
        Step::Dispatch
    }

    /// Ends the answer with an error. One that says that nothing ran is replaced when an
    /// engine may have seen an attempt.
    pub fn abort(&mut self, err: Error) -> Step {
        if self.ended {
            return Step::Drop(DropReason::AfterEnd);
        }
        self.end();
        let claims_not_run = err.kind.descriptor().run == RunStatus::NotRun;
        if claims_not_run && self.reached > 0 {
            let message = format!("every attempt failed; {}", err.message);
            let after = err.retry_after.unwrap_or(COME_BACK);
            return Step::Fail(Error::new(Kind::UpstreamFailed, message).retry_after(after));
        }
        Step::Fail(err)
    }

    fn resume(&mut self) -> Option<Step> {
        if self.resumes >= RESUMES {
            return None;
        }
        self.resumes += 1;
        Some(Step::Resume(self.next_seq))
    }

    fn fail(&mut self, fault: Fault, message: &str) -> Step {
        let kind = match fault.cause {
            Cause::Protocol => Kind::UpstreamInvalid,
            _ => Kind::NoUpstream,
        };
        self.abort(Error::new(kind, message).retry_after(COME_BACK))
    }

    fn end(&mut self) {
        check(Invariant::AnswerEnds, !self.ended);
        self.ended = true;
    }
}
