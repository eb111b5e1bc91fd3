//! Keeps the index of cached prompt parts up to date: one loop for each KV cache store polls it for
//! changes.

use std::{collections::HashMap, net::SocketAddr};

use http::Method;
use tokio::{task::JoinHandle, time::sleep};

use crate::{
    codec::Codec,
    connection::{self, Connection},
    gateway::Gateway,
    prelude::*,
    table_sync::Replicas,
};

/// How long a store may wait for a change before it responds to a call for changes (long polling).
const LONG_POLL_WAIT: Duration = Duration::from_millis(400);
/// Pause between two calls to a store, so that each response holds several changes.
const POLL_PAUSE: Duration = Duration::from_millis(150);
/// Timeout of a call, in addition to the wait of the store.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// How often the list of stores in the configuration is checked.
const STORE_LIST_PERIOD: Duration = Duration::from_millis(500);
const MAX_RESPONSE_BYTES: usize = 2 << 20;

/// Watches the stores in the configuration until the process ends.
pub async fn run<C>(gateway: Arc<Gateway<C>>, replicas: Arc<Replicas>)
where
    C: Codec,
{
    let mut watches: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
    loop {
        if let Some(configuration) = gateway.configuration() {
            let addresses: Vec<_> = configuration.stores.iter().map(|it| it.address).collect();
            watches.retain(|address, task| {
                let listed = addresses.contains(address);
                if !listed {
                    task.abort();
                }
                listed
            });
            for address in addresses {
                watches.entry(address).or_insert_with(|| {
                    tokio::spawn(watch_store(gateway.clone(), replicas.clone(), address))
                });
            }
        }
        sleep(STORE_LIST_PERIOD).await;
    }
}

/// Polls a store for changes and applies them to the index. Pauses while this host is not one of those
/// that read the stores for the zone.
async fn watch_store<C>(gateway: Arc<Gateway<C>>, replicas: Arc<Replicas>, address: SocketAddr)
where
    C: Codec,
{
    let mut connection = None;
    let mut disconnected = true;
    loop {
        if !replicas.reads_stores() {
            connection = None;
            sleep(POLL_PAUSE).await;
            continue;
        }
        let requested_at = gateway.now();
        let cursor = gateway.cache_index().cursor(address);
        match fetch_changes(&gateway, &mut connection, address, cursor).await {
            Ok(changes) => {
                if std::mem::take(&mut disconnected) {
                    log::info!(store = address.to_string().as_str(), boot = changes.boot,
                        gap = changes.gap; "receiving changes from cache store");
                }
                let received_at = gateway.now();
                gateway.cache_index().apply_changes(requested_at, received_at, address, &changes);
                sleep(POLL_PAUSE).await;
            }
            Err(reason) => {
                connection = None;
                gateway.cache_index().invalidate(address);
                if !std::mem::replace(&mut disconnected, true) {
                    log::warn!(store = address.to_string().as_str(), reason = reason;
                        "cannot read changes from cache store");
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Fetches the changes of a store since a cursor. Reuses the kept connection if it is open, and
/// keeps it again after a response.
///
/// # Errors
///
/// Returns the reason, for the log.
async fn fetch_changes<C>(
    gateway: &Gateway<C>,
    kept: &mut Option<Connection>,
    address: SocketAddr,
    cursor: u64,
) -> Result<crate::cache_index::Changes, &'static str>
where
    C: Codec,
{
    let mut connection = match kept.take().filter(|it| !it.is_closed()) {
        Some(connection) => connection,
        None => Connection::connect(address).await.map_err(|_| "unreachable")?,
    };
    let (path, headers) = gateway.codec.cache_changes_request(cursor, LONG_POLL_WAIT);
    let uri = path.parse().map_err(|_| "path")?;
    let request = connection::build_request(address, Method::GET, uri, headers, Bytes::new());
    let response =
        connection.call(request, LONG_POLL_WAIT + RESPONSE_TIMEOUT, MAX_RESPONSE_BYTES).await;
    let response = response.map_err(|_| "no answer")?;
    *kept = Some(connection);
    if !response.status().is_success() {
        return Err("refused");
    }
    gateway.codec.parse_cache_changes(response.body()).map_err(|err| {
        log::warn!(store = address.to_string().as_str(), error = err.to_string().as_str();
            "cache store response cannot be parsed");
        "unreadable"
    })
}
