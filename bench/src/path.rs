//! Latency, processor time and memory that one host adds between engine and caller.
//!
//! The host runs on a runtime of its own, so that its threads' processor time can be told apart
//! from that of the stand-ins and the load generator, which share another one.

use std::{error::Error, net::SocketAddr, time::Duration};

use hdrhistogram::Histogram;
use lexopt::{Arg::Long, Parser, ValueExt};
use mothvale_lib::host::{Clients, RunningHost};
use mothvale_standin::{
    dev::{DevHost, Options, Standins},
    engine::Config,
};
use serde_json::json;
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::{Builder, Runtime},
};

use crate::{
    load::{self, Profile, Stats, Target},
    process,
};

/// Thread name of the host's runtime.
const HOST_THREAD_NAME: &str = "host";
const WARM_UP: Duration = Duration::from_secs(2);
/// Time between tokens of a stream whose latency is measured.
const TOKEN_INTERVAL: Duration = Duration::from_millis(20);
/// Time between tokens of held streams, so long that they stay idle after the first token.
const HELD_TOKEN_INTERVAL: Duration = Duration::from_secs(600);
/// Wait for memory use to settle after streams are opened or closed.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Runs `mothvale-bench path` with the arguments after its name.
pub fn run(mut args: Parser) -> Result<(), Box<dyn Error>> {
    let mut profile =
        Profile { rate: 400.0, tokens: 50, duration: Duration::from_secs(15), seed: 1 };
    let mut streams = 1000;
    let mut threads = ThreadCounts { host: 1, outside: 2 };
    let mut http2 = true;
    while let Some(arg) = args.next()? {
        match arg {
            Long("rate") => profile.rate = args.value()?.parse()?,
            Long("tokens") => profile.tokens = args.value()?.parse()?,
            Long("seconds") => profile.duration = Duration::from_secs(args.value()?.parse()?),
            Long("seed") => profile.seed = args.value()?.parse()?,
            Long("host-threads") => threads.host = args.value()?.parse()?,
            Long("outside-threads") => threads.outside = args.value()?.parse()?,
            Long("http1") => http2 = false,
            Long("streams") => streams = args.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    let load_runtime = build_runtime("outside", threads.outside)?;
    measure_latency(&load_runtime, threads, http2, profile)?;
    measure_memory(&load_runtime, threads, http2, streams)
}

/// Numbers of worker threads of the two runtimes.
#[derive(Clone, Copy, Debug)]
struct ThreadCounts {
    host: usize,
    /// Threads of the stand-ins and the load generator.
    outside: usize,
}

/// Memory of the process while streams are held open.
struct MemorySample {
    open_streams: u64,
    resident_bytes: u64,
    /// Heap memory in use.
    live_bytes: u64,
}

/// A host on a runtime of its own, with its stand-ins on another.
struct Setup {
    standins: Standins,
    host: DevHost,
    host_runtime: Runtime,
}

impl Setup {
    /// Starts the stand-ins and the host, and waits until the host is ready.
    fn start(
        load_runtime: &Runtime,
        threads: ThreadCounts,
        http2: bool,
        engine: Config,
    ) -> Result<Self, Box<dyn Error>> {
        let options = Options { hosts: 1, engines: 1, engine, http2, ..Options::default() };
        let standins = load_runtime.block_on(Standins::start(&options))?;
        let mut settings = standins.settings(&options)?;
        let settings = settings.pop().ok_or("no settings")?;
        let host_runtime = build_runtime(HOST_THREAD_NAME, threads.host)?;
        let host = host_runtime.block_on(async {
            let host = RunningHost::start(settings.clone(), Clients::http(&settings)).await?;
            while !host.is_ready() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            Ok::<_, Box<dyn Error>>(host)
        })?;
        Ok(Setup { standins, host, host_runtime })
    }

    /// Returns the address of the engine.
    fn engine(&self) -> SocketAddr {
        self.standins.engines[0].address
    }

    fn stop(self) {
        self.host_runtime.block_on(self.host.shut_down());
        self.host_runtime.shutdown_background();
    }
}

/// Measures streams taken from the engine directly, through a copying relay and through the host,
/// and prints the differences.
fn measure_latency(
    load_runtime: &Runtime,
    threads: ThreadCounts,
    http2: bool,
    profile: Profile,
) -> Result<(), Box<dyn Error>> {
    let setup = Setup::start(load_runtime, threads, http2, engine_config(TOKEN_INTERVAL))?;
    let relay = setup.host_runtime.block_on(start_copying_relay(setup.engine()))?;
    let (direct_target, host_target) =
        (Target::Engine(setup.engine()), Target::Host(setup.host.public_address()));
    let relay_target = Target::Engine(relay);
    let warm_up = Profile { duration: WARM_UP, ..profile };
    load_runtime.block_on(load::run(direct_target, warm_up));
    let direct = load_runtime.block_on(load::run(direct_target, profile));
    load_runtime.block_on(load::run(relay_target, warm_up));
    let cpu_before = process::thread_cpu_time(HOST_THREAD_NAME)?;
    let through_relay = load_runtime.block_on(load::run(relay_target, profile));
    let relay_cpu = process::thread_cpu_time(HOST_THREAD_NAME)? - cpu_before;
    load_runtime.block_on(load::run(host_target, warm_up));
    let cpu_before = process::thread_cpu_time(HOST_THREAD_NAME)?;
    let control_cpu_before = process::thread_cpu_time("control")?;
    let through_host = load_runtime.block_on(load::run(host_target, profile));
    let host_cpu = process::thread_cpu_time(HOST_THREAD_NAME)? - cpu_before;
    let control_cpu = process::thread_cpu_time("control")? - control_cpu_before;
    print_stats("direct", profile, &direct);
    print_stats("through_copying_relay", profile, &through_relay);
    print_stats("through_host", profile, &through_host);
    let tokens = through_host.token_delay_us.len() as f64;
    println!(
        "{}",
        json!({
            "bench": "path",
            "what": "added",
            "http2": http2,
            "copying_relay_first_us": added_latency(&direct.first_token_us, &through_relay.first_token_us),
            "copying_relay_token_us": added_latency(&direct.token_delay_us, &through_relay.token_delay_us),
            "first_us": added_latency(&direct.first_token_us, &through_host.first_token_us),
            "token_us": added_latency(&direct.token_delay_us, &through_host.token_delay_us),
            "copying_relay_cpu_ms_per_1000_tokens": relay_cpu.as_secs_f64() * 1e6 / tokens,
            "host_cpu_ms_per_1000_tokens": host_cpu.as_secs_f64() * 1e6 / tokens,
            "control_cpu_percent": control_cpu.as_secs_f64() * 100.0 / profile.duration.as_secs_f64(),
        })
    );
    setup.stop();
    Ok(())
}

/// Starts a relay that only copies bytes, on the host's threads. It shows how much any process in
/// between adds on this machine. Returns the relay's address.
async fn start_copying_relay(engine: SocketAddr) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut caller_stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut engine_stream = TcpStream::connect(engine).await?;
                caller_stream.set_nodelay(true)?;
                engine_stream.set_nodelay(true)?;
                tokio::io::copy_bidirectional(&mut caller_stream, &mut engine_stream).await
            });
        }
    });
    Ok(address)
}

/// Measures memory while streams are held through the host and directly, and prints the difference
/// for each stream.
fn measure_memory(
    load_runtime: &Runtime,
    threads: ThreadCounts,
    http2: bool,
    streams: u64,
) -> Result<(), Box<dyn Error>> {
    let setup = Setup::start(load_runtime, threads, http2, engine_config(HELD_TOKEN_INTERVAL))?;
    let mut samples = Vec::new();
    // Callers and engines use the same HTTP version, so that the difference between the rounds is
    // due to the host only. The first round sets up what the later ones reuse, such as the
    // host's connections to the engine, and is not evaluated.
    let (host, direct) = match http2 {
        true => {
            (Target::Http2Host(setup.host.public_address()), Target::Http2Engine(setup.engine()))
        }
        false => (Target::Host(setup.host.public_address()), Target::Engine(setup.engine())),
    };
    for target in [host, direct, host] {
        let held = load_runtime.block_on(load::hold_streams(target, streams));
        std::thread::sleep(SETTLE_TIME);
        samples.push(MemorySample {
            open_streams: held.len() as u64,
            resident_bytes: process::resident_bytes()?,
            live_bytes: crate::ALLOCATOR.current_usage() as u64,
        });
        drop(held);
        std::thread::sleep(SETTLE_TIME);
    }
    let (direct, through) = (&samples[1], &samples[2]);
    println!(
        "{}",
        json!({
            "bench": "path",
            "what": "memory",
            "http2": http2,
            "streams_direct": direct.open_streams,
            "streams_through_host": through.open_streams,
            "live_bytes_per_open_stream": through.live_bytes.saturating_sub(direct.live_bytes) / streams,
            "resident_bytes_per_open_stream":
                through.resident_bytes.saturating_sub(direct.resident_bytes) / streams,
        })
    );
    setup.stop();
    Ok(())
}

/// Returns an engine configuration with so many slots and so fast a prefill that no stream waits
/// for them.
fn engine_config(token_time: Duration) -> Config {
    Config {
        slots: 100_000,
        prefill_tokens_per_second: 1e9,
        token_time,
        timestamp_tokens: true,
        ..Options::default().engine
    }
}

fn build_runtime(name: &str, threads: usize) -> std::io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(threads).thread_name(name).enable_all().build()
}

fn print_stats(what: &str, profile: Profile, stats: &Stats) {
    println!(
        "{}",
        json!({
            "bench": "path",
            "what": what,
            "rate": profile.rate,
            "tokens": profile.tokens,
            "seconds": profile.duration.as_secs(),
            "seed": profile.seed,
            "whole": stats.completed,
            "failed": stats.failed,
            "first_us": quantiles(&stats.first_token_us),
            "token_us": quantiles(&stats.token_delay_us),
        })
    );
}

fn quantiles(histogram: &Histogram<u64>) -> serde_json::Value {
    json!({
        "p50": histogram.value_at_quantile(0.50),
        "p95": histogram.value_at_quantile(0.95),
        "p99": histogram.value_at_quantile(0.99),
    })
}

/// Returns the differences of the quantiles, in microseconds.
fn added_latency(direct: &Histogram<u64>, through: &Histogram<u64>) -> serde_json::Value {
    let difference = |quantile| {
        through.value_at_quantile(quantile) as i64 - direct.value_at_quantile(quantile) as i64
    };
    json!({"p50": difference(0.50), "p95": difference(0.95), "p99": difference(0.99)})
}
