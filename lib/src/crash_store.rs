//! Keeps what crashes upstreams in a row of the row store, so that it outlives all hosts. Hosts read the row when they start,
//! and never again: later they know better than the store, which may be away or come back from a copy.

use pilota::pb::Message;
use tokio::time::sleep;

use crate::{
    codec::Codec,
    crash_gossip::{decode_cause, encode_cause},
    gateway::Gateway,
    generated::peer::StoredCauses,
    peer::encode,
    poison::{CauseReport, Keys},
    prelude::*,
    rendezvous,
    row_store::{RowStore, RowStoreError, Table, Write, WriteOutcome},
    table_sync::Replicas,
};

/// The row's key.
const ROW_KEY: &str = "causes";
/// How often the causes are compared with the row.
const PERIOD: Duration = Duration::from_millis(200);
/// Longest pause after failed calls.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Time over which the leaders of the zones spread their writes. Most find the row written by then.
const WRITE_SPREAD: Duration = Duration::from_millis(400);

/// What distinguishes one state of the causes from another: their keys and the number of their trials.
pub type State = Vec<(Keys, u32)>;

/// Returns the state of causes, in an order that does not depend on theirs.
pub fn state(causes: &[CauseReport]) -> State {
    let mut state: State = causes.iter().map(|it| (it.parts.clone(), it.trials)).collect();
    state.sort();
    state
}

/// Returns the value of the row at the time `clock` of the store.
pub fn to_row(causes: &[CauseReport], clock: Duration) -> Bytes {
    let stored_at_ms = u64::try_from(clock.as_millis()).unwrap_or(u64::MAX);
    encode(&StoredCauses { causes: causes.iter().map(encode_cause).collect(), stored_at_ms })
}

/// Returns the causes in a row that is read at the time `clock` of the store, or `None` if it cannot be read.
pub fn parse_row(value: &Bytes, clock: Duration) -> Option<Vec<CauseReport>> {
    let stored = StoredCauses::decode(value.clone()).ok()?;
    let age = clock.saturating_sub(Duration::from_millis(stored.stored_at_ms));
    let causes = stored.causes.iter().map(decode_cause).map(|it| CauseReport {
        last_crash_age: it.last_crash_age.saturating_add(age),
        next_trial_in: it.next_trial_in.saturating_sub(age),
        ..it
    });
    Some(causes.collect())
}

/// Keeps the row up to date until the process ends.
pub(crate) async fn run<C, L>(gateway: &Gateway<C>, row_store: &L, replicas: &Replicas)
where
    C: Codec,
    L: RowStore,
{
    let mut worker = Worker { gateway, row_store, replicas, stored: None, differs_since: None };
    let mut failures = 0_u32;
    loop {
        match worker.step().await {
            Ok(()) => failures = 0,
            Err(err) => {
                if failures == 0 {
                    log::warn!(error = err.to_string().as_str();
                        "row of what crashes upstreams cannot be read or written");
                }
                failures = failures.saturating_add(1);
            }
        }
        sleep((PERIOD * 2_u32.pow(failures.min(4))).min(MAX_RETRY_PAUSE)).await;
    }
}

/// The row as it was last read or written.
struct Stored {
    state: State,
    /// 0 if there is none.
    version: u64,
    era: u64,
    /// A time, and the store's clock at that time.
    clock: (Instant, Duration),
}

struct Worker<'a, C, L> {
    gateway: &'a Gateway<C>,
    row_store: &'a L,
    replicas: &'a Replicas,
    stored: Option<Stored>,
    /// Since when the causes have differed from the row.
    differs_since: Option<Instant>,
}

impl<C, L> Worker<'_, C, L>
where
    C: Codec,
    L: RowStore,
{
    async fn step(&mut self) -> Result<(), RowStoreError> {
        let gateway = self.gateway;
        let Some(stored) = &self.stored else { return self.read().await };
        let now = gateway.now();
        if self.replicas.is_delegated(now) {
            self.differs_since = None;
            return Ok(());
        }
        if stored.era < self.replicas.newest_era() {
            return self.read().await;
        }
        if state(&gateway.crash_causes()) == stored.state {
            self.differs_since = None;
            return Ok(());
        }
        let since = *self.differs_since.get_or_insert(now);
        let host = gateway.host_settings.host.as_str();
        let delay = WRITE_SPREAD.mul_f64(rendezvous::fraction(&["crashes", host]));
        if now.since(since) < delay {
            return Ok(());
        }
        self.read().await?;
        self.write().await
    }

    /// Reads the row. Follows what it holds the first time.
    async fn read(&mut self) -> Result<(), RowStoreError> {
        let gateway = self.gateway;
        let requested_at = gateway.now();
        let page = self.row_store.read_table(Table::Crashes).await?;
        let row = page.rows.iter().find(|it| it.key == ROW_KEY);
        let value = row.and_then(|it| it.value.as_ref());
        let causes = match value.map(|it| parse_row(it, page.clock)) {
            Some(None) => {
                log::warn!("row of what crashes upstreams cannot be read");
                Vec::new()
            }
            causes => causes.flatten().unwrap_or_default(),
        };
        if self.stored.is_none() {
            log::info!(causes = causes.len(); "what crashes upstreams is read from the row store");
            causes.iter().for_each(|it| gateway.follow_cause("row store", it));
            gateway.record_crash_answer(requested_at);
        }
        self.stored = Some(Stored {
            state: state(&causes),
            version: row.map_or(0, |it| it.version),
            era: page.era,
            clock: (requested_at, page.clock),
        });
        Ok(())
    }

    /// Writes the row if it still differs from the causes.
    async fn write(&mut self) -> Result<(), RowStoreError> {
        let causes = self.gateway.crash_causes();
        let Some(stored) = &mut self.stored else { return Ok(()) };
        let state = state(&causes);
        if state == stored.state {
            return Ok(());
        }
        let clock = stored.clock.1 + self.gateway.now().since(stored.clock.0);
        let write = Write {
            table: Table::Crashes,
            key: ROW_KEY.into(),
            value: Some(to_row(&causes, clock)),
            expected_version: Some(stored.version),
        };
        let outcome = self.row_store.write(write).await?;
        let is_written = matches!(outcome, WriteOutcome::Committed { .. });
        log::info!(causes = causes.len(), written = is_written;
            "row of what crashes upstreams changed");
        match outcome {
            WriteOutcome::Committed { version, era, .. } => {
                (stored.state, stored.version, stored.era) = (state, version, era);
            }
            // Another host was faster. What it wrote is read before the next write.
            WriteOutcome::Conflict => {}
        }
        Ok(())
    }
}
