//! Which requests a loaded service of model engines still takes. No I/O.
//!
//! An engine that is given more runs than it has places for makes all of them late, and what waits
//! there until its caller leaves was taken for nothing. So part of the requests is refused at once,
//! the least urgent first, as the mean load of the engines grows or first tokens come late. Both
//! change slowly, and refusing a part and not all keeps hosts that know it a moment late from
//! swinging together.

use crate::{deployment::EngineEntry, ewma::Ewma, prelude::*, rendezvous};

/// Ranks of priority.
const RANKS: usize = 10;
/// Ranks from which on requests are alike.
const RANKS_APART: usize = 4;
/// Mean load, as a part of what engines have places for, at which the most urgent requests
/// begin to be refused. Ordinary days of the grown deployments reach 0.75; loads scatter, and at
/// a mean of 1 most engines have more than they have places for.
const LOAD: f64 = 0.85;
/// How much earlier each rank of priority begins.
const LOAD_STEP: f64 = 0.04;
/// Load beyond the beginning at which all are refused.
const LOAD_SPAN: f64 = 0.3;
/// Part of an engine's memory that makes a full load: a run does not yet need its answer's.
const MEMORY: f64 = 1.1;
/// Mean wait for the first token, as a part of what callers are promised, at which requests begin
/// to be refused. The median of a calm moment is 0.16; waits scatter, and at this mean some are over the
/// promise.
const WAIT: f64 = 0.35;
/// How much earlier each rank of priority begins.
const WAIT_STEP: f64 = 0.02;
/// Wait beyond the beginning at which all are refused.
const WAIT_SPAN: f64 = 0.7;
/// Longest wait that counts, as a part of the promise: one request is not to outweigh many.
const WAIT_MAX: f64 = 4.0;
/// Weight of the newest wait.
const WAIT_WEIGHT: f64 = 0.08;
/// Time in which half of the waits is forgotten, so that some requests are tried again.
const WAIT_HALF_LIFE: Duration = Duration::from_millis(1500);
/// Least and longest time after which a refused request is asked to come back; in between it
/// grows with what there is too much.
const RETRY: Duration = Duration::from_millis(300);
const RETRY_MAX: Duration = Duration::from_secs(2);

/// How long requests of a service waited for their first tokens, by priority.
#[derive(Clone, Copy, Debug)]
pub struct Waits {
    by_rank: [Ewma; RANKS],
}

impl Default for Waits {
    fn default() -> Self {
        Waits { by_rank: [Ewma::new(WAIT_WEIGHT, WAIT_HALF_LIFE); RANKS] }
    }
}

impl Waits {
    /// Takes how long a request has waited, and the wait that its caller is promised.
    pub fn record(&mut self, now: Instant, priority: u8, waited: Duration, promised: Duration) {
        let part = waited.as_secs_f64() / promised.as_secs_f64().max(f64::EPSILON);
        self.by_rank[rank_of(priority)].record(now, part.min(WAIT_MAX));
    }

    /// Returns the longest mean wait of requests that are as urgent or more.
    fn longest(&self, now: Instant, priority: u8) -> f64 {
        let ranks = &self.by_rank[..=rank_of(priority)];
        ranks.iter().map(|it| it.value_at(now)).fold(0.0, f64::max)
    }
}

/// How much a service's engines have to do, as a request of some priority meets it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pressure {
    /// Mean load of the engines, as a part of what they have places for.
    pub load: f64,
    /// Mean wait for the first token, as a part of the promise.
    pub wait: f64,
    priority: u8,
}

impl Pressure {
    /// Takes the tokens and requests in flight at each engine, and the waits.
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
        let tokens = sum_tokens as f64 / (engine.cache_tokens.max(1) as f64 * MEMORY * engines);
        let requests = sum_requests as f64 / (f64::from(engine.slots.max(1)) * engines);
        let wait = waits.map_or(0.0, |it| it.longest(now, priority));
        Pressure { load: tokens.max(requests), wait, priority }
    }

    /// Decides whether a request is taken. `request_hash` is a hash that differs from request to
    /// request.
    ///
    /// # Errors
    ///
    /// Returns the time after which a request that is not taken may come back.
    pub fn admit(self, request_hash: u64) -> Result<(), Duration> {
        let rank = rank_of(self.priority).min(RANKS_APART) as f64;
        let load = (self.load - LOAD + LOAD_STEP * rank) / LOAD_SPAN;
        let wait = (self.wait - WAIT + WAIT_STEP * rank) / WAIT_SPAN;
        let refused = load.max(wait).clamp(0.0, 1.0);
        let chance = (rendezvous::mix64(request_hash) >> 11) as f64 / (1_u64 << 53) as f64;
        if chance >= refused {
            return Ok(());
        }
        Err(RETRY + (RETRY_MAX - RETRY).mul_f64(refused))
    }
}

fn rank_of(priority: u8) -> usize {
    usize::from(priority).min(RANKS - 1)
}
