//! Tests of the health tracker: the state of upstreams after each event, and the probes of hosts.

use std::{sync::Arc, time::Duration};

use mothvale_lib::{
    clock::Instant,
    fault::Fault,
    generated::wire::{Load, Weights},
    health_tracker::{Command, Event, HealthTracker},
    inflight::Counters,
    name::{Host, Model, Zone},
    settings::{Catalog, Settings},
    upstream_choice::{Query, pick},
    view::{State, View},
};
use proptest::prelude::*;

const SETTINGS: &str = r#"
host: {name: host0, zone: hobart}
listen: {public: "127.0.0.1:1", admin: "127.0.0.1:2"}
table: {address: "127.0.0.1:3"}
models: [{name: demo}]
classes: [{name: paid, priority: 1}]
workspaces: []
upstreams:
- {name: engine0, zone: hobart, address: "127.0.0.1:4", models: [demo], cold_limit: 5}
"#;

/// A tracker with one upstream, and a clock that the test advances.
struct Harness {
    tracker: HealthTracker,
    now: Instant,
    /// The commands of the last event.
    commands: Vec<Command>,
}

impl Harness {
    fn new() -> Self {
        let tracker = HealthTracker::new(&catalog(), &Host::new("host0"), &[]);
        Harness { tracker, now: Instant::default() + Duration::from_secs(1), commands: Vec::new() }
    }

    fn handle(&mut self, event: Event) -> &mut Self {
        self.commands = self.tracker.handle(self.now, event).into_vec();
        self
    }

    fn report(&mut self, boot: &str, cold: bool) -> &mut Self {
        let requested_at = self.now;
        self.report_requested_at(requested_at, boot, cold)
    }

    fn report_requested_at(&mut self, requested_at: Instant, boot: &str, cold: bool) -> &mut Self {
        let result = Ok(load(boot, cold));
        self.handle(Event::Report { index: 0, requested_at, own_in_flight: 0, result })
    }

    fn fail_report(&mut self) -> &mut Self {
        let requested_at = self.now;
        self.handle(Event::Report {
            index: 0,
            requested_at,
            own_in_flight: 0,
            result: Err(Fault::TIMEOUT),
        })
    }

    fn advance(&mut self, millis: u64) -> &mut Self {
        self.now = self.now + Duration::from_millis(millis);
        self
    }

    /// Returns the upstream's state. The event `Drain` always publishes a view, and does not change
    /// the state.
    fn state(&mut self) -> State {
        let commands = self.tracker.handle(self.now, Event::Drain);
        let view = commands.iter().find_map(|it| match it {
            Command::Publish(view) => Some(view.clone()),
            _ => None,
        });
        view.unwrap().upstreams[0].state
    }

    fn requests_report(&self) -> bool {
        self.commands.iter().any(|it| matches!(it, Command::Poll(0)))
    }
}

fn catalog() -> std::sync::Arc<Catalog> {
    Settings::parse("test.yaml", SETTINGS).unwrap().catalog
}

fn load(boot: &str, cold: bool) -> Load {
    Load {
        boot: boot.into(),
        cold,
        running: 0,
        waiting: 0,
        slots: 8,
        cached_pieces: 0,
        event_seq: 0,
        models: vec![Weights { model: "demo".into(), version: "v1".into() }],
    }
}

#[test]
fn upstream_starts_unknown_and_a_report_is_requested() {
    let mut harness = Harness::new();
    assert_eq!(harness.state(), State::Unknown);
    assert!(harness.handle(Event::Tick).requests_report());
    assert!(!harness.handle(Event::Tick).requests_report(), "one report is requested at a time");
}

#[test]
fn a_report_sets_warm_or_cold() {
    assert_eq!(Harness::new().report("a", false).state(), State::Warm);
    assert_eq!(Harness::new().report("a", true).state(), State::Cold);
}

#[test]
fn an_upstream_is_cold_after_a_failed_run_until_a_later_report() {
    let mut harness = Harness::new();
    harness.report("a", false).advance(100);
    let before = harness.now;
    harness.advance(10).handle(Event::RunFailed { index: 0, fault: Fault::BROKEN });
    assert!(harness.requests_report(), "a new report is requested at once");
    assert_eq!(harness.state(), State::Cold);
    assert_eq!(harness.advance(10).report_requested_at(before, "a", false).state(), State::Cold);
    assert_eq!(harness.advance(10).report("a", false).state(), State::Warm);
}

#[test]
fn an_upstream_with_another_boot_id_is_cold_at_once() {
    let mut harness = Harness::new();
    harness.report("a", false).advance(100);
    harness.handle(Event::BootSeen { index: 0, boot_id: "a".into() });
    assert_eq!(harness.state(), State::Warm);
    harness.handle(Event::BootSeen { index: 0, boot_id: "b".into() });
    assert_eq!(harness.state(), State::Cold);
}

#[test]
fn an_upstream_that_cannot_be_reached_is_down_until_it_reports() {
    let mut harness = Harness::new();
    harness.report("a", false).advance(100);
    harness.handle(Event::RunFailed { index: 0, fault: Fault::CONNECT });
    assert_eq!(harness.state(), State::Down);
    assert_eq!(harness.advance(10).report("a", false).state(), State::Warm);
}

#[test]
fn failed_reports_make_an_upstream_unknown_then_down() {
    let mut harness = Harness::new();
    assert_eq!(harness.report("a", false).advance(100).fail_report().state(), State::Unknown);
    assert_eq!(harness.advance(100).fail_report().state(), State::Down);
}

#[test]
fn an_upstream_with_a_stale_report_is_unknown() {
    let mut harness = Harness::new();
    harness.report("a", false).advance(60_000);
    assert_eq!(harness.handle(Event::Tick).state(), State::Unknown);
}

#[test]
fn a_suspended_upstream_comes_back_after_a_time_or_a_restart() {
    for (boot, wait) in [("a", 61_000), ("b", 100)] {
        let mut harness = Harness::new();
        harness.report("a", false).advance(100).handle(Event::ForeignFrame { index: 0 });
        assert_eq!(harness.advance(10).report("a", false).state(), State::Suspended);
        assert_eq!(harness.advance(wait).report(boot, false).state(), State::Warm);
    }
}

#[test]
fn a_host_probes_three_others_and_reports_which_respond() {
    let others: Vec<_> = (1..350).map(|it| Host::new(format!("host{it}"))).collect();
    let mut tracker = HealthTracker::new(&catalog(), &Host::new("host0"), &others);
    let commands = tracker.handle(Instant::default(), Event::Tick);
    let probed: Vec<_> = commands
        .iter()
        .filter_map(|it| match it {
            Command::Probe(host) => Some(host.clone()),
            _ => None,
        })
        .collect();
    assert_eq!(probed.len(), 3);
    for _ in 0..3 {
        tracker.handle(Instant::default(), Event::Probed { host: probed[0].clone(), alive: false });
    }
    assert!(!tracker.probed_hosts()[&probed[0]] && tracker.probed_hosts()[&probed[1]]);
    tracker.handle(Instant::default(), Event::Probed { host: probed[0].clone(), alive: true });
    assert!(tracker.probed_hosts()[&probed[0]]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: prop::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_shares_of_all_hosts_add_up_to_the_limit(hosts in 1usize..40, limit in 0u32..60) {
        let text = SETTINGS.replace("cold_limit: 5", &format!("cold_limit: {limit}"));
        let catalog = Settings::parse("test.yaml", &text).unwrap().catalog;
        let names: Vec<_> = (0..hosts).map(|it| Host::new(format!("host{it}"))).collect();
        let shares = names.iter().map(|me| {
            let others: Vec<_> = names.iter().filter(|it| *it != me).cloned().collect();
            let mut tracker = HealthTracker::new(&catalog, me, &others);
            let commands = tracker.handle(Instant::default(), Event::Drain);
            let Some(Command::Publish(view)) = commands.last() else { panic!("no view") };
            view.upstreams[0].cold_share
        });
        prop_assert_eq!(shares.sum::<u32>(), limit);
    }

    #[test]
    fn only_a_report_requested_after_the_last_failure_sets_warm(
        events in prop::collection::vec((0u8..6, 0u64..400), 1..60),
    ) {
        let mut harness = Harness::new();
        let mut last_failure = Instant::default();
        let mut before_failure = Instant::default();
        let mut warm_allowed = false;
        for (kind, millis) in events {
            let last = harness.now;
            harness.advance(millis + 1);
            match kind {
                0 => {
                    harness.report("a", false);
                    warm_allowed = true;
                }
                1 => {
                    // A report that was requested before the failure does not show that the
                    // upstream is warm.
                    let requested_at = before_failure;
                    harness.report_requested_at(requested_at, "a", false);
                    warm_allowed = last_failure == Instant::default();
                }
                2 => {
                    harness.handle(Event::RunFailed { index: 0, fault: Fault::BROKEN });
                    (before_failure, last_failure, warm_allowed) = (last, harness.now, false);
                }
                3 => {
                    harness.fail_report();
                    (before_failure, last_failure, warm_allowed) = (last, harness.now, false);
                }
                4 => {
                    harness.handle(Event::BootSeen { index: 0, boot_id: "b".into() });
                    if harness.state() == State::Cold {
                        (before_failure, last_failure, warm_allowed) = (last, harness.now, false);
                    }
                }
                _ => {
                    harness.handle(Event::Tick);
                }
            }
            prop_assert!(warm_allowed || harness.state() != State::Warm);
        }
    }
}

const TWO_ENGINES: &str = r#"
- {name: engine1, zone: hobart, address: "127.0.0.1:5", models: [demo], cold_limit: 5}
- {name: engine2, zone: hobart, address: "127.0.0.1:6", models: [demo], cold_limit: 5}
"#;

/// Returns the view of a host after these reports: the index of each engine, and whether it answered.
fn view_after(reports: &[(usize, bool)]) -> Arc<View> {
    let settings = format!("{SETTINGS}{}", TWO_ENGINES.trim_start());
    let catalog = Settings::parse("test.yaml", &settings).unwrap().catalog;
    let mut tracker = HealthTracker::new(&catalog, &Host::new("host0"), &[]);
    let now = Instant::default() + Duration::from_secs(1);
    let mut view = None;
    let events = reports.iter().map(|(index, answered)| Event::Report {
        index: *index,
        requested_at: now,
        own_in_flight: 0,
        result: if *answered { Ok(load("a", false)) } else { Err(Fault::TIMEOUT) },
    });
    for event in std::iter::once(Event::Tick).chain(events) {
        for command in tracker.handle(now, event) {
            if let Command::Publish(published) = command {
                view = Some(published);
            }
        }
    }
    view.unwrap()
}

/// Returns the engine that a host chooses for a prompt.
fn first_choice(view: &View, prefix_key: u64) -> usize {
    let (model, zone) = (Model::new("demo"), Zone::new("hobart"));
    let query = Query { model: &model, prefix_key, prompt_tokens: 4000, tried: &[], zone: &zone };
    pick(view, &Counters::new(3), &query, Instant::default()).unwrap().index
}

proptest! {
    /// Guards against a prompt that came back at another host and found nothing in the cache: the first
    /// host was ready when one engine had answered, and ranked that one first.
    #[test]
    fn hosts_that_are_ready_rank_the_same_engine_first(
        orders in prop::array::uniform2(Just([0_usize, 1, 2]).prop_shuffle()),
        known in prop::array::uniform2(1_usize..=3),
        prefix_key in any::<u64>(),
    ) {
        let views = [0, 1].map(|host| {
            let reports: Vec<_> = orders[host][..known[host]].iter().map(|it| (*it, true)).collect();
            view_after(&reports)
        });
        if views.iter().all(|it| it.unready_reason().is_none()) {
            prop_assert_eq!(first_choice(&views[0], prefix_key), first_choice(&views[1], prefix_key));
        }
    }
}

/// An engine that does not answer keeps a host from being ready only until it counts as down; one that
/// falls silent later does not.
#[test]
fn engine_that_never_answers_does_not_keep_a_host_from_being_ready() {
    let is_ready = |reports: &[(usize, bool)]| view_after(reports).unready_reason().is_none();
    assert!(!is_ready(&[(0, true), (1, true)]));
    assert!(!is_ready(&[(0, true), (1, true), (2, false)]));
    assert!(is_ready(&[(0, true), (1, true), (2, false), (2, false)]));
    assert!(is_ready(&[(0, true), (1, true), (2, true), (2, false)]));
    let all_down = [(0, false), (0, false), (1, false), (1, false), (2, false), (2, false)];
    assert!(!is_ready(&all_down));
}
