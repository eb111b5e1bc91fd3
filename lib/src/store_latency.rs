//! Which stores of KV cache hold up the requests that fetch from them. No I/O.
//!
//! A late first token may be the engine's doing as well as the store's. So a store counts as slow
//! only when requests that fetch from it wait clearly longer than those that do not.

use std::{collections::HashMap, net::SocketAddr};

use crate::{ewma::Ewma, prelude::*};

/// Weight of the newest wait in a mean.
const WEIGHT: f64 = 0.3;
/// Wait, in seconds beyond twice that of other requests, up from which a store counts as slow:
/// reading a long prompt again takes about as long.
const SLOW: f64 = 0.25;
/// Time in which half of a mean is forgotten. Slow phases of a store last for some seconds.
const HALF_LIFE: Duration = Duration::from_millis(1500);
/// How often one of all hosts makes a fetch from a slow store to see whether it is fast again.
const PROBE: Duration = Duration::from_millis(15);

/// Mean wait before anything was measured, in seconds.
const WAIT: Ewma = Ewma::new(WEIGHT, HALF_LIFE);

/// What is known of one store.
#[derive(Clone, Copy, Debug)]
struct Latency {
    wait: Ewma,
    probed: Instant,
    slow: bool,
}

/// The waits of requests by the store that they fetched from.
#[derive(Clone, Debug)]
pub struct Latencies {
    stores: HashMap<SocketAddr, Latency>,
    /// Of requests that fetched nothing to speak of.
    none: Ewma,
    hosts: u32,
}

impl Default for Latencies {
    fn default() -> Self {
        Latencies { stores: HashMap::new(), none: WAIT, hosts: 1 }
    }
}

impl Latencies {
    /// Takes how much later than usual the first token of a request came, and the stores that
    /// it fetched from.
    pub fn record(&mut self, now: Instant, stores: &[SocketAddr], wait: Duration) {
        let wait = wait.as_secs_f64();
        if stores.is_empty() {
            self.none.record(now, wait);
        }
        for address in stores {
            let fresh = || Latency { wait: WAIT, probed: now, slow: false };
            self.stores.entry(*address).or_insert_with(fresh).wait.record(now, wait);
        }
    }

    /// Takes the number of hosts, which share the probes of slow stores.
    pub fn set_host_count(&mut self, hosts: usize) {
        self.hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    }

    /// Forgets a store that may have restarted.
    pub fn forget(&mut self, address: SocketAddr) {
        self.stores.remove(&address);
    }

    /// Tells whether a store is to be passed over; false now and then for a slow one, to see
    /// whether it still is.
    pub fn should_skip(&mut self, now: Instant, address: SocketAddr) -> bool {
        let others = self.others(now, address);
        let probe = PROBE.saturating_mul(self.hosts.max(1));
        let Some(store) = self.stores.get_mut(&address) else { return false };
        let wait = store.wait.value_at(now);
        let slow = wait > 2.0 * others + SLOW;
        if slow != store.slow {
            store.slow = slow;
            log::info!(store = address.to_string().as_str(), wait_ms = (wait * 1000.0) as u64,
                others_ms = (others * 1000.0) as u64, slow = slow;
                "cache store turned slow or fast");
        }
        if !slow || now.since(store.probed) >= probe {
            store.probed = now;
            return false;
        }
        true
    }

    /// Returns the mean wait of requests that did not fetch from a store.
    fn others(&self, now: Instant, address: SocketAddr) -> f64 {
        let others = self.stores.iter().filter(|it| *it.0 != address);
        let (count, sum) = others
            .map(|it| it.1.wait.value_at(now))
            .fold((1, self.none.value_at(now)), |(count, sum), it| (count + 1, sum + it));
        sum / f64::from(count)
    }
}
