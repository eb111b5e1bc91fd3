//! Moves services to other builds as operators order: takes the steps that `build_steps` decides on, and
//! writes how far the orders are.
//!
//! All hosts run this while an order is under way. Those that know the counts of all hosts may take steps.
//! The status rows are read by hosts that take part in this, by a host that does not know yet how far an
//! order is, and now and then by all, in case messages between hosts do not arrive.

use std::collections::HashMap;

use tokio::time::{sleep, timeout};

use crate::{
    build_evidence::Side,
    build_share::{Phase, Progress, Status},
    build_steps::{Action, Leaving, Situation, Steps, StoredStatus, verdict_name},
    clock::unix_millis,
    codec::Codec,
    gateway::{Gateway, lock},
    mesh::FULL_MESH_PEERS,
    prelude::*,
    row_store::{RowStore, Table, Write, WriteOutcome},
    table_sync::Replicas,
};

/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// The same while there are no orders.
const IDLE_PAUSE: Duration = Duration::from_millis(500);
/// Longest time of a call to the row store. Steps wait meanwhile, and verdicts do not.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// How often a host that may take steps reads the status rows while another host takes them.
const READ_PERIOD: Duration = Duration::from_millis(800);
/// How often other hosts read the status rows.
const SPARE_READ_PERIOD: Duration = Duration::from_secs(3);
/// How old the status rows may be when a host takes the steps over.
const FRESH_READ: Duration = Duration::from_millis(250);
/// Pause after a failed call to the row store.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Delay for each host that ranks higher, so that hosts do not compete to take the steps.
const RANK_DELAY: Duration = Duration::from_millis(100);
/// Longest delay by rank.
const MAX_RANK_DELAY: Duration = Duration::from_millis(800);
/// Name of the task by which hosts are ranked.
const TASK: &str = "builds";

/// Carries out operators' orders to move services to builds, until the process ends.
pub async fn run<C, L>(gateway: Arc<Gateway<C>>, replicas: Arc<Replicas>, row_store: L)
where
    C: Codec,
    L: RowStore,
{
    tokio::join!(judge(gateway.clone()), take_steps(gateway, replicas, row_store));
}

/// Judges the builds on trial. Apart from the calls to the row store, which may take long.
async fn judge<C>(gateway: Arc<Gateway<C>>)
where
    C: Codec,
{
    loop {
        let has_orders = gateway.fleet().build_shares.all().next().is_some();
        sleep(if has_orders { ROUND_PAUSE } else { IDLE_PAUSE }).await;
        gateway.judge_builds();
    }
}

async fn take_steps<C, L>(gateway: Arc<Gateway<C>>, replicas: Arc<Replicas>, row_store: L)
where
    C: Codec,
    L: RowStore,
{
    let mut worker = Worker {
        gateway: gateway.clone(),
        replicas: replicas.clone(),
        row_store,
        boot: unix_millis(),
        stored: HashMap::new(),
        read: None,
        retry_at: Instant::ZERO,
        era: 0,
        parts: HashMap::new(),
    };
    loop {
        tokio::select! {
            () = gateway.build_orders.notified() => {}
            _ = replicas.wait_for_later_era(worker.era) => {}
        }
        while worker.is_needed() {
            worker.run_round().await;
            sleep(ROUND_PAUSE).await;
        }
        worker.parts.clear();
    }
}

/// What a host that takes the steps of an order remembers.
struct Part {
    order: u64,
    steps: Steps,
    leaving: Leaving,
}

struct Worker<C, L> {
    gateway: Arc<Gateway<C>>,
    replicas: Arc<Replicas>,
    row_store: L,
    boot: u64,
    /// The status rows.
    stored: HashMap<Service, StoredStatus>,
    /// When the status rows were last read, and the row store's clock in the last answer with its time.
    read: Option<(Instant, Instant, Duration)>,
    retry_at: Instant,
    /// The row store's era that the status rows are of.
    era: u64,
    parts: HashMap<Service, Part>,
}

impl<C, L> Worker<C, L>
where
    C: Codec,
    L: RowStore,
{
    fn progresses(&self) -> Vec<(Service, Progress)> {
        let fleet = self.gateway.fleet();
        fleet.build_shares.all().map(|it| (it.0.clone(), it.1.clone())).collect()
    }

    /// Returns whether an order is under way, or its end is not known to be written.
    fn is_needed(&mut self) -> bool {
        let newest_era = self.replicas.newest_era();
        if newest_era > self.era {
            self.era = newest_era;
            self.stored.clear();
            self.read = None;
        }
        if self.gateway.draining.is_cancelled() {
            return false;
        }
        self.progresses().iter().any(|(service, it)| !self.is_settled(service, it))
    }

    fn is_settled(&self, service: &Service, progress: &Progress) -> bool {
        let stored = self.stored.get(service);
        let Some(order) = &progress.order else {
            let status = stored.map(|it| it.status.as_ref());
            return status.is_some_and(|it| it.is_none_or(|it| it.phase != Phase::Running));
        };
        let phase = progress.phase();
        if phase == Phase::Running || !progress.confirmed {
            return false;
        }
        let status = stored.and_then(|it| it.status.as_ref());
        status.is_some_and(|it| it.order == order.version && it.phase == phase)
    }

    /// Returns whether this host knows the counts of all hosts and may take steps.
    fn may_take_steps(&self) -> bool {
        let hosts = self.gateway.fleet().host_count();
        hosts <= FULL_MESH_PEERS + 1 || !self.replicas.is_delegated(self.gateway.now())
    }

    fn rank_delay(&self) -> Duration {
        let ahead = self.gateway.fleet().hosts_ranked_before(TASK);
        RANK_DELAY.saturating_mul(u32::try_from(ahead).unwrap_or(u32::MAX)).min(MAX_RANK_DELAY)
    }

    async fn run_round(&mut self) {
        let now = self.gateway.now();
        if now < self.retry_at {
            return;
        }
        let may_take_steps = self.may_take_steps();
        let rank_delay = self.rank_delay();
        let progresses = self.progresses();
        let is_holder = progresses.iter().all(|(service, _)| self.is_own(service));
        let age = self.read.map(|it| now.since(it.0));
        let period = match may_take_steps {
            true if is_holder => Duration::MAX,
            true => READ_PERIOD + rank_delay,
            false => SPARE_READ_PERIOD,
        };
        let is_unknown = progresses.iter().any(|it| !self.stored.contains_key(&it.0));
        if (is_unknown || age.is_none_or(|it| it >= period)) && !self.read_status().await {
            return;
        }
        if !may_take_steps {
            return;
        }
        for (service, progress) in progresses {
            self.take_step(&service, &progress, rank_delay).await;
        }
    }

    fn is_own(&self, service: &Service) -> bool {
        let host = self.gateway.host_settings.host.as_str();
        let status = self.stored.get(service).and_then(|it| it.status.as_ref());
        status.is_some_and(|it| it.holder == host && it.boot == self.boot)
    }

    /// Reads the status rows. Returns whether they could be read.
    async fn read_status(&mut self) -> bool {
        let requested_at = self.gateway.now();
        let page = match timeout(CALL_TIMEOUT, self.row_store.read_table(Table::Status)).await {
            Ok(Ok(page)) if page.era >= self.replicas.newest_era() => page,
            Ok(Ok(page)) => {
                log::info!(era = page.era, newest = self.replicas.newest_era();
                    "status rows of a former era of the row store are not used");
                self.retry_at = self.gateway.now() + RETRY_DELAY;
                return false;
            }
            Ok(Err(err)) => {
                log::warn!(error = err.to_string().as_str(); "status rows cannot be read");
                self.retry_at = self.gateway.now() + RETRY_DELAY;
                return false;
            }
            Err(_) => {
                log::warn!("status rows cannot be read in time");
                self.retry_at = self.gateway.now() + RETRY_DELAY;
                return false;
            }
        };
        self.read = Some((requested_at, self.gateway.now(), page.clock));
        self.stored.clear();
        for row in &page.rows {
            let Some(value) = &row.value else { continue };
            let status = match self.gateway.codec.parse_status_row(&row.key, value) {
                Ok(Some((service, status))) => (service, Some(status)),
                Ok(None) => continue,
                Err(err) => {
                    log::warn!(row = row.key.as_str(), error = err.to_string().as_str();
                        "status row cannot be parsed");
                    let services = self.progresses().into_iter().map(|it| it.0);
                    let of_key = |it: &Service| self.gateway.codec.status_key(it) == row.key;
                    let Some(service) = services.into_iter().find(of_key) else { continue };
                    (service, None)
                }
            };
            let (service, status) = status;
            if let Some(status) = &status {
                self.gateway.apply_build_status(&service, status);
            }
            self.stored.insert(service, StoredStatus { version: row.version, status });
        }
        for (service, _) in self.progresses() {
            let missing = StoredStatus { version: 0, status: None };
            self.stored.entry(service).or_insert(missing);
        }
        true
    }

    /// Returns the row store's clock, by the last answer and the time since.
    fn clock(&self) -> Duration {
        self.read.map_or(Duration::ZERO, |(_, at, clock)| clock + self.gateway.now().since(at))
    }

    async fn take_step(&mut self, service: &Service, progress: &Progress, rank_delay: Duration) {
        let Some(stored) = self.stored.get(service).cloned() else { return };
        let now = self.gateway.now();
        let Some(order) = &progress.order else {
            // A withdrawn order: the new build has been stopped by all hosts that know of it.
            if let Some(status) = stored.status.filter(|it| it.phase == Phase::Running)
                && now.since(progress.seen_at) >= rank_delay
            {
                let status = Status { phase: Phase::RolledBack, ..status };
                self.write(service, status, stored.version, "withdrawn").await;
            }
            return;
        };
        if now.since(progress.changed_at) < rank_delay && !self.is_own(service) {
            return;
        }
        let host = self.gateway.host_settings.host.clone();
        let exposure = self.gateway.fleet().build_shares.exposure();
        let part = self.parts.entry(service.clone()).or_insert_with(|| Part {
            order: order.version,
            steps: Steps::new(&host, self.boot, exposure),
            leaving: Leaving::default(),
        });
        if part.order != order.version {
            let (steps, leaving) = (Steps::new(&host, self.boot, exposure), Leaving::default());
            *part = Part { order: order.version, steps, leaving };
        }
        let (hosts, upstreams, builds) = {
            let fleet = self.gateway.fleet();
            let upstreams = fleet.count_builds(now, service, &order.to);
            (fleet.hosts().to_vec(), upstreams, fleet.builds_of(service))
        };
        let old_builds: Vec<_> = builds.into_iter().filter(|it| *it != order.to).collect();
        let clock = self.read.map_or(Duration::ZERO, |it| it.2 + now.since(it.1));
        let (action, evidence) = {
            let trials = lock(&self.gateway.build_trials);
            let Some(trial) = trials.get(service) else { return };
            let has_left_old = progress.level.sealed
                && part.leaving.observe(now, progress.step, &hosts, |it| trial.report(it));
            let (old, new) = (trial.pool.totals(Side::Old), trial.pool.totals(Side::New));
            let situation = Situation {
                now,
                clock,
                progress,
                stored: &stored,
                old_builds: &old_builds,
                upstreams,
                has_left_old,
                answers: (old.0 + new.0, new.0),
            };
            let action = part.steps.next(&situation, trial.verdict, &trial.trial);
            (action, (old, new, trial.verdict, trial.trial.odds()))
        };
        let Action::Write(status) = action else { return };
        // The row may have been written since it was read.
        let is_fresh = self.read.is_some_and(|it| now.since(it.0) < FRESH_READ);
        if !self.is_own(service) && !is_fresh {
            self.read_status().await;
            return;
        }
        let former = stored.status.as_ref().filter(|it| it.order == status.order);
        let is_step = former.is_none_or(|it| (it.step, it.phase) != (status.step, status.phase));
        if is_step {
            let (old, new, verdict, odds) = evidence;
            log::info!(service = service.as_str(), build = order.to.as_str(),
                phase = format!("{:?}", status.phase).as_str(), step = status.step,
                permille = status.level.permille, sealed = status.level.sealed,
                verdict = verdict_name(verdict), odds = odds, old_answers = old.0,
                old_bad = old.1, new_answers = new.0, new_bad = new.1,
                age_ms = self.clock().saturating_sub(Duration::from_millis(status.since_ms))
                    .as_millis() as u64;
                "step of a service's move to a build");
        }
        self.write(service, status, stored.version, "step").await;
    }

    async fn write(
        &mut self,
        service: &Service,
        status: Status,
        expected_version: u64,
        reason: &str,
    ) {
        let write = Write {
            table: Table::Status,
            key: self.gateway.codec.status_key(service),
            value: Some(self.gateway.codec.status_row(&status)),
            expected_version: Some(expected_version),
        };
        match timeout(CALL_TIMEOUT, self.row_store.write(write)).await {
            Ok(Ok(WriteOutcome::Committed { version, clock, era })) if era == self.era => {
                let now = self.gateway.now();
                if let Some((_, at, last)) = &mut self.read {
                    (*at, *last) = (now, clock);
                }
                self.gateway.apply_build_status(service, &status);
                let status = Some(status);
                self.stored.insert(service.clone(), StoredStatus { version, status });
            }
            // The next read shows what is there.
            Ok(Ok(WriteOutcome::Committed { .. } | WriteOutcome::Conflict)) => {
                self.stored.remove(service);
            }
            result => {
                let error = match result {
                    Ok(Err(err)) => err.to_string(),
                    _ => "no answer in time".into(),
                };
                log::warn!(service = service.as_str(), reason = reason, error = error.as_str();
                    "status row cannot be written, or its write got no response");
                self.stored.remove(service);
                self.retry_at = self.gateway.now() + RETRY_DELAY;
            }
        }
    }
}
