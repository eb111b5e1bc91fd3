//! Admission control: decides which requests an overloaded service of model engines still takes.
//! Does no I/O.
//!
//! An engine that gets more runs than it has slots delays all of them, and a run that waits until
//! its caller disconnects is wasted work. So a growing fraction of the requests is shed at once,
//! the least urgent first, when the mean load of the engines rises or first tokens come late. Both
//! signals change slowly, and shedding a fraction instead of everything keeps hosts, which see
//! the load with a delay, from oscillating together.

use crate::{configuration::EngineEntry, ewma::Ewma, prelude::*, rendezvous};

/// Number of priorities; less urgent ones count as the last.
const PRIORITIES: usize = 10;
/// Priorities from this one on are all shed alike.
const FIRST_EQUAL_PRIORITY: usize = 4;
/// Mean load, as a fraction of the capacity of the engines, above which the most urgent requests
/// are shed. Loads vary between engines, and at a mean of 1 most engines are above their capacity.
const SHED_LOAD: f64 = 0.85;
/// How much lower [`SHED_LOAD`] is for each less urgent priority.
const SHED_LOAD_STEP: f64 = 0.04;
/// How far the load is above [`SHED_LOAD`] when all requests are shed.
const SHED_LOAD_RANGE: f64 = 0.3;
/// Multiple of an engine's KV cache that counts as full load. It is above 1 because the tokens of a
/// request include its answer, for which a new run does not need memory yet.
const FULL_LOAD_MEMORY: f64 = 1.1;
/// Mean wait for the first token, as a fraction of the latency objective, above which the most
/// urgent requests are shed. Waits vary, and at this mean some exceed the objective.
const SHED_WAIT: f64 = 0.35;
/// How much lower [`SHED_WAIT`] is for each less urgent priority.
const SHED_WAIT_STEP: f64 = 0.02;
/// How far the wait is above [`SHED_WAIT`] when all requests are shed.
const SHED_WAIT_RANGE: f64 = 0.7;
/// Priorities of routes that [`urgency`] tells apart; less urgent ones count as the last.
const ROUTE_PRIORITIES: u8 = 3;
/// Least urgent level that is told apart when requests are shed by urgency.
const LAST_URGENCY: u8 = 8;
/// Load above which the most urgent requests are shed when requests are shed by urgency: the least urgent
/// ones have made room before.
const URGENT_SHED_LOAD: f64 = 1.3;
/// How much lower [`URGENT_SHED_LOAD`] is for each less urgent level.
const URGENCY_LOAD_STEP: f64 = 0.0875;
/// Mean wait, as a fraction of the latency objective, above which the most urgent requests are shed when
/// requests are shed by urgency.
const URGENT_SHED_WAIT: f64 = 0.95;
/// How much lower [`URGENT_SHED_WAIT`] is for each less urgent level.
const URGENCY_WAIT_STEP: f64 = 0.0875;
/// Largest fraction that is shed of any level, so that none starves.
const MAX_SHED_BY_URGENCY: f64 = 0.9;
/// Cap of one sample of the wait, as a fraction of the latency objective, so that one request does
/// not outweigh many.
const WAIT_SAMPLE_MAX: f64 = 4.0;
/// Weight of the newest wait in the mean.
const WAIT_WEIGHT: f64 = 0.08;
/// Half-life of the mean wait. It decays without samples, so that requests are admitted again after
/// all were shed.
const WAIT_HALF_LIFE: Duration = Duration::from_millis(1500);
/// Shortest time after which the caller of a shed request should retry; it grows with the
/// overload up to [`RETRY_AFTER_MAX`].
const RETRY_AFTER_MIN: Duration = Duration::from_millis(300);
/// Longest time after which the caller of a shed request should retry.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);

/// Mean waits of a service's requests for their first tokens, by priority, as fractions of the
/// latency objective.
#[derive(Clone, Copy, Debug)]
pub struct Waits {
    by_priority: [Ewma; PRIORITIES],
}

impl Default for Waits {
    fn default() -> Self {
        Waits { by_priority: [Ewma::new(WAIT_WEIGHT, WAIT_HALF_LIFE); PRIORITIES] }
    }
}

impl Waits {
    /// Records how long a request waited for its first token, and the latency objective of its
    /// route.
    pub fn record(
        &mut self,
        now: Instant,
        priority: u8,
        waited: Duration,
        latency_objective: Duration,
    ) {
        let ratio = waited.as_secs_f64() / latency_objective.as_secs_f64().max(f64::EPSILON);
        self.by_priority[priority_index(priority)].record(now, ratio.min(WAIT_SAMPLE_MAX));
    }

    /// Returns the longest mean wait over `priority` and all more urgent ones.
    fn longest(&self, now: Instant, priority: u8) -> f64 {
        let means = &self.by_priority[..=priority_index(priority)];
        means.iter().map(|it| it.value_at(now)).fold(0.0, f64::max)
    }
}

/// Load of a service's engines and wait for first tokens, as they count for a request of one
/// priority.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pressure {
    /// Mean load of the engines, as a fraction of their slots or of their KV caches, whichever is
    /// larger.
    pub load: f64,
    /// Longest mean wait for the first token over this priority and all more urgent ones, as a
    /// fraction of the latency objective.
    pub wait: f64,
    /// Priority of the request, or its urgency if requests are shed by that.
    pub priority: u8,
    is_by_urgency: bool,
}

impl Pressure {
    /// Computes load and wait from the tokens and requests in flight at each engine, in this order
    /// in `loads`, and from the mean waits.
    pub fn new<I>(
        now: Instant,
        engine: &EngineEntry,
        loads: I,
        waits: Option<&Waits>,
        priority: u8,
    ) -> Self
    where
        I: Iterator<Item = (u64, u32)>,
    {
        let (mut engines, mut sum_tokens, mut sum_requests) = (0_u32, 0, 0);
        for (tokens, requests) in loads {
            engines += 1;
            sum_tokens += tokens;
            sum_requests += u64::from(requests);
        }
        let engines = f64::from(engines.max(1));
        let tokens =
            sum_tokens as f64 / (engine.cache_tokens.max(1) as f64 * FULL_LOAD_MEMORY * engines);
        let requests = sum_requests as f64 / (f64::from(engine.slots.max(1)) * engines);
        let wait = waits.map_or(0.0, |it| it.longest(now, priority));
        Pressure { load: tokens.max(requests), wait, priority, is_by_urgency: false }
    }

    /// Makes the least urgent requests give up their room before the others; the priority is then an
    /// [`urgency`].
    pub fn by_urgency(self) -> Self {
        Pressure { is_by_urgency: true, ..self }
    }

    /// Decides whether to admit a request; `request_hash` serves as its random sample.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller of a shed request should retry.
    pub fn admit(self, request_hash: u64) -> Result<(), Duration> {
        let (shed_load, shed_wait, max_shed) = self.limits();
        let load = (self.load - shed_load) / SHED_LOAD_RANGE;
        let wait = (self.wait - shed_wait) / SHED_WAIT_RANGE;
        let shed_fraction = load.max(wait).clamp(0.0, max_shed);
        let sample = (rendezvous::mix64(request_hash) >> 11) as f64 / (1_u64 << 53) as f64;
        if sample >= shed_fraction {
            return Ok(());
        }
        Err(RETRY_AFTER_MIN + (RETRY_AFTER_MAX - RETRY_AFTER_MIN).mul_f64(shed_fraction))
    }

    /// Returns load and wait above which requests are shed, and the largest fraction of them that is.
    fn limits(self) -> (f64, f64, f64) {
        if self.is_by_urgency {
            let level = f64::from(self.priority.min(LAST_URGENCY));
            let load = URGENT_SHED_LOAD - URGENCY_LOAD_STEP * level;
            let wait = URGENT_SHED_WAIT - URGENCY_WAIT_STEP * level;
            return (load, wait, MAX_SHED_BY_URGENCY);
        }
        let steps = priority_index(self.priority).min(FIRST_EQUAL_PRIORITY) as f64;
        (SHED_LOAD - SHED_LOAD_STEP * steps, SHED_WAIT - SHED_WAIT_STEP * steps, 1.0)
    }
}

/// Returns how urgent a request is: by the priority of its workspace or, without one, of its route, and
/// then by that of its route. 0 is the most urgent.
pub fn urgency(priority: u8, route_priority: u8) -> u8 {
    let level = priority.saturating_mul(ROUTE_PRIORITIES);
    level.saturating_add(route_priority.min(ROUTE_PRIORITIES - 1)).min(LAST_URGENCY)
}

/// Returns the index of a priority in [`Waits`].
fn priority_index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}
