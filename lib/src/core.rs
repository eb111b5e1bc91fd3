//! Decision core of a host: events and the time go in, commands come out, no I/O.

use std::collections::HashMap;

use crate::{
    fault::{Delivery, Fault},
    generated::wire::Load,
    prelude::*,
    settings::Catalog,
    share,
    view::{Report, State, UpstreamView, View},
};

/// Bytes of one load report with its request, both directions.
const REPORT_BYTES: u64 = 512;
/// Bytes a second that load reports may take on one host.
const REPORT_BYTES_PER_SECOND: u64 = 4096;
const REPORT_PERIOD_MIN: Duration = Duration::from_millis(250);
/// Reports that must fail in a row before an upstream counts as down.
const FAILURES_DOWN: u32 = 2;
/// Periods after which a report is too old to believe.
const STALE_PERIODS: u32 = 5;
/// How long an upstream that sent another run's frames stays out of use, unless it
/// restarts first.
const SUSPENSION: Duration = Duration::from_secs(60);
/// Other hosts that one host probes; the number does not grow with the fleet.
const PROBED_HOSTS: usize = 3;
const PROBE_PERIOD: Duration = Duration::from_secs(1);
const PROBE_FAILURES_DOWN: u32 = 3;

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A load report came, or failed to.
    Report {
        /// The upstream's index.
        index: usize,
        /// When it was asked for.
        requested_at: Instant,
        /// Requests from this host in flight now.
        own_in_flight: u32,
        /// The report.
        result: Result<Load, Fault>,
    },
    /// An answer showed the id of an upstream's current start.
    BootSeen {
        /// The upstream's index.
        index: usize,
        /// The id.
        boot_id: FastStr,
    },
    /// A run broke.
    RunFailed {
        /// The upstream's index.
        index: usize,
        /// How it broke.
        fault: Fault,
    },
    /// An upstream sent a frame of another run.
    ForeignFrame {
        /// The upstream's index.
        index: usize,
    },
    /// A probe of another host was answered, or not.
    Probed {
        /// The other host.
        host: Host,
        /// Whether it answered and is not leaving.
        alive: bool,
    },
    /// This host is to shut down.
    Drain,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Command {
    /// Ask an upstream for its load report.
    Poll(usize),
    /// Probe another host.
    Probe(Host),
    /// Let traffic use a new view.
    Publish(Arc<View>),
}

/// Commands of one event.
pub type Commands = SmallVec<[Command; 4]>;

#[derive(Clone, Debug, Default)]
struct Watch {
    next_poll: Instant,
    polling: bool,
    failures: u32,
    /// Reports asked for before this point prove nothing.
    doubted: Instant,
    suspended_until: Instant,
}

#[derive(Clone, Debug)]
struct ProbedHost {
    host: Host,
    next_probe: Instant,
    failures: u32,
}

/// The core's state.
#[derive(Debug)]
pub struct Core {
    view: View,
    watches: Vec<Watch>,
    probed_hosts: Vec<ProbedHost>,
    period: Duration,
    changed: bool,
}

impl Core {
    /// Creates the core of host `me`. `others` are all other hosts that the settings name;
    /// every host must be given the same fleet, because the shares of cold upstreams are
    /// split over it.
    pub fn new(catalog: &Catalog, me: &Host, others: &[Host]) -> Self {
        let fleet: Vec<_> = others.iter().chain([me]).cloned().collect();
        let upstreams = catalog.upstreams.iter().map(|entry| {
            Arc::new(UpstreamView {
                entry: entry.clone(),
                state: State::Unknown,
                report: Report::default(),
                boot_id: FastStr::default(),
                confirmed_models: SmallVec::new(),
                cold_share: share::host_share(entry.cold_limit, entry.name.as_str(), me, &fleet),
            })
        });
        let upstreams: Vec<_> = upstreams.collect();
        let bytes = upstreams.len() as u64 * REPORT_BYTES;
        let budgeted = Duration::from_millis(bytes * 1000 / REPORT_BYTES_PER_SECOND);
        Core {
            watches: vec![Watch::default(); upstreams.len()],
            probed_hosts: choose_probed_hosts(me, others),
            view: View { version: 0, upstreams, draining: false },
            period: budgeted.max(REPORT_PERIOD_MIN),
            changed: true,
        }
    }

    /// Takes an event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: Event) -> Commands {
        let mut commands = Commands::new();
        match event {
            Event::Tick => self.tick(now, &mut commands),
            Event::Report { index, requested_at, own_in_flight, result } => {
                self.watches[index].polling = false;
                match result {
                    Ok(load) => self.report(now, index, requested_at, own_in_flight, &load),
                    Err(_) => self.report_failed(now, index),
                }
            }
            Event::BootSeen { index, boot_id } => self.seen(now, index, boot_id, &mut commands),
            Event::RunFailed { index, fault } => self.broken(now, index, fault, &mut commands),
            Event::ForeignFrame { index } => {
                self.watches[index].suspended_until = now + SUSPENSION;
                self.set_state(index, State::Suspended);
            }
            Event::Probed { host, alive } => self.probed(&host, alive),
            Event::Drain => {
                self.view.draining = true;
                self.changed = true;
            }
        }
        if std::mem::take(&mut self.changed) {
            self.view.version += 1;
            commands.push(Command::Publish(Arc::new(self.view.clone())));
        }
        commands
    }

    /// Returns the hosts that this one probes, and whether each answers.
    pub fn probed_hosts(&self) -> HashMap<Host, bool> {
        let alive = |it: &ProbedHost| (it.host.clone(), it.failures < PROBE_FAILURES_DOWN);
        self.probed_hosts.iter().map(alive).collect()
    }

    fn tick(&mut self, now: Instant, commands: &mut Commands) {
        for index in 0..self.watches.len() {
            if !self.watches[index].polling && self.watches[index].next_poll <= now {
                self.poll(now, index, commands);
            }
            let report = self.view.upstreams[index].report;
            let old = now.since(report.requested_at) > self.period * STALE_PERIODS;
            if old && self.view.upstreams[index].state == State::Warm {
                self.set_state(index, State::Unknown);
            }
        }
        for it in &mut self.probed_hosts {
            if it.next_probe <= now {
                it.next_probe = now + PROBE_PERIOD;
                commands.push(Command::Probe(it.host.clone()));
            }
        }
    }

    fn poll(&mut self, now: Instant, index: usize, commands: &mut Commands) {
        let watch = &mut self.watches[index];
        watch.polling = true;
        watch.next_poll = now + self.period;
        commands.push(Command::Poll(index));
    }

    fn report(
        &mut self,
        now: Instant,
        index: usize,
        requested_at: Instant,
        own_in_flight: u32,
        load: &Load,
    ) {
        let watch = &mut self.watches[index];
        watch.failures = 0;
        let believed = &self.view.upstreams[index];
        let restarted = !believed.boot_id.is_empty() && believed.boot_id != load.boot;
        if restarted {
            watch.suspended_until = Instant::default();
        }
        let suspended = watch.suspended_until > now;
        let doubted = requested_at < watch.doubted;
        let confirmed = load.models.iter().map(|it| Model::new(it.model.clone()));
        let mut next = UpstreamView {
            report: Report {
                requested_at,
                running: load.running,
                waiting: load.waiting,
                slots: load.slots,
                own_in_flight,
            },
            boot_id: FastStr::new(&load.boot),
            confirmed_models: confirmed.collect(),
            ..UpstreamView::clone(believed)
        };
        next.state = match () {
            () if suspended => State::Suspended,
            () if load.cold || doubted => State::Cold,
            () => State::Warm,
        };
        if next.state != believed.state {
            log_state(&next);
        }
        self.view.upstreams[index] = Arc::new(next);
        self.changed = true;
    }

    fn report_failed(&mut self, now: Instant, index: usize) {
        let watch = &mut self.watches[index];
        watch.failures += 1;
        watch.doubted = now;
        let down = watch.failures >= FAILURES_DOWN;
        self.set_state(index, if down { State::Down } else { State::Unknown });
    }

    fn seen(&mut self, now: Instant, index: usize, boot_id: FastStr, commands: &mut Commands) {
        let believed = &self.view.upstreams[index];
        if boot_id.is_empty() || believed.boot_id.is_empty() || believed.boot_id == boot_id {
            return;
        }
        self.doubt(now, index, commands);
    }

    fn broken(&mut self, now: Instant, index: usize, fault: Fault, commands: &mut Commands) {
        if fault.delivery == Delivery::NotSent {
            self.watches[index].doubted = now;
            self.set_state(index, State::Down);
            if !self.watches[index].polling {
                self.poll(now, index, commands);
            }
        } else {
            self.doubt(now, index, commands);
        }
    }

    /// Treats an upstream as cold until a report that is asked for from now on.
    fn doubt(&mut self, now: Instant, index: usize, commands: &mut Commands) {
        self.watches[index].doubted = now;
        if self.view.upstreams[index].state == State::Warm {
            self.set_state(index, State::Cold);
        }
        if !self.watches[index].polling {
            self.poll(now, index, commands);
        }
    }

    fn probed(&mut self, host: &Host, alive: bool) {
        for it in self.probed_hosts.iter_mut().filter(|it| it.host == *host) {
            it.failures = if alive { 0 } else { it.failures.saturating_add(1) };
            if it.failures == PROBE_FAILURES_DOWN {
                log::warn!(peer = it.host.as_str(); "host does not answer");
            }
        }
    }

    fn set_state(&mut self, index: usize, state: State) {
        let believed = &self.view.upstreams[index];
        if believed.state == state {
            return;
        }
        let next = UpstreamView { state, ..UpstreamView::clone(believed) };
        log_state(&next);
        self.view.upstreams[index] = Arc::new(next);
        self.changed = true;
    }
}

fn log_state(upstream: &UpstreamView) {
    log::info!(upstream = upstream.entry.name.as_str(), state = upstream.state.name();
        "upstream changed state");
}

/// The hosts that follow `me` in the order of names, around the end.
fn choose_probed_hosts(me: &Host, others: &[Host]) -> Vec<ProbedHost> {
    let mut ring: Vec<_> = others.to_vec();
    ring.sort();
    let start = ring.partition_point(|it| it < me);
    let following = ring.iter().cycle().skip(start).take(ring.len().min(PROBED_HOSTS));
    let probed = |host: &Host| ProbedHost {
        host: host.clone(),
        next_probe: Instant::default(),
        failures: 0,
    };
    following.map(probed).collect()
}
