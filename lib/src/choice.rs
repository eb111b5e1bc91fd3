//! The question which upstream gets a request, and its answers. `fleet` decides it.

use std::net::SocketAddr;

use crate::{admission::Pressure, cache_index::Source, prelude::*, upstream_state::Incarnation};

/// A request for which an upstream is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a Service,
    /// The model, for model engines.
    pub model: Option<&'a Model>,
    /// Key of the session whose KV cache the request can reuse.
    pub session: Option<u64>,
    /// Where the largest cached part of the prompt can be fetched from, if anywhere.
    pub cached: Option<&'a Source>,
    /// Tokens of the prompt plus the maximum number of tokens of the answer.
    pub tokens: u32,
    /// Whether the request was admitted before; it is then not shed.
    pub admitted: bool,
    /// Priority among the requests of the service; 0 is the most urgent.
    pub priority: u8,
    /// Hash of the request's id, the random sample for admission.
    pub request_hash: u64,
    /// How long the request may wait at an upstream before it starts.
    pub max_wait: Duration,
    /// The only build that can go on with the stream, if it has begun.
    pub build: Option<&'a Build>,
    /// The only upstreams that may be chosen, while the service is out of this host's reach: those to which
    /// it has connections. `None` allows all.
    pub connected: Option<&'a [Upstream]>,
    /// Upstreams that must not be chosen, because an earlier attempt there failed or was refused.
    pub tried: &'a [Upstream],
}

/// The chosen upstream. The request counts as in flight there until its outcome is passed to
/// [`Fleet::record_outcome`](crate::fleet::Fleet::record_outcome).
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The upstream's id.
    pub id: Upstream,
    /// The process that was chosen, with the address that it listens on.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: Zone,
    /// Version of its software.
    pub build: Build,
    /// Whether only an upstream of this build may take the request.
    pub is_bound: bool,
    /// The last known weight version of the request's model on this upstream.
    pub weight_version: Option<u32>,
    /// How long the request may wait there before it starts.
    pub max_wait: Duration,
    /// Tokens that count as in flight there.
    pub tokens: u32,
    /// Tokens in flight there from all hosts, with those of this request.
    pub load: u64,
    /// Address of the upstream that ranks first for the session, if that is another one with the
    /// same weights: its KV cache may hold the session's prompt.
    pub cache_source: Option<SocketAddr>,
    /// Whether the upstream has named a limit, within which the request is counted.
    pub within_limit: bool,
    /// Why this upstream was chosen, for logs.
    pub reason: &'static str,
}

/// Why no upstream was chosen, with the time after which to retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Denial {
    /// The service is unknown or has no live upstream.
    NoUpstream(Duration),
    /// This host reaches none of the live upstreams.
    Unreachable(Duration),
    /// No live upstream has the build that began the stream, others have.
    OtherBuilds,
    /// None of the live upstreams can take another request.
    Full(Duration),
    /// All live upstreams have asked for a pause. The time is that until the first one takes requests
    /// again, with a part that spreads the requests.
    Paused(Duration),
    /// All live upstreams have named a limit, which is used up, or have asked for a pause. The time is as
    /// for a pause.
    Limited(Duration),
    /// Admission control refused the request because the engines are overloaded.
    Shed(Duration, Pressure),
}
