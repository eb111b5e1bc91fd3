//! Runs one prompt on an engine and relays the answer to the caller.
//!
//! [`start`] spawns a task that chooses an upstream, follows the frames of the run there, resumes
//! or retries after a fault as [`Answer`] decides, and sends the text in [`Chunk`]s.

use tokio::{
    sync::mpsc,
    time::{Instant as TokioInstant, sleep_until, timeout},
};

use crate::{
    answer::{Answer, DropReason, Step},
    backend::PlainService,
    engine::{Endpoint, Engine, Frames},
    fault::{Delivery, Fault},
    generated::wire::{Finish, Frame, Generate},
    health_tracker::Event,
    inflight::{Permit, WorkspacePermit},
    key::Caller,
    prelude::*,
    prompt,
    record::{Attempt, Record},
    retry::Scope,
    shared::Shared,
    table::Table,
    upstream_choice,
};

/// Chunks of an answer that are buffered for a slow caller.
const BUFFERED_CHUNKS: usize = 16;
/// Longest wait for the first frame of a stream, which comes after the engine has processed the
/// prompt.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(120);
/// Pause between two attempts to cancel a run.
const CANCEL_PAUSE: Duration = Duration::from_millis(500);
/// Longest wait between two frames of a stream.
const FRAME_TIMEOUT: Duration = Duration::from_secs(30);

/// A chunk of an answer. A stream ends with `End` or `Fail`.
#[derive(Clone, Debug, PartialEq)]
pub enum Chunk {
    /// More text.
    Text(FastStr),
    /// The last text, and the end of a complete answer.
    End(FastStr, Ending),
    /// The end of a failed answer.
    Fail(Error),
}

/// How an answer ended, and its token counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ending {
    /// Why the engine stopped, as the API names it.
    pub finish_reason: &'static str,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Number of tokens of the prompt that were read from a cache.
    pub cached_tokens: u32,
    /// Number of tokens of the answer.
    pub completion_tokens: u32,
}

/// A prompt that passed authentication and the limit of its workspace.
#[derive(Debug)]
pub struct Job {
    /// The request's id.
    pub id: FastStr,
    /// Who sent it.
    pub caller: Caller,
    /// The request.
    pub request: prompt::Request,
    /// Counts the request as in flight in its workspace.
    pub workspace_permit: WorkspacePermit,
}

/// Starts a task that runs a prompt, and returns the receiver of the answer. The run is cancelled
/// when the receiver is dropped.
pub fn start<E, B, T>(shared: &Arc<Shared<E, B, T>>, job: Job) -> mpsc::Receiver<Chunk>
where
    E: Engine,
    B: PlainService,
    T: Table,
{
    let (chunks, receiver) = mpsc::channel(BUFFERED_CHUNKS);
    let relay = Relay::new(shared.clone(), job, chunks);
    shared.tasks.spawn(relay.run());
    receiver
}

/// How an attempt ended.
enum AttemptEnd {
    /// The answer is complete, or the caller has gone or reads nothing.
    Done,
    /// The answer needs another step.
    Next(Step),
}

/// State of the task that runs one prompt.
struct Relay<E, B, T> {
    shared: Arc<Shared<E, B, T>>,
    job: Job,
    chunks: mpsc::Sender<Chunk>,
    answer: Answer,
    /// Scope of the retry budget.
    scope: Scope,
    received_at: Instant,
    last_chunk_at: Option<Instant>,
    /// End of the time limit of the request.
    deadline: TokioInstant,
    record: Box<Record>,
    /// Whether an error was sent to the caller.
    error_sent: bool,
    /// Outcome of the record that was already kept, if one was.
    kept_outcome: Option<&'static str>,
}

impl<E, B, T> Relay<E, B, T>
where
    E: Engine,
    B: PlainService,
    T: Table,
{
    fn new(shared: Arc<Shared<E, B, T>>, job: Job, chunks: mpsc::Sender<Chunk>) -> Self {
        let host = &shared.settings.host;
        let target = job.request.model.as_str();
        let record = Box::new(Record::new(host, &job.id, &job.caller, target));
        Relay {
            answer: Answer::new(job.request.max_tokens),
            scope: Scope::Model(job.request.model.clone()),
            received_at: shared.now(),
            last_chunk_at: None,
            deadline: TokioInstant::now() + shared.settings.catalog.limits.request,
            shared,
            job,
            chunks,
            record,
            error_sent: false,
            kept_outcome: None,
        }
    }

    /// Makes attempts until the answer is complete or has failed, or the caller has gone.
    async fn run(mut self) {
        self.shared.metrics.in_flight.inc();
        self.shared.budgets.deposit(&self.job.caller.workspace, &self.scope);
        let mut step = Step::Dispatch;
        while let Step::Dispatch = step {
            match self.run_attempt().await {
                AttemptEnd::Done => break,
                AttemptEnd::Next(next) => step = next,
            }
        }
        if let Step::Fail(err) = step {
            self.send_error(err).await;
        }
        self.finish();
    }

    /// Chooses an upstream, starts a run there and follows it to its end.
    async fn run_attempt(&mut self) -> AttemptEnd {
        let pick = match self.pick_upstream() {
            Ok(pick) => pick,
            Err(err) => return AttemptEnd::Next(self.answer.abort(err)),
        };
        let upstream = self.shared.settings.catalog.upstreams[pick.index].clone();
        let id = FastStr::from(uuid::Uuid::now_v7().simple().to_string());
        self.answer.start_attempt(id.clone(), pick.index);
        self.shared.metrics.attempts.inc();
        self.record.attempts.push(Attempt {
            id: id.clone(),
            upstream: FastStr::new(upstream.name.as_str()),
            candidates: pick.candidates,
            fault: None,
        });
        log::debug!(request = self.job.id.as_str(), workspace = self.job.caller.workspace.as_str(),
            upstream = upstream.name.as_str(), attempt = id.as_str(); "attempt starts");
        let guard = RunGuard {
            shared: self.shared.clone(),
            endpoint: upstream.endpoint,
            attempt: id.clone(),
            permit: Some(pick.permit),
            finished: false,
        };
        self.follow_run(guard, pick.index, &id).await
    }

    fn pick_upstream(&self) -> Result<upstream_choice::Pick, Error> {
        let query = upstream_choice::Query {
            model: &self.job.request.model,
            prefix_key: self.job.request.prefix_key(&self.job.caller.workspace),
            prompt_tokens: self.job.request.estimated_tokens(),
            tried: self.answer.tried(),
            zone: &self.shared.settings.zone,
        };
        let view = self.shared.view.load();
        upstream_choice::pick(&view, &self.shared.counters, &query, self.shared.now())
    }

    /// Follows a run to its end, and resumes its stream when the answer asks for that.
    async fn follow_run(
        &mut self,
        mut guard: RunGuard<E, B, T>,
        index: usize,
        id: &FastStr,
    ) -> AttemptEnd {
        let engine = self.shared.engine.clone();
        let endpoint = guard.endpoint;
        // The future that opens a stream is much larger than the rest. It is boxed, so that its
        // memory is freed while the run is followed.
        let mut opened = {
            let request = self.generate_request(id);
            Box::pin(self.open_stream(engine.generate(endpoint, &request))).await
        };
        loop {
            let step = match opened {
                Opened::CallerGone => return AttemptEnd::Done,
                Opened::Stream(frames) => {
                    let boot_id = FastStr::new(frames.boot_id());
                    self.shared.send_event(Event::BootSeen { index, boot_id });
                    self.read_frames(frames, index).await
                }
                Opened::Failed(fault) => Some(self.handle_fault(fault, index)),
                Opened::TimedOut => Some(self.abort_timed_out()),
            };
            match step {
                Some(Step::Resume(from)) => {
                    opened = Box::pin(self.open_stream(engine.resume(endpoint, id, from))).await;
                }
                Some(Step::Finish(..)) => {
                    guard.finished = true;
                    return AttemptEnd::Done;
                }
                Some(step) => return AttemptEnd::Next(step),
                None => return AttemptEnd::Done,
            }
        }
    }

    /// Builds the request for a run that continues the text delivered so far.
    fn generate_request(&self, id: &FastStr) -> Generate {
        let request = &self.job.request;
        let class = self.shared.settings.catalog.classes.get(&self.job.caller.class);
        let delivered = self.answer.delivered();
        Generate {
            attempt: id.to_string(),
            model: request.model.to_string(),
            prompt: request.text.clone(),
            delivered: (!delivered.is_empty()).then(|| delivered.to_owned()),
            max_tokens: self.answer.tokens_left(),
            // Higher values go first here, unlike in `configuration::Route`.
            priority: class.map_or(0, |it| it.priority),
            salt: self.job.caller.workspace.to_string(),
            temperature: request.sampling.temperature,
            top_p: request.sampling.top_p,
            seed: request.sampling.seed,
            stop: request.sampling.stop.clone(),
        }
    }

    /// Waits for a stream to open, until the deadline passes or the caller leaves.
    async fn open_stream<F>(&self, frames: F) -> Opened<E::Frames>
    where
        F: Future<Output = Result<E::Frames, Fault>>,
    {
        tokio::select! {
            () = self.chunks.closed() => Opened::CallerGone,
            () = sleep_until(self.deadline) => Opened::TimedOut,
            frames = frames => frames.map_or_else(Opened::Failed, Opened::Stream),
        }
    }

    /// Reads frames until a step has to be taken, and returns that step, or `None` when the caller
    /// has gone or reads nothing.
    async fn read_frames(&mut self, mut frames: E::Frames, index: usize) -> Option<Step> {
        let chunks = self.chunks.clone();
        let mut closed = std::pin::pin!(chunks.closed());
        let mut frame_timeout = FIRST_FRAME_TIMEOUT;
        let mut last_frame_at = TokioInstant::now();
        // One timer serves the whole stream. It is only reset when it fires, not for each frame.
        let mut timer =
            std::pin::pin!(sleep_until(self.deadline.min(last_frame_at + frame_timeout)));
        loop {
            let frame = tokio::select! {
                () = &mut closed => return None,
                () = &mut timer => {
                    let now = TokioInstant::now();
                    if now >= self.deadline {
                        return Some(self.abort_timed_out());
                    }
                    if now < last_frame_at + frame_timeout {
                        timer.as_mut().reset(self.deadline.min(last_frame_at + frame_timeout));
                        continue;
                    }
                    Err(Fault::TIMEOUT)
                }
                frame = frames.next() => frame,
            };
            last_frame_at = TokioInstant::now();
            frame_timeout = FRAME_TIMEOUT;
            let step = match frame {
                Ok(Some(frame)) => self.handle_frame(frame, index),
                Ok(None) => self.handle_fault(Fault::BROKEN, index),
                Err(fault) => self.handle_fault(fault, index),
            };
            match step {
                Step::Deliver(text) => self.deliver(Chunk::Text(text)).await?,
                Step::Finish(text, finish) => {
                    let ending = self.record_ending(&finish);
                    self.keep_record("ok");
                    self.deliver(Chunk::End(text.clone(), ending)).await?;
                    self.record.outcome = FastStr::from_static_str("ok");
                    return Some(Step::Finish(text, finish));
                }
                Step::Drop(drop_reason) => self.record_dropped_frame(drop_reason, index),
                step => return Some(step),
            }
        }
    }

    /// Passes a frame to the answer and returns the step that follows.
    fn handle_frame(&mut self, frame: Frame, index: usize) -> Step {
        let seq = frame.seq;
        let step = self.answer.handle_frame(frame);
        if matches!(step, Step::Resume(_) | Step::Abandon(_)) {
            log::warn!(request = self.job.id.as_str(), upstream = self.upstream_name(index),
                seq = seq; "frames are missing");
        }
        match step {
            Step::Abandon(fault) => self.handle_fault(fault, index),
            step => step,
        }
    }

    /// Counts a dropped frame. An upstream that sent a frame of another run is reported to the
    /// health tracker.
    fn record_dropped_frame(&mut self, drop_reason: DropReason, index: usize) {
        let reason = match drop_reason {
            DropReason::Duplicate => "late",
            DropReason::ForeignFrame => "crossed",
            DropReason::AfterEnd => "after_end",
        };
        self.record.dropped_frames += 1;
        self.shared.metrics.dropped_frames.with_label_values(&[reason]).inc();
        if drop_reason == DropReason::ForeignFrame {
            log::error!(request = self.job.id.as_str(), upstream = self.upstream_name(index);
                "upstream sent a frame of another run");
            self.shared.send_event(Event::ForeignFrame { index });
        }
    }

    /// Records the fault of an attempt and returns the step that follows it.
    fn handle_fault(&mut self, fault: Fault, index: usize) -> Step {
        log::warn!(request = self.job.id.as_str(), upstream = self.upstream_name(index),
            fault = fault.to_string().as_str(); "fault in an attempt");
        if let Some(attempt) = self.record.attempts.last_mut() {
            attempt.fault = Some(fault.to_string());
        }
        self.shared.send_event(Event::RunFailed { index, fault });
        let workspace = &self.job.caller.workspace;
        self.answer
            .handle_failure(fault, || self.shared.budgets.try_withdraw(workspace, &self.scope))
    }

    /// Ends the answer, because the time limit of the request has passed.
    fn abort_timed_out(&mut self) -> Step {
        self.answer.abort(Error::new(Kind::TimedOut, "the request took longer than the limit"))
    }

    fn upstream_name(&self, index: usize) -> &str {
        self.shared.settings.catalog.upstreams[index].name.as_str()
    }

    /// Sends a chunk to the caller. Returns `None` when the caller has gone, or has read nothing
    /// for the time that is allowed.
    async fn deliver(&mut self, chunk: Chunk) -> Option<()> {
        let now = self.shared.now();
        match self.last_chunk_at.replace(now) {
            Some(last) => self.shared.metrics.token_gap.observe(now.since(last).as_secs_f64()),
            None => self.record_first_token(now),
        }
        match self.chunks.try_send(chunk) {
            Ok(()) => Some(()),
            Err(mpsc::error::TrySendError::Closed(_)) => None,
            Err(mpsc::error::TrySendError::Full(chunk)) => {
                let stall = self.shared.settings.catalog.limits.reader_stall;
                let sent = timeout(stall, self.chunks.send(chunk)).await;
                if sent.is_err() {
                    self.record.outcome = FastStr::from_static_str("reader_stalled");
                    log::info!(request = self.job.id.as_str();
                        "caller reads nothing, stream is ended");
                }
                sent.ok()?.ok()
            }
        }
    }

    /// Records the time to the first chunk, in the record and the metrics.
    fn record_first_token(&mut self, now: Instant) {
        let wait = now.since(self.received_at);
        let class = self.job.caller.class.as_str();
        self.shared.metrics.first_token.with_label_values(&[class]).observe(wait.as_secs_f64());
        self.record.first_token_ms = Some(millis(wait));
    }

    /// Counts the prompt tokens in the metrics and returns the ending for the caller.
    fn record_ending(&self, finish: &Finish) -> Ending {
        let metrics = &self.shared.metrics;
        metrics.prompt_tokens.inc_by(finish.prompt_tokens.into());
        metrics.cached_tokens.inc_by(finish.cached_tokens.into());
        Ending {
            finish_reason: match finish.reason {
                crate::generated::wire::FinishReason::Stop => "stop",
                crate::generated::wire::FinishReason::Length => "length",
            },
            prompt_tokens: finish.prompt_tokens,
            cached_tokens: finish.cached_tokens,
            completion_tokens: self.answer.tokens(),
        }
    }

    /// Sends an error to the caller and records it as the outcome.
    async fn send_error(&mut self, err: Error) {
        self.error_sent = true;
        self.keep_record(err.kind.descriptor().code);
        self.record.outcome = FastStr::from_static_str(err.kind.descriptor().code);
        let stall = self.shared.settings.catalog.limits.reader_stall;
        let _ = timeout(stall, self.chunks.send(Chunk::Fail(err))).await;
    }

    /// Keeps the record with the outcome that the caller is about to get, so that the record is found
    /// as soon as the answer has ended.
    fn keep_record(&mut self, outcome: &'static str) {
        self.kept_outcome = Some(outcome);
        let mut record = Record::clone(&self.record);
        record.outcome = FastStr::from_static_str(outcome);
        record.total_ms = millis(self.shared.now().since(self.received_at));
        self.shared.records.push(record);
    }

    /// Counts the outcome, unless the caller gets it as an error response: `public_api` counts it
    /// when it writes that response.
    fn count_outcome(&self) {
        let stream_started = self.job.request.stream && self.record.first_token_ms.is_some();
        if !self.error_sent || stream_started {
            self.shared.metrics.count_outcome(&self.record.outcome);
        }
    }

    /// Completes the record of the request, and counts and logs its end.
    fn finish(mut self) {
        let total = self.shared.now().since(self.received_at);
        if self.record.outcome.is_empty() {
            self.record.outcome = FastStr::from_static_str("caller_left");
        }
        self.record.total_ms = millis(total);
        self.count_outcome();
        self.shared.metrics.in_flight.dec();
        self.shared.metrics.tokens.inc_by(self.answer.tokens().into());
        log::info!(request = self.job.id.as_str(),
            workspace = self.job.caller.workspace.as_str(),
            upstream = self.record.attempts.last().map_or("", |it| it.upstream.as_str()),
            outcome = self.record.outcome.as_str(), attempts = self.answer.attempts(),
            total_ms = self.record.total_ms; "request ended");
        // A newer record hides the kept one, if the caller left before it got the outcome.
        if self.kept_outcome != Some(self.record.outcome.as_str()) {
            self.shared.records.push(*self.record);
        }
    }
}

/// Result of opening a stream of frames.
enum Opened<F> {
    Stream(F),
    /// The stream could not be opened.
    Failed(Fault),
    /// The time limit of the request has passed.
    TimedOut,
    CallerGone,
}

/// Cancels a run that was not followed to its end, and keeps its permit until it is cancelled.
struct RunGuard<E, B, T>
where
    E: Engine,
    B: PlainService,
    T: Table,
{
    shared: Arc<Shared<E, B, T>>,
    endpoint: Endpoint,
    attempt: FastStr,
    permit: Option<Permit>,
    /// Whether the run was followed to its end, so that there is nothing to cancel.
    finished: bool,
}

impl<E, B, T> Drop for RunGuard<E, B, T>
where
    E: Engine,
    B: PlainService,
    T: Table,
{
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let (shared, endpoint) = (self.shared.clone(), self.endpoint);
        let (attempt, permit) = (self.attempt.clone(), self.permit.take());
        self.shared.tasks.spawn(async move {
            cancel(&shared, endpoint, &attempt).await;
            drop(permit);
        });
    }
}

/// Cancels a run and tries again after each failure, because a run that goes on would be load that
/// no counter shows. It gives up when no connection to the engine can be established, because the
/// engine is then taken to run nothing for this host, when the time limit of requests has passed,
/// or when this host stops.
async fn cancel<E, B, T>(shared: &Shared<E, B, T>, endpoint: Endpoint, attempt: &str)
where
    E: Engine,
{
    let deadline = TokioInstant::now() + shared.settings.catalog.limits.request;
    loop {
        let fault = match shared.engine.cancel(endpoint, attempt).await {
            Ok(()) => return,
            Err(fault) => fault,
        };
        log::debug!(attempt = attempt, fault = fault.to_string().as_str();
            "run was not cancelled");
        let give_up = TokioInstant::now() >= deadline || shared.stop.is_cancelled();
        if give_up || fault.delivery == Delivery::NotSent {
            return;
        }
        tokio::time::sleep(CANCEL_PAUSE).await;
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
