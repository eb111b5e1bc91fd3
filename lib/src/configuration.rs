//! The configuration that operators write to the row store: routes, services, workspaces and
//! limits. Each version is an immutable value that replaces the previous one as a whole.

use std::{collections::HashMap, net::SocketAddr};

use crate::{prelude::*, rendezvous};

/// Callers do not abandon a silent stream sooner than this.
const MIN_STREAM_PATIENCE: Duration = Duration::from_secs(2);
/// Multiple of the latency objective for which callers wait for the next event of a stream.
const LATENCY_PATIENCE_FACTOR: u32 = 4;
/// Multiple of the objective for pauses for which callers wait for the next event of a stream.
const PAUSE_PATIENCE_FACTOR: u32 = 8;

/// Whether the requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// A request may run any number of times.
    Idempotent,
    /// A request may run at most once.
    AtMostOnce,
    /// The response is a stream of events.
    Stream {
        /// Whether another upstream may resume the stream after the last event.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Returns whether a request may be sent again after an attempt that may have run.
    pub fn allows_rerun(self) -> bool {
        matches!(self, RetryPolicy::Idempotent | RetryPolicy::Stream { resumable: true })
    }
}

/// Rule that maps requests by host name and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: FastStr,
    /// Host name in the caller's request.
    pub host_name: FastStr,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: FastStr,
    /// Whether its requests may be retried.
    pub retry_policy: RetryPolicy,
    /// Longest time in which a request is processed.
    pub timeout: Duration,
    /// Objective for the time to the response or, for streams, to the first event.
    pub latency_objective: Duration,
    /// Objective for the longest pause between the events of a stream; zero if there is none.
    pub pause_objective: Duration,
    /// Priority among the requests of a service; 0 is the most urgent. In the priority classes of
    /// `mothvale serve`, higher values go first instead.
    pub priority: u8,
    /// Services with the weights by which requests are split between them.
    pub services: SmallVec<[(Service, u32); 2]>,
    /// Maximum number of attempts in which the request may run.
    pub max_runs: u32,
    /// Whether callers need no API key.
    pub public: bool,
}

impl Route {
    /// Returns how long callers wait for the next event of a stream, the first one included, before
    /// they abandon it: the longest of a minimum and multiples of both objectives.
    pub fn stream_patience(&self) -> Duration {
        let latency = self.latency_objective.saturating_mul(LATENCY_PATIENCE_FACTOR);
        let pause = self.pause_objective.saturating_mul(PAUSE_PATIENCE_FACTOR);
        MIN_STREAM_PATIENCE.max(latency).max(pause)
    }

    /// Returns the service for a request, by weighted random choice from `key`; the same key always
    /// gets the same service.
    pub fn choose_service(&self, key: u64) -> Option<&Service> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut offset = rendezvous::mix64(key) % total.max(1);
        for (service, weight) in &self.services {
            if offset < u64::from(*weight) {
                return Some(service);
            }
            offset -= u64::from(*weight);
        }
        self.services.first().map(|(service, _)| service)
    }
}

/// Configuration of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceEntry {
    /// Connections that an upstream accepts from all hosts together.
    pub max_connections: u32,
    /// How long an upstream stays cold after its start.
    pub cold_start: Duration,
    /// Requests per second that a cold upstream can take from all hosts together; 0 if upstreams of
    /// the service have no cold start.
    pub cold_rate: f64,
    /// Set if the upstreams are model engines.
    pub engine: Option<EngineEntry>,
}

/// Configuration of a service of model engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineEntry {
    /// Runs that an engine processes concurrently.
    pub slots: u32,
    /// Size of one token's KV cache, in bytes.
    pub token_bytes: u64,
    /// Capacity of an engine's KV cache, in tokens.
    pub cache_tokens: u64,
    /// Names of the models that the engines serve. Not used.
    pub models: SmallVec<[Model; 2]>,
}

/// Configuration of a KV cache store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreEntry {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Its capacity, in tokens.
    pub tokens: u64,
    /// Time to the first byte of a transfer.
    pub first_byte: Duration,
    /// Bandwidth of its network link.
    pub bytes_per_second: f64,
    /// Number of concurrent calls that may wait for its changes. Not used.
    pub watchers: u32,
}

/// Limits on the size of requests, and timeouts of callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a request's head to arrive. Not used.
    pub header_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// The workspace that an API key belongs to, with its settings.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyHolder {
    /// The workspace.
    pub workspace: Workspace,
    /// Overrides the route's priority, if set.
    pub priority: Option<u8>,
    /// Whether its prompts share no KV cache with other workspaces.
    pub isolated: bool,
}

/// One version of the whole configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Increases with each change.
    pub version: u64,
    routes: HashMap<FastStr, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<Service, Arc<ServiceEntry>>,
    /// KV cache stores.
    pub stores: Vec<StoreEntry>,
    keys: HashMap<FastStr, Arc<KeyHolder>>,
    /// Whether requests need an API key, except on public routes.
    pub requires_key: bool,
    /// Limits for callers.
    pub limits: Limits,
}

impl Configuration {
    /// Creates a configuration. Among the routes of a host name the longest matching prefix wins.
    /// Without `keys`, requests need no API key.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<Service, Arc<ServiceEntry>>,
        stores: Vec<StoreEntry>,
        keys: Option<HashMap<FastStr, Arc<KeyHolder>>>,
        limits: Limits,
    ) -> Self {
        let mut by_host: HashMap<FastStr, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host_name.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        let requires_key = keys.is_some();
        let keys = keys.unwrap_or_default();
        Configuration { version, routes: by_host, services, stores, keys, requires_key, limits }
    }

    /// Returns all routes, in no order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> + Clone {
        self.routes.values().flatten()
    }

    /// Returns the route for a request, given its host name without port and its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|it| path.starts_with(it.prefix.as_str()))
    }

    /// Returns the workspace that an API key belongs to.
    pub fn key_holder(&self, key: &str) -> Option<&Arc<KeyHolder>> {
        self.keys.get(key)
    }
}
