//! What one host adds to a token's way from the engine to the caller.

use std::{error::Error, net::SocketAddr, time::Duration};

use hdrhistogram::Histogram;
use lexopt::{Arg::Long, Parser, ValueExt};
use mothvale_lib::host::{Clients, Host};
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

const HOST_THREADS: &str = "host";
const WARM_UP: Duration = Duration::from_secs(2);
const TOKEN_TIME: Duration = Duration::from_millis(20);
/// Time between tokens of held streams, so long that they only wait.
const HELD_TOKEN_TIME: Duration = Duration::from_secs(600);
const SETTLE: Duration = Duration::from_millis(500);

/// Runs the command.
pub fn run(mut args: Parser) -> Result<(), Box<dyn Error>> {
    let mut profile =
        Profile { rate: 400.0, tokens: 50, duration: Duration::from_secs(15), seed: 1 };
    let mut streams = 1000;
    let mut threads = Threads { host: 1, outside: 2 };
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
    let outside = runtime("outside", threads.outside)?;
    latency(&outside, threads, http2, profile)?;
    memory(&outside, threads, http2, streams)
}

/// Threads of the two runtimes.
#[derive(Clone, Copy, Debug)]
struct Threads {
    host: usize,
    outside: usize,
}

/// Memory while streams are held.
struct Peak {
    streams: u64,
    resident: u64,
    live: u64,
}

/// A host on a runtime of its own, with its stand-ins on another.
struct Bench {
    standins: Standins,
    host: DevHost,
    inside: Runtime,
}

impl Bench {
    fn start(
        outside: &Runtime,
        threads: Threads,
        http2: bool,
        engine: Config,
    ) -> Result<Self, Box<dyn Error>> {
        let options = Options { hosts: 1, engines: 1, engine, http2, ..Options::default() };
        let standins = outside.block_on(Standins::start(&options))?;
        let mut settings = standins.settings(&options)?;
        let settings = settings.pop().ok_or("no settings")?;
        let inside = runtime(HOST_THREADS, threads.host)?;
        let host = inside.block_on(async {
            let host = Host::start(settings.clone(), Clients::http(&settings)).await?;
            while !host.is_ready() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            Ok::<_, Box<dyn Error>>(host)
        })?;
        Ok(Bench { standins, host, inside })
    }

    fn engine(&self) -> SocketAddr {
        self.standins.engines[0].address
    }

    fn stop(self) {
        self.inside.block_on(self.host.shut_down());
        self.inside.shutdown_background();
    }
}

fn latency(
    outside: &Runtime,
    threads: Threads,
    http2: bool,
    profile: Profile,
) -> Result<(), Box<dyn Error>> {
    let bench = Bench::start(outside, threads, http2, engine(TOKEN_TIME))?;
    let relay = bench.inside.block_on(copying_relay(bench.engine()))?;
    let (direct, host) =
        (Target::Engine(bench.engine()), Target::Host(bench.host.public_address()));
    let copied = Target::Engine(relay);
    let warm_up = Profile { duration: WARM_UP, ..profile };
    outside.block_on(load::run(direct, warm_up));
    let direct = outside.block_on(load::run(direct, profile));
    outside.block_on(load::run(copied, warm_up));
    let before = process::thread_cpu_time(HOST_THREADS)?;
    let copied = outside.block_on(load::run(copied, profile));
    let copying = process::thread_cpu_time(HOST_THREADS)? - before;
    outside.block_on(load::run(host, warm_up));
    let before = process::thread_cpu_time(HOST_THREADS)?;
    let control = process::thread_cpu_time("control")?;
    let through = outside.block_on(load::run(host, profile));
    let traffic = process::thread_cpu_time(HOST_THREADS)? - before;
    let control = process::thread_cpu_time("control")? - control;
    line("direct", profile, &direct);
    line("through_copying_relay", profile, &copied);
    line("through_host", profile, &through);
    let tokens = through.token_delay_us.len() as f64;
    println!(
        "{}",
        json!({
            "bench": "path",
            "what": "added",
            "http2": http2,
            "copying_relay_first_us": added(&direct.first_token_us, &copied.first_token_us),
            "copying_relay_token_us": added(&direct.token_delay_us, &copied.token_delay_us),
            "first_us": added(&direct.first_token_us, &through.first_token_us),
            "token_us": added(&direct.token_delay_us, &through.token_delay_us),
            "copying_relay_cpu_ms_per_1000_tokens": copying.as_secs_f64() * 1e6 / tokens,
            "host_cpu_ms_per_1000_tokens": traffic.as_secs_f64() * 1e6 / tokens,
            "control_cpu_percent": control.as_secs_f64() * 100.0 / profile.duration.as_secs_f64(),
        })
    );
    bench.stop();
    Ok(())
}

/// Starts a relay that only copies bytes, on the host's threads: what any process in
/// between adds on this machine.
async fn copying_relay(to: SocketAddr) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut from, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut to = TcpStream::connect(to).await?;
                from.set_nodelay(true)?;
                to.set_nodelay(true)?;
                tokio::io::copy_bidirectional(&mut from, &mut to).await
            });
        }
    });
    Ok(address)
}

fn memory(
    outside: &Runtime,
    threads: Threads,
    http2: bool,
    streams: u64,
) -> Result<(), Box<dyn Error>> {
    let bench = Bench::start(outside, threads, http2, engine(HELD_TOKEN_TIME))?;
    let mut peaks = Vec::new();
    // Callers and engines speak one version of HTTP, so that the difference between the
    // rounds is the host's alone. The first round opens what later ones reuse.
    let (host, direct) = match http2 {
        true => {
            (Target::Http2Host(bench.host.public_address()), Target::Http2Engine(bench.engine()))
        }
        false => (Target::Host(bench.host.public_address()), Target::Engine(bench.engine())),
    };
    for target in [host, direct, host] {
        let held = outside.block_on(load::hold_streams(target, streams));
        std::thread::sleep(SETTLE);
        peaks.push(Peak {
            streams: held.len() as u64,
            resident: process::resident_bytes()?,
            live: crate::ALLOCATOR.current_usage() as u64,
        });
        drop(held);
        std::thread::sleep(SETTLE);
    }
    let (direct, through) = (&peaks[1], &peaks[2]);
    println!(
        "{}",
        json!({
            "bench": "path",
            "what": "memory",
            "http2": http2,
            "streams_direct": direct.streams,
            "streams_through_host": through.streams,
            "live_bytes_per_open_stream": through.live.saturating_sub(direct.live) / streams,
            "resident_bytes_per_open_stream":
                through.resident.saturating_sub(direct.resident) / streams,
        })
    );
    bench.stop();
    Ok(())
}

fn engine(token_time: Duration) -> Config {
    Config {
        slots: 100_000,
        prefill_tokens_per_second: 1e9,
        token_time,
        timestamp_tokens: true,
        ..Options::default().engine
    }
}

fn runtime(name: &str, threads: usize) -> std::io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(threads).thread_name(name).enable_all().build()
}

fn line(what: &str, profile: Profile, stats: &Stats) {
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

fn added(direct: &Histogram<u64>, through: &Histogram<u64>) -> serde_json::Value {
    let added = |quantile| {
        through.value_at_quantile(quantile) as i64 - direct.value_at_quantile(quantile) as i64
    };
    json!({"p50": added(0.50), "p95": added(0.95), "p99": added(0.99)})
}
