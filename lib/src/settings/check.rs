//! Checks of a settings document, and its conversion into [`Settings`].
//!
//! A document is checked against the JSON schema of the settings, then for duplicate names,
//! undefined references and conflicting addresses. Fields left out get the defaults below.

use std::{collections::HashSet, net::SocketAddr, sync::LazyLock};

use jsonschema::{Validator, error::ValidationErrorKind};
use log::LevelFilter;
use serde_json::Value;

use super::*;
use crate::{generated::settings as raw, problem::Problem, unit, yaml::Document};

const SCHEMA: &str = include_str!("../../schema/settings.schema.json");

const DEFAULT_TABLE_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_CLAIM_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
const DEFAULT_SERVICE_TIMEOUT: Duration = Duration::from_secs(10);
const DEFAULT_FIRST_TOKEN: Duration = Duration::from_millis(1200);
const DEFAULT_MAX_TOKENS: u32 = 4096;
const DEFAULT_MAX_IN_FLIGHT: u32 = 1024;
const DEFAULT_COLD_LIMIT: u32 = 1;
const DEFAULT_LIMITS: Limits = Limits {
    body: 4 << 20,
    header: 32 << 10,
    body_stall: Duration::from_secs(10),
    reader_stall: Duration::from_secs(30),
    request: Duration::from_secs(600),
    drain_delay: Duration::from_secs(5),
};

/// Validator of the settings schema, with the string formats that the schema refers to.
static VALIDATOR: LazyLock<Validator> = LazyLock::new(|| {
    let schema: Value = serde_json::from_str(SCHEMA).expect("the settings schema is valid JSON");
    jsonschema::options()
        .with_format("socket-address", |it| it.parse::<SocketAddr>().is_ok())
        .with_format("duration-unit", |it| unit::parse_duration(it).is_ok())
        .with_format("byte-unit", |it| unit::parse_bytes(it).is_ok())
        .should_validate_formats(true)
        .build(&schema)
        .expect("the settings schema is a valid JSON schema")
});

/// Checks a whole document and converts it. References are checked on the untyped document,
/// so that an error in one place does not hide errors in others.
///
/// # Errors
///
/// Returns all errors found, sorted by line.
pub(super) fn check_document(doc: &Document) -> Result<Settings, Problems> {
    let mut checker = Checker { doc, problems: Vec::new() };
    checker.check_schema();
    checker.check_unique_names();
    checker.check_references();
    checker.check_addresses();
    let built = match serde_json::from_value::<raw::Settings>(doc.value.clone()) {
        Ok(raw) => checker.build(&raw),
        Err(err) if checker.problems.is_empty() => {
            checker.add_problem("", err.to_string());
            None
        }
        Err(_) => None,
    };
    match built {
        Some(settings) if checker.problems.is_empty() => Ok(settings),
        _ => Err(checker.into_problems()),
    }
}

/// Checks one document and collects its problems.
struct Checker<'a> {
    doc: &'a Document,
    problems: Vec<Problem>,
}

impl<'a> Checker<'a> {
    fn add_problem(&mut self, pointer: &str, message: String) {
        self.problems.push(self.doc.problem(pointer, message));
    }

    /// Returns the problems sorted by line and field, without duplicates.
    fn into_problems(mut self) -> Problems {
        self.problems.sort_by(|a, b| (a.line, &a.field).cmp(&(b.line, &b.field)));
        self.problems.dedup();
        Problems { file: self.doc.file.clone(), list: self.problems }
    }

    /// Checks the document against its JSON schema.
    fn check_schema(&mut self) {
        for err in VALIDATOR.iter_errors(&self.doc.value) {
            let pointer = err.instance_path.to_string();
            match &err.kind {
                ValidationErrorKind::AdditionalProperties { unexpected } => {
                    for name in unexpected {
                        self.add_problem(&format!("{pointer}/{name}"), "unknown field".into());
                    }
                }
                ValidationErrorKind::Required { property } => {
                    let name = property.as_str().unwrap_or_default();
                    self.add_problem(&pointer, format!("the field `{name}` is missing"));
                }
                ValidationErrorKind::Format { format } => {
                    let text = err.instance.as_str().unwrap_or_default();
                    self.add_problem(&pointer, format_message(format, text));
                }
                ValidationErrorKind::Type { .. } if err.instance.is_number() => {
                    let hint = "durations and sizes need a unit, such as `2s` or `1MiB`";
                    self.add_problem(&pointer, format!("{err}; {hint}"));
                }
                _ => self.add_problem(&pointer, err.to_string()),
            }
        }
    }

    /// Checks that names are unique within their list.
    fn check_unique_names(&mut self) {
        for list in ["/models", "/classes", "/workspaces", "/upstreams", "/services"] {
            self.check_unique(list, "name");
        }
        self.check_unique("/peers/hosts", "name");
        for index in 0..self.array_at("/services").len() {
            self.check_unique(&format!("/services/{index}/upstreams"), "name");
        }
        let own = self.str_at("/host/name");
        for (pointer, name) in self.strs_in("/peers/hosts", "name") {
            if Some(name) == own {
                self.add_problem(&pointer, "is this host's own name".into());
            }
        }
    }

    /// Checks that referenced models, classes and services are defined, and that no key is
    /// listed twice.
    fn check_references(&mut self) {
        let models = self.defined_names("/models");
        let classes = self.defined_names("/classes");
        let services = self.defined_names("/services");
        let mut keys = HashSet::new();
        for index in 0..self.array_at("/workspaces").len() {
            let workspace = format!("/workspaces/{index}");
            self.check_defined(&format!("{workspace}/models"), "", "model", &models);
            self.check_defined(&format!("{workspace}/services"), "", "service", &services);
            self.check_defined(&format!("{workspace}/keys"), "class", "class", &classes);
            for (pointer, hash) in self.strs_in(&format!("{workspace}/keys"), "sha256") {
                if !keys.insert(hash) {
                    self.add_problem(&pointer, "duplicate key".into());
                }
            }
        }
        for index in 0..self.array_at("/upstreams").len() {
            self.check_defined(&format!("/upstreams/{index}/models"), "", "model", &models);
        }
    }

    /// Checks that `listen.public` and `listen.admin` differ, and that a host with peers has an
    /// address for them.
    fn check_addresses(&mut self) {
        let (public, admin) = (self.str_at("/listen/public"), self.str_at("/listen/admin"));
        if public.is_some_and(|it| Some(it) == admin && !it.ends_with(":0")) {
            self.add_problem("/listen/admin", "is the same address as `listen.public`".into());
        }
        if self.doc.value.get("peers").is_some() && self.str_at("/listen/peer").is_none() {
            self.add_problem("/listen", "the field `peer` is missing, which `peers` needs".into());
        }
    }

    /// Returns the array at a JSON pointer, or an empty slice.
    fn array_at(&self, pointer: &str) -> &'a [Value] {
        self.doc.value.pointer(pointer).and_then(Value::as_array).map_or(&[], Vec::as_slice)
    }

    /// Returns the string at a JSON pointer, if there is one.
    fn str_at(&self, pointer: &str) -> Option<&'a str> {
        self.doc.value.pointer(pointer).and_then(Value::as_str)
    }

    /// Returns the strings of a list with their JSON pointers: the `field` of each item, or the
    /// items themselves where `field` is empty.
    fn strs_in(&self, list: &str, field: &str) -> Vec<(String, &'a str)> {
        let suffix = if field.is_empty() { String::new() } else { format!("/{field}") };
        let pointers =
            (0..self.array_at(list).len()).map(|index| format!("{list}/{index}{suffix}"));
        pointers.filter_map(|it| self.str_at(&it).map(|text| (it.clone(), text))).collect()
    }

    /// Returns the names of a list's items.
    fn defined_names(&self, list: &str) -> HashSet<&'a str> {
        self.strs_in(list, "name").into_iter().map(|(_, name)| name).collect()
    }

    /// Checks that each string of a list is one of `defined`.
    fn check_defined(&mut self, list: &str, field: &str, kind: &str, defined: &HashSet<&str>) {
        for (pointer, name) in self.strs_in(list, field) {
            if !defined.contains(name) {
                self.add_problem(&pointer, format!("no {kind} `{name}`"));
            }
        }
    }

    /// Checks that the `field` of each item of a list is unique.
    fn check_unique(&mut self, list: &str, field: &str) {
        let mut seen = HashSet::new();
        for (pointer, name) in self.strs_in(list, field) {
            if !seen.insert(name) {
                self.add_problem(&pointer, format!("duplicate name `{name}`"));
            }
        }
    }

    /// Builds the settings from a document of the right types. Returns `None` where a value
    /// cannot be converted; the checks have reported such values.
    fn build(&mut self, raw: &raw::Settings) -> Option<Settings> {
        let listen = self.build_listen(&raw.listen);
        let peers = match &raw.peers {
            Some(peers) => Some(self.build_peers(peers)?),
            None => None,
        };
        Some(Settings {
            host: Host::new(raw.host.name.clone()),
            zone: Zone::new(raw.host.zone.clone()),
            listen: listen?,
            peers,
            table: Table {
                address: raw.table.address.parse().ok()?,
                timeout: duration_or(raw.table.timeout.as_deref(), DEFAULT_TABLE_TIMEOUT),
                claim_retention: duration_or(
                    raw.table.claim_retention.as_deref(),
                    DEFAULT_CLAIM_RETENTION,
                ),
            },
            log: log_levels(raw.log.as_ref()),
            catalog: Arc::new(catalog(raw)?),
        })
    }

    fn build_listen(&mut self, raw: &raw::Listen) -> Option<Listen> {
        let tls = match &raw.tls {
            Some(tls) => Some(self.build_identity(tls, "/listen/tls")?),
            None => None,
        };
        Some(Listen {
            public: raw.public.parse().ok()?,
            admin: raw.admin.parse().ok()?,
            peer: raw.peer.as_ref().and_then(|it| it.parse().ok()),
            tls,
        })
    }

    fn build_peers(&mut self, raw: &raw::Peers) -> Option<Peers> {
        let hosts = raw.hosts.iter().map(|it| {
            Some(Peer {
                name: Host::new(it.name.clone()),
                zone: Zone::new(it.zone.clone()),
                address: it.address.parse().ok()?,
            })
        });
        let hosts = hosts.collect::<Option<_>>();
        let authority = self.read_pem(&raw.authority, "/peers/authority");
        let identity = self.build_identity(&raw.identity, "/peers/identity");
        Some(Peers { authority: authority?, identity: identity?, hosts: hosts? })
    }

    fn build_identity(&mut self, raw: &raw::Identity, pointer: &str) -> Option<Identity> {
        let certificate = self.read_pem(&raw.certificate, &format!("{pointer}/certificate"));
        let key = self.read_pem(&raw.key, &format!("{pointer}/key"));
        Some(Identity { certificate: certificate?, key: key? })
    }

    /// Returns the PEM text itself, or reads it from the file where `text` is a path.
    fn read_pem(&mut self, text: &str, pointer: &str) -> Option<FastStr> {
        const PEM_PREFIX: &str = "-----BEGIN ";
        if text.trim_start().starts_with(PEM_PREFIX) {
            return Some(text.to_owned().into());
        }
        match std::fs::read_to_string(text) {
            Ok(pem) if pem.contains(PEM_PREFIX) => Some(pem.into()),
            Ok(_) => {
                self.add_problem(pointer, format!("the file `{text}` holds no PEM text"));
                None
            }
            Err(err) => {
                self.add_problem(pointer, format!("cannot read `{text}`: {err}"));
                None
            }
        }
    }
}

/// Builds the catalog. Returns `None` where a value cannot be converted.
fn catalog(raw: &raw::Settings) -> Option<Catalog> {
    let mut keys = key::Index::default();
    for workspace in &raw.workspaces {
        for it in &workspace.keys {
            let hash = key::Hash::try_from(it.sha256.as_str()).ok()?;
            let class = Class::new(it.class.clone());
            let workspace = Workspace::new(workspace.name.clone());
            keys.insert(hash, key::Caller { workspace, class });
        }
    }
    Some(Catalog {
        models: raw.models.iter().map(model).collect(),
        classes: raw.classes.iter().map(class).collect(),
        workspaces: raw.workspaces.iter().map(workspace).collect(),
        keys,
        upstreams: raw.upstreams.iter().map(upstream).collect::<Option<_>>()?,
        services: raw.services.iter().map(service).collect::<Option<_>>()?,
        limits: limits(raw.limits.as_ref()),
    })
}

fn workspace(raw: &raw::Workspace) -> (Workspace, Arc<WorkspaceEntry>) {
    let name = Workspace::new(raw.name.clone());
    let entry = WorkspaceEntry {
        name: name.clone(),
        models: raw.models.iter().cloned().map(Model::new).collect(),
        services: raw.services.iter().cloned().map(Service::new).collect(),
        max_in_flight: raw.max_in_flight.unwrap_or(DEFAULT_MAX_IN_FLIGHT),
    };
    (name, Arc::new(entry))
}

fn upstream(raw: &raw::Upstream) -> Option<Arc<UpstreamEntry>> {
    Some(Arc::new(UpstreamEntry {
        name: Upstream::new(raw.name.clone()),
        zone: Zone::new(raw.zone.clone()),
        endpoint: Endpoint {
            address: raw.address.parse().ok()?,
            http2: raw.http2.unwrap_or(false),
        },
        models: raw.models.iter().cloned().map(Model::new).collect(),
        cold_limit: raw.cold_limit.unwrap_or(DEFAULT_COLD_LIMIT),
    }))
}

fn service(raw: &raw::Service) -> Option<(Service, Arc<ServiceEntry>)> {
    let upstreams = raw.upstreams.iter().map(|it| {
        Some(Instance {
            name: Upstream::new(it.name.clone()),
            zone: Zone::new(it.zone.clone()),
            address: it.address.parse().ok()?,
        })
    });
    let calls = raw.idempotent.iter().map(|it| CallPattern {
        method: it.method.to_string().into(),
        path: it.path.clone().into(),
    });
    let name = Service::new(raw.name.clone());
    let entry = ServiceEntry {
        name: name.clone(),
        upstreams: upstreams.collect::<Option<_>>()?,
        idempotent: calls.collect(),
        timeout: duration_or(raw.timeout.as_deref(), DEFAULT_SERVICE_TIMEOUT),
    };
    Some((name, Arc::new(entry)))
}

/// Returns why `text` does not match a string format of the schema.
fn format_message(format: &str, text: &str) -> String {
    let reason = match format {
        "duration-unit" => unit::parse_duration(text).err(),
        "byte-unit" => unit::parse_bytes(text).err(),
        _ => Some("must be an IP number and a port, such as `10.0.0.1:8080`".into()),
    };
    format!("`{text}`: {}", reason.unwrap_or_default())
}

/// Returns the duration in `text`, or `default` if there is none. An invalid one has been reported
/// by the schema check.
fn duration_or(text: Option<&str>, default: Duration) -> Duration {
    text.and_then(|it| unit::parse_duration(it).ok()).unwrap_or(default)
}

/// Returns the size in `text`, or `default` if there is none; invalid ones as in [`duration_or`].
fn bytes_or(text: Option<&str>, default: usize) -> usize {
    text.and_then(|it| unit::parse_bytes(it).ok()).unwrap_or(default)
}

fn model(raw: &raw::Model) -> (Model, ModelEntry) {
    let entry = ModelEntry { max_tokens: raw.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS) };
    (Model::new(raw.name.clone()), entry)
}

fn class(raw: &raw::Class) -> (Class, ClassEntry) {
    let first_token = duration_or(raw.first_token.as_deref(), DEFAULT_FIRST_TOKEN);
    let entry = ClassEntry { priority: raw.priority, first_token };
    (Class::new(raw.name.clone()), entry)
}

fn limits(raw: Option<&raw::Limits>) -> Limits {
    let Some(raw) = raw else { return DEFAULT_LIMITS };
    Limits {
        body: bytes_or(raw.body.as_deref(), DEFAULT_LIMITS.body),
        header: bytes_or(raw.header.as_deref(), DEFAULT_LIMITS.header),
        body_stall: duration_or(raw.body_stall.as_deref(), DEFAULT_LIMITS.body_stall),
        reader_stall: duration_or(raw.reader_stall.as_deref(), DEFAULT_LIMITS.reader_stall),
        request: duration_or(raw.request.as_deref(), DEFAULT_LIMITS.request),
        drain_delay: duration_or(raw.drain_delay.as_deref(), DEFAULT_LIMITS.drain_delay),
    }
}

fn log_levels(raw: Option<&raw::Log>) -> Log {
    let mut log = Log { level: LevelFilter::Info, modules: BTreeMap::new() };
    if let Some(raw) = raw {
        log.level = raw.level.map_or(log.level, level);
        log.modules = raw.modules.iter().map(|(name, it)| (name.clone(), level(*it))).collect();
    }
    log
}

fn level(raw: raw::Level) -> LevelFilter {
    match raw {
        raw::Level::Off => LevelFilter::Off,
        raw::Level::Error => LevelFilter::Error,
        raw::Level::Warn => LevelFilter::Warn,
        raw::Level::Info => LevelFilter::Info,
        raw::Level::Debug => LevelFilter::Debug,
        raw::Level::Trace => LevelFilter::Trace,
    }
}
