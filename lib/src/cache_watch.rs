//! Loops that follow what the stores of KV cache hold.

use std::{collections::HashMap, net::SocketAddr};

use http::Method;
use tokio::{task::JoinHandle, time::sleep};

use crate::{
    codec::Codec,
    connection::{self, Connection},
    follow::Replicas,
    gateway::Gateway,
    prelude::*,
};

/// Longest wait of a call for changes.
const WAIT: Duration = Duration::from_millis(400);
/// Pause between calls: changes are taken together.
const PACE: Duration = Duration::from_millis(150);
/// Longest time for an answer beyond the wait of the call.
const TIMEOUT: Duration = Duration::from_millis(600);
/// Pause after a failed call.
const RETRY: Duration = Duration::from_millis(500);
/// How often the list of stores is looked at.
const LISTED: Duration = Duration::from_millis(500);
const ANSWER_BYTES: usize = 2 << 20;

/// Follows the stores that the configuration names.
pub async fn run<D>(gateway: Arc<Gateway<D>>, replicas: Arc<Replicas>)
where
    D: Codec,
{
    let mut followed: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
    loop {
        if let Some(deployment) = gateway.deployment() {
            let addresses: Vec<_> = deployment.stores.iter().map(|it| it.address).collect();
            followed.retain(|address, task| {
                let kept = addresses.contains(address);
                if !kept {
                    task.abort();
                }
                kept
            });
            for address in addresses {
                followed.entry(address).or_insert_with(|| {
                    tokio::spawn(follow(gateway.clone(), replicas.clone(), address))
                });
            }
        }
        sleep(LISTED).await;
    }
}

async fn follow<D>(gateway: Arc<Gateway<D>>, replicas: Arc<Replicas>, address: SocketAddr)
where
    D: Codec,
{
    let mut connection = None;
    let mut lost = true;
    loop {
        if replicas.is_delegated(gateway.now()) {
            connection = None;
            sleep(PACE).await;
            continue;
        }
        let asked = gateway.now();
        let since = gateway.cache_index().cursor(address);
        match ask(&gateway, &mut connection, address, since).await {
            Ok(changes) => {
                if std::mem::take(&mut lost) {
                    log::info!(store = address.to_string().as_str(), boot = changes.boot,
                        gap = changes.gap; "cache store is followed");
                }
                gateway.cache_index().apply_changes(asked, address, &changes);
                sleep(PACE).await;
            }
            Err(reason) => {
                connection = None;
                gateway.cache_index().invalidate(address);
                if !std::mem::replace(&mut lost, true) {
                    log::warn!(store = address.to_string().as_str(), reason = reason;
                        "cache store does not answer");
                }
                sleep(RETRY).await;
            }
        }
    }
}

async fn ask<D>(
    gateway: &Gateway<D>,
    held: &mut Option<Connection>,
    address: SocketAddr,
    since: u64,
) -> Result<crate::cache_index::Changes, &'static str>
where
    D: Codec,
{
    let mut connection = match held.take().filter(|it| !it.is_closed()) {
        Some(connection) => connection,
        None => Connection::connect(address).await.map_err(|_| "unreachable")?,
    };
    let (path, headers) = gateway.codec.cache_changes_request(since, WAIT);
    let uri = path.parse().map_err(|_| "path")?;
    let request = connection::build_request(address, Method::GET, uri, headers, Bytes::new());
    let answer = connection.call(request, WAIT + TIMEOUT, ANSWER_BYTES).await;
    let answer = answer.map_err(|_| "no answer")?;
    *held = Some(connection);
    if !answer.status().is_success() {
        return Err("refused");
    }
    gateway.codec.parse_cache_changes(answer.body()).map_err(|err| {
        log::warn!(store = address.to_string().as_str(), error = err.to_string().as_str();
            "cache store's answer cannot be read");
        "unreadable"
    })
}
