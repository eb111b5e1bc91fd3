//! State that all connections and background tasks of a host share in gateway mode, in which it
//! forwards requests to upstreams unchanged.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwapOption;
use tokio::{
    sync::{Notify, watch},
    time::Instant as TokioInstant,
};
use tokio_util::sync::CancellationToken;

use crate::{
    answer_time::AnswerTimes,
    build_gossip::BuildTrials,
    build_share::Order,
    cache_index::Index,
    clock::Clock,
    codec::{Codec, OperatorUpdate},
    configuration::Configuration,
    connection::Pool,
    crash_causes::Answer,
    crash_contact::{Contact, START_HOLD},
    detour::Detours,
    detour_link::Link,
    era_watch::Sighting,
    fleet::{Choice, Denial, Fleet, Outcome, Query},
    holdover::Holdover,
    host_settings::HostSettings,
    ledger_sync::LedgerLink,
    memory_account::{Account, Owner},
    metric::Metrics,
    obstacle::Obstacle,
    outbox::Outbox,
    pinned_tls::Pins,
    poison::{Break, Detector},
    prelude::*,
    replica::Row,
    retry_budget::RetryBudget,
    row_reads::RowReads,
    store_history::History,
    stream_origin::Origins,
    stream_resumption::OriginQuestions,
    unread::Budget,
};

/// Shared state of a gateway: settings, configuration, upstreams, connections, cache index, retry
/// budgets and what crashes upstreams.
#[derive(Debug)]
pub struct Gateway<C> {
    /// The settings that this host was started with.
    pub host_settings: HostSettings,
    /// Translates between the platform's formats and the gateway's types.
    pub codec: C,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Cancelled when the host starts to shut down.
    pub draining: CancellationToken,
    /// Cancelled when a host that shuts down begins to close its connections and removes its row:
    /// after the time that the load balancer needs to stop using it.
    pub closing: CancellationToken,
    /// Cancelled when the grace period is over, right before the process ends with requests in progress.
    pub ending: CancellationToken,
    /// Cancelled when the requests of a host that shuts down have ended: it hands over what it does for all
    /// hosts, and the process ends.
    pub handover: CancellationToken,
    /// Notified when upstreams may need to load newer weights.
    pub rollout_needed: Notify,
    /// Notified when operators have ordered that a service moves to a build, or no longer.
    pub build_orders: Notify,
    /// Certificates of the other hosts.
    pub pins: Pins,
    clock: Clock,
    configuration: ArcSwapOption<Configuration>,
    fleet: Mutex<Fleet>,
    holdover: Mutex<Holdover>,
    pool: Mutex<Pool>,
    cache_index: Mutex<Index>,
    retry_budgets: Mutex<HashMap<Service, RetryBudget>>,
    pub(crate) poison: Mutex<Detector>,
    /// Changed when requests or prompt parts are found to crash upstreams, or no longer.
    pub(crate) cause_changes: watch::Sender<()>,
    /// How well this host keeps up with what others know of crashes; changed when it may know more.
    pub(crate) crash_contact: watch::Sender<Contact>,
    /// Notified when requests wait for what other hosts know of crashes.
    pub(crate) crash_news_wanted: Notify,
    /// Breaks that are told to the other hosts.
    pub(crate) breaks: Mutex<Outbox<Break>>,
    /// What was answered after a crash, with the times of the answers, which is told to the other hosts.
    pub(crate) answered_parts: Mutex<Outbox<Answer>>,
    rollout: Mutex<Rollout>,
    store_history: Mutex<History>,
    store_era: Mutex<Sighting>,
    pub(crate) stream_origins: Mutex<Origins>,
    pub(crate) origin_questions: OriginQuestions,
    pub(crate) stream_ledger: LedgerLink,
    pub(crate) row_reads: RowReads,
    pub(crate) answer_times: Mutex<AnswerTimes>,
    /// When a host that shuts down ends what is then in progress.
    stop_deadline: OnceLock<TokioInstant>,
    active_requests: AtomicU32,
    /// Callers' connections on which a request was read, until they end.
    unfinished_connections: AtomicU32,
    /// Bytes of responses' bodies that are buffered until they are complete.
    pub(crate) memory: Arc<Account>,
    /// Memory for chunks of streamed responses that callers have not read yet.
    pub(crate) unread: Budget,
    /// Whether this host exchanges messages with other hosts.
    mesh_joined: AtomicBool,
    /// When bytes of an upstream last arrived, in milliseconds of the clock.
    heard_ms: AtomicU64,
    /// The trials of new builds.
    pub(crate) build_trials: Mutex<BuildTrials>,
    detours: Mutex<Detours>,
    detour_link: OnceLock<Arc<Link>>,
}

/// Progress of a weight rollout, which the holder of the weights lease sends to the other
/// hosts.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    /// Upstreams that are loading new weights.
    pub loading: Vec<Upstream>,
    /// Upstreams that have loaded new weights, with the model and the weight version.
    pub loaded: Vec<(Upstream, Model, u32)>,
    /// Whether this host holds the lease, as far as it knows.
    pub holds_lease: bool,
}

impl<C> Gateway<C>
where
    C: Codec,
{
    /// Creates the state of a host that has no configuration and no upstreams yet.
    ///
    /// # Errors
    ///
    /// Returns an error when two metrics have the same name.
    pub fn new(host_settings: HostSettings, codec: C) -> Result<Self, prometheus::Error> {
        let memory = Arc::new(Account::new(host_settings.memory_bytes));
        Ok(Gateway {
            fleet: Mutex::new(Fleet::new(&host_settings)),
            holdover: Mutex::new(Holdover::new(&host_settings)),
            unread: Budget::new(host_settings.memory_bytes),
            host_settings,
            codec,
            metrics: Metrics::new()?,
            draining: CancellationToken::new(),
            closing: CancellationToken::new(),
            ending: CancellationToken::new(),
            handover: CancellationToken::new(),
            rollout_needed: Notify::new(),
            build_orders: Notify::new(),
            pins: Pins::default(),
            clock: Clock::start(),
            configuration: ArcSwapOption::empty(),
            pool: Mutex::default(),
            cache_index: Mutex::default(),
            retry_budgets: Mutex::default(),
            poison: Mutex::default(),
            cause_changes: watch::Sender::new(()),
            crash_contact: watch::Sender::new(Contact::default()),
            crash_news_wanted: Notify::new(),
            breaks: Mutex::default(),
            answered_parts: Mutex::default(),
            rollout: Mutex::default(),
            store_history: Mutex::default(),
            store_era: Mutex::default(),
            stream_origins: Mutex::default(),
            origin_questions: OriginQuestions::default(),
            stream_ledger: LedgerLink::default(),
            row_reads: RowReads::default(),
            answer_times: Mutex::default(),
            stop_deadline: OnceLock::new(),
            active_requests: AtomicU32::new(0),
            unfinished_connections: AtomicU32::new(0),
            memory,
            mesh_joined: AtomicBool::new(false),
            heard_ms: AtomicU64::new(0),
            build_trials: Mutex::default(),
            detours: Mutex::default(),
            detour_link: OnceLock::new(),
        })
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the configuration in force, or `None` before the first one is received.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.load_full()
    }

    /// Locks the fleet of upstreams. The lock is held for decisions only, never across I/O.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Locks what stays in force after the row store has come back from a copy.
    pub fn holdover(&self) -> MutexGuard<'_, Holdover> {
        lock(&self.holdover)
    }

    /// Locks the pool of idle connections to upstreams.
    pub fn pool(&self) -> MutexGuard<'_, Pool> {
        lock(&self.pool)
    }

    /// Locks the index of what the KV cache stores hold.
    pub fn cache_index(&self) -> MutexGuard<'_, Index> {
        lock(&self.cache_index)
    }

    /// Locks the progress of this host's own rollout, which is sent to the other hosts.
    pub fn rollout(&self) -> MutexGuard<'_, Rollout> {
        lock(&self.rollout)
    }

    /// Records the row store's era in an answer, and its version if the answer told it.
    pub fn observe_store_era(&self, era: u64, version: Option<u64>) {
        lock(&self.store_era).observe(self.now(), era, version);
    }

    /// Returns the row store's newest era that this host has seen.
    pub fn store_era(&self) -> Sighting {
        *lock(&self.store_era)
    }

    /// Returns whether the load balancer may send callers here: the host is not shutting down,
    /// has a configuration and knows an upstream that is not shutting down.
    pub fn is_ready(&self) -> bool {
        !self.draining.is_cancelled()
            && self.configuration.load().is_some()
            && !self.fleet().has_no_active()
            && (self.now() >= Instant::ZERO + START_HOLD || self.knows_causes())
    }

    /// Starts to shut down. What is in progress at `deadline` is ended then.
    pub fn start_shutdown(&self, deadline: TokioInstant) {
        let _ = self.stop_deadline.set(deadline);
        self.draining.cancel();
    }

    /// Returns how long requests may still take if the host shuts down.
    pub(crate) fn shutdown_left(&self) -> Option<Duration> {
        let deadline = self.stop_deadline.get()?;
        Some(deadline.saturating_duration_since(TokioInstant::now()))
    }

    /// Records whether this host exchanges messages with other hosts.
    pub fn set_mesh_joined(&self, joined: bool) {
        self.mesh_joined.store(joined, Ordering::Release);
    }

    /// Returns whether this host exchanges messages with other hosts.
    pub fn has_joined_mesh(&self) -> bool {
        self.mesh_joined.load(Ordering::Acquire)
    }

    /// Returns the number of requests in progress.
    pub fn active_requests(&self) -> u32 {
        self.active_requests.load(Ordering::Acquire)
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> RequestGuard<C> {
        self.active_requests.fetch_add(1, Ordering::AcqRel);
        RequestGuard { gateway: self.clone() }
    }

    /// Returns the number of callers' connections on which a request was read. Once the host closes its
    /// connections, each of them ends when its last response is written.
    pub fn unfinished_connections(&self) -> u32 {
        self.unfinished_connections.load(Ordering::Acquire)
    }

    /// Counts a caller's connection as unfinished until the returned guard is dropped.
    pub fn track_connection(self: &Arc<Self>) -> ConnectionGuard<C> {
        self.unfinished_connections.fetch_add(1, Ordering::AcqRel);
        ConnectionGuard { gateway: self.clone() }
    }

    /// Returns how many bytes of responses' bodies are held until callers have read them.
    pub fn buffered_bytes(&self) -> usize {
        self.memory.used(Owner::Responses)
    }

    /// Returns how many bytes of requests' bodies are held until no attempt can follow.
    pub fn held_request_bytes(&self) -> usize {
        self.memory.used(Owner::Requests)
    }

    /// Applies rows of the operators' table, which hold the configuration, evacuated zones and
    /// target weight versions.
    pub fn apply_operator_rows(&self, rows: &[Row]) {
        for row in rows {
            match self.codec.parse_operator_row(&row.key, row.value.as_deref()) {
                Ok(update) => self.apply_operator_update(update, row.version),
                Err(err) => log::warn!(row = row.key.as_str(), version = row.version,
                    error = err.to_string().as_str(); "operators' row cannot be parsed"),
            }
        }
    }

    fn apply_operator_update(&self, update: OperatorUpdate, row_version: u64) {
        match update {
            OperatorUpdate::Configuration(configuration) => {
                let known = self.configuration.load().as_ref().map_or(0, |it| it.version);
                if configuration.version <= known {
                    log::info!(version = configuration.version, known = known;
                        "older configuration is ignored");
                    return;
                }
                log::info!(version = configuration.version, row = row_version;
                    "configuration is in force");
                self.cache_index().set_stores(&configuration.stores);
                self.configuration.store(Some(Arc::new(*configuration)));
            }
            OperatorUpdate::Evacuation { zone, out } => {
                self.fleet().set_evacuated(self.now(), zone, out);
            }
            OperatorUpdate::Weights { model, version } => {
                self.set_target_weights(model, version, row_version);
                self.rollout_needed.notify_one();
            }
            OperatorUpdate::BuildRollout { service, to } => {
                self.set_build_order(service, to, row_version);
            }
            OperatorUpdate::Unknown => {}
        }
    }

    /// Sets the order to move a service to a build, or withdraws it.
    fn set_build_order(&self, service: Service, to: Option<(Build, Duration)>, row_version: u64) {
        let now = self.now();
        let (to, deadline) = match to {
            Some((to, deadline)) => (to, deadline),
            None => {
                if self.fleet().build_shares.withdraw(now, &service) {
                    log::warn!(service = service.as_str(), row = row_version;
                        "order to move a service to a build was withdrawn");
                }
                self.build_orders.notify_one();
                return;
            }
        };
        let order = Order { service, to, deadline, version: row_version };
        if self.fleet().build_shares.set_order(now, order.clone()) {
            log::info!(service = order.service.as_str(), build = order.to.as_str(),
                deadline_ms = order.deadline.as_millis() as u64, row = row_version;
                "service is to move to a build");
            self.start_build_trial(now, &order);
            self.build_orders.notify_one();
        }
    }

    /// Locks what this host remembers of past versions of the row store.
    pub fn store_history(&self) -> MutexGuard<'_, History> {
        lock(&self.store_history)
    }

    fn set_target_weights(&self, model: Model, version: u32, row_version: u64) {
        let set_after = self.store_history().written_after(row_version);
        self.fleet().target_weights.record_stored(model.clone(), version);
        if self.fleet().target_weights.set(set_after, model.clone(), version) {
            // Missing if this host has never seen the store without the target.
            let max_age = set_after.map(|it| self.now().since(it).as_millis() as u64);
            log::info!(model = model.as_str(), version = version, row = row_version,
                max_age_ms = max_age; "target weight version set");
        }
    }

    /// Follows a target weight version that another host follows and the row store has lost. `age` is how
    /// long ago it was set at most, if that is known. It is not relied on: the message may have waited while
    /// this host was suspended. The lease row tells when the target was set.
    pub fn follow_target_weights(
        &self,
        peer: &Host,
        model: Model,
        version: u32,
        age: Option<Duration>,
    ) {
        if self.fleet().target_weights.set(None, model.clone(), version) {
            log::warn!(peer = peer.as_str(), model = model.as_str(), version = version,
                max_age_ms = age.map(|it| it.as_millis() as u64);
                "target weight version learned from another host");
            self.rollout_needed.notify_one();
        }
    }

    /// Applies rows of the upstreams' table.
    pub fn apply_upstream_rows(&self, rows: &[Row]) {
        let now = self.now();
        for row in rows {
            let id = Upstream::new(row.key.clone());
            let known = self.fleet().row(&id).cloned();
            let Some(value) = &row.value else {
                self.holdover().record_removal(now, &id, known.as_ref());
                self.fleet().remove(now, &id);
                self.pool().remove(&id);
                continue;
            };
            match self.codec.parse_upstream_row(&row.key, value) {
                Ok(upstream_row) => {
                    let admitted = self.holdover().admit(now, upstream_row, known.as_ref());
                    if let Some(upstream_row) = admitted {
                        self.fleet().upsert(now, upstream_row);
                    }
                }
                // Nothing is known of an upstream whose row is invalid, so it is not used.
                Err(err) => {
                    log::debug!(row = row.key.as_str(), error = err.to_string().as_str();
                        "upstream's row cannot be parsed");
                    self.fleet().remove(now, &id);
                }
            }
        }
        if !self.fleet().outdated().is_empty() {
            self.rollout_needed.notify_one();
        }
    }

    /// Applies the upstreams' rows that were held back after the row store had come back from a copy,
    /// once its word counts again.
    pub fn release_upstream_rows(&self) {
        let now = self.now();
        let released = self.holdover().release(now);
        for row in released {
            log::info!(upstream = row.id.as_str(), draining = row.draining;
                "upstream's row in the store counts again");
            self.fleet().upsert(now, row);
        }
    }

    /// Returns the newest target version of a model; without a target, the version of any upstream
    /// that has the model.
    pub fn target_or_any_weight_version(&self, model: Option<&Model>) -> Option<u32> {
        self.fleet().target_or_any_weight_version(model?)
    }

    /// Chooses an upstream for a request; see [`Fleet::choose`].
    ///
    /// # Errors
    ///
    /// Returns the reason if no upstream was chosen.
    pub fn choose(
        &self,
        configuration: &Configuration,
        query: &Query<'_>,
    ) -> Result<Choice, Denial> {
        let chosen = self.fleet().choose(self.now(), configuration, query);
        match chosen {
            Err(Denial::Paused(_)) => self.metrics.pause_refusals.inc(),
            Err(Denial::Limited(_)) => self.metrics.limit_refusals.inc(),
            Err(Denial::Shed(_, pressure)) => {
                let priority = pressure.priority.to_string();
                self.metrics.shed_requests.with_label_values(&[&priority]).inc();
            }
            _ => {}
        }
        chosen
    }

    /// Returns why a request for `model` must not be sent any more to the upstream that was chosen
    /// for it; see [`Fleet::obstacle`].
    pub fn obstacle(&self, choice: &Choice, model: Option<&Model>) -> Option<Obstacle> {
        let obstacle = self.fleet().obstacle(self.now(), choice, model)?;
        self.metrics.unsent_attempts.with_label_values(&[obstacle.name()]).inc();
        Some(obstacle)
    }

    /// Reports the outcome of an attempt to the fleet. Idle connections are dropped if the address
    /// is unreachable or now belongs to another upstream.
    pub fn record_outcome(
        &self,
        configuration: &Configuration,
        service: &Service,
        choice: &Choice,
        outcome: Outcome,
    ) {
        let service_entry = configuration.services.get(service).cloned().unwrap_or_default();
        self.fleet().record_outcome(self.now(), &service_entry, choice, outcome);
        if outcome == Outcome::Unreachable {
            self.update_unreachable_services();
        }
        if matches!(outcome, Outcome::Unreachable | Outcome::AddressReused) {
            self.pool().remove(&choice.id);
        }
    }

    /// Records whether a connection to an upstream could be established.
    pub fn record_connection(&self, id: &Upstream, succeeded: bool) {
        if succeeded {
            self.record_heard();
        }
        self.fleet().record_connection(self.now(), id, succeeded);
        self.update_unreachable_services();
    }

    /// Records that bytes of an upstream have arrived.
    pub fn record_heard(&self) {
        let now_ms = self.now().since(Instant::ZERO).as_millis();
        self.heard_ms.store(u64::try_from(now_ms).unwrap_or(u64::MAX), Ordering::Relaxed);
    }

    /// Returns when bytes of an upstream last arrived.
    fn heard_at(&self) -> Instant {
        Instant::ZERO + Duration::from_millis(self.heard_ms.load(Ordering::Relaxed))
    }

    /// Returns the upstreams to which a connection should be tried now, with their addresses.
    pub fn due_probes(&self) -> Vec<(Upstream, SocketAddr)> {
        let (now, heard_at) = (self.now(), self.heard_at());
        let mut fleet = self.fleet();
        if fleet.reach.lost_count() == 0 && !fleet.reach.is_silent(now, heard_at) {
            return Vec::new();
        }
        fleet.due_probes(now, heard_at)
    }

    /// Returns the part of a service that this host reaches while the service is out of reach, or `None` if
    /// it is within reach.
    pub fn reached_part(&self, service: &Service) -> Option<f64> {
        self.fleet().reach.reached_part(service)
    }

    /// Returns the upstreams with open connections that may still live: none if nothing was heard over any
    /// for a while.
    pub fn connected_upstreams(&self) -> Vec<Upstream> {
        let (now, heard_at) = (self.now(), self.heard_at());
        let is_silent = self.fleet().reach.is_silent(now, heard_at);
        if is_silent { Vec::new() } else { self.pool().connected() }
    }

    /// Locks the other hosts that may take requests.
    pub fn detours(&self) -> MutexGuard<'_, Detours> {
        lock(&self.detours)
    }

    /// Sets the link over which requests take detours.
    pub fn set_detour_link(&self, link: Arc<Link>) {
        // There is one for the whole life of the process.
        let _ = self.detour_link.set(link);
    }

    /// Returns the link over which requests take detours, if this host has one.
    pub fn detour_link(&self) -> Option<Arc<Link>> {
        self.detour_link.get().cloned()
    }

    /// Sets the gauge of the services that are out of reach.
    fn update_unreachable_services(&self) {
        let lost = self.fleet().reach.lost_count();
        self.metrics.unreachable_services.set(i64::try_from(lost).unwrap_or(i64::MAX));
    }

    /// Counts a caller's request towards the retry budget of its service.
    pub fn count_request(&self, service: &Service) {
        let now = self.now();
        self.with_retry_budget(service, |budget| budget.record_request(now));
    }

    /// Takes one retry from the budget of the service; returns false if none is left. The fixed
    /// part of the budget is divided among all hosts.
    pub fn try_acquire_retry(&self, service: &Service) -> bool {
        let (now, ratio, slack) =
            (self.now(), self.host_settings.bounds.retry_ratio, self.retry_slack());
        let (acquired, requests, retries) = self.with_retry_budget(service, |budget| {
            let acquired = budget.try_retry(now, ratio, slack);
            (acquired, budget.request_count(now), budget.retry_count(now))
        });
        let counter = if acquired { &self.metrics.resends } else { &self.metrics.resend_refusals };
        counter.with_label_values(&[service.as_str()]).inc();
        if !acquired {
            log::info!(service = service.as_str(), requests = requests, retries = retries,
                slack = slack; "retry budget is used up");
        }
        acquired
    }

    /// Returns whether the retry budget of the service has room for the retry of a request that an
    /// upstream answered with an error.
    pub fn has_retry_after_error(&self, service: &Service) -> bool {
        let (now, ratio, slack) =
            (self.now(), self.host_settings.bounds.retry_ratio, self.retry_slack());
        self.with_retry_budget(service, |budget| budget.has_room_after_error(now, ratio, slack))
    }

    /// Returns this host's part of the fixed allowance of retries.
    fn retry_slack(&self) -> f64 {
        self.fleet().retry_allowance.part(self.now())
    }

    fn with_retry_budget<F, R>(&self, service: &Service, f: F) -> R
    where
        F: FnOnce(&mut RetryBudget) -> R,
    {
        let mut budgets = lock(&self.retry_budgets);
        let new_budget = || RetryBudget::new(self.host_settings.bounds.retry_window);
        f(budgets.entry(service.clone()).or_insert_with(new_budget))
    }

    /// Records that the processes of upstreams may have ended that have closed idle connections early.
    pub(crate) fn record_closed_early(&self) {
        let closed = self.pool().take_closed_early();
        for id in &closed {
            self.fleet().record_end(self.now(), id, 0, "idle connection");
        }
    }

    /// Drops expired connections, evidence of crashes and responses' notices, and logs which weight
    /// versions are no longer used for new requests.
    pub fn purge(&self) {
        for (model, min_version) in self.fleet().target_weights.take_expired(self.now()) {
            log::info!(model = model.as_str(), min_version = min_version;
                "requests no longer start on older weights");
        }
        self.pool().purge();
        self.record_closed_early();
        self.purge_causes();
        lock(&self.stream_origins).purge(self.now());
        self.fleet().purge(self.now());
        self.update_limited_upstreams();
        let gauge = |bytes: usize| i64::try_from(bytes).unwrap_or(i64::MAX);
        self.metrics.unread_bytes.set(gauge(self.unread.used()));
        let held = &self.metrics.held_bytes;
        held.with_label_values(&["requests"]).set(gauge(self.memory.used(Owner::Requests)));
        held.with_label_values(&["responses"]).set(gauge(self.memory.used(Owner::Responses)));
        self.metrics.held_bytes_peak.set(gauge(self.memory.peak()));
    }
}

/// Counts a request as in progress until it is dropped.
pub struct RequestGuard<C> {
    gateway: Arc<Gateway<C>>,
}

impl<C> Drop for RequestGuard<C> {
    fn drop(&mut self) {
        self.gateway.active_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Counts a caller's connection as unfinished until it is dropped.
pub struct ConnectionGuard<C> {
    gateway: Arc<Gateway<C>>,
}

impl<C> Drop for ConnectionGuard<C> {
    fn drop(&mut self) {
        self.gateway.unfinished_connections.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Locks a mutex, also one that a panic has poisoned.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
