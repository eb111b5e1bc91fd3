//! What hosts tell each other over QUIC: requests in flight, crashes, and rows of the store for
//! those that the store does not serve.

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
use rustls::pki_types::CertificateDer;
use thiserror::Error as ThisError;
use tokio::time::{sleep, timeout};

use crate::{
    cache_index::{CachedPart, Update},
    codec::Codec,
    fleet::Loads,
    follow::{FOLLOWED_TABLES, Follower},
    generated::peer::{self, Gossip, Pull, Question, Wanted, question},
    node::HostRow,
    peer::{encode, transport_config},
    pinned_tls::{self, Identity, PinError, Pins},
    prelude::*,
    quarantine::{Crash, Fingerprint},
    rendezvous,
    replica::Row,
    row_store::{RowStore, Table},
};

/// How often a host tells its requests in flight: shorter than most of them last.
const PERIOD: Duration = Duration::from_millis(100);
/// Up to so many others, every host tells every other one. In a larger fleet, hosts tell the
/// keeper of their zone, and keepers tell each other.
const ALL: usize = 16;
/// Other hosts that a host of a large fleet is connected to beside the keeper of its zone, for
/// rows that the store does not give.
const FANOUT: usize = 3;
/// How long a keeper passes on what it was told of crashes and orders.
const PASSED_ON: Duration = Duration::from_millis(600);
/// How often missing connections are made.
const DIAL_PERIOD: Duration = Duration::from_millis(400);
/// Longest time for a connection or a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Silence that ends a connection, in milliseconds.
const IDLE_MS: u32 = 3000;
/// Calls that another host may have open at once.
const STREAMS: u32 = 8;
/// Bytes of a call or its answer: a configuration with many routes.
const MESSAGE_BYTES: usize = 8 << 20;
/// How often a host asks the keeper of its zone what that has read.
const PULL_PERIOD: Duration = Duration::from_millis(250);
/// How long an answer of the keeper stands for reads of this host's own.
const KEPT: Duration = Duration::from_millis(700);
/// A keeper whose own reads are older than this part of the drain bound is of no use.
const STALE_PART: f64 = 0.5;
/// Hosts that are asked at once for rows that the store does not give.
const ASKED: usize = 2;
/// Pause between such rounds.
const ASK_PERIOD: Duration = Duration::from_millis(300);

/// Why a host cannot speak with others.
#[derive(Debug, ThisError)]
pub enum MeshError {
    /// There is no usable key.
    #[error("mesh: {0}")]
    Pin(#[from] PinError),
    /// The address cannot be listened at.
    #[error("mesh: cannot listen: {0}")]
    Listen(#[from] std::io::Error),
    /// The key does not suit QUIC.
    #[error("mesh: {0}")]
    Quic(#[from] quinn::crypto::rustls::NoInitialCipherSuite),
}

/// One host's end of the mesh.
pub struct Mesh<D, L> {
    follower: Follower<D, L>,
    endpoint: Endpoint,
    pins: Pins,
    links: Mutex<HashMap<Host, Connection>>,
    /// What was told a moment ago, to be passed on in a large fleet.
    heard: Mutex<Vec<Heard>>,
    /// The hosts' rows as read at a version of their table.
    known: Mutex<(u64, Arc<HashMap<Host, HostRow>>)>,
}

/// What was told a moment ago.
struct Heard {
    at: Instant,
    /// Whether it came from the keeper of another zone, which all keepers hear themselves.
    far: bool,
    gossip: Gossip,
}

impl<D, L> Mesh<D, L>
where
    D: Codec,
    L: RowStore,
{
    /// Listens at an address, on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error when the key or the address cannot be used.
    pub fn bind(
        follower: Follower<D, L>,
        identity: &Identity,
        address: SocketAddr,
    ) -> Result<Arc<Self>, MeshError> {
        let pins = Pins::default();
        let server = QuicServerConfig::try_from(pinned_tls::server_config(identity, &pins)?)?;
        let mut server = ServerConfig::with_crypto(Arc::new(server));
        server.transport_config(transport_config(IDLE_MS, STREAMS));
        let client = QuicClientConfig::try_from(pinned_tls::client_config(identity, &pins)?)?;
        let mut client = ClientConfig::new(Arc::new(client));
        client.transport_config(transport_config(IDLE_MS, STREAMS));
        let mut endpoint = Endpoint::server(server, address)?;
        endpoint.set_default_client_config(client);
        Ok(Arc::new(Mesh {
            follower,
            endpoint,
            pins,
            links: Mutex::default(),
            heard: Mutex::default(),
            known: Mutex::default(),
        }))
    }

    /// Speaks with other hosts until the process ends.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(
            self.clone().accept(),
            self.clone().dial(),
            self.clone().tell(),
            self.clone().catch_up(),
            self.clone().pull(),
        );
    }

    /// Returns all hosts by their rows, which are read once for each version.
    fn rows(&self) -> Arc<HashMap<Host, HostRow>> {
        let replica = self.follower.replicas.table(Table::Hosts);
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if known.0 == replica.version() {
            return known.1.clone();
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
        *known = (replica.version(), Arc::new(rows.collect()));
        known.1.clone()
    }

    /// Returns the hosts that this one keeps connections to, those that follow it in rank.
    fn neighbours(&self, rows: &HashMap<Host, HostRow>) -> Vec<Host> {
        let me = &self.follower.gateway.host_config.host;
        let mut ring: Vec<_> = rows.keys().filter(|it| *it != me).cloned().collect();
        let key = rendezvous::hash_parts(&["mesh"]);
        let mine = rendezvous::weight(key, me.as_str());
        // The distance around the ring of ranks.
        ring.sort_by_key(|it| rendezvous::weight(key, it.as_str()).wrapping_sub(mine));
        if ring.len() <= ALL {
            return ring;
        }
        ring.truncate(FANOUT);
        if !self.is_delegated() {
            ring.extend(self.other_keepers(rows));
        }
        ring
    }

    /// Returns the first host of each other zone.
    fn other_keepers(&self, rows: &HashMap<Host, HostRow>) -> Vec<Host> {
        let host_config = &self.follower.gateway.host_config;
        let key = rendezvous::hash_parts(&["keeper"]);
        let mut first: HashMap<&str, (u64, &Host)> = HashMap::new();
        for (host, row) in rows.iter().filter(|it| it.1.zone != host_config.zone.as_str()) {
            let candidate = (rendezvous::weight(key, host.as_str()), host);
            let best = first.entry(&row.zone).or_insert(candidate);
            *best = (*best).max(candidate);
        }
        first.into_values().map(|it| it.1.clone()).collect()
    }

    fn is_delegated(&self) -> bool {
        self.follower.replicas.is_delegated(self.follower.gateway.now())
    }

    async fn dial(self: Arc<Self>) {
        let me = self.follower.gateway.host_config.host.clone();
        loop {
            let rows = self.rows();
            let pins = rows.iter().map(|(host, row)| (row.fingerprint.clone(), host.clone()));
            self.pins.set(pins.collect());
            let small = rows.len() <= ALL + 1;
            for host in self.neighbours(&rows) {
                // In a small fleet both would dial; the lesser name does.
                let other = small && host < me;
                if other || self.links().get(&host).is_some_and(|it| it.close_reason().is_none()) {
                    continue;
                }
                tokio::spawn(self.clone().connect(host.clone(), rows[&host].address));
            }
            self.links().retain(|host, it| rows.contains_key(host) && it.close_reason().is_none());
            sleep(DIAL_PERIOD).await;
        }
    }

    async fn connect(self: Arc<Self>, host: Host, address: SocketAddr) {
        let Ok(connecting) = self.endpoint.connect(address, "mothvale") else { return };
        match timeout(CALL_TIMEOUT, connecting).await {
            Ok(Ok(connection)) => self.listen(host, connection).await,
            Ok(Err(err)) => {
                log::debug!(peer = host.as_str(), error = err.to_string().as_str();
                    "host cannot be reached");
            }
            Err(_) => log::debug!(peer = host.as_str(); "host does not answer"),
        }
    }

    async fn accept(self: Arc<Self>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let mesh = self.clone();
            tokio::spawn(async move {
                let Ok(Ok(connection)) = timeout(CALL_TIMEOUT, incoming).await else { return };
                let Some(host) = mesh.caller(&connection) else { return };
                mesh.listen(host, connection).await;
            });
        }
    }

    /// Finds the host at the other end by the key that it has shown.
    fn caller(&self, connection: &Connection) -> Option<Host> {
        let identity = connection.peer_identity()?;
        let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
        self.pins.host(&pinned_tls::fingerprint(chain.first()?))
    }

    /// Takes what a host tells and answers what it asks until the connection ends.
    async fn listen(self: Arc<Self>, host: Host, connection: Connection) {
        log::info!(peer = host.as_str(); "host is connected");
        self.links().insert(host.clone(), connection.clone());
        loop {
            tokio::select! {
                told = connection.read_datagram() => match told {
                    Ok(bytes) => self.told(&host, bytes),
                    Err(err) => {
                        log::info!(peer = host.as_str(), reason = err.to_string().as_str();
                            "host is disconnected");
                        return;
                    }
                },
                stream = connection.accept_bi() => {
                    let Ok((mut send, mut recv)) = stream else { continue };
                    let (mesh, asker) = (self.clone(), host.clone());
                    tokio::spawn(async move {
                        let bytes = recv.read_to_end(MESSAGE_BYTES).await.ok()?;
                        let question = Question::decode(Bytes::from(bytes)).ok()?;
                        let answer = match question.body? {
                            question::Body::Wanted(wanted) => encode(&mesh.answer(&wanted)?),
                            question::Body::Pull(pull) => encode(&mesh.pulled(&asker, pull)?),
                        };
                        send.write_all(&answer).await.ok()?;
                        send.finish().ok()
                    });
                }
            }
        }
    }

    fn told(&self, host: &Host, bytes: Bytes) {
        match Gossip::decode(bytes) {
            Ok(gossip) => self.take(host, gossip),
            Err(_) => log::warn!(peer = host.as_str(); "gossip cannot be read"),
        }
    }

    fn take(&self, host: &Host, gossip: Gossip) {
        let gateway = &self.follower.gateway;
        let now = gateway.now();
        let loads = gossip.loads.iter().map(|it| (it.upstream, (it.tokens, it.requests)));
        gateway.fleet().record_peer_loads(now, host, loads.collect());
        gateway.fleet().mark_loading(now, &gossip.loading);
        for it in &gossip.loaded {
            let (id, model) = (Upstream::new(it.upstream.clone()), Model::new(it.model.clone()));
            gateway.fleet().record_weight_version(&id, &model, it.version);
        }
        for crash in &gossip.crashes {
            log::debug!(peer = host.as_str(), upstream = crash.upstream.as_str(),
                fingerprint = crash.request; "another host saw an upstream break off");
            gateway.record_remote_crash(&Crash {
                request: Fingerprint(crash.request),
                upstream: Upstream::new(crash.upstream.clone()),
            });
        }
        if gossip.operators > self.follower.replicas.table(Table::Operators).version() {
            self.follower.replicas.set_newer_peer(host);
        }
        let passed_on = !gossip.crashes.is_empty() || !gossip.loading.is_empty();
        if self.is_large() && (passed_on || !gossip.loaded.is_empty()) {
            let far = gossip.zone;
            let gossip = Gossip { loads: Vec::new(), ..gossip };
            self.heard().push(Heard { at: now, far, gossip });
        }
    }

    /// Returns what this host would tell of itself.
    fn own(&self) -> Gossip {
        let gateway = &self.follower.gateway;
        let rollout = gateway.rollout().clone();
        let loading = rollout.loading.iter();
        let loading: Vec<_> = loading.filter_map(|it| gateway.fleet().short_id(it)).collect();
        gateway.fleet().mark_loading(gateway.now(), &loading);
        let loaded = rollout.loaded.into_iter().map(|(id, model, version)| peer::Loaded {
            upstream: FastStr::new(id.as_str()),
            model: FastStr::new(model.as_str()),
            version,
        });
        let crashes = gateway.take_crashes().into_iter().map(|it| peer::Crash {
            request: it.request.0,
            upstream: FastStr::new(it.upstream.as_str()),
        });
        Gossip {
            loads: encode_loads(gateway.fleet().loads()),
            crashes: crashes.collect(),
            operators: self.follower.replicas.table(Table::Operators).version(),
            loading,
            loaded: loaded.collect(),
            zone: false,
        }
    }

    /// Adds what this host was told a moment ago to what it tells; to other keepers only what
    /// its own zone has told.
    fn pass_on(&self, gossip: &mut Gossip, far: bool) {
        let now = self.follower.gateway.now();
        let mut heard = self.heard();
        heard.retain(|it| now.since(it.at) < PASSED_ON);
        for Heard { gossip: it, .. } in heard.iter().filter(|it| far || !it.far) {
            gossip.crashes.extend(it.crashes.iter().cloned());
            gossip.loading.extend(&it.loading);
            gossip.loaded.extend(it.loaded.iter().cloned());
        }
    }

    fn heard(&self) -> MutexGuard<'_, Vec<Heard>> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, wanted: &Wanted) -> Option<peer::Rows> {
        let table = *FOLLOWED_TABLES.get(wanted.table as usize)?;
        let replica = self.follower.replicas.table(table);
        let rows = replica.changes_since(wanted.version).into_iter();
        let row = |it: Row| peer::Row { key: it.key, value: it.value, version: it.version };
        Some(peer::Rows { version: replica.version(), rows: rows.map(row).collect() })
    }

    /// Tells the other hosts of requests in flight and of crashes. In a large fleet only keepers
    /// tell, for their zones and to each other.
    async fn tell(self: Arc<Self>) {
        let gateway = &self.follower.gateway;
        loop {
            sleep(PERIOD).await;
            let rows = self.rows();
            if rows.len() <= ALL + 1 {
                let links: Vec<_> = self.links().keys().cloned().collect();
                self.send(&links, &self.own());
                continue;
            }
            if self.is_delegated() {
                continue;
            }
            let zone = gateway.host_config.zone.as_str();
            let near = |host: &Host| rows.get(host).is_some_and(|it| it.zone == zone);
            let mut gossip = self.own();
            gossip.loads = encode_loads(gateway.fleet().combined_loads(near));
            gossip.zone = true;
            let own = gossip.clone();
            self.pass_on(&mut gossip, false);
            self.send(&self.other_keepers(&rows), &gossip);
            // Zone members are told when they ask.
            if !own.crashes.is_empty() {
                let gossip = Gossip { loads: Vec::new(), ..own };
                self.heard().push(Heard { at: gateway.now(), far: true, gossip });
            }
        }
    }

    fn send(&self, hosts: &[Host], gossip: &Gossip) {
        let bytes = encode(gossip);
        let links = self.links();
        for (host, link) in hosts.iter().filter_map(|it| Some((it, links.get(it)?))) {
            if let Err(err) = link.send_datagram(bytes.clone()) {
                log::debug!(peer = host.as_str(), error = err.to_string().as_str();
                    "gossip cannot be sent");
            }
        }
    }

    /// Asks other hosts for rows while the store gives none, or when one of them knows more.
    async fn catch_up(self: Arc<Self>) {
        let replicas = self.follower.replicas.clone();
        let mut round = 0_u64;
        loop {
            replicas.sync_needed.notified().await;
            round += 1;
            let links: Vec<_> =
                self.links().iter().map(|(host, link)| (host.clone(), link.clone())).collect();
            let mut links: Vec<_> = links
                .into_iter()
                .map(|it| (rendezvous::mix64(round ^ rendezvous::hash_parts(&[it.0.as_str()])), it))
                .collect();
            links.sort_by_key(|it| it.0);
            let newer_peer = replicas.take_newer_peer();
            let (known, others): (Vec<_>, Vec<_>) =
                links.into_iter().map(|it| it.1).partition(|it| newer_peer.as_ref() == Some(&it.0));
            for (host, link) in known.into_iter().chain(others).take(ASKED) {
                for at in 0..FOLLOWED_TABLES.len() {
                    self.ask(&host, &link, at).await;
                }
            }
            sleep(ASK_PERIOD).await;
        }
    }

    async fn ask(&self, host: &Host, link: &Connection, at: usize) {
        let table = FOLLOWED_TABLES[at];
        let known = self.follower.replicas.table(table).version();
        let wanted = question::Body::Wanted(Wanted { table: at as u32, version: known });
        let Some(bytes) = exchange(link, wanted).await else { return };
        let Ok(rows) = peer::Rows::decode(bytes) else { return };
        if rows.version <= known {
            return;
        }
        log::info!(peer = host.as_str(), table = table.name(), known = known,
            version = rows.version, rows = rows.rows.len(); "rows come from another host");
        self.apply(table, rows);
    }

    fn apply(&self, table: Table, rows: peer::Rows) {
        let row = |it: peer::Row| Row { key: it.key, value: it.value, version: it.version };
        let rows_of = rows.rows.into_iter().map(row).collect();
        let (news, initial) = {
            let mut replica = self.follower.replicas.table(table);
            let initial = replica.version() == 0;
            (replica.apply_changes(rows_of, rows.version), initial)
        };
        self.follower.handle_changes(table, &news, initial);
    }

    /// Asks the keeper of the zone for what this host would otherwise read itself: the
    /// upstreams' table and the changes of the stores. Keepers are the first hosts of a zone
    /// in the order of ranks; a host that is itself the first one reads.
    async fn pull(self: Arc<Self>) {
        let gateway = &self.follower.gateway;
        loop {
            sleep(PULL_PERIOD).await;
            let rows = self.rows();
            for (host, row) in self.keepers(&rows) {
                if self.pull_from(&host, &row).await {
                    let now = gateway.now();
                    if !self.follower.replicas.is_delegated(now) {
                        log::info!(peer = host.as_str(); "another host reads for this one");
                    }
                    self.follower.replicas.delegate_reads(now + KEPT);
                    break;
                }
            }
        }
    }

    /// Returns the hosts of this zone that come before this one.
    fn keepers(&self, rows: &HashMap<Host, HostRow>) -> Vec<(Host, HostRow)> {
        let host_config = &self.follower.gateway.host_config;
        let key = rendezvous::hash_parts(&["keeper"]);
        let weight = |host: &Host| rendezvous::weight(key, host.as_str());
        let mine = weight(&host_config.host);
        let zone = rows.iter().filter(|it| it.1.zone == host_config.zone.as_str());
        let mut ahead: Vec<_> = zone.filter(|it| weight(it.0) > mine).collect();
        ahead.sort_by_key(|it| std::cmp::Reverse(weight(it.0)));
        ahead.into_iter().take(ASKED).map(|it| (it.0.clone(), it.1.clone())).collect()
    }

    async fn pull_from(self: &Arc<Self>, host: &Host, row: &HostRow) -> bool {
        let link = self.links().get(host).filter(|it| it.close_reason().is_none()).cloned();
        let Some(link) = link else {
            tokio::spawn(self.clone().connect(host.clone(), row.address));
            return false;
        };
        let gateway = &self.follower.gateway;
        let asked = gateway.now();
        let mark = |(address, boot, next): (SocketAddr, u64, u64)| peer::StoreMark {
            address: address.to_string().into(),
            boot,
            next,
        };
        let pull = Pull {
            upstreams: self.follower.replicas.table(Table::Upstreams).version(),
            stores: gateway.cache_index().cursors().into_iter().map(mark).collect(),
            own: self.is_large().then(|| self.own()),
        };
        let Some(bytes) = exchange(&link, question::Body::Pull(pull)).await else { return false };
        let Ok(pulled) = peer::Pulled::decode(bytes) else { return false };
        let age = Duration::from_millis(pulled.age_ms);
        if age > gateway.host_config.bounds.drain.mul_f64(STALE_PART) {
            return false;
        }
        let Some(upstreams) = pulled.upstreams else { return false };
        self.apply(Table::Upstreams, upstreams);
        if let Some(others) = pulled.others {
            self.take(host, others);
        }
        gateway.fleet().mark_synced_at(asked.saturating_sub(age));
        for store in pulled.stores {
            let Ok(address) = store.address.parse() else { continue };
            let part = |it: peer::StorePart| CachedPart { key: it.key, tokens: it.tokens };
            gateway.cache_index().import(
                asked,
                &Update {
                    address,
                    boot: store.boot,
                    cursor: store.next,
                    is_snapshot: store.whole,
                    age: Duration::from_millis(store.age_ms),
                    clock_ms: store.clock,
                    parts: store.parts.into_iter().map(part).collect(),
                },
            );
        }
        true
    }

    /// Answers another host of the zone, unless this host does not read itself.
    fn pulled(&self, asker: &Host, pull: Pull) -> Option<peer::Pulled> {
        let gateway = &self.follower.gateway;
        let replicas = &self.follower.replicas;
        let now = gateway.now();
        if replicas.is_delegated(now) || gateway.draining.is_cancelled() {
            return None;
        }
        let others = pull.own.map(|own| {
            self.take(asker, own);
            let loads = gateway.fleet().combined_loads(|it| it != asker);
            let mut others = Gossip {
                loads: encode_loads(loads),
                operators: replicas.table(Table::Operators).version(),
                ..Gossip::default()
            };
            self.pass_on(&mut others, true);
            others
        });
        let wanted = Wanted { table: 1, version: pull.upstreams };
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
                parts: update.parts.into_iter().map(part).collect(),
            })
        });
        // The lock ends with this statement, before that of the cache is taken.
        let read = gateway.fleet().target_weights.rows_as_of();
        Some(peer::Pulled {
            upstreams: self.answer(&wanted),
            age_ms: millis(now.since(read)),
            others,
            stores: stores.collect(),
        })
    }

    fn is_large(&self) -> bool {
        self.rows().len() > ALL + 1
    }

    fn links(&self) -> MutexGuard<'_, HashMap<Host, Connection>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes one call; none when there is no answer.
async fn exchange(link: &Connection, body: question::Body) -> Option<Bytes> {
    let call = async {
        let (mut send, mut recv) = link.open_bi().await.ok()?;
        send.write_all(&encode(&Question { body: Some(body) })).await.ok()?;
        send.finish().ok()?;
        recv.read_to_end(MESSAGE_BYTES).await.ok().filter(|it| !it.is_empty())
    };
    timeout(CALL_TIMEOUT, call).await.ok()?.map(Bytes::from)
}

fn encode_loads(loads: Loads) -> Vec<peer::Load> {
    let load = |(upstream, (tokens, requests))| peer::Load { upstream, tokens, requests };
    loads.into_iter().map(load).collect()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
