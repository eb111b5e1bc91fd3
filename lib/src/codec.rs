//! How the platform writes down what the gateway knows; implemented beside the library.

use http::{HeaderMap, StatusCode};

use crate::{
    cache_gc::Listing,
    cache_index::{Changes, Plan},
    deployment::Deployment,
    fleet::Entry,
    prelude::*,
};

/// What a caller's request says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metadata {
    /// Id of this attempt of the caller.
    pub id: FastStr,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The caller's key.
    pub key: Option<FastStr>,
    /// The model.
    pub model: Option<Model>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_answer_tokens: u32,
    /// Parts of the prompt in order; the caller's own part is the last.
    pub parts: SmallVec<[Part; 4]>,
}

/// A part of a prompt, named by what it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its id.
    pub id: FastStr,
    /// Its length.
    pub tokens: u32,
}

/// What the gateway adds to a request for an upstream.
#[derive(Clone, Debug, Default)]
pub struct Outgoing<'a> {
    /// How long the upstream may work.
    pub deadline: Duration,
    /// The upstream that is meant; any other is to turn the request away.
    pub upstream: &'a str,
    /// The holder of the caller's key.
    pub workspace: Option<&'a str>,
    /// Rank among the requests at the upstream, 0 first.
    pub urgency: Option<u8>,
    /// Cached parts are only found under the same salt.
    pub salt: Option<&'a str>,
    /// Where parts of the prompt are fetched from and saved to.
    pub plan: Option<&'a Plan>,
    /// Weight version that the upstream must have.
    pub weight_version: Option<u32>,
    /// Last event that the caller has, where an answer is gone on with.
    pub last_event_id: Option<u64>,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// Id of the request that it answers.
    pub id: Option<FastStr>,
    /// Whether it has the upstream's signature.
    pub signed: bool,
    /// Whether it says that the request did not run and never will.
    pub not_run: bool,
    /// Whether another upstream was meant.
    pub misdirected: bool,
    /// The upstream that answers, where it says.
    pub upstream: Option<FastStr>,
    /// Weight version that the run is made with.
    pub weight_version: Option<u32>,
}

/// A change of what operators ask for.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorUpdate {
    /// The configuration.
    Deployment(Box<Deployment>),
    /// A zone is taken out, or back.
    Evacuation {
        /// The zone.
        zone: Zone,
        /// Whether it is out.
        out: bool,
    },
    /// New weights are named.
    Weights {
        /// The model.
        model: Model,
        /// Their version.
        version: u32,
    },
    /// Nothing that this program knows.
    Unknown,
}

/// Order to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Order<'a> {
    /// The model.
    pub model: &'a str,
    /// Its new weight version.
    pub version: u32,
    /// Who gives it.
    pub holder: &'a str,
    /// Grows with each holder.
    pub fence: u64,
    /// Orders that the upstream must have taken before.
    pub expected_orders: u64,
}

/// What an upstream reports of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Whether an order is in progress.
    pub busy: bool,
    /// Orders that it has taken since its start.
    pub orders: u64,
    /// Weight versions of its models.
    pub models: SmallVec<[(Model, u32); 2]>,
}

/// Answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderStatus {
    /// It is being carried out.
    Taken,
    /// It holds already.
    Holds,
    /// Another order is in progress, or the number of orders differs.
    Conflict,
    /// A newer holder has given orders.
    Fenced,
    /// Anything else.
    Refused,
}

/// Translates between the platform's formats and the gateway's types. It decides nothing.
pub trait Codec: Clone + Send + Sync + 'static {
    /// Why a row of the store cannot be read.
    type Error: std::fmt::Display;

    /// Path of the balancer's question for readiness.
    const READINESS_PATH: &'static str;
    /// Path of an upstream's report.
    const REPORT_PATH: &'static str;
    /// Path for orders to an upstream.
    const ORDER_PATH: &'static str;
    /// Path of the list of all parts in a store of KV cache.
    const CACHE_LIST_PATH: &'static str;
    /// Path for freeing parts in a store of KV cache.
    const CACHE_FREE_PATH: &'static str;

    /// Reads the head of a caller's request.
    fn parse_request(&self, headers: &HeaderMap) -> Metadata;

    /// Writes the head for an upstream: what the caller sent, without what only concerns one
    /// connection or is not the caller's to say, and with what the gateway adds.
    fn upstream_headers(&self, headers: &HeaderMap, outgoing: &Outgoing<'_>) -> HeaderMap;

    /// Reads the head of an upstream's answer.
    fn parse_reply(&self, status: StatusCode, headers: &HeaderMap) -> Reply;

    /// Writes the head of an answer of the gateway's own to the request with this id.
    fn error_headers(&self, id: &str, retry_after: Option<Duration>) -> HeaderMap;

    /// Names the upstream that a call of the gateway's own is meant for.
    fn set_upstream(&self, headers: &mut HeaderMap, upstream: &str);

    /// Reads a row of the operators' table.
    ///
    /// # Errors
    ///
    /// Returns what cannot be read.
    fn parse_operator_row(
        &self,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<OperatorUpdate, Self::Error>;

    /// Reads an upstream's row.
    ///
    /// # Errors
    ///
    /// Returns what cannot be read.
    fn parse_upstream_row(&self, key: &str, value: &[u8]) -> Result<Entry, Self::Error>;

    /// Writes a call for what has changed in a store of KV cache: path and head.
    fn cache_changes_request(&self, since: u64, wait: Duration) -> (String, HeaderMap);

    /// Reads the answer to it.
    ///
    /// # Errors
    ///
    /// Returns what cannot be read.
    fn parse_cache_changes(&self, body: &[u8]) -> Result<Changes, Self::Error>;

    /// Reads the list of all parts in a store of KV cache.
    ///
    /// # Errors
    ///
    /// Returns what cannot be read.
    fn parse_cache_list(&self, body: &[u8]) -> Result<Listing, Self::Error>;

    /// Writes a call to free parts, in the start of the store that listed them.
    fn cache_free_body(&self, listing: &Listing) -> Bytes;

    /// Writes an order's body.
    fn order_body(&self, order: &Order<'_>) -> Bytes;

    /// Reads the answer to an order.
    fn order_status(&self, status: StatusCode) -> OrderStatus;

    /// Reads an upstream's report.
    ///
    /// # Errors
    ///
    /// Returns what cannot be read.
    fn parse_report(&self, body: &[u8]) -> Result<Report, Self::Error>;
}
