//! To which builds of a service requests may go while operators move the service from its old builds to a
//! new one, which may be bad.
//!
//! Load pattern: many upstreams of a build that fails, or is slow, appear beside the old ones under full
//! traffic. Each host keeps the new build's share small without asking the others: the same sessions go
//! to it at all hosts, and a count of the host's own requests bounds it also while one session brings
//! most of them.
//!
//! What is known of an order only grows: steps are numbered, and the newest one counts; "bad" and
//! "completed" stay. So messages may come late, twice or in any order. Does no I/O.

use std::collections::HashMap;

use crate::{build_evidence::Side, host_settings::Exposure, prelude::*, rendezvous};

/// Part of the allowed exposure that the new build gets in the first steps, while it may be bad. The rest is
/// a margin for what is under way when it is found to be bad.
const CAP_FRACTION: f64 = 0.85;
/// Shares below this one are capped: they serve to find out whether the build is bad.
const UNCAPPED_SHARE: f64 = 0.25;
/// Share of the new build while no step is known.
const FIRST_SHARE: f64 = 0.04;
/// The same as a part of the allowed exposure, at most.
const FIRST_FRACTION: f64 = 0.4;
/// Part of the requests that are allowed beyond the exposure share, divided among the hosts.
const SLACK_FRACTION: f64 = 0.5;
/// Exposure if the platform sets no bound.
const DEFAULT_EXPOSURE: Exposure =
    Exposure { share: 0.1, slack: 0.0, rollback: Duration::from_secs(5) };
/// How long a build stays barred at least: its upstreams may still be starting.
const BARRED_RETENTION: Duration = Duration::from_secs(60);
/// How long hosts tell each other how an order ended. Those that start later read its status.
const END_NEWS_WINDOW: Duration = Duration::from_secs(30);
/// Most builds that are kept for a service as retired or barred; beyond it, the oldest is forgotten.
const MAX_BUILDS: usize = 8;

/// How much of a service's traffic goes to the new build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Level {
    /// Part of the requests that the new build gets, in thousandths.
    pub permille: u32,
    /// Whether the old builds get nothing any more, not even what the new one has no room for, so that what
    /// is under way there can end.
    pub sealed: bool,
}

impl Level {
    /// The new build gets all requests, and the old ones what it has no room for.
    pub const FULL: Level = Level { permille: 1000, sealed: false };
    /// The old builds get nothing any more.
    pub const SEALED: Level = Level { permille: 1000, sealed: true };

    /// Creates the level at which the new build gets this part of the requests, 0 to 1.
    pub fn new(share: f64) -> Self {
        Level { permille: (share.clamp(0.0, 1.0) * 1000.0).round() as u32, sealed: false }
    }

    /// Returns the level of a service whose order was seen a moment ago.
    pub fn first(exposure: Exposure) -> Self {
        Level::new(FIRST_SHARE.min(exposure.share * FIRST_FRACTION))
    }

    /// Returns the part of the requests that the new build gets, 0 to 1.
    pub fn share(self) -> f64 {
        f64::from(self.permille) / 1000.0
    }
}

/// An operators' order to move a service to a build.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: Service,
    /// The build that its traffic moves to.
    pub to: Build,
    /// How long after the order the move should be completed.
    pub deadline: Duration,
    /// Version of the order's row, which tells orders apart.
    pub version: u64,
}

/// How far an order is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// The new build is on trial, or takes over.
    #[default]
    Running,
    /// The old builds have no traffic any more and stop.
    Completed,
    /// The new build was bad, or the order was withdrawn.
    RolledBack,
}

/// What the row store keeps of an order's progress.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// How far it is.
    pub phase: Phase,
    /// The new build.
    pub to: FastStr,
    /// Version of the order's row.
    pub order: u64,
    /// Number of the step that was reached; each step has a level.
    pub step: u32,
    /// The level of that step.
    pub level: Level,
    /// When the order was first seen, in milliseconds of the row store's clock.
    pub since_ms: u64,
    /// The host that takes the next step.
    pub holder: FastStr,
    /// Start of the holder's process, in Unix milliseconds.
    pub boot: u64,
    /// Until when no other host takes a step, in milliseconds of the row store's clock.
    pub until_ms: u64,
    /// Builds that this order, once completed, has replaced.
    pub retired: Vec<FastStr>,
    /// Builds of former orders that were not completed.
    pub barred: Vec<FastStr>,
}

/// What a host tells the others of an order's progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct News {
    /// The service.
    pub service: Service,
    /// The new build.
    pub to: Build,
    /// Version of the order's row.
    pub order: u64,
    /// Number of the step that was reached.
    pub step: u32,
    /// The level of that step.
    pub level: Level,
    /// Whether the old builds have no traffic any more.
    pub completed: bool,
    /// Whether the new build was found to be bad, or the order was withdrawn.
    pub stopped: bool,
}

/// What changed by what a host has learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// The step has risen.
    Step(u32),
    /// The new build gets nothing any more.
    Stopped,
    /// The old builds get nothing any more.
    Completed,
}

type BuildList = SmallVec<[Build; 2]>;

/// What this host knows of the order for one service, and of former ones.
#[derive(Clone, Debug)]
pub struct Progress {
    /// The order; `None` if it was withdrawn.
    pub order: Option<Order>,
    /// Number of the step that was reached, 0 for the first one.
    pub step: u32,
    /// The level of that step.
    pub level: Level,
    /// Whether the step is known from the row store or another host, and not only assumed to be the first.
    pub confirmed: bool,
    /// Whether the old builds have no traffic any more.
    pub completed: bool,
    /// Whether the new build gets nothing any more.
    pub stopped: bool,
    /// When this host first saw the order, or its withdrawal.
    pub seen_at: Instant,
    /// When this host last learned something new of it.
    pub changed_at: Instant,
    /// Builds that the completed order has replaced.
    pub retired: BuildList,
    /// New builds of former orders that were not completed.
    pub barred: BuildList,
    /// Requests to the service from this host since it saw the order.
    pub requests: u64,
    /// Requests and retries of them that were sent to the new build.
    pub exposed: u64,
    salt: u64,
}

impl Progress {
    fn new(now: Instant, level: Level) -> Self {
        Progress {
            order: None,
            step: 0,
            level,
            confirmed: false,
            completed: false,
            stopped: false,
            seen_at: now,
            changed_at: now,
            retired: SmallVec::new(),
            barred: SmallVec::new(),
            requests: 0,
            exposed: 0,
            salt: 0,
        }
    }

    /// Returns the new build while it is on trial or takes over.
    pub fn running_to(&self) -> Option<&Build> {
        let is_running = !self.completed && !self.stopped;
        self.order.as_ref().filter(|_| is_running).map(|it| &it.to)
    }

    /// Returns how far the order is.
    pub fn phase(&self) -> Phase {
        match (self.completed, self.stopped) {
            (true, _) => Phase::Completed,
            (false, true) => Phase::RolledBack,
            (false, false) => Phase::Running,
        }
    }

    /// Starts a new order. The new build of a former one that was not completed is barred.
    fn start(&mut self, now: Instant, order: Order, level: Level) {
        let former = self.order.take().filter(|_| !self.completed).map(|it| it.to);
        let mut barred = std::mem::take(&mut self.barred);
        former.into_iter().for_each(|it| add(&mut barred, it));
        barred.retain(|it| *it != order.to);
        let salt = rendezvous::hash_parts(&["build", order.service.as_str(), order.to.as_str()]);
        *self = Progress { order: Some(order), barred, salt, ..Progress::new(now, level) };
    }

    /// Returns the part of all requests that the new build gets.
    pub fn share(&self) -> f64 {
        match self.phase() {
            Phase::RolledBack => 0.0,
            Phase::Completed => 1.0,
            Phase::Running => self.level.share(),
        }
    }

    /// Returns whether one more request may be sent to the new build without more exposure than this host
    /// may cause.
    fn has_room(&self, exposure: Exposure, hosts: usize) -> bool {
        if self.level.share() >= UNCAPPED_SHARE {
            return true;
        }
        let slack = exposure.slack * SLACK_FRACTION / hosts.max(1) as f64;
        let allowed = (self.requests + 1) as f64 * exposure.share * CAP_FRACTION + slack;
        (self.exposed + 1) as f64 <= allowed
    }
}

/// Adds a build to a short list, once.
fn add(builds: &mut BuildList, build: Build) {
    if builds.contains(&build) {
        return;
    }
    if builds.len() >= MAX_BUILDS {
        builds.remove(0);
    }
    builds.push(build);
}

/// Decides to which builds one request may go.
#[derive(Clone, Copy, Debug)]
pub struct Gate<'a> {
    progress: &'a Progress,
    pinned: Option<&'a Build>,
    /// Whether the request is one of those for the new build.
    is_new: bool,
    /// Whether a build that is barred, or not known to be good, may take the request: no other lives.
    opens_up: bool,
}

impl Gate<'_> {
    /// Returns how suitable a build is, 0 for the best, or `None` if it must not get the request.
    pub fn rank(&self, build: &Build) -> Option<u8> {
        let progress = self.progress;
        let Some(order) = &progress.order else {
            return match progress.barred.contains(build) {
                true => self.opens_up.then_some(1),
                false => Some(0),
            };
        };
        let is_new = *build == order.to;
        let is_sealed = progress.level.sealed;
        match progress.phase() {
            Phase::Completed if is_new => Some(0),
            Phase::Completed if progress.retired.contains(build) => None,
            Phase::RolledBack if is_new => None,
            _ if progress.barred.contains(build) => None,
            Phase::Completed | Phase::RolledBack => Some(0),
            Phase::Running if self.pinned == Some(build) => (is_new || !is_sealed).then_some(0),
            Phase::Running if is_new && self.is_new => Some(0),
            Phase::Running if is_new => self.opens_up.then_some(1),
            Phase::Running if is_sealed => None,
            Phase::Running => Some(u8::from(self.is_new)),
        }
    }
}

/// The orders of all services, and how far they are.
#[derive(Clone, Debug)]
pub struct Shares {
    exposure: Exposure,
    by_service: HashMap<Service, Progress>,
}

impl Shares {
    /// Creates the state of a host that knows no orders.
    pub fn new(exposure: Option<Exposure>) -> Self {
        Shares { exposure: exposure.unwrap_or(DEFAULT_EXPOSURE), by_service: HashMap::new() }
    }

    /// Returns the bound on what a bad build may get.
    pub fn exposure(&self) -> Exposure {
        self.exposure
    }

    /// Returns what is known of the order for a service.
    pub fn progress(&self, service: &Service) -> Option<&Progress> {
        self.by_service.get(service)
    }

    /// Returns what is known of the orders for all services.
    pub fn all(&self) -> impl Iterator<Item = (&Service, &Progress)> {
        self.by_service.iter()
    }

    /// Sets the order for a service. Returns whether it is a new one.
    pub fn set_order(&mut self, now: Instant, order: Order) -> bool {
        let level = Level::first(self.exposure);
        let new = || Progress::new(now, level);
        let progress = self.by_service.entry(order.service.clone()).or_insert_with(new);
        let known = progress.order.as_ref();
        if known.is_some_and(|it| it.version == order.version && it.to == order.to) {
            return false;
        }
        progress.start(now, order, level);
        true
    }

    /// Withdraws the order for a service: a new build that has not taken over is barred. Returns whether
    /// there was an order.
    pub fn withdraw(&mut self, now: Instant, service: &Service) -> bool {
        let Some(progress) = self.by_service.get_mut(service) else { return false };
        let Some(order) = progress.order.take() else { return false };
        progress.seen_at = now;
        if !progress.completed {
            add(&mut progress.barred, order.to);
        }
        progress.retired.clear();
        true
    }

    /// Forgets barred builds that no upstream has, given by `is_live`, and services without an order.
    pub fn purge<F>(&mut self, now: Instant, is_live: F)
    where
        F: Fn(&Service, &Build) -> bool,
    {
        for (service, progress) in &mut self.by_service {
            if now.since(progress.seen_at) >= BARRED_RETENTION {
                progress.barred.retain(|it| is_live(service, it));
            }
        }
        self.by_service.retain(|_, it| it.order.is_some() || !it.barred.is_empty());
    }

    /// Learns what the row store keeps of a service's order. `others` are the builds of its upstreams.
    pub fn apply_status(
        &mut self,
        now: Instant,
        service: &Service,
        status: &Status,
        others: &[Build],
    ) -> Change {
        let Some(progress) = self.by_service.get_mut(service) else { return Change::None };
        let Some(order) = progress.order.clone() else { return Change::None };
        if status.order > order.version {
            // The status of a later order, which this host has still to read.
            return Change::None;
        }
        let former = status.barred.iter().cloned().map(Build::new);
        former.filter(|it| *it != order.to).for_each(|it| add(&mut progress.barred, it));
        if status.order != order.version || *status.to != *order.to.as_str() {
            let to = Build::new(status.to.clone());
            if status.phase != Phase::Completed && to != order.to {
                add(&mut progress.barred, to);
            }
            progress.confirmed = true;
            return Change::None;
        }
        for build in status.retired.iter().cloned().map(Build::new) {
            add(&mut progress.retired, build);
        }
        let news = News {
            service: service.clone(),
            to: order.to,
            order: order.version,
            step: status.step,
            level: status.level,
            completed: status.phase == Phase::Completed,
            stopped: status.phase == Phase::RolledBack,
        };
        self.apply_news(now, &news, others)
    }

    /// Learns what another host, or this one itself, knows of an order. `others` are the builds of the
    /// service's upstreams: those that are replaced when the order is completed.
    pub fn apply_news(&mut self, now: Instant, news: &News, others: &[Build]) -> Change {
        let Some(progress) = self.by_service.get_mut(&news.service) else { return Change::None };
        let Some(order) = &progress.order else { return Change::None };
        if order.version != news.order || order.to != news.to {
            return Change::None;
        }
        progress.confirmed = true;
        let to = order.to.clone();
        let (step, phase) = (progress.step, progress.phase());
        if news.step > step {
            (progress.step, progress.level) = (news.step, news.level);
        }
        progress.completed |= news.completed;
        progress.stopped |= news.stopped;
        if progress.step > step || progress.phase() != phase {
            progress.changed_at = now;
        }
        match progress.phase() {
            Phase::Completed if phase != Phase::Completed => {
                let others = others.iter().filter(|it| **it != to).cloned();
                others.for_each(|it| add(&mut progress.retired, it));
                Change::Completed
            }
            Phase::RolledBack if phase != Phase::RolledBack => Change::Stopped,
            _ if progress.step > step => Change::Step(progress.step),
            _ => Change::None,
        }
    }

    /// Returns what this host tells the others: how far running orders are, and for a while how others
    /// ended.
    pub fn news(&self, now: Instant) -> Vec<News> {
        let known = self.by_service.values().filter(|it| {
            it.confirmed
                && (it.running_to().is_some() || now.since(it.changed_at) < END_NEWS_WINDOW)
        });
        let news = |it: &Progress| {
            let order = it.order.as_ref()?;
            Some(News {
                service: order.service.clone(),
                to: order.to.clone(),
                order: order.version,
                step: it.step,
                level: it.level,
                completed: it.completed,
                stopped: it.stopped,
            })
        };
        known.filter_map(news).collect()
    }

    /// Returns to which builds a request may go, or `None` if to all. `key` is a hash of its session or,
    /// without one, of its id; `pinned` is the only build that can go on with its stream, if it has begun.
    /// `has_other` returns whether an upstream lives with another build than the given ones.
    pub fn gate<'a, F>(
        &'a self,
        service: &Service,
        key: u64,
        pinned: Option<&'a Build>,
        hosts: usize,
        has_other: F,
    ) -> Option<Gate<'a>>
    where
        F: Fn(&[Build]) -> bool,
    {
        let progress = self.by_service.get(service)?;
        let opens_up = match &progress.order {
            None => !has_other(&progress.barred),
            // This host does not know yet whether the old builds were replaced long ago.
            Some(order) if !progress.confirmed => !has_other(std::slice::from_ref(&order.to)),
            Some(_) => false,
        };
        let place = (rendezvous::mix64(key ^ progress.salt) >> 11) as f64 / (1_u64 << 53) as f64;
        let is_new = progress.running_to().is_some()
            && place < progress.share()
            && progress.has_room(self.exposure, hosts);
        Some(Gate { progress, pinned, is_new, opens_up })
    }

    /// Counts a request that is sent to a build; `is_first` is whether it is the first attempt.
    pub fn count(&mut self, service: &Service, build: &Build, is_first: bool) {
        let Some(progress) = self.by_service.get_mut(service) else { return };
        progress.requests += u64::from(is_first);
        progress.exposed += u64::from(progress.running_to() == Some(build));
    }

    /// Returns whether a build must not get anything any more that was chosen for it before.
    pub fn is_stopped(&self, service: &Service, build: &Build) -> bool {
        let Some(progress) = self.by_service.get(service) else { return false };
        let is_new = progress.order.as_ref().is_some_and(|it| it.to == *build);
        match progress.phase() {
            Phase::RolledBack => is_new,
            Phase::Completed => !is_new && progress.retired.contains(build),
            Phase::Running => false,
        }
    }

    /// Returns whether upstreams with a build bear most of a service's requests, or any part if no order
    /// divides them. The others would make the load of the service look smaller than it is.
    pub fn bears_load(&self, service: &Service, build: &Build) -> bool {
        let Some(progress) = self.by_service.get(service) else { return true };
        let Some(order) = &progress.order else { return !progress.barred.contains(build) };
        let is_new = *build == order.to;
        match progress.phase() {
            Phase::Running => is_new == (progress.level.share() >= 0.5),
            Phase::Completed => is_new || !progress.retired.contains(build),
            Phase::RolledBack => !is_new,
        }
    }

    /// Returns on which side of a running order a build is, or `None` if it is on none.
    pub fn side(&self, service: &Service, build: &Build) -> Option<Side> {
        let progress = self.by_service.get(service)?;
        let to = progress.running_to()?;
        match to == build {
            true => Some(Side::New),
            false => (!progress.barred.contains(build)).then_some(Side::Old),
        }
    }

    /// Returns whether requests to a service are divided between builds now.
    pub fn divides(&self, service: &Service) -> bool {
        self.by_service.get(service).is_some_and(|it| it.running_to().is_some())
    }
}
