//! Stand-in for a model engine.
//!
//! The words of an answer are derived from a hash of the prompt, so that a test can compute
//! the expected answer with [`answer_words`]. Prefill and decode take the time that
//! [`Config`] sets; no model runs.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode, header};
use http_body::Frame as BodyFrame;
use mothvale_lib::{
    engine::BOOT_HEADER,
    generated::wire::{
        CacheEvent, CacheEventOp, CacheEvents, Finish, FinishReason, Frame, Generate, Load, Order,
        Weights,
    },
    public_api::{body_response, json_response},
    rendezvous,
};
use tokio::sync::{Semaphore, watch};
use volo_http::{body::Body, request::Request, response::Response};

use crate::server::{Handler, empty_response, query_parameter, read_body, read_json};

/// The words that answers consist of.
const WORDS: [&str; 16] = [
    "bed", "case", "crew", "file", "free", "held", "home", "late", "line", "note", "open", "safe",
    "seen", "team", "van", "visit",
];
/// Prompt bytes per KV cache piece, about two thousand tokens.
const PIECE_BYTES: usize = 8192;
const BYTES_PER_TOKEN: usize = 4;
/// How long a run can be resumed after it has ended.
const RUN_RETENTION: Duration = Duration::from_secs(10);
/// Delay before a stream is broken on purpose, so that earlier frames are sent first.
const FLUSH_DELAY: Duration = Duration::from_millis(50);
/// Cache events that are kept; older ones are dropped.
const MAX_CACHE_EVENTS: usize = 1024;

/// Capacity, speed and options of an engine.
#[derive(Clone, Debug)]
pub struct Config {
    /// Models loaded at start, each with the version of its weights.
    pub models: Vec<(String, String)>,
    /// Maximum number of concurrent runs; further runs wait.
    pub slots: u32,
    /// Uncached prompt tokens processed per second.
    pub prefill_tokens_per_second: f64,
    /// Time between tokens.
    pub token_time: Duration,
    /// Capacity of the cache, in pieces.
    pub cache_pieces: usize,
    /// Whether it rejects orders whose fencing token is lower than one seen before.
    pub checks_fence: bool,
    /// Whether each token's text is the time at which it was generated, in nanoseconds since
    /// [`epoch`], instead of a word.
    pub timestamp_tokens: bool,
}

/// Returns the zero point of timestamp tokens: the instant of the first call in the process.
pub fn epoch() -> std::time::Instant {
    static EPOCH: std::sync::OnceLock<std::time::Instant> = std::sync::OnceLock::new();
    *EPOCH.get_or_init(std::time::Instant::now)
}

/// Faults to inject into an engine's streams. Frames are given by their sequence number.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamFaults {
    /// Breaks the connection after this frame, once for each run.
    pub break_after: Option<u64>,
    /// Sends this frame twice.
    pub repeat: Option<u64>,
    /// Omits this frame, once for each run.
    pub skip: Option<u64>,
    /// Sends a frame with another run's attempt id before this frame.
    pub foreign_before: Option<u64>,
    /// Removes a run when its stream is broken or a frame is omitted, so that it can't be
    /// resumed.
    pub drop_runs: bool,
}

/// A simulated model engine, with the HTTP API under `/engine/v1/`.
pub struct Engine {
    config: Config,
    slots: Arc<Semaphore>,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    /// Random id that changes with each restart.
    boot: String,
    cold: bool,
    faults: StreamFaults,
    /// Runs that can be resumed, by attempt id.
    runs: HashMap<String, Run>,
    waiting: u32,
    running: u32,
    started_total: u64,
    cancelled_total: u64,
    /// Names of the cached pieces, the least recently used first.
    cache: VecDeque<String>,
    /// Data of the pieces that were uploaded, by name.
    uploaded_pieces: BTreeMap<String, Bytes>,
    events: VecDeque<CacheEvent>,
    event_seq: u64,
    /// Highest fencing token seen in an order.
    max_fence: u64,
    /// Loaded models, each with the version of its weights.
    loaded: Vec<(String, String)>,
}

/// The frames that a run has produced so far, and the means to cancel it.
#[derive(Clone)]
struct Run {
    frames: watch::Receiver<Vec<Frame>>,
    cancel: Arc<watch::Sender<bool>>,
    /// Whether a fault that occurs once for each run has been injected.
    fault_injected: bool,
}

impl Engine {
    /// Creates an engine with a random boot id and an empty cache.
    pub fn new(config: Config) -> Self {
        let state = State {
            boot: uuid::Uuid::new_v4().simple().to_string(),
            loaded: config.models.clone(),
            ..State::default()
        };
        Engine {
            slots: Arc::new(Semaphore::new(config.slots as usize)),
            state: Arc::new(Mutex::new(state)),
            config,
        }
    }

    /// Sets whether the engine reports that it is in cold start.
    pub fn set_cold(&self, cold: bool) {
        self.state.lock().unwrap().cold = cold;
    }

    /// Replaces the faults to inject into streams, including those that are open.
    pub fn set_faults(&self, faults: StreamFaults) {
        self.state.lock().unwrap().faults = faults;
    }

    /// Simulates a restart: cancels all runs, empties the cache, clears the faults and
    /// counters, draws a new boot id and enters cold start.
    pub fn restart(&self) {
        let mut state = self.state.lock().unwrap();
        for run in state.runs.values() {
            let _ = run.cancel.send(true);
        }
        let boot = uuid::Uuid::new_v4().simple().to_string();
        let loaded = self.config.models.clone();
        *state = State { boot, cold: true, loaded, ..State::default() };
    }

    /// Returns the numbers of runs started and cancelled since the last restart.
    pub fn run_counts(&self) -> (u64, u64) {
        let state = self.state.lock().unwrap();
        (state.started_total, state.cancelled_total)
    }

    fn load_report(&self) -> Load {
        let state = self.state.lock().unwrap();
        let weights = |(model, version): &(String, String)| Weights {
            model: model.clone(),
            version: version.clone(),
        };
        Load {
            boot: state.boot.clone(),
            cold: state.cold,
            running: state.running,
            waiting: state.waiting,
            slots: self.config.slots,
            cached_pieces: state.cache.len() as u32,
            event_seq: state.event_seq,
            models: state.loaded.iter().map(weights).collect(),
        }
    }

    /// Returns the kept cache events after a sequence number.
    fn events_after(&self, after: u64) -> CacheEvents {
        let state = self.state.lock().unwrap();
        let events = state.events.iter().filter(|it| it.seq > after).cloned().collect();
        CacheEvents { boot: state.boot.clone(), events }
    }

    /// Loads or unloads weights as ordered, and returns the status of the response.
    fn apply_order(&self, order: Order) -> StatusCode {
        let mut state = self.state.lock().unwrap();
        if self.config.checks_fence && order.fence < state.max_fence {
            return StatusCode::CONFLICT;
        }
        state.max_fence = state.max_fence.max(order.fence);
        let model = order.action.model;
        match order.action.kind.to_string().as_str() {
            "load" => {
                state.loaded.retain(|(name, _)| *name != model);
                state.loaded.push((model, order.action.version.unwrap_or_default()));
            }
            "unload" => state.loaded.retain(|(name, _)| *name != model),
            _ => {}
        }
        StatusCode::OK
    }

    /// Registers a run and starts the task that produces its frames.
    fn start_run(&self, request: Generate) -> Run {
        let (sender, frames) = watch::channel(Vec::new());
        let cancel = Arc::new(watch::channel(false).0);
        let run = Run { frames, cancel: cancel.clone(), fault_injected: false };
        let mut state = self.state.lock().unwrap();
        state.started_total += 1;
        state.waiting += 1;
        state.runs.insert(request.attempt.clone(), run.clone());
        let task = RunTask {
            cached_tokens: state.cache_prompt(&request, self.config.cache_pieces),
            config: self.config.clone(),
            request,
            sender,
            cancelled: cancel.subscribe(),
            state: self.state.clone(),
            slots: self.slots.clone(),
        };
        tokio::spawn(task.run());
        run
    }

    fn cancel_run(&self, attempt: &str) -> StatusCode {
        let mut state = self.state.lock().unwrap();
        let Some(run) = state.runs.remove(attempt) else { return StatusCode::NOT_FOUND };
        state.cancelled_total += 1;
        let _ = run.cancel.send(true);
        StatusCode::OK
    }

    /// Returns a stream of the run's frames, beginning with sequence number `from`.
    fn stream_response(&self, attempt: String, run: Run, from: u64) -> Response {
        let boot = self.state.lock().unwrap().boot.clone();
        let stream =
            FrameStream { attempt, run, next_seq: from, state: self.state.clone(), ended: false };
        let body = Body::from_stream(futures_util::stream::unfold(stream, FrameStream::next_item));
        let mut response = Response::new(body);
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        if let Ok(boot) = HeaderValue::from_str(&boot) {
            headers.insert(BOOT_HEADER, boot);
        }
        response
    }
}

impl State {
    /// Puts all whole pieces of the prompt into the cache, and returns the number of prompt
    /// tokens that were cached before.
    ///
    /// A piece's name depends on the salt, the model and the prompt up to the piece's end.
    /// Beyond `capacity` pieces, the least recently used ones are evicted.
    fn cache_prompt(&mut self, request: &Generate, capacity: usize) -> u32 {
        let mut prefix_hash = rendezvous::hash_parts(&[&request.salt, &request.model]);
        let mut hits = 0;
        for chunk in request.prompt.as_bytes().chunks_exact(PIECE_BYTES) {
            let text = String::from_utf8_lossy(chunk);
            prefix_hash = rendezvous::hash_parts(&[&prefix_hash.to_string(), &text]);
            let name = format!("{prefix_hash:016x}");
            if let Some(index) = self.cache.iter().position(|it| *it == name) {
                hits += 1;
                self.cache.remove(index);
            } else {
                self.push_event(CacheEventOp::Stored, &name);
            }
            self.cache.push_back(name);
        }
        while self.cache.len() > capacity {
            let evicted = self.cache.pop_front().unwrap_or_default();
            self.push_event(CacheEventOp::Evicted, &evicted);
        }
        (hits * PIECE_BYTES / BYTES_PER_TOKEN) as u32
    }

    fn push_event(&mut self, op: CacheEventOp, piece: &str) {
        self.event_seq += 1;
        self.events.push_back(CacheEvent { seq: self.event_seq, op, piece: piece.into() });
        if self.events.len() > MAX_CACHE_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Returns the first `count` words of the answer to a prompt, one word for each token.
pub fn answer_words(prompt: &str, count: u32) -> Vec<String> {
    let seed = rendezvous::hash_parts(&[prompt]);
    let word = |index: u32| {
        let pick = rendezvous::weight(seed.wrapping_add(index.into()), "") % WORDS.len() as u64;
        format!("{} ", WORDS[pick as usize])
    };
    (0..count).map(word).collect()
}

/// Background task that produces the frames of one run.
struct RunTask {
    /// Prompt tokens that were cached when the run started.
    cached_tokens: u32,
    config: Config,
    request: Generate,
    sender: watch::Sender<Vec<Frame>>,
    cancelled: watch::Receiver<bool>,
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
}

impl RunTask {
    async fn run(mut self) {
        let Ok(_slot) = self.slots.clone().acquire_owned().await else { return };
        self.mark_running();
        let mut cancelled = self.cancelled.clone();
        tokio::select! {
            _ = cancelled.wait_for(|it| *it) => {}
            () = self.push_frames() => {}
        }
        self.mark_ended();
        tokio::time::sleep(RUN_RETENTION).await;
        self.state.lock().unwrap().runs.remove(&self.request.attempt);
    }

    fn mark_ended(&self) {
        let mut state = self.state.lock().unwrap();
        state.running = state.running.saturating_sub(1);
    }

    fn mark_running(&self) {
        let mut state = self.state.lock().unwrap();
        state.waiting = state.waiting.saturating_sub(1);
        state.running += 1;
    }

    /// Waits for the simulated prefill, then adds a frame for each of the `max_tokens` tokens
    /// that follow the delivered text, [`Config::token_time`] apart.
    async fn push_frames(&mut self) {
        let prompt_tokens = (self.request.prompt.len() / BYTES_PER_TOKEN) as u32;
        let uncached_tokens = prompt_tokens.saturating_sub(self.cached_tokens);
        tokio::time::sleep(Duration::from_secs_f64(
            f64::from(uncached_tokens) / self.config.prefill_tokens_per_second,
        ))
        .await;
        let delivered = self.request.delivered.as_deref().unwrap_or_default();
        let delivered_count = delivered.split_whitespace().count() as u32;
        let words = answer_words(&self.request.prompt, delivered_count + self.request.max_tokens);
        let rest = &words[delivered_count as usize..];
        if rest.is_empty() {
            self.push_frame(0, None, Some(self.finish(prompt_tokens, 0)));
        }
        let start = tokio::time::Instant::now();
        for (index, word) in rest.iter().enumerate() {
            let due = start + self.config.token_time * index as u32;
            tokio::time::sleep_until(due).await;
            let last = index + 1 == rest.len();
            let finish = last.then(|| self.finish(prompt_tokens, rest.len() as u32));
            let text = match self.config.timestamp_tokens {
                true => format!("{} ", epoch().elapsed().as_nanos()),
                false => word.clone(),
            };
            self.push_frame(index as u64, Some(text), finish);
        }
    }

    /// Returns the end of the answer, with its token counts.
    fn finish(&self, prompt_tokens: u32, completion_tokens: u32) -> Finish {
        let cached_tokens = self.cached_tokens.min(prompt_tokens);
        Finish { reason: FinishReason::Length, prompt_tokens, cached_tokens, completion_tokens }
    }

    /// Adds a frame; one with text counts as one token.
    fn push_frame(&self, seq: u64, text: Option<String>, finish: Option<Finish>) {
        let tokens = text.as_ref().map(|_| 1);
        let attempt = self.request.attempt.clone();
        self.sender.send_modify(|it| it.push(Frame { attempt, seq, text, tokens, finish }));
    }
}

/// Stream of a run's frames to one reader, with the engine's faults injected.
struct FrameStream {
    attempt: String,
    run: Run,
    /// Sequence number of the next frame to send.
    next_seq: u64,
    state: Arc<Mutex<State>>,
    /// Whether the stream has sent its last item.
    ended: bool,
}

type BodyItem = Result<BodyFrame<Bytes>, volo_http::error::BoxError>;

impl FrameStream {
    /// Returns the next part of the body and the rest of the stream, or `None` at its end.
    async fn next_item(mut self) -> Option<(BodyItem, Self)> {
        if self.ended {
            return None;
        }
        let index = self.next_seq as usize;
        let waited = self.run.frames.wait_for(|it| it.len() > index).await;
        let Ok(frame) = waited.map(|it| it[index].clone()) else {
            self.ended = true;
            return Some((Err("the run was cancelled".into()), self));
        };
        let faults = self.state.lock().unwrap().faults;
        let fault_pending = !self.run.fault_injected;
        if fault_pending && faults.break_after.is_some_and(|it| frame.seq > it) {
            // Breaking the connection drops frames that are queued but not yet written.
            tokio::time::sleep(FLUSH_DELAY).await;
            self.mark_fault_injected(faults.drop_runs);
            return Some((Err("injected fault: stream broken".into()), self));
        }
        self.next_seq += 1;
        let mut text = sse_event(&frame);
        if fault_pending && faults.skip == Some(frame.seq) {
            self.mark_fault_injected(faults.drop_runs);
            // The stream goes on after the omitted frame.
            self.ended = false;
            text.clear();
        }
        if faults.repeat == Some(frame.seq) {
            text = text.repeat(2);
        }
        if faults.foreign_before == Some(frame.seq) {
            text.insert_str(0, &sse_event(&Frame { attempt: "another".into(), ..frame.clone() }));
        }
        self.ended |= frame.finish.is_some();
        Some((Ok(BodyFrame::data(text.into())), self))
    }

    /// Ends the stream, and records in the run that its fault has occurred, so that a resumed
    /// stream does not repeat it.
    fn mark_fault_injected(&mut self, drop_runs: bool) {
        self.ended = true;
        self.run.fault_injected = true;
        let mut state = self.state.lock().unwrap();
        if drop_runs {
            state.runs.remove(&self.attempt);
        } else if let Some(run) = state.runs.get_mut(&self.attempt) {
            run.fault_injected = true;
        }
    }
}

fn sse_event(frame: &Frame) -> String {
    format!("data: {}\n\n", serde_json::to_string(frame).unwrap_or_default())
}

impl Handler for Engine {
    async fn handle(&self, request: Request) -> Response {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        if path == "/engine/v1/runs" && method == Method::POST {
            let Some(generate) = read_json::<Generate>(request.into_body()).await else {
                return empty_response(StatusCode::BAD_REQUEST);
            };
            let attempt = generate.attempt.clone();
            let run = self.start_run(generate);
            return self.stream_response(attempt, run, 0);
        }
        if let Some(attempt) = path.strip_prefix("/engine/v1/runs/") {
            return self.handle_run(attempt, &method, &request);
        }
        if let Some(piece) = path.strip_prefix("/engine/v1/pieces/") {
            return self.handle_piece(piece, &method, request).await;
        }
        match (path.as_str(), method) {
            ("/engine/v1/load", Method::GET) => json_response(StatusCode::OK, &self.load_report()),
            ("/engine/v1/events", Method::GET) => {
                let after = query_parameter(&request, "after").and_then(|it| it.parse().ok());
                json_response(StatusCode::OK, &self.events_after(after.unwrap_or(0)))
            }
            ("/engine/v1/orders", Method::POST) => match read_json(request.into_body()).await {
                Some(order) => empty_response(self.apply_order(order)),
                None => empty_response(StatusCode::BAD_REQUEST),
            },
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }
}

impl Engine {
    /// Cancels a run or streams its frames again.
    fn handle_run(&self, attempt: &str, method: &Method, request: &Request) -> Response {
        if method == Method::DELETE {
            return empty_response(self.cancel_run(attempt));
        }
        let from = query_parameter(request, "from").and_then(|it| it.parse().ok());
        let run = self.state.lock().unwrap().runs.get(attempt).cloned();
        match (run, from) {
            (Some(run), Some(from)) => self.stream_response(attempt.to_owned(), run, from),
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }

    /// Writes or reads the data of a piece.
    async fn handle_piece(&self, piece: &str, method: &Method, request: Request) -> Response {
        if method == Method::PUT {
            let data = read_body(request.into_body()).await;
            let mut state = self.state.lock().unwrap();
            state.uploaded_pieces.insert(piece.to_owned(), data);
            state.cache.push_back(piece.to_owned());
            state.push_event(CacheEventOp::Stored, piece);
            return empty_response(StatusCode::OK);
        }
        let state = self.state.lock().unwrap();
        if !state.cache.iter().any(|it| it == piece) {
            return empty_response(StatusCode::NOT_FOUND);
        }
        // A piece that a prompt put into the cache has no data; its name is served instead.
        let data =
            state.uploaded_pieces.get(piece).cloned().unwrap_or_else(|| piece.to_owned().into());
        body_response("application/octet-stream", data)
    }
}
