//! State machine that tracks the health of upstreams and of other hosts. Does no I/O: it takes
//! events with the current time and returns commands.

use std::collections::HashMap;

use crate::{
    fault::{Delivery, Fault},
    generated::wire::Load,
    prelude::*,
    settings::Catalog,
    share,
    view::{LoadReport, State, UpstreamView, View},
};

/// Size of one load report with its request, both directions together.
const REPORT_BYTES: u64 = 512;
/// Bandwidth that load reports may use on one host.
const REPORT_BYTES_PER_SECOND: u64 = 4096;
/// Shortest period of the requests for the load report of one upstream.
const REPORT_PERIOD_MIN: Duration = Duration::from_millis(250);
/// Number of consecutive failed reports after which an upstream counts as down.
const REPORT_FAILURES_DOWN: u32 = 2;
/// Number of report periods after which a report is too old to rely on.
const STALE_PERIODS: u32 = 5;
/// How long an upstream that sent frames of another run gets no requests, unless it restarts
/// earlier.
const SUSPENSION: Duration = Duration::from_secs(60);
/// Number of other hosts that one host probes; it does not grow with the number of hosts.
const PROBED_HOSTS: usize = 3;
/// Time between two probes of one host.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Number of consecutive failed probes after which a host counts as down.
const PROBE_FAILURES_DOWN: u32 = 3;

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A request for a load report has ended.
    Report {
        /// The upstream's index.
        index: usize,
        /// When the report was requested.
        requested_at: Instant,
        /// Requests from this host that are in flight now.
        own_in_flight: u32,
        /// The report, or why there is none.
        result: Result<Load, Fault>,
    },
    /// A response showed the id of an upstream's current process.
    BootSeen {
        /// The upstream's index.
        index: usize,
        /// The id of the process.
        boot_id: FastStr,
    },
    /// A run failed.
    RunFailed {
        /// The upstream's index.
        index: usize,
        /// How it failed.
        fault: Fault,
    },
    /// An upstream sent a frame of another run.
    ForeignFrame {
        /// The upstream's index.
        index: usize,
    },
    /// A probe of another host has ended.
    Probed {
        /// The other host.
        host: Host,
        /// Whether the host answered and is not shutting down.
        alive: bool,
    },
    /// This host shuts down.
    Drain,
}

/// An action for the caller to perform.
#[derive(Clone, Debug)]
pub enum Command {
    /// Request the load report of the upstream with this index.
    Poll(usize),
    /// Probe another host.
    Probe(Host),
    /// Publish a new view to the traffic threads.
    Publish(Arc<View>),
}

/// The commands that one event causes.
pub type Commands = SmallVec<[Command; 4]>;

/// The state of polling one upstream for its load reports.
#[derive(Clone, Debug, Default)]
struct PollState {
    next_poll: Instant,
    /// Whether a request for a report is in flight.
    polling: bool,
    /// Consecutive failed reports.
    failures: u32,
    /// Reports requested before this time do not show that the upstream is warm.
    valid_from: Instant,
    /// A suspension ends at this time, or earlier when the upstream restarts.
    suspended_until: Instant,
}

/// Another host that this one probes.
#[derive(Clone, Debug)]
struct ProbedHost {
    host: Host,
    next_probe: Instant,
    /// Consecutive failed probes.
    failures: u32,
}

/// Tracks the health of upstreams and of other hosts.
#[derive(Debug)]
pub struct HealthTracker {
    view: View,
    poll_states: Vec<PollState>,
    probed_hosts: Vec<ProbedHost>,
    /// Period of the requests for the load report of one upstream. After a failed run, a report is
    /// requested at once.
    period: Duration,
    /// Whether the view has changed since it was last published.
    changed: bool,
}

impl HealthTracker {
    /// Creates the tracker of host `me`. `others` are all other hosts in the settings. All hosts
    /// must be configured with the same set of hosts, because the limits of cold upstreams are
    /// split over it.
    pub fn new(catalog: &Catalog, me: &Host, others: &[Host]) -> Self {
        let hosts: Vec<_> = others.iter().chain([me]).cloned().collect();
        let upstreams = catalog.upstreams.iter().map(|entry| {
            Arc::new(UpstreamView {
                entry: entry.clone(),
                state: State::Unknown,
                report: LoadReport::default(),
                boot_id: FastStr::default(),
                confirmed_models: SmallVec::new(),
                cold_share: share::host_share(entry.cold_limit, entry.name.as_str(), me, &hosts),
            })
        });
        let upstreams: Vec<_> = upstreams.collect();
        let bytes = upstreams.len() as u64 * REPORT_BYTES;
        // The period at which the reports of all upstreams together fit into the bandwidth.
        let bandwidth_period = Duration::from_millis(bytes * 1000 / REPORT_BYTES_PER_SECOND);
        HealthTracker {
            poll_states: vec![PollState::default(); upstreams.len()],
            probed_hosts: choose_probed_hosts(me, others),
            view: View { version: 0, upstreams, draining: false },
            period: bandwidth_period.max(REPORT_PERIOD_MIN),
            changed: true,
        }
    }

    /// Processes an event and returns the commands that follow from it.
    pub fn handle(&mut self, now: Instant, event: Event) -> Commands {
        let mut commands = Commands::new();
        match event {
            Event::Tick => self.tick(now, &mut commands),
            Event::Report { index, requested_at, own_in_flight, result } => {
                self.poll_states[index].polling = false;
                match result {
                    Ok(load) => self.handle_report(now, index, requested_at, own_in_flight, &load),
                    Err(_) => self.handle_report_failure(now, index),
                }
            }
            Event::BootSeen { index, boot_id } => {
                self.handle_boot_seen(now, index, boot_id, &mut commands)
            }
            Event::RunFailed { index, fault } => {
                self.handle_run_failure(now, index, fault, &mut commands)
            }
            Event::ForeignFrame { index } => {
                self.poll_states[index].suspended_until = now + SUSPENSION;
                self.set_state(index, State::Suspended);
            }
            Event::Probed { host, alive } => self.handle_probe(&host, alive),
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

    /// Returns the hosts that this one probes, and whether each of them responds.
    pub fn probed_hosts(&self) -> HashMap<Host, bool> {
        let alive = |it: &ProbedHost| (it.host.clone(), it.failures < PROBE_FAILURES_DOWN);
        self.probed_hosts.iter().map(alive).collect()
    }

    /// Requests the load reports and probes that are due, and stops relying on old reports.
    fn tick(&mut self, now: Instant, commands: &mut Commands) {
        for index in 0..self.poll_states.len() {
            if !self.poll_states[index].polling && self.poll_states[index].next_poll <= now {
                self.request_report(now, index, commands);
            }
            let report = self.view.upstreams[index].report;
            let stale = now.since(report.requested_at) > self.period * STALE_PERIODS;
            if stale && self.view.upstreams[index].state == State::Warm {
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

    fn request_report(&mut self, now: Instant, index: usize, commands: &mut Commands) {
        let poll_state = &mut self.poll_states[index];
        poll_state.polling = true;
        poll_state.next_poll = now + self.period;
        commands.push(Command::Poll(index));
    }

    /// Updates an upstream from its load report.
    fn handle_report(
        &mut self,
        now: Instant,
        index: usize,
        requested_at: Instant,
        own_in_flight: u32,
        load: &Load,
    ) {
        let poll_state = &mut self.poll_states[index];
        poll_state.failures = 0;
        let current = &self.view.upstreams[index];
        let restarted = !current.boot_id.is_empty() && current.boot_id != load.boot;
        if restarted {
            poll_state.suspended_until = Instant::default();
        }
        let suspended = poll_state.suspended_until > now;
        let outdated = requested_at < poll_state.valid_from;
        let confirmed = load.models.iter().map(|it| Model::new(it.model.clone()));
        let mut next = UpstreamView {
            report: LoadReport {
                requested_at,
                running: load.running,
                waiting: load.waiting,
                slots: load.slots,
                own_in_flight,
            },
            boot_id: FastStr::new(&load.boot),
            confirmed_models: confirmed.collect(),
            ..UpstreamView::clone(current)
        };
        next.state = match () {
            () if suspended => State::Suspended,
            () if load.cold || outdated => State::Cold,
            () => State::Warm,
        };
        if next.state != current.state {
            log_state(&next);
        }
        self.view.upstreams[index] = Arc::new(next);
        self.changed = true;
    }

    fn handle_report_failure(&mut self, now: Instant, index: usize) {
        let poll_state = &mut self.poll_states[index];
        poll_state.failures += 1;
        poll_state.valid_from = now;
        let down = poll_state.failures >= REPORT_FAILURES_DOWN;
        self.set_state(index, if down { State::Down } else { State::Unknown });
    }

    /// Handles the boot id of a response: an id other than the known one means a restart.
    fn handle_boot_seen(
        &mut self,
        now: Instant,
        index: usize,
        boot_id: FastStr,
        commands: &mut Commands,
    ) {
        let current = &self.view.upstreams[index];
        if boot_id.is_empty() || current.boot_id.is_empty() || current.boot_id == boot_id {
            return;
        }
        self.distrust_earlier_reports(now, index, commands);
    }

    /// Handles a failed run: an upstream that could not be reached is down, any other is treated as
    /// cold until it reports again.
    fn handle_run_failure(
        &mut self,
        now: Instant,
        index: usize,
        fault: Fault,
        commands: &mut Commands,
    ) {
        if fault.delivery == Delivery::NotSent {
            self.poll_states[index].valid_from = now;
            self.set_state(index, State::Down);
            if !self.poll_states[index].polling {
                self.request_report(now, index, commands);
            }
        } else {
            self.distrust_earlier_reports(now, index, commands);
        }
    }

    /// Treats a warm upstream as cold until a report arrives that is requested from now on.
    fn distrust_earlier_reports(&mut self, now: Instant, index: usize, commands: &mut Commands) {
        self.poll_states[index].valid_from = now;
        if self.view.upstreams[index].state == State::Warm {
            self.set_state(index, State::Cold);
        }
        if !self.poll_states[index].polling {
            self.request_report(now, index, commands);
        }
    }

    fn handle_probe(&mut self, host: &Host, alive: bool) {
        for it in self.probed_hosts.iter_mut().filter(|it| it.host == *host) {
            it.failures = if alive { 0 } else { it.failures.saturating_add(1) };
            if it.failures == PROBE_FAILURES_DOWN {
                log::warn!(peer = it.host.as_str(); "host counts as down after failed probes");
            }
        }
    }

    /// Sets the state of an upstream, and logs it if it changed.
    fn set_state(&mut self, index: usize, state: State) {
        let current = &self.view.upstreams[index];
        if current.state == state {
            return;
        }
        let next = UpstreamView { state, ..UpstreamView::clone(current) };
        log_state(&next);
        self.view.upstreams[index] = Arc::new(next);
        self.changed = true;
    }
}

fn log_state(upstream: &UpstreamView) {
    log::info!(upstream = upstream.entry.name.as_str(), state = upstream.state.name();
        "upstream changed state");
}

/// Returns the hosts that `me` probes: those that follow it in the order of names, wrapping around
/// at the end.
fn choose_probed_hosts(me: &Host, others: &[Host]) -> Vec<ProbedHost> {
    let mut ring: Vec<_> = others.to_vec();
    ring.sort();
    let start = ring.partition_point(|it| it < me);
    let following = ring.iter().cycle().skip(start).take(ring.len().min(PROBED_HOSTS));
    let probed_host = |host: &Host| ProbedHost {
        host: host.clone(),
        next_probe: Instant::default(),
        failures: 0,
    };
    following.map(probed_host).collect()
}
