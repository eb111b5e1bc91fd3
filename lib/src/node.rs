//! One running gateway: its threads, its place in the list of hosts, its shutdown.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use serde::{Deserialize, Serialize};
use thiserror::Error as ThisError;
use tokio::{
    net::TcpListener,
    runtime::{Builder, Runtime},
    signal::unix::{SignalKind, signal},
    time::{Instant as Moment, sleep, timeout},
};

use crate::{
    cache_gc, cache_watch,
    codec::Codec,
    follow::{Follower, Replicas},
    gateway::Gateway,
    host_config::Config,
    mesh::Mesh,
    pinned_tls::{Identity, PinError},
    prelude::*,
    rollout,
    row_store::{RowStore, RowStoreError, Table, Write, WriteOutcome},
    serve,
};

/// Port of the metrics, as `deploy/system.toml` names it.
const METRICS_PORT: u16 = 9464;
/// After SIGTERM, how long idle connections are kept: the balancer asks each second and lets
/// go of a host after two misses.
const RELEASE: Duration = Duration::from_millis(2700);
/// Taken off the time from SIGTERM to the forced end.
const GRACE_MARGIN: Duration = Duration::from_millis(700);
/// How often the settings are looked at without a signal.
const REREAD: Duration = Duration::from_secs(10);
/// How often a host that leaves looks whether work is left.
const SHUTDOWN_POLL: Duration = Duration::from_millis(50);
/// Pause after a failed write of the host's row.
const REGISTER_RETRY: Duration = Duration::from_millis(700);
/// Longest wait for the removal of the host's row.
const UNREGISTER_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a gateway cannot start.
#[derive(Debug, ThisError)]
pub enum NodeError {
    /// Metrics cannot be set up.
    #[error("metrics: {0}")]
    Metric(#[from] prometheus::Error),
    /// No key can be made for calls between hosts.
    #[error("{0}")]
    Pin(#[from] PinError),
    /// An address cannot be listened at.
    #[error("{field}: cannot listen at {address}: {source}")]
    Listen {
        /// What for.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
    /// A thread, a runtime or a signal cannot be had.
    #[error("cannot start: {0}")]
    Start(#[from] std::io::Error),
}

/// A host's row in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// Where other hosts reach it.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Fingerprint of its key for calls between hosts.
    pub fingerprint: String,
}

/// A gateway.
#[derive(Debug)]
pub struct Node<D> {
    gateway: Arc<Gateway<D>>,
}

impl<D> Node<D>
where
    D: Codec,
{
    /// Creates a gateway that knows nothing yet.
    ///
    /// # Errors
    ///
    /// Returns an error when the metrics cannot be set up.
    pub fn new(host_config: Config, codec: D) -> Result<Self, NodeError> {
        Ok(Node { gateway: Arc::new(Gateway::new(host_config, codec)?) })
    }

    /// Runs until SIGTERM, then until the work is done. The calling thread carries the
    /// traffic; another one follows the store, with the client that `connect` makes. `reload`
    /// reads the settings again.
    ///
    /// # Errors
    ///
    /// Returns an error when an address, a thread or a signal cannot be had.
    pub fn run<L, F, R>(self, connect: F, reload: R) -> Result<(), NodeError>
    where
        L: RowStore,
        F: FnOnce(SocketAddr) -> L + Send + 'static,
        R: Fn() -> Result<Config, String>,
    {
        let traffic = runtime()?;
        let control = runtime()?;
        let gateway = self.gateway.clone();
        let identity = Identity::generate(&gateway.host_config.host)?;
        thread::Builder::new().name("control".into()).spawn(move || {
            let row_store = connect(gateway.host_config.store_address);
            control.block_on(follow(gateway, row_store, &identity));
        })?;
        traffic.block_on(serve_traffic(self.gateway, reload))
    }
}

fn runtime() -> std::io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

async fn follow<D, L>(gateway: Arc<Gateway<D>>, row_store: L, identity: &Identity)
where
    D: Codec,
    L: RowStore,
{
    let replicas = Arc::new(Replicas::default());
    let follower = Follower { gateway: gateway.clone(), row_store: row_store.clone(), replicas };
    let address =
        SocketAddr::new(gateway.host_config.listen_address.ip(), gateway.host_config.peer_ports.0);
    let row = HostRow {
        address,
        zone: gateway.host_config.zone.to_string(),
        fingerprint: identity.fingerprint(),
    };
    let mesh = match Mesh::bind(follower.clone(), identity, address) {
        Ok(mesh) => mesh,
        // Without the others, what the store says still holds.
        Err(err) => {
            log::error!(error = err.to_string().as_str(); "no calls between hosts");
            return follower.run().await;
        }
    };
    let registered = AtomicBool::new(false);
    let replicas = follower.replicas.clone();
    tokio::join!(
        follower.run(),
        mesh.run(),
        cache_watch::run(gateway.clone(), replicas),
        rollout::run(gateway.clone(), row_store.clone()),
        cache_gc::run(gateway.clone()),
        register(&gateway, &row_store, &row, &registered),
        unregister(&gateway, &row_store, &registered),
    );
}

/// Writes the host's row, again until it is there.
async fn register<D, L>(gateway: &Gateway<D>, row_store: &L, row: &HostRow, registered: &AtomicBool)
where
    D: Codec,
    L: RowStore,
{
    // A struct of texts can always be written.
    let value: Bytes = serde_json::to_vec(row).unwrap_or_default().into();
    while !gateway.draining.is_cancelled() {
        let written = write(gateway, row_store, Some(value.clone())).await;
        match written {
            Ok(_) => {
                registered.store(true, Ordering::Release);
                log::info!(host = gateway.host_config.host.as_str(); "host is registered");
                return;
            }
            Err(err) => {
                log::warn!(error = err.to_string().as_str(); "host cannot be registered yet");
            }
        }
        sleep(REGISTER_RETRY).await;
    }
}

/// Removes the host's row when it leaves, so that the others share what it used.
async fn unregister<D, L>(gateway: &Gateway<D>, row_store: &L, registered: &AtomicBool)
where
    D: Codec,
    L: RowStore,
{
    gateway.deregistered.cancelled().await;
    if !registered.load(Ordering::Acquire) {
        return;
    }
    let removed = timeout(UNREGISTER_TIMEOUT, write(gateway, row_store, None)).await;
    if !matches!(removed, Ok(Ok(_))) {
        log::warn!(host = gateway.host_config.host.as_str(); "host's row is left behind");
    }
}

async fn write<D, L>(
    gateway: &Gateway<D>,
    row_store: &L,
    value: Option<Bytes>,
) -> Result<WriteOutcome, RowStoreError>
where
    D: Codec,
    L: RowStore,
{
    let key = FastStr::new(gateway.host_config.host.as_str());
    row_store.write(Write { table: Table::Hosts, key, value, expected_version: None }).await
}

async fn serve_traffic<D, R>(gateway: Arc<Gateway<D>>, reload: R) -> Result<(), NodeError>
where
    D: Codec,
    R: Fn() -> Result<Config, String>,
{
    let mut hangup = signal(SignalKind::hangup())?;
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let host_config = &gateway.host_config;
    let front = listen("listen.front", host_config.listen_address).await?;
    let ready = listen("listen.ready", host_config.readiness_address).await?;
    let metrics = SocketAddr::new(host_config.listen_address.ip(), METRICS_PORT);
    let metrics = listen("metrics", metrics).await?;
    log::info!(host = host_config.host.as_str(), zone = host_config.zone.as_str(),
        front = host_config.listen_address.to_string().as_str(); "started");
    let accepting = tokio::spawn(serve::accept(gateway.clone(), front));
    tokio::spawn(serve::serve_monitoring(gateway.clone(), ready));
    tokio::spawn(serve::serve_monitoring(gateway.clone(), metrics));
    let mut known = host_config.clone();
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reread(&mut known, &reload, true),
            () = sleep(REREAD) => reread(&mut known, &reload, false),
        }
    }
    let stopped = Moment::now();
    log::info!(active = gateway.active_requests(); "stops");
    gateway.draining.cancel();
    sleep(RELEASE.min(host_config.bounds.grace / 2)).await;
    accepting.abort();
    gateway.deregistered.cancel();
    let end = stopped + host_config.bounds.grace.saturating_sub(GRACE_MARGIN);
    // Connections write their last answers in the meantime.
    sleep(SHUTDOWN_POLL * 4).await;
    while gateway.active_requests() > 0 && Moment::now() < end {
        sleep(SHUTDOWN_POLL).await;
    }
    sleep(SHUTDOWN_POLL * 2).await;
    log::info!(active = gateway.active_requests(); "stopped");
    log::logger().flush();
    Ok(())
}

/// Reads the settings again. Addresses, zone and bounds are taken at the next start; until then
/// the host keeps to those that it started with.
fn reread<R>(known: &mut Config, reload: &R, asked: bool)
where
    R: Fn() -> Result<Config, String>,
{
    match reload() {
        Ok(host_config) if host_config != *known => {
            log::warn!(host = host_config.host.as_str(); "settings changed, a restart takes them");
            *known = host_config;
        }
        Ok(_) if asked => log::info!("settings are read again and have not changed"),
        Ok(_) => {}
        Err(err) => {
            log::error!(error = err.as_str(); "settings cannot be read, the former ones stay");
        }
    }
}

async fn listen(field: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| NodeError::Listen { field, address, source })
}
