//! Control loops of a gateway that keep replicas of the row store's tables up to date and drop
//! expired state.

use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use tokio::{
    sync::{Notify, watch},
    time::sleep,
};

use crate::{
    codec::Codec,
    crash_store,
    gateway::Gateway,
    ledger_sync,
    prelude::*,
    rendezvous,
    replica::{Replica, Revision, Row},
    row_store::{Page, RESPONSE_TIMEOUT, RowStore, RowStoreError, Table},
};

/// Longest wait of one long-poll call, for tables that change rarely.
const LONG_POLL_WAIT: Duration = Duration::from_secs(20);
/// Time, of the staleness bound, that is left for another call after one that got no response.
const REPEATED_CALL_TIME: Duration = Duration::from_millis(200);
/// Shortest wait of a call for changes of the operators' table.
const MIN_LONG_POLL_WAIT: Duration = Duration::from_millis(200);
/// Interval between reads of the upstreams table, as a fraction of the drain bound. The rest
/// of the bound leaves time for slow responses and one failed read.
const UPSTREAMS_POLL_FRACTION: f64 = 0.4;
/// Pause between two long polls of the hosts table, so that one response holds the rows of many hosts
/// that start together.
const HOSTS_POLL_PAUSE: Duration = Duration::from_millis(500);
/// Pause after the first failed read; doubles with each further failure.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Longest pause after a failed read.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time over which hosts spread whole reads after the store has come back from a copy, or has dropped
/// its history: it tells all of them at the same moment.
const WHOLE_READ_SPREAD: Duration = Duration::from_millis(300);
/// How often a host checks whether the leader of its zone still reads tables for it.
const DELEGATED_POLL: Duration = Duration::from_millis(100);
/// How often expired connections and other expired state are dropped, and how late the store's word
/// counts alone again after it has come back from a copy.
const PURGE_PERIOD: Duration = Duration::from_millis(900);

/// Replicas of the row store's tables, shared with the mesh.
#[derive(Debug, Default)]
pub struct Replicas {
    tables: [Mutex<Replica>; 3],
    /// The newest era of the store that this host has seen; `None` before the first one.
    era: watch::Sender<Option<u64>>,
    /// Host that has announced newer rows, until it is asked for them.
    newer_peer: Mutex<Option<Host>>,
    /// Time until which another host, the leader of the zone, reads the tables of hosts and upstreams
    /// and the cache stores for this one.
    delegated_until: Mutex<Instant>,
    /// Whether this host reads the cache stores itself.
    reads_stores: AtomicBool,
    /// Notified when a table cannot be read from the row store, or another host has newer rows.
    pub sync_needed: Notify,
}

/// Tables that every host keeps a replica of. Hosts name a table to each other by its index here.
pub const SYNCED_TABLES: [Table; 3] = [Table::Operators, Table::Upstreams, Table::Hosts];

impl Replicas {
    /// Records that another host reads the upstreams table and the cache stores for this one until
    /// `until`.
    pub fn delegate_reads(&self, until: Instant) {
        *self.delegated_until() = until;
    }

    /// Returns whether another host reads the upstreams table and the cache stores for this one.
    pub fn is_delegated(&self, now: Instant) -> bool {
        *self.delegated_until() > now
    }

    /// Sets whether this host reads the cache stores itself.
    pub fn set_reads_stores(&self, reads_stores: bool) {
        self.reads_stores.store(reads_stores, Ordering::Release);
    }

    /// Returns whether this host reads the cache stores itself.
    pub fn reads_stores(&self) -> bool {
        self.reads_stores.load(Ordering::Acquire)
    }

    fn delegated_until(&self) -> MutexGuard<'_, Instant> {
        self.delegated_until.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an era of the store. Returns the former one if this one is newer.
    pub fn record_era(&self, era: u64) -> Option<u64> {
        let mut former = None;
        self.era.send_if_modified(|newest| {
            let is_newer = newest.is_none_or(|it| it < era);
            if is_newer {
                former = newest.replace(era);
            }
            is_newer
        });
        former
    }

    /// Returns the newest era of the store that this host has seen, 0 before the first one.
    pub fn newest_era(&self) -> u64 {
        self.era.borrow().unwrap_or_default()
    }

    /// Waits until the store is in a later era than `era`, and returns the newest one.
    pub async fn wait_for_later_era(&self, era: u64) -> u64 {
        let mut newest = self.era.subscribe();
        let later = newest.wait_for(|it| it.is_some_and(|it| it > era)).await;
        // The sender is part of `self`, so it cannot be gone.
        later.map_or(era, |it| it.unwrap_or(era))
    }

    /// Records that another host has newer rows than this one.
    pub fn set_newer_peer(&self, host: &Host) {
        *self.newer_peer.lock().unwrap_or_else(PoisonError::into_inner) = Some(host.clone());
        self.sync_needed.notify_one();
    }

    /// Returns the last host recorded as having newer rows, and clears the record.
    pub fn take_newer_peer(&self) -> Option<Host> {
        self.newer_peer.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Returns the replica of a table, locked.
    ///
    /// # Panics
    ///
    /// Panics for a table that is not one of [`SYNCED_TABLES`].
    pub fn table(&self, table: Table) -> MutexGuard<'_, Replica> {
        let index = SYNCED_TABLES.iter().position(|it| *it == table).expect("table has a replica");
        self.tables[index].lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps replicas of the row store's tables up to date and applies their changes to a gateway.
#[derive(Debug)]
pub struct TableSync<C, L> {
    /// The gateway.
    pub gateway: Arc<Gateway<C>>,
    /// Client of the row store.
    pub row_store: L,
    /// Replicas of the row store's tables.
    pub replicas: Arc<Replicas>,
}

impl<C, L> Clone for TableSync<C, L>
where
    L: Clone,
{
    fn clone(&self) -> Self {
        TableSync {
            gateway: self.gateway.clone(),
            row_store: self.row_store.clone(),
            replicas: self.replicas.clone(),
        }
    }
}

impl<C, L> TableSync<C, L>
where
    C: Codec,
    L: RowStore,
{
    /// Keeps all replicas up to date and drops expired state until the process ends.
    pub async fn run(self) {
        let upstreams_interval =
            self.gateway.host_settings.bounds.drain.mul_f64(UPSTREAMS_POLL_FRACTION);
        tokio::join!(
            self.sync_table(Table::Operators, Duration::ZERO),
            self.sync_table(Table::Hosts, HOSTS_POLL_PAUSE),
            self.sync_table(Table::Upstreams, upstreams_interval),
            self.purge_expired(),
            ledger_sync::run(&self.gateway, &self.row_store, &self.replicas),
            crash_store::run(&self.gateway, &self.row_store, &self.replicas),
        );
    }

    /// Returns how long a call for changes of a table waits for one.
    fn poll_wait(&self, table: Table) -> Duration {
        match table {
            Table::Upstreams => Duration::ZERO,
            // A connection may be silent without an error. A host that reads for others finds that out
            // within the staleness bound, and the others hear of changes from it.
            Table::Operators if !self.replicas.is_delegated(self.gateway.now()) => self.own_wait(),
            Table::Operators
            | Table::Hosts
            | Table::Leases
            | Table::Status
            | Table::Builds
            | Table::Streams
            | Table::Crashes => LONG_POLL_WAIT,
        }
    }

    /// Returns how long a call for changes waits at a host that no other one reads for, so that a call that got no
    /// response is repeated within the staleness bound.
    fn own_wait(&self) -> Duration {
        let bound = self.gateway.host_settings.bounds.max_staleness;
        let wait = bound.saturating_sub(RESPONSE_TIMEOUT + REPEATED_CALL_TIME);
        wait.clamp(MIN_LONG_POLL_WAIT, LONG_POLL_WAIT)
    }

    /// Waits until this host has to read a table for itself and a call of `requested_at` would have been answered, if it
    /// had known that.
    async fn wait_overdue(&self, requested_at: Instant) {
        loop {
            let delegated_until = *self.replicas.delegated_until();
            let due = delegated_until.max(requested_at + self.own_wait() + RESPONSE_TIMEOUT);
            let now = self.gateway.now();
            if due <= now {
                return;
            }
            sleep(due.since(now)).await;
        }
    }

    /// Keeps the replica of one table up to date, with a pause of `poll_interval` between calls.
    async fn sync_table(&self, table: Table, poll_interval: Duration) {
        let mut read_snapshot = true;
        let mut failures = 0_u32;
        loop {
            if self.is_pulled(table)
                && self.replicas.is_delegated(self.gateway.now())
                && !self.pause(table, DELEGATED_POLL).await
            {
                continue;
            }
            let requested_at = self.gateway.now();
            let known = self.replicas.table(table).revision();
            let wait = self.poll_wait(table);
            let newest_era = self.replicas.newest_era();
            // Rows of a former era are no base for changes of a later one.
            read_snapshot |= known.era < newest_era;
            let call = async {
                match read_snapshot {
                    true => self.row_store.read_table(table).await,
                    false => self.row_store.changes(table, known.version, wait).await,
                }
            };
            let result = tokio::select! {
                result = call => result,
                // The store may hold a call that waits for changes of the former era.
                _ = self.replicas.wait_for_later_era(newest_era), if !read_snapshot => {
                    sleep(self.whole_read_delay(table)).await;
                    continue;
                }
                () = self.wait_overdue(requested_at), if table == Table::Operators => continue,
            };
            match result {
                Ok(page) => {
                    self.record_era(page.era, "row store");
                    let revision = page.revision();
                    if revision.era < self.replicas.newest_era() {
                        log::warn!(table = table.name(), era = revision.era,
                            version = revision.version, known = self.replicas.newest_era();
                            "response of a former era of the row store is ignored");
                        sleep(RETRY_DELAY).await;
                        continue;
                    }
                    if failures > 0 {
                        log::info!(table = table.name(), version = page.version,
                            failures = failures; "store reads recovered");
                    }
                    failures = 0;
                    if !read_snapshot && revision.era != known.era {
                        read_snapshot = true;
                        sleep(self.whole_read_delay(table)).await;
                        continue;
                    }
                    let (is_snapshot, stale) = (read_snapshot, revision < known);
                    // A snapshot that is older than the replica is requested again.
                    read_snapshot = is_snapshot && stale;
                    if !stale {
                        self.record_sighting(requested_at, &page, !is_snapshot && !wait.is_zero());
                    }
                    self.apply(table, page.rows, known, revision, is_snapshot);
                    if table == Table::Upstreams {
                        self.gateway.set_rows_as_of(requested_at);
                    }
                    let pause = if read_snapshot { RETRY_DELAY } else { poll_interval };
                    self.pause(table, pause).await;
                }
                Err(RowStoreError::Compacted) => {
                    log::info!(table = table.name(), era = known.era, version = known.version;
                        "changes since the known version were compacted, reading the whole table");
                    read_snapshot = true;
                    sleep(self.whole_read_delay(table)).await;
                }
                Err(err) => {
                    if failures == 0 {
                        log::warn!(table = table.name(), era = known.era, version = known.version,
                            error = err.to_string().as_str(); "store cannot be read");
                    }
                    self.replicas.sync_needed.notify_one();
                    let delay = RETRY_DELAY * 2_u32.pow(failures.min(4));
                    // A call that got no response has taken its time.
                    let elapsed = self.gateway.now().since(requested_at);
                    self.pause(table, delay.min(MAX_RETRY_DELAY).saturating_sub(elapsed)).await;
                    failures += 1;
                }
            }
        }
    }

    /// Pauses between two reads of a table, until a request needs newer rows of the upstreams. Returns
    /// whether one does.
    async fn pause(&self, table: Table, pause: Duration) -> bool {
        tokio::select! {
            () = self.gateway.row_reads.wanted(), if table == Table::Upstreams => true,
            () = sleep(pause) => false,
        }
    }

    /// Records at which revision the store was seen, and when. `waited` marks the response to a call
    /// that waits for changes.
    fn record_sighting(&self, requested_at: Instant, page: &Page, waited: bool) {
        let mut history = self.gateway.store_history();
        history.record(requested_at, page.revision());
        history.observe_clock(requested_at, page.clock);
        let first_change = page.rows.iter().map(|it| it.version).min().filter(|_| waited);
        if let Some(version) = first_change {
            let first_change = Revision { era: page.era, version };
            history.record_held_call(requested_at, page.clock, first_change);
        }
    }

    /// Returns whether a table comes with pulls from the leader of the zone, if there is one.
    fn is_pulled(&self, table: Table) -> bool {
        match table {
            Table::Upstreams => true,
            // Without any row, this host does not know whom to pull from.
            Table::Hosts => !self.replicas.table(table).is_unknown(),
            Table::Operators
            | Table::Leases
            | Table::Status
            | Table::Builds
            | Table::Streams
            | Table::Crashes => false,
        }
    }

    /// Returns how long this host waits before it reads a whole table, so that not all hosts do so at
    /// the same moment.
    fn whole_read_delay(&self, table: Table) -> Duration {
        let host = self.gateway.host_settings.host.as_str();
        WHOLE_READ_SPREAD.mul_f64(rendezvous::fraction(&["whole read", table.name(), host]))
    }

    /// Records the era of the store that a response or another host, named by `source`, has told.
    pub fn record_era(&self, era: u64, source: &str) {
        let former = self.replicas.record_era(era);
        let newest = i64::try_from(self.replicas.newest_era()).unwrap_or(i64::MAX);
        self.gateway.metrics.store_era.set(newest);
        if let Some(former) = former {
            self.gateway.metrics.store_restores.inc();
            log::warn!(era = era, former = former, source = source;
                "row store came back from a copy, reading all tables again");
        }
    }

    /// Applies rows to the replica of a table and acts on those that are new: a snapshot as of
    /// `revision`, or the changes from the revision `known` up to it.
    pub fn apply(
        &self,
        table: Table,
        rows: Vec<Row>,
        known: Revision,
        revision: Revision,
        is_snapshot: bool,
    ) {
        let new_rows = {
            let mut replica = self.replicas.table(table);
            if is_snapshot && !replica.is_unknown() && revision.era > replica.revision().era {
                self.gateway.holdover().start(self.gateway.now());
            }
            match is_snapshot {
                true => replica.apply_snapshot(rows, revision),
                false => replica.apply_changes(rows, known, revision),
            }
        };
        self.handle_changes(table, &new_rows);
    }

    /// Applies new rows of a table to the gateway.
    pub fn handle_changes(&self, table: Table, new_rows: &[Row]) {
        match table {
            Table::Operators => self.gateway.apply_operator_rows(new_rows),
            Table::Upstreams => self.gateway.apply_upstream_rows(new_rows),
            // A host that is alone knows so once it has read the table.
            Table::Hosts if !new_rows.is_empty() || !self.gateway.fleet().knows_hosts() => {
                let replica = self.replicas.table(Table::Hosts);
                let hosts: Vec<_> = replica.rows().map(|it| Host::new(it.key.clone())).collect();
                drop(replica);
                log::info!(hosts = hosts.len(); "hosts changed");
                self.gateway.cache_index().set_host_count(hosts.len());
                self.gateway.fleet().set_hosts(self.gateway.now(), hosts);
            }
            Table::Hosts
            | Table::Leases
            | Table::Status
            | Table::Builds
            | Table::Streams
            | Table::Crashes => {}
        }
    }

    async fn purge_expired(&self) {
        loop {
            sleep(PURGE_PERIOD).await;
            self.gateway.purge();
            if !self.gateway.holdover().is_active(self.gateway.now()) {
                SYNCED_TABLES.into_iter().for_each(|it| self.release_retained(it));
                self.gateway.release_upstream_rows();
            }
        }
    }

    /// Drops the rows of a table that the store had lost and does not have again.
    fn release_retained(&self, table: Table) {
        let removed = self.replicas.table(table).release_retained();
        for row in &removed {
            log::info!(table = table.name(), row = row.key.as_str();
                "row is not in the store again and counts as removed");
        }
        if !removed.is_empty() {
            self.handle_changes(table, &removed);
        }
    }
}
