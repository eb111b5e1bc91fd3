//! Small systems for tests.

use std::time::Duration;

use mothvale_standin::dev::{Cluster, Options};

use crate::{caller::Caller, init};

/// Longest wait for something that has to happen at some time.
const PATIENCE: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(5);

/// Starts a system with fast engines; `change` may change its options.
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

/// Returns a caller to the host at an index.
pub fn caller(cluster: &Cluster, index: usize) -> Caller {
    Caller::new(cluster.hosts[index].public_address())
}

/// Waits until something holds.
///
/// # Panics
///
/// Panics when it does not come to hold.
pub async fn eventually<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let end = tokio::time::Instant::now() + PATIENCE;
    while !holds() {
        assert!(tokio::time::Instant::now() < end, "{what}: never came to hold");
        tokio::time::sleep(POLL).await;
    }
}
