//! One running host: its servers, its threads, and its graceful shutdown.

use std::{net::SocketAddr, thread::JoinHandle};

use arc_swap::ArcSwap;
use thiserror::Error as ThisError;
use tokio::sync::mpsc;
use tokio_rustls::TlsAcceptor;
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use volo_http::server::Server;

use crate::{
    admin::Admin,
    backend::{Backend, HttpBackend},
    client::Client,
    clock::Clock,
    control,
    core::{Core, Event},
    engine::{Engine, HttpEngine},
    front::Front,
    generated::peer::Alive,
    group_commit::GroupCommitTable,
    inflight,
    listener::Listener,
    metric::Metrics,
    peer::{Handler, PeerError, Peers},
    prelude::*,
    record,
    retry::Budgets,
    settings::Settings,
    shared::Shared,
    sweep,
    table::{HttpTable, Table},
    tls,
    view::View,
};

/// HTTP/2 streams of one caller's connection, or of a balancer that joins many callers.
const CALLER_STREAMS: u32 = 4096;
const EVENT_QUEUE: usize = 4096;
/// Longest wait for work that is still going on when the listeners have closed, beyond
/// the longest time of a request.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(10);
const SHUTDOWN_POLL: Duration = Duration::from_millis(20);

/// Why a host cannot start.
#[derive(Debug, ThisError)]
pub enum StartError {
    /// An address cannot be listened at.
    #[error("{field}: cannot listen at {address}: {source}")]
    Listen {
        /// The settings' field.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
    /// The certificate for callers is not usable.
    #[error("listen.tls: {0}")]
    Tls(#[from] tls::TlsError),
    /// The other hosts cannot be reached.
    #[error("{0}")]
    Peer(#[from] PeerError),
    /// Metrics cannot be set up.
    #[error("metrics: {0}")]
    Metric(#[from] prometheus::Error),
    /// The control thread cannot be started.
    #[error("control thread: {0}")]
    Thread(std::io::Error),
}

/// Clients of the outside systems.
#[derive(Clone)]
pub struct Clients<E, B, T> {
    /// Model engines, for traffic.
    pub engine: E,
    /// Model engines, for the control thread. A connection is driven by the thread that
    /// opened it, so that traffic over this client's connections would have to pass the
    /// control thread.
    pub control_engine: E,
    /// Plain services.
    pub backend: B,
    /// The table service.
    pub table: T,
}

impl Clients<HttpEngine, HttpBackend, GroupCommitTable<HttpTable>> {
    /// Creates the clients that speak the systems' HTTP protocols, on the current runtime.
    pub fn http(settings: &Settings) -> Self {
        let client = Client::pooled();
        let table = &settings.table;
        let hosts = 1 + settings.peers.as_ref().map_or(0, |it| it.hosts.len());
        let http = HttpTable::new(client.clone(), table.address, table.timeout);
        Clients {
            engine: HttpEngine::new(client.clone()),
            control_engine: HttpEngine::new(Client::pooled()),
            backend: HttpBackend::new(client),
            table: GroupCommitTable::start(http, hosts),
        }
    }
}

/// A running host.
pub struct Host<E, B, T> {
    shared: Arc<Shared<E, B, T>>,
    peers: Option<Peers>,
    control: JoinHandle<()>,
    public_address: SocketAddr,
    admin_address: SocketAddr,
}

impl<E, B, T> Host<E, B, T>
where
    E: Engine,
    B: Backend,
    T: Table,
{
    /// Starts a host on the current runtime, which becomes its traffic threads.
    ///
    /// # Errors
    ///
    /// Returns an error when an address or certificate cannot be used.
    pub async fn start(settings: Settings, clients: Clients<E, B, T>) -> Result<Self, StartError> {
        let (events, queue) = mpsc::channel(EVENT_QUEUE);
        let shared = Arc::new(Shared {
            boot_id: uuid::Uuid::new_v4().simple().to_string().into(),
            clock: Clock::start(),
            view: ArcSwap::from_pointee(View::default()),
            counters: inflight::Counters::new(settings.catalog.upstreams.len()),
            workspaces: inflight::Workspaces::default(),
            budgets: Budgets::default(),
            metrics: Metrics::new()?,
            records: record::RingBuffer::default(),
            engine: clients.engine,
            backend: clients.backend,
            table: clients.table,
            events,
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
            settings,
        });
        let peers = bind_peers(&shared)?;
        let public = listen_public(&shared).await?;
        let admin = listen("listen.admin", shared.settings.listen.admin, None, &shared).await?;
        let (public_address, admin_address) = (public.local_addr(), admin.local_addr());
        let core = core(&shared.settings);
        let control =
            control::start(shared.clone(), clients.control_engine, core, peers.clone(), queue);
        let control = control.map_err(StartError::Thread)?;
        shared.tasks.spawn(sweep::run(shared.clone()));
        serve_public(&shared, public);
        serve_admin(&shared, peers.clone(), admin);
        Ok(Host { shared, peers, control, public_address, admin_address })
    }

    /// Returns the address for callers.
    pub fn public_address(&self) -> SocketAddr {
        self.public_address
    }

    /// Returns the address for operators.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns what the host's threads share.
    pub fn shared(&self) -> &Arc<Shared<E, B, T>> {
        &self.shared
    }

    /// Returns whether the host knows an upstream that is up.
    pub fn is_ready(&self) -> bool {
        let up = |it: &Arc<crate::view::UpstreamView>| {
            matches!(it.state, crate::view::State::Warm | crate::view::State::Cold)
        };
        self.shared.view.load().upstreams.iter().any(up)
    }

    /// Shuts down: health turns first, the listener stays until the balancer has moved on,
    /// and running requests end. Returns whether all of them did.
    pub async fn shut_down(self) -> bool {
        self.shared.send_event(Event::Drain);
        let limits = &self.shared.settings.catalog.limits;
        log::info!(host = self.shared.settings.host.as_str(); "shutdown begins");
        tokio::time::sleep(limits.drain_delay).await;
        self.shared.stop.cancel();
        let longest = limits.request + SHUTDOWN_GRACE;
        let ended = tokio::time::timeout(longest, idle(&self.shared)).await.is_ok();
        if let Some(peers) = &self.peers {
            peers.close().await;
        }
        let control = self.control;
        let _ = tokio::task::spawn_blocking(move || control.join()).await;
        log::info!(host = self.shared.settings.host.as_str(), ended = ended; "shutdown ends");
        ended
    }
}

/// Waits until no request is in flight and no task runs.
async fn idle<E, B, T>(shared: &Shared<E, B, T>) {
    while shared.workspaces.total() > 0 {
        tokio::time::sleep(SHUTDOWN_POLL).await;
    }
    shared.tasks.close();
    shared.tasks.wait().await;
}

struct PeerHandler<E, B, T> {
    shared: Arc<Shared<E, B, T>>,
}

impl<E, B, T> Handler for PeerHandler<E, B, T>
where
    E: Engine,
    B: Backend,
    T: Table,
{
    fn alive(&self) -> Alive {
        Alive {
            host: FastStr::new(self.shared.settings.host.as_str()),
            boot: self.shared.boot_id.clone(),
            leaving: self.shared.is_draining(),
        }
    }

    fn record(&self, request: &str) -> Option<String> {
        serde_json::to_string(&*self.shared.records.find(request)?).ok()
    }
}

fn core(settings: &Settings) -> Core {
    let others = settings.peers.iter().flat_map(|it| it.hosts.iter().map(|it| it.name.clone()));
    Core::new(&settings.catalog, &settings.host, &others.collect::<Vec<_>>())
}

fn bind_peers<E, B, T>(shared: &Arc<Shared<E, B, T>>) -> Result<Option<Peers>, StartError>
where
    E: Engine,
    B: Backend,
    T: Table,
{
    let settings = &shared.settings;
    let (Some(config), Some(address)) = (&settings.peers, settings.listen.peer) else {
        return Ok(None);
    };
    let handler = Arc::new(PeerHandler { shared: shared.clone() });
    Ok(Some(Peers::bind(&settings.host, address, config, handler)?))
}

async fn listen_public<E, B, T>(shared: &Shared<E, B, T>) -> Result<Listener, StartError> {
    let config = &shared.settings.listen;
    let tls = config.tls.as_ref().map(tls::public_server_config).transpose()?;
    let tls = tls.map(|it| TlsAcceptor::from(Arc::new(it)));
    listen("listen.public", config.public, tls, shared).await
}

async fn listen<E, B, T>(
    field: &'static str,
    address: SocketAddr,
    tls: Option<TlsAcceptor>,
    shared: &Shared<E, B, T>,
) -> Result<Listener, StartError> {
    let bound = Listener::bind(address, tls, shared.stop.clone()).await;
    bound.map_err(|source| StartError::Listen { field, address, source })
}

fn serve_public<E, B, T>(shared: &Arc<Shared<E, B, T>>, listener: Listener)
where
    E: Engine,
    B: Backend,
    T: Table,
{
    let mut server = Server::new(Front::new(shared.clone()));
    server.http2_config().max_concurrent_streams(CALLER_STREAMS);
    tokio::spawn(async move { server.run(listener).await.map_err(|err| err.to_string()) });
}

fn serve_admin<E, B, T>(shared: &Arc<Shared<E, B, T>>, peers: Option<Peers>, listener: Listener)
where
    E: Engine,
    B: Backend,
    T: Table,
{
    let server = Server::new(Admin::new(shared.clone(), peers));
    tokio::spawn(async move { server.run(listener).await.map_err(|err| err.to_string()) });
}
