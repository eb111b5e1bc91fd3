//! Tests of `fleet`, which chooses an upstream for each request of the gateway.

use std::{collections::HashMap, time::Duration};

use mothvale_lib::{
    cache_index::Source,
    fleet::{Choice, Denial, Fleet, Outcome, Query, UpstreamRow},
    obstacle::Obstacle,
    prelude::*,
    rate_limit::{Rate, Statement},
};
use mothvale_testutils::gateway::{
    CACHE_TOKENS, ENGINES, PLAIN, at, configuration, engine, fleet, host_settings,
};

/// How long the requests of these tests may wait at an upstream.
const MAX_WAIT: Duration = Duration::from_millis(3200);

fn choose(fleet: &mut Fleet, now: Instant, session: u64, tokens: u32) -> Result<Choice, Denial> {
    let query = Query {
        service: &Service::new(ENGINES),
        model: Some(&Model::new("demo")),
        session: Some(session),
        cached: None,
        tokens,
        admitted: false,
        priority: 0,
        request_hash: session,
        max_wait: MAX_WAIT,
        build: None,
        connected: None,
        tried: &[],
    };
    fleet.choose(now, &configuration(), &query)
}

fn record_outcome(fleet: &mut Fleet, now: Instant, choice: &Choice, outcome: Outcome) {
    let configuration = configuration();
    fleet.record_outcome(now, &configuration.services[&Service::new(ENGINES)], choice, outcome);
}

/// Sends requests every `step_ms` milliseconds, each served at once, and counts them by upstream.
fn run_requests(
    fleet: &mut Fleet,
    start_ms: u64,
    step_ms: u64,
    count: u64,
) -> HashMap<Upstream, u32> {
    let mut counts = HashMap::new();
    for index in 0..count {
        let now = at(start_ms + index * step_ms);
        if let Ok(choice) = choose(fleet, now, index, 100) {
            record_outcome(fleet, now, &choice, Outcome::Served(Duration::from_millis(20)));
            *counts.entry(choice.id).or_default() += 1;
        }
    }
    counts
}

#[test]
fn session_returns_to_its_upstream() {
    let mut fleet = fleet(6);
    let first = choose(&mut fleet, at(0), 7, 100).unwrap();
    record_outcome(&mut fleet, at(10), &first, Outcome::Served(Duration::from_millis(10)));
    assert_eq!(choose(&mut fleet, at(9000), 7, 100).unwrap().id, first.id);
}

/// One session gets most of the traffic; it must not fill the engine where its cache is.
#[test]
fn hot_session_spreads_before_its_engine_is_full() {
    let mut fleet = fleet(4);
    let mut counts: HashMap<Upstream, u64> = HashMap::new();
    for index in 0..24 {
        let choice = choose(&mut fleet, at(index), 7, 10_000).unwrap();
        *counts.entry(choice.id).or_default() += 10_000;
    }
    assert_eq!(counts.len(), 4);
    assert!(counts.values().all(|it| *it <= CACHE_TOKENS), "{counts:?}");
}

/// Requests of other hosts fill an upstream that has none in flight from this host.
#[test]
fn load_of_other_hosts_counts() {
    let mut fleet = fleet(3);
    fleet.set_hosts(at(0), vec![Host::new("host0"), Host::new("host1")]);
    let first_choice = choose(&mut fleet, at(0), 7, 100).unwrap();
    record_outcome(&mut fleet, at(0), &first_choice, Outcome::Cancelled);
    let short_id = fleet.short_id(&first_choice.id).unwrap();
    let loads = HashMap::from([(short_id, (60_000, 12))]);
    fleet.record_peer_loads(at(100), &Host::new("host1"), loads);
    assert_ne!(choose(&mut fleet, at(200), 7, 100).unwrap().id, first_choice.id);
    // A report that is too old no longer counts.
    fleet.record_peer_loads(at(1500), &Host::new("host2"), HashMap::new());
    assert_eq!(choose(&mut fleet, at(1500), 7, 100).unwrap().id, first_choice.id);
}

#[test]
fn overload_is_denied_with_a_retry_time() {
    let mut fleet = fleet(1);
    let mut admitted_count = 0;
    let denial = loop {
        match choose(&mut fleet, at(0), admitted_count, 20_000) {
            Ok(_) => admitted_count += 1,
            Err(denial) => break denial,
        }
    };
    // 140,000 of 100,000 tokens: the random samples admit the last one at 1.1 times a full load.
    assert_eq!(admitted_count, 7);
    assert!(matches!(denial, Denial::Shed(wait, _) if wait > Duration::ZERO));
}

/// A burst of requests must not open more connections than an upstream accepts.
#[test]
fn connections_are_shared_by_the_hosts() {
    let mut fleet = fleet(1);
    fleet.set_hosts(at(0), (0..10).map(|it| Host::new(format!("host{it}"))).collect());
    let placed = (0..100).filter(|it| choose(&mut fleet, at(*it), *it, 1).is_ok()).count();
    // 300 connections for ten hosts, a fifth of them reserved for idle connections.
    assert_eq!(placed, 24);
}

/// Guards against hosts that each take the whole limit: they had started and did not know yet that there are
/// others.
#[test]
fn cold_rate_limit_holds_over_hosts_that_do_not_know_each_other_yet() {
    let mut total = 0;
    for index in 0..9 {
        let mut fleet = Fleet::new(&host_settings(&format!("host{index}"), "hobart"));
        let row =
            UpstreamRow { cold_remaining: Duration::from_secs(3), ..engine("engine0", "hobart") };
        fleet.upsert(at(0), row);
        total += run_requests(&mut fleet, 0, 1, 900).values().sum::<u32>();
    }
    assert!(total <= 29, "{total}");
}

/// Guards against hosts that each take the whole limit that an upstream names.
#[test]
fn hosts_that_do_not_know_each_other_yet_have_no_share_of_a_limit() {
    let mut total = 0;
    for index in 0..9 {
        let mut fleet = Fleet::new(&host_settings(&format!("host{index}"), "hobart"));
        let row = engine("engine0", "hobart");
        let statement = Statement {
            upstream: row.id.clone(),
            incarnation: row.incarnation(),
            rate: Rate::try_from(10.0).ok(),
            said_at: at(0),
        };
        fleet.upsert(at(0), row);
        fleet.record_limit(at(0), &statement);
        total += run_requests(&mut fleet, 0, 40, 100).values().sum::<u32>();
    }
    // In 4 s, one and a half times what the limit allows, plus 5.
    assert!(total <= 65, "{total}");
}

#[test]
fn cold_rate_limit_holds_over_all_hosts() {
    let hosts: Vec<_> = (0..9).map(|it| Host::new(format!("host{it}"))).collect();
    let mut total = 0;
    for host in &hosts {
        let mut fleet = Fleet::new(&host_settings(host.as_str(), "hobart"));
        fleet.set_hosts(at(0), hosts.clone());
        fleet.upsert(
            at(0),
            mothvale_lib::fleet::UpstreamRow {
                cold_remaining: Duration::from_secs(3),
                ..engine("engine0", "hobart")
            },
        );
        total += run_requests(&mut fleet, 0, 1, 900).values().sum::<u32>();
    }
    // The upper bound is 16 requests per second times 1.5, plus 5.
    assert!(total <= 29, "{total}");
    assert!(total >= 16, "{total}");
}

#[test]
fn disconnected_upstream_counts_as_cold_until_a_later_row() {
    let mut fleet = fleet(1);
    fleet.set_hosts(at(0), (0..9).map(|it| Host::new(format!("host{it}"))).collect());
    assert!(run_requests(&mut fleet, 0, 1, 40).values().sum::<u32>() > 30);
    let choice = choose(&mut fleet, at(2000), 1, 100).unwrap();
    record_outcome(&mut fleet, at(2000), &choice, Outcome::Broken);
    assert!(run_requests(&mut fleet, 2001, 1, 40).values().sum::<u32>() <= 3);
    // A row that may have been written before the disconnect changes nothing.
    fleet.upsert(at(2500), engine("engine0", "hobart"));
    assert!(run_requests(&mut fleet, 3100, 1, 40).values().sum::<u32>() <= 3);
    fleet.upsert(at(4200), engine("engine0", "hobart"));
    assert!(run_requests(&mut fleet, 4300, 1, 40).values().sum::<u32>() > 30);
}

/// Guards against an upstream that became cold while its zone was evacuated and gets the load of a warm one
/// as soon as the zone is back, before its row tells of it.
#[test]
fn upstream_of_a_zone_that_was_evacuated_counts_as_cold_until_a_later_row() {
    let hosts: Vec<_> = (0..9).map(|it| Host::new(format!("host{it}"))).collect();
    let zone = Zone::new("hobart");
    let sent = |fleet: &mut Fleet, start_ms| -> u32 {
        run_requests(fleet, start_ms, 10, 40).values().sum()
    };
    let (mut reopened, mut early_row, mut later_row) = (0, 0, 0);
    for host in &hosts {
        let mut fleet = Fleet::new(&host_settings(host.as_str(), "hobart"));
        fleet.set_hosts(at(0), hosts.clone());
        fleet.upsert(at(0), engine("engine0", "hobart"));
        fleet.set_evacuated(at(100), zone.clone(), true);
        fleet.set_evacuated(at(5000), zone.clone(), false);
        reopened += sent(&mut fleet, 5000);
        fleet.upsert(at(5900), engine("engine0", "hobart"));
        early_row += sent(&mut fleet, 6100);
        fleet.upsert(at(7200), engine("engine0", "hobart"));
        later_row += sent(&mut fleet, 7300);
    }
    // The upper bound is 16 requests per second times 1.5, plus 5.
    assert!((16..=29).contains(&reopened), "{reopened}");
    assert!((16..=29).contains(&early_row), "{early_row}");
    assert!(later_row > 300, "{later_row}");
}

#[test]
fn unreachable_upstream_is_tried_one_request_at_a_time() {
    let mut fleet = fleet(1);
    let choice = choose(&mut fleet, at(0), 1, 100).unwrap();
    record_outcome(&mut fleet, at(0), &choice, Outcome::Unreachable);
    assert!(choose(&mut fleet, at(100), 1, 100).is_err());
    let probe = choose(&mut fleet, at(500), 1, 100).unwrap();
    assert!(choose(&mut fleet, at(501), 2, 100).is_err());
    record_outcome(&mut fleet, at(510), &probe, Outcome::Served(Duration::from_millis(9)));
    choose(&mut fleet, at(1600), 2, 100).unwrap();
    choose(&mut fleet, at(1601), 3, 100).unwrap();
}

/// Gray failure: upstreams fail requests while their rows and connections look healthy.
#[test]
fn faulty_upstreams_are_ejected_up_to_a_third() {
    let mut fleet = fleet(6);
    for index in 0..600 {
        let now = at(index * 10);
        let Ok(choice) = choose(&mut fleet, now, index, 100) else { continue };
        record_outcome(&mut fleet, now, &choice, Outcome::Failed);
    }
    let counts = run_requests(&mut fleet, 6001, 1, 60);
    assert!(counts.len() >= 4, "{counts:?}");
}

#[test]
fn draining_upstream_and_evacuated_zone_get_no_requests() {
    let mut fleet = fleet(2);
    fleet.upsert(at(0), engine("engine2", "burnie"));
    let draining =
        mothvale_lib::fleet::UpstreamRow { draining: true, ..engine("engine0", "hobart") };
    fleet.upsert(at(10), draining);
    fleet.set_evacuated(at(20), Zone::new("burnie"), true);
    let counts = run_requests(&mut fleet, 20, 1, 40);
    assert_eq!(counts.keys().map(Upstream::as_str).collect::<Vec<_>>(), ["engine1"]);
    fleet.set_evacuated(at(100), Zone::new("burnie"), false);
    assert_eq!(run_requests(&mut fleet, 100, 1, 40).len(), 2);
}

/// The state of an upstream changes after it was chosen and before the request is sent.
#[test]
fn chosen_upstream_is_checked_again_before_sending() {
    let model = Model::new("demo");
    let mut fleet = fleet(1);
    let choice = choose(&mut fleet, at(0), 1, 100).unwrap();
    let obstacle =
        |fleet: &Fleet, now: Instant| fleet.obstacle(now, &choice, Some(&Model::new("demo")));
    assert_eq!(obstacle(&fleet, at(1)), None);
    fleet.set_evacuated(at(2), Zone::new("hobart"), true);
    assert_eq!(obstacle(&fleet, at(2)), Some(Obstacle::Evacuated));
    fleet.set_evacuated(at(3), Zone::new("hobart"), false);
    fleet.upsert(at(3), UpstreamRow { draining: true, ..engine("engine0", "hobart") });
    assert_eq!(obstacle(&fleet, at(3)), Some(Obstacle::Draining));
    fleet.upsert(at(4), engine("engine0", "hobart"));
    fleet.target_weights.set(Some(at(4)), model, 2);
    assert_eq!(obstacle(&fleet, at(5)), None);
    assert_eq!(obstacle(&fleet, at(11_600)), Some(Obstacle::OutdatedWeights));
    fleet.upsert(at(11_601), UpstreamRow { start_time_ms: 2, ..engine("engine0", "hobart") });
    assert_eq!(obstacle(&fleet, at(11_601)), Some(Obstacle::Restarted));
    fleet.remove(at(0), &Upstream::new("engine0"));
    assert_eq!(obstacle(&fleet, at(11_602)), Some(Obstacle::Removed));
}

/// Two target versions are set one after the other.
#[test]
fn each_target_version_has_its_own_deadline() {
    let mut fleet = fleet(2);
    let model = Model::new("demo");
    fleet.target_weights.set(Some(at(0)), model.clone(), 2);
    fleet.record_weight_version(&Upstream::new("engine0"), &model, 2);
    fleet.target_weights.set(Some(at(9000)), model.clone(), 3);
    assert_eq!(run_requests(&mut fleet, 9100, 1, 40).len(), 2);
    // Version 2 is due 15 s after it was set, whatever was set since, and a request may wait at an
    // upstream for 3.5 s before it begins.
    let counts = run_requests(&mut fleet, 11_600, 1, 40);
    assert_eq!(counts.keys().map(Upstream::as_str).collect::<Vec<_>>(), ["engine0"]);
    assert!(choose(&mut fleet, at(20_600), 1, 100).is_err());
}

/// An upstream rejects a request for version 2 of its weights, which it no longer has. Meanwhile version 4
/// is the target, but the upstream has loaded version 3 and still needs an order.
#[test]
fn assumed_weights_end_when_the_upstream_shows_its_weights() {
    let (id, model) = (Upstream::new("engine0"), Model::new("demo"));
    let row = |version| UpstreamRow {
        models: SmallVec::from_iter([(model.clone(), version)]),
        ..engine("engine0", "hobart")
    };
    let mut fleet = fleet(0);
    fleet.upsert(at(0), row(2));
    fleet.target_weights.set(Some(at(0)), model.clone(), 4);
    fleet.assume_newest_weights(&id, &model);
    assert_eq!(choose(&mut fleet, at(10), 1, 100).unwrap().weight_version, Some(4));
    assert_eq!(fleet.outdated().len(), 1);
    fleet.upsert(at(20), row(3));
    assert_eq!(choose(&mut fleet, at(30), 2, 100).unwrap().weight_version, Some(3));
    fleet.assume_newest_weights(&id, &model);
    fleet.record_weight_version(&id, &model, 3);
    assert_eq!(choose(&mut fleet, at(40), 3, 100).unwrap().weight_version, Some(3));
    fleet.assume_newest_weights(&id, &model);
    fleet.upsert(at(50), row(4));
    assert_eq!(choose(&mut fleet, at(60), 4, 100).unwrap().weight_version, Some(4));
    assert!(fleet.outdated().is_empty());
}

/// Callers of one route give up after a second, those of another wait for 4.8 s. A request that may still
/// wait at its upstream when the deadline of the newer weights passes is not sent to older ones.
#[test]
fn older_weights_end_earlier_for_requests_that_may_wait_longer() {
    let mut fleet = fleet(1);
    fleet.target_weights.set(Some(at(0)), Model::new("demo"), 2);
    let mut is_sent = |now: u64, max_wait: u64| {
        let query = Query {
            service: &Service::new(ENGINES),
            model: Some(&Model::new("demo")),
            session: None,
            cached: None,
            tokens: 100,
            admitted: true,
            priority: 0,
            request_hash: now,
            max_wait: Duration::from_millis(max_wait),
            build: None,
            connected: None,
            tried: &[],
        };
        fleet.choose(at(now), &configuration(), &query).is_ok()
    };
    assert!(is_sent(9_800, 4_800));
    assert!(!is_sent(9_900, 4_800));
    assert!(is_sent(13_600, 1_000));
    assert!(!is_sent(13_700, 1_000));
}

/// A row without the weights of a model says nothing about them. Its upstream might have weights that are
/// too old, and the request would run without a salt that keeps cached parts of other weights away.
#[test]
fn engine_whose_weights_are_unknown_gets_no_requests() {
    let mut fleet = fleet(1);
    fleet.upsert(at(0), UpstreamRow { models: SmallVec::new(), ..engine("engine1", "hobart") });
    let counts = run_requests(&mut fleet, 10, 1, 40);
    assert_eq!(counts.keys().map(Upstream::as_str).collect::<Vec<_>>(), ["engine0"]);
    fleet.upsert(at(100), engine("engine1", "hobart"));
    assert_eq!(run_requests(&mut fleet, 110, 1, 40).len(), 2);
}

/// Operators can tell from the log since when a host starts no requests on older weights.
#[test]
fn end_of_older_weights_is_reported_once() {
    let mut targets = fleet(1).target_weights;
    let model = Model::new("demo");
    assert!(targets.set(Some(at(0)), model.clone(), 2));
    assert!(!targets.set(Some(at(100)), model.clone(), 2));
    assert_eq!(targets.take_expired(at(14_600)), []);
    assert_eq!(targets.take_expired(at(14_700)), [(model.clone(), 2)]);
    assert_eq!(targets.take_expired(at(15_600)), []);
    assert!(targets.set(Some(at(15_700)), model.clone(), 3));
    assert_eq!(targets.take_expired(at(30_400)), [(model, 3)]);
}

#[test]
fn target_of_unknown_age_counts_from_the_start_of_the_host() {
    let mut fleet = fleet(1);
    fleet.target_weights.set(None, Model::new("demo"), 2);
    assert!(choose(&mut fleet, at(1000), 1, 100).is_ok());
    assert!(choose(&mut fleet, at(2800), 2, 100).is_err());
}

/// All hosts lose power during a rollout. After the restart they read from the lease row how long
/// ago each target was set, and keep to the time that is left.
#[test]
fn restarted_host_keeps_to_the_remaining_time_of_a_target() {
    let mut fleet = fleet(2);
    let model = Model::new("demo");
    fleet.target_weights.set(None, model.clone(), 3);
    fleet.record_weight_version(&Upstream::new("engine0"), &model, 2);
    assert!(fleet.target_weights.has_unknown_time());
    let age = Duration::from_secs;
    fleet.target_weights.record_age(at(500), &model, 2, age(8));
    fleet.target_weights.record_age(at(500), &model, 3, age(4));
    assert!(!fleet.target_weights.has_unknown_time());
    // For version 2, 15 s less 3.5 s less 8 s are left.
    assert_eq!(run_requests(&mut fleet, 3900, 1, 40).len(), 2);
    let counts = run_requests(&mut fleet, 4100, 1, 40);
    assert_eq!(counts.keys().map(Upstream::as_str).collect::<Vec<_>>(), ["engine0"]);
    assert!(choose(&mut fleet, at(8100), 1, 100).is_err());
}

/// The time of a target ran out while all hosts were down.
#[test]
fn expired_target_applies_at_once() {
    let mut fleet = fleet(1);
    let model = Model::new("demo");
    fleet.target_weights.set(None, model.clone(), 2);
    fleet.target_weights.record_age(at(500), &model, 2, Duration::from_secs(60));
    assert!(choose(&mut fleet, at(501), 1, 100).is_err());
}

/// A third of the upstreams load new weights and refuse requests meanwhile.
#[test]
fn upstreams_that_load_weights_get_no_requests() {
    let mut fleet = fleet(3);
    fleet.target_weights.set(Some(at(0)), Model::new("demo"), 2);
    let short_id = fleet.short_id(&Upstream::new("engine1")).unwrap();
    fleet.mark_loading(at(100), &[short_id]);
    assert!(!run_requests(&mut fleet, 101, 1, 60).contains_key("engine1"));
    fleet.record_weight_version(&Upstream::new("engine1"), &Model::new("demo"), 2);
    assert!(run_requests(&mut fleet, 200, 1, 60).contains_key("engine1"));
}

#[test]
fn stale_row_does_not_lower_a_version_seen_in_a_response() {
    let mut fleet = fleet(1);
    let (id, model) = (Upstream::new("engine0"), Model::new("demo"));
    fleet.record_weight_version(&id, &model, 4);
    fleet.upsert(at(10), engine("engine0", "hobart"));
    assert_eq!(fleet.row(&id).unwrap().weight_version(&model), Some(4));
    let restarted =
        mothvale_lib::fleet::UpstreamRow { start_time_ms: 2, ..engine("engine0", "hobart") };
    fleet.upsert(at(20), restarted);
    assert_eq!(fleet.row(&id).unwrap().weight_version(&model), Some(1));
}

/// A zone is cut off, so that a third of the upstreams cannot be reached. One of the others fails its
/// requests, and is still ejected.
#[test]
fn unreachable_upstreams_leave_the_allowance_for_faulty_ones() {
    let mut fleet = fleet(6);
    let mut ejected = Vec::new();
    for round in 0..400 {
        let now = at(round * 5);
        let Ok(choice) = choose(&mut fleet, now, round, 100) else { continue };
        let outcome = match choice.id.as_str() {
            "engine0" | "engine1" => Outcome::Unreachable,
            "engine2" => Outcome::Failed,
            _ => Outcome::Served(Duration::from_millis(20)),
        };
        record_outcome(&mut fleet, now, &choice, outcome);
        if round >= 200 {
            ejected.push(choice.id);
        }
    }
    let faulty = ejected.iter().filter(|it| it.as_str() == "engine2").count();
    assert!(faulty < 5, "the faulty upstream got {faulty} of the last requests");
}

/// A route may send part of its sessions to a service that has no engines and so no KV cache.
#[test]
fn session_of_a_service_without_engines_gets_an_upstream() {
    let mut fleet = fleet(0);
    for index in 0..6 {
        let service = Service::new(PLAIN);
        fleet.upsert(at(0), UpstreamRow { service, ..engine(&format!("plain{index}"), "hobart") });
    }
    fleet.target_weights.set(Some(at(0)), Model::new("demo"), 2);
    let source = Source { zone: Zone::new("burnie"), other_zone_delay: Duration::from_secs(1) };
    for session in 0..20 {
        let query = Query {
            service: &Service::new(PLAIN),
            model: Some(&Model::new("demo")),
            session: Some(session),
            cached: Some(&source),
            tokens: 100,
            admitted: false,
            priority: 0,
            request_hash: session,
            max_wait: MAX_WAIT,
            build: None,
            connected: None,
            tried: &[],
        };
        assert!(fleet.choose(at(10), &configuration(), &query).is_ok(), "{session}");
    }
}

/// Engines in the zone of the store that holds a long prompt come first, until they have clearly more to
/// do than those of other zones.
#[test]
fn session_stays_near_its_store_while_engines_there_have_room() {
    let mut fleet = Fleet::new(&host_settings("host0", "hobart"));
    for index in 0..12 {
        let zone = if index % 2 == 0 { "hobart" } else { "burnie" };
        fleet.upsert(at(0), engine(&format!("engine{index}"), zone));
    }
    // A first token takes 20 µs for each token in flight.
    for step in 0..40 {
        let choice = choose(&mut fleet, at(step), step, 5_000).unwrap();
        let latency = Duration::from_micros(20 * choice.load);
        record_outcome(&mut fleet, at(step), &choice, Outcome::Served(latency));
    }
    let source = Source { zone: Zone::new("burnie"), other_zone_delay: Duration::from_millis(400) };
    let mut zones = Vec::new();
    for session in 0..36 {
        let query = Query {
            service: &Service::new(ENGINES),
            model: Some(&Model::new("demo")),
            session: Some(session),
            cached: Some(&source),
            tokens: 9_000,
            admitted: true,
            priority: 0,
            request_hash: session,
            max_wait: MAX_WAIT,
            build: None,
            connected: None,
            tried: &[],
        };
        zones.push(fleet.choose(at(100), &configuration(), &query).unwrap().zone);
    }
    let near = |zones: &[Zone]| zones.iter().filter(|it| it.as_str() == "burnie").count();
    assert!(near(&zones[..6]) >= 5, "{zones:?}");
    assert!(near(&zones) < 36, "engines near the store take everything: {zones:?}");
}

/// Twenty hosts choose among forty engines by loads that are up to 100 ms old, while a request lasts
/// 300 ms. A request should find clearly less in flight at its engine than at a random one.
#[test]
fn sessions_of_many_hosts_spread_over_engines_by_old_loads() {
    const HOSTS: usize = 20;
    const TOKENS: u32 = 5_000;
    let names: Vec<_> = (0..HOSTS).map(|it| Host::new(format!("host{it}"))).collect();
    let mut fleets: Vec<_> = (0..HOSTS).map(|_| fleet(40)).collect();
    let mut in_flight: Vec<(u64, usize, Choice)> = Vec::new();
    let (mut found, mut random) = (0.0, 0.0);
    for step in 0..2_000_u64 {
        let millis = step * 3;
        let now = at(millis);
        let (ended, rest) = in_flight.into_iter().partition(|it| it.0 <= millis);
        in_flight = rest;
        for (_, host, choice) in ended {
            let outcome = Outcome::Served(Duration::from_millis(300));
            record_outcome(&mut fleets[host], now, &choice, outcome);
        }
        if millis % 99 == 0 {
            let loads: Vec<_> = fleets.iter().map(Fleet::loads).collect();
            for (host, fleet) in fleets.iter_mut().enumerate() {
                for (peer, loads) in loads.iter().enumerate().filter(|it| it.0 != host) {
                    fleet.record_peer_loads(now, &names[peer], loads.clone());
                }
            }
        }
        let host = (mothvale_lib::rendezvous::mix64(step) % HOSTS as u64) as usize;
        let session = mothvale_lib::rendezvous::mix64(step ^ 99);
        let Ok(choice) = choose(&mut fleets[host], now, session, TOKENS) else { continue };
        if step >= 500 {
            found += in_flight.iter().filter(|it| it.2.id == choice.id).count() as f64;
            random += in_flight.len() as f64 / 40.0;
        }
        in_flight.push((millis + 300, host, choice));
    }
    assert!(found < 0.7 * random, "{:.2} of the load of a random engine", found / random);
}

/// Guards against streams of two builds: an upstream's process ended, the next one may have another build, and its row cannot
/// tell it while the row store is away, and for two heartbeats afterwards.
#[test]
fn upstream_takes_up_no_stream_until_its_row_tells_which_process_it_has() {
    let mut fleet = fleet(1);
    let is_taken_up = |fleet: &mut Fleet, millis: u64| {
        let build = Build::new("v1");
        let query = Query {
            service: &Service::new(ENGINES),
            model: Some(&Model::new("demo")),
            session: None,
            cached: None,
            tokens: 1,
            admitted: true,
            priority: 0,
            request_hash: 1,
            max_wait: MAX_WAIT,
            build: Some(&build),
            connected: None,
            tried: &[],
        };
        let choice = fleet.choose(at(millis), &configuration(), &query);
        if let Ok(choice) = &choice {
            record_outcome(fleet, at(millis), choice, Outcome::Served(Duration::ZERO));
        }
        choice.is_ok()
    };
    let id = engine("engine0", "hobart").id;
    for millis in [500, 1000, 1500] {
        fleet.set_rows_as_of(at(millis));
    }
    assert!(is_taken_up(&mut fleet, 1600));
    // The store is there.
    fleet.record_end(at(1700), &id, 0, "test");
    assert!(!is_taken_up(&mut fleet, 1800));
    fleet.set_rows_as_of(at(1900));
    assert!(is_taken_up(&mut fleet, 1950));
    // News of the same end that comes again.
    fleet.record_end(at(1700), &id, 0, "test");
    assert!(is_taken_up(&mut fleet, 1960));
    // The store is away.
    fleet.record_end(at(3000), &id, 0, "test");
    fleet.set_rows_as_of(at(8000));
    let rewrite_time = 2 * host_settings("host0", "hobart").heartbeat.as_millis() as u64;
    for millis in (8000..8000 + rewrite_time).step_by(500) {
        fleet.set_rows_as_of(at(millis));
        assert!(!is_taken_up(&mut fleet, millis), "{millis}");
    }
    fleet.set_rows_as_of(at(8000 + rewrite_time));
    assert!(is_taken_up(&mut fleet, 8001 + rewrite_time));
    // The row of another process says which build that has.
    fleet.record_end(at(20_000), &id, 0, "test");
    assert!(!is_taken_up(&mut fleet, 20_001));
    fleet.upsert(at(20_002), UpstreamRow { start_time_ms: 77, ..engine("engine0", "hobart") });
    assert!(is_taken_up(&mut fleet, 30_000));
}
