//! How state, messages and processor time grow with the size of the fleet.

use std::{
    error::Error,
    fmt::Write as _,
    fs,
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant as Watch},
};

use lexopt::Parser;
use mothvale_lib::{
    client::Client,
    clock::Instant,
    core::{Command, Core, Event},
    engine::{Endpoint, Engine as _, HttpEngine},
    generated::{
        peer::Alive,
        wire::{Load, Weights},
    },
    inflight::Counters,
    key::Hash,
    name::{Host, Model, Zone},
    peer::{Handler, Peers},
    record::Record,
    route::{self, Query},
    settings::{self, Identity, Settings},
    view::View,
};
use mothvale_standin::{
    dev::{Authority, Options, loopback},
    engine::Engine,
    server,
};
use serde_json::json;

use crate::ALLOCATOR;

const ROUNDS: u32 = 2000;
const CALLS: u64 = 200;
const UPSTREAMS: [usize; 4] = [24, 100, 300, 930];
const WORKSPACES: [usize; 4] = [10, 500, 2000, 7400];
const RECORDS: [usize; 3] = [500, 1000, 4000];

/// Runs the command.
pub fn run(mut args: Parser) -> Result<(), Box<dyn Error>> {
    if let Some(arg) = args.next()? {
        return Err(arg.unexpected().into());
    }
    control()?;
    workspaces()?;
    records();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(messages())
}

/// Processor time of the control thread's events and of one choice, by upstreams.
fn control() -> Result<(), Box<dyn Error>> {
    let (mut tick, mut report, mut pick) = (Vec::new(), Vec::new(), Vec::new());
    for count in UPSTREAMS {
        let settings = parse(count, 10)?;
        let others: Vec<_> = (1..350).map(|it| Host::new(format!("host{it}"))).collect();
        let mut core = Core::new(&settings.catalog, &settings.host, &others);
        let view = warm(&mut core, count);
        tick.push((count, time(|| drop(core.handle(Instant::default(), Event::Tick)))));
        let mut index = 0;
        report.push((
            count,
            time(|| {
                index = (index + 1) % count;
                drop(core.handle(Instant::default(), loaded(index)));
            }),
        ));
        let counters = Counters::new(count);
        let (model, zone) = (Model::new("demo"), Zone::new("z0"));
        let query =
            Query { model: &model, affinity_key: 7, prompt_tokens: 500, tried: &[], zone: &zone };
        pick.push((
            count,
            time(|| {
                let _ = black_box(route::pick(&view, &counters, &query, Instant::default()));
            }),
        ));
    }
    line("control_tick", "ns per upstream", &tick);
    line("control_report", "ns per upstream", &report);
    line("route_pick", "ns per candidate", &pick);
    Ok(())
}

fn warm(core: &mut Core, count: usize) -> Arc<View> {
    let mut view = Arc::default();
    for index in 0..count {
        for command in core.handle(Instant::default(), loaded(index)) {
            if let Command::Publish(published) = command {
                view = published;
            }
        }
    }
    view
}

fn loaded(index: usize) -> Event {
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

/// Memory and reading time of the settings, by workspaces.
fn workspaces() -> Result<(), Box<dyn Error>> {
    let (mut memory, mut reading) = (Vec::new(), Vec::new());
    parse(24, 10)?;
    for count in WORKSPACES {
        let text = yaml(24, count);
        let before = ALLOCATOR.current_usage();
        let start = Watch::now();
        let settings = Settings::parse("bench.yaml", &text)?;
        reading.push((count, start.elapsed().as_nanos() as f64));
        memory.push((count, ALLOCATOR.current_usage().saturating_sub(before) as f64));
        drop(settings);
    }
    line("settings_memory", "bytes per workspace", &memory);
    line("settings_reading", "ns per workspace", &reading);
    Ok(())
}

/// Memory of decision records.
fn records() {
    let mut points = Vec::new();
    for count in RECORDS {
        let before = ALLOCATOR.current_usage();
        let records: Vec<_> = (0..count).map(|_| Arc::new(record())).collect();
        points.push((count, ALLOCATOR.current_usage().saturating_sub(before) as f64));
        drop(records);
    }
    line("record_memory", "bytes per record", &points);
}

fn record() -> Record {
    let mut record = Record {
        request: format!("host1-{}", "0".repeat(32)).into(),
        host: "host1".to_owned().into(),
        workspace: "workspace-1".to_owned().into(),
        ..Record::default()
    };
    record.attempts.push(Default::default());
    record
}

/// Bytes on the wire of one load report and of one probe, both directions.
async fn messages() -> Result<(), Box<dyn Error>> {
    let engine = Engine::new(Options::default().engine);
    let running = server::start(loopback(), engine).await?;
    for http2 in [false, true] {
        let client = HttpEngine::new(Client::pooled());
        let to = Endpoint { address: running.address, http2 };
        client.load_report(to).await?;
        let (before, start) = (loopback_bytes()?, Watch::now());
        for _ in 0..CALLS {
            client.load_report(to).await?;
        }
        message(if http2 { "load_report_http2" } else { "load_report" }, before, start)?;
    }
    let authority = Authority::new()?;
    let answering = bind(&authority, "hosta", Vec::new())?;
    let peer = settings::Peer {
        name: Host::new("hosta"),
        zone: Zone::new("z0"),
        address: answering.address()?,
    };
    let asking = bind(&authority, "hostb", vec![peer])?;
    asking.probe("hosta").await.ok_or("the probe failed")?;
    let (before, start) = (loopback_bytes()?, Watch::now());
    for _ in 0..CALLS {
        asking.probe("hosta").await.ok_or("the probe failed")?;
    }
    message("probe", before, start)
}

fn message(what: &str, before: u64, start: Watch) -> Result<(), Box<dyn Error>> {
    let bytes = (loopback_bytes()? - before) / CALLS;
    let elapsed = start.elapsed().as_micros() as u64 / CALLS;
    println!(
        "{}",
        json!({"bench": "slopes", "what": what, "calls": CALLS, "bytes_per_call": bytes,
            "elapsed_us_per_call": elapsed})
    );
    Ok(())
}

struct Me;

impl Handler for Me {
    fn alive(&self) -> Alive {
        Alive { host: "hosta".into(), boot: "0".repeat(32).into(), leaving: false }
    }

    fn record(&self, _: &str) -> Option<String> {
        None
    }
}

fn bind(
    authority: &Authority,
    name: &str,
    hosts: Vec<settings::Peer>,
) -> Result<Peers, Box<dyn Error>> {
    let identity = authority.issue(name)?;
    let identity = Identity { certificate: identity.certificate.into(), key: identity.key.into() };
    let config = settings::Peers { authority: authority.pem().into(), identity, hosts };
    Ok(Peers::bind(&Host::new(name.to_owned()), loopback(), &config, Arc::new(Me))?)
}

/// Returns the bytes that the loopback device has received, link headers included.
fn loopback_bytes() -> Result<u64, Box<dyn Error>> {
    let text = fs::read_to_string("/proc/net/dev")?;
    let line = text.lines().find_map(|it| it.trim().strip_prefix("lo:")).ok_or("no loopback")?;
    Ok(line.split_whitespace().next().ok_or("no figure")?.parse()?)
}

fn parse(upstreams: usize, workspaces: usize) -> Result<Settings, Box<dyn Error>> {
    Ok(Settings::parse("bench.yaml", &yaml(upstreams, workspaces))?)
}

fn yaml(upstreams: usize, workspaces: usize) -> String {
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

fn time<F>(mut work: F) -> f64
where
    F: FnMut(),
{
    for _ in 0..ROUNDS / 10 {
        work();
    }
    let start = Watch::now();
    for _ in 0..ROUNDS {
        work();
    }
    Duration::as_nanos(&start.elapsed()) as f64 / f64::from(ROUNDS)
}

fn line(what: &str, unit: &str, points: &[(usize, f64)]) {
    let (slope, base) = fit(points);
    let points: Vec<_> = points.iter().map(|(at, value)| json!([at, value.round()])).collect();
    println!(
        "{}",
        json!({"bench": "slopes", "what": what, "points": points, "slope": slope, "base": base,
            "unit": unit})
    );
}

/// Fits a line by least squares; returns its slope and its value at 0.
fn fit(points: &[(usize, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|it| it.0 as f64).sum::<f64>() / count;
    let mean_y = points.iter().map(|it| it.1).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|it| (it.0 as f64 - mean_x) * (it.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|it| (it.0 as f64 - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (slope, mean_y - slope * mean_x)
}
