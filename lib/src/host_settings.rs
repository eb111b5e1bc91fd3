//! Start-up configuration of a host: its identity, zone, addresses and timing bounds.

use std::net::SocketAddr;

use crate::prelude::*;

/// Start-up configuration of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// Name of this host.
    pub host: Host,
    /// Availability zone of this host.
    pub zone: Zone,
    /// Address to which callers connect.
    pub listen_address: SocketAddr,
    /// Address at which the load balancer checks readiness.
    pub readiness_address: SocketAddr,
    /// First and last port for calls between hosts.
    pub peer_ports: (u16, u16),
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// How often upstreams renew their rows.
    pub heartbeat: Duration,
    /// Bounds that the deployment must keep.
    pub bounds: Bounds,
}

/// Bounds that the deployment must keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time after which an upstream that is leaving must get no new requests.
    pub drain: Duration,
    /// Time from SIGTERM to the forced end of the process.
    pub grace: Duration,
    /// Retries allowed per request of callers.
    pub retry_ratio: f64,
    /// Window over which requests and retries are counted.
    pub retry_window: Duration,
    /// Retries allowed in each window beyond the ratio, summed over all hosts.
    pub retry_slack: f64,
    /// Factor on the rate of requests that a cold upstream is configured to bear.
    pub cold_overshoot: f64,
    /// Requests per second allowed beyond that product.
    pub cold_slack: f64,
    /// Time after which a zone that is evacuated must get no new requests.
    pub evacuate: Duration,
    /// How long a lease holder must have been silent before another host acts.
    pub lease_takeover_delay: Duration,
    /// Time in which a new target weight version must be in use on all upstreams.
    pub rollout: Duration,
    /// How long a host may rely on the state it has while it receives no updates.
    pub max_staleness: Duration,
}
