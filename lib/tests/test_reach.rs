//! Tests of how a host tells that it reaches no upstream of a service.

use std::time::Duration;

use mothvale_lib::{
    prelude::*,
    reach::{Change, Reach},
};
use mothvale_testutils::gateway::at;

fn service() -> Service {
    Service::new("s1")
}

/// Records that connections to these upstreams failed, 10 ms apart, and returns the last change.
fn fail(
    reach: &mut Reach,
    start_ms: u64,
    upstreams: &[&'static str],
    total: usize,
) -> Option<Change> {
    let mut change = None;
    for (index, id) in upstreams.iter().enumerate() {
        let now = at(start_ms + 10 * index as u64);
        change = reach.record_failure(now, &service(), &Upstream::new(*id), total);
    }
    change
}

#[test]
fn service_is_lost_once_several_upstreams_fail_one_after_the_other() {
    let mut reach = Reach::default();
    assert_eq!(fail(&mut reach, 0, &["a", "b", "c"], 18), None);
    assert_eq!(reach.lost_since(&service()), None);
    assert_eq!(fail(&mut reach, 30, &["d"], 18), Some(Change::Lost(4)));
    assert_eq!(reach.lost_since(&service()), Some(at(30)));
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
fn connection_to_any_upstream_ends_the_loss() {
    let mut reach = Reach::default();
    fail(&mut reach, 0, &["a", "b", "c"], 18);
    assert_eq!(reach.record_connection(at(25), &service()), None);
    // The failures before it do not count any more.
    assert_eq!(fail(&mut reach, 30, &["d"], 18), None);
    assert_eq!(fail(&mut reach, 40, &["a", "b", "c"], 18), Some(Change::Lost(4)));
    let restored = reach.record_connection(at(1060), &service());
    assert_eq!(restored, Some(Change::Restored(Duration::from_millis(1000))));
    assert_eq!(reach.lost_since(&service()), None);
    assert_eq!(reach.record_connection(at(1070), &service()), None);
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
    let mut reach = Reach::default();
    assert_eq!(fail(&mut reach, 0, &["a"], 1), Some(Change::Lost(1)));
}
