//! Starts small clusters for tests, and waits for conditions.

use std::time::Duration;

use mothvale_standin::dev::{Cluster, Options};

use crate::{caller::Caller, init};

/// Longest wait of [`eventually`].
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Starts a cluster of one host with fast engines, after `change` has adjusted these options.
///
/// # Panics
///
/// Panics when the cluster cannot start.
pub async fn start<F>(change: F) -> Cluster
where
    F: FnOnce(&mut Options),
{
    init();
    let mut options = Options { hosts: 1, ..Options::default() };
    options.engine.token_time = Duration::from_millis(1);
    change(&mut options);
    Cluster::start(&options).await.unwrap()
}

/// Returns a caller of the host at an index.
pub fn caller(cluster: &Cluster, index: usize) -> Caller {
    Caller::new(cluster.hosts[index].public_address())
}

/// Waits until `condition` returns true; `what` describes the condition in the panic message.
///
/// # Panics
///
/// Panics when the condition is not met within the timeout.
pub async fn eventually<F>(what: &str, mut condition: F)
where
    F: FnMut() -> bool,
{
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(tokio::time::Instant::now() < deadline, "timed out waiting until {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
