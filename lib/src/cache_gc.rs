//! Frees what stores of KV cache hold of weights that no engine has any more.
//!
//! A part must not be freed while an engine fetches it. Engines fetch what hosts tell them to, and a
//! host tells an engine to fetch parts of older weights only while it knows from fresh rows that some
//! engine still has them (`target_weights`). So the parts of older weights are free once all rows have shown
//! newer ones for as long as a host may take to read them, and a fetch to end.

use std::{collections::HashMap, net::SocketAddr};

use http::{HeaderMap, Method, Uri};
use tokio::time::sleep;

use crate::{
    cache_index::FETCH_TIMEOUT,
    codec::Codec,
    connection::{self, Connection},
    gateway::Gateway,
    prelude::*,
    salt,
};

/// Added to what hosts and fetches may take, for what lies between a check and what it allows.
const MARGIN: Duration = Duration::from_millis(500);
/// How often a host looks whether there is something to free.
const ROUND: Duration = Duration::from_millis(400);
/// Pause between two stores: each listing holds a store up.
const PAUSE: Duration = Duration::from_millis(50);
/// Pause after a round in which some store could not be cleared.
const AGAIN: Duration = Duration::from_secs(2);
/// Longest wait for an answer of a store.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const ANSWER_BYTES: usize = 16 << 20;

/// A part in a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The salt under which it is found.
    pub salt: FastStr,
    /// The part's id.
    pub id: FastStr,
}

/// All parts in a store, complete or not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Identifies the store's present start.
    pub boot: u64,
    /// The parts.
    pub parts: Vec<Part>,
}

/// Decides from when on parts of older weights may be freed. No I/O.
#[derive(Debug)]
pub struct Tracker {
    /// How long all rows must have shown newer weights.
    settle: Duration,
    /// By model: the oldest weights that an engine has, and since when.
    oldest: HashMap<Model, (u32, Instant)>,
}

impl Tracker {
    /// Creates a plan; `freshness` is how old the rows may be by which a host lets fetch older weights.
    pub fn new(freshness: Duration) -> Self {
        Tracker { settle: freshness + FETCH_TIMEOUT + MARGIN, oldest: HashMap::new() }
    }

    /// Takes the oldest weights that an engine has of each model, by rows that were read at
    /// `read`; returns those of which everything older may be freed.
    pub fn observe(&mut self, read: Instant, oldest: &[(Model, u32)]) -> Vec<(Model, u32)> {
        for (model, version) in oldest {
            let known = self.oldest.entry(model.clone()).or_insert((*version, read));
            if known.0 != *version {
                *known = (*version, read);
            }
        }
        let settled = self.oldest.iter().filter(|it| read.since(it.1.1) >= self.settle);
        settled.map(|(model, (version, _))| (model.clone(), *version)).collect()
    }
}

/// Frees parts of former weights whenever there are any, until the process ends. Only the host
/// that ranks first does; it does no harm if two do.
pub async fn run<D>(gateway: Arc<Gateway<D>>)
where
    D: Codec,
{
    let mut tracker = Tracker::new(gateway.host_config.bounds.drain);
    let mut freed: HashMap<Model, u32> = HashMap::new();
    loop {
        sleep(ROUND).await;
        let (read, oldest) = {
            let fleet = gateway.fleet();
            (fleet.target_weights.rows_as_of(), fleet.oldest_weight_versions())
        };
        let settled = tracker.observe(read, &oldest);
        let due = |it: &(Model, u32)| freed.get(&it.0).is_none_or(|version| *version < it.1);
        let settled: Vec<_> = settled.into_iter().filter(|it| it.1 > 1 && due(it)).collect();
        if settled.is_empty() || !gateway.fleet().ranks_first("retire") {
            continue;
        }
        if clear(&gateway, &settled).await {
            freed.extend(settled);
        } else {
            sleep(AGAIN).await;
        }
    }
}

/// Clears all stores; false when one of them could not be cleared.
async fn clear<D>(gateway: &Gateway<D>, settled: &[(Model, u32)]) -> bool
where
    D: Codec,
{
    let stores = gateway.deployment().map(|it| it.stores.clone()).unwrap_or_default();
    let mut all = true;
    for store in stores {
        match clear_store(gateway, store.address, settled).await {
            Ok(parts) => log::info!(store = store.address.to_string().as_str(), parts = parts;
                "parts of former weights are freed"),
            Err(reason) => {
                all = false;
                log::warn!(store = store.address.to_string().as_str(), reason = reason;
                    "parts of former weights cannot be freed yet");
            }
        }
        sleep(PAUSE).await;
    }
    all
}

async fn clear_store<D>(
    gateway: &Gateway<D>,
    address: SocketAddr,
    settled: &[(Model, u32)],
) -> Result<usize, &'static str>
where
    D: Codec,
{
    let mut connection = Connection::connect(address).await.map_err(|_| "unreachable")?;
    let uri = Uri::from_static(D::CACHE_LIST_PATH);
    let request =
        connection::build_request(address, Method::GET, uri, HeaderMap::new(), Bytes::new());
    let answer =
        connection.call(request, CALL_TIMEOUT, ANSWER_BYTES).await.map_err(|_| "no answer")?;
    if !answer.status().is_success() {
        return Err("listing is refused");
    }
    let listing = gateway.codec.parse_cache_list(answer.body()).map_err(|err| {
        log::warn!(store = address.to_string().as_str(), error = err.to_string().as_str();
            "cache store's listing cannot be read");
        "unreadable"
    })?;
    let stale = stale_parts(listing, settled);
    if stale.parts.is_empty() {
        return Ok(0);
    }
    let body = gateway.codec.cache_free_body(&stale);
    let uri = Uri::from_static(D::CACHE_FREE_PATH);
    let request = connection::build_request(address, Method::POST, uri, HeaderMap::new(), body);
    let answer =
        connection.call(request, CALL_TIMEOUT, ANSWER_BYTES).await.map_err(|_| "no answer")?;
    if !answer.status().is_success() {
        return Err("freeing is refused");
    }
    Ok(stale.parts.len())
}

/// Returns what a store holds of weights that are older than those named.
pub fn stale_parts(mut listing: Listing, settled: &[(Model, u32)]) -> Listing {
    let is_stale = |it: &Part| {
        let older = |(model, version): &(Model, u32)| {
            salt::weight_version(&it.salt, model)
                .is_some_and(|weight_version| weight_version < *version)
        };
        settled.iter().any(older)
    };
    listing.parts.retain(is_stale);
    listing
}
