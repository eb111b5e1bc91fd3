//! Settings of one host of `mothvale serve`, parsed from YAML and checked. The settings of a
//! gateway host are in [`host_settings`](crate::host_settings).
//!
//! [`Settings::parse`] reports all errors of a file at once. The checks and the default values
//! are in `check`.

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
    /// The other hosts; none when this host runs alone.
    pub peers: Option<Peers>,
    /// The platform's table service.
    pub table: Table,
    /// Log levels.
    pub log: Log,
    /// Models, workspaces, upstreams and services.
    pub catalog: Arc<Catalog>,
}

/// Addresses to listen on.
#[derive(Clone, Debug)]
pub struct Listen {
    /// Address for callers.
    pub public: SocketAddr,
    /// Address of the admin API, for operators.
    pub admin: SocketAddr,
    /// Address for other hosts; set whenever there are peers.
    pub peer: Option<SocketAddr>,
    /// Certificate presented to callers; none means plain HTTP.
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

/// The other hosts and the credentials for talking to them.
#[derive(Clone, Debug)]
pub struct Peers {
    /// PEM text of the certificate authority that signs the hosts' certificates.
    pub authority: FastStr,
    /// Certificate and key that this host presents to the others.
    pub identity: Identity,
    /// The other hosts.
    pub hosts: Vec<Peer>,
}

/// Another host.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name, which its certificate must contain.
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
    /// Maximum wait for one response.
    pub timeout: Duration,
    /// How long the outcome of a non-idempotent request is kept.
    pub claim_retention: Duration,
}

/// Log levels.
#[derive(Clone, Debug)]
pub struct Log {
    /// Level of modules without an entry in `modules`.
    pub level: LevelFilter,
    /// Levels of individual modules, by the name under which they are logged.
    pub modules: BTreeMap<String, LevelFilter>,
}

impl Default for Log {
    fn default() -> Self {
        Log { level: LevelFilter::Info, modules: BTreeMap::new() }
    }
}

/// Models, workspaces, upstreams and services: the part of the settings that all hosts share.
#[derive(Clone, Debug)]
pub struct Catalog {
    /// Models by name.
    pub models: BTreeMap<Model, ModelEntry>,
    /// Priority classes by name.
    pub classes: BTreeMap<Class, ClassEntry>,
    /// Workspaces by name.
    pub workspaces: HashMap<Workspace, Arc<WorkspaceEntry>>,
    /// API keys of all workspaces.
    pub keys: key::Index,
    /// Model engines.
    pub upstreams: Vec<Arc<UpstreamEntry>>,
    /// Plain services, which are not model engines, by name.
    pub services: BTreeMap<Service, Arc<ServiceEntry>>,
    /// Limits on callers' requests.
    pub limits: Limits,
}

/// A model.
#[derive(Clone, Debug)]
pub struct ModelEntry {
    /// Maximum number of tokens in one answer.
    pub max_tokens: u32,
}

/// A priority class.
#[derive(Clone, Debug)]
pub struct ClassEntry {
    /// Priority sent to engines. Higher values go first, unlike in
    /// [`Route::priority`](crate::configuration::Route::priority).
    pub priority: u8,
    /// Target time from the request to its first token.
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
    /// Maximum number of requests in flight on one host.
    pub max_in_flight: u32,
}

/// A model engine.
#[derive(Clone, Debug)]
pub struct UpstreamEntry {
    /// Its name.
    pub name: Upstream,
    /// Its availability zone.
    pub zone: Zone,
    /// Its address and HTTP version.
    pub endpoint: Endpoint,
    /// Models it may serve.
    pub models: Vec<Model>,
    /// Maximum number of requests in flight from all hosts together while its state is not warm.
    pub cold_limit: u32,
}

/// A plain service.
#[derive(Clone, Debug)]
pub struct ServiceEntry {
    /// Its name.
    pub name: Service,
    /// Its instances.
    pub upstreams: Vec<Instance>,
    /// Calls that may be repeated; all others must not be.
    pub idempotent: Vec<CallPattern>,
    /// Maximum wait for a response.
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

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Maximum total size of the header names and values, in bytes.
    pub header: usize,
    /// Maximum wait for the next part of a request body.
    pub body_stall: Duration,
    /// Maximum time for which a caller may read nothing from a stream that has data.
    pub reader_stall: Duration,
    /// Maximum duration of a whole request.
    pub request: Duration,
    /// How long the listener stays open after the health check has begun to fail on shutdown.
    pub drain_delay: Duration,
}

impl Settings {
    /// Reads settings from the YAML text of `file`.
    ///
    /// # Errors
    ///
    /// Returns all errors of the document at once.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Problems> {
        Settings::try_from(yaml::Document::parse(file, text)?)
    }
}

impl TryFrom<yaml::Document> for Settings {
    type Error = Problems;

    fn try_from(doc: yaml::Document) -> Result<Self, Problems> {
        check::check_document(&doc)
    }
}
