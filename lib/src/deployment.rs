//! What the operators have configured: routes, services, workspaces and limits. One
//! immutable value for each version, replaced as a whole.

use std::{collections::HashMap, net::SocketAddr};

use crate::{prelude::*, rendezvous};

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// A request may run any number of times.
    Idempotent,
    /// A request may run at most once.
    AtMostOnce,
    /// The answer is a stream of events.
    Stream {
        /// Whether another upstream may go on after the last event.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Tells whether a request may be sent again after an attempt that may have run.
    pub fn allows_rerun(self) -> bool {
        matches!(self, RetryPolicy::Idempotent | RetryPolicy::Stream { resumable: true })
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: FastStr,
    /// Host name in the caller's request.
    pub host: FastStr,
    /// Start of the path, with a slash at both ends.
    pub prefix: FastStr,
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// Longest time that a request is worked on.
    pub timeout: Duration,
    /// Time to the answer, or to the first event, that the caller is promised.
    pub latency_target: Duration,
    /// Rank among the requests of a service, 0 first.
    pub priority: u8,
    /// Services with their shares of the requests.
    pub targets: SmallVec<[(Service, u32); 2]>,
    /// Upstreams that one request may run on.
    pub max_attempts: u32,
    /// Whether no key is needed.
    pub public: bool,
}

impl Route {
    /// Chooses the service for a request; the same `key` always gets the same one.
    pub fn choose_service(&self, key: u64) -> Option<&Service> {
        let total: u64 = self.targets.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut point = rendezvous::mix64(key) % total.max(1);
        for (service, weight) in &self.targets {
            if point < u64::from(*weight) {
                return Some(service);
            }
            point -= u64::from(*weight);
        }
        self.targets.first().map(|(service, _)| service)
    }
}

/// One service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceEntry {
    /// Connections that an upstream accepts from all hosts together.
    pub max_connections: u32,
    /// How long an upstream stays cold after its start.
    pub cold_start: Duration,
    /// Requests a second that a cold upstream bears from all hosts together; 0 for a
    /// service whose upstreams need no warming.
    pub cold_rate: f64,
    /// Set where the upstreams are model engines.
    pub engine: Option<EngineEntry>,
}

/// What is configured of a service of model engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineEntry {
    /// Runs that an engine works on at once.
    pub slots: u32,
    /// Bytes of one token's cache.
    pub token_bytes: u64,
    /// Tokens that an engine's memory holds.
    pub cache_tokens: u64,
    /// Names of the models.
    pub models: SmallVec<[Model; 2]>,
}

/// A store of KV cache.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreEntry {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Tokens that it has room for.
    pub tokens: u64,
    /// Time to the first byte of a transfer.
    pub first_byte: Duration,
    /// Bytes a second that its link carries.
    pub bytes_per_second: f64,
    /// Calls for changes that it takes at once.
    pub watchers: u32,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time for a request's head to arrive.
    pub header_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// A workspace, as the holder of a key.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyHolder {
    /// The workspace.
    pub workspace: Workspace,
    /// Goes before the route's priority, where set.
    pub priority: Option<u8>,
    /// Whether its prompts share no cache with other workspaces.
    pub isolated: bool,
}

/// All that is configured, at one version.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Grows with each change.
    pub version: u64,
    routes: HashMap<FastStr, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<Service, Arc<ServiceEntry>>,
    /// Stores of KV cache.
    pub stores: Vec<StoreEntry>,
    keys: HashMap<FastStr, Arc<KeyHolder>>,
    /// Whether requests need a key, but for those of public routes.
    pub requires_key: bool,
    /// Limits for callers.
    pub limits: Limits,
}

impl Deployment {
    /// Creates a deployment; among the routes of a host name the longest prefix wins.
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
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        let requires_key = keys.is_some();
        let keys = keys.unwrap_or_default();
        Deployment { version, routes: by_host, services, stores, keys, requires_key, limits }
    }

    /// Finds the route of a request by its host name, without port, and path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|it| path.starts_with(it.prefix.as_str()))
    }

    /// Finds the holder of a key.
    pub fn key_holder(&self, key: &str) -> Option<&Arc<KeyHolder>> {
        self.keys.get(key)
    }
}
