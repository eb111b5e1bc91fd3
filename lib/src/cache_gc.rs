//! Garbage collection of KV cache: frees cached parts of weight versions that no engine has any
//! more.
//!
//! A part must not be freed while an engine fetches it. Engines fetch only what hosts tell them
//! to, and a host lets an engine fetch parts of older weights only while fresh rows show that some
//! engine still has them (see [`target_weights`](crate::target_weights)). So parts of older weights
//! can be freed once all rows have shown newer weights for as long as a host may take to read the
//! rows, plus the longest time that a fetch may take.

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

/// Added to the time that hosts and fetches may take, to allow for the time between a check and the
/// action that follows it.
const SAFETY_MARGIN: Duration = Duration::from_millis(500);
/// How often a host checks whether there are parts to free.
const ROUND_PAUSE: Duration = Duration::from_millis(400);
/// Pause between two stores: a store is held up while it lists its parts.
const STORE_PAUSE: Duration = Duration::from_millis(50);
/// Pause after a round in which a store failed.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Timeout of a call to a store.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// A prompt part in a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedPart {
    /// The salt under which it is found.
    pub salt: FastStr,
    /// The part's id.
    pub id: FastStr,
}

/// All parts in a store, including those that are not complete yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Identifies the store's process start.
    pub boot: u64,
    /// The parts.
    pub parts: Vec<ListedPart>,
}

/// Tracks the oldest weight version of each model that an engine has, and decides when parts of
/// older versions may be freed. No I/O.
#[derive(Debug)]
pub struct Tracker {
    /// How long all rows must have shown newer weights before parts are freed.
    settle_time: Duration,
    /// For each model, the oldest weight version that an engine has, and since when.
    oldest: HashMap<Model, (u32, Instant)>,
}

impl Tracker {
    /// Creates a tracker. `max_row_age` is the greatest age of the rows by which a host lets
    /// engines fetch parts of older weights.
    pub fn new(max_row_age: Duration) -> Self {
        Tracker { settle_time: max_row_age + FETCH_TIMEOUT + SAFETY_MARGIN, oldest: HashMap::new() }
    }

    /// Records the oldest weight version of each model that an engine has, by rows as of
    /// `rows_as_of`. Returns the versions up to which, exclusively, parts may be freed.
    pub fn observe(&mut self, rows_as_of: Instant, oldest: &[(Model, u32)]) -> Vec<(Model, u32)> {
        for (model, version) in oldest {
            let known = self.oldest.entry(model.clone()).or_insert((*version, rows_as_of));
            if known.0 != *version {
                *known = (*version, rows_as_of);
            }
        }
        let settled = self.oldest.iter().filter(|it| rows_as_of.since(it.1.1) >= self.settle_time);
        settled.map(|(model, (version, _))| (model.clone(), *version)).collect()
    }
}

/// Frees parts of older weight versions whenever there are any, until the process ends. Only the
/// host that ranks first does so; two hosts doing so at once is harmless.
pub async fn run<C>(gateway: Arc<Gateway<C>>)
where
    C: Codec,
{
    let mut tracker = Tracker::new(gateway.host_settings.bounds.drain);
    let mut freed: HashMap<Model, u32> = HashMap::new();
    loop {
        sleep(ROUND_PAUSE).await;
        let (rows_as_of, oldest) = {
            let fleet = gateway.fleet();
            (fleet.target_weights.rows_as_of(), fleet.oldest_weight_versions())
        };
        let Some(rows_as_of) = rows_as_of else { continue };
        let settled = tracker.observe(rows_as_of, &oldest);
        let is_due = |it: &(Model, u32)| freed.get(&it.0).is_none_or(|version| *version < it.1);
        // Target versions start at 1, so there are no parts of versions older than 1.
        let settled: Vec<_> = settled.into_iter().filter(|it| it.1 > 1 && is_due(it)).collect();
        // The task's name is part of the ranking, which all hosts must compute alike.
        if settled.is_empty() || !gateway.fleet().ranks_first("retire") {
            continue;
        }
        if free_in_all_stores(&gateway, &settled).await {
            freed.extend(settled);
        } else {
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Frees the parts of weight versions older than those in `settled` in all stores. Returns false if
/// one of the stores failed.
async fn free_in_all_stores<C>(gateway: &Gateway<C>, settled: &[(Model, u32)]) -> bool
where
    C: Codec,
{
    let stores = gateway.configuration().map(|it| it.stores.clone()).unwrap_or_default();
    let mut succeeded = true;
    for store in stores {
        match free_in_store(gateway, store.address, settled).await {
            Ok(parts) => log::info!(store = store.address.to_string().as_str(), parts = parts;
                "freed cached parts of older weight versions"),
            Err(reason) => {
                succeeded = false;
                log::warn!(store = store.address.to_string().as_str(), reason = reason;
                    "cannot free cached parts of older weight versions yet");
            }
        }
        sleep(STORE_PAUSE).await;
    }
    succeeded
}

/// Frees the parts of weight versions older than those in `settled` in a store. Returns their
/// number.
///
/// # Errors
///
/// Returns the reason, for the log.
async fn free_in_store<C>(
    gateway: &Gateway<C>,
    address: SocketAddr,
    settled: &[(Model, u32)],
) -> Result<usize, &'static str>
where
    C: Codec,
{
    let mut connection = Connection::connect(address).await.map_err(|_| "unreachable")?;
    let uri = Uri::from_static(C::CACHE_LIST_PATH);
    let request =
        connection::build_request(address, Method::GET, uri, HeaderMap::new(), Bytes::new());
    let response = connection
        .call(request, CALL_TIMEOUT, MAX_RESPONSE_BYTES)
        .await
        .map_err(|_| "no answer")?;
    if !response.status().is_success() {
        return Err("listing is refused");
    }
    let listing = gateway.codec.parse_cache_list(response.body()).map_err(|err| {
        log::warn!(store = address.to_string().as_str(), error = err.to_string().as_str();
            "cache store listing cannot be parsed");
        "unreadable"
    })?;
    let stale = stale_parts(listing, settled);
    if stale.parts.is_empty() {
        return Ok(0);
    }
    let body = gateway.codec.cache_free_body(&stale);
    let uri = Uri::from_static(C::CACHE_FREE_PATH);
    let request = connection::build_request(address, Method::POST, uri, HeaderMap::new(), body);
    let response = connection
        .call(request, CALL_TIMEOUT, MAX_RESPONSE_BYTES)
        .await
        .map_err(|_| "no answer")?;
    if !response.status().is_success() {
        return Err("freeing is refused");
    }
    Ok(stale.parts.len())
}

/// Reduces a store's listing to the parts of weight versions older than those in `settled`.
pub fn stale_parts(mut listing: Listing, settled: &[(Model, u32)]) -> Listing {
    let is_stale = |it: &ListedPart| {
        let older = |(model, version): &(Model, u32)| {
            salt::weight_version(&it.salt, model)
                .is_some_and(|weight_version| weight_version < *version)
        };
        settled.iter().any(older)
    };
    listing.parts.retain(is_stale);
    listing
}
