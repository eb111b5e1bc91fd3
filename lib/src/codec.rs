//! Interface to the platform's wire formats: the [`Codec`] trait and the types that it converts
//! headers, documents and rows of the row store to and from. The platform crate implements it.

use std::time::SystemTime;

use http::{HeaderMap, StatusCode};

use crate::{
    build_share::Status,
    cache_gc::Listing,
    cache_index::{Changes, Plan},
    configuration::Configuration,
    fleet::UpstreamRow,
    prelude::*,
};

/// What the headers of a caller's request say about it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metadata {
    /// Request id; a caller that tries again sends another one.
    pub id: FastStr,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The caller's API key.
    pub key: Option<FastStr>,
    /// The model that is asked for.
    pub model: Option<Model>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer, in tokens.
    pub max_answer_tokens: u32,
    /// Id of the last event of a stream that the caller has, when it resumes the stream.
    pub last_event_id: Option<FastStr>,
    /// Id of the caller's request that brought the first event of a stream that the caller resumes.
    pub stream_origin: Option<FastStr>,
    /// Parts of the prompt in order; the last one is the caller's own, the others may be shared.
    pub parts: SmallVec<[Part; 4]>,
}

/// A part of a prompt, identified by its content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Id, which is the same wherever the content is the same.
    pub id: FastStr,
    /// Length in tokens.
    pub tokens: u32,
}

/// What the gateway adds to the headers of a request that it forwards to an upstream.
#[derive(Clone, Debug, Default)]
pub struct Outgoing<'a> {
    /// Time that the upstream has left for the request.
    pub time_left: Duration,
    /// The intended upstream; any other one must reject the request.
    pub upstream: &'a str,
    /// The workspace that the caller's key belongs to.
    pub workspace: Option<&'a str>,
    /// Priority among the requests at the upstream; 0 is served first.
    pub priority: Option<u8>,
    /// Cache salt; cached parts are only found under the salt that they were saved with.
    pub salt: Option<&'a str>,
    /// Cache stores that parts of the prompt are fetched from and saved to.
    pub cache_plan: Option<&'a Plan>,
    /// Weight version that the upstream must have loaded.
    pub weight_version: Option<u32>,
    /// Id of the last event that the caller received, when a stream is resumed.
    pub last_event_id: Option<u64>,
}

/// What the status and headers of an upstream's response say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Id of the request that the response belongs to.
    pub id: Option<FastStr>,
    /// Whether the response carries the upstream's signature.
    pub signed: bool,
    /// Whether the upstream states that the request did not run and never will.
    pub not_run: bool,
    /// Whether the upstream rejected the request because it is meant for another upstream, or for
    /// weights that this one does not have.
    pub misdirected: bool,
    /// Id of the upstream that responded, if given.
    pub upstream: Option<FastStr>,
    /// Weight version that the request runs with.
    pub weight_version: Option<u32>,
    /// Whether the upstream is shutting down and wants no new requests.
    pub leaving: bool,
    /// When the upstream may be sent requests again, as it says when it turns one away.
    pub retry_after: Option<RetryAfter>,
    /// The upstream's time of day.
    pub date: Option<SystemTime>,
    /// How many requests the upstream takes from all hosts together, if it names a limit.
    pub rate_limit: Option<RateLimit>,
    /// How many requests the upstream bears to turn away in a second for want of room, if it says so.
    /// Beyond that it falls over.
    pub max_refusals: Option<u32>,
}

/// A limit that an upstream names, as it is written.
#[derive(Clone, Debug, PartialEq)]
pub enum RateLimit {
    /// Requests per second, which may be any number.
    PerSecond(f64),
    /// The text is no number.
    Unreadable(FastStr),
}

/// When to send requests again.
#[derive(Clone, Debug, PartialEq)]
pub enum RetryAfter {
    /// After a number of seconds, which may be any number.
    Seconds(f64),
    /// At a time of day.
    Date(SystemTime),
    /// The text is neither of the two.
    Unreadable(FastStr),
}

/// A change that operators made, decoded from a row of [`Table::Operators`].
///
/// [`Table::Operators`]: crate::row_store::Table::Operators
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorUpdate {
    /// A new configuration.
    Configuration(Box<Configuration>),
    /// A zone is taken out of service or put back.
    Evacuation {
        /// The zone.
        zone: Zone,
        /// Whether the zone is out of service.
        out: bool,
    },
    /// A model has a new target weight version.
    Weights {
        /// The model.
        model: Model,
        /// The target version.
        version: u32,
    },
    /// A service is to move to a build, or no longer.
    BuildRollout {
        /// The service.
        service: Service,
        /// The build and the time in which the move should be completed; `None` if the order was withdrawn.
        to: Option<(Build, Duration)>,
    },
    /// A row of a kind that this version does not know.
    Unknown,
}

/// An order to an upstream to load a weight version. Its two preconditions, `fence` and
/// `expected_orders`, keep outdated orders from taking effect.
#[derive(Clone, Debug, PartialEq)]
pub struct Order<'a> {
    /// The model whose weights change.
    pub model: &'a str,
    /// The weight version to load.
    pub version: u32,
    /// Name of the lease holder that sends the order.
    pub holder: &'a str,
    /// Fencing token; each new lease holder has a larger one.
    pub fence: u64,
    /// Number of orders that the upstream must have accepted so far, see [`WeightReport::orders`].
    pub expected_orders: u64,
}

/// An upstream's report about its orders and weights.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WeightReport {
    /// Whether the upstream is still carrying out an order.
    pub busy: bool,
    /// Number of orders that it has accepted since its start.
    pub orders: u64,
    /// Its models and their weight versions.
    pub models: SmallVec<[(Model, u32); 2]>,
}

/// An upstream's response to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderStatus {
    /// Accepted; the upstream is carrying it out.
    Taken,
    /// Nothing to do; the upstream already has the weights.
    Holds,
    /// Another order is in progress, or the number of accepted orders is not the expected one.
    Conflict,
    /// Rejected because a holder with a larger fencing token has sent orders.
    Fenced,
    /// Any other response.
    Refused,
}

/// Converts between the platform's formats and the gateway's types. Implementations make no
/// decisions.
pub trait Codec: Clone + Send + Sync + 'static {
    /// Why a row or document cannot be decoded.
    type Error: std::fmt::Display;

    /// Path of the load balancer's readiness probe.
    const READINESS_PATH: &'static str;
    /// Path at an upstream where its [`WeightReport`] is read.
    const REPORT_PATH: &'static str;
    /// Path at an upstream that an [`Order`] is sent to.
    const ORDER_PATH: &'static str;
    /// Path at a KV cache store where the list of all its parts is read.
    const CACHE_LIST_PATH: &'static str;
    /// Path at a KV cache store for freeing parts.
    const CACHE_FREE_PATH: &'static str;

    /// Reads the metadata of a caller's request from its headers.
    fn parse_request(&self, headers: &HeaderMap) -> Metadata;

    /// Returns the headers of the request to an upstream: the caller's, without hop-by-hop fields
    /// and fields that callers may not set, and with what the gateway adds.
    fn upstream_headers(&self, headers: &HeaderMap, outgoing: &Outgoing<'_>) -> HeaderMap;

    /// Reads the status and headers of an upstream's response.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Returns the headers of an error response that the gateway itself gives to the request
    /// `id`.
    fn error_headers(&self, id: &str, retry_after: Option<Duration>) -> HeaderMap;

    /// Sets the header that names the intended upstream of a call that the gateway itself makes.
    fn set_upstream(&self, headers: &mut HeaderMap, upstream: &str);

    /// Decodes a row of the operators' table; `value` is `None` when the row was deleted.
    ///
    /// # Errors
    ///
    /// Returns an error that names what cannot be decoded.
    fn parse_operator_row(
        &self,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<OperatorUpdate, Self::Error>;

    /// Returns the key of the row that tells operators how far a service's move to a build is.
    fn status_key(&self, service: &Service) -> FastStr;

    /// Encodes that row.
    fn status_row(&self, status: &Status) -> Bytes;

    /// Decodes a row of [`Table::Status`]. Returns `None` for a row of another kind.
    ///
    /// # Errors
    ///
    /// Returns an error that names what cannot be decoded.
    ///
    /// [`Table::Status`]: crate::row_store::Table::Status
    fn parse_status_row(
        &self,
        key: &str,
        value: &[u8],
    ) -> Result<Option<(Service, Status)>, Self::Error>;

    /// Decodes the row with which an upstream registers.
    ///
    /// # Errors
    ///
    /// Returns an error that names what cannot be decoded.
    fn parse_upstream_row(&self, key: &str, value: &[u8]) -> Result<UpstreamRow, Self::Error>;

    /// Returns path and headers of a long poll for the changes in a KV cache store from position
    /// `since` on. The store holds the call for up to `wait` while there are none.
    fn cache_changes_request(&self, since: u64, wait: Duration) -> (String, HeaderMap);

    /// Decodes the response to [`Codec::cache_changes_request`].
    ///
    /// # Errors
    ///
    /// Returns an error that names what cannot be decoded.
    fn parse_cache_changes(&self, body: &[u8]) -> Result<Changes, Self::Error>;

    /// Decodes the list of all parts in a KV cache store.
    ///
    /// # Errors
    ///
    /// Returns an error that names what cannot be decoded.
    fn parse_cache_list(&self, body: &[u8]) -> Result<Listing, Self::Error>;

    /// Encodes the body of a call that frees the listed parts. It names the boot id from the
    /// listing, so that it does not apply to a store that has restarted since then.
    fn cache_free_body(&self, listing: &Listing) -> Bytes;

    /// Encodes the body of an order.
    fn order_body(&self, order: &Order<'_>) -> Bytes;

    /// Reads the HTTP status of the response to an order.
    fn order_status(&self, status: StatusCode) -> OrderStatus;

    /// Decodes an upstream's report about its orders and weights.
    ///
    /// # Errors
    ///
    /// Returns an error that names what cannot be decoded.
    fn parse_report(&self, body: &[u8]) -> Result<WeightReport, Self::Error>;
}
