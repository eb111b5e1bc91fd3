//! Shares the network links of the KV cache stores between all hosts. Does no I/O.
//!
//! Load pattern: prompts return faster than the links of the cache stores carry their parts, or most
//! engines are in other zones than the stores, so that each transfer takes twice as long. Transfers
//! then queue, and requests hold KV cache of their engines while they wait. Each host counts the
//! transfers that its requests would make, whether they are admitted or not, and tells the others. All
//! hosts admit the same fraction of the parts, chosen by the hash of the part, so that the parts
//! which are saved are also those which are fetched.

use std::{collections::HashMap, net::SocketAddr};

use crate::{configuration::StoreEntry, prelude::*, rendezvous, window::Sum};

/// Fraction of a link's bandwidth that transfers may use. Above it, queues grow quickly.
const TARGET_UTILIZATION: f64 = 0.75;
/// Highest utilization in estimates of the time in the queue; beyond it, the measured demand is too
/// coarse to tell.
const MAX_QUEUED_UTILIZATION: f64 = 0.9;
/// Smallest fraction of the parts that is admitted, so that the store remains in use.
const MIN_ADMITTED: f64 = 0.05;
/// Factor on the duration of transfers between availability zones.
const OTHER_ZONE_FACTOR: u64 = 2;
/// Time over which the demand is measured.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// How long the demand reported by another host counts.
const PEER_DEMAND_TTL: Duration = Duration::from_millis(1500);

/// Tokens to transfer within the last second, by the short id of the store.
pub type Demands = HashMap<u32, u64>;

/// A transfer of one part from or to a store.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    /// Hash that identifies the part.
    pub part: u64,
    /// Its length in tokens.
    pub tokens: u32,
    /// Size of one token's KV cache, in bytes.
    pub token_bytes: u64,
    /// Whether store and engine are in different availability zones.
    pub other_zone: bool,
    /// Whether many prompts share the part. It is admitted however busy the link is.
    pub popular: bool,
}

impl Transfer {
    /// Returns the tokens for which the link is busy: those between zones count twice.
    fn link_tokens(&self) -> u64 {
        let factor = if self.other_zone { OTHER_ZONE_FACTOR } else { 1 };
        u64::from(self.tokens) * factor
    }
}

/// The links of all stores.
#[derive(Clone, Debug, Default)]
pub struct Links {
    /// Demand of this host, by the short id of the store.
    own: HashMap<u32, Sum>,
    /// Demands that other hosts last reported, with the time of the report.
    peers: HashMap<Host, (Instant, Demands)>,
}

/// Returns the hash that identifies a store in messages between hosts.
pub fn short_id(address: SocketAddr) -> u32 {
    (rendezvous::hash_parts(&["store", &address.to_string()]) >> 32) as u32
}

impl Links {
    /// Counts a transfer as demand, and returns whether it may use the link.
    pub fn admit(&mut self, now: Instant, store: &StoreEntry, transfer: &Transfer) -> bool {
        let id = short_id(store.address);
        let own = self.own.entry(id).or_insert_with(|| Sum::new(DEMAND_WINDOW));
        own.add(now, transfer.link_tokens());
        let sample =
            (rendezvous::mix64(transfer.part ^ u64::from(id)) >> 11) as f64 / (1_u64 << 53) as f64;
        transfer.popular || sample < self.admitted_fraction(now, store, id, transfer.token_bytes)
    }

    /// Returns the fraction of the demand that the link can carry.
    fn admitted_fraction(
        &mut self,
        now: Instant,
        store: &StoreEntry,
        id: u32,
        token_bytes: u64,
    ) -> f64 {
        if store.bytes_per_second <= 0.0 || token_bytes == 0 {
            return 1.0;
        }
        let demand = self.demand(now, id) as f64 * token_bytes as f64;
        let capacity = store.bytes_per_second * DEMAND_WINDOW.as_secs_f64() * TARGET_UTILIZATION;
        (capacity / demand.max(1.0)).clamp(MIN_ADMITTED, 1.0)
    }

    /// Returns how long a transfer within the store's zone takes with the present use of the link.
    pub fn transfer_time(
        &mut self,
        now: Instant,
        store: &StoreEntry,
        tokens: u32,
        token_bytes: u64,
    ) -> Duration {
        if store.bytes_per_second <= 0.0 {
            return Duration::ZERO;
        }
        let bytes = (u64::from(tokens) * token_bytes) as f64;
        let demand = self.demand(now, short_id(store.address)) as f64 * token_bytes as f64;
        let utilization = demand / (store.bytes_per_second * DEMAND_WINDOW.as_secs_f64());
        // The queue of a link grows with its utilization.
        let idle = 1.0 - utilization.clamp(0.0, MAX_QUEUED_UTILIZATION);
        Duration::try_from_secs_f64(bytes / store.bytes_per_second / idle).unwrap_or(Duration::MAX)
    }

    /// Returns the tokens that all hosts would transfer over a store's link within the window.
    fn demand(&mut self, now: Instant, id: u32) -> u64 {
        let own = self.own.get_mut(&id).map_or(0, |it| it.total(now));
        let fresh = self.peers.values().filter(|it| now.since(it.0) < PEER_DEMAND_TTL);
        own + fresh.filter_map(|(_, demands)| demands.get(&id)).sum::<u64>()
    }

    /// Returns this host's demands plus those of the other hosts that `include` accepts.
    pub fn combined<F>(&mut self, now: Instant, include: F) -> Demands
    where
        F: Fn(&Host) -> bool,
    {
        self.peers.retain(|_, it| now.since(it.0) < PEER_DEMAND_TTL);
        let own = self.own.iter_mut().map(|(id, it)| (*id, it.total(now)));
        let mut all: Demands = own.filter(|it| it.1 > 0).collect();
        let peers = self.peers.iter().filter(|it| include(it.0));
        for (id, tokens) in peers.flat_map(|(_, it)| &it.1) {
            *all.entry(*id).or_default() += tokens;
        }
        all
    }

    /// Records the demands that another host has reported.
    pub fn record_peer(&mut self, now: Instant, host: &Host, demands: Demands) {
        self.peers.insert(host.clone(), (now, demands));
    }
}
