//! Mesh of gateway hosts over QUIC: gossip about requests in flight, crashed upstreams and weight
//! rollouts, and table rows for hosts that do not or cannot read the row store themselves.
//!
//! Each zone has a leader, see [`zone_leader`]. It reads the tables of hosts and upstreams and the
//! cache stores for its zone, and the other hosts pull them from it. In a small mesh every host gossips with every other one. In a larger one only leaders gossip with
//! each other; other hosts exchange gossip with their leader when they pull.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use pilota::pb::Message;
use quinn::{
    ClientConfig, Connection, Endpoint, ServerConfig,
    crypto::rustls::{QuicClientConfig, QuicServerConfig},
};
use thiserror::Error as ThisError;
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    cache_index::{CachedPart, StoreUpdate},
    codec::Codec,
    crash_gossip,
    departure::Departure,
    detour::Candidate,
    fleet::Loads,
    gateway_process::HostRow,
    generated::peer::{self, Gossip, Pull, Question, Wanted, question},
    peer::{encode, transport_config},
    pinned_tls::{self, Identity, PinError},
    prelude::*,
    rendezvous,
    replica::{Revision, Row},
    row_store::{RowStore, Table},
    store_link::Demands,
    stream_origin::Source,
    stream_resumption::OriginQuestion,
    table_sync::{SYNCED_TABLES, TableSync},
    zone_leader::{self, Election, Member},
};

/// Interval between gossip messages; shorter than most requests last.
const GOSSIP_PERIOD: Duration = Duration::from_millis(50);
/// Largest number of other hosts up to which every host gossips with every other one. In a larger
/// mesh, hosts gossip with the leader of their zone, and leaders with each other.
pub(crate) const FULL_MESH_PEERS: usize = 16;
/// Hosts that a host of a large mesh is connected to besides the leader of its zone, as sources
/// of rows when the row store cannot be read.
const FANOUT: usize = 3;
/// How long a leader relays gossip about crashes and weight updates after receiving it.
const RELAY_WINDOW: Duration = Duration::from_millis(600);
/// Leaders of each other zone that a leader gossips with: the second one takes over if the first does
/// not answer.
const LEADERS_PER_ZONE: usize = 2;
/// How many failed rounds of pulls a call without an answer counts for: it takes as long.
const TIMEOUT_FAILURES: u32 = 3;
/// Interval between attempts to open missing connections.
const DIAL_PERIOD: Duration = Duration::from_millis(400);
/// Timeout for opening a connection, and for a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Idle time after which a connection is closed, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 3000;
/// Calls that another host may have open at once on a connection.
const MAX_CONCURRENT_STREAMS: u32 = 8;
/// Maximum size of a call or its answer in bytes; holds a configuration with many routes.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// Interval between pulls from the leader of the zone.
const PULL_PERIOD: Duration = Duration::from_millis(100);
/// How long after a successful pull a host does not read the upstreams table and the cache stores
/// itself.
const DELEGATION_TTL: Duration = Duration::from_millis(700);
/// Oldest read of the upstreams table that a pull accepts, as a fraction of the drain bound.
const MAX_AGE_FRACTION: f64 = 0.5;
/// Hosts asked in each round of catching up.
const MAX_PEERS_ASKED: usize = 2;
/// Longest wait for the answers of hosts that are asked where a stream began.
const ORIGIN_ROUND: Duration = Duration::from_millis(250);
/// Hosts that are asked at once where a stream began.
const MAX_ORIGIN_SOURCES: usize = 4;
/// How often a host is asked for what it knows of crashes until it answers.
const MAX_CRASH_QUESTIONS: usize = 3;
/// Shortest time between two rounds of such questions.
const CRASH_QUESTION_PAUSE: Duration = Duration::from_millis(100);
/// Hosts that are asked at once for what they know of crashes.
const MAX_CRASH_SOURCES: usize = 3;
/// Pause between rounds of catching up.
const CATCH_UP_PERIOD: Duration = Duration::from_millis(300);

/// Reason why a host cannot join the mesh.
#[derive(Debug, ThisError)]
pub enum MeshError {
    /// The host's key cannot be used.
    #[error("mesh: {0}")]
    Pin(#[from] PinError),
    /// The address cannot be bound.
    #[error("mesh: cannot listen: {0}")]
    Listen(#[from] std::io::Error),
    /// The TLS configuration has no cipher suite that QUIC can start with.
    #[error("mesh: {0}")]
    Quic(#[from] quinn::crypto::rustls::NoInitialCipherSuite),
}

/// This host's endpoint in the mesh, with its connections to other hosts.
pub struct Mesh<C, L> {
    table_sync: TableSync<C, L>,
    endpoint: Endpoint,
    connections: Mutex<HashMap<Host, Connection>>,
    /// Gossip of the last [`RELAY_WINDOW`], which a leader relays in a large mesh.
    recent_gossip: Mutex<Vec<RecentGossip>>,
    election: Mutex<Election>,
    host_rows_cache: Mutex<HostRowsCache>,
}

/// Decoded rows of the hosts table.
#[derive(Default)]
struct HostRowsCache {
    /// Revision of the table when they were decoded.
    revision: Revision,
    /// Number of rows that the table then retained.
    retained: usize,
    rows: Arc<HashMap<Host, HostRow>>,
}

/// Gossip to relay.
struct RecentGossip {
    received_at: Instant,
    /// Whether the leaders of other zones have it too, because a leader sends its gossip to all
    /// other leaders. It is then relayed only within this host's zone.
    known_to_leaders: bool,
    gossip: Gossip,
}

impl<C, L> Mesh<C, L>
where
    C: Codec,
    L: RowStore,
{
    /// Binds the QUIC endpoint to `address`, on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error when the key cannot be used or the address cannot be bound.
    pub fn bind(
        table_sync: TableSync<C, L>,
        identity: &Identity,
        address: SocketAddr,
    ) -> Result<Arc<Self>, MeshError> {
        let pins = &table_sync.gateway.pins;
        let server = QuicServerConfig::try_from(pinned_tls::server_config(identity, pins)?)?;
        let mut server = ServerConfig::with_crypto(Arc::new(server));
        server.transport_config(transport_config(IDLE_TIMEOUT_MS, MAX_CONCURRENT_STREAMS));
        let client = QuicClientConfig::try_from(pinned_tls::client_config(identity, pins)?)?;
        let mut client = ClientConfig::new(Arc::new(client));
        client.transport_config(transport_config(IDLE_TIMEOUT_MS, MAX_CONCURRENT_STREAMS));
        let mut endpoint = Endpoint::server(server, address)?;
        endpoint.set_default_client_config(client);
        Ok(Arc::new(Mesh {
            table_sync,
            endpoint,
            connections: Mutex::default(),
            recent_gossip: Mutex::default(),
            election: Mutex::default(),
            host_rows_cache: Mutex::default(),
        }))
    }

    /// Runs the mesh's loops until the process ends.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(
            self.clone().accept_connections(),
            self.clone().dial_neighbours(),
            self.clone().send_gossip(),
            self.clone().catch_up(),
            self.clone().pull_from_leader(),
            self.clone().ask_origins(),
            self.clone().ask_wanted_crash_news(),
        );
    }

    /// Returns the rows of all hosts, which are decoded once for each version of their table.
    fn host_rows(&self) -> Arc<HashMap<Host, HostRow>> {
        let replica = self.table_sync.replicas.table(Table::Hosts);
        let mut cached = self.host_rows_cache.lock().unwrap_or_else(PoisonError::into_inner);
        let (revision, retained) = (replica.revision(), replica.retained_count());
        if (cached.revision, cached.retained) == (revision, retained) {
            return cached.rows.clone();
        }
        let rows = replica.rows().filter_map(|row| {
            let host = Host::new(row.key.clone());
            match serde_json::from_slice(row.value.as_deref()?) {
                Ok(value) => Some((host, value)),
                Err(err) => {
                    log::warn!(peer = host.as_str(), error = err.to_string().as_str();
                        "host's row cannot be read");
                    None
                }
            }
        });
        *cached = HostRowsCache { revision, retained, rows: Arc::new(rows.collect()) };
        cached.rows.clone()
    }

    /// Returns the hosts that this one keeps connections to: all others in a small mesh, otherwise
    /// the next [`FANOUT`] on the hash ring and, for a leader, the leaders of the other zones.
    fn neighbours(&self, rows: &HashMap<Host, HostRow>) -> Vec<Host> {
        let me = &self.table_sync.gateway.host_settings.host;
        let mut ring: Vec<_> = rows.keys().filter(|it| *it != me).cloned().collect();
        let key = rendezvous::hash_parts(&["mesh"]);
        let own_weight = rendezvous::weight(key, me.as_str());
        // Sorts by the distance from this host around the hash ring.
        ring.sort_by_key(|it| rendezvous::weight(key, it.as_str()).wrapping_sub(own_weight));
        if ring.len() <= FULL_MESH_PEERS {
            return ring;
        }
        ring.truncate(FANOUT);
        if !self.is_delegated() {
            ring.extend(self.other_zone_leaders(rows));
        }
        ring
    }

    /// Returns the presumed leaders of the other zones: the first [`LEADERS_PER_ZONE`] hosts of each
    /// that can be reached.
    fn other_zone_leaders(&self, rows: &HashMap<Host, HostRow>) -> Vec<Host> {
        let own_zone = self.table_sync.gateway.host_settings.zone.as_str();
        let mut zones: HashMap<&str, Vec<Member>> = HashMap::new();
        for (host, row) in rows.iter().filter(|it| it.1.zone != own_zone) {
            zones.entry(&row.zone).or_default().push(member(host, row));
        }
        let now = self.table_sync.gateway.now();
        let election = self.election();
        let reachable = zones.into_values().flat_map(|members| {
            let ranked = zone_leader::rank(members).into_iter();
            ranked.filter(|it| !election.is_silent(now, it)).take(LEADERS_PER_ZONE)
        });
        reachable.collect()
    }

    /// Returns the hosts of this zone, the preferred leader first.
    fn ranked_zone(&self, rows: &HashMap<Host, HostRow>) -> Vec<Host> {
        let zone = self.table_sync.gateway.host_settings.zone.as_str();
        let members = rows.iter().filter(|it| it.1.zone == zone);
        zone_leader::rank(members.map(|(host, row)| member(host, row)).collect())
    }

    fn election(&self) -> MutexGuard<'_, Election> {
        self.election.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether another host reads the upstreams table and the cache stores for this one.
    fn is_delegated(&self) -> bool {
        self.table_sync.replicas.is_delegated(self.table_sync.gateway.now())
    }

    /// Updates the pinned fingerprints and opens missing connections.
    async fn dial_neighbours(self: Arc<Self>) {
        let me = self.table_sync.gateway.host_settings.host.clone();
        let mut known = None;
        loop {
            let rows = self.host_rows();
            if !known.as_ref().is_some_and(|it| Arc::ptr_eq(it, &rows)) {
                let pins = rows.iter().map(|(host, row)| (row.fingerprint.clone(), host.clone()));
                self.table_sync.gateway.pins.set(pins.collect());
                self.set_detour_candidates(&rows);
                known = Some(rows.clone());
            }
            let full_mesh = rows.len() <= FULL_MESH_PEERS + 1;
            for host in self.neighbours(&rows) {
                // In a full mesh both hosts want the connection; the one whose name sorts first
                // dials.
                let peer_dials = full_mesh && host < me;
                if peer_dials
                    || self.connections().get(&host).is_some_and(|it| it.close_reason().is_none())
                {
                    continue;
                }
                tokio::spawn(self.clone().connect(host.clone(), rows[&host].address));
            }
            self.connections()
                .retain(|host, it| rows.contains_key(host) && it.close_reason().is_none());
            sleep(DIAL_PERIOD).await;
        }
    }

    /// Sets the hosts that may take requests whose upstreams this host does not reach.
    fn set_detour_candidates(&self, rows: &HashMap<Host, HostRow>) {
        let gateway = &self.table_sync.gateway;
        let others = rows.iter().filter(|it| *it.0 != gateway.host_settings.host);
        let candidate = |(host, row): (&Host, &HostRow)| {
            Some(Candidate {
                host: host.clone(),
                zone: Zone::new(row.zone.clone()),
                address: row.detour_address?,
                processor_millis: row.processor_millis,
            })
        };
        gateway.detours().set_candidates(others.filter_map(candidate).collect());
    }

    /// Opens a connection to a host and serves it until it ends.
    async fn connect(self: Arc<Self>, host: Host, address: SocketAddr) {
        let Ok(connecting) = self.endpoint.connect(address, "mothvale") else { return };
        match timeout(CALL_TIMEOUT, connecting).await {
            Ok(Ok(connection)) => return self.serve_connection(host, connection).await,
            Ok(Err(err)) => {
                log::debug!(peer = host.as_str(), error = err.to_string().as_str();
                    "host cannot be reached");
            }
            Err(_) => log::debug!(peer = host.as_str(); "host does not answer"),
        }
        // The leaders of this zone are counted by the rounds of pulls.
        let gateway = &self.table_sync.gateway;
        if self
            .host_rows()
            .get(&host)
            .is_some_and(|it| it.zone != gateway.host_settings.zone.as_str())
        {
            self.election().record_failure(gateway.now(), &host, 1);
        }
    }

    async fn accept_connections(self: Arc<Self>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let mesh = self.clone();
            tokio::spawn(async move {
                let Ok(Ok(connection)) = timeout(CALL_TIMEOUT, incoming).await else { return };
                let Some(host) = mesh.table_sync.gateway.pins.peer(&connection) else { return };
                mesh.serve_connection(host, connection).await;
            });
        }
    }

    /// Receives gossip and answers calls until the connection ends.
    async fn serve_connection(self: Arc<Self>, host: Host, connection: Connection) {
        log::info!(peer = host.as_str(); "host is connected");
        self.connections().insert(host.clone(), connection.clone());
        tokio::spawn(self.clone().ask_crashes(host.clone(), connection.clone()));
        loop {
            tokio::select! {
                datagram = connection.read_datagram() => match datagram {
                    Ok(bytes) => self.handle_datagram(&host, bytes),
                    Err(err) => {
                        log::info!(peer = host.as_str(), reason = err.to_string().as_str();
                            "host is disconnected");
                        return;
                    }
                },
                stream = connection.accept_bi() => {
                    let Ok((mut send, mut recv)) = stream else { continue };
                    let (mesh, requester) = (self.clone(), host.clone());
                    tokio::spawn(async move {
                        let bytes = recv.read_to_end(MAX_MESSAGE_BYTES).await.ok()?;
                        let question = Question::decode(Bytes::from(bytes)).ok()?;
                        let answer = match question.body? {
                            question::Body::Wanted(wanted) => encode(&mesh.changed_rows(&wanted)?),
                            question::Body::Pull(pull) =>
                                encode(&mesh.answer_pull(&requester, pull)?),
                            question::Body::Origin(origin) => encode(
                                &mesh.table_sync.gateway.answer_origin(&origin).await,
                            ),
                            question::Body::Crashes(_) =>
                                encode(&crash_gossip::news(&mesh.table_sync.gateway)),
                            question::Body::Gossip(gossip) => {
                                mesh.apply_gossip(&requester, gossip);
                                Bytes::new()
                            }
                        };
                        send.write_all(&answer).await.ok()?;
                        send.finish().ok()
                    });
                }
            }
        }
    }

    fn handle_datagram(&self, host: &Host, bytes: Bytes) {
        match Gossip::decode(bytes) {
            Ok(gossip) => self.apply_gossip(host, gossip),
            Err(_) => log::warn!(peer = host.as_str(); "gossip cannot be read"),
        }
    }

    fn apply_gossip(&self, host: &Host, gossip: Gossip) {
        let gateway = &self.table_sync.gateway;
        let now = gateway.now();
        let loads = gossip.loads.iter().map(|it| (it.upstream, (it.tokens, it.requests)));
        gateway.fleet().record_peer_loads(now, host, loads.collect());
        gateway.fleet().mark_loading(now, &gossip.loading);
        for it in &gossip.loaded {
            let (id, model) = (Upstream::new(it.upstream.clone()), Model::new(it.model.clone()));
            gateway.fleet().record_weight_version(&id, &model, it.version);
        }
        crash_gossip::apply(gateway, host, &gossip);
        let operators = Revision { era: gossip.operators_era, version: gossip.operators };
        if operators > self.revision(Table::Operators) {
            self.table_sync.replicas.set_newer_peer(host);
        }
        for departure in &gossip.departures {
            match Departure::try_from(departure) {
                Ok(departure) => gateway.record_remote_departure(host, &departure),
                Err(err) => log::warn!(peer = host.as_str(), error = err.to_string().as_str();
                    "departure of an upstream in gossip cannot be read"),
            }
        }
        gateway.apply_limit_news(host, &gossip.limits);
        // Leaders tell each other what the hosts of their zones have told them.
        let relays = self.is_large_mesh() && !self.is_delegated() && !gossip.zone;
        let source = if relays { Source::Relayed } else { Source::Told };
        let is_of_zone = |it: &HostRow| it.zone == gateway.host_settings.zone.as_str();
        let is_saved_here = !gossip.zone && self.host_rows().get(host).is_some_and(is_of_zone);
        gateway.apply_stream_news(&gossip.origins, source, is_saved_here);
        gateway.apply_build_news(host, &gossip);
        for it in &gossip.targets {
            let age = it.age_ms.map(Duration::from_millis);
            gateway.follow_target_weights(host, Model::new(it.model.clone()), it.version, age);
        }
        let demands = gossip.demands.iter().map(|it| (it.store, it.tokens)).collect();
        gateway.cache_index().links().record_peer(now, host, demands);
        if self.is_large_mesh() && !self.is_delegated() {
            let known_to_leaders = gossip.zone;
            self.relay_gossip(now, known_to_leaders, gossip);
        }
    }

    /// Keeps gossip about crashes and rollouts, if it has any, to relay it for [`RELAY_WINDOW`].
    fn relay_gossip(&self, received_at: Instant, known_to_leaders: bool, gossip: Gossip) {
        if !crash_gossip::has_news(&gossip) && gossip.loading.is_empty() && gossip.loaded.is_empty()
        {
            return;
        }
        let gossip = Gossip {
            loads: Vec::new(),
            demands: Vec::new(),
            targets: Vec::new(),
            causes: Vec::new(),
            limits: Vec::new(),
            origins: Vec::new(),
            build_reports: Vec::new(),
            build_states: Vec::new(),
            ..gossip
        };
        let mut recent = self.recent_gossip();
        recent.retain(|it| received_at.since(it.received_at) < RELAY_WINDOW);
        recent.push(RecentGossip { received_at, known_to_leaders, gossip });
    }

    /// Returns gossip about this host's own requests and observations, and for a leader (`zone`) what hosts
    /// of its zone have counted of builds. Each break is returned once. Also backs off from the upstreams that this host's rollout is loading.
    fn take_own_gossip(&self, zone: bool) -> Gossip {
        let gateway = &self.table_sync.gateway;
        let rollout = gateway.rollout().clone();
        let loading = rollout.loading.iter();
        let loading: Vec<_> = loading.filter_map(|it| gateway.fleet().short_id(it)).collect();
        gateway.fleet().mark_loading(gateway.now(), &loading);
        let loaded = rollout.loaded.into_iter().map(|(id, model, version)| peer::Loaded {
            upstream: FastStr::new(id.as_str()),
            model: FastStr::new(model.as_str()),
            version,
        });
        let demands = gateway.cache_index().links().combined(gateway.now(), |_| false);
        // Locks the fleet, as the loads below do.
        let departures = self.recent_departures();
        let operators = self.revision(Table::Operators);
        // The lock of the fleet is released before it is taken again below.
        let targets = self.unstored_targets();
        let limits = gateway.limit_news();
        let origins = gateway.take_stream_news();
        let build_reports = gateway.take_build_reports(zone);
        let build_states = gateway.build_states();
        let mut gossip = Gossip {
            loads: encode_loads(gateway.fleet().loads()),
            operators: operators.version,
            operators_era: operators.era,
            targets,
            loading,
            loaded: loaded.collect(),
            zone: false,
            demands: encode_demands(demands),
            departures,
            limits,
            origins,
            build_reports,
            build_states,
            ..Gossip::default()
        };
        crash_gossip::write(gateway, &mut gossip);
        gossip
    }

    /// Returns the departures that this host has learned a moment ago, from upstreams or from other
    /// hosts, which it passes on in either case.
    fn recent_departures(&self) -> Vec<peer::Departure> {
        let gateway = &self.table_sync.gateway;
        gateway.fleet().departures.news(gateway.now()).into_iter().map(Into::into).collect()
    }

    /// Returns the target weight versions that hosts which have just started cannot learn from the row
    /// store, because it came back from a copy.
    fn unstored_targets(&self) -> Vec<peer::Target> {
        let gateway = &self.table_sync.gateway;
        let now = gateway.now();
        let all = gateway.holdover().is_active(now);
        let targets = gateway.fleet().target_weights.unstored(all).into_iter();
        let target = |(model, version, set_after): (Model, u32, Option<Instant>)| peer::Target {
            model: FastStr::new(model.as_str()),
            version,
            age_ms: set_after.map(|it| millis(now.since(it))),
        };
        targets.map(target).collect()
    }

    /// Adds recently received gossip to a message: all of it for a host of this zone, only that
    /// from this zone for other leaders.
    fn add_recent_gossip(&self, gossip: &mut Gossip, within_zone: bool) {
        let now = self.table_sync.gateway.now();
        let mut recent = self.recent_gossip();
        recent.retain(|it| now.since(it.received_at) < RELAY_WINDOW);
        for RecentGossip { gossip: it, received_at, .. } in
            recent.iter().filter(|it| within_zone || !it.known_to_leaders)
        {
            crash_gossip::relay(it, now.since(*received_at), gossip);
            gossip.loading.extend(&it.loading);
            gossip.loaded.extend(it.loaded.iter().cloned());
        }
    }

    fn recent_gossip(&self) -> MutexGuard<'_, Vec<RecentGossip>> {
        self.recent_gossip.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the revision up to which this host knows a table.
    fn revision(&self, table: Table) -> Revision {
        self.table_sync.replicas.table(table).revision()
    }

    /// Returns the rows of a table that changed after a revision, or `None` if there is no table
    /// with the requested index.
    fn changed_rows(&self, wanted: &Wanted) -> Option<peer::Rows> {
        let table = *SYNCED_TABLES.get(wanted.table as usize)?;
        let replica = self.table_sync.replicas.table(table);
        let known = Revision { era: wanted.era, version: wanted.version };
        let rows = replica.changes_since(known).into_iter();
        let row = |it: Row| peer::Row { key: it.key, value: it.value, version: it.version };
        let revision = replica.revision();
        Some(peer::Rows {
            version: revision.version,
            era: revision.era,
            whole: !replica.has_changes_since(known),
            rows: rows.map(row).collect(),
        })
    }

    /// Sends gossip to the other hosts. In a large mesh, only leaders send it, to each other, for their
    /// whole zones and without loads; other hosts exchange theirs with their leader when they pull.
    async fn send_gossip(self: Arc<Self>) {
        let gateway = &self.table_sync.gateway;
        loop {
            sleep(GOSSIP_PERIOD).await;
            gateway.record_crash_turn();
            let rows = self.host_rows();
            if rows.len() <= FULL_MESH_PEERS + 1 {
                let connected: Vec<_> = self.connections().keys().cloned().collect();
                self.send_to(&connected, &self.take_own_gossip(false));
                continue;
            }
            if self.is_delegated() {
                continue;
            }
            let zone = gateway.host_settings.zone.as_str();
            let in_zone = |host: &Host| rows.get(host).is_some_and(|it| it.zone == zone);
            let mut gossip = self.take_own_gossip(true);
            // Loads from other zones would arrive later than a first token. Hosts of all zones would
            // then choose the same engines, which seemed idle a moment ago.
            gossip.loads = Vec::new();
            let demands = gateway.cache_index().links().combined(gateway.now(), in_zone);
            gossip.demands = encode_demands(demands);
            gossip.zone = true;
            let own = gossip.clone();
            self.add_recent_gossip(&mut gossip, false);
            self.send_to(&self.other_zone_leaders(&rows), &gossip);
            // The hosts of this zone get it when they pull.
            self.relay_gossip(gateway.now(), true, own);
        }
    }

    /// Sends gossip to hosts that are connected: as a datagram, or as a call if it is too large for one.
    fn send_to(&self, hosts: &[Host], gossip: &Gossip) {
        let bytes = encode(gossip);
        let connections = self.connections();
        for (host, connection) in hosts.iter().filter_map(|it| Some((it, connections.get(it)?))) {
            if connection.max_datagram_size().is_none_or(|it| bytes.len() > it) {
                let (connection, gossip) = (connection.clone(), gossip.clone());
                tokio::spawn(async move {
                    call(&connection, question::Body::Gossip(gossip)).await;
                });
                continue;
            }
            if let Err(err) = connection.send_datagram(bytes.clone()) {
                log::debug!(peer = host.as_str(), error = err.to_string().as_str();
                    "gossip cannot be sent");
            }
        }
    }

    /// Fetches table rows from other hosts while the row store cannot be read, or when one of them
    /// has newer rows.
    async fn catch_up(self: Arc<Self>) {
        let replicas = self.table_sync.replicas.clone();
        let mut round = 0_u64;
        loop {
            replicas.sync_needed.notified().await;
            round += 1;
            let connections: Vec<_> = self
                .connections()
                .iter()
                .map(|(host, connection)| (host.clone(), connection.clone()))
                .collect();
            // Each round asks the hosts in another order.
            let mut connections: Vec<_> = connections
                .into_iter()
                .map(|it| (rendezvous::mix64(round ^ rendezvous::hash_parts(&[it.0.as_str()])), it))
                .collect();
            connections.sort_by_key(|it| it.0);
            let newer_peer = replicas.take_newer_peer();
            let (newer, others): (Vec<_>, Vec<_>) = connections
                .into_iter()
                .map(|it| it.1)
                .partition(|it| newer_peer.as_ref() == Some(&it.0));
            for (host, connection) in newer.into_iter().chain(others).take(MAX_PEERS_ASKED) {
                for table_index in 0..SYNCED_TABLES.len() {
                    self.fetch_changes(&host, &connection, table_index).await;
                }
            }
            sleep(CATCH_UP_PERIOD).await;
        }
    }

    /// Fetches and applies the rows of a table that are newer on another host. `table_index` is the
    /// table's index in [`SYNCED_TABLES`].
    async fn fetch_changes(&self, host: &Host, connection: &Connection, table_index: usize) {
        let table = SYNCED_TABLES[table_index];
        let known = self.revision(table);
        let wanted = wanted(table_index, known);
        let Some(bytes) = call(connection, question::Body::Wanted(wanted)).await else { return };
        let Ok(rows) = peer::Rows::decode(bytes) else { return };
        if (Revision { era: rows.era, version: rows.version }) <= known {
            return;
        }
        log::info!(peer = host.as_str(), table = table.name(), known_era = known.era,
            known = known.version, era = rows.era, version = rows.version,
            rows = rows.rows.len(); "received rows from another host");
        self.apply_rows(host, table, known, rows);
    }

    /// Applies rows that another host has sent: all rows of a table, or the changes since the revision
    /// `known`. Returns whether this host now knows at least what the other one does; it does not if
    /// the rows are of a former era of the row store.
    fn apply_rows(&self, host: &Host, table: Table, known: Revision, rows: peer::Rows) -> bool {
        let revision = Revision { era: rows.era, version: rows.version };
        let row = |it: peer::Row| Row { key: it.key, value: it.value, version: it.version };
        let changes = rows.rows.into_iter().map(row).collect();
        let is_former = revision.era < self.revision(table).era;
        if is_former || !rows.whole && revision.era != known.era {
            log::debug!(peer = host.as_str(), table = table.name(), known_era = known.era,
                era = revision.era, version = revision.version;
                "rows of another era from another host are ignored");
            return false;
        }
        self.table_sync.record_era(revision.era, host.as_str());
        self.table_sync.apply(table, changes, known, revision, rows.whole);
        true
    }

    /// Pulls from the leader of the zone what this host would otherwise read itself: the tables of
    /// hosts and upstreams and the changes of the cache stores.
    async fn pull_from_leader(self: Arc<Self>) {
        let gateway = &self.table_sync.gateway;
        let replicas = &self.table_sync.replicas;
        let me = &gateway.host_settings.host;
        let mut leader = None;
        loop {
            sleep(PULL_PERIOD).await;
            let rows = self.host_rows();
            let ranked = self.ranked_zone(&rows);
            self.election().start_round(gateway.now());
            let candidates = self.election().candidates(gateway.now(), &ranked, me);
            for host in candidates {
                let started = gateway.now();
                if self.pull_from(&host, &rows[&host]).await {
                    let now = gateway.now();
                    if !replicas.is_delegated(now) {
                        log::info!(peer = host.as_str();
                            "another host reads upstreams and cache stores for this one");
                    }
                    replicas.delegate_reads(now + DELEGATION_TTL);
                    if leader.as_ref() != Some(&host) {
                        gateway.tell_streams_again();
                        leader = Some(host.clone());
                    }
                    self.election().record_answer(now, &host);
                    break;
                }
                let now = gateway.now();
                let timed_out = now.since(started) >= CALL_TIMEOUT;
                let failures = if timed_out { TIMEOUT_FAILURES } else { 1 };
                self.election().record_failure(now, &host, failures);
            }
            let reads_stores = self.election().reads_stores(gateway.now(), &ranked, me);
            if reads_stores != replicas.reads_stores() {
                log::info!(reads = reads_stores, hosts = ranked.len();
                    "reading of cache stores by this host changed");
            }
            replicas.set_reads_stores(reads_stores);
        }
    }

    /// Asks a host for what it knows of crashes, of which this one may have missed some while they were not connected.
    async fn ask_crashes(self: Arc<Self>, host: Host, connection: Connection) {
        let gateway = &self.table_sync.gateway;
        for _ in 0..MAX_CRASH_QUESTIONS {
            let asked_at = gateway.now();
            let body = question::Body::Crashes(peer::CrashQuestion {});
            let answer = call(&connection, body).await;
            // A host of an earlier build does not answer.
            if let Some(news) = answer.and_then(|it| peer::CrashNews::decode(it).ok()) {
                crash_gossip::apply_news(gateway, &host, asked_at, &news);
                return;
            }
            if connection.close_reason().is_some() {
                return;
            }
            sleep(DIAL_PERIOD).await;
        }
    }

    /// Asks a few hosts for what they know of crashes whenever requests wait for it.
    async fn ask_wanted_crash_news(self: Arc<Self>) {
        loop {
            self.table_sync.gateway.crash_news_wanted.notified().await;
            let connections: Vec<_> = self
                .connections()
                .iter()
                .take(MAX_CRASH_SOURCES)
                .map(|(host, connection)| (host.clone(), connection.clone()))
                .collect();
            for (host, connection) in connections {
                tokio::spawn(self.clone().ask_crashes(host, connection));
            }
            // Requests that begin to wait meanwhile share the answers.
            sleep(CRASH_QUESTION_PAUSE).await;
        }
    }

    /// Asks other hosts where streams began that callers resume here.
    async fn ask_origins(self: Arc<Self>) {
        let Some(mut questions) = self.table_sync.gateway.origin_questions.take_receiver() else {
            return;
        };
        while let Some(asked) = questions.recv().await {
            let OriginQuestion { service, attempt, reads_rows, answer } = asked;
            let question = peer::OriginQuestion {
                service: FastStr::new(service.as_str()),
                attempt: attempt.0,
                reads_rows,
            };
            let mut calls = JoinSet::new();
            for connection in self.origin_sources() {
                let body = question::Body::Origin(question.clone());
                calls.spawn(async move { call(&connection, body).await });
            }
            tokio::spawn(async move {
                let mut all = peer::OriginAnswer::default();
                let collect = async {
                    while let Some(bytes) = calls.join_next().await {
                        let Ok(Some(bytes)) = bytes else { continue };
                        let Ok(origin) = peer::OriginAnswer::decode(bytes) else { continue };
                        all.mixed |= origin.mixed;
                        all.knows_builds |= origin.knows_builds;
                        all.has_read_rows |= origin.has_read_rows;
                        if origin.build.is_some() {
                            (all.service, all.build) = (origin.service, origin.build);
                            return;
                        }
                    }
                };
                // A host that was lost a moment ago does not answer; what the others say counts.
                let _ = timeout(ORIGIN_ROUND, collect).await;
                // The request may have been given up meanwhile.
                let _ = answer.send(all);
            });
        }
    }

    /// Returns connections to the hosts that are asked where a stream began: those of this zone, its leader
    /// first, then others.
    fn origin_sources(&self) -> Vec<Connection> {
        let ranked = self.ranked_zone(&self.host_rows());
        let connections = self.connections();
        let of_zone = ranked.iter().filter(|it| connections.contains_key(*it));
        let others = connections.keys().filter(|it| !ranked.contains(*it));
        let hosts = of_zone.chain(others).take(MAX_ORIGIN_SOURCES);
        hosts.filter_map(|it| connections.get(it).cloned()).collect()
    }

    /// Pulls from `host` and applies what it answers. Returns whether it answered with data that is
    /// fresh enough.
    async fn pull_from(self: &Arc<Self>, host: &Host, row: &HostRow) -> bool {
        let connection =
            self.connections().get(host).filter(|it| it.close_reason().is_none()).cloned();
        let Some(connection) = connection else {
            tokio::spawn(self.clone().connect(host.clone(), row.address));
            return false;
        };
        let gateway = &self.table_sync.gateway;
        let requested_at = gateway.now();
        let mark = |(address, boot, next): (SocketAddr, u64, u64)| peer::StoreMark {
            address: address.to_string().into(),
            boot,
            next,
        };
        // Each lock is released before the next one is taken.
        let cursors = gateway.cache_index().cursors();
        let known_upstreams = self.revision(Table::Upstreams);
        let known_hosts = self.revision(Table::Hosts);
        let pull = Pull {
            upstreams: known_upstreams.version,
            upstreams_era: known_upstreams.era,
            stores: cursors.into_iter().map(mark).collect(),
            own: self.is_large_mesh().then(|| self.take_own_gossip(false)),
            hosts: known_hosts.version,
            hosts_era: known_hosts.era,
        };
        // What is lost with a failed call is told again.
        let Some(bytes) = call(&connection, question::Body::Pull(pull)).await else { return false };
        let Ok(pulled) = peer::Pulled::decode(bytes) else { return false };
        let age = Duration::from_millis(pulled.age_ms);
        if age > gateway.host_settings.bounds.drain.mul_f64(MAX_AGE_FRACTION) {
            return false;
        }
        let Some(upstreams) = pulled.upstreams else { return false };
        let rows_as_of = requested_at.saturating_sub(age);
        let revision = Revision { era: upstreams.era, version: upstreams.version };
        if !self.apply_rows(host, Table::Upstreams, known_upstreams, upstreams) {
            return false;
        }
        gateway.store_history().record(rows_as_of, revision);
        if let Some(hosts) = pulled.hosts {
            self.apply_rows(host, Table::Hosts, known_hosts, hosts);
        }
        if let Some(others) = pulled.others {
            self.apply_gossip(host, others);
        }
        gateway.set_rows_as_of(rows_as_of);
        for store in pulled.stores {
            let Ok(address) = store.address.parse() else { continue };
            let part = |it: peer::StorePart| CachedPart { key: it.key, tokens: it.tokens };
            gateway.cache_index().import(
                requested_at,
                &StoreUpdate {
                    address,
                    boot: store.boot,
                    cursor: store.next,
                    is_snapshot: store.whole,
                    age: Duration::from_millis(store.age_ms),
                    clock_ms: store.clock,
                    clock_age: Duration::from_millis(store.clock_age_ms),
                    parts: store.parts.into_iter().map(part).collect(),
                },
            );
        }
        true
    }

    /// Answers a pull from another host of the zone, which ranks after this one. Returns `None` when
    /// this host is draining, or does not know as of when its own rows of the upstreams are.
    fn answer_pull(&self, requester: &Host, pull: Pull) -> Option<peer::Pulled> {
        let gateway = &self.table_sync.gateway;
        let now = gateway.now();
        if gateway.draining.is_cancelled() {
            return None;
        }
        let rows_as_of = gateway.fleet().target_weights.rows_as_of()?;
        let others = pull.own.map(|own| {
            self.apply_gossip(requester, own);
            let loads = gateway.fleet().combined_loads(|it| it != requester);
            let demands = gateway.cache_index().links().combined(now, |it| it != requester);
            let departures = self.recent_departures();
            let operators = self.revision(Table::Operators);
            let targets = self.unstored_targets();
            let mut others = Gossip {
                loads: encode_loads(loads),
                demands: encode_demands(demands),
                operators: operators.version,
                operators_era: operators.era,
                targets,
                departures,
                limits: gateway.limit_news(),
                build_states: gateway.build_states(),
                ..Gossip::default()
            };
            crash_gossip::write_causes(gateway, &mut others);
            self.add_recent_gossip(&mut others, true);
            others
        });
        // The tables are given by their index in `SYNCED_TABLES`.
        let known = Revision { era: pull.upstreams_era, version: pull.upstreams };
        let wanted_upstreams = wanted(1, known);
        let wanted_hosts = wanted(2, Revision { era: pull.hosts_era, version: pull.hosts });
        let stores = pull.stores.iter().filter_map(|it| {
            let address = it.address.parse().ok()?;
            let update = gateway.cache_index().export(now, address, it.boot, it.next)?;
            let part = |it: CachedPart| peer::StorePart { key: it.key, tokens: it.tokens };
            Some(peer::StoreNews {
                address: it.address.clone(),
                boot: update.boot,
                next: update.cursor,
                whole: update.is_snapshot,
                age_ms: millis(update.age),
                clock: update.clock_ms,
                clock_age_ms: millis(update.clock_age),
                parts: update.parts.into_iter().map(part).collect(),
            })
        });
        // The iterator `stores` locks the cache index only when it is collected below.
        Some(peer::Pulled {
            upstreams: self.changed_rows(&wanted_upstreams),
            age_ms: millis(now.since(rows_as_of)),
            others,
            stores: stores.collect(),
            hosts: self.changed_rows(&wanted_hosts),
        })
    }

    /// Returns whether there are too many hosts for a full mesh.
    fn is_large_mesh(&self) -> bool {
        self.host_rows().len() > FULL_MESH_PEERS + 1
    }

    fn connections(&self) -> MutexGuard<'_, HashMap<Host, Connection>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes one call and returns its answer, or `None` when the call fails, times out or is answered
/// with nothing.
async fn call(connection: &Connection, body: question::Body) -> Option<Bytes> {
    let response = async {
        let (mut send, mut recv) = connection.open_bi().await.ok()?;
        send.write_all(&encode(&Question { body: Some(body) })).await.ok()?;
        send.finish().ok()?;
        recv.read_to_end(MAX_MESSAGE_BYTES).await.ok().filter(|it| !it.is_empty())
    };
    timeout(CALL_TIMEOUT, response).await.ok()?.map(Bytes::from)
}

/// Asks for the rows of a table, given by its index in [`SYNCED_TABLES`], since a revision.
fn wanted(table_index: usize, known: Revision) -> Wanted {
    Wanted { table: table_index as u32, version: known.version, era: known.era }
}

fn encode_loads(loads: Loads) -> Vec<peer::Load> {
    let load = |(upstream, (tokens, requests))| peer::Load { upstream, tokens, requests };
    loads.into_iter().map(load).collect()
}

fn encode_demands(demands: Demands) -> Vec<peer::Demand> {
    demands.into_iter().map(|(store, tokens)| peer::Demand { store, tokens }).collect()
}

fn member(host: &Host, row: &HostRow) -> Member {
    Member { host: host.clone(), processor_millis: row.processor_millis }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
