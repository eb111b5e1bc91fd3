//! What all connections and loops of a host share when it serves upstreams unchanged.

use std::{
    collections::HashMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

use arc_swap::ArcSwapOption;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::{
    cache_index::Index,
    clock::Clock,
    codec::{Codec, OperatorUpdate},
    connection::Pool,
    deployment::Deployment,
    fleet::{Choice, Denial, Fleet, Outcome, Query},
    host_config::Config,
    metric::Metrics,
    prelude::*,
    quarantine::{Crash, Fingerprint, Quarantine},
    replica::Row,
    window::RetryBudget,
};

/// State of a gateway.
#[derive(Debug)]
pub struct Gateway<D> {
    /// Where it runs.
    pub host_config: Config,
    /// Translates the platform's formats.
    pub codec: D,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Set when the host is to leave.
    pub draining: CancellationToken,
    /// Set once the balancer has let go of a host that leaves.
    pub deregistered: CancellationToken,
    /// Told when upstreams may have to be given new weights.
    pub rollout_needed: Notify,
    clock: Clock,
    deployment: ArcSwapOption<Deployment>,
    fleet: Mutex<Fleet>,
    pool: Mutex<Pool>,
    cache_index: Mutex<Index>,
    retry_budgets: Mutex<HashMap<Service, RetryBudget>>,
    quarantine: Mutex<Quarantine>,
    crashes: Mutex<Vec<Crash>>,
    rollout: Mutex<Rollout>,
    active_requests: AtomicU32,
}

/// What the holder of the lease for weights tells the other hosts.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    /// Upstreams that take new weights.
    pub loading: Vec<Upstream>,
    /// Upstreams that have taken new weights of a model.
    pub loaded: Vec<(Upstream, Model, u32)>,
}

impl<D> Gateway<D>
where
    D: Codec,
{
    /// Creates the state of a host that knows nothing yet.
    ///
    /// # Errors
    ///
    /// Returns an error when two metrics have the same name.
    pub fn new(host_config: Config, codec: D) -> Result<Self, prometheus::Error> {
        Ok(Gateway {
            fleet: Mutex::new(Fleet::new(&host_config)),
            host_config,
            codec,
            metrics: Metrics::new()?,
            draining: CancellationToken::new(),
            deregistered: CancellationToken::new(),
            rollout_needed: Notify::new(),
            clock: Clock::start(),
            deployment: ArcSwapOption::empty(),
            pool: Mutex::default(),
            cache_index: Mutex::default(),
            retry_budgets: Mutex::default(),
            quarantine: Mutex::default(),
            crashes: Mutex::default(),
            rollout: Mutex::default(),
            active_requests: AtomicU32::new(0),
        })
    }

    /// Returns the time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the newest configuration, once one is known.
    pub fn deployment(&self) -> Option<Arc<Deployment>> {
        self.deployment.load_full()
    }

    /// Returns the upstreams. The lock is held for decisions only, never over I/O.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Returns the kept connections.
    pub fn pool(&self) -> MutexGuard<'_, Pool> {
        lock(&self.pool)
    }

    /// Returns what the stores of KV cache hold.
    pub fn cache_index(&self) -> MutexGuard<'_, Index> {
        lock(&self.cache_index)
    }

    /// Returns what this host has to tell of its orders.
    pub fn rollout(&self) -> MutexGuard<'_, Rollout> {
        lock(&self.rollout)
    }

    /// Tells whether new callers may be sent here.
    pub fn is_ready(&self) -> bool {
        !self.draining.is_cancelled()
            && self.deployment.load().is_some()
            && !self.fleet().is_empty()
    }

    /// Returns the requests that are being worked on.
    pub fn active_requests(&self) -> u32 {
        self.active_requests.load(Ordering::Acquire)
    }

    /// Counts a request as being worked on until the result is dropped.
    pub fn track_request(self: &Arc<Self>) -> RequestGuard<D> {
        self.active_requests.fetch_add(1, Ordering::AcqRel);
        RequestGuard { gateway: self.clone() }
    }

    /// Takes rows of the operators' table. `initial` are those that this host finds when it
    /// starts; it cannot know for how long they have been there.
    pub fn apply_operator_rows(&self, rows: &[Row], initial: bool) {
        for row in rows {
            match self.codec.parse_operator_row(&row.key, row.value.as_deref()) {
                Ok(update) => self.apply_operator_update(update, row.version, initial),
                Err(err) => log::warn!(row = row.key.as_str(), version = row.version,
                    error = err.to_string().as_str(); "operators' row cannot be read"),
            }
        }
    }

    fn apply_operator_update(&self, update: OperatorUpdate, row: u64, initial: bool) {
        match update {
            OperatorUpdate::Deployment(deployment) => {
                let known = self.deployment.load().as_ref().map_or(0, |it| it.version);
                if deployment.version <= known {
                    log::info!(version = deployment.version, known = known;
                        "older configuration is ignored");
                    return;
                }
                log::info!(version = deployment.version, row = row; "configuration is in force");
                self.cache_index().set_stores(&deployment.stores);
                self.deployment.store(Some(Arc::new(*deployment)));
            }
            OperatorUpdate::Evacuation { zone, out } => self.fleet().set_evacuated(zone, out),
            OperatorUpdate::Weights { model, version } => {
                let since = (!initial).then(|| self.now());
                self.fleet().target_weights.set(since, model, version);
                self.rollout_needed.notify_one();
            }
            OperatorUpdate::Unknown => {}
        }
    }

    /// Takes rows of the upstreams' table.
    pub fn apply_upstream_rows(&self, rows: &[Row]) {
        let now = self.now();
        for row in rows {
            let id = Upstream::new(row.key.clone());
            let Some(value) = &row.value else {
                self.fleet().remove(&id);
                self.pool().remove(&id);
                continue;
            };
            match self.codec.parse_upstream_row(&row.key, value) {
                Ok(entry) => self.fleet().upsert(now, entry),
                // A row that is not an upstream's names none to use.
                Err(err) => {
                    log::debug!(row = row.key.as_str(), error = err.to_string().as_str();
                        "upstream's row cannot be read");
                    self.fleet().remove(&id);
                }
            }
        }
        if !self.fleet().outdated().is_empty() {
            self.rollout_needed.notify_one();
        }
    }

    /// Returns the newest weight version of a model that an upstream has or operators have
    /// named.
    pub fn newest_weight_version(&self, model: Option<&Model>) -> Option<u32> {
        self.fleet().newest_weight_version(model?)
    }

    /// Chooses an upstream for a request; see [`Fleet::choose`].
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub fn choose(&self, deployment: &Deployment, query: &Query<'_>) -> Result<Choice, Denial> {
        self.fleet().choose(self.now(), deployment, query)
    }

    /// Tells the fleet how a request went.
    pub fn record_outcome(
        &self,
        deployment: &Deployment,
        service: &Service,
        choice: &Choice,
        how: Outcome,
    ) {
        let entry = deployment.services.get(service).cloned().unwrap_or_default();
        self.fleet().record_outcome(self.now(), &entry, choice, how);
        if matches!(how, Outcome::Unreachable | Outcome::AddressReused) {
            self.pool().remove(&choice.id);
        }
    }

    /// Counts a caller's request towards the quota of its service.
    pub fn count_request(&self, service: &Service) {
        let now = self.now();
        self.with_retry_budget(service, |budget| budget.record_request(now));
    }

    /// Asks whether a request may be sent once more, and counts it.
    pub fn try_acquire_retry(&self, service: &Service) -> bool {
        let now = self.now();
        let bounds = self.host_config.bounds;
        let hosts = self.fleet().host_count() as f64;
        self.with_retry_budget(service, |budget| {
            budget.try_retry(now, bounds.retry_ratio, bounds.retry_slack / hosts)
        })
    }

    fn with_retry_budget<F, R>(&self, service: &Service, act: F) -> R
    where
        F: FnOnce(&mut RetryBudget) -> R,
    {
        let mut budgets = lock(&self.retry_budgets);
        let fresh = || RetryBudget::new(self.host_config.bounds.retry_window);
        act(budgets.entry(service.clone()).or_insert_with(fresh))
    }

    /// Tells whether a request is kept away from upstreams.
    pub fn is_quarantined(&self, request: Fingerprint) -> bool {
        lock(&self.quarantine).is_quarantined(self.now(), request)
    }

    /// Takes that an upstream broke off while it ran a request.
    pub fn record_crash(&self, request: Fingerprint, upstream: &Upstream) {
        let crash = Crash { request, upstream: upstream.clone() };
        if lock(&self.quarantine).record_crash(self.now(), &crash) {
            lock(&self.crashes).push(crash);
        }
    }

    /// Takes a crash that another host has seen.
    pub fn record_remote_crash(&self, crash: &Crash) {
        lock(&self.quarantine).record_crash(self.now(), crash);
    }

    /// Takes that an upstream ran a request to its end.
    pub fn clear_suspect(&self, request: Fingerprint) {
        lock(&self.quarantine).clear(request);
    }

    /// Returns the crashes that other hosts have not been told of.
    pub fn take_crashes(&self) -> Vec<Crash> {
        std::mem::take(&mut *lock(&self.crashes))
    }

    /// Forgets what is old.
    pub fn purge(&self) {
        self.pool().purge();
        lock(&self.quarantine).purge(self.now());
    }
}

/// A request that is being worked on.
pub struct RequestGuard<D> {
    gateway: Arc<Gateway<D>>,
}

impl<D> Drop for RequestGuard<D> {
    fn drop(&mut self) {
        self.gateway.active_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
