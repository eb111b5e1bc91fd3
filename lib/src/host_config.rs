//! Where a host runs and what it is held to: its addresses, limits and bounds.

use std::net::SocketAddr;

use crate::prelude::*;

/// What a host is told when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// This host.
    pub host: Host,
    /// Its availability zone.
    pub zone: Zone,
    /// Where callers connect.
    pub listen_address: SocketAddr,
    /// Where the balancer asks for readiness.
    pub readiness_address: SocketAddr,
    /// Ports for calls between hosts, first and last.
    pub peer_ports: (u16, u16),
    /// The platform's store.
    pub store_address: SocketAddr,
    /// How often upstreams renew their rows.
    pub heartbeat: Duration,
    /// The bounds.
    pub bounds: Bounds,
}

/// Bounds that the deployment is held to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// After this, an upstream that leaves gets no new work.
    pub drain: Duration,
    /// From SIGTERM to the forced end.
    pub grace: Duration,
    /// Requests sent once more, for each request of callers.
    pub retry_ratio: f64,
    /// Span over which they are counted.
    pub retry_window: Duration,
    /// Requests sent once more that are free in each span, over all hosts.
    pub retry_slack: f64,
    /// Bears on the rate at which cold upstreams are sent requests.
    pub cold_overshoot: f64,
    /// Requests a second beyond that rate.
    pub cold_slack: f64,
    /// After this, a zone that is taken out gets no new work.
    pub evacuate: Duration,
    /// How long a holder of a lease must have been silent before another acts.
    pub lease_takeover_delay: Duration,
    /// Time in which new weights are to be in use everywhere.
    pub rollout: Duration,
    /// How long what a host was told stays good while it hears nothing.
    pub max_staleness: Duration,
}
