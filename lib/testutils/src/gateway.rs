//! Fixtures for tests of the gateway's routing, retry and admission decisions: the
//! settings of a host, a configuration and a fleet of upstreams.

use std::{collections::HashMap, time::Duration};

use mothvale_lib::{
    configuration::{Configuration, EngineEntry, Limits, RetryPolicy, Route, ServiceEntry},
    fleet::{Choice, Denial, Fleet, Query, UpstreamRow},
    host_settings::{Bounds, HostSettings},
    prelude::*,
};

/// KV cache capacity of a test engine, in tokens.
pub const CACHE_TOKENS: u64 = 100_000;
/// Name of the service whose upstreams are model engines.
pub const ENGINES: &str = "engines";
/// Name of the service whose upstreams are not model engines.
pub const PLAIN: &str = "plain";

/// Returns the instant `millis` milliseconds after the start of the clock.
pub fn at(millis: u64) -> Instant {
    Instant::default() + Duration::from_millis(millis)
}

/// Returns the settings of a host in a zone.
pub fn host_settings(host: &str, zone: &str) -> HostSettings {
    let address = "127.0.0.1:0".parse().expect("valid address");
    HostSettings {
        host: Host::new(host.to_owned()),
        zone: Zone::new(zone.to_owned()),
        listen_address: address,
        readiness_address: address,
        peer_ports: (7260, 7275),
        processor_millis: 250,
        memory_bytes: 260 << 20,
        store_address: address,
        heartbeat: Duration::from_millis(1200),
        callers_compete: false,
        bounds: Bounds {
            drain: Duration::from_secs(2),
            grace: Duration::from_secs(8),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_slack: 58.0,
            cold_overshoot: 1.5,
            cold_slack: 5.0,
            evacuate: Duration::from_secs(5),
            lease_takeover_delay: Duration::from_secs(3),
            rollout: Duration::from_secs(15),
            max_staleness: Duration::from_secs(3),
            exposure: None,
        },
    }
}

/// Returns a configuration with the services [`ENGINES`], under `/a/`, and [`PLAIN`], under
/// `/a/b/`.
pub fn configuration() -> Configuration {
    let engine_entry = EngineEntry {
        slots: 64,
        token_bytes: 18_432,
        cache_tokens: CACHE_TOKENS,
        models: SmallVec::from_iter([Model::new("demo")]),
    };
    let engines = ServiceEntry {
        max_connections: 300,
        cold_start: Duration::from_secs(3),
        cold_rate: 16.0,
        engine: Some(engine_entry),
    };
    let services = HashMap::from([
        (Service::new(ENGINES), Arc::new(engines)),
        (Service::new(PLAIN), Arc::new(ServiceEntry::default())),
    ]);
    let routes = vec![route("/a/", ENGINES), route("/a/b/", PLAIN)];
    Configuration::new(1, routes, services, Vec::new(), None, limits())
}

/// Returns a route from the host name `example` and a path prefix to a service.
pub fn route(prefix: &'static str, service: &'static str) -> Route {
    Route {
        name: FastStr::new(prefix),
        host_name: FastStr::new("example"),
        prefix: FastStr::new(prefix),
        retry_policy: RetryPolicy::Idempotent,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(100),
        pause_objective: Duration::ZERO,
        priority: 1,
        services: SmallVec::from_iter([(Service::new(service), 1)]),
        max_runs: 2,
        public: false,
    }
}

/// Returns limits on callers' requests.
pub fn limits() -> Limits {
    Limits {
        header_bytes: 16 << 10,
        body_bytes: 1 << 20,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    }
}

/// Returns the row of a warm engine with version 1 of the weights of model `demo`.
pub fn engine(id: &str, zone: &str) -> UpstreamRow {
    UpstreamRow {
        id: Upstream::new(id.to_owned()),
        address: "127.0.0.1:9".parse().expect("valid address"),
        service: Service::new(ENGINES),
        zone: Zone::new(zone.to_owned()),
        build: Build::new("v1"),
        draining: false,
        slots: 64,
        cold_remaining: Duration::ZERO,
        models: SmallVec::from_iter([(Model::new("demo"), 1)]),
        start_time_ms: 1,
    }
}

/// Returns the fleet as host `host0` sees it, with `count` warm engines in the host's zone.
pub fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new(&host_settings("host0", "hobart"));
    fleet.set_hosts(at(0), Vec::new());
    for index in 0..count {
        fleet.upsert(at(0), engine(&format!("engine{index}"), "hobart"));
    }
    fleet
}

/// Lets a fleet choose an engine for a small request of a session.
///
/// # Errors
///
/// Returns the fleet's reason if it chooses none.
pub fn choose_engine(fleet: &mut Fleet, now: Instant, session: u64) -> Result<Choice, Denial> {
    let query = Query {
        service: &Service::new(ENGINES),
        model: Some(&Model::new("demo")),
        session: Some(session),
        cached: None,
        tokens: 100,
        admitted: false,
        priority: 0,
        request_hash: session,
        max_wait: Duration::from_secs(1),
        build: None,
        connected: None,
        tried: &[],
    };
    fleet.choose(now, &configuration(), &query)
}
