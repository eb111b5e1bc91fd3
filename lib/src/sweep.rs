//! Background removal of claims on idempotency keys whose retention has ended, from the table
//! service of `mothvale serve`.

use crate::{
    clock::unix_millis,
    fault::Fault,
    generated::wire::{Claim, Row, Transaction, Write},
    prelude::*,
    rendezvous,
    shared::Shared,
    table::Table,
};

/// Number of buckets that claims are split into; the first two hexadecimal digits of a claim's hash
/// are its bucket.
pub const BUCKETS: u32 = 256;
/// Pause before each bucket; a pass over all buckets takes about an hour.
const BUCKET_PERIOD: Duration = Duration::from_secs(14);
/// Maximum number of rows that one transaction removes.
const MAX_BATCH_ROWS: usize = 64;

/// Removes expired claims until the host stops. Every host goes through all buckets and sweeps
/// those for which it ranks first in rendezvous order, so that no two hosts sweep the same one.
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
            () = tokio::time::sleep(BUCKET_PERIOD) => {}
        }
        if !owns_bucket(bucket, &me, &others) {
            continue;
        }
        if let Err(fault) = sweep(&shared, bucket).await {
            log::warn!(bucket = bucket, fault = fault.to_string().as_str();
                "expired claims cannot be removed, retrying in the next pass");
        }
    }
}

/// Returns whether host `me` ranks before all `others` for a bucket.
pub fn owns_bucket(bucket: u32, me: &Host, others: &[Host]) -> bool {
    let key = rendezvous::hash_parts(&["claims", &bucket.to_string()]);
    let own_weight = rendezvous::weight(key, me.as_str());
    others.iter().all(|it| rendezvous::weight(key, it.as_str()) < own_weight)
}

/// Removes the expired claims of one bucket and returns how many were removed.
///
/// # Errors
///
/// Returns how a call to the table service failed. Claims removed before that stay removed.
pub async fn sweep<E, B, T>(shared: &Shared<E, B, T>, bucket: u32) -> Result<usize, Fault>
where
    T: Table,
{
    let retention = shared.settings.table.claim_retention;
    let rows = shared.table.scan(&format!("claims/{bucket:02x}/")).await?;
    let now = unix_millis();
    let expired: Vec<_> = rows.into_iter().filter(|it| is_expired(it, retention, now)).collect();
    let mut removed = 0;
    for batch in expired.chunks(MAX_BATCH_ROWS) {
        let removal = |it: &Row| Write { key: it.key.clone(), version: it.version, value: None };
        let writes = batch.iter().map(removal).collect();
        // If a row has changed since the scan, its whole batch stays until the next pass.
        if shared.table.commit(&Transaction { writes }).await?.committed {
            removed += batch.len();
        }
    }
    Ok(removed)
}

/// Returns whether a claim's retention has ended. Rows that cannot be parsed are kept, so
/// that an operator can inspect them.
fn is_expired(row: &Row, retention: Duration, now_ms: u64) -> bool {
    let Ok(claim) = serde_json::from_str::<Claim>(&row.value) else { return false };
    claim.until_ms + retention.as_millis() as u64 <= now_ms
}
