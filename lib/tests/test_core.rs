//! The decision core: what is believed of upstreams after each event.

use std::time::Duration;

use mothvale_lib::{
    clock::Instant,
    core::{Command, Core, Event},
    fault::Fault,
    generated::wire::{Load, Weights},
    name::Host,
    settings::{Catalog, Settings},
    view::State,
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

struct Bench {
    core: Core,
    now: Instant,
    commands: Vec<Command>,
}

impl Bench {
    fn new() -> Self {
        let core = Core::new(&catalog(), &Host::new("host0"), &[]);
        Bench { core, now: Instant::default() + Duration::from_secs(1), commands: Vec::new() }
    }

    fn handle(&mut self, event: Event) -> &mut Self {
        self.commands = self.core.handle(self.now, event).into_vec();
        self
    }

    fn report(&mut self, boot: &str, cold: bool) -> &mut Self {
        let asked = self.now;
        self.report_asked(asked, boot, cold)
    }

    fn report_asked(&mut self, requested_at: Instant, boot: &str, cold: bool) -> &mut Self {
        let result = Ok(load(boot, cold));
        self.handle(Event::Report { index: 0, requested_at, own_in_flight: 0, result })
    }

    fn fail(&mut self) -> &mut Self {
        let requested_at = self.now;
        self.handle(Event::Report {
            index: 0,
            requested_at,
            own_in_flight: 0,
            result: Err(Fault::TIMEOUT),
        })
    }

    fn pass(&mut self, millis: u64) -> &mut Self {
        self.now = self.now + Duration::from_millis(millis);
        self
    }

    fn state(&mut self) -> State {
        let commands = self.core.handle(self.now, Event::Drain);
        let view = commands.iter().find_map(|it| match it {
            Command::Publish(view) => Some(view.clone()),
            _ => None,
        });
        view.unwrap().upstreams[0].state
    }

    fn polls(&self) -> bool {
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
fn nothing_is_known_at_first_and_a_report_is_asked_for() {
    let mut bench = Bench::new();
    assert_eq!(bench.state(), State::Unknown);
    assert!(bench.handle(Event::Tick).polls());
    assert!(!bench.handle(Event::Tick).polls(), "one report is asked for at a time");
}

#[test]
fn a_report_makes_warm_or_cold() {
    assert_eq!(Bench::new().report("a", false).state(), State::Warm);
    assert_eq!(Bench::new().report("a", true).state(), State::Cold);
}

#[test]
fn a_broken_run_makes_cold_until_a_report_that_was_asked_for_later() {
    let mut bench = Bench::new();
    bench.report("a", false).pass(100);
    let before = bench.now;
    bench.pass(10).handle(Event::RunFailed { index: 0, fault: Fault::BROKEN });
    assert!(bench.polls(), "the doubt is settled at once");
    assert_eq!(bench.state(), State::Cold);
    assert_eq!(bench.pass(10).report_asked(before, "a", false).state(), State::Cold);
    assert_eq!(bench.pass(10).report("a", false).state(), State::Warm);
}

#[test]
fn another_boot_id_makes_cold_at_once() {
    let mut bench = Bench::new();
    bench.report("a", false).pass(100);
    bench.handle(Event::BootSeen { index: 0, boot_id: "a".into() });
    assert_eq!(bench.state(), State::Warm);
    bench.handle(Event::BootSeen { index: 0, boot_id: "b".into() });
    assert_eq!(bench.state(), State::Cold);
}

#[test]
fn an_upstream_that_cannot_be_reached_is_down_until_it_reports() {
    let mut bench = Bench::new();
    bench.report("a", false).pass(100);
    bench.handle(Event::RunFailed { index: 0, fault: Fault::CONNECT });
    assert_eq!(bench.state(), State::Down);
    assert_eq!(bench.pass(10).report("a", false).state(), State::Warm);
}

#[test]
fn lost_reports_make_unknown_then_down() {
    let mut bench = Bench::new();
    assert_eq!(bench.report("a", false).pass(100).fail().state(), State::Unknown);
    assert_eq!(bench.pass(100).fail().state(), State::Down);
}

#[test]
fn a_report_that_grew_old_is_not_believed() {
    let mut bench = Bench::new();
    bench.report("a", false).pass(60_000);
    assert_eq!(bench.handle(Event::Tick).state(), State::Unknown);
}

#[test]
fn a_suspended_upstream_comes_back_after_a_time_or_a_restart() {
    for (boot, wait) in [("a", 61_000), ("b", 100)] {
        let mut bench = Bench::new();
        bench.report("a", false).pass(100).handle(Event::ForeignFrame { index: 0 });
        assert_eq!(bench.pass(10).report("a", false).state(), State::Suspended);
        assert_eq!(bench.pass(wait).report(boot, false).state(), State::Warm);
    }
}

#[test]
fn a_host_probes_few_others_and_tells_which_answer() {
    let others: Vec<_> = (1..350).map(|it| Host::new(format!("host{it}"))).collect();
    let mut core = Core::new(&catalog(), &Host::new("host0"), &others);
    let commands = core.handle(Instant::default(), Event::Tick);
    let probed: Vec<_> = commands
        .iter()
        .filter_map(|it| match it {
            Command::Probe(host) => Some(host.clone()),
            _ => None,
        })
        .collect();
    assert_eq!(probed.len(), 3);
    for _ in 0..3 {
        core.handle(Instant::default(), Event::Probed { host: probed[0].clone(), alive: false });
    }
    assert!(!core.probed_hosts()[&probed[0]] && core.probed_hosts()[&probed[1]]);
    core.handle(Instant::default(), Event::Probed { host: probed[0].clone(), alive: true });
    assert!(core.probed_hosts()[&probed[0]]);
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
            let mut core = Core::new(&catalog, me, &others);
            let commands = core.handle(Instant::default(), Event::Drain);
            let Some(Command::Publish(view)) = commands.last() else { panic!("no view") };
            view.upstreams[0].cold_share
        });
        prop_assert_eq!(shares.sum::<u32>(), limit);
    }

    #[test]
    fn only_a_report_asked_for_after_the_last_doubt_makes_warm(
        events in prop::collection::vec((0u8..6, 0u64..400), 1..60),
    ) {
        let mut bench = Bench::new();
        let mut doubted = Instant::default();
        let mut before_doubt = Instant::default();
        let mut warm_allowed = false;
        for (kind, millis) in events {
            let last = bench.now;
            bench.pass(millis + 1);
            match kind {
                0 => {
                    bench.report("a", false);
                    warm_allowed = true;
                }
                1 => {
                    // A report that was on its way when the doubt came proves nothing.
                    let asked = before_doubt;
                    bench.report_asked(asked, "a", false);
                    warm_allowed = doubted == Instant::default();
                }
                2 => {
                    bench.handle(Event::RunFailed { index: 0, fault: Fault::BROKEN });
                    (before_doubt, doubted, warm_allowed) = (last, bench.now, false);
                }
                3 => {
                    bench.fail();
                    (before_doubt, doubted, warm_allowed) = (last, bench.now, false);
                }
                4 => {
                    bench.handle(Event::BootSeen { index: 0, boot_id: "b".into() });
                    if bench.state() == State::Cold {
                        (before_doubt, doubted, warm_allowed) = (last, bench.now, false);
                    }
                }
                _ => {
                    bench.handle(Event::Tick);
                }
            }
            prop_assert!(warm_allowed || bench.state() != State::Warm);
        }
    }
}
