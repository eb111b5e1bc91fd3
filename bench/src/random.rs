//! Long randomised simulations of claims, in which invariant violations panic.

use std::{error::Error, time::Instant};

use lexopt::{Arg::Long, Parser, ValueExt};
use mothvale_testutils::{claims::interleave, init};
use serde_json::json;

/// Runs `mothvale-bench random` with the arguments after its name.
pub fn run(mut args: Parser) -> Result<(), Box<dyn Error>> {
    let (mut seed_count, mut first_seed) = (10_000_u64, 0);
    while let Some(arg) = args.next()? {
        match arg {
            Long("seeds") => seed_count = args.value()?.parse()?,
            Long("from") => first_seed = args.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    init();
    let start = Instant::now();
    let (mut run_count, mut reply_count) = (0, 0);
    for seed in first_seed..first_seed + seed_count {
        // An invariant violation panics; it is caught so that the error names the seed.
        let simulation = std::panic::catch_unwind(|| interleave(seed))
            .map_err(|_| format!("seed {seed} broke an invariant"))?;
        run_count += u64::from(simulation.run_count);
        reply_count += simulation.replies.len();
    }
    println!(
        "{}",
        json!({"bench": "random", "what": "claims", "from": first_seed, "seeds": seed_count, "broken": 0,
            "requests_that_ran": run_count, "callers_told": reply_count,
            "seconds": start.elapsed().as_secs_f64()})
    );
    Ok(())
}
