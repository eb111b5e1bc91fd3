//! Long randomised runs with invariants asserted inside the program.

use std::{error::Error, time::Instant};

use lexopt::{Arg::Long, Parser, ValueExt};
use mothvale_testutils::{claims::interleave, init};
use serde_json::json;

/// Runs the command.
pub fn run(mut args: Parser) -> Result<(), Box<dyn Error>> {
    let (mut seeds, mut from) = (10_000_u64, 0);
    while let Some(arg) = args.next()? {
        match arg {
            Long("seeds") => seeds = args.value()?.parse()?,
            Long("from") => from = args.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    init();
    let start = Instant::now();
    let (mut ran, mut told) = (0, 0);
    for seed in from..from + seeds {
        // A broken invariant panics; the seed has to be known then.
        let simulation = std::panic::catch_unwind(|| interleave(seed))
            .map_err(|_| format!("seed {seed} broke an invariant"))?;
        ran += u64::from(simulation.run_count);
        told += simulation.replies.len();
    }
    println!(
        "{}",
        json!({"bench": "random", "what": "claims", "from": from, "seeds": seeds, "broken": 0,
            "requests_that_ran": ran, "callers_told": told,
            "seconds": start.elapsed().as_secs_f64()})
    );
    Ok(())
}
