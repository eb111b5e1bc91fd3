//! Control loops of a gateway: follow the store's tables, tidy up.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::{sync::Notify, time::sleep};

use crate::{
    codec::Codec,
    gateway::Gateway,
    prelude::*,
    replica::{Replica, Row},
    row_store::{RowStore, RowStoreError, Table},
};

/// Longest wait of one call for changes of a table that changes rarely.
const LONG_POLL: Duration = Duration::from_secs(20);
/// Part of the drain bound after which the upstreams' rows are read again. What is left
/// is for slow answers and one failed read.
const UPSTREAMS_PART: f64 = 0.4;
/// Pause after a failed read; doubles.
const RETRY: Duration = Duration::from_millis(150);
const RETRY_MAX: Duration = Duration::from_secs(1);
/// How often a host looks whether another one still reads for it.
const DELEGATED_POLL: Duration = Duration::from_millis(100);
/// How often old connections and beliefs are dropped.
const TIDY: Duration = Duration::from_millis(900);

/// What is known of the store's tables, shared with what talks to other hosts.
#[derive(Debug, Default)]
pub struct Replicas {
    tables: [Mutex<Replica>; 3],
    newer_peer: Mutex<Option<Host>>,
    /// Until when another host reads for this one.
    delegated_until: Mutex<Instant>,
    /// Told when a table of the store cannot be read, or another host knows more.
    pub sync_needed: Notify,
}

/// The tables that are followed.
pub const FOLLOWED_TABLES: [Table; 3] = [Table::Operators, Table::Upstreams, Table::Hosts];

impl Replicas {
    /// Takes that another host reads for this one until a time.
    pub fn delegate_reads(&self, until: Instant) {
        *self.delegated_until() = until;
    }

    /// Tells whether another host reads for this one.
    pub fn is_delegated(&self, now: Instant) -> bool {
        *self.delegated_until() > now
    }

    fn delegated_until(&self) -> MutexGuard<'_, Instant> {
        self.delegated_until.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes that another host knows newer rows than this one.
    pub fn set_newer_peer(&self, host: &Host) {
        *self.newer_peer.lock().unwrap_or_else(PoisonError::into_inner) = Some(host.clone());
        self.sync_needed.notify_one();
    }

    /// Returns the host that was last seen to know more than this one.
    pub fn take_newer_peer(&self) -> Option<Host> {
        self.newer_peer.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Returns what is known of a table.
    ///
    /// # Panics
    ///
    /// Panics for a table that is not one of [`FOLLOWED_TABLES`].
    pub fn table(&self, table: Table) -> MutexGuard<'_, Replica> {
        let at =
            FOLLOWED_TABLES.iter().position(|it| *it == table).expect("a table that is followed");
        self.tables[at].lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Drives a gateway from the store.
#[derive(Debug)]
pub struct Follower<D, L> {
    /// The gateway.
    pub gateway: Arc<Gateway<D>>,
    /// The store.
    pub row_store: L,
    /// What is known of the store's tables.
    pub replicas: Arc<Replicas>,
}

impl<D, L> Clone for Follower<D, L>
where
    L: Clone,
{
    fn clone(&self) -> Self {
        Follower {
            gateway: self.gateway.clone(),
            row_store: self.row_store.clone(),
            replicas: self.replicas.clone(),
        }
    }
}

impl<D, L> Follower<D, L>
where
    D: Codec,
    L: RowStore,
{
    /// Follows all tables until the process ends.
    pub async fn run(self) {
        let upstreams = self.gateway.host_config.bounds.drain.mul_f64(UPSTREAMS_PART);
        tokio::join!(
            self.follow(Table::Operators, LONG_POLL, Duration::ZERO),
            self.follow(Table::Hosts, LONG_POLL, Duration::ZERO),
            self.follow(Table::Upstreams, Duration::ZERO, upstreams),
            self.tidy(),
        );
    }

    /// Follows one table: by calls that wait for a change, or by calls at a pace.
    async fn follow(&self, table: Table, wait: Duration, pace: Duration) {
        let mut whole = true;
        let mut failures = 0_u32;
        loop {
            if table == Table::Upstreams && self.replicas.is_delegated(self.gateway.now()) {
                sleep(DELEGATED_POLL).await;
                continue;
            }
            let asked = self.gateway.now();
            let known = self.replicas.table(table).version();
            let read = match whole {
                true => self.row_store.read_table(table).await,
                false => self.row_store.changes(table, known, wait).await,
            };
            match read {
                Ok(page) => {
                    let (asked_whole, stale) = (whole, page.version < known);
                    if failures > 0 {
                        log::info!(table = table.name(), version = page.version,
                            failures = failures; "store is read again");
                    }
                    failures = 0;
                    // An answer that is older than what is known is asked for again.
                    whole = asked_whole && stale;
                    self.take(table, page.rows, page.version, asked_whole);
                    if table == Table::Upstreams {
                        self.gateway.fleet().mark_synced_at(asked);
                    }
                    sleep(if whole { RETRY } else { pace }).await;
                }
                Err(RowStoreError::Compacted) => {
                    log::info!(table = table.name(), version = known; "changes are no longer kept");
                    whole = true;
                }
                Err(err) => {
                    if failures == 0 {
                        log::warn!(table = table.name(), version = known,
                            error = err.to_string().as_str(); "store cannot be read");
                    }
                    self.replicas.sync_needed.notify_one();
                    sleep((RETRY * 2_u32.pow(failures.min(4))).min(RETRY_MAX)).await;
                    failures += 1;
                }
            }
        }
    }

    /// Takes rows that the store, or another host, has told.
    fn take(&self, table: Table, rows: Vec<Row>, version: u64, whole: bool) {
        let (news, initial) = {
            let mut replica = self.replicas.table(table);
            let initial = replica.version() == 0;
            let news = match whole {
                true => replica.apply_snapshot(rows, version),
                false => replica.apply_changes(rows, version),
            };
            (news, initial)
        };
        self.handle_changes(table, &news, initial);
    }

    /// Acts on rows that are new. `initial` are those that this host finds when it starts.
    pub fn handle_changes(&self, table: Table, news: &[Row], initial: bool) {
        match table {
            Table::Operators => self.gateway.apply_operator_rows(news, initial),
            Table::Upstreams => self.gateway.apply_upstream_rows(news),
            Table::Hosts if !news.is_empty() => {
                let replica = self.replicas.table(Table::Hosts);
                let hosts: Vec<_> = replica.rows().map(|it| Host::new(it.key.clone())).collect();
                drop(replica);
                log::info!(hosts = hosts.len(); "hosts changed");
                self.gateway.cache_index().set_host_count(hosts.len());
                self.gateway.fleet().set_hosts(hosts);
            }
            Table::Hosts | Table::Leases => {}
        }
    }

    async fn tidy(&self) {
        loop {
            sleep(TIDY).await;
            self.gateway.purge();
        }
    }
}
