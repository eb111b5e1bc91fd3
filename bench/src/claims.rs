//! What a booking costs: transactions of the table service, and time.

use std::{
    error::Error,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use http::{HeaderValue, Method, header};
use lexopt::{Arg::Long, Parser, ValueExt};
use mothvale_lib::client::{Call, Client};
use mothvale_standin::dev::{Cluster, KEYS, Options};
use serde_json::json;
use tokio::task::JoinSet;

const RATES: [f64; 3] = [1.0, 50.0, 300.0];
const SLOW_RATE: f64 = 50.0;
const SLOW_TABLE: Duration = Duration::from_millis(200);
const TIMEOUT: Duration = Duration::from_secs(10);
const LONGEST_US: u64 = 60_000_000;

/// Runs the command.
pub fn run(mut args: Parser) -> Result<(), Box<dyn Error>> {
    let mut seconds = 10;
    let mut hosts = 1;
    while let Some(arg) = args.next()? {
        match arg {
            Long("seconds") => seconds = args.value()?.parse()?,
            Long("hosts") => hosts = args.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    let runtime = runtime.worker_threads(3).enable_all().build()?;
    runtime.block_on(measure(hosts, Duration::from_secs(seconds)))
}

impl Bookings {
    async fn run(&self, rate: f64, length: Duration) -> Seen {
        let seen = Arc::new(Mutex::new(Seen::new()));
        let mut bookings = JoinSet::new();
        let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / rate));
        let count = (rate * length.as_secs_f64()) as u64;
        for number in 0..count {
            ticks.tick().await;
            let (call, client, seen) = (self.call(number), self.client.clone(), seen.clone());
            bookings.spawn(async move {
                let start = Instant::now();
                let answer = client.send_buffered(call).await;
                let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
                match answer {
                    Ok(answer) if answer.status().is_success() => {
                        seen.time.saturating_record(start.elapsed().as_micros() as u64);
                    }
                    _ => seen.failed += 1,
                }
            });
        }
        while bookings.join_next().await.is_some() {}
        Arc::into_inner(seen).and_then(|it| it.into_inner().ok()).expect("all bookings have ended")
    }

    fn call(&self, number: u64) -> Call {
        let path = format!("{}/beds/{number}", self.prefix);
        let mut call = Call::new(self.to, Method::POST, path, TIMEOUT).json(&json!({}));
        let key = format!("{}-{number}", self.round);
        if let Ok(key) = HeaderValue::from_str(&key) {
            call.headers.insert("idempotency-key", key);
        }
        let bearer = HeaderValue::from_str(&format!("Bearer {}", KEYS[0]));
        if let Ok(bearer) = bearer {
            call.headers.insert(header::AUTHORIZATION, bearer);
        }
        call
    }
}

/// Where bookings go.
struct Bookings {
    client: Client,
    to: SocketAddr,
    prefix: &'static str,
    round: String,
}

struct Seen {
    time: Histogram<u64>,
    failed: u64,
}

impl Seen {
    fn new() -> Self {
        let time = Histogram::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are valid");
        Seen { time, failed: 0 }
    }
}

async fn measure(hosts: usize, length: Duration) -> Result<(), Box<dyn Error>> {
    let cluster = Cluster::start(&Options { hosts, ..Options::default() }).await?;
    for rate in RATES {
        round(&cluster, rate, length, Duration::ZERO).await;
    }
    cluster.standins.table.faults.set_delay(SLOW_TABLE);
    round(&cluster, SLOW_RATE, length, SLOW_TABLE).await;
    cluster.standins.table.faults.set_delay(Duration::ZERO);
    cluster.shut_down().await;
    Ok(())
}

async fn round(cluster: &Cluster, rate: f64, length: Duration, delay: Duration) {
    let bookings = |to, prefix| Bookings {
        client: Client::pooled(),
        to,
        prefix,
        round: format!("{rate}-{}", delay.as_millis()),
    };
    let direct = bookings(cluster.standins.bookings.address, "");
    let direct = direct.run(rate, length).await;
    let table = &cluster.standins.table.handler;
    let before = table.transaction_count();
    let claimed = bookings(cluster.hosts[0].public_address(), "/v1/services/holds");
    let claimed = claimed.run(rate, length).await;
    let done = claimed.time.len() + claimed.failed;
    let transactions = (table.transaction_count() - before) as f64;
    println!(
        "{}",
        json!({
            "bench": "claims",
            "hosts": cluster.hosts.len(),
            "rate": rate,
            "seconds": length.as_secs(),
            "table_delay_ms": delay.as_millis() as u64,
            "bookings": done,
            "failed_direct": direct.failed,
            "failed": claimed.failed,
            "transactions_per_booking": transactions / done as f64,
            "transactions_per_second": transactions / length.as_secs_f64(),
            "direct_us": quantiles(&direct.time),
            "claimed_us": quantiles(&claimed.time),
        })
    );
}

fn quantiles(time: &Histogram<u64>) -> serde_json::Value {
    json!({"p50": time.value_at_quantile(0.5), "p99": time.value_at_quantile(0.99)})
}
