//! Stand-in for a model engine: answers are words drawn from a hash of the prompt, so
//! that anyone can tell what the whole answer has to be.

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
    front::{body_response, json_response},
    generated::wire::{
        CacheEvent, CacheEventOp, CacheEvents, Finish, FinishReason, Frame, Generate, Load, Order,
        Weights,
    },
    rendezvous,
};
use tokio::sync::{Semaphore, watch};
use volo_http::{body::Body, request::Request, response::Response};

use crate::server::{Handler, empty_response, query_parameter, read_body, read_json};

const WORDS: [&str; 16] = [
    "bed", "case", "crew", "file", "free", "held", "home", "late", "line", "note", "open", "safe",
    "seen", "team", "van", "visit",
];
/// Bytes of one cache piece, about two thousand tokens.
const PIECE_BYTES: usize = 8192;
const BYTES_PER_TOKEN: usize = 4;
/// How long a run whose reader has gone can be resumed.
const KEPT: Duration = Duration::from_secs(10);
/// Time for written frames to be on their way before a stream breaks.
const BREAK_PAUSE: Duration = Duration::from_millis(50);
const KEPT_EVENTS: usize = 1024;

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct Config {
    /// Models it has loaded, with their versions.
    pub models: Vec<(String, String)>,
    /// Runs in progress at once.
    pub slots: u32,
    /// Prompt tokens taken in a second.
    pub prefill_tokens_per_second: f64,
    /// Time between tokens.
    pub token_time: Duration,
    /// Pieces that the cache holds.
    pub cache_pieces: usize,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fence: bool,
    /// Whether each token's text is the time at which it was made, instead of a word: in
    /// nanoseconds since [`epoch`].
    pub timestamp_tokens: bool,
}

/// Returns the start of the time that stamped tokens tell.
pub fn epoch() -> std::time::Instant {
    static EPOCH: std::sync::OnceLock<std::time::Instant> = std::sync::OnceLock::new();
    *EPOCH.get_or_init(std::time::Instant::now)
}

/// Faults of an engine that show in its streams.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamFaults {
    /// Breaks the connection after this frame, once for each run.
    pub break_after: Option<u64>,
    /// Sends this frame twice.
    pub repeat: Option<u64>,
    /// Leaves this frame out, once for each run.
    pub skip: Option<u64>,
    /// Sends a frame of another run before this one.
    pub foreign_before: Option<u64>,
    /// Forgets its runs, so that none can be resumed.
    pub drop_runs: bool,
}

/// A model engine.
pub struct Engine {
    config: Config,
    slots: Arc<Semaphore>,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    boot: String,
    cold: bool,
    faults: StreamFaults,
    runs: HashMap<String, Run>,
    waiting: u32,
    running: u32,
    started: u64,
    cancelled: u64,
    cache: VecDeque<String>,
    pieces: BTreeMap<String, Bytes>,
    events: VecDeque<CacheEvent>,
    event_seq: u64,
    fence: u64,
    loaded: Vec<(String, String)>,
}

#[derive(Clone)]
struct Run {
    frames: watch::Receiver<Vec<Frame>>,
    cancel: Arc<watch::Sender<bool>>,
    broken: bool,
}

impl Engine {
    /// Creates an engine.
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

    /// Sets whether it is in cold start.
    pub fn set_cold(&self, cold: bool) {
        self.state.lock().unwrap().cold = cold;
    }

    /// Sets the faults of its streams.
    pub fn set_faults(&self, faults: StreamFaults) {
        self.state.lock().unwrap().faults = faults;
    }

    /// Restarts it: runs and cache are gone, the boot id is new, and it is cold.
    pub fn restart(&self) {
        let mut state = self.state.lock().unwrap();
        for run in state.runs.values() {
            let _ = run.cancel.send(true);
        }
        let boot = uuid::Uuid::new_v4().simple().to_string();
        let loaded = self.config.models.clone();
        *state = State { boot, cold: true, loaded, ..State::default() };
    }

    /// Returns the runs started and cancelled since its start.
    pub fn run_counts(&self) -> (u64, u64) {
        let state = self.state.lock().unwrap();
        (state.started, state.cancelled)
    }

    fn load(&self) -> Load {
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

    fn events(&self, after: u64) -> CacheEvents {
        let state = self.state.lock().unwrap();
        let events = state.events.iter().filter(|it| it.seq > after).cloned().collect();
        CacheEvents { boot: state.boot.clone(), events }
    }

    fn order(&self, order: Order) -> StatusCode {
        let mut state = self.state.lock().unwrap();
        if self.config.checks_fence && order.fence < state.fence {
            return StatusCode::CONFLICT;
        }
        state.fence = state.fence.max(order.fence);
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

    /// Starts a run and returns it.
    fn generate(&self, order: Generate) -> Run {
        let (sender, frames) = watch::channel(Vec::new());
        let cancel = Arc::new(watch::channel(false).0);
        let run = Run { frames, cancel: cancel.clone(), broken: false };
        let mut state = self.state.lock().unwrap();
        state.started += 1;
        state.waiting += 1;
        state.runs.insert(order.attempt.clone(), run.clone());
        let work = Work {
            cached: state.cached_tokens(&order, self.config.cache_pieces),
            config: self.config.clone(),
            order,
            sender,
            cancelled: cancel.subscribe(),
            state: self.state.clone(),
            slots: self.slots.clone(),
        };
        tokio::spawn(work.run());
        run
    }

    fn cancel(&self, attempt: &str) -> StatusCode {
        let mut state = self.state.lock().unwrap();
        let Some(run) = state.runs.remove(attempt) else { return StatusCode::NOT_FOUND };
        state.cancelled += 1;
        let _ = run.cancel.send(true);
        StatusCode::OK
    }

    fn stream(&self, attempt: String, run: Run, from: u64) -> Response {
        let boot = self.state.lock().unwrap().boot.clone();
        let reader = Reader { attempt, run, next: from, state: self.state.clone(), over: false };
        let body = Body::from_stream(futures_util::stream::unfold(reader, Reader::next));
        let mut response = Response::new(body);
        let fields = response.headers_mut();
        fields.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        if let Ok(boot) = HeaderValue::from_str(&boot) {
            fields.insert(BOOT_HEADER, boot);
        }
        response
    }
}

impl State {
    /// Returns the prompt's tokens that are in the cache, and caches the rest.
    fn cached_tokens(&mut self, order: &Generate, capacity: usize) -> u32 {
        let mut chain = rendezvous::hash_parts(&[&order.salt, &order.model]);
        let mut hits = 0;
        for piece in order.prompt.as_bytes().chunks_exact(PIECE_BYTES) {
            let text = String::from_utf8_lossy(piece);
            chain = rendezvous::hash_parts(&[&chain.to_string(), &text]);
            let name = format!("{chain:016x}");
            if let Some(at) = self.cache.iter().position(|it| *it == name) {
                hits += 1;
                self.cache.remove(at);
            } else {
                self.event(CacheEventOp::Stored, &name);
            }
            self.cache.push_back(name);
        }
        while self.cache.len() > capacity {
            let evicted = self.cache.pop_front().unwrap_or_default();
            self.event(CacheEventOp::Evicted, &evicted);
        }
        (hits * PIECE_BYTES / BYTES_PER_TOKEN) as u32
    }

    fn event(&mut self, op: CacheEventOp, piece: &str) {
        self.event_seq += 1;
        self.events.push_back(CacheEvent { seq: self.event_seq, op, piece: piece.into() });
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Returns the words of the whole answer to a prompt.
pub fn answer_words(prompt: &str, count: u32) -> Vec<String> {
    let seed = rendezvous::hash_parts(&[prompt]);
    let word = |index: u32| {
        let pick = rendezvous::weight(seed.wrapping_add(index.into()), "") % WORDS.len() as u64;
        format!("{} ", WORDS[pick as usize])
    };
    (0..count).map(word).collect()
}

struct Work {
    cached: u32,
    config: Config,
    order: Generate,
    sender: watch::Sender<Vec<Frame>>,
    cancelled: watch::Receiver<bool>,
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
}

impl Work {
    async fn run(mut self) {
        let Ok(_slot) = self.slots.clone().acquire_owned().await else { return };
        self.started();
        let mut cancelled = self.cancelled.clone();
        tokio::select! {
            _ = cancelled.wait_for(|it| *it) => {}
            () = self.emit() => {}
        }
        self.ended();
        tokio::time::sleep(KEPT).await;
        self.state.lock().unwrap().runs.remove(&self.order.attempt);
    }

    fn ended(&self) {
        let mut state = self.state.lock().unwrap();
        state.running = state.running.saturating_sub(1);
    }

    fn started(&self) {
        let mut state = self.state.lock().unwrap();
        state.waiting = state.waiting.saturating_sub(1);
        state.running += 1;
    }

    async fn emit(&mut self) {
        let prompt_tokens = (self.order.prompt.len() / BYTES_PER_TOKEN) as u32;
        let computed = prompt_tokens.saturating_sub(self.cached);
        tokio::time::sleep(Duration::from_secs_f64(
            f64::from(computed) / self.config.prefill_tokens_per_second,
        ))
        .await;
        let delivered = self.order.delivered.as_deref().unwrap_or_default();
        let skip = delivered.split_whitespace().count() as u32;
        let words = answer_words(&self.order.prompt, skip + self.order.max_tokens);
        let rest = &words[skip as usize..];
        if rest.is_empty() {
            self.frame(0, None, Some(self.finish(prompt_tokens, 0)));
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
            self.frame(index as u64, Some(text), finish);
        }
    }

    fn finish(&self, prompt_tokens: u32, completion_tokens: u32) -> Finish {
        let cached_tokens = self.cached.min(prompt_tokens);
        Finish { reason: FinishReason::Length, prompt_tokens, cached_tokens, completion_tokens }
    }

    fn frame(&self, seq: u64, text: Option<String>, finish: Option<Finish>) {
        let tokens = text.as_ref().map(|_| 1);
        let attempt = self.order.attempt.clone();
        self.sender.send_modify(|it| it.push(Frame { attempt, seq, text, tokens, finish }));
    }
}

struct Reader {
    attempt: String,
    run: Run,
    next: u64,
    state: Arc<Mutex<State>>,
    over: bool,
}

type Event = Result<BodyFrame<Bytes>, volo_http::error::BoxError>;

impl Reader {
    async fn next(mut self) -> Option<(Event, Self)> {
        if self.over {
            return None;
        }
        let next = self.next as usize;
        let waited = self.run.frames.wait_for(|it| it.len() > next).await;
        let Ok(frame) = waited.map(|it| it[next].clone()) else {
            self.over = true;
            return Some((Err("the run was cancelled".into()), self));
        };
        let faults = self.state.lock().unwrap().faults;
        let once = !self.run.broken;
        if once && faults.break_after.is_some_and(|it| frame.seq > it) {
            // A reset drops what the server has queued but not yet written.
            tokio::time::sleep(BREAK_PAUSE).await;
            self.mark_broken(faults.drop_runs);
            return Some((Err("the engine broke off".into()), self));
        }
        self.next += 1;
        let mut text = event(&frame);
        if once && faults.skip == Some(frame.seq) {
            self.mark_broken(faults.drop_runs);
            self.over = false;
            text.clear();
        }
        if faults.repeat == Some(frame.seq) {
            text = text.repeat(2);
        }
        if faults.foreign_before == Some(frame.seq) {
            text.insert_str(0, &event(&Frame { attempt: "another".into(), ..frame.clone() }));
        }
        self.over |= frame.finish.is_some();
        Some((Ok(BodyFrame::data(text.into())), self))
    }

    fn mark_broken(&mut self, drop_runs: bool) {
        self.over = true;
        self.run.broken = true;
        let mut state = self.state.lock().unwrap();
        if drop_runs {
            state.runs.remove(&self.attempt);
        } else if let Some(run) = state.runs.get_mut(&self.attempt) {
            run.broken = true;
        }
    }
}

fn event(frame: &Frame) -> String {
    format!("data: {}\n\n", serde_json::to_string(frame).unwrap_or_default())
}

impl Handler for Engine {
    async fn handle(&self, request: Request) -> Response {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        if path == "/engine/v1/runs" && method == Method::POST {
            let Some(order) = read_json::<Generate>(request.into_body()).await else {
                return empty_response(StatusCode::BAD_REQUEST);
            };
            let attempt = order.attempt.clone();
            let run = self.generate(order);
            return self.stream(attempt, run, 0);
        }
        if let Some(attempt) = path.strip_prefix("/engine/v1/runs/") {
            return self.on_run(attempt, &method, &request);
        }
        if let Some(piece) = path.strip_prefix("/engine/v1/pieces/") {
            return self.on_piece(piece, &method, request).await;
        }
        match (path.as_str(), method) {
            ("/engine/v1/load", Method::GET) => json_response(StatusCode::OK, &self.load()),
            ("/engine/v1/events", Method::GET) => {
                let after = query_parameter(&request, "after").and_then(|it| it.parse().ok());
                json_response(StatusCode::OK, &self.events(after.unwrap_or(0)))
            }
            ("/engine/v1/orders", Method::POST) => match read_json(request.into_body()).await {
                Some(order) => empty_response(self.order(order)),
                None => empty_response(StatusCode::BAD_REQUEST),
            },
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }
}

impl Engine {
    fn on_run(&self, attempt: &str, method: &Method, request: &Request) -> Response {
        if method == Method::DELETE {
            return empty_response(self.cancel(attempt));
        }
        let from = query_parameter(request, "from").and_then(|it| it.parse().ok());
        let run = self.state.lock().unwrap().runs.get(attempt).cloned();
        match (run, from) {
            (Some(run), Some(from)) => self.stream(attempt.to_owned(), run, from),
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }

    async fn on_piece(&self, piece: &str, method: &Method, request: Request) -> Response {
        if method == Method::PUT {
            let data = read_body(request.into_body()).await;
            let mut state = self.state.lock().unwrap();
            state.pieces.insert(piece.to_owned(), data);
            state.cache.push_back(piece.to_owned());
            state.event(CacheEventOp::Stored, piece);
            return empty_response(StatusCode::OK);
        }
        let state = self.state.lock().unwrap();
        if !state.cache.iter().any(|it| it == piece) {
            return empty_response(StatusCode::NOT_FOUND);
        }
        let data = state.pieces.get(piece).cloned().unwrap_or_else(|| piece.to_owned().into());
        body_response("application/octet-stream", data)
    }
}
