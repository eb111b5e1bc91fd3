//! Open-loop load: streams start at random times from a seed, whether or not earlier ones have
//! ended.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use http::Method;
use mothvale_lib::{
    client::{Call, Client},
    generated::{
        openai::Answer,
        wire::{Frame, Generate},
    },
};
use mothvale_standin::{dev::KEYS, engine::epoch};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::json;
use tokio::{sync::Mutex, task::JoinSet};
use volo_http::{client::sse::SseReader, response::Response};

const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const PROMPT: &str = "Which beds are free tonight, and for whom are they held? ";
/// Tokens requested for a held stream; the engine's delay keeps the second from arriving.
const HELD_TOKENS: u32 = 2;
/// Maximum latency that the histograms hold, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Where streams are requested, and how.
#[derive(Clone, Copy, Debug)]
pub enum Target {
    /// From the engine itself, over HTTP/1.
    Engine(SocketAddr),
    /// From the engine itself, over HTTP/2.
    Http2Engine(SocketAddr),
    /// Through a host, over HTTP/1.
    Host(SocketAddr),
    /// Through a host, over HTTP/2.
    Http2Host(SocketAddr),
}

/// Shape of a load.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Mean number of streams started per second.
    pub rate: f64,
    /// Tokens of each stream.
    pub tokens: u32,
    /// Time during which streams are started.
    pub duration: Duration,
    /// Seed of the random start times.
    pub seed: u64,
}

/// Measurements of one load.
#[derive(Debug)]
pub struct Stats {
    /// Time from sending a request to its first token, in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Time from the engine's creation of a token to its arrival, in microseconds.
    pub token_delay_us: Histogram<u64>,
    /// Streams that delivered all their tokens.
    pub completed: u64,
    /// Streams that did not.
    pub failed: u64,
}

impl Stats {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid");
        Stats { first_token_us: histogram(), token_delay_us: histogram(), completed: 0, failed: 0 }
    }
}

/// Runs a load and waits until all its streams have ended.
///
/// The gaps between starts are exponentially distributed with mean `1 / rate`.
pub async fn run(target: Target, profile: Profile) -> Stats {
    let client = Client::pooled();
    let stats = Arc::new(Mutex::new(Stats::new()));
    let mut rng = Pcg64::seed_from_u64(profile.seed);
    let mut streams = JoinSet::new();
    let start = tokio::time::Instant::now();
    let mut start_s = 0.0;
    let mut number = 0;
    loop {
        start_s += -(1.0 - rng.random::<f64>()).ln() / profile.rate;
        if start_s > profile.duration.as_secs_f64() {
            break;
        }
        tokio::time::sleep_until(start + Duration::from_secs_f64(start_s)).await;
        let (client, stats) = (client.clone(), stats.clone());
        number += 1;
        streams.spawn(async move {
            let result = run_stream(&client, target, profile, number).await;
            let mut stats = stats.lock().await;
            match result {
                Some((first_token, delays_us)) => {
                    stats.completed += 1;
                    stats.first_token_us.saturating_record(micros(first_token));
                    delays_us.iter().for_each(|it| stats.token_delay_us.saturating_record(*it));
                }
                None => stats.failed += 1,
            }
        });
    }
    while streams.join_next().await.is_some() {}
    Arc::into_inner(stats).expect("all streams have ended").into_inner()
}

/// Opens `count` streams and waits for the first token of each. Returns the readers of those that
/// got it; a stream stays open until its reader is dropped.
pub async fn hold_streams(target: Target, count: u64) -> Vec<SseReader<volo_http::body::Body>> {
    let client = Client::pooled();
    let ready = Arc::new(AtomicU64::new(0));
    let mut streams = JoinSet::new();
    for number in 0..count {
        let (client, ready) = (client.clone(), ready.clone());
        streams.spawn(async move {
            let response = open_stream(&client, target, HELD_TOKENS, number).await?;
            let mut reader = SseReader::into_sse(response).ok()?;
            reader.read().await.ok()?;
            ready.fetch_add(1, Ordering::Relaxed);
            Some(reader)
        });
        tokio::time::sleep(Duration::from_micros(500)).await;
    }
    streams.join_all().await.into_iter().flatten().collect()
}

/// Requests a stream of `tokens` tokens. Returns `None` when the call fails.
async fn open_stream(
    client: &Client,
    target: Target,
    tokens: u32,
    number: u64,
) -> Option<Response> {
    let prompt = format!("{PROMPT}{number}");
    let call = match target {
        Target::Engine(address) | Target::Http2Engine(address) => {
            let order = Generate {
                attempt: format!("direct-{number}-{}", epoch().elapsed().as_nanos()),
                model: "demo".into(),
                prompt,
                delivered: None,
                max_tokens: tokens,
                priority: 0,
                salt: "bench".into(),
                temperature: None,
                top_p: None,
                seed: None,
                stop: Vec::new(),
            };
            let call = Call::new(address, Method::POST, "/engine/v1/runs", CALL_TIMEOUT);
            let http2 = matches!(target, Target::Http2Engine(_));
            Call { http2, ..call }.json(&order)
        }
        Target::Host(address) | Target::Http2Host(address) => {
            let body = json!({
                "model": "demo",
                "messages": [{"role": "user", "content": prompt}],
                "max_tokens": tokens,
                "stream": true,
            });
            let mut call =
                Call::new(address, Method::POST, "/v1/chat/completions", CALL_TIMEOUT).json(&body);
            let bearer = format!("Bearer {}", KEYS[0]).parse().ok()?;
            call.headers.insert(http::header::AUTHORIZATION, bearer);
            call.http2 = matches!(target, Target::Http2Host(_));
            call
        }
    };
    client.send(call).await.ok()
}

/// Reads one stream to its end. Returns the time to the first token and each token's delay in
/// microseconds, or `None` when a token is missing.
async fn run_stream(
    client: &Client,
    target: Target,
    profile: Profile,
    number: u64,
) -> Option<(Duration, Vec<u64>)> {
    let sent = Instant::now();
    let response = open_stream(client, target, profile.tokens, number).await?;
    let mut reader = SseReader::into_sse(response).ok()?;
    let mut first_token = None;
    let mut delays_us = Vec::with_capacity(profile.tokens as usize);
    while let Some(event) = reader.read().await.ok()? {
        let Some(text) = token_text(target, event.data()?) else { continue };
        let created_ns: u64 = text.trim().parse().ok()?;
        let now_ns = u64::try_from(epoch().elapsed().as_nanos()).ok()?;
        delays_us.push(now_ns.saturating_sub(created_ns) / 1000);
        first_token.get_or_insert_with(|| sent.elapsed());
    }
    (delays_us.len() == profile.tokens as usize).then_some((first_token?, delays_us))
}

/// Returns the token text of an event's data, or `None` for an event without any.
fn token_text(target: Target, data: &str) -> Option<String> {
    match target {
        Target::Engine(_) | Target::Http2Engine(_) => {
            serde_json::from_str::<Frame>(data).ok()?.text
        }
        Target::Host(_) | Target::Http2Host(_) => {
            let answer: Answer = serde_json::from_str(data).ok()?;
            let delta = answer.choices.into_iter().next()?.delta?;
            delta.content.filter(|it| !it.is_empty())
        }
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
