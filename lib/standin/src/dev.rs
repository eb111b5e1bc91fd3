//! A whole small system in one process: hosts and stand-ins over loopback sockets.

use std::{
    fmt::Write as _,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket},
    time::Duration,
};

use mothvale_lib::{
    backend::HttpBackend,
    engine::HttpEngine,
    group_commit::GroupCommitTable,
    host::{Clients, Host, StartError},
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

/// Keys of the two workspaces, `bedline` and `kilimani`.
pub const KEYS: [&str; 2] = ["dev-bedline", "dev-kilimani"];
/// The model that all engines serve.
pub const MODEL: &str = "demo";

const ZONES: [&str; 3] = ["hobart", "launceston", "burnie"];
const STORE_BYTES: usize = 64 << 20;
/// Further tries to find free ports for the hosts.
const PORT_TRIES: u32 = 3;
const READY_POLL: Duration = Duration::from_millis(10);
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Why the system cannot start.
#[derive(Debug, Error)]
pub enum DevError {
    /// A stand-in cannot listen.
    #[error("stand-in: {0}")]
    Io(#[from] io::Error),
    /// A host cannot start.
    #[error("{0}")]
    Start(#[from] StartError),
    /// The written settings are wrong.
    #[error("{0}")]
    Settings(#[from] Problems),
    /// Certificates cannot be made.
    #[error("certificates: {0}")]
    Certificate(#[from] rcgen::Error),
    /// A host has not found its upstreams.
    #[error("a host has found no upstream")]
    NotReady,
}

/// What the system consists of.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address of the first host for callers.
    pub listen: SocketAddr,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of engines.
    pub engines: usize,
    /// How the engines behave.
    pub engine: Config,
    /// Whether hosts speak HTTP/2 to the engines.
    pub http2: bool,
    /// How long the outcome of a request that is not idempotent is kept.
    pub claim_retention: Duration,
    /// YAML lines for the settings' `limits`.
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

/// A host of the system.
pub type DevHost = Host<HttpEngine, HttpBackend, GroupCommitTable<HttpTable>>;

/// The stand-ins of a system.
pub struct Standins {
    /// The engines.
    pub engines: Vec<Running<Engine>>,
    /// The store hosts.
    pub stores: Vec<Running<Store>>,
    /// The booking service.
    pub bookings: Running<Bookings>,
    /// The table service.
    pub table: Running<Table>,
}

/// A running system.
pub struct Cluster {
    /// The hosts.
    pub hosts: Vec<DevHost>,
    /// The stand-ins.
    pub standins: Standins,
}

impl Cluster {
    /// Starts a system and waits until its hosts have found their upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error when a socket cannot be had or a host finds no upstream.
    pub async fn start(options: &Options) -> Result<Cluster, DevError> {
        let standins = Standins::start(options).await?;
        let mut tries = PORT_TRIES;
        loop {
            let hosts = start_hosts(standins.settings(options)?).await;
            match hosts {
                // Somebody else took a port between its choice and its use.
                Err(StartError::Peer(PeerError::Listen(_))) if tries > 0 => tries -= 1,
                hosts => return Cluster::ready(standins, hosts?).await,
            }
        }
    }

    /// Starts hosts with these settings and waits until they have found their upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error when a socket cannot be had or a host finds no upstream.
    pub async fn with_settings(
        standins: Standins,
        settings: Vec<Settings>,
    ) -> Result<Cluster, DevError> {
        let hosts = start_hosts(settings).await?;
        Cluster::ready(standins, hosts).await
    }

    async fn ready(standins: Standins, hosts: Vec<DevHost>) -> Result<Cluster, DevError> {
        let cluster = Cluster { hosts, standins };
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Shuts all hosts down; returns whether all requests ended.
    pub async fn shut_down(self) -> bool {
        let ends = self.hosts.into_iter().map(Host::shut_down);
        futures_util::future::join_all(ends).await.into_iter().all(|it| it)
    }

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

/// Starts hosts; when one cannot start, those before it stop.
async fn start_hosts(settings: Vec<Settings>) -> Result<Vec<DevHost>, StartError> {
    let mut hosts: Vec<DevHost> = Vec::new();
    for settings in settings {
        let clients = Clients::http(&settings);
        match Host::start(settings, clients).await {
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
    /// Starts the stand-ins.
    ///
    /// # Errors
    ///
    /// Returns an error when a socket cannot be had.
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

    /// Makes the settings of each host, by way of their YAML text.
    ///
    /// # Errors
    ///
    /// Returns an error when certificates or ports cannot be had.
    pub fn settings(&self, options: &Options) -> Result<Vec<Settings>, DevError> {
        let texts = self.settings_yaml(options)?;
        let parse = |text: String| Settings::parse("dev.yaml", &text).map_err(DevError::from);
        texts.into_iter().map(parse).collect()
    }

    /// Writes the settings of each host as YAML.
    ///
    /// # Errors
    ///
    /// Returns an error when certificates or ports cannot be had.
    pub fn settings_yaml(&self, options: &Options) -> Result<Vec<String>, DevError> {
        let authority = Authority::new()?;
        let peers = (0..options.hosts).map(|_| free_udp_port()).collect::<Result<Vec<_>, _>>()?;
        let texts = (0..options.hosts).map(|index| {
            let public = if index == 0 { options.listen } else { loopback() };
            let identity = authority.issue(&name(index))?;
            Ok(self.host_settings(index, public, &peers, &authority.pem(), &identity, options))
        });
        texts.collect()
    }

    fn host_settings(
        &self,
        index: usize,
        public: SocketAddr,
        peers: &[SocketAddr],
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
            name(index),
            zone(index),
            peers[index],
            self.table.address,
            options.claim_retention.as_millis(),
        );
        for (workspace, key) in ["bedline", "kilimani"].iter().zip(KEYS) {
            let hash = hash_text(key);
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
                zone(index),
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
            if peers.len() == 1 { " []" } else { "" },
        );
        let others = peers.iter().enumerate().filter(|(other, _)| *other != index);
        for (other, address) in others {
            let (name, zone) = (name(other), zone(other));
            let _ = writeln!(text, "  - {{name: {name}, zone: {zone}, address: \"{address}\"}}");
        }
        text
    }
}

/// Returns a loopback address whose port the system chooses.
pub fn loopback() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

fn name(index: usize) -> String {
    format!("host{index}")
}

fn zone(index: usize) -> &'static str {
    ZONES[index % ZONES.len()]
}

fn hash_text(key: &str) -> String {
    Hash::of(key).to_string()
}

fn indent(text: &str, width: usize) -> String {
    text.lines().map(|line| format!("{:width$}{line}\n", "")).collect()
}

fn free_udp_port() -> io::Result<SocketAddr> {
    UdpSocket::bind(loopback())?.local_addr()
}

/// Certificate and key of a host, as PEM text.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The certificate.
    pub certificate: String,
    /// The key.
    pub key: String,
}

/// An authority that signs hosts' certificates.
pub struct Authority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl Authority {
    /// Creates an authority.
    ///
    /// # Errors
    ///
    /// Returns an error when no key can be made.
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

    /// Signs a certificate for a host.
    ///
    /// # Errors
    ///
    /// Returns an error when no key can be made.
    pub fn issue(&self, host: &str) -> Result<Identity, rcgen::Error> {
        let host = mothvale_lib::name::Host::new(host.to_owned());
        let key = KeyPair::generate()?;
        let params = CertificateParams::new(vec![certificate_name(&host)])?;
        let certificate = params.signed_by(&key, &self.issuer)?;
        Ok(Identity { certificate: certificate.pem(), key: key.serialize_pem() })
    }
}
