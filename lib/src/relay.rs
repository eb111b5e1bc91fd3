//! Carries one prompt to an engine and its answer back to the caller.

use tokio::{
    sync::mpsc,
    time::{Instant as Deadline, sleep_until, timeout},
};

use crate::{
    answer::{Answer, DropReason, Step},
    backend::Backend,
    core::Event,
    engine::{Endpoint, Engine, Frames},
    fault::{Delivery, Fault},
    generated::wire::{Finish, Frame, Generate},
    inflight::{Permit, WorkspacePermit},
    key::Caller,
    prelude::*,
    prompt,
    record::{Attempt, Record},
    retry::Scope,
    route,
    shared::Shared,
    table::Table,
};

/// Pieces of an answer that wait for a slow caller.
const BUFFERED_CHUNKS: usize = 16;
/// Longest wait for the first frame, in which the engine takes the prompt.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(120);
/// Pause between two tries to cancel a run.
const CANCEL_PAUSE: Duration = Duration::from_millis(500);
/// Longest wait between frames.
const FRAME_TIMEOUT: Duration = Duration::from_secs(30);

/// A piece of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Chunk {
    /// Text.
    Text(FastStr),
    /// The last text, and the end of a whole answer.
    End(FastStr, Usage),
    /// The end of an answer that failed.
    Fail(Error),
}

/// How an answer ended, and its token counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Why the engine stopped.
    pub finish_reason: &'static str,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that were in a cache.
    pub cached_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
}

/// A prompt that was let in.
#[derive(Debug)]
pub struct Job {
    /// The request's id.
    pub id: FastStr,
    /// Who sent it.
    pub caller: Caller,
    /// The request.
    pub request: prompt::Request,
    /// Counts it as its workspace's.
    pub workspace_permit: WorkspacePermit,
}

/// Starts carrying a prompt. When the receiver is dropped, its run is cancelled.
pub fn start<E, B, T>(shared: &Arc<Shared<E, B, T>>, job: Job) -> mpsc::Receiver<Chunk>
where
    E: Engine,
    B: Backend,
    T: Table,
{
    let (chunks, receiver) = mpsc::channel(BUFFERED_CHUNKS);
    let relay = Relay::new(shared.clone(), job, chunks);
    shared.tasks.spawn(relay.run());
    receiver
}

/// Why a stream of frames was left.
enum Left {
    /// The answer has ended, or the caller has gone.
    Over,
    /// The next step has to be taken.
    Next(Step),
}

struct Relay<E, B, T> {
    shared: Arc<Shared<E, B, T>>,
    job: Job,
    chunks: mpsc::Sender<Chunk>,
    answer: Answer,
    scope: Scope,
    received: Instant,
    last_token: Option<Instant>,
    deadline: Deadline,
    record: Box<Record>,
    /// Whether the caller was told an error.
    refused: bool,
}

impl<E, B, T> Relay<E, B, T>
where
    E: Engine,
    B: Backend,
    T: Table,
{
    fn new(shared: Arc<Shared<E, B, T>>, job: Job, chunks: mpsc::Sender<Chunk>) -> Self {
        let host = &shared.settings.host;
        let target = job.request.model.as_str();
        let record = Box::new(Record::new(host, &job.id, &job.caller, target));
        Relay {
            answer: Answer::new(job.request.max_tokens),
            scope: Scope::Model(job.request.model.clone()),
            received: shared.now(),
            last_token: None,
            deadline: Deadline::now() + shared.settings.catalog.limits.request,
            shared,
            job,
            chunks,
            record,
            refused: false,
        }
    }

    async fn run(mut self) {
        self.shared.metrics.in_flight.inc();
        self.shared.budgets.deposit(&self.job.caller.workspace, &self.scope);
        let mut step = Step::Dispatch;
        while let Step::Dispatch = step {
            match self.attempt().await {
                Left::Over => break,
                Left::Next(next) => step = next,
            }
        }
        if let Step::Fail(err) = step {
            self.fail(err).await;
        }
        self.finish();
    }

    /// Chooses an upstream, starts a run there and follows it to its end.
    async fn attempt(&mut self) -> Left {
        let pick = match self.pick() {
            Ok(pick) => pick,
            Err(err) => return Left::Next(self.answer.abort(err)),
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
        let guard = Guard {
            shared: self.shared.clone(),
            endpoint: upstream.endpoint,
            attempt: id.clone(),
            permit: Some(pick.permit),
            done: false,
        };
        self.follow(guard, pick.index, &id).await
    }

    fn pick(&self) -> Result<route::Pick, Error> {
        let query = route::Query {
            model: &self.job.request.model,
            affinity_key: self.job.request.prefix_key(&self.job.caller.workspace),
            prompt_tokens: self.job.request.estimated_tokens(),
            tried: self.answer.tried(),
            zone: &self.shared.settings.zone,
        };
        let view = self.shared.view.load();
        route::pick(&view, &self.shared.counters, &query, self.shared.now())
    }

    async fn follow(&mut self, mut guard: Guard<E, B, T>, index: usize, id: &FastStr) -> Left {
        let engine = self.shared.engine.clone();
        let endpoint = guard.endpoint;
        // Opening takes much more room than following; boxed, it is given back.
        let mut opened = {
            let order = self.order(id);
            Box::pin(self.open(engine.generate(endpoint, &order))).await
        };
        loop {
            let step = match opened {
                Opened::Gone => return Left::Over,
                Opened::Stream(frames) => {
                    let boot_id = FastStr::new(frames.boot_id());
                    self.shared.send_event(Event::BootSeen { index, boot_id });
                    self.read(frames, index).await
                }
                Opened::Failed(fault) => Some(self.broken(fault, index)),
                Opened::Late => Some(self.late()),
            };
            match step {
                Some(Step::Resume(from)) => {
                    opened = Box::pin(self.open(engine.resume(endpoint, id, from))).await;
                }
                Some(Step::Finish(..)) => {
                    guard.done = true;
                    return Left::Over;
                }
                Some(step) => return Left::Next(step),
                None => return Left::Over,
            }
        }
    }

    fn order(&self, id: &FastStr) -> Generate {
        let request = &self.job.request;
        let class = self.shared.settings.catalog.classes.get(&self.job.caller.class);
        let delivered = self.answer.delivered();
        Generate {
            attempt: id.to_string(),
            model: request.model.to_string(),
            prompt: request.text.clone(),
            delivered: (!delivered.is_empty()).then(|| delivered.to_owned()),
            max_tokens: self.answer.tokens_left(),
            priority: class.map_or(0, |it| it.priority),
            salt: self.job.caller.workspace.to_string(),
            temperature: request.sampling.temperature,
            top_p: request.sampling.top_p,
            seed: request.sampling.seed,
            stop: request.sampling.stop.clone(),
        }
    }

    async fn open<F>(&self, frames: F) -> Opened<E::Frames>
    where
        F: Future<Output = Result<E::Frames, Fault>>,
    {
        tokio::select! {
            () = self.chunks.closed() => Opened::Gone,
            () = sleep_until(self.deadline) => Opened::Late,
            frames = frames => frames.map_or_else(Opened::Failed, Opened::Stream),
        }
    }

    /// Reads a stream until a step has to be taken; none when the caller has gone.
    async fn read(&mut self, mut frames: E::Frames, index: usize) -> Option<Step> {
        let chunks = self.chunks.clone();
        let mut closed = std::pin::pin!(chunks.closed());
        let mut limit = FIRST_FRAME_TIMEOUT;
        let mut last = Deadline::now();
        // One timer serves the whole stream: it is moved only when it fires.
        let mut alarm = std::pin::pin!(sleep_until(self.deadline.min(last + limit)));
        loop {
            let frame = tokio::select! {
                () = &mut closed => return None,
                () = &mut alarm => {
                    let now = Deadline::now();
                    if now >= self.deadline {
                        return Some(self.late());
                    }
                    if now < last + limit {
                        alarm.as_mut().reset(self.deadline.min(last + limit));
                        continue;
                    }
                    Err(Fault::TIMEOUT)
                }
                frame = frames.next() => frame,
            };
            last = Deadline::now();
            limit = FRAME_TIMEOUT;
            let step = match frame {
                Ok(Some(frame)) => self.frame(frame, index),
                Ok(None) => self.broken(Fault::BROKEN, index),
                Err(fault) => self.broken(fault, index),
            };
            match step {
                Step::Deliver(text) => self.deliver(Chunk::Text(text)).await?,
                Step::Finish(text, finish) => {
                    let usage = self.usage(&finish);
                    self.deliver(Chunk::End(text.clone(), usage)).await?;
                    self.record.outcome = FastStr::from_static_str("ok");
                    return Some(Step::Finish(text, finish));
                }
                Step::Drop(drop_reason) => self.dropped(drop_reason, index),
                step => return Some(step),
            }
        }
    }

    fn frame(&mut self, frame: Frame, index: usize) -> Step {
        let seq = frame.seq;
        let step = self.answer.handle_frame(frame);
        if matches!(step, Step::Resume(_) | Step::Abandon(_)) {
            log::warn!(request = self.job.id.as_str(), upstream = self.name(index), seq = seq;
                "frames are missing");
        }
        match step {
            Step::Abandon(fault) => self.broken(fault, index),
            step => step,
        }
    }

    fn dropped(&mut self, drop_reason: DropReason, index: usize) {
        let reason = match drop_reason {
            DropReason::Duplicate => "late",
            DropReason::WrongAttempt => "crossed",
            DropReason::AfterEnd => "after_end",
        };
        self.record.dropped_frames += 1;
        self.shared.metrics.dropped_frames.with_label_values(&[reason]).inc();
        if drop_reason == DropReason::WrongAttempt {
            log::error!(request = self.job.id.as_str(), upstream = self.name(index);
                "upstream sent a frame of another run");
            self.shared.send_event(Event::ForeignFrame { index });
        }
    }

    fn broken(&mut self, fault: Fault, index: usize) -> Step {
        log::warn!(request = self.job.id.as_str(), upstream = self.name(index),
            fault = fault.to_string().as_str(); "attempt failed");
        if let Some(attempt) = self.record.attempts.last_mut() {
            attempt.fault = Some(fault.to_string());
        }
        self.shared.send_event(Event::RunFailed { index, fault });
        let workspace = &self.job.caller.workspace;
        self.answer
            .handle_failure(fault, || self.shared.budgets.try_withdraw(workspace, &self.scope))
    }

    fn late(&mut self) -> Step {
        self.answer.abort(Error::new(Kind::TimedOut, "the request took longer than the limit"))
    }

    fn name(&self, index: usize) -> &str {
        self.shared.settings.catalog.upstreams[index].name.as_str()
    }

    /// Hands a piece to the caller; none when the caller has gone or takes nothing.
    async fn deliver(&mut self, chunk: Chunk) -> Option<()> {
        let now = self.shared.now();
        match self.last_token.replace(now) {
            Some(last) => self.shared.metrics.token_gap.observe(now.since(last).as_secs_f64()),
            None => self.first_token(now),
        }
        match self.chunks.try_send(chunk) {
            Ok(()) => Some(()),
            Err(mpsc::error::TrySendError::Closed(_)) => None,
            Err(mpsc::error::TrySendError::Full(chunk)) => {
                let stall = self.shared.settings.catalog.limits.reader_stall;
                let sent = timeout(stall, self.chunks.send(chunk)).await;
                if sent.is_err() {
                    self.record.outcome = FastStr::from_static_str("reader_stalled");
                    log::info!(request = self.job.id.as_str(); "caller takes nothing, stream ends");
                }
                sent.ok()?.ok()
            }
        }
    }

    fn first_token(&mut self, now: Instant) {
        let wait = now.since(self.received);
        let class = self.job.caller.class.as_str();
        self.shared.metrics.first_token.with_label_values(&[class]).observe(wait.as_secs_f64());
        self.record.first_token_ms = Some(millis(wait));
    }

    fn usage(&self, finish: &Finish) -> Usage {
        let metrics = &self.shared.metrics;
        metrics.prompt_tokens.inc_by(finish.prompt_tokens.into());
        metrics.cached_tokens.inc_by(finish.cached_tokens.into());
        Usage {
            finish_reason: match finish.reason {
                crate::generated::wire::FinishReason::Stop => "stop",
                crate::generated::wire::FinishReason::Length => "length",
            },
            prompt_tokens: finish.prompt_tokens,
            cached_tokens: finish.cached_tokens,
            completion_tokens: self.answer.tokens(),
        }
    }

    async fn fail(&mut self, err: Error) {
        self.refused = true;
        self.record.outcome = FastStr::from_static_str(err.kind.descriptor().code);
        let stall = self.shared.settings.catalog.limits.reader_stall;
        let _ = timeout(stall, self.chunks.send(Chunk::Fail(err))).await;
    }

    /// Counts the outcome, unless the caller gets it as a refusal, which is counted there.
    fn count(&self) {
        let started = self.job.request.stream && self.record.first_token_ms.is_some();
        if !self.refused || started {
            self.shared.metrics.count_outcome(&self.record.outcome);
        }
    }

    fn finish(mut self) {
        let total = self.shared.now().since(self.received);
        if self.record.outcome.is_empty() {
            self.record.outcome = FastStr::from_static_str("caller_left");
        }
        self.record.total_ms = millis(total);
        self.count();
        self.shared.metrics.in_flight.dec();
        self.shared.metrics.tokens.inc_by(self.answer.tokens().into());
        log::info!(request = self.job.id.as_str(),
            workspace = self.job.caller.workspace.as_str(),
            upstream = self.record.attempts.last().map_or("", |it| it.upstream.as_str()),
            outcome = self.record.outcome.as_str(), attempts = self.answer.attempts(),
            total_ms = self.record.total_ms; "request ended");
        self.shared.records.push(*self.record);
    }
}

enum Opened<F> {
    Stream(F),
    Failed(Fault),
    Late,
    Gone,
}

/// Cancels a run that did not come to its end, and counts it as in flight until it has.
struct Guard<E, B, T>
where
    E: Engine,
    B: Backend,
    T: Table,
{
    shared: Arc<Shared<E, B, T>>,
    endpoint: Endpoint,
    attempt: FastStr,
    permit: Option<Permit>,
    done: bool,
}

impl<E, B, T> Drop for Guard<E, B, T>
where
    E: Engine,
    B: Backend,
    T: Table,
{
    fn drop(&mut self) {
        if self.done {
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

/// Cancels a run, again after each failure: a run that may still go on would be load that
/// nobody counts. An engine that cannot be reached runs nothing for this host.
async fn cancel<E, B, T>(shared: &Shared<E, B, T>, endpoint: Endpoint, attempt: &str)
where
    E: Engine,
{
    let end = Deadline::now() + shared.settings.catalog.limits.request;
    loop {
        let fault = match shared.engine.cancel(endpoint, attempt).await {
            Ok(()) => return,
            Err(fault) => fault,
        };
        log::debug!(attempt = attempt, fault = fault.to_string().as_str();
            "run was not cancelled");
        let over = Deadline::now() >= end || shared.stop.is_cancelled();
        if over || fault.delivery == Delivery::NotSent {
            return;
        }
        tokio::time::sleep(CANCEL_PAUSE).await;
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
