//! Growth of memory, message sizes and processor time with the size of the fleet.
//!
//! Each measurement is taken at several sizes; a line fitted through the points gives the cost of
//! one more upstream, workspace or record.

use std::{
    error::Error,
    fmt::Write as _,
    fs,
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant as StdInstant},
};

use lexopt::Parser;
use mothvale_lib::{
    client::Client,
    clock::Instant,
    engine::{Endpoint, Engine as _, HttpEngine},
    generated::{
        peer::Alive,
        wire::{Load, Weights},
    },
    health_tracker::{Command, Event, HealthTracker},
    inflight::Counters,
    key::Hash,
    name::{Host, Model, Zone},
    peer::{Handler, Peers},
    record::Record,
    settings::{self, Identity, Settings},
    upstream_choice::{self, Query},
    view::View,
};
use mothvale_standin::{
    dev::{Authority, Options, loopback},
    engine::Engine,
    server,
};
use serde_json::json;

use crate::ALLOCATOR;

/// Calls over which the time of one call is averaged.
const TIMED_CALLS: u32 = 2000;
/// Network calls over which the size of one message is averaged.
const MESSAGE_CALLS: u64 = 200;
const UPSTREAM_COUNTS: [usize; 4] = [24, 100, 300, 930];
const WORKSPACE_COUNTS: [usize; 4] = [10, 500, 2000, 7400];
const RECORD_COUNTS: [usize; 3] = [500, 1000, 4000];

/// Runs `mothvale-bench slopes` with the arguments after its name.
pub fn run(mut args: Parser) -> Result<(), Box<dyn Error>> {
    if let Some(arg) = args.next()? {
        return Err(arg.unexpected().into());
    }
    measure_control()?;
    measure_settings()?;
    measure_records();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(measure_messages())
}

/// Measures the time of the control thread's events and of one routing decision, by number of
/// upstreams.
fn measure_control() -> Result<(), Box<dyn Error>> {
    let (mut tick_ns, mut report_ns, mut pick_ns) = (Vec::new(), Vec::new(), Vec::new());
    for count in UPSTREAM_COUNTS {
        let settings = parse_settings(count, 10)?;
        let others: Vec<_> = (1..350).map(|it| Host::new(format!("host{it}"))).collect();
        let mut tracker = HealthTracker::new(&settings.catalog, &settings.host, &others);
        let view = report_all_loads(&mut tracker, count);
        tick_ns.push((count, mean_ns(|| drop(tracker.handle(Instant::default(), Event::Tick)))));
        let mut index = 0;
        report_ns.push((
            count,
            mean_ns(|| {
                index = (index + 1) % count;
                drop(tracker.handle(Instant::default(), load_report_event(index)));
            }),
        ));
        let counters = Counters::new(count);
        let (model, zone) = (Model::new("demo"), Zone::new("z0"));
        let query =
            Query { model: &model, prefix_key: 7, prompt_tokens: 500, tried: &[], zone: &zone };
        pick_ns.push((
            count,
            mean_ns(|| {
                let _ =
                    black_box(upstream_choice::pick(&view, &counters, &query, Instant::default()));
            }),
        ));
    }
    print_line("control_tick", "ns per upstream", &tick_ns);
    print_line("control_report", "ns per upstream", &report_ns);
    print_line("route_pick", "ns per candidate", &pick_ns);
    Ok(())
}

/// Feeds a load report of each upstream to the core, and returns the last view that it published.
fn report_all_loads(tracker: &mut HealthTracker, count: usize) -> Arc<View> {
    let mut view = Arc::default();
    for index in 0..count {
        for command in tracker.handle(Instant::default(), load_report_event(index)) {
            if let Command::Publish(published) = command {
                view = published;
            }
        }
    }
    view
}

/// Returns the event of a load report from the upstream at `index`.
fn load_report_event(index: usize) -> Event {
    let weights = Weights { model: "demo".into(), version: "v1".into() };
    let load = Load {
        boot: "b0a1c2d3e4f50617".into(),
        cold: false,
        running: 3,
        waiting: 1,
        slots: 16,
        cached_pieces: 100,
        event_seq: 1000,
        models: vec![weights],
    };
    Event::Report { index, requested_at: Instant::default(), own_in_flight: 0, result: Ok(load) }
}

/// Measures memory and parsing time of the settings, by number of workspaces.
fn measure_settings() -> Result<(), Box<dyn Error>> {
    let (mut memory_bytes, mut parse_ns) = (Vec::new(), Vec::new());
    // An untimed first parse, so that one-time set-up such as the schema validator is not measured.
    parse_settings(24, 10)?;
    for count in WORKSPACE_COUNTS {
        let text = settings_yaml(24, count);
        let usage_before = ALLOCATOR.current_usage();
        let start = StdInstant::now();
        let settings = Settings::parse("bench.yaml", &text)?;
        parse_ns.push((count, start.elapsed().as_nanos() as f64));
        memory_bytes.push((count, ALLOCATOR.current_usage().saturating_sub(usage_before) as f64));
        drop(settings);
    }
    print_line("settings_memory", "bytes per workspace", &memory_bytes);
    print_line("settings_reading", "ns per workspace", &parse_ns);
    Ok(())
}

/// Measures memory of decision records, by their number.
fn measure_records() {
    let mut points = Vec::new();
    for count in RECORD_COUNTS {
        let usage_before = ALLOCATOR.current_usage();
        let records: Vec<_> = (0..count).map(|_| Arc::new(sample_record())).collect();
        points.push((count, ALLOCATOR.current_usage().saturating_sub(usage_before) as f64));
        drop(records);
    }
    print_line("record_memory", "bytes per record", &points);
}

fn sample_record() -> Record {
    let mut record = Record {
        request: format!("host1-{}", "0".repeat(32)).into(),
        host: "host1".to_owned().into(),
        workspace: "workspace-1".to_owned().into(),
        ..Record::default()
    };
    record.attempts.push(Default::default());
    record
}

/// Measures bytes on the wire, in both directions, and time of one load report and of one probe.
async fn measure_messages() -> Result<(), Box<dyn Error>> {
    let engine = Engine::new(Options::default().engine);
    let engine_server = server::start(loopback(), engine).await?;
    for http2 in [false, true] {
        let client = HttpEngine::new(Client::pooled());
        let endpoint = Endpoint { address: engine_server.address, http2 };
        client.load_report(endpoint).await?;
        let (bytes_before, start) = (loopback_bytes()?, StdInstant::now());
        for _ in 0..MESSAGE_CALLS {
            client.load_report(endpoint).await?;
        }
        print_message_cost(
            if http2 { "load_report_http2" } else { "load_report" },
            bytes_before,
            start,
        )?;
    }
    let authority = Authority::new()?;
    let probed = bind_peers(&authority, "hosta", Vec::new())?;
    let peer = settings::Peer {
        name: Host::new("hosta"),
        zone: Zone::new("z0"),
        address: probed.address()?,
    };
    let prober = bind_peers(&authority, "hostb", vec![peer])?;
    prober.probe("hosta").await.ok_or("the probe failed")?;
    let (bytes_before, start) = (loopback_bytes()?, StdInstant::now());
    for _ in 0..MESSAGE_CALLS {
        prober.probe("hosta").await.ok_or("the probe failed")?;
    }
    print_message_cost("probe", bytes_before, start)
}

/// Prints the mean cost of a message from the counter and the time before the first call.
fn print_message_cost(
    what: &str,
    bytes_before: u64,
    start: StdInstant,
) -> Result<(), Box<dyn Error>> {
    let bytes = (loopback_bytes()? - bytes_before) / MESSAGE_CALLS;
    let elapsed = start.elapsed().as_micros() as u64 / MESSAGE_CALLS;
    println!(
        "{}",
        json!({"bench": "slopes", "what": what, "calls": MESSAGE_CALLS, "bytes_per_call": bytes,
            "elapsed_us_per_call": elapsed})
    );
    Ok(())
}

/// Answers probes with a fixed state.
struct FixedHandler;

impl Handler for FixedHandler {
    fn alive(&self) -> Alive {
        Alive { host: "hosta".into(), boot: "0".repeat(32).into(), leaving: false }
    }

    fn record(&self, _: &str) -> Option<String> {
        None
    }
}

/// Starts the peer endpoint of a host with a certificate of its own.
fn bind_peers(
    authority: &Authority,
    name: &str,
    hosts: Vec<settings::Peer>,
) -> Result<Peers, Box<dyn Error>> {
    let identity = authority.issue(name)?;
    let identity = Identity { certificate: identity.certificate.into(), key: identity.key.into() };
    let config = settings::Peers { authority: authority.pem().into(), identity, hosts };
    Ok(Peers::bind(&Host::new(name.to_owned()), loopback(), &config, Arc::new(FixedHandler))?)
}

/// Returns the number of bytes that the loopback device has received, link headers included.
fn loopback_bytes() -> Result<u64, Box<dyn Error>> {
    let text = fs::read_to_string("/proc/net/dev")?;
    let line = text
        .lines()
        .find_map(|it| it.trim().strip_prefix("lo:"))
        .ok_or("no loopback device in /proc/net/dev")?;
    Ok(line.split_whitespace().next().ok_or("no byte count for the loopback device")?.parse()?)
}

fn parse_settings(upstreams: usize, workspaces: usize) -> Result<Settings, Box<dyn Error>> {
    Ok(Settings::parse("bench.yaml", &settings_yaml(upstreams, workspaces))?)
}

/// Returns settings with this many upstreams and workspaces, as YAML text.
fn settings_yaml(upstreams: usize, workspaces: usize) -> String {
    let mut text = String::from(
        "host: {name: host0, zone: z0}\n\
         listen: {public: \"127.0.0.1:1\", admin: \"127.0.0.1:2\"}\n\
         table: {address: \"127.0.0.1:3\"}\n\
         models: [{name: demo}]\n\
         classes: [{name: paid, priority: 1}]\n\
         workspaces:\n",
    );
    for index in 0..workspaces {
        let hash = Hash::of(&format!("key{index}"));
        let _ = writeln!(
            text,
            "- {{name: w{index}, models: [demo], keys: [{{sha256: \"{hash}\", class: paid}}]}}"
        );
    }
    text.push_str("upstreams:\n");
    for index in 0..upstreams {
        let _ = writeln!(
            text,
            "- {{name: engine{index}, zone: z{}, address: \"10.0.0.1:{}\", models: [demo]}}",
            index % 4,
            1 + index,
        );
    }
    text
}

/// Returns the mean time of a call in nanoseconds, after untimed warm-up calls.
fn mean_ns<F>(mut work: F) -> f64
where
    F: FnMut(),
{
    for _ in 0..TIMED_CALLS / 10 {
        work();
    }
    let start = StdInstant::now();
    for _ in 0..TIMED_CALLS {
        work();
    }
    Duration::as_nanos(&start.elapsed()) as f64 / f64::from(TIMED_CALLS)
}

/// Prints the points and the line fitted through them.
fn print_line(what: &str, unit: &str, points: &[(usize, f64)]) {
    let (slope, intercept) = fit_line(points);
    let points: Vec<_> = points.iter().map(|(at, value)| json!([at, value.round()])).collect();
    println!(
        "{}",
        json!({"bench": "slopes", "what": what, "points": points, "slope": slope, "base": intercept,
            "unit": unit})
    );
}

/// Fits a line by least squares; returns its slope and its value at 0.
fn fit_line(points: &[(usize, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|it| it.0 as f64).sum::<f64>() / count;
    let mean_y = points.iter().map(|it| it.1).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|it| (it.0 as f64 - mean_x) * (it.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|it| (it.0 as f64 - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (slope, mean_y - slope * mean_x)
}
