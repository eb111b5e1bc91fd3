//! Detects KV cache stores that delay the requests that fetch from them. Does no I/O.
//!
//! A late first token may be caused by the engine as well as by the store. So a store counts as
//! slow only when requests that fetch from it are delayed clearly longer than other requests.

use std::{collections::HashMap, net::SocketAddr};

use crate::{ewma::Ewma, prelude::*};

/// Weight of the newest delay in a mean.
const WEIGHT: f64 = 0.3;
/// A store is slow when the mean delay of requests that fetch from it exceeds twice that of other
/// requests by this many seconds: about the time to prefill a long prompt again.
const SLOW_EXCESS_SECONDS: f64 = 0.25;
/// Half-life of a mean without samples. Slow phases of a store last for some seconds.
const HALF_LIFE: Duration = Duration::from_millis(1500);
/// Interval, over all hosts together, at which a slow store is probed by a fetch.
const PROBE_INTERVAL: Duration = Duration::from_millis(15);

/// Mean delay in seconds, before the first sample.
const NEW_MEAN: Ewma = Ewma::new(WEIGHT, HALF_LIFE);

/// The state of one store.
#[derive(Clone, Copy, Debug)]
struct Latency {
    /// Mean delay of requests that fetched from it, in seconds.
    delay: Ewma,
    last_probe: Instant,
    slow: bool,
}

/// Mean delays of first tokens beyond the usual, by the store that the requests fetched from.
#[derive(Clone, Debug)]
pub struct Latencies {
    stores: HashMap<SocketAddr, Latency>,
    /// Mean delay of requests that fetched nothing, or too little to matter.
    without_fetch: Ewma,
    hosts: u32,
}

impl Default for Latencies {
    fn default() -> Self {
        Latencies { stores: HashMap::new(), without_fetch: NEW_MEAN, hosts: 1 }
    }
}

impl Latencies {
    /// Records how much later than usual the first token of a request came, and the stores that the
    /// request fetched from.
    pub fn record(&mut self, now: Instant, stores: &[SocketAddr], delay: Duration) {
        let delay = delay.as_secs_f64();
        if stores.is_empty() {
            self.without_fetch.record(now, delay);
        }
        for address in stores {
            let fresh = || Latency { delay: NEW_MEAN, last_probe: now, slow: false };
            self.stores.entry(*address).or_insert_with(fresh).delay.record(now, delay);
        }
    }

    /// Sets the number of hosts, which share the probes of slow stores.
    pub fn set_host_count(&mut self, hosts: usize) {
        self.hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    }

    /// Forgets a store that may have restarted.
    pub fn forget(&mut self, address: SocketAddr) {
        self.stores.remove(&address);
    }

    /// Returns whether requests should not fetch from a store because it is slow. From time to time
    /// it returns false for a slow store too, so that a request probes whether it has recovered.
    pub fn should_skip(&mut self, now: Instant, address: SocketAddr) -> bool {
        let others = self.mean_of_others(now, address);
        let probe_interval = PROBE_INTERVAL.saturating_mul(self.hosts.max(1));
        let Some(store) = self.stores.get_mut(&address) else { return false };
        let delay = store.delay.value_at(now);
        let slow = delay > 2.0 * others + SLOW_EXCESS_SECONDS;
        if slow != store.slow {
            store.slow = slow;
            log::info!(store = address.to_string().as_str(), wait_ms = (delay * 1000.0) as u64,
                others_ms = (others * 1000.0) as u64, slow = slow;
                "slowness of a cache store changed");
        }
        if !slow || now.since(store.last_probe) >= probe_interval {
            store.last_probe = now;
            return false;
        }
        true
    }

    /// Returns the mean delay in seconds of requests that did not fetch from the store at
    /// `address`.
    fn mean_of_others(&self, now: Instant, address: SocketAddr) -> f64 {
        let others = self.stores.iter().filter(|it| *it.0 != address);
        let (count, sum) = others
            .map(|it| it.1.delay.value_at(now))
            .fold((1, self.without_fetch.value_at(now)), |(count, sum), it| (count + 1, sum + it));
        sum / f64::from(count)
    }
}
