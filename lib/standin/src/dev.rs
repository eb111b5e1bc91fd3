//! A small cluster in one process: mothvale hosts and the stand-ins that they talk to, over
//! loopback sockets. [`Options`] sets its size; [`Standins::settings_yaml`] writes the hosts'
//! settings, with certificates for their connections to each other.

use std::{
    fmt::Write as _,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket},
    time::Duration,
};

use mothvale_lib::{
    backend::HttpPlainService,
    engine::HttpEngine,
    group_commit::GroupCommitTable,
    host::{Clients, RunningHost, StartError},
    key::Hash,
    peer::PeerError,
    problem::Problems,
    settings::Settings,
    table::HttpTable,
    tls::certificate_name,
};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use thiserror::Error;

use crate::{
    booking::Bookings,
    engine::{Config, Engine},
    server::{self, Running},
    store::Store,
    table::Table,
};

/// API keys of the two workspaces, `bedline` and `kilimani`.
pub const KEYS: [&str; 2] = ["dev-bedline", "dev-kilimani"];
/// The model that all engines serve.
pub const MODEL: &str = "demo";

const ZONES: [&str; 3] = ["hobart", "launceston", "burnie"];
/// Capacity of each store host.
const STORE_BYTES: usize = 64 << 20;
/// How often starting the hosts is retried with other ports.
const PORT_RETRIES: u32 = 3;
/// Interval at which a start checks whether all hosts are ready.
const READY_POLL: Duration = Duration::from_millis(10);
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a cluster cannot start.
#[derive(Debug, Error)]
pub enum DevError {
    /// A stand-in cannot listen, or no free port for a host was found.
    #[error("cannot open a socket: {0}")]
    Io(#[from] io::Error),
    /// A host cannot start.
    #[error("{0}")]
    Start(#[from] StartError),
    /// The generated settings are invalid.
    #[error("{0}")]
    Settings(#[from] Problems),
    /// The hosts' certificates cannot be created.
    #[error("cannot create certificates: {0}")]
    Certificate(#[from] rcgen::Error),
    /// A host was not ready in time.
    #[error("timed out waiting for all hosts to find an upstream")]
    NotReady,
}

/// Size and configuration of a cluster.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address at which the first host listens for callers.
    pub listen: SocketAddr,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of engines.
    pub engines: usize,
    /// Configuration of each engine.
    pub engine: Config,
    /// Whether hosts connect to the engines over HTTP/2.
    pub http2: bool,
    /// How long the outcome of a request that is not idempotent is kept.
    pub claim_retention: Duration,
    /// Entries of the settings' `limits` mapping, each as YAML `key: value`.
    pub limits: Vec<String>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            listen: loopback(),
            hosts: 3,
            engines: 4,
            engine: Config {
                models: vec![(MODEL.into(), "v1".into())],
                slots: 16,
                prefill_tokens_per_second: 20_000.0,
                token_time: Duration::from_millis(10),
                cache_pieces: 256,
                checks_fence: true,
                timestamp_tokens: false,
            },
            http2: true,
            claim_retention: Duration::from_secs(24 * 60 * 60),
            limits: vec!["drain_delay: 100ms".into()],
        }
    }
}

/// A host of the cluster.
pub type DevHost = RunningHost<HttpEngine, HttpPlainService, GroupCommitTable<HttpTable>>;

/// The stand-ins of a cluster.
pub struct Standins {
    /// The engines.
    pub engines: Vec<Running<Engine>>,
    /// The store hosts, for KV cache pieces.
    pub stores: Vec<Running<Store>>,
    /// The booking service.
    pub bookings: Running<Bookings>,
    /// The table service.
    pub table: Running<Table>,
}

/// A running cluster.
pub struct Cluster {
    /// The hosts.
    pub hosts: Vec<DevHost>,
    /// The stand-ins.
    pub standins: Standins,
}

impl Cluster {
    /// Starts stand-ins and hosts, and waits until every host knows an upstream that is up.
    ///
    /// # Errors
    ///
    /// Returns an error when a socket cannot be opened, certificates cannot be created, a host
    /// cannot start, or a host finds no upstream in time.
    pub async fn start(options: &Options) -> Result<Cluster, DevError> {
        let standins = Standins::start(options).await?;
        let mut retries = PORT_RETRIES;
        loop {
            let hosts = start_hosts(standins.settings(options)?).await;
            match hosts {
                // Another process bound the port between `free_udp_port` and its use.
                Err(StartError::Peer(PeerError::Listen(_))) if retries > 0 => retries -= 1,
                hosts => return Cluster::wait_for_hosts(standins, hosts?).await,
            }
        }
    }

    /// Starts one host for each of `settings`, and waits until every host is ready.
    ///
    /// # Errors
    ///
    /// Returns an error when a host cannot start or finds no upstream in time.
    pub async fn with_settings(
        standins: Standins,
        settings: Vec<Settings>,
    ) -> Result<Cluster, DevError> {
        let hosts = start_hosts(settings).await?;
        Cluster::wait_for_hosts(standins, hosts).await
    }

    async fn wait_for_hosts(standins: Standins, hosts: Vec<DevHost>) -> Result<Cluster, DevError> {
        let cluster = Cluster { hosts, standins };
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Shuts all hosts down and returns whether all their requests ended.
    pub async fn shut_down(self) -> bool {
        let shutdowns = self.hosts.into_iter().map(RunningHost::shut_down);
        futures_util::future::join_all(shutdowns).await.into_iter().all(|it| it)
    }

    /// Waits until every host is ready.
    async fn wait_ready(&self) -> Result<(), DevError> {
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        while !self.hosts.iter().all(DevHost::is_ready) {
            if tokio::time::Instant::now() > deadline {
                return Err(DevError::NotReady);
            }
            tokio::time::sleep(READY_POLL).await;
        }
        Ok(())
    }
}

/// Starts the hosts. When one cannot start, stops those that have started.
async fn start_hosts(settings: Vec<Settings>) -> Result<Vec<DevHost>, StartError> {
    let mut hosts: Vec<DevHost> = Vec::new();
    for settings in settings {
        let clients = Clients::http(&settings);
        match RunningHost::start(settings, clients).await {
            Ok(host) => hosts.push(host),
            Err(err) => {
                hosts.iter().for_each(|it| it.shared().stop.cancel());
                return Err(err);
            }
        }
    }
    Ok(hosts)
}

impl Standins {
    /// Starts the engines, two store hosts, the booking service and the table service.
    ///
    /// # Errors
    ///
    /// Returns an error when a socket cannot be opened.
    pub async fn start(options: &Options) -> io::Result<Self> {
        let mut engines = Vec::new();
        for _ in 0..options.engines {
            engines.push(server::start(loopback(), Engine::new(options.engine.clone())).await?);
        }
        let stores = vec![
            server::start(loopback(), Store::new(STORE_BYTES)).await?,
            server::start(loopback(), Store::new(STORE_BYTES)).await?,
        ];
        let bookings = server::start(loopback(), Bookings::default()).await?;
        let table = server::start(loopback(), Table::default()).await?;
        Ok(Standins { engines, stores, bookings, table })
    }

    /// Returns the settings of each host, parsed from [`Self::settings_yaml`].
    ///
    /// # Errors
    ///
    /// Returns an error when certificates cannot be created, no free port is found, or the
    /// settings are invalid.
    pub fn settings(&self, options: &Options) -> Result<Vec<Settings>, DevError> {
        let texts = self.settings_yaml(options)?;
        let parse = |text: String| Settings::parse("dev.yaml", &text).map_err(DevError::from);
        texts.into_iter().map(parse).collect()
    }

    /// Returns the settings of each host as YAML.
    ///
    /// # Errors
    ///
    /// Returns an error when certificates cannot be created or no free port is found.
    pub fn settings_yaml(&self, options: &Options) -> Result<Vec<String>, DevError> {
        let authority = Authority::new()?;
        let peer_addresses =
            (0..options.hosts).map(|_| free_udp_port()).collect::<Result<Vec<_>, _>>()?;
        let texts = (0..options.hosts).map(|index| {
            let public = if index == 0 { options.listen } else { loopback() };
            let identity = authority.issue(&host_name(index))?;
            Ok(self.host_settings(
                index,
                public,
                &peer_addresses,
                &authority.pem(),
                &identity,
                options,
            ))
        });
        texts.collect()
    }

    /// Returns the YAML settings of the host at `index`. `public` is its address for callers,
    /// `peer_addresses` are those of all hosts by index, `authority` is a PEM certificate.
    fn host_settings(
        &self,
        index: usize,
        public: SocketAddr,
        peer_addresses: &[SocketAddr],
        authority: &str,
        identity: &Identity,
        options: &Options,
    ) -> String {
        let mut text = format!(
            "host: {{name: {}, zone: {}}}\n\
             listen: {{public: \"{public}\", admin: \"127.0.0.1:0\", peer: \"{}\"}}\n\
             table: {{address: \"{}\", timeout: 500ms, claim_retention: {}ms}}\n\
             models: [{{name: {MODEL}}}]\n\
             classes:\n\
             - {{name: paid, priority: 200, first_token: 1200ms}}\n\
             - {{name: free, priority: 10, first_token: 5s}}\n\
             workspaces:\n",
            host_name(index),
            zone_of(index),
            peer_addresses[index],
            self.table.address,
            options.claim_retention.as_millis(),
        );
        for (workspace, key) in ["bedline", "kilimani"].iter().zip(KEYS) {
            let hash = key_hash(key);
            let _ = writeln!(
                text,
                "- {{name: {workspace}, keys: [{{sha256: \"{hash}\", class: paid}}], \
                 models: [{MODEL}], services: [holds]}}"
            );
        }
        text.push_str("upstreams:\n");
        for (index, engine) in self.engines.iter().enumerate() {
            let _ = writeln!(
                text,
                "- {{name: engine{index}, zone: {}, address: \"{}\", models: [{MODEL}], \
                 cold_limit: 2, http2: {}}}",
                zone_of(index),
                engine.address,
                options.http2,
            );
        }
        let _ = write!(
            text,
            "services:\n\
             - name: holds\n  \
               upstreams: [{{name: holds0, zone: hobart, address: \"{}\"}}]\n  \
               idempotent: [{{method: GET, path: /}}]\n  \
               timeout: 2s\n\
             log: {{level: info}}\n",
            self.bookings.address,
        );
        if !options.limits.is_empty() {
            let _ = writeln!(text, "limits: {{{}}}", options.limits.join(", "));
        }
        let _ = write!(
            text,
            "peers:\n  authority: |\n{}  identity:\n    certificate: |\n{}    key: |\n{}  hosts:{}\n",
            indent(authority, 4),
            indent(&identity.certificate, 6),
            indent(&identity.key, 6),
            if peer_addresses.len() == 1 { " []" } else { "" },
        );
        let others = peer_addresses.iter().enumerate().filter(|(other, _)| *other != index);
        for (other, address) in others {
            let (name, zone) = (host_name(other), zone_of(other));
            let _ = writeln!(text, "  - {{name: {name}, zone: {zone}, address: \"{address}\"}}");
        }
        text
    }
}

/// Returns a loopback address with port 0: the operating system chooses a free port.
pub fn loopback() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

fn host_name(index: usize) -> String {
    format!("host{index}")
}

fn zone_of(index: usize) -> &'static str {
    ZONES[index % ZONES.len()]
}

fn key_hash(key: &str) -> String {
    Hash::of(key).to_string()
}

fn indent(text: &str, width: usize) -> String {
    text.lines().map(|line| format!("{:width$}{line}\n", "")).collect()
}

/// Returns a loopback address whose UDP port is free now; it is not kept reserved.
fn free_udp_port() -> io::Result<SocketAddr> {
    UdpSocket::bind(loopback())?.local_addr()
}

/// TLS certificate and private key of a host, as PEM text.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

/// A certificate authority for the hosts' certificates.
pub struct Authority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl Authority {
    /// Creates an authority with a new key.
    ///
    /// # Errors
    ///
    /// Returns an error when the key or certificate cannot be created.
    pub fn new() -> Result<Self, rcgen::Error> {
        let mut params = CertificateParams::new(Vec::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
        Ok(Authority { issuer })
    }

    /// Returns the authority's certificate as PEM text.
    pub fn pem(&self) -> String {
        self.issuer.pem()
    }

    /// Issues a certificate for a host, with a new key.
    ///
    /// # Errors
    ///
    /// Returns an error when the key or certificate cannot be created.
    pub fn issue(&self, host: &str) -> Result<Identity, rcgen::Error> {
        let host = mothvale_lib::name::Host::new(host.to_owned());
        let key = KeyPair::generate()?;
        let params = CertificateParams::new(vec![certificate_name(&host)])?;
        let certificate = params.signed_by(&key, &self.issuer)?;
        Ok(Identity { certificate: certificate.pem(), key: key.serialize_pem() })
    }
}
