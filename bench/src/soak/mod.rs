//! Fault soak: real gateway processes before stand-ins of the store and the upstreams, with faults
//! from outside that are drawn from a seed, and checks of what callers and upstreams see.

pub mod check;
mod client;
mod conductor;
pub mod host;
mod link;
pub mod mutant;
pub mod plan;
pub mod record;
pub mod regressions;

use std::{
    fs, io,
    net::{IpAddr, Ipv4Addr},
    path::{Path, PathBuf},
    process,
    sync::{Arc, Mutex, atomic::AtomicBool},
    time::{Duration, Instant},
};

use mothvale_platform_standin::{
    engine::{Engine, Journal},
    operator::{self, Bounds, ENGINES, PLAIN},
    store::Store,
};
use serde_json::{Value, json};
use tokio::{task::JoinHandle, time::sleep};

use self::{
    client::{MODEL, Population, lock},
    conductor::{Conductor, Stage},
    host::Host,
    link::Link,
    mutant::Mutant,
    record::{Evidence, Outcome, Record, Scope},
};

/// Number of zones.
const ZONES: usize = 2;
/// Upstreams with models, beside one for each two hosts.
const MIN_ENGINES: usize = 3;
/// Upstreams of the plain service.
const PLAIN_UPSTREAMS: usize = 3;
/// Callers for each host, and most callers of a run.
const CALLERS_PER_HOST: usize = 8;
const MAX_CALLERS: usize = 96;
/// Longest wait for all hosts to be ready at the start.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Memory limit of a host in the deployments that the platform's pages describe.
const MAX_MEMORY: u64 = 110 << 20;
/// Limit of open files there.
const MAX_FILES: u64 = 4100;

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Program with the command `gateway`.
    pub program: PathBuf,
    /// Program of an earlier build with which all hosts start. They go over to the other one and back, one
    /// after the other.
    pub former_program: Option<PathBuf>,
    /// Folder for settings files and logs.
    pub folder: PathBuf,
    /// Seed of the faults and of the callers.
    pub seed: u64,
    /// Number of gateway hosts.
    pub hosts: usize,
    /// How long callers send requests.
    pub time: Duration,
    /// What is broken on purpose.
    pub mutant: Option<Mutant>,
    /// Faults to use instead of those that the seed gives.
    pub faults: Option<Vec<plan::Fault>>,
}

/// The result of one run.
#[derive(Debug)]
pub struct Report {
    /// Figures of the run, as a JSON object.
    pub summary: Value,
    /// Broken promises, the earliest first, with the time since the start of the run.
    pub broken: Vec<(Duration, check::Broken)>,
    /// Faults of the run.
    pub faults: Vec<plan::Fault>,
}

/// Held by the run of this process that uses the hosts' addresses.
static TURN: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// Runs one seed, once no other run of this process is under way.
///
/// # Errors
///
/// Returns an error when something cannot be started.
pub async fn run(options: &Options) -> io::Result<Report> {
    let _turn = take_turn().await;
    fs::create_dir_all(&options.folder)?;
    let bounds = Bounds::default();
    let engine_count = MIN_ENGINES + options.hosts / 2;
    let size = plan::Size {
        hosts: options.hosts,
        engines: engine_count,
        upstreams: engine_count + PLAIN_UPSTREAMS,
        zones: ZONES,
        time: options.time,
    };
    let mut faults = options.faults.clone().unwrap_or_else(|| plan::draw(options.seed, &size));
    if options.former_program.is_some() {
        faults.extend(plan::draw_upgrade(options.seed, &size));
        faults.sort_by_key(|it| (it.start, it.end));
    }
    let record =
        Arc::new(Mutex::new(Record { usage: vec![(0, 0); options.hosts], ..Record::default() }));
    let journal = Arc::new(Mutex::new(Journal::default()));
    let keys = vec![("t1", "secret-key-one".to_owned()), ("t2", "secret-key-two".to_owned())];
    let store = Store::start().await;
    let zones: Vec<_> = (0..ZONES).map(|it| format!("z{it}")).collect();
    let mut stage = Stage {
        hosts: Vec::new(),
        caller_links: Vec::new(),
        store_links: Vec::new(),
        upstream_links: Vec::new(),
        engines: Vec::new(),
        running: Vec::new(),
        store: store.clone(),
        zones: zones.clone(),
        keys: keys.clone(),
        record: record.clone(),
        mutant: options.mutant,
        grace: Duration::from_secs(bounds.grace_s),
    };
    for index in 0..size.upstreams {
        // The target is set once the upstream runs.
        let link = Link::start(store.address).await?;
        let is_engine = index < engine_count;
        stage.engines.push(Engine {
            index,
            service: if is_engine { ENGINES } else { PLAIN },
            zone: zones[index % ZONES].clone(),
            address: link.address,
            model: is_engine.then_some(MODEL),
            lie: match options.mutant {
                Some(Mutant::Upstreams(lie)) => Some(lie),
                _ => None,
            },
            journal: journal.clone(),
            store: store.clone(),
        });
        stage.upstream_links.push(link);
        stage.running.push(None);
    }
    for index in 0..options.hosts {
        let link = Link::start(store.address).await?;
        let (name, zone, ip) = (format!("host{index}"), &zones[index % ZONES], host_ip(index));
        let settings = operator::settings(&name, zone, ip, link.address, &bounds);
        let mut host = Host::new(&name, ip, &options.program, &options.folder, &settings)?;
        if let Some(program) = &options.former_program {
            host.set_former_program(program);
        }
        stage.caller_links.push(Link::start(host.caller_address()).await?);
        stage.store_links.push(link);
        stage.hosts.push(host);
    }
    let host_names = stage.hosts.iter().map(|it| it.name.clone()).collect();
    let log_files: Vec<_> = stage.hosts.iter().map(|it| it.log.clone()).collect();
    let probed: Vec<_> = stage.hosts.iter().map(Host::readiness_address).collect();
    let addresses = stage.caller_links.iter().map(|it| it.address).collect();
    let upstream_zones = stage.engines.iter().map(|it| it.zone.clone()).collect();
    let mut conductor = Conductor::new(stage);
    conductor.open().await?;
    wait_ready(&probed).await?;
    let start = Instant::now();
    let end = start + options.time;
    let caller_keys: Vec<_> = match options.mutant {
        Some(Mutant::UnknownKey) => vec!["secret-key-none".to_owned()],
        _ => keys.iter().map(|it| it.1.clone()).collect(),
    };
    let population = Arc::new(Population {
        addresses,
        in_rotation: probed.iter().map(|_| AtomicBool::new(true)).collect(),
        keys: caller_keys.clone(),
        end,
        record: record.clone(),
    });
    for (index, address) in probed.into_iter().enumerate() {
        tokio::spawn(client::probe(population.clone(), index, address));
    }
    tokio::spawn(client::watch_stalls(population.clone()));
    let callers: Vec<_> = (0..caller_count(options.hosts))
        .map(|index| tokio::spawn(client::run(population.clone(), options.seed, index)))
        .collect();
    conductor.play(start, &faults, || callers.iter().all(JoinHandle::is_finished)).await?;
    for caller in callers {
        caller.await.map_err(io::Error::other)?;
    }
    conductor.close().await?;
    let logs = log_files.iter().enumerate().map(|(index, file)| match options.mutant {
        Some(Mutant::LostLog) if index == 0 => Ok(String::new()),
        _ => fs::read(file).map(|it| String::from_utf8_lossy(&it).into_owned()),
    });
    let tiny = options.mutant == Some(Mutant::TinyLimits);
    let evidence = Evidence {
        record: std::mem::take(&mut *lock(&record)),
        journal: std::mem::take(&mut *lock(&journal)),
        logs: logs.collect::<io::Result<_>>()?,
        host_names,
        upstream_zones,
        keys: caller_keys,
        bounds,
        max_memory: if tiny { 1 << 20 } else { MAX_MEMORY },
        max_files: if tiny { 1 } else { MAX_FILES },
    };
    let broken = check::judge(&evidence);
    let broken = broken.into_iter().map(|it| (it.at.saturating_duration_since(start), it));
    let broken: Vec<_> = broken.collect();
    let summary = summarize(options, &evidence, faults.len(), broken.len());
    Ok(Report { summary, broken, faults })
}

/// Waits until no other run of this process uses the hosts' addresses, and takes them.
pub async fn take_turn() -> tokio::sync::MutexGuard<'static, ()> {
    TURN.lock().await
}

/// Returns the program that was built beside the running one.
///
/// # Errors
///
/// Returns an error when there is none.
pub fn program_beside(current: &Path) -> io::Result<PathBuf> {
    let program = current.with_file_name("mothvale");
    match program.is_file() {
        true => Ok(program),
        false => Err(io::Error::other(format!("{}: not built", program.display()))),
    }
}

fn caller_count(hosts: usize) -> usize {
    (CALLERS_PER_HOST * hosts).min(MAX_CALLERS).max(hosts)
}

/// Returns an address of the loopback network that no other host of this process has; processes that
/// run at the same time differ by their process id.
pub fn host_ip(index: usize) -> IpAddr {
    let [_, _, high, low] = process::id().to_be_bytes();
    // 127.0.x.x is left to other programs.
    IpAddr::V4(Ipv4Addr::new(127, high % 127 + 1, low, index as u8 + 1))
}

async fn wait_ready(addresses: &[std::net::SocketAddr]) -> io::Result<()> {
    let deadline = Instant::now() + READY_TIMEOUT;
    for address in addresses {
        while !client::is_ready(*address).await {
            if Instant::now() > deadline {
                return Err(io::Error::other(format!("{address}: the host does not become ready")));
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}

fn summarize(options: &Options, evidence: &Evidence, faults: usize, broken: usize) -> Value {
    let record = &evidence.record;
    let count = |select: &dyn Fn(&Outcome) -> bool| {
        record.attempts.iter().filter(|it| select(&it.outcome)).count()
    };
    let usage = &record.usage;
    let resumed: Vec<_> = record.attempts.iter().filter(|it| it.resumes).collect();
    json!({
        "bench": "soak", "seed": options.seed, "hosts": options.hosts,
        "seconds": options.time.as_secs_f64(), "faults": faults,
        "requests": record.attempts.len(),
        "served": count(&|it| matches!(it, Outcome::Answered(200..=299))),
        "refused": count(&|it| matches!(it, Outcome::Answered(429 | 503))),
        "other_status": count(&|it| {
            matches!(it, Outcome::Answered(it) if *it >= 300 && *it != 429 && *it != 503)
        }),
        "cut": count(&|it| matches!(it, Outcome::Cut(_))),
        "timed_out": count(&|it| *it == Outcome::TimedOut),
        "left": count(&|it| *it == Outcome::Left),
        "runs": evidence.journal.arrivals.iter().filter(|it| it.ran).count(),
        "orders": evidence.journal.orders.len(),
        "exits": record.exits.len(), "kills": record.kills.len(),
        "max_memory_bytes": usage.iter().map(|it| it.0).max(),
        "max_files": usage.iter().map(|it| it.1).max(),
        "stalls": record.disturbances.iter().filter(|it| it.scope == Scope::Machine).count(),
        "longest_stall_ms": record.longest_stall.as_millis() as u64,
        "resumed": resumed.len(),
        "resumed_whole": resumed.iter().filter(|it| it.outcome == Outcome::Answered(200)).count(),
        "broken": broken,
    })
}
