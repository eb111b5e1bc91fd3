//! Brings the upstreams to the weights that operators name: which upstream is given an order
//! when, and the loop that gives them under a lease.

use std::collections::HashMap;

use http::{HeaderMap, Method, Request, Uri};
use http_body_util::Full;
use tokio::time::{sleep, timeout};

use crate::{
    clock::unix_millis,
    codec::{Codec, Order, OrderStatus, Report},
    connection::{self, Connection},
    fleet::Entry,
    gateway::{Gateway, Rollout},
    lease::{Action, Lease, Row, Target},
    prelude::*,
    row_store::{Page, RowStore, Table, Write, WriteOutcome},
};

/// Upstreams of a model for each one that loads weights. The deployments' sheets name 3 of 18, 2 of
/// 9, 18 of 90 and 12 of 60 as what the weight store serves at full speed.
const PER_LOAD: usize = 5;
/// Hosts look for work in the order of their ranks, so that one of them takes the lease.
const RANK_PAUSE: Duration = Duration::from_millis(250);
/// Longest such pause.
const RANK_PAUSE_MAX: Duration = Duration::from_secs(20);
/// Longest wait before the lease of another holder is looked at again.
const WAIT_MAX: Duration = Duration::from_millis(1500);
/// Time from an order to the first look at how it went: loading takes about a second.
const FIRST_POLL: Duration = Duration::from_millis(900);
/// Time between looks.
const POLL_PERIOD: Duration = Duration::from_millis(350);
/// An order that has not led to its weights by then is given again.
const ORDER_TIMEOUT: Duration = Duration::from_secs(6);
/// An upstream that has not taken its weights by then gets requests again meanwhile.
const LOADING: Duration = Duration::from_millis(2500);
/// Pause after an order that was refused or got no answer. One without an answer may be
/// carried out seconds later, which the number of orders shows.
const AGAIN: Duration = Duration::from_millis(800);
/// How often the holder looks what is to be done.
const ROUND: Duration = Duration::from_millis(120);
/// Longest wait for an upstream's answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
const ANSWER_BYTES: usize = 256 << 10;
/// Times that a host asks for the namings before it started.
const TARGET_TIME_TRIES: u32 = 4;
/// Key of the lease's row.
const LEASE_KEY: &str = "weights";

/// What the holder knows of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// An order was given at the first time; the next look is due at the second one.
    Loading(Instant, Instant),
    /// Nothing is done before this time.
    Paused(Instant),
}

/// What is to be done next for an upstream: read its report, and order the weights if it lacks
/// them and is not busy.
#[derive(Clone, Debug, PartialEq)]
pub enum Task {
    /// It begins to take weights.
    Order(Entry, Model, u32),
    /// It was given an order. Newer weights may have been named since.
    Poll(Entry, Model, u32),
}

/// What an upstream's report asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It has the weights.
    Loaded,
    /// It carries out an order.
    Busy,
    /// It is to be given an order.
    Outdated,
}

impl State {
    /// Reads a report for weights that an upstream is to have.
    pub fn from_report(report: &Report, model: &Model, version: u32) -> Self {
        let has = report.models.iter().find(|it| it.0 == *model).map(|it| it.1);
        match (has, report.busy) {
            (Some(has), _) if has >= version => State::Loaded,
            (_, true) => State::Busy,
            (_, false) => State::Outdated,
        }
    }
}

/// How far a task came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reached {
    /// The upstream took an order.
    Ordered,
    /// It refused one, gave no answer, or cannot be asked.
    Refused,
    /// No order was due.
    Seen,
}

/// Order of work of the holder of the lease. No I/O.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    progress: HashMap<Upstream, Progress>,
}

impl Scheduler {
    /// Returns what is to be done now. `outdated` are the upstreams without the newest
    /// weights, `all` is the number of upstreams.
    pub fn tasks(
        &mut self,
        now: Instant,
        outdated: &[(Entry, Model, u32)],
        all: usize,
    ) -> Vec<Task> {
        self.progress.retain(|id, _| outdated.iter().any(|it| it.0.id == *id));
        let at_once = ((all + 1) / PER_LOAD).max(1);
        let loading = |it: &Progress| matches!(it, Progress::Loading(at, _) if now.since(*at) < ORDER_TIMEOUT);
        let mut free =
            at_once.saturating_sub(self.progress.values().filter(|it| loading(it)).count());
        let mut tasks = Vec::new();
        for (entry, model, version) in outdated {
            match self.progress.get(&entry.id) {
                Some(it @ Progress::Loading(at, next_poll)) if loading(it) => {
                    if *next_poll <= now {
                        self.progress
                            .insert(entry.id.clone(), Progress::Loading(*at, now + POLL_PERIOD));
                        tasks.push(Task::Poll(entry.clone(), model.clone(), *version));
                    }
                }
                Some(Progress::Paused(until)) if *until > now => {}
                _ if free == 0 => {}
                _ => {
                    free -= 1;
                    self.progress
                        .insert(entry.id.clone(), Progress::Loading(now, now + FIRST_POLL));
                    tasks.push(Task::Order(entry.clone(), model.clone(), *version));
                }
            }
        }
        tasks
    }

    /// Returns the upstreams that take new weights.
    pub fn loading(&self, now: Instant) -> Vec<Upstream> {
        let loading = |it: &Progress| match it {
            Progress::Loading(at, _) => now.since(*at) < LOADING,
            Progress::Paused(_) => false,
        };
        self.progress.iter().filter(|it| loading(it.1)).map(|it| it.0.clone()).collect()
    }

    /// Takes that an order was taken.
    pub fn mark_accepted(&mut self, now: Instant, id: &Upstream) {
        self.progress.insert(id.clone(), Progress::Loading(now, now + FIRST_POLL));
    }

    /// Takes that an order was not taken.
    pub fn mark_refused(&mut self, now: Instant, id: &Upstream) {
        self.progress.insert(id.clone(), Progress::Paused(now + AGAIN));
    }
}

/// Gives orders whenever upstreams lack weights that are named, until the process ends.
pub async fn run<D, L>(gateway: Arc<Gateway<D>>, row_store: L)
where
    D: Codec,
    L: RowStore,
{
    let host_config = &gateway.host_config;
    let lease = Lease::new(
        host_config.host.clone(),
        unix_millis(),
        host_config.bounds.lease_takeover_delay,
    );
    let mut holder =
        Holder { gateway: gateway.clone(), row_store, lease, scheduler: Scheduler::default() };
    loop {
        gateway.rollout_needed.notified().await;
        holder.recover_target_times().await;
        while !gateway.fleet().outdated().is_empty() && !gateway.draining.is_cancelled() {
            holder.session().await;
        }
        holder.release().await;
    }
}

struct Holder<D, L> {
    gateway: Arc<Gateway<D>>,
    row_store: L,
    lease: Lease,
    scheduler: Scheduler,
}

impl<D, L> Holder<D, L>
where
    D: Codec,
    L: RowStore,
{
    /// Takes the lease, or waits for its holder; then works while it is held.
    async fn session(&mut self) {
        self.work_while_held().await;
        // Without the lease, this host knows no more of what upstreams take.
        self.gateway.rollout().loading.clear();
    }

    async fn work_while_held(&mut self) {
        if self.lease.fencing_token(self.gateway.now()).is_none() {
            sleep(self.pause()).await;
            if self.gateway.fleet().outdated().is_empty() || self.gateway.draining.is_cancelled() {
                return;
            }
            self.take().await;
        }
        while self.lease.fencing_token(self.gateway.now()).is_some() {
            if self.gateway.draining.is_cancelled() {
                return;
            }
            self.record_targets();
            if let Some(action) = self.lease.renewal(self.gateway.now()) {
                self.write_action(action, "").await;
            }
            let (outdated, all) = {
                let fleet = self.gateway.fleet();
                let outdated = fleet.outdated();
                let model = outdated.first().map(|it| it.1.clone());
                (outdated, model.map_or(0, |it| fleet.count_with_model(&it)))
            };
            if outdated.is_empty() {
                return;
            }
            let tasks = self.scheduler.tasks(self.gateway.now(), &outdated, all);
            self.gateway.rollout().loading = self.scheduler.loading(self.gateway.now());
            self.work(tasks).await;
            sleep(ROUND).await;
        }
    }

    /// Learns from the lease's row when weights were named, where this host started later.
    async fn recover_target_times(&mut self) {
        let unknown = || {
            let fleet = self.gateway.fleet();
            fleet.target_weights.has_unknown_time() && !fleet.outdated().is_empty()
        };
        for _ in 0..TARGET_TIME_TRIES {
            if !unknown() {
                return;
            }
            let asked = self.gateway.now();
            match self.row_store.read_table(Table::Leases).await {
                Ok(page) => {
                    let row = lease_row(&page);
                    let targets = row.map(|it| it.0.targets).unwrap_or_default();
                    for it in targets {
                        let age = page.clock.saturating_sub(Duration::from_millis(it.since_ms));
                        let model = Model::new(it.model);
                        self.gateway.fleet().target_weights.set_age(asked, &model, it.version, age);
                    }
                    return;
                }
                Err(err) => {
                    log::warn!(error = err.to_string().as_str(); "namings cannot be read");
                    sleep(AGAIN).await;
                }
            }
        }
    }

    /// Takes the namings that this host has seen into the lease's row.
    fn record_targets(&mut self) {
        let now = self.gateway.now();
        let Some(clock) = self.lease.store_time(now) else { return };
        let targets = self.gateway.fleet().target_weights.known_times().into_iter();
        let target = |(model, version, since): (Model, u32, Instant)| Target {
            model: model.to_string(),
            version,
            since_ms: clock.saturating_sub(now.since(since)).as_millis() as u64,
        };
        self.lease.add_targets(targets.map(target).collect());
    }

    /// Returns how long this host leaves the work to others.
    fn pause(&self) -> Duration {
        let ahead = self.gateway.fleet().hosts_ranked_before("weights");
        RANK_PAUSE.saturating_mul(ahead as u32).min(RANK_PAUSE_MAX)
    }

    /// Reads the lease's row and takes the lease where that is allowed.
    async fn take(&mut self) {
        let asked = self.gateway.now();
        let page = match self.row_store.read_table(Table::Leases).await {
            Ok(page) => page,
            Err(err) => {
                log::warn!(error = err.to_string().as_str(); "lease cannot be read");
                sleep(AGAIN).await;
                return;
            }
        };
        let row = lease_row(&page);
        let former = row.as_ref().map(|it| it.0.holder.clone()).unwrap_or_default();
        match self.lease.next_action(asked, page.clock, row) {
            Action::Hold => {}
            Action::Wait(wait) => {
                log::info!(holder = former.as_str(), wait_ms = wait.as_millis() as u64;
                    "lease is another's");
                self.lease.mark_lost();
                // Until then the holder may have given it up; it is looked at again.
                sleep(wait.min(WAIT_MAX)).await;
            }
            action => {
                log::info!(former = former.as_str(); "lease is free");
                self.write_action(action, &former).await;
            }
        }
    }

    async fn write_action(&mut self, action: Action, former: &str) {
        let Action::Write { row, expected_version, until } = action else { return };
        let asked = self.gateway.now();
        match self.write(&row, expected_version).await {
            Some((version, clock)) => {
                if !former.is_empty() || expected_version == 0 {
                    log::info!(fence = row.fence, former = former; "lease is taken");
                }
                self.lease.record_write(row, version, until, asked, clock);
            }
            // Whether it was written shows at the next read.
            None => {
                self.lease.mark_lost();
                sleep(AGAIN).await;
            }
        }
    }

    async fn release(&mut self) {
        *self.gateway.rollout() = Rollout::default();
        let Some((row, version)) = self.lease.release() else { return };
        let fence = row.fence;
        if self.write(&row, version).await.is_some() {
            log::info!(fence = fence; "lease is given up");
        }
    }

    async fn write(&self, row: &Row, expected: u64) -> Option<(u64, Duration)> {
        let write = Write {
            table: Table::Leases,
            key: FastStr::from_static_str(LEASE_KEY),
            // A row of texts and numbers can always be written.
            value: Some(serde_json::to_vec(row).unwrap_or_default().into()),
            expected_version: Some(expected),
        };
        match self.row_store.write(write).await {
            Ok(WriteOutcome::Committed { version, clock }) => Some((version, clock)),
            Ok(WriteOutcome::Conflict) => None,
            Err(err) => {
                log::warn!(error = err.to_string().as_str(); "lease may not be written");
                None
            }
        }
    }

    async fn work(&mut self, tasks: Vec<Task>) {
        let calls = tasks.into_iter().map(|task| {
            let gateway = self.gateway.clone();
            let lease = self.lease.clone();
            tokio::spawn(async move { carry_out(&gateway, &lease, task).await })
        });
        let calls: Vec<_> = calls.collect();
        if calls.is_empty() {
            return;
        }
        for call in calls {
            // A task that panicked is seen by its upstream staying outdated.
            let Ok((id, reached)) = call.await else { continue };
            let now = self.gateway.now();
            match reached {
                Reached::Ordered => self.scheduler.mark_accepted(now, &id),
                Reached::Refused => self.scheduler.mark_refused(now, &id),
                Reached::Seen => {}
            }
        }
        self.lease.record_activity(self.gateway.now());
    }
}

/// Returns the lease's row and its version.
fn lease_row(page: &Page) -> Option<(Row, u64)> {
    let row = page.rows.iter().find(|it| it.key == LEASE_KEY)?;
    match serde_json::from_slice(row.value.as_deref()?) {
        Ok(value) => Some((value, row.version)),
        Err(err) => {
            log::warn!(version = row.version, error = err.to_string().as_str();
                "lease's row cannot be read");
            None
        }
    }
}

/// Carries out a task.
async fn carry_out<D>(gateway: &Gateway<D>, lease: &Lease, task: Task) -> (Upstream, Reached)
where
    D: Codec,
{
    let (unknown, entry, model, version) = match task {
        Task::Order(entry, model, version) => (Reached::Refused, entry, model, version),
        // The former order may still be carried out.
        Task::Poll(entry, model, version) => (Reached::Seen, entry, model, version),
    };
    let id = entry.id.clone();
    let Ok(Ok(mut connection)) = timeout(CALL_TIMEOUT, Connection::connect(entry.address)).await
    else {
        log::info!(upstream = id.as_str(); "upstream cannot be asked for its weights");
        return (id, unknown);
    };
    let Some(report) = report(gateway, &mut connection, &entry).await else { return (id, unknown) };
    let has = report.models.iter().find(|it| it.0 == model).map(|it| it.1);
    if let Some(has) = has {
        gateway.fleet().record_weight_version(&id, &model, has);
    }
    if let Some(has) = has.filter(|it| *it >= version) {
        let mut rollout = gateway.rollout();
        rollout.loading.retain(|it| *it != id);
        rollout.loaded.retain(|it| it.0 != id);
        rollout.loaded.push((id.clone(), model.clone(), has));
    }
    if State::from_report(&report, &model, version) != State::Outdated {
        return (id, Reached::Seen);
    }
    let Some(fence) = lease.fencing_token(gateway.now()) else { return (id, Reached::Refused) };
    let order = Order {
        model: model.as_str(),
        version,
        holder: gateway.host_config.host.as_str(),
        fence,
        expected_orders: report.orders,
    };
    let body = gateway.codec.order_body(&order);
    let request = call(gateway, &entry, Method::POST, D::ORDER_PATH, body);
    let answer = connection.call(request, CALL_TIMEOUT, ANSWER_BYTES).await;
    let status = answer.as_ref().ok().map(|it| gateway.codec.order_status(it.status()));
    log::info!(upstream = id.as_str(), model = model.as_str(), version = version, fence = fence,
        orders = report.orders, verdict = format!("{status:?}").as_str(); "weights are ordered");
    match status {
        Some(OrderStatus::Taken | OrderStatus::Holds) => (id, Reached::Ordered),
        _ => (id, Reached::Refused),
    }
}

async fn report<D>(
    gateway: &Gateway<D>,
    connection: &mut Connection,
    entry: &Entry,
) -> Option<Report>
where
    D: Codec,
{
    let request = call(gateway, entry, Method::GET, D::REPORT_PATH, Bytes::new());
    let answer = connection.call(request, CALL_TIMEOUT, ANSWER_BYTES).await.ok()?;
    if !answer.status().is_success() {
        log::info!(upstream = entry.id.as_str(), status = answer.status().as_u16();
            "report is refused");
        return None;
    }
    match gateway.codec.parse_report(answer.body()) {
        Ok(report) => Some(report),
        Err(err) => {
            log::warn!(upstream = entry.id.as_str(), error = err.to_string().as_str();
                "report cannot be read");
            None
        }
    }
}

fn call<D>(
    gateway: &Gateway<D>,
    entry: &Entry,
    method: Method,
    path: &'static str,
    body: Bytes,
) -> Request<Full<Bytes>>
where
    D: Codec,
{
    let mut headers = HeaderMap::new();
    gateway.codec.set_upstream(&mut headers, entry.id.as_str());
    connection::build_request(entry.address, method, Uri::from_static(path), headers, body)
}
