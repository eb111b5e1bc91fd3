//! Tries connections to upstreams that may be out of this host's reach.

use std::net::SocketAddr;

use tokio::time::sleep;

use crate::{codec::Codec, connection::Connection, gateway::Gateway, prelude::*};

/// Interval between checks whether a connection should be tried.
const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Tries connections when they are due, until the process ends.
pub async fn run<C>(gateway: Arc<Gateway<C>>)
where
    C: Codec,
{
    loop {
        sleep(CHECK_PERIOD).await;
        for (upstream, address) in gateway.due_probes() {
            tokio::spawn(probe(gateway.clone(), upstream, address));
        }
        if let Some(link) = gateway.detour_link() {
            link.purge(gateway.now());
        }
    }
}

/// Tries a connection, which serves a request later if it succeeds.
async fn probe<C>(gateway: Arc<Gateway<C>>, upstream: Upstream, address: SocketAddr)
where
    C: Codec,
{
    match Connection::connect_upstream(address).await {
        Ok(connection) => {
            gateway.record_connection(&upstream, true);
            gateway.pool().put_back(&upstream, address, connection);
        }
        Err(_) => gateway.record_connection(&upstream, false),
    }
}
