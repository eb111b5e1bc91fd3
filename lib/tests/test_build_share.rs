//! Tests of `build_share` and of the fleet's use of it: the shares of builds while a service moves from one
//! to another.

use std::collections::HashMap;

use mothvale_lib::{
    build_share::{Change, Level, News, Order, Phase, Shares, Status},
    fleet::{Choice, Denial, Fleet, Outcome, Query, UpstreamRow},
    host_settings::{Exposure, HostSettings},
    obstacle::Obstacle,
    prelude::*,
    rendezvous,
};
use mothvale_testutils::gateway::{ENGINES, at, configuration, engine, host_settings};

const EXPOSURE: Exposure = Exposure { share: 0.1, slack: 50.0, rollback: Duration::from_secs(5) };

fn service() -> Service {
    Service::new(ENGINES)
}

fn order(to: &'static str, version: u64) -> Order {
    Order { service: service(), to: Build::new(to), deadline: Duration::from_secs(12), version }
}

/// The levels of the steps of these tests.
const LEVELS: [Level; 6] = [
    Level { permille: 40, sealed: false },
    Level { permille: 80, sealed: false },
    Level { permille: 250, sealed: false },
    Level { permille: 500, sealed: false },
    Level::FULL,
    Level::SEALED,
];

fn status(to: &'static str, order: u64) -> Status {
    Status {
        phase: Phase::Running,
        to: to.into(),
        order,
        step: 0,
        level: LEVELS[0],
        since_ms: 0,
        holder: "host0".into(),
        boot: 1,
        until_ms: 0,
        retired: Vec::new(),
        barred: Vec::new(),
    }
}

fn news(to: &'static str, order: u64, step: u32) -> News {
    News {
        service: service(),
        to: Build::new(to),
        order,
        step,
        level: LEVELS[step as usize],
        completed: false,
        stopped: false,
    }
}

fn row(id: &str, build: &'static str) -> UpstreamRow {
    UpstreamRow { build: Build::new(build), ..engine(id, "hobart") }
}

/// Returns the fleet of a host among `hosts`, with four upstreams of build `v1` and four of `v2`.
fn mixed_fleet(host: &str, hosts: usize) -> Fleet {
    let settings = host_settings(host, "hobart");
    let bounds =
        mothvale_lib::host_settings::Bounds { exposure: Some(EXPOSURE), ..settings.bounds };
    let mut fleet = Fleet::new(&HostSettings { bounds, ..settings });
    let names = (0..hosts).map(|it| Host::new(format!("host{it}")));
    fleet.set_hosts(at(0), names.collect());
    for index in 0..4 {
        fleet.upsert(at(0), row(&format!("old{index}"), "v1"));
        fleet.upsert(at(0), row(&format!("new{index}"), "v2"));
    }
    fleet
}

fn query_of<'a>(
    service: &'a Service,
    model: &'a Model,
    session: u64,
    build: Option<&'a Build>,
    tried: &'a [Upstream],
) -> Query<'a> {
    Query {
        service,
        model: Some(model),
        session: Some(session),
        cached: None,
        tokens: 100,
        admitted: build.is_some() || !tried.is_empty(),
        priority: 0,
        request_hash: rendezvous::mix64(session),
        max_wait: Duration::from_secs(1),
        build,
        connected: None,
        tried,
    }
}

fn choose(
    fleet: &mut Fleet,
    now: Instant,
    session: u64,
    build: Option<&Build>,
) -> Result<Choice, Denial> {
    let (service, model) = (service(), Model::new("demo"));
    fleet.choose(now, &configuration(), &query_of(&service, &model, session, build, &[]))
}

fn serve(fleet: &mut Fleet, now: Instant, choice: &Choice) {
    let configuration = configuration();
    let outcome = Outcome::Served(Duration::from_millis(10));
    fleet.record_outcome(now, &configuration.services[&service()], choice, outcome);
}

/// Serves one request of each session and returns how many went to each build.
fn run(fleet: &mut Fleet, start_ms: u64, sessions: std::ops::Range<u64>) -> HashMap<String, u64> {
    let mut counts = HashMap::new();
    for (index, session) in sessions.enumerate() {
        let now = at(start_ms + index as u64);
        let choice = choose(fleet, now, session, None).unwrap();
        serve(fleet, now, &choice);
        *counts.entry(choice.build.to_string()).or_default() += 1;
    }
    counts
}

fn apply(fleet: &mut Fleet, news: &News) -> Change {
    let builds = fleet.builds_of(&news.service);
    fleet.build_shares.apply_news(at(0), news, &builds)
}

#[test]
fn without_an_order_all_builds_are_used_alike() {
    let mut fleet = mixed_fleet("host0", 1);
    let counts = run(&mut fleet, 0, 0..4000);
    assert!(counts["v2"] > 1600 && counts["v1"] > 1600, "{counts:?}");
}

#[test]
fn new_build_gets_a_growing_share_which_keeps_its_sessions() {
    let mut fleet = mixed_fleet("host0", 1);
    assert!(fleet.build_shares.set_order(at(0), order("v2", 5)));
    assert!(!fleet.build_shares.set_order(at(0), order("v2", 5)));
    let sessions = |fleet: &mut Fleet, start_ms| {
        let mut new = Vec::new();
        for session in 0..3000 {
            let now = at(start_ms + session);
            let choice = choose(fleet, now, session, None).unwrap();
            serve(fleet, now, &choice);
            if choice.build.as_str() == "v2" {
                new.push(session);
            }
        }
        new
    };
    let mut former = sessions(&mut fleet, 0);
    assert!((40..=140).contains(&former.len()), "{}", former.len());
    for step in 1..u32::try_from(LEVELS.len()).unwrap() {
        assert_eq!(apply(&mut fleet, &news("v2", 5, step)), Change::Step(step));
        let next = sessions(&mut fleet, u64::from(step) * 10_000);
        // The last two levels differ only for the old builds.
        assert!(next.len() > former.len() || LEVELS[step as usize].sealed);
        let kept = former.iter().filter(|it| next.contains(it)).count();
        assert_eq!(kept, former.len(), "sessions stay with the new build at step {step}");
        former = next;
    }
    assert_eq!(former.len(), 3000);
    // An earlier step, which is told late, changes nothing.
    assert_eq!(apply(&mut fleet, &news("v2", 5, 1)), Change::None);
    assert_eq!(fleet.build_shares.progress(&service()).unwrap().level, Level::SEALED);
}

#[test]
fn all_hosts_send_the_same_sessions_to_the_new_build() {
    let mut first = mixed_fleet("host0", 9);
    let mut second = mixed_fleet("host1", 9);
    for fleet in [&mut first, &mut second] {
        fleet.build_shares.set_order(at(0), order("v2", 5));
        apply(fleet, &news("v2", 5, 3));
    }
    for session in 0..500 {
        let builds = [&mut first, &mut second].map(|fleet| {
            let choice = choose(fleet, at(session), session, None).unwrap();
            serve(fleet, at(session), &choice);
            choice.build
        });
        assert_eq!(builds[0], builds[1]);
    }
}

/// One session brings nearly all requests. It would be more than the exposure allows if it were one of those
/// for the new build; no session and no number of hosts or restarts may be.
#[test]
fn exposure_holds_while_one_session_brings_the_traffic() {
    for hot in 0..60 {
        let mut exposed = 0;
        let mut total = 0;
        for host in 0..9 {
            let mut fleet = mixed_fleet(&format!("host{host}"), 9);
            fleet.build_shares.set_order(at(0), order("v2", 5));
            apply(&mut fleet, &news("v2", 5, 1));
            for index in 0..200 {
                let session = if index % 10 == 0 { index + 1000 } else { hot };
                let choice = choose(&mut fleet, at(index), session, None).unwrap();
                serve(&mut fleet, at(index), &choice);
                total += 1;
                exposed += u64::from(choice.build.as_str() == "v2");
            }
        }
        assert!(exposed as f64 <= total as f64 * EXPOSURE.share + EXPOSURE.slack, "{exposed}");
    }
}

/// Retries count as exposure too, and stay with the side of the request.
#[test]
fn retries_keep_the_side() {
    let mut fleet = mixed_fleet("host0", 1);
    fleet.build_shares.set_order(at(0), order("v2", 5));
    apply(&mut fleet, &news("v2", 5, 3));
    let (service, model) = (service(), Model::new("demo"));
    for session in 0..200 {
        let now = at(session * 10);
        let first = choose(&mut fleet, now, session, None).unwrap();
        serve(&mut fleet, now, &first);
        let tried = [first.id.clone()];
        let query = query_of(&service, &model, session, None, &tried);
        let second = fleet.choose(now, &configuration(), &query).unwrap();
        serve(&mut fleet, now, &second);
        assert_eq!(first.build, second.build);
        assert_ne!(first.id, second.id);
    }
}

/// What is meant for the new build may go to the old one, and never the other way round.
#[test]
fn only_requests_for_the_new_build_change_sides() {
    let mut fleet = mixed_fleet("host0", 1);
    fleet.build_shares.set_order(at(0), order("v2", 5));
    apply(&mut fleet, &news("v2", 5, 3));
    for index in 0..4 {
        fleet.upsert(at(0), UpstreamRow { draining: true, ..row(&format!("new{index}"), "v2") });
    }
    let counts = run(&mut fleet, 0, 0..500);
    assert_eq!(counts["v1"], 500);
    let mut fleet = mixed_fleet("host0", 1);
    fleet.build_shares.set_order(at(0), order("v2", 5));
    apply(&mut fleet, &news("v2", 5, 3));
    for index in 0..4 {
        fleet.remove(at(0), &Upstream::new(format!("old{index}")));
    }
    let mut denied = 0;
    for session in 0..500 {
        match choose(&mut fleet, at(session), session, None) {
            Ok(choice) => serve(&mut fleet, at(session), &choice),
            Err(Denial::Full(_)) => denied += 1,
            Err(err) => panic!("{err:?}"),
        }
    }
    assert!((180..320).contains(&denied), "{denied}");
}

#[test]
fn bad_build_gets_nothing_at_once() {
    let mut fleet = mixed_fleet("host0", 1);
    fleet.build_shares.set_order(at(0), order("v2", 5));
    apply(&mut fleet, &news("v2", 5, 4));
    let chosen = choose(&mut fleet, at(0), 1, None).unwrap();
    assert_eq!(chosen.build.as_str(), "v2");
    let stop = News { stopped: true, ..news("v2", 5, 4) };
    assert_eq!(apply(&mut fleet, &stop), Change::Stopped);
    assert_eq!(apply(&mut fleet, &stop), Change::None);
    assert_eq!(fleet.obstacle(at(1), &chosen, None), Some(Obstacle::Stopped));
    assert_eq!(run(&mut fleet, 10, 0..500)["v1"], 500);
    // A stream that began there does not go on there.
    let build = Build::new("v2");
    assert!(choose(&mut fleet, at(600), 1, Some(&build)).is_err());
    // Nor do the next steps start it again.
    apply(&mut fleet, &news("v2", 5, 5));
    assert_eq!(run(&mut fleet, 1000, 0..500)["v1"], 500);
    assert_eq!(fleet.build_shares.progress(&service()).unwrap().phase(), Phase::RolledBack);
}

/// Streams that have begun go on at their build, except at old ones once these are sealed.
#[test]
fn begun_streams_stay_with_their_build() {
    let mut fleet = mixed_fleet("host0", 1);
    fleet.build_shares.set_order(at(0), order("v2", 5));
    for session in 0..100 {
        for build in [Build::new("v1"), Build::new("v2")] {
            let choice = choose(&mut fleet, at(session), session, Some(&build)).unwrap();
            assert_eq!(choice.build, build);
            serve(&mut fleet, at(session), &choice);
        }
    }
    apply(&mut fleet, &news("v2", 5, 5));
    assert!(choose(&mut fleet, at(200), 1, Some(&Build::new("v1"))).is_err());
    assert!(choose(&mut fleet, at(200), 1, Some(&Build::new("v2"))).is_ok());
}

/// Old upstreams that have stopped keep their rows for a while. Builds that come later are used.
#[test]
fn replaced_builds_get_nothing_after_completion() {
    let mut fleet = mixed_fleet("host0", 1);
    fleet.build_shares.set_order(at(0), order("v2", 5));
    let completed = News { completed: true, ..news("v2", 5, 5) };
    assert_eq!(apply(&mut fleet, &completed), Change::Completed);
    assert_eq!(run(&mut fleet, 0, 0..200)["v2"], 200);
    // "Bad" comes too late: the old upstreams are gone.
    apply(&mut fleet, &News { stopped: true, ..news("v2", 5, 5) });
    assert_eq!(run(&mut fleet, 1000, 0..200)["v2"], 200);
    for index in 0..4 {
        fleet.upsert(at(0), row(&format!("next{index}"), "v3"));
    }
    assert!(run(&mut fleet, 2000, 0..400)["v3"] > 50);
}

/// A host that has just started knows the order and not how far it is: the smallest share. If only upstreams
/// of the new build live, they replaced the others long ago.
#[test]
fn host_that_does_not_know_the_step_takes_the_smallest_share() {
    let mut fleet = mixed_fleet("host0", 1);
    fleet.build_shares.set_order(at(0), order("v2", 5));
    assert!(run(&mut fleet, 0, 0..1000)["v2"] <= 60);
    for index in 0..4 {
        fleet.remove(at(0), &Upstream::new(format!("old{index}")));
    }
    assert_eq!(run(&mut fleet, 2000, 0..100)["v2"], 100);
}

#[test]
fn status_of_another_order_only_confirms_that_this_one_is_new() {
    let mut shares = Shares::new(Some(EXPOSURE));
    shares.set_order(at(0), order("v3", 9));
    let former =
        Status { phase: Phase::RolledBack, step: 4, barred: vec!["v0".into()], ..status("v2", 5) };
    assert_eq!(shares.apply_status(at(0), &service(), &former, &[]), Change::None);
    let progress = shares.progress(&service()).unwrap();
    assert_eq!((progress.step, progress.confirmed), (0, true));
    assert_eq!(progress.barred.as_slice(), [Build::new("v0"), Build::new("v2")]);
    // The status of a later order, whose row this host has still to read, says nothing.
    let later = status("v4", 12);
    shares.set_order(at(0), order("v2", 10));
    shares.apply_status(at(0), &service(), &later, &[]);
    assert!(!shares.progress(&service()).unwrap().confirmed);
}

/// The order names another build before the first one was found good: that gets nothing any more.
#[test]
fn build_of_a_replaced_order_is_barred_until_it_is_named_again() {
    let mut fleet = mixed_fleet("host0", 1);
    fleet.build_shares.set_order(at(0), order("v2", 5));
    for index in 0..4 {
        fleet.upsert(at(0), row(&format!("next{index}"), "v3"));
    }
    fleet.build_shares.set_order(at(10), order("v3", 7));
    apply(&mut fleet, &news("v3", 7, 2));
    let counts = run(&mut fleet, 100, 0..1000);
    assert!(!counts.contains_key("v2") && counts["v3"] > 150, "{counts:?}");
    fleet.build_shares.set_order(at(2000), order("v2", 8));
    apply(&mut fleet, &news("v2", 8, 2));
    let counts = run(&mut fleet, 3000, 0..1000);
    assert!(!counts.contains_key("v3") && counts["v2"] > 150, "{counts:?}");
}

#[test]
fn build_of_a_withdrawn_order_is_barred_while_others_live() {
    let mut fleet = mixed_fleet("host0", 1);
    fleet.build_shares.set_order(at(0), order("v2", 5));
    assert!(fleet.build_shares.withdraw(at(10), &service()));
    assert!(!fleet.build_shares.withdraw(at(10), &service()));
    assert_eq!(run(&mut fleet, 100, 0..300)["v1"], 300);
    for index in 0..4 {
        fleet.remove(at(0), &Upstream::new(format!("old{index}")));
    }
    assert_eq!(run(&mut fleet, 1000, 0..300)["v2"], 300);
    // Once its upstreams are gone too, the build is one like any other.
    for index in 0..4 {
        fleet.remove(at(0), &Upstream::new(format!("new{index}")));
    }
    fleet.purge(at(30_000));
    assert!(fleet.build_shares.progress(&service()).is_some());
    fleet.purge(at(70_000));
    assert!(fleet.build_shares.progress(&service()).is_none());
}

/// Two services move at once, and each has its own share.
#[test]
fn orders_for_two_services_do_not_touch_each_other() {
    let mut shares = Shares::new(Some(EXPOSURE));
    let other = Service::new("plain");
    shares.set_order(at(0), order("v2", 5));
    shares.set_order(at(0), Order { service: other.clone(), ..order("v2", 6) });
    shares.apply_news(at(0), &News { stopped: true, ..news("v2", 5, 1) }, &[]);
    assert!(!shares.divides(&service()) && shares.divides(&other));
    assert!(shares.is_stopped(&service(), &Build::new("v2")));
    assert!(!shares.is_stopped(&other, &Build::new("v2")));
}
