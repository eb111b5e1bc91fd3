//! What hosts count of a service that moves to another build, and what they tell each other of it.
//!
//! Each host counts its own answers. In a small mesh all hosts get the counts of all. In a larger one they go
//! to the leaders of the zones, and what the leaders find goes back to all hosts. Counts are absolute, so a
//! message that is lost or comes twice does no harm.

use std::collections::HashMap;

use crate::{
    build_evidence::{Count, Evidence, Pool, RouteKey, Sample, Side},
    build_share::{Change, Level, News, Order, Progress, Status},
    build_steps::Report,
    build_trial::{Reason, Trial, Verdict},
    clock::unix_millis,
    codec::Codec,
    fleet::Outcome,
    gateway::{Gateway, lock},
    generated::peer::{self, Gossip},
    prelude::*,
    rendezvous,
};

/// How often a host tells what it has counted.
const REPORT_PERIOD: Duration = Duration::from_millis(150);
/// How often a leader tells other leaders what the hosts of its zone have counted.
const ZONE_REPORT_PERIOD: Duration = Duration::from_millis(300);
/// How long a leader passes on a report.
const RELAY_WINDOW: Duration = Duration::from_secs(1);

/// The trial of one new build at this host.
#[derive(Debug)]
pub(crate) struct BuildTrial {
    order: Order,
    evidence: Evidence,
    pub(crate) pool: Pool,
    pub(crate) trial: Trial,
    pub(crate) verdict: Verdict,
    reports: HashMap<Host, HostReport>,
}

/// What a host has reported last.
#[derive(Debug)]
struct HostReport {
    report: Report,
    /// The message, if this host is to pass it on.
    message: Option<peer::BuildReport>,
}

impl BuildTrial {
    fn new(now: Instant, order: Order) -> Self {
        let first_slice = u32::try_from(unix_millis() / 1000).unwrap_or(u32::MAX);
        BuildTrial {
            order,
            evidence: Evidence::new(now, first_slice),
            pool: Pool::new(now),
            trial: Trial::new(now),
            verdict: Verdict::Undecided,
            reports: HashMap::new(),
        }
    }

    /// Returns what a host has reported last.
    pub(crate) fn report(&self, host: &Host) -> Option<Report> {
        self.reports.get(host).map(|it| it.report)
    }

    fn is_of(&self, order: u64, build: &str) -> bool {
        self.order.version == order && self.order.to.as_str() == build
    }
}

/// The trials of new builds at this host.
#[derive(Debug, Default)]
pub struct BuildTrials {
    by_service: HashMap<Service, BuildTrial>,
    /// When this host last told what it has counted.
    told_at: Option<Instant>,
}

impl BuildTrials {
    /// Returns the trial of a service's new build.
    pub(crate) fn get(&self, service: &Service) -> Option<&BuildTrial> {
        self.by_service.get(service)
    }
}

fn route_key(route: &str) -> RouteKey {
    RouteKey((rendezvous::hash_parts(&["route", route]) >> 32) as u32)
}

impl<C> Gateway<C>
where
    C: Codec,
{
    /// Begins to count for an order.
    pub(crate) fn start_build_trial(&self, now: Instant, order: &Order) {
        let mut trial = BuildTrial::new(now, order.clone());
        let share = self.fleet().build_shares.progress(&order.service).map(Progress::share);
        trial.trial.set_share(now, share.unwrap_or_default());
        lock(&self.build_trials).by_service.insert(order.service.clone(), trial);
    }

    /// Counts the outcome of an attempt if its service moves to another build.
    pub(crate) fn record_build_outcome(
        &self,
        service: &Service,
        route: &str,
        build: &Build,
        outcome: Outcome,
    ) {
        let sample = match outcome {
            Outcome::Served(latency) => Sample::Good { latency },
            Outcome::Failed | Outcome::Broken => Sample::Bad,
            // These say nothing about the build.
            Outcome::Refused
            | Outcome::Paused
            | Outcome::AddressReused
            | Outcome::Unreachable
            | Outcome::Cancelled => return,
        };
        let Some(side) = self.fleet().build_shares.side(service, build) else { return };
        let mut trials = lock(&self.build_trials);
        let Some(trial) = trials.by_service.get_mut(service) else { return };
        trial.evidence.record(self.now(), side, route_key(route), sample);
        let side = if side == Side::New { "new" } else { "old" };
        let outcome = if sample == Sample::Bad { "bad" } else { "good" };
        self.metrics.build_answers.with_label_values(&[service.as_str(), side, outcome]).inc();
    }

    /// Judges the builds on trial by what is known of all hosts. A bad one gets nothing any more from this
    /// host, and the others are told.
    pub fn judge_builds(&self) {
        let now = self.now();
        let running: Vec<_> = {
            let fleet = self.fleet();
            let running = fleet.build_shares.all().filter_map(|(service, progress)| {
                let to = progress.running_to()?;
                let old_in_flight = fleet.in_flight_beside(service, to);
                Some((service.clone(), Report { at: now, step: progress.step, old_in_flight }))
            });
            running.collect()
        };
        let me = &self.host_settings.host;
        for (service, report) in running {
            let found = {
                let mut trials = lock(&self.build_trials);
                let Some(trial) = trials.by_service.get_mut(&service) else { continue };
                let counts = trial.evidence.counts();
                trial.pool.apply(now, me, counts);
                trial.reports.insert(me.clone(), HostReport { report, message: None });
                trial.verdict = trial.trial.judge(now, &trial.pool);
                match trial.verdict {
                    Verdict::Bad(reason) => Some((trial.order.clone(), reason, report.step)),
                    Verdict::Undecided | Verdict::Good => None,
                }
            };
            if let Some((order, reason, step)) = found {
                self.stop_bad_build(&order, &reason, step);
            }
        }
    }

    fn stop_bad_build(&self, order: &Order, reason: &Reason, step: u32) {
        let configuration = self.configuration();
        let routes = configuration.iter().flat_map(|it| it.routes());
        let named = |key: RouteKey| routes.clone().find(|it| route_key(&it.name) == key);
        let route = reason.route.and_then(named).map_or("", |it| it.name.as_str());
        log::warn!(service = order.service.as_str(), build = order.to.as_str(),
            cause = reason.to_string().as_str(), route = route,
            old_answers = reason.old_answers, old_bad = reason.old_bad,
            new_answers = reason.new_answers, new_bad = reason.new_bad, step = step;
            "build is bad and gets nothing any more");
        let level = self.fleet().build_shares.progress(&order.service).map(|it| it.level);
        let news = News {
            service: order.service.clone(),
            to: order.to.clone(),
            order: order.version,
            step,
            level: level.unwrap_or(Level::new(0.0)),
            completed: false,
            stopped: true,
        };
        self.apply_build_state(&news, self.host_settings.host.as_str());
    }

    /// Learns how far an order is; `source` names who has told it, for the log.
    pub(crate) fn apply_build_state(&self, news: &News, source: &str) {
        let now = self.now();
        let change = {
            let mut fleet = self.fleet();
            let builds = fleet.builds_of(&news.service);
            fleet.build_shares.apply_news(now, news, &builds)
        };
        self.handle_build_change(&news.service, change, source);
    }

    /// Learns what the row store keeps of an order.
    pub(crate) fn apply_build_status(&self, service: &Service, status: &Status) {
        let now = self.now();
        let change = {
            let mut fleet = self.fleet();
            let builds = fleet.builds_of(service);
            fleet.build_shares.apply_status(now, service, status, &builds)
        };
        self.handle_build_change(service, change, "row store");
    }

    fn handle_build_change(&self, service: &Service, change: Change, source: &str) {
        if change == Change::None {
            return;
        }
        let Some(progress) = self.fleet().build_shares.progress(service).cloned() else { return };
        let Some(order) = &progress.order else { return };
        let share = progress.share();
        self.metrics
            .build_shares
            .with_label_values(&[service.as_str(), order.to.as_str()])
            .set(share);
        let name = match change {
            Change::None | Change::Step(_) => "step",
            Change::Stopped => "stopped",
            Change::Completed => "completed",
        };
        log::info!(service = service.as_str(), build = order.to.as_str(), change = name,
            step = progress.step, share = share, sealed = progress.level.sealed, source = source;
            "share of a build changed");
        if matches!(change, Change::Step(_))
            && let Some(trial) = lock(&self.build_trials).by_service.get_mut(service)
        {
            trial.trial.set_share(self.now(), share);
        }
    }

    /// Returns how far orders are, for other hosts.
    pub(crate) fn build_states(&self) -> Vec<peer::BuildState> {
        let news = self.fleet().build_shares.news(self.now());
        let state = |it: News| peer::BuildState {
            service: FastStr::new(it.service.as_str()),
            build: FastStr::new(it.to.as_str()),
            order: it.order,
            step: it.step,
            permille: it.level.permille,
            sealed: it.level.sealed,
            completed: it.completed,
            stopped: it.stopped,
        };
        news.into_iter().map(state).collect()
    }

    /// Returns what this host has counted, if it is time to tell it, and for the leader of a `zone` also
    /// what the hosts of the zone have counted.
    pub(crate) fn take_build_reports(&self, zone: bool) -> Vec<peer::BuildReport> {
        let now = self.now();
        let mut trials = lock(&self.build_trials);
        if trials.by_service.is_empty() {
            return Vec::new();
        }
        let period = if zone { ZONE_REPORT_PERIOD } else { REPORT_PERIOD };
        if trials.told_at.is_some_and(|it| now.since(it) < period) {
            return Vec::new();
        }
        trials.told_at = Some(now);
        let host = &self.host_settings.host;
        let mut reports = Vec::new();
        for (service, trial) in &trials.by_service {
            let Some(own) = trial.reports.get(host) else { continue };
            if now.since(own.report.at) >= RELAY_WINDOW {
                // The order is not running any more.
                continue;
            }
            reports.push(peer::BuildReport {
                host: FastStr::new(host.as_str()),
                service: FastStr::new(service.as_str()),
                build: FastStr::new(trial.order.to.as_str()),
                order: trial.order.version,
                step: own.report.step,
                old_in_flight: own.report.old_in_flight,
                counts: trial.evidence.counts().iter().map(encode_count).collect(),
            });
            let of_zone =
                trial.reports.values().filter(|it| zone && now.since(it.report.at) < RELAY_WINDOW);
            reports.extend(of_zone.filter_map(|it| it.message.clone()));
        }
        reports
    }

    /// Learns what another host tells of orders and has counted.
    pub(crate) fn apply_build_news(&self, peer: &Host, gossip: &Gossip) {
        for it in &gossip.build_states {
            let news = News {
                service: Service::new(it.service.clone()),
                to: Build::new(it.build.clone()),
                order: it.order,
                step: it.step,
                level: Level { permille: it.permille, sealed: it.sealed },
                completed: it.completed,
                stopped: it.stopped,
            };
            self.apply_build_state(&news, peer.as_str());
        }
        if gossip.build_reports.is_empty() {
            return;
        }
        let now = self.now();
        let mut trials = lock(&self.build_trials);
        for message in &gossip.build_reports {
            let Some(trial) = trials.by_service.get_mut(message.service.as_str()) else { continue };
            let host = Host::new(message.host.clone());
            if !trial.is_of(message.order, &message.build) || host == self.host_settings.host {
                continue;
            }
            trial.pool.apply(now, &host, message.counts.iter().map(decode_count).collect());
            let report =
                Report { at: now, step: message.step, old_in_flight: message.old_in_flight };
            // What comes from a leader, the other leaders have too.
            let message = (!gossip.zone).then(|| message.clone());
            trial.reports.insert(host, HostReport { report, message });
        }
    }
}

fn encode_count(count: &Count) -> peer::BuildCount {
    peer::BuildCount {
        is_new: count.side == Side::New,
        route: count.route.0,
        slice: count.slice,
        answers: count.answers,
        bad: count.bad,
        latencies: count.latencies.to_vec(),
    }
}

fn decode_count(count: &peer::BuildCount) -> Count {
    Count {
        side: if count.is_new { Side::New } else { Side::Old },
        route: RouteKey(count.route),
        slice: count.slice,
        answers: count.answers,
        bad: count.bad,
        latencies: count.latencies.iter().copied().collect(),
    }
}
