//! Checked settings of one host.

mod check;

use std::{collections::HashMap, net::SocketAddr};

use log::LevelFilter;

use crate::{engine::Endpoint, key, prelude::*, problem::Problems, yaml};

/// Settings of one host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This host's name.
    pub host: Host,
    /// This host's availability zone.
    pub zone: Zone,
    /// Addresses to listen on.
    pub listen: Listen,
    /// The other hosts, where there are any.
    pub peers: Option<Peers>,
    /// The platform's table service.
    pub table: Table,
    /// Log levels.
    pub log: Log,
    /// What is served to whom.
    pub catalog: Arc<Catalog>,
}

/// Addresses to listen on.
#[derive(Clone, Debug)]
pub struct Listen {
    /// For callers.
    pub public: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For other hosts.
    pub peer: Option<SocketAddr>,
    /// Certificate shown to callers; none means plain HTTP.
    pub tls: Option<Identity>,
}

/// PEM text of a certificate chain and its private key.
#[derive(Clone)]
pub struct Identity {
    /// The certificate chain.
    pub certificate: FastStr,
    /// The private key.
    pub key: FastStr,
}

impl std::fmt::Debug for Identity {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Identity(..)")
    }
}

/// The other hosts and what is needed to talk to them.
#[derive(Clone, Debug)]
pub struct Peers {
    /// PEM text of the authority that signs hosts' certificates.
    pub authority: FastStr,
    /// What this host shows.
    pub identity: Identity,
    /// The other hosts.
    pub hosts: Vec<Peer>,
}

/// Another host.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name, which its certificate must carry.
    pub name: Host,
    /// Its availability zone.
    pub zone: Zone,
    /// Its address for other hosts.
    pub address: SocketAddr,
}

/// The platform's table service.
#[derive(Clone, Debug)]
pub struct Table {
    /// Its address.
    pub address: SocketAddr,
    /// Longest wait for one answer.
    pub timeout: Duration,
    /// How long the outcome of a request that is not idempotent is kept.
    pub claim_retention: Duration,
}

/// Log levels.
#[derive(Clone, Debug)]
pub struct Log {
    /// The level of modules that are not named.
    pub level: LevelFilter,
    /// Levels of single modules.
    pub modules: BTreeMap<String, LevelFilter>,
}

impl Default for Log {
    fn default() -> Self {
        Log { level: LevelFilter::Info, modules: BTreeMap::new() }
    }
}

/// What is served to whom; the part of the settings that all hosts share.
#[derive(Clone, Debug)]
pub struct Catalog {
    /// Models by name.
    pub models: BTreeMap<Model, ModelEntry>,
    /// Priority classes by name.
    pub classes: BTreeMap<Class, ClassEntry>,
    /// Workspaces by name.
    pub workspaces: HashMap<Workspace, Arc<WorkspaceEntry>>,
    /// Keys of all workspaces.
    pub keys: key::Index,
    /// Model engines.
    pub upstreams: Vec<Arc<UpstreamEntry>>,
    /// Plain services by name.
    pub services: BTreeMap<Service, Arc<ServiceEntry>>,
    /// Bounds on callers.
    pub limits: Limits,
}

/// A model.
#[derive(Clone, Debug)]
pub struct ModelEntry {
    /// Most tokens of one answer.
    pub max_tokens: u32,
}

/// A priority class.
#[derive(Clone, Debug)]
pub struct ClassEntry {
    /// Priority shown to engines; higher goes first.
    pub priority: u8,
    /// Time within which the first token is wanted.
    pub first_token: Duration,
}

/// A workspace.
#[derive(Clone, Debug)]
pub struct WorkspaceEntry {
    /// Its name.
    pub name: Workspace,
    /// Models it may use.
    pub models: Vec<Model>,
    /// Plain services it may use.
    pub services: Vec<Service>,
    /// Most requests in flight on one host.
    pub max_in_flight: u32,
}

/// A model engine.
#[derive(Clone, Debug)]
pub struct UpstreamEntry {
    /// Its name.
    pub name: Upstream,
    /// Its availability zone.
    pub zone: Zone,
    /// How it is reached.
    pub endpoint: Endpoint,
    /// Models it may serve.
    pub models: Vec<Model>,
    /// Most requests it can bear from all hosts together while cold.
    pub cold_limit: u32,
}

/// A plain service.
#[derive(Clone, Debug)]
pub struct ServiceEntry {
    /// Its name.
    pub name: Service,
    /// Its instances.
    pub upstreams: Vec<Instance>,
    /// Calls that may be repeated. All others may not.
    pub idempotent: Vec<CallPattern>,
    /// Longest wait for an answer.
    pub timeout: Duration,
}

impl ServiceEntry {
    /// Returns whether a call may be repeated.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        self.idempotent.iter().any(|it| it.method == method && path.starts_with(it.path.as_str()))
    }
}

/// One instance of a plain service.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Its name.
    pub name: Upstream,
    /// Its availability zone.
    pub zone: Zone,
    /// Its address.
    pub address: SocketAddr,
}

/// A method and a path prefix.
#[derive(Clone, Debug)]
pub struct CallPattern {
    /// The HTTP method.
    pub method: FastStr,
    /// The prefix, with its leading slash.
    pub path: FastStr,
}

/// Bounds on what callers may send and how long they may take.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Largest body, in bytes.
    pub body: usize,
    /// Largest header, in bytes.
    pub header: usize,
    /// Longest pause while a body arrives.
    pub body_stall: Duration,
    /// Longest time a reader of a stream may take nothing.
    pub reader_stall: Duration,
    /// Longest time for a whole request.
    pub request: Duration,
    /// How long the listener stays after the health answer has turned.
    pub drain_delay: Duration,
}

impl Settings {
    /// Reads settings from the YAML text of `file`.
    ///
    /// # Errors
    ///
    /// Returns all mistakes of the document at once.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Problems> {
        Settings::try_from(yaml::Document::parse(file, text)?)
    }
}

impl TryFrom<yaml::Document> for Settings {
    type Error = Problems;

    fn try_from(doc: yaml::Document) -> Result<Self, Problems> {
        check::settings(&doc)
    }
}
