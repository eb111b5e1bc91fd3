//! One running gateway process: its threads, the registration of its host in the row store, reloads
//! of its settings, and its shutdown.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use serde::{Deserialize, Serialize};
use thiserror::Error as ThisError;
use tokio::{
    net::TcpListener,
    runtime::{Builder, Runtime},
    signal::unix::{Signal, SignalKind, signal},
    time::{Instant as TokioInstant, sleep, timeout},
};

use crate::{
    build_rollout, cache_gc, cache_watch,
    codec::Codec,
    detour_link::Link,
    era_watch::Watched,
    gateway::Gateway,
    gateway_server,
    host_settings::HostSettings,
    log_setup,
    mesh::Mesh,
    pinned_tls::{Identity, PinError},
    prelude::*,
    reach_watch, rendezvous, rollout,
    row_store::{RowStore, RowStoreError, Table, Write, WriteOutcome},
    store_silence,
    table_sync::{Replicas, TableSync},
};

/// Port of the metrics endpoint, as given in `deploy/system.toml`.
const METRICS_PORT: u16 = 9464;
/// How long a host accepts connections after SIGTERM: the load balancer probes readiness each
/// second and stops using a host after two failed probes.
const BALANCER_DELAY: Duration = Duration::from_millis(2700);
/// Margin by which the process exits before the grace period after SIGTERM ends.
const GRACE_MARGIN: Duration = Duration::from_millis(700);
/// Interval between reloads of the settings without a SIGHUP.
const RELOAD_PERIOD: Duration = Duration::from_secs(10);
/// How often a host that shuts down checks for requests in flight.
const SHUTDOWN_POLL: Duration = Duration::from_millis(50);
/// Time for requests in progress to be answered or cut off, with a log line each, before the process ends.
const ENDING_TIME: Duration = Duration::from_millis(100);
/// Longest wait for the release of the lease for weights before the process ends.
const HANDOVER_TIME: Duration = Duration::from_millis(400);
/// Pause after a failed attempt to write the host's row.
const REGISTER_RETRY: Duration = Duration::from_millis(700);
/// Part of a heartbeat over which hosts spread the writes of their rows after the row store has come back
/// from a copy; the rest is for the write.
const REGISTER_SPREAD: f64 = 0.7;
/// Pause before binding the mesh again.
const MESH_RETRY: Duration = Duration::from_secs(1);
/// Timeout for removing the host's row.
const UNREGISTER_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a gateway cannot start.
#[derive(Debug, ThisError)]
pub enum GatewayStartError {
    /// Metrics cannot be set up.
    #[error("metrics: {0}")]
    Metric(#[from] prometheus::Error),
    /// The key for calls between hosts cannot be generated.
    #[error("{0}")]
    Pin(#[from] PinError),
    /// An address cannot be bound.
    #[error("{field}: cannot listen at {address}: {source}")]
    Listen {
        /// What the address is for.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A thread, an async runtime or a signal handler cannot be created.
    #[error("cannot start: {0}")]
    Start(#[from] std::io::Error),
}

/// A host's row in the row store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// Address at which other hosts reach it.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Fingerprint of its certificate for calls between hosts.
    pub fingerprint: String,
    /// Address at which it takes requests from hosts that do not reach the upstreams; `None` if it takes
    /// none.
    #[serde(default)]
    pub detour_address: Option<SocketAddr>,
    /// Processor time that it has, in thousandths of a core; 0 if unknown.
    #[serde(default)]
    pub processor_millis: u32,
}

/// The process of one gateway host; [`run`](Self::run) starts it.
#[derive(Debug)]
pub struct GatewayProcess<C> {
    gateway: Arc<Gateway<C>>,
}

impl<C> GatewayProcess<C>
where
    C: Codec,
{
    /// Creates the process of a host that knows no other hosts and no upstreams yet.
    ///
    /// # Errors
    ///
    /// Returns an error when the metrics cannot be set up.
    pub fn new(host_settings: HostSettings, codec: C) -> Result<Self, GatewayStartError> {
        Ok(GatewayProcess { gateway: Arc::new(Gateway::new(host_settings, codec)?) })
    }

    /// Runs until SIGTERM or SIGINT, then until the requests in flight end. The calling thread
    /// serves the traffic; another thread runs the control loops, with the client that `connect`
    /// creates from the row store's address. `reload` reads the settings again.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound, or a thread, an async runtime or a signal
    /// handler cannot be created.
    pub fn run<L, F, R>(self, connect: F, reload: R) -> Result<(), GatewayStartError>
    where
        L: RowStore,
        F: FnOnce(SocketAddr) -> L + Send + 'static,
        R: Fn() -> Result<HostSettings, String>,
    {
        let traffic = build_runtime()?;
        // A signal that comes before its handler is there ends the process.
        let signals = {
            let _context = traffic.enter();
            Signals::install()?
        };
        let control = build_runtime()?;
        let gateway = self.gateway.clone();
        let identity = Arc::new(Identity::generate(&gateway.host_settings.host)?);
        let detour_socket = bind_detour_socket(&gateway.host_settings);
        let detour_address = detour_socket.as_ref().and_then(|it| it.local_addr().ok());
        let control_identity = identity.clone();
        thread::Builder::new().name("control".into()).spawn(move || {
            let row_store = connect(gateway.host_settings.store_address);
            let row_store = Watched { gateway: gateway.clone(), row_store };
            let row_store = store_silence::Client::new(gateway.clone(), row_store);
            control.block_on(run_control(gateway, row_store, &control_identity, detour_address));
        })?;
        traffic.block_on(async move {
            if let Some(socket) = detour_socket {
                start_detours(&self.gateway, &identity, socket);
            }
            tokio::spawn(reach_watch::run(self.gateway.clone()));
            serve_traffic(self.gateway, signals, reload).await
        })
    }
}

/// Binds the socket for requests between hosts to a free port for calls between hosts, the last one first.
/// Without one, this host sends no requests over other hosts and takes none.
fn bind_detour_socket(host_settings: &HostSettings) -> Option<UdpSocket> {
    let ip = host_settings.listen_address.ip();
    let (first_port, last_port) = host_settings.peer_ports;
    let bound = (first_port..=last_port).rev().find_map(|port| UdpSocket::bind((ip, port)).ok());
    if bound.is_none() {
        log::error!(address = ip.to_string().as_str(), first_port = first_port,
            last_port = last_port; "no port is free for requests between hosts");
    }
    bound
}

/// Starts to take requests from other hosts, and makes it possible to send them some.
fn start_detours<C>(gateway: &Arc<Gateway<C>>, identity: &Identity, socket: UdpSocket)
where
    C: Codec,
{
    match Link::new(identity, &gateway.pins, socket) {
        Ok(link) => {
            let link = Arc::new(link);
            gateway.set_detour_link(link.clone());
            tokio::spawn(link.accept(gateway.clone()));
        }
        Err(err) => {
            log::error!(error = err.to_string().as_str(); "no requests go over other hosts");
        }
    }
}

/// Handlers of the signals that the process heeds.
struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the handlers, in the context of a runtime.
    fn install() -> std::io::Result<Self> {
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }
}

fn build_runtime() -> std::io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// Runs the control loops: reads of the row store's tables, the changes of the cache stores, the
/// freeing of old cached parts, weight rollouts, and the mesh with the registration of this host.
async fn run_control<C, L>(
    gateway: Arc<Gateway<C>>,
    row_store: L,
    identity: &Identity,
    detour_address: Option<SocketAddr>,
) where
    C: Codec,
    L: RowStore,
{
    let replicas = Arc::new(Replicas::default());
    let table_sync = TableSync {
        gateway: gateway.clone(),
        row_store: row_store.clone(),
        replicas: replicas.clone(),
    };
    tokio::join!(
        table_sync.clone().run(),
        cache_watch::run(gateway.clone(), replicas.clone()),
        rollout::run(gateway.clone(), row_store.clone()),
        build_rollout::run(gateway.clone(), replicas.clone(), row_store.clone()),
        cache_gc::run(gateway.clone()),
        run_mesh(&gateway, table_sync, identity, detour_address),
    );
}

/// Joins the mesh, registers this host and takes part in the mesh until the process ends.
async fn run_mesh<C, L>(
    gateway: &Gateway<C>,
    table_sync: TableSync<C, L>,
    identity: &Identity,
    detour_address: Option<SocketAddr>,
) where
    C: Codec,
    L: RowStore,
{
    let (mesh, address) = bind_mesh(gateway, &table_sync, identity).await;
    let row = HostRow {
        address,
        zone: gateway.host_settings.zone.to_string(),
        fingerprint: identity.fingerprint(),
        detour_address,
        processor_millis: gateway.host_settings.processor_millis,
    };
    let row_store = table_sync.row_store.clone();
    let registered = AtomicBool::new(false);
    tokio::join!(
        mesh.run(),
        register(gateway, &row_store, &table_sync.replicas, &row, &registered),
        unregister(gateway, &row_store, &registered),
    );
}

/// Binds the mesh to the first free port for calls between hosts, with retries until one is free.
/// Meanwhile this host is without the other hosts, and reads the cache stores itself.
async fn bind_mesh<C, L>(
    gateway: &Gateway<C>,
    table_sync: &TableSync<C, L>,
    identity: &Identity,
) -> (Arc<Mesh<C, L>>, SocketAddr)
where
    C: Codec,
    L: RowStore,
{
    let ip = gateway.host_settings.listen_address.ip();
    let (first_port, last_port) = gateway.host_settings.peer_ports;
    loop {
        for port in first_port..=last_port {
            let address = SocketAddr::new(ip, port);
            match Mesh::bind(table_sync.clone(), identity, address) {
                Ok(mesh) => {
                    gateway.set_mesh_joined(true);
                    table_sync.replicas.set_reads_stores(false);
                    return (mesh, address);
                }
                Err(err) => {
                    log::error!(address = address.to_string().as_str(),
                        error = err.to_string().as_str(); "cannot join the mesh, retrying");
                }
            }
        }
        gateway.set_mesh_joined(false);
        table_sync.replicas.set_reads_stores(true);
        sleep(MESH_RETRY).await;
    }
}

/// Returns how long a host waits before it writes its row again after the row store has come back from a
/// copy: hosts write at different times within a heartbeat.
pub fn rewrite_delay(host: &Host, heartbeat: Duration) -> Duration {
    let spread = REGISTER_SPREAD * rendezvous::fraction(&["register", host.as_str()]);
    heartbeat.mul_f64(spread)
}

/// Writes the host's row, with retries until it succeeds or the host shuts down, and again whenever the
/// row store has come back from a copy, which may lack the row.
pub async fn register<C, L>(
    gateway: &Gateway<C>,
    row_store: &L,
    replicas: &Replicas,
    row: &HostRow,
    registered: &AtomicBool,
) where
    C: Codec,
    L: RowStore,
{
    let host = gateway.host_settings.host.as_str();
    let rewrite_delay = rewrite_delay(&gateway.host_settings.host, gateway.host_settings.heartbeat);
    // Serializing a struct of strings cannot fail.
    let value: Bytes = serde_json::to_vec(row).unwrap_or_default().into();
    while !gateway.draining.is_cancelled() {
        let result = write_host_row(gateway, row_store, Some(value.clone())).await;
        match result {
            // The row is written unconditionally, so there is no conflict.
            Ok(WriteOutcome::Conflict) => return,
            Ok(WriteOutcome::Committed { era, version, .. }) => {
                registered.store(true, Ordering::Release);
                log::info!(host = host, era = era, version = version; "host is registered");
                tokio::select! {
                    era = replicas.wait_for_later_era(era) => {
                        log::info!(host = host, era = era, delay_ms = rewrite_delay.as_millis() as u64;
                            "row store came back from a copy, the host's row is written again");
                    }
                    () = gateway.draining.cancelled() => return,
                }
                sleep(rewrite_delay).await;
                continue;
            }
            Err(err) => {
                log::warn!(error = err.to_string().as_str(); "host cannot be registered, retrying");
            }
        }
        sleep(REGISTER_RETRY).await;
    }
}

/// Removes the host's row when it shuts down, so that the other hosts take over its share of the
/// upstreams' capacity.
async fn unregister<C, L>(gateway: &Gateway<C>, row_store: &L, registered: &AtomicBool)
where
    C: Codec,
    L: RowStore,
{
    gateway.closing.cancelled().await;
    if !registered.load(Ordering::Acquire) {
        return;
    }
    let removed = timeout(UNREGISTER_TIMEOUT, write_host_row(gateway, row_store, None)).await;
    if !matches!(removed, Ok(Ok(_))) {
        log::warn!(host = gateway.host_settings.host.as_str(); "host's row could not be removed");
    }
}

/// Writes the host's row, or removes it when `value` is `None`.
async fn write_host_row<C, L>(
    gateway: &Gateway<C>,
    row_store: &L,
    value: Option<Bytes>,
) -> Result<WriteOutcome, RowStoreError>
where
    C: Codec,
    L: RowStore,
{
    let key = FastStr::new(gateway.host_settings.host.as_str());
    row_store.write(Write { table: Table::Hosts, key, value, expected_version: None }).await
}

/// Serves callers, readiness and metrics until SIGTERM or SIGINT, then shuts down within the grace
/// period.
async fn serve_traffic<C, R>(
    gateway: Arc<Gateway<C>>,
    mut signals: Signals,
    reload: R,
) -> Result<(), GatewayStartError>
where
    C: Codec,
    R: Fn() -> Result<HostSettings, String>,
{
    let host_settings = &gateway.host_settings;
    let caller_listener = listen("listen.front", host_settings.listen_address).await?;
    let readiness_listener = listen("listen.ready", host_settings.readiness_address).await?;
    let metrics_address = SocketAddr::new(host_settings.listen_address.ip(), METRICS_PORT);
    let metrics_listener = listen("metrics", metrics_address).await?;
    log::info!(host = host_settings.host.as_str(), zone = host_settings.zone.as_str(),
        front = host_settings.listen_address.to_string().as_str(); "started");
    let accepting = tokio::spawn(gateway_server::accept(gateway.clone(), caller_listener));
    tokio::spawn(gateway_server::serve_monitoring(gateway.clone(), readiness_listener));
    tokio::spawn(gateway_server::serve_monitoring(gateway.clone(), metrics_listener));
    let mut last_read = host_settings.clone();
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => check_settings(&mut last_read, &reload, true),
            () = sleep(RELOAD_PERIOD) => check_settings(&mut last_read, &reload, false),
        }
    }
    let stop_time = TokioInstant::now();
    log::info!(active = gateway.active_requests(); "stopping");
    let deadline = stop_time + host_settings.bounds.grace.saturating_sub(GRACE_MARGIN);
    gateway.start_shutdown(deadline);
    sleep(BALANCER_DELAY.min(host_settings.bounds.grace / 2)).await;
    gateway.closing.cancel();
    if let Err(err) = accepting.await {
        log::error!(error = err.to_string().as_str(); "accepting connections ended with an error");
    }
    // A connection ends after its response is written, a request only has been handled by then. This
    // leaves time for connections that were accepted last.
    sleep(SHUTDOWN_POLL * 4).await;
    let is_busy = || gateway.active_requests() > 0 || gateway.unfinished_connections() > 0;
    while is_busy() && TokioInstant::now() < deadline {
        sleep(SHUTDOWN_POLL).await;
    }
    if is_busy() {
        gateway.ending.cancel();
        sleep(ENDING_TIME).await;
    }
    gateway.handover.cancel();
    let handover_end = TokioInstant::now() + HANDOVER_TIME;
    while gateway.rollout().holds_lease && TokioInstant::now() < handover_end {
        sleep(SHUTDOWN_POLL).await;
    }
    log::info!(active = gateway.active_requests(), connections = gateway.unfinished_connections();
        "stopped");
    log_setup::flush();
    Ok(())
}

/// Reads the settings again and logs whether they changed. The host keeps the addresses, zone and
/// bounds that it started with; new ones take effect at the next start. `requested` is whether a
/// SIGHUP asked for it.
fn check_settings<R>(last_read: &mut HostSettings, reload: &R, requested: bool)
where
    R: Fn() -> Result<HostSettings, String>,
{
    match reload() {
        Ok(host_settings) if host_settings != *last_read => {
            log::warn!(host = host_settings.host.as_str(); "settings changed, restart to apply them");
            *last_read = host_settings;
        }
        Ok(_) if requested => log::info!("settings reloaded, nothing changed"),
        Ok(_) => {}
        Err(err) => {
            log::error!(error = err.as_str(); "settings cannot be read, keeping the current ones");
        }
    }
}

/// Binds a listener; `field` names the address in the error.
async fn listen(
    field: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, GatewayStartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| GatewayStartError::Listen { field, address, source })
}
