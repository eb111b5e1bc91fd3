//! One running host of `mothvale serve`: starts its servers for callers, operators and other hosts,
//! and its control thread, and shuts them down gracefully.

use std::{net::SocketAddr, thread::JoinHandle};

use arc_swap::ArcSwap;
use thiserror::Error as ThisError;
use tokio::sync::mpsc;
use tokio_rustls::TlsAcceptor;
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use volo_http::server::Server;

use crate::{
    admin::Admin,
    backend::{HttpPlainService, PlainService},
    client::Client,
    clock::Clock,
    control,
    engine::{Engine, HttpEngine},
    generated::peer::Alive,
    group_commit::GroupCommitTable,
    health_tracker::{Event, HealthTracker},
    inflight,
    listener::Listener,
    metric::Metrics,
    peer::{Handler, PeerError, Peers},
    prelude::*,
    public_api::PublicApi,
    record,
    retry::Budgets,
    settings::Settings,
    shared::Shared,
    sweep,
    table::{HttpTable, Table},
    tls,
    view::View,
};

/// HTTP/2 streams allowed on one connection; a load balancer may send the requests of many
/// callers over one.
const MAX_CONCURRENT_STREAMS: u32 = 4096;
/// Events that wait for the control thread.
const EVENT_QUEUE_LEN: usize = 4096;
/// Added to the longest time of a request, for work that still runs after the listeners have
/// closed.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(10);
/// Interval at which a shutdown checks whether requests are still in flight.
const SHUTDOWN_POLL: Duration = Duration::from_millis(20);

/// Reason why a host cannot start.
#[derive(Debug, ThisError)]
pub enum StartError {
    /// An address cannot be bound.
    #[error("{field}: cannot listen at {address}: {source}")]
    Listen {
        /// The field of the settings that has the address.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The certificate shown to callers cannot be used.
    #[error("listen.tls: {0}")]
    Tls(#[from] tls::TlsError),
    /// The endpoint for calls between hosts cannot be set up.
    #[error("{0}")]
    Peer(#[from] PeerError),
    /// Metrics cannot be set up.
    #[error("metrics: {0}")]
    Metric(#[from] prometheus::Error),
    /// The control thread cannot be started.
    #[error("control thread: {0}")]
    Thread(std::io::Error),
}

/// Clients of the external systems.
#[derive(Clone)]
pub struct Clients<E, B, T> {
    /// Model engines, for requests of callers.
    pub engine: E,
    /// Model engines, for the control thread. A connection is driven by the thread that
    /// opened it, so requests of callers over this client's connections would have to pass
    /// through the control thread.
    pub control_engine: E,
    /// Services other than model engines.
    pub backend: B,
    /// The table service.
    pub table: T,
}

impl Clients<HttpEngine, HttpPlainService, GroupCommitTable<HttpTable>> {
    /// Creates clients for the HTTP protocols of the external systems, on the current runtime.
    pub fn http(settings: &Settings) -> Self {
        let client = Client::pooled();
        let table = &settings.table;
        let hosts = 1 + settings.peers.as_ref().map_or(0, |it| it.hosts.len());
        let http = HttpTable::new(client.clone(), table.address, table.timeout);
        Clients {
            engine: HttpEngine::new(client.clone()),
            control_engine: HttpEngine::new(Client::pooled()),
            backend: HttpPlainService::new(client),
            table: GroupCommitTable::start(http, hosts),
        }
    }
}

/// A running host.
pub struct RunningHost<E, B, T> {
    shared: Arc<Shared<E, B, T>>,
    peers: Option<Peers>,
    control: JoinHandle<()>,
    public_address: SocketAddr,
    admin_address: SocketAddr,
}

impl<E, B, T> RunningHost<E, B, T>
where
    E: Engine,
    B: PlainService,
    T: Table,
{
    /// Starts a host on the current runtime, whose threads then serve its callers.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound, a certificate cannot be used, the metrics
    /// cannot be set up, or the control thread cannot be started.
    pub async fn start(settings: Settings, clients: Clients<E, B, T>) -> Result<Self, StartError> {
        let (events, queue) = mpsc::channel(EVENT_QUEUE_LEN);
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
            closing: CancellationToken::new(),
            settings,
        });
        let peers = bind_peers(&shared)?;
        let public = listen_public(&shared).await?;
        let admin = listen("listen.admin", shared.settings.listen.admin, None, &shared).await?;
        let (public_address, admin_address) = (public.local_addr(), admin.local_addr());
        let tracker = new_tracker(&shared.settings);
        let control =
            control::start(shared.clone(), clients.control_engine, tracker, peers.clone(), queue);
        let control = control.map_err(StartError::Thread)?;
        shared.tasks.spawn(sweep::run(shared.clone()));
        serve_public(&shared, public);
        serve_admin(&shared, peers.clone(), admin);
        Ok(RunningHost { shared, peers, control, public_address, admin_address })
    }

    /// Returns the address for callers.
    pub fn public_address(&self) -> SocketAddr {
        self.public_address
    }

    /// Returns the address for operators.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the state that the host's threads share.
    pub fn shared(&self) -> &Arc<Shared<E, B, T>> {
        &self.shared
    }

    /// Returns whether the host is ready for requests.
    pub fn is_ready(&self) -> bool {
        self.shared.view.load().unready_reason().is_none()
    }

    /// Shuts down gracefully. The health check fails from the start, while the listeners stay open
    /// until the load balancer has stopped using this host; then the running requests end.
    /// Returns whether all of them ended in time.
    pub async fn shut_down(self) -> bool {
        self.shared.send_event(Event::Drain);
        let limits = &self.shared.settings.catalog.limits;
        log::info!(host = self.shared.settings.host.as_str(); "shutdown begins");
        tokio::time::sleep(limits.drain_delay).await;
        self.shared.stop.cancel();
        let max_wait = limits.request + SHUTDOWN_GRACE;
        let ended = tokio::time::timeout(max_wait, wait_until_idle(&self.shared)).await.is_ok();
        self.shared.closing.cancel();
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
async fn wait_until_idle<E, B, T>(shared: &Shared<E, B, T>) {
    while shared.workspaces.total() > 0 {
        tokio::time::sleep(SHUTDOWN_POLL).await;
    }
    shared.tasks.close();
    shared.tasks.wait().await;
}

/// Answers the calls of other hosts from this host's state.
struct PeerHandler<E, B, T> {
    shared: Arc<Shared<E, B, T>>,
}

impl<E, B, T> Handler for PeerHandler<E, B, T>
where
    E: Engine,
    B: PlainService,
    T: Table,
{
    fn alive(&self) -> Alive {
        Alive {
            host: FastStr::new(self.shared.settings.host.as_str()),
            boot: self.shared.boot_id.clone(),
            leaving: self.shared.is_draining(),
        }
    }

    fn record(&self, request_id: &str) -> Option<String> {
        serde_json::to_string(&*self.shared.records.find(request_id)?).ok()
    }
}

/// Creates the health tracker for the upstreams and the other hosts of the settings.
fn new_tracker(settings: &Settings) -> HealthTracker {
    let others = settings.peers.iter().flat_map(|it| it.hosts.iter().map(|it| it.name.clone()));
    HealthTracker::new(&settings.catalog, &settings.host, &others.collect::<Vec<_>>())
}

/// Binds the endpoint for calls between hosts; returns `None` when the settings have no peers.
fn bind_peers<E, B, T>(shared: &Arc<Shared<E, B, T>>) -> Result<Option<Peers>, StartError>
where
    E: Engine,
    B: PlainService,
    T: Table,
{
    let settings = &shared.settings;
    let (Some(peer_settings), Some(address)) = (&settings.peers, settings.listen.peer) else {
        return Ok(None);
    };
    let handler = Arc::new(PeerHandler { shared: shared.clone() });
    Ok(Some(Peers::bind(&settings.host, address, peer_settings, handler)?))
}

/// Binds the address for callers, with TLS if the settings have a certificate.
async fn listen_public<E, B, T>(shared: &Shared<E, B, T>) -> Result<Listener, StartError> {
    let listen_settings = &shared.settings.listen;
    let tls = listen_settings.tls.as_ref().map(tls::public_server_config).transpose()?;
    let tls = tls.map(|it| TlsAcceptor::from(Arc::new(it)));
    listen("listen.public", listen_settings.public, tls, shared).await
}

/// Binds an address and accepts connections until the host's `closing` token is cancelled. `field` is
/// the field of the settings that has the address, for errors.
async fn listen<E, B, T>(
    field: &'static str,
    address: SocketAddr,
    tls: Option<TlsAcceptor>,
    shared: &Shared<E, B, T>,
) -> Result<Listener, StartError> {
    let bound = Listener::bind(address, tls, shared.closing.clone()).await;
    bound.map_err(|source| StartError::Listen { field, address, source })
}

fn serve_public<E, B, T>(shared: &Arc<Shared<E, B, T>>, listener: Listener)
where
    E: Engine,
    B: PlainService,
    T: Table,
{
    let mut server = Server::new(PublicApi::new(shared.clone()));
    server.http2_config().max_concurrent_streams(MAX_CONCURRENT_STREAMS);
    tokio::spawn(async move { server.run(listener).await.map_err(|err| err.to_string()) });
}

fn serve_admin<E, B, T>(shared: &Arc<Shared<E, B, T>>, peers: Option<Peers>, listener: Listener)
where
    E: Engine,
    B: PlainService,
    T: Table,
{
    let server = Server::new(Admin::new(shared.clone(), peers));
    tokio::spawn(async move { server.run(listener).await.map_err(|err| err.to_string()) });
}
