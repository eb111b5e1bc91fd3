//! Callers: each sends one request after the other over a connection that it keeps until the host
//! closes it or is gone.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use http_body_util::BodyExt;
use mothvale_lib::connection::Connection;
use mothvale_platform_standin::{
    caller::{self, Call},
    engine,
    operator::{ENGINES, READINESS_PATH, ROUTES},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::time::{sleep, timeout};

use super::record::{Attempt, Disturbance, Outcome, Record, Scope};

/// Model of all generations.
pub const MODEL: &str = "m1";
/// Pause of a caller between two requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 20..160;
/// Pause after a failed connection or a rejected request.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// How long a caller reads on after its deadline: the gateway's own last answer comes at about it.
const LATE_READ: Duration = Duration::from_millis(700);
/// Probability that a caller leaves soon after it has sent a request.
const LEAVE_PROBABILITY: f64 = 0.03;
/// Sessions of the generations of all callers.
const SESSIONS: u64 = 40;
/// Time between two readiness probes of the balancer, and longest wait for a response.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Period of the timer that shows stalls of the machine.
const STALL_PERIOD: Duration = Duration::from_millis(10);
/// How late that timer, or a thread that waits for a processor, may be on a machine that is not slow.
pub const MAX_LATENESS: Duration = Duration::from_millis(150);
/// Probes without success in a row after which a host gets no new connections.
const MAX_MISSES: u32 = 2;

/// What callers share.
#[derive(Debug)]
pub struct Population {
    /// Where callers connect, by host.
    pub addresses: Vec<SocketAddr>,
    /// Whether the balancer gives a host new connections.
    pub in_rotation: Vec<AtomicBool>,
    /// Keys that callers use.
    pub keys: Vec<String>,
    /// When callers stop.
    pub end: Instant,
    /// Record of the run.
    pub record: Arc<Mutex<Record>>,
}

/// Locks a record, also after a panic of another task that held it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Probes the readiness of one host until the end, as the balancer does.
pub async fn probe(population: Arc<Population>, host: usize, address: SocketAddr) {
    let mut misses = 0;
    while Instant::now() < population.end {
        let ready = timeout(PROBE_PERIOD, is_ready(address)).await.unwrap_or(false);
        misses = if ready { 0 } else { misses + 1 };
        population.in_rotation[host].store(misses < MAX_MISSES, Ordering::Relaxed);
        sleep(PROBE_PERIOD).await;
    }
}

/// Returns whether a host says that it is ready.
pub async fn is_ready(address: SocketAddr) -> bool {
    let request = http::Request::builder()
        .uri(READINESS_PATH)
        .header("host", address.to_string())
        .body(http_body_util::Full::default());
    let Ok(request) = request else { return false };
    let Ok(mut connection) = Connection::connect(address).await else { return false };
    let response = connection.call(request, PROBE_PERIOD, 1 << 20).await;
    response.is_ok_and(|it| it.status().is_success())
}

/// Notes when the machine is too slow to run the soak's own timers in time. Hosts are then not in
/// contact, as on a machine that is slowed down.
pub async fn watch_stalls(population: Arc<Population>) {
    while Instant::now() < population.end + Duration::from_secs(10) {
        let start = Instant::now();
        sleep(STALL_PERIOD).await;
        let late = start.elapsed().saturating_sub(STALL_PERIOD);
        let mut record = lock(&population.record);
        record.longest_stall = record.longest_stall.max(late);
        if late > MAX_LATENESS {
            let (scope, end) = (Scope::Machine, Some(Instant::now()));
            record.disturbances.push(Disturbance { scope, start, end });
        }
    }
}

/// Runs one caller until the end.
pub async fn run(population: Arc<Population>, seed: u64, index: usize) {
    let mut random = Pcg64::seed_from_u64(seed ^ (index as u64 + 1) << 32);
    let mut open: Option<(usize, Connection)> = None;
    let mut number = 0;
    while Instant::now() < population.end {
        sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        number += 1;
        let route = random.random_range(0..ROUTES.len());
        let key = random.random_range(0..population.keys.len());
        let leaves = random.random_bool(LEAVE_PROBABILITY);
        let mut call = Call {
            id: format!("{seed:x}-{index}-{number}"),
            resumes: None,
            path: format!("/{}/{index}", ROUTES[route].name),
            key: population.keys[key].clone(),
            deadline: match ROUTES[route].service {
                ENGINES => Duration::from_millis(random.random_range(2000..5000)),
                _ => Duration::from_millis(random.random_range(600..2000)),
            },
            generation: (ROUTES[route].service == ENGINES)
                .then(|| (MODEL, random.random_range(0..SESSIONS))),
        };
        loop {
            let first_choice: usize = random.random_range(0..population.addresses.len());
            let kept = open.take().filter(|it| !it.1.is_closed());
            let Some((host, mut connection)) = (match kept {
                Some(kept) => Some(kept),
                None => connect(&population, first_choice).await,
            }) else {
                sleep(RETRY_PAUSE).await;
                break;
            };
            let at = Instant::now();
            let wait = if leaves { Duration::from_millis(60) } else { call.deadline + LATE_READ };
            let streamed = call.generation.is_some();
            let mut events = 0;
            let exchanged = exchange(&mut connection, &call, streamed, &mut events);
            let outcome = match timeout(wait, exchanged).await {
                Ok(outcome) => outcome,
                Err(_) if leaves => Outcome::Left,
                Err(_) => Outcome::TimedOut,
            };
            let was_cut = matches!(outcome, Outcome::Cut(_));
            let answered = match outcome {
                Outcome::Answered(status) => {
                    open = Some((host, connection));
                    status < 300
                }
                _ => false,
            };
            let (id, deadline, ended) = (call.id.clone(), call.deadline, Instant::now());
            let resumes = call.resumes.is_some();
            let attempt = Attempt { id, route, host, key, at, deadline, resumes, outcome, ended };
            lock(&population.record).attempts.push(attempt);
            if was_cut && ROUTES[route].resumable && events > 0 && call.resumes.is_none() {
                call.resumes = Some((call.id.clone(), events));
                call.id.push_str("-again");
                continue;
            }
            if !answered {
                sleep(RETRY_PAUSE).await;
            }
            break;
        }
    }
}

/// Opens a connection to a host that the balancer chooses.
async fn connect(population: &Population, first_choice: usize) -> Option<(usize, Connection)> {
    let count = population.addresses.len();
    let order = (0..count).map(|it| (first_choice + it) % count);
    let in_rotation = |it: &usize| population.in_rotation[*it].load(Ordering::Relaxed);
    let ready = (0..count).filter(in_rotation).count();
    // With fewer than half of the hosts in rotation, the balancer uses all of them.
    let host = order.into_iter().find(|it| ready * 2 < count || in_rotation(it))?;
    let connection = Connection::connect(population.addresses[host]).await.ok()?;
    Some((host, connection))
}

/// Sends a request and reads the response. `events` is the number of events of the stream that have arrived.
async fn exchange(
    connection: &mut Connection,
    call: &Call,
    streamed: bool,
    events: &mut u64,
) -> Outcome {
    let Ok(response) = connection.send(call.request()).await else { return Outcome::Cut(None) };
    let (head, mut frames) = response.into_parts();
    let status = head.status.as_u16();
    if caller::answered_id(&head.headers).is_some_and(|it| it != call.id) {
        return Outcome::Wrong("the response names another request".into());
    }
    let mut body = Vec::new();
    while let Some(frame) = frames.frame().await {
        let Ok(frame) = frame else { return Outcome::Cut(Some(status)) };
        body.extend_from_slice(&frame.into_data().unwrap_or_default());
        if streamed && head.status.is_success() {
            *events = body.windows(2).filter(|it| it == b"\n\n").count() as u64;
        }
    }
    if !head.status.is_success() {
        return Outcome::Answered(status);
    }
    if !caller::is_signed(&head.headers) {
        return Outcome::Wrong("a success without a signature".into());
    }
    let (stream, last_event) = call.resumes.as_ref().map_or((&call.id, 0), |it| (&it.0, it.1));
    let expected: String = match streamed {
        true => {
            let due = last_event + 1..=engine::event_count(stream);
            due.map(|it| engine::event(stream, it)).collect()
        }
        false => engine::whole_body(&call.id),
    };
    if body != expected.as_bytes() {
        let (got, due) = (body.len(), expected.len());
        return Outcome::Wrong(format!("a success with a wrong body: {got} bytes of {due}"));
    }
    Outcome::Answered(status)
}
