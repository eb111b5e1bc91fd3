//! Keeps what the row store holds about streams up to date, and reads it for a host that has just started.
//! [`stream_ledger`](crate::stream_ledger) decides what is written.

use std::sync::Mutex;

use tokio::{
    sync::{Notify, watch},
    time::{sleep, timeout},
};

use crate::{
    codec::Codec,
    gateway::{Gateway, lock},
    prelude::*,
    rendezvous,
    row_reads::READ_WAIT,
    row_store::{RowStore, RowStoreError, Table, Write, WriteOutcome},
    stream_ledger::{Batch, Ledger, parse_streams},
    stream_origin::{Attempt, Place, Source},
    table_sync::Replicas,
};

/// How often streams are stored while upstreams of several builds serve.
const STORE_PERIOD: Duration = Duration::from_millis(200);
/// Longest pause after failed calls.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// How often the builds table is read again while a service has several builds. A host may take a build out
/// that another one has just seen again.
const REREAD_PERIOD: Duration = Duration::from_secs(5);
/// Age of a read after which the builds table is read again before it is changed.
const MAX_READ_AGE: Duration = Duration::from_millis(100);
/// Shortest time between two reads of where streams began. All requests that come meanwhile share the next one.
const MIN_STREAMS_READ_PERIOD: Duration = Duration::from_millis(100);
/// Time after its start within which a host first changes the builds table. Until then, most hosts have
/// found the leader of their zone, which does so.
const START_SPREAD: Duration = Duration::from_secs(2);

/// Connects requests that resume streams with the loop that reads the row store.
#[derive(Debug, Default)]
pub(crate) struct LedgerLink {
    ledger: Mutex<Ledger>,
    /// Notified when a request needs the streams table.
    streams_wanted: Notify,
    is_read: watch::Sender<Reads>,
}

/// When this host last began to read each table.
#[derive(Clone, Copy, Debug, Default)]
struct Reads {
    builds: Option<Instant>,
    streams: Option<Instant>,
}

impl<C> Gateway<C>
where
    C: Codec,
{
    /// Returns whether this host knows all builds at which streams of a service may have begun.
    pub(crate) fn knows_builds(&self, service: &Service) -> bool {
        let now = self.now();
        let since = {
            let builds = &self.fleet().builds;
            if builds.covers_all_streams(now) {
                return true;
            }
            builds.is_current(now).then(|| builds.complete_since())
        };
        let read_at = self.stream_ledger.is_read.borrow().builds;
        since.is_some_and(|since| read_at >= Some(since))
            && lock(&self.stream_ledger.ledger).knows_builds(service)
    }

    /// Waits, for a moment at most, until this host has read which builds the services have had, since it
    /// keeps up with the row store.
    pub(crate) async fn wait_for_builds(&self) {
        let since = self.fleet().builds.complete_since();
        let mut reads = self.stream_ledger.is_read.subscribe();
        // Without an answer, the builds stay unknown.
        let _ = timeout(READ_WAIT, reads.wait_for(|it| it.builds >= Some(since))).await;
    }

    /// Waits, for a moment at most, until this host has read where streams began, as of `since` or later. What
    /// other hosts tell each other dies with them, and in a large mesh not all of them are told.
    pub(crate) async fn wait_for_streams(&self, since: Instant) {
        let mut reads = self.stream_ledger.is_read.subscribe();
        self.stream_ledger.streams_wanted.notify_one();
        let _ = timeout(READ_WAIT, reads.wait_for(|it| it.streams >= Some(since))).await;
    }
}

/// Keeps the rows about streams up to date until the process ends.
pub(crate) async fn run<C, L>(gateway: &Gateway<C>, row_store: &L, replicas: &Replicas)
where
    C: Codec,
    L: RowStore,
{
    let mut worker = Worker {
        gateway,
        row_store,
        replicas,
        batch: Batch::default(),
        clock: None,
        read_at: Instant::ZERO,
        era: 0,
    };
    let mut failures = 0;
    loop {
        match worker.step().await {
            Ok(()) => failures = 0,
            Err(err) => {
                if failures == 0 {
                    log::warn!(error = err.to_string().as_str();
                        "rows about streams cannot be read or written");
                }
                failures += 1;
            }
        }
        let pause = STORE_PERIOD * 2_u32.pow(failures.min(4));
        tokio::select! {
            () = sleep(pause.min(MAX_RETRY_DELAY)) => {}
            () = gateway.stream_ledger.streams_wanted.notified() => worker.read_streams().await,
        }
    }
}

struct Worker<'a, C, L> {
    gateway: &'a Gateway<C>,
    row_store: &'a L,
    replicas: &'a Replicas,
    batch: Batch,
    /// A time, and the store's clock at that time.
    clock: Option<(Instant, Duration)>,
    /// When the builds table was last read.
    read_at: Instant,
    /// The store's era when it was last read.
    era: u64,
}

impl<C, L> Worker<'_, C, L>
where
    C: Codec,
    L: RowStore,
{
    async fn step(&mut self) -> Result<(), RowStoreError> {
        let gateway = self.gateway;
        let now = gateway.now();
        let is_any_mixed = gateway.fleet().builds.is_any_mixed(now);
        let is_delegated = self.replicas.is_delegated(now);
        let is_read = lock(&gateway.stream_ledger.ledger).is_read(self.replicas.newest_era());
        let is_due = is_any_mixed && !is_delegated && now.since(self.read_at) >= REREAD_PERIOD;
        let complete_since = gateway.fleet().builds.complete_since();
        let has_missed = gateway.stream_ledger.is_read.borrow().builds < Some(complete_since);
        if !is_read || is_due || has_missed {
            self.read_builds().await?;
        }
        if is_delegated {
            lock(&gateway.stream_origins).drop_unsaved();
            return Ok(());
        }
        let host = gateway.host_settings.host.as_str();
        let delay = START_SPREAD.mul_f64(rendezvous::fraction(&["builds", host]));
        if now.since(Instant::ZERO) >= delay {
            self.write_builds().await?;
        }
        if is_any_mixed { self.write_streams().await } else { Ok(()) }
    }

    async fn read_builds(&mut self) -> Result<(), RowStoreError> {
        let gateway = self.gateway;
        let requested_at = gateway.now();
        let page = self.row_store.read_table(Table::Builds).await?;
        (self.read_at, self.era) = (requested_at, page.era);
        self.clock = Some((requested_at, page.clock));
        let news = lock(&gateway.stream_ledger.ledger).apply(page.era, page.rows);
        for (service, build) in &news {
            log::info!(service = service.as_str(), build = build.as_str();
                "build is in the row store");
            gateway.fleet().builds.see(requested_at, service, build);
        }
        gateway.stream_ledger.is_read.send_modify(|it| it.builds = Some(requested_at));
        Ok(())
    }

    /// Makes the row store hold the builds that this host has seen.
    async fn write_builds(&mut self) -> Result<(), RowStoreError> {
        let gateway = self.gateway;
        let changes = || {
            let now = gateway.now();
            let fleet = gateway.fleet();
            lock(&gateway.stream_ledger.ledger).changes(now, &fleet.builds)
        };
        if changes().is_empty() {
            return Ok(());
        }
        if gateway.now().since(self.read_at) > MAX_READ_AGE {
            self.read_builds().await?;
        }
        let changes = changes();
        if changes.is_empty() {
            return Ok(());
        }
        for it in changes {
            let write = Write {
                table: Table::Builds,
                key: FastStr::new(it.service.as_str()),
                value: Some(it.value.clone()),
                expected_version: Some(it.expected_version),
            };
            let outcome = self.row_store.write(write).await?;
            let is_written = matches!(outcome, WriteOutcome::Committed { .. });
            log::info!(service = it.service.as_str(), written = is_written,
                row = String::from_utf8_lossy(&it.value).as_ref(); "builds of a service changed");
        }
        // The versions of the rows, or what another host wrote first.
        self.read_builds().await
    }

    /// Makes the row store hold where streams of this zone began.
    async fn write_streams(&mut self) -> Result<(), RowStoreError> {
        let gateway = self.gateway;
        let now = gateway.now();
        let Some((at, clock)) = self.clock else { return Ok(()) };
        let clock = clock + now.since(at);
        self.batch.start_row(clock);
        let builds = gateway.fleet().builds.clone();
        let unsaved = lock(&gateway.stream_origins)
            .take_unsaved(self.batch.room(), |it| builds.is_mixed(now, it));
        for (place, attempt) in &unsaved {
            self.batch.add(place, *attempt);
        }
        let host = &gateway.host_settings.host;
        let Some((key, value)) = self.batch.unstored(host, clock) else { return Ok(()) };
        let write =
            Write { table: Table::Streams, key, value: Some(value), expected_version: None };
        self.row_store.write(write).await?;
        self.batch.set_stored();
        Ok(())
    }

    /// Reads where streams began, a moment after the last such read at the earliest.
    async fn read_streams(&mut self) {
        let gateway = self.gateway;
        let is_read = &gateway.stream_ledger.is_read;
        let last_read_at = is_read.borrow().streams;
        if let Some(last_read_at) = last_read_at {
            let elapsed = gateway.now().since(last_read_at);
            sleep(MIN_STREAMS_READ_PERIOD.saturating_sub(elapsed)).await;
        }
        let requested_at = gateway.now();
        let page = match self.row_store.read_table(Table::Streams).await {
            Ok(page) => page,
            Err(err) => {
                log::warn!(error = err.to_string().as_str();
                    "where streams began cannot be read from the row store");
                return;
            }
        };
        let values = page.rows.iter().filter_map(|it| it.value.as_ref());
        let streams: Vec<_> =
            values.filter_map(|it| parse_streams(it, page.clock)).flatten().collect();
        let now = gateway.now();
        let mut origins = lock(&gateway.stream_origins);
        for it in &streams {
            let (service, build) = (Service::new(it.service.clone()), Build::new(it.build.clone()));
            let place = Place { service, build };
            for attempt in &it.attempts {
                origins.record(now, Attempt(*attempt), &place, Source::Told);
            }
        }
        let count = origins.count();
        drop(origins);
        log::info!(rows = page.rows.len(), streams = count;
            "where streams began is read from the row store");
        is_read.send_modify(|it| it.streams = Some(requested_at));
    }
}
