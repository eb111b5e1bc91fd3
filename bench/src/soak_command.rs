//! `mothvale-bench soak`: runs seeds of the fault soak one after the other.

use std::{env, error::Error, io, path::PathBuf, time::Duration};

use lexopt::{Arg::Long, Parser, ValueExt};
use mothvale_bench::soak::{self, Options, Report, mutant, regressions};
use tokio::signal::unix::{SignalKind, signal};

/// Broken promises that are printed of one run.
const MAX_PRINTED: usize = 20;

/// Runs `mothvale-bench soak` with the arguments after its name.
pub fn run(mut args: Parser) -> Result<(), Box<dyn Error>> {
    let (mut first_seed, mut seed_count, mut seconds, mut hosts) = (1_u64, 1, 20.0, 3);
    let (mut program, mut former_program) = (None, None);
    let (mut folder, mut mutant) = (env::temp_dir(), None);
    let (mut passed_over, mut case) = (Vec::new(), None);
    while let Some(arg) = args.next()? {
        match arg {
            Long("seed") => first_seed = args.value()?.parse()?,
            Long("seeds") => seed_count = args.value()?.parse()?,
            Long("seconds") => seconds = args.value()?.parse()?,
            Long("hosts") => hosts = args.value()?.parse()?,
            Long("program") => program = Some(PathBuf::from(args.value()?)),
            Long("former") => former_program = Some(PathBuf::from(args.value()?)),
            Long("folder") => folder = PathBuf::from(args.value()?),
            Long("case") => {
                let name = args.value()?.string()?;
                let found = regressions::cases().into_iter().find(|it| it.name == name);
                case = Some(found.ok_or(format!("{name}: no such case"))?);
            }
            Long("pass-over") => passed_over.push(args.value()?.string()?),
            Long("mutant") => {
                let name = args.value()?.string()?;
                mutant = Some(mutant::by_name(&name).ok_or(format!("{name}: no such mutant"))?);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    if !(1..=250).contains(&hosts) {
        return Err("--hosts: from 1 to 250".into());
    }
    let program = match program {
        Some(program) => program,
        None => soak::program_beside(&env::current_exe()?)?,
    };
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let mut failed = Vec::new();
    for seed in first_seed..first_seed + seed_count {
        let options = Options {
            program: program.clone(),
            former_program: former_program.clone(),
            folder: folder.join(format!("mothvale-soak-{seed}-{}", std::process::id())),
            seed,
            hosts,
            time: case.as_ref().map_or(Duration::from_secs_f64(seconds), |it| it.time),
            mutant,
            faults: case.as_ref().map(|it| it.faults.clone()),
        };
        let report = runtime.block_on(run_unless_stopped(&options))?;
        println!("{}", report.summary);
        let (known, broken): (Vec<_>, Vec<_>) =
            report.broken.iter().partition(|it| passed_over.iter().any(|name| name == it.1.check));
        for (at, broken) in known {
            println!("seed {seed}: passed over: {at:?}: {}: {}", broken.check, broken.what);
        }
        if broken.is_empty() {
            std::fs::remove_dir_all(&options.folder)?;
            continue;
        }
        failed.push(seed);
        println!("seed {seed}: logs in {}", options.folder.display());
        for fault in &report.faults {
            println!("  fault {:?} to {:?}: {:?}", fault.start, fault.end, fault.action);
        }
        for (at, broken) in broken.iter().take(MAX_PRINTED) {
            println!("  {at:?}: {}: {}", broken.check, broken.what);
        }
    }
    match failed.is_empty() {
        true => Ok(()),
        false => Err(format!("broken promises with seeds {failed:?}").into()),
    }
}

/// Runs one seed. SIGTERM and SIGINT end the run and its processes.
async fn run_unless_stopped(options: &Options) -> io::Result<Report> {
    let mut sigterm = signal(SignalKind::terminate())?;
    let mut sigint = signal(SignalKind::interrupt())?;
    tokio::select! {
        report = soak::run(options) => report,
        _ = sigterm.recv() => Err(io::Error::other("stopped by SIGTERM")),
        _ = sigint.recv() => Err(io::Error::other("stopped by SIGINT")),
    }
}
