//! Settings that a host of the gateway is started with: its name, zone, addresses and bounds. The
//! configuration that operators change while it runs is in [`configuration`](crate::configuration).

use std::net::SocketAddr;

use crate::prelude::*;

/// Settings that a host is started with.
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
    /// Processor time that the host has, in thousandths of a core.
    pub processor_millis: u32,
    /// Memory that the host has, in bytes; 0 if the settings do not say.
    pub memory_bytes: u64,
    /// Address of the platform's row store.
    pub store_address: SocketAddr,
    /// How often upstreams renew their rows.
    pub heartbeat: Duration,
    /// Whether callers at times want more than the upstreams have room for, and urgent ones come first then.
    pub callers_compete: bool,
    /// Limits that the platform sets for the behaviour of its hosts.
    pub bounds: Bounds,
}

/// Limits that the platform sets for the behaviour of its hosts.
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
    /// Factor by which requests to a cold upstream may exceed
    /// [`ServiceEntry::cold_rate`](crate::configuration::ServiceEntry::cold_rate).
    pub cold_overshoot: f64,
    /// Requests per second that a cold upstream may get in addition.
    pub cold_slack: f64,
    /// Time after which a zone that is evacuated must get no new requests.
    pub evacuate: Duration,
    /// How long after the end of a lease the next host must wait before it takes the lease over.
    pub lease_takeover_delay: Duration,
    /// Time in which a new target weight version must be in use on all upstreams.
    pub rollout: Duration,
    /// How long a host may rely on the state it has while it receives no updates.
    pub max_staleness: Duration,
    /// What a bad build of a service may get while the service moves to it; `None` if that is not set.
    pub exposure: Option<Exposure>,
}

/// What a bad build of a service may get, from all hosts together, while the service moves to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exposure {
    /// Part of all requests to the service, 0 to 1.
    pub share: f64,
    /// Requests beyond that part.
    pub slack: f64,
    /// Time after the build is known to be bad in which it must get no requests any more.
    pub rollback: Duration,
}
