//! Tests of how a host tells that it reaches no upstream of a service.

use std::time::Duration;

use mothvale_lib::{
    fleet::UpstreamRow,
    prelude::*,
    reach::{Change, Reach},
};
use mothvale_testutils::gateway::{at, engine};

fn service() -> Service {
    Service::new("s1")
}

/// Records that connections to these upstreams failed or succeeded, 10 ms apart, and returns the last change.
fn record(
    reach: &mut Reach,
    start_ms: u64,
    upstreams: &[&'static str],
    total: usize,
    succeeded: bool,
) -> Option<Change> {
    let mut change = None;
    for (index, id) in upstreams.iter().enumerate() {
        let now = at(start_ms + 10 * index as u64);
        change = reach.record(now, &service(), &Upstream::new(*id), total, succeeded);
    }
    change
}

fn fail(
    reach: &mut Reach,
    start_ms: u64,
    upstreams: &[&'static str],
    total: usize,
) -> Option<Change> {
    record(reach, start_ms, upstreams, total, false)
}

fn succeed(
    reach: &mut Reach,
    start_ms: u64,
    upstreams: &[&'static str],
    total: usize,
) -> Option<Change> {
    record(reach, start_ms, upstreams, total, true)
}

#[test]
fn service_is_lost_once_several_upstreams_fail_one_after_the_other() {
    let mut reach = Reach::default();
    assert_eq!(fail(&mut reach, 0, &["a", "b", "c"], 18), None);
    assert_eq!(reach.lost_since(&service()), None);
    assert_eq!(reach.reached_part(&service()), None);
    assert_eq!(fail(&mut reach, 30, &["d"], 18), Some(Change::Lost(4)));
    assert_eq!(reach.lost_since(&service()), Some(at(30)));
    assert_eq!(reach.reached_part(&service()), Some(0.0));
    assert_eq!(reach.lost_since(&Service::new("s2")), None);
    // It is told once.
    assert_eq!(fail(&mut reach, 40, &["e", "f"], 18), None);
    assert_eq!(reach.lost_count(), 1);
}

#[test]
fn one_upstream_that_fails_again_and_again_is_no_lost_service() {
    let mut reach = Reach::default();
    assert_eq!(fail(&mut reach, 0, &["a"; 20], 18), None);
    assert_eq!(reach.lost_count(), 0);
}

#[test]
fn connection_in_between_is_no_lost_service() {
    let mut reach = Reach::default();
    fail(&mut reach, 0, &["a", "b", "c"], 18);
    assert_eq!(succeed(&mut reach, 25, &["e"], 18), None);
    assert_eq!(fail(&mut reach, 30, &["d", "a", "b"], 18), None);
    assert_eq!(fail(&mut reach, 60, &["c"], 18), Some(Change::Lost(4)));
}

#[test]
fn service_is_within_reach_again_once_half_of_the_tried_upstreams_are() {
    let mut reach = Reach::default();
    fail(&mut reach, 0, &["a", "b", "c", "d"], 18);
    assert_eq!(succeed(&mut reach, 1000, &["e", "f", "g"], 18), None);
    let restored = succeed(&mut reach, 1030, &["h"], 18);
    assert_eq!(restored, Some(Change::Restored(Duration::from_millis(1000))));
    assert_eq!(reach.lost_since(&service()), None);
    assert_eq!(succeed(&mut reach, 1040, &["i"], 18), None);
}

/// Guards against a host that goes back and forth: one upstream of many could be reached, and each connection
/// to it ended the loss until four others failed again.
#[test]
fn single_upstream_that_is_reached_does_not_end_the_loss() {
    let mut reach = Reach::default();
    fail(&mut reach, 0, &["a", "b", "c", "d"], 18);
    for round in 1..20 {
        let now = 400 * round;
        assert_eq!(succeed(&mut reach, now, &["z"], 18), None);
        assert_eq!(fail(&mut reach, now + 10, &["a", "b", "c", "d", "e", "f", "g"], 18), None);
        assert_eq!(reach.reached_part(&service()), Some(0.125));
    }
}

#[test]
fn failures_that_are_seconds_apart_do_not_add_up() {
    let mut reach = Reach::default();
    for (index, id) in ["a", "b", "c", "d", "e", "f"].into_iter().enumerate() {
        assert_eq!(fail(&mut reach, 2000 * index as u64, &[id], 18), None, "{id}");
    }
}

#[test]
fn small_service_is_lost_with_all_of_its_upstreams() {
    let mut reach = Reach::default();
    assert_eq!(fail(&mut reach, 0, &["a"], 2), None);
    assert_eq!(fail(&mut reach, 10, &["b"], 2), Some(Change::Lost(2)));
    assert!(matches!(succeed(&mut reach, 20, &["b"], 2), Some(Change::Restored(_))));
    let mut reach = Reach::default();
    assert_eq!(fail(&mut reach, 0, &["a"], 1), Some(Change::Lost(1)));
    assert!(matches!(succeed(&mut reach, 20, &["a"], 1), Some(Change::Restored(_))));
}

fn rows(count: usize) -> Vec<UpstreamRow> {
    (0..count).map(|it| engine(&format!("engine{it}"), "hobart")).collect()
}

/// Returns the ids of the upstreams to which a connection is to be tried.
fn probed(
    reach: &mut Reach,
    now: u64,
    heard: u64,
    rows: &[UpstreamRow],
    busy: usize,
) -> Vec<String> {
    let upstreams = rows.iter().enumerate().map(|(index, it)| (it, index < busy));
    let due = reach.due_probes(at(now), &service(), at(heard), upstreams);
    due.iter().map(|it| it.id.to_string()).collect()
}

/// Load pattern: hosts whose upstreams answer, and those without requests, try no connections of their own.
#[test]
fn nothing_is_probed_while_upstreams_are_heard_or_nothing_is_under_way() {
    let (mut reach, rows) = (Reach::default(), rows(18));
    for step in 0..100 {
        let now = 10_000 + 200 * step;
        assert!(probed(&mut reach, now, now - 400, &rows, 18).is_empty());
        assert!(probed(&mut reach, now, 0, &rows, 0).is_empty());
    }
}

/// Guards against a host that learns only from its callers' requests, one after the other, that it reaches no
/// upstream.
#[test]
fn silent_upstreams_are_probed_together() {
    let (mut reach, rows) = (Reach::default(), rows(18));
    let due = probed(&mut reach, 1000, 500, &rows, 6);
    assert_eq!(due, ["engine0", "engine1", "engine2", "engine3"]);
    assert!(probed(&mut reach, 1200, 500, &rows, 6).is_empty());
    let change = due
        .into_iter()
        .map(|it| reach.record(at(1350), &service(), &Upstream::new(it), rows.len(), false));
    assert_eq!(change.last().unwrap(), Some(Change::Lost(4)));
}

/// Whatever upstream can be reached again first is found, at a bounded rate.
#[test]
fn upstreams_out_of_reach_are_probed_in_turn() {
    let (mut reach, rows) = (Reach::default(), rows(18));
    fail(&mut reach, 0, &["a", "b", "c", "d"], 18);
    let mut found = Vec::new();
    for step in 0..20 {
        found.extend(probed(&mut reach, 100 + 100 * step, 100 + 100 * step, &rows, 0));
    }
    assert_eq!(found.len(), 20, "four at a time, five times in 2 s");
    let distinct: std::collections::HashSet<_> = found.iter().collect();
    assert_eq!(distinct.len(), rows.len());
}

/// Guards against a host with few callers that learns late which services it has lost: each request of the
/// second service had to fail by itself.
#[test]
fn services_with_few_requests_are_probed_once_another_one_is_lost() {
    let (mut reach, rows) = (Reach::default(), rows(4));
    let other = Service::new("s2");
    reach.record(at(0), &service(), &rows[0].id, rows.len(), true);
    assert!(probed(&mut reach, 900, 900, &rows, 0).is_empty());
    for (index, id) in ["a", "b", "c", "d"].into_iter().enumerate() {
        reach.record(at(1000 + index as u64), &other, &Upstream::new(id), 60, false);
    }
    assert!(reach.lost_since(&other).is_some());
    let due = probed(&mut reach, 1200, 1100, &rows, 0);
    assert_eq!(due, ["engine0", "engine1", "engine2", "engine3"]);
    assert!(probed(&mut reach, 1400, 1100, &rows, 0).is_empty(), "these are under way");
    let change = due
        .iter()
        .map(|it| reach.record(at(1550), &service(), &Upstream::new(it.clone()), 4, false));
    assert_eq!(change.last().unwrap(), Some(Change::Lost(4)));
}

/// A service that is reached is probed once, and one that no request has needed is not probed at all.
#[test]
fn other_services_are_probed_once_for_each_loss() {
    let (mut reach, rows) = (Reach::default(), rows(4));
    let other = Service::new("s2");
    let lose = |reach: &mut Reach, now: u64| {
        for (index, id) in ["a", "b", "c", "d"].into_iter().enumerate() {
            reach.record(at(now + index as u64), &other, &Upstream::new(id), 60, false);
        }
    };
    lose(&mut reach, 1000);
    assert!(probed(&mut reach, 1200, 1100, &rows, 0).is_empty(), "no request has needed it");
    reach.record(at(1250), &service(), &rows[0].id, rows.len(), true);
    for now in (1300..5000).step_by(200) {
        assert!(probed(&mut reach, now, now, &rows, 0).is_empty(), "it was reached since the loss");
    }
}
