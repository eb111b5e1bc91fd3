//! Which requests a loaded service of model engines still takes. No I/O.
//!
//! An engine that is given more runs than it has places for makes all of them late, and what waits
//! there until its caller leaves was taken for nothing. So part of the requests is refused at once
//! as the mean load of the engines grows, the least urgent first. The mean changes slowly, and
//! refusing a part and not all keeps hosts that know it a moment late from swinging together.

use crate::{deployment::EngineEntry, prelude::*, rank};

/// Mean load, as a part of what engines have places for, at which the most urgent requests
/// begin to be refused: a little waits at each engine then.
const START: f64 = 0.75;
/// How much earlier each rank of priority begins.
const STEP: f64 = 0.08;
/// Ranks below which requests are alike.
const RANKS: u8 = 4;
/// Load beyond the start at which all are refused.
const SPAN: f64 = 0.3;
/// Part of an engine's memory that makes a full load: a run does not yet need its answer's.
const MEMORY: f64 = 1.1;
/// Least and longest time after which a refused request is asked to come back; in between it
/// grows with the load.
const RETRY: Duration = Duration::from_millis(300);
const RETRY_MAX: Duration = Duration::from_secs(2);

/// Mean load of a service's engines, as a part of what they have places for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pressure(f64);

impl Pressure {
    /// Takes the tokens and requests in flight at each engine.
    pub fn new<I>(engine: &EngineEntry, loads: I) -> Self
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
        Pressure(tokens.max(requests))
    }

    /// Returns the time after which a request is to come back that is refused now. `draw` is a
    /// hash that differs from request to request.
    ///
    /// # Errors
    ///
    /// Returns that time for a request that is not taken.
    pub fn admit(self, priority: u8, draw: u64) -> Result<(), Duration> {
        let start = START - STEP * f64::from(priority.min(RANKS));
        let refused = (self.0 - start) / SPAN;
        let chance = (rank::mix(draw) >> 11) as f64 / (1_u64 << 53) as f64;
        if chance >= refused {
            return Ok(());
        }
        Err(RETRY + (RETRY_MAX - RETRY).mul_f64(refused.clamp(0.0, 1.0)))
    }
}
