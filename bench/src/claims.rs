//! Cost of a booking: transactions of the table service and latency.
//!
//! Bookings are sent at a fixed rate, first to the booking service itself and then through a host,
//! which claims each one in the table service so that it runs at most once.

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

/// Bookings per second, one measurement each.
const RATES: [f64; 3] = [1.0, 50.0, 300.0];
/// Bookings per second of the measurement with a slow table service.
const SLOW_TABLE_RATE: f64 = 50.0;
/// Delay of each call to the slow table service.
const SLOW_TABLE_DELAY: Duration = Duration::from_millis(200);
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum latency that the histograms hold, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Runs `mothvale-bench claims` with the arguments after its name.
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
    runtime.block_on(measure_all(hosts, Duration::from_secs(seconds)))
}

impl BookingLoad {
    /// Sends `rate` bookings per second for `duration`, whether or not earlier ones have ended, and
    /// waits for all responses.
    async fn run(&self, rate: f64, duration: Duration) -> Outcomes {
        let outcomes = Arc::new(Mutex::new(Outcomes::new()));
        let mut bookings = JoinSet::new();
        let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / rate));
        let count = (rate * duration.as_secs_f64()) as u64;
        for number in 0..count {
            ticks.tick().await;
            let (call, client, outcomes) =
                (self.booking_call(number), self.client.clone(), outcomes.clone());
            bookings.spawn(async move {
                let start = Instant::now();
                let answer = client.send_buffered(call).await;
                let mut outcomes = outcomes.lock().unwrap_or_else(PoisonError::into_inner);
                match answer {
                    Ok(answer) if answer.status().is_success() => {
                        outcomes.latency_us.saturating_record(start.elapsed().as_micros() as u64);
                    }
                    _ => outcomes.failed += 1,
                }
            });
        }
        while bookings.join_next().await.is_some() {}
        Arc::into_inner(outcomes)
            .and_then(|it| it.into_inner().ok())
            .expect("all bookings have ended")
    }

    fn booking_call(&self, number: u64) -> Call {
        let path = format!("{}/beds/{number}", self.path_prefix);
        let mut call = Call::new(self.address, Method::POST, path, CALL_TIMEOUT).json(&json!({}));
        let key = format!("{}-{number}", self.key_prefix);
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

/// Where bookings are sent, directly to the service or through a host.
struct BookingLoad {
    client: Client,
    address: SocketAddr,
    path_prefix: &'static str,
    /// Prefix of the idempotency keys, different for each measurement.
    key_prefix: String,
}

/// Outcomes of one load.
struct Outcomes {
    /// Latencies of successful bookings, in microseconds.
    latency_us: Histogram<u64>,
    failed: u64,
}

impl Outcomes {
    fn new() -> Self {
        let latency_us =
            Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid");
        Outcomes { latency_us, failed: 0 }
    }
}

async fn measure_all(hosts: usize, duration: Duration) -> Result<(), Box<dyn Error>> {
    let cluster = Cluster::start(&Options { hosts, ..Options::default() }).await?;
    for rate in RATES {
        measure_rate(&cluster, rate, duration, Duration::ZERO).await;
    }
    cluster.standins.table.faults.set_delay(SLOW_TABLE_DELAY);
    measure_rate(&cluster, SLOW_TABLE_RATE, duration, SLOW_TABLE_DELAY).await;
    cluster.standins.table.faults.set_delay(Duration::ZERO);
    cluster.shut_down().await;
    Ok(())
}

/// Measures direct and claimed bookings at one rate, and prints the results. The table service
/// delays each call by `table_delay`.
async fn measure_rate(cluster: &Cluster, rate: f64, duration: Duration, table_delay: Duration) {
    let load = |address, path_prefix| BookingLoad {
        client: Client::pooled(),
        address,
        path_prefix,
        key_prefix: format!("{rate}-{}", table_delay.as_millis()),
    };
    let direct = load(cluster.standins.bookings.address, "");
    let direct = direct.run(rate, duration).await;
    let table = &cluster.standins.table.handler;
    let transactions_before = table.transaction_count();
    let claimed = load(cluster.hosts[0].public_address(), "/v1/services/holds");
    let claimed = claimed.run(rate, duration).await;
    let bookings = claimed.latency_us.len() + claimed.failed;
    let transactions = (table.transaction_count() - transactions_before) as f64;
    println!(
        "{}",
        json!({
            "bench": "claims",
            "hosts": cluster.hosts.len(),
            "rate": rate,
            "seconds": duration.as_secs(),
            "table_delay_ms": table_delay.as_millis() as u64,
            "bookings": bookings,
            "failed_direct": direct.failed,
            "failed": claimed.failed,
            "transactions_per_booking": transactions / bookings as f64,
            "transactions_per_second": transactions / duration.as_secs_f64(),
            "direct_us": quantiles(&direct.latency_us),
            "claimed_us": quantiles(&claimed.latency_us),
        })
    );
}

fn quantiles(histogram: &Histogram<u64>) -> serde_json::Value {
    json!({"p50": histogram.value_at_quantile(0.5), "p99": histogram.value_at_quantile(0.99)})
}
