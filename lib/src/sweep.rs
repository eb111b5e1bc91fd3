//! Removal of claims whose retention has ended.

use crate::{
    clock::unix_millis,
    fault::Fault,
    generated::wire::{Claim, Row, Transaction, Write},
    prelude::*,
    rendezvous,
    shared::Shared,
    table::Table,
};

/// Parts into which the claims' keys are split; their first two digits are the part.
pub const BUCKETS: u32 = 256;
/// Time between two buckets, so that a host has seen to all of its buckets in an hour.
const PERIOD: Duration = Duration::from_secs(14);
/// Rows that one transaction removes.
const BATCH: usize = 64;

/// Removes old claims until the host stops. Every host goes through all buckets and sees
/// to those for which it ranks first, so that no two hosts do the same work.
pub async fn run<E, B, T>(shared: Arc<Shared<E, B, T>>)
where
    T: Table,
{
    let me = shared.settings.host.clone();
    let others: Vec<_> =
        shared.settings.peers.iter().flat_map(|it| &it.hosts).map(|it| it.name.clone()).collect();
    for bucket in (0..BUCKETS).cycle() {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            () = tokio::time::sleep(PERIOD) => {}
        }
        if !owns_bucket(bucket, &me, &others) {
            continue;
        }
        if let Err(fault) = sweep(&shared, bucket).await {
            log::warn!(bucket = bucket, fault = fault.to_string().as_str(); "claims stay for now");
        }
    }
}

/// Returns whether a host ranks first for a bucket.
pub fn owns_bucket(bucket: u32, me: &Host, others: &[Host]) -> bool {
    let key = rendezvous::hash_parts(&["claims", &bucket.to_string()]);
    let mine = rendezvous::weight(key, me.as_str());
    others.iter().all(|it| rendezvous::weight(key, it.as_str()) < mine)
}

/// Removes the old claims of one bucket and returns how many there were.
///
/// # Errors
///
/// Returns how a call to the table service failed. What was removed by then stays removed.
pub async fn sweep<E, B, T>(shared: &Shared<E, B, T>, bucket: u32) -> Result<usize, Fault>
where
    T: Table,
{
    let retention = shared.settings.table.claim_retention;
    let rows = shared.table.scan(&format!("claims/{bucket:02x}/")).await?;
    let now = unix_millis();
    let old: Vec<_> = rows.into_iter().filter(|it| is_old(it, retention, now)).collect();
    let mut removed = 0;
    for batch in old.chunks(BATCH) {
        let remove = |it: &Row| Write { key: it.key.clone(), version: it.version, value: None };
        let writes = batch.iter().map(remove).collect();
        // A row that changed meanwhile keeps its whole batch until the next round.
        if shared.table.commit(&Transaction { writes }).await?.committed {
            removed += batch.len();
        }
    }
    Ok(removed)
}

/// Returns whether a claim's retention has ended. Rows that cannot be read are kept, so
/// that an operator can look at them.
fn is_old(row: &Row, retention: Duration, now_ms: u64) -> bool {
    let Ok(claim) = serde_json::from_str::<Claim>(&row.value) else { return false };
    claim.until_ms + retention.as_millis() as u64 <= now_ms
}
