//! Tests of the counts of answers by build: news that are late, lost, repeated or reordered.

use std::time::Duration;

use mothvale_lib::{
    build_evidence::{Count, Evidence, Pool, RouteKey, Sample, Side},
    prelude::*,
};
use mothvale_testutils::gateway::at;

const ROUTE: RouteKey = RouteKey(7);

/// Counts one good answer of each side in each second, and returns what a host would send after each.
fn news(first_slice: u32, seconds: std::ops::Range<u64>) -> Vec<Vec<Count>> {
    let mut evidence = Evidence::new(at(seconds.start * 1000), first_slice);
    let latency = Duration::from_millis(30);
    seconds
        .map(|second| {
            let now = at(second * 1000 + 500);
            evidence.record(now, Side::Old, ROUTE, Sample::Good { latency });
            evidence.record(now, Side::New, ROUTE, Sample::Bad);
            evidence.counts()
        })
        .collect()
}

fn totals(pool: &Pool) -> [(u64, u64); 2] {
    [pool.totals(Side::Old), pool.totals(Side::New)]
}

#[test]
fn counts_are_absolute_and_of_the_last_seconds() {
    let counts = news(100, 0..10).pop().expect("ten");
    let slices: Vec<u32> = counts.iter().map(|it| it.slice).collect();
    assert_eq!(slices, [107, 107, 108, 108, 109, 109]);
    assert!(counts.iter().all(|it| it.answers == 1));
    assert_eq!(counts[0].latencies.iter().sum::<u32>(), 1);
    assert_eq!((counts[1].side, counts[1].bad, counts[1].latencies.len()), (Side::New, 1, 0));
}

#[test]
fn repeated_and_reordered_news_change_nothing() {
    let mut pool = Pool::new(at(0));
    let host = Host::new("h1");
    let news = news(0, 0..10);
    for (second, counts) in news.iter().enumerate() {
        let now = at(second as u64 * 1000 + 600);
        pool.apply(now, &host, counts.clone());
        pool.apply(now, &host, counts.clone());
        pool.apply(now, &host, news[second / 2].clone());
    }
    assert_eq!(totals(&pool), [(10, 0), (10, 10)]);
}

/// The next news have the same seconds again.
#[test]
fn a_lost_message_loses_no_counts() {
    let mut pool = Pool::new(at(0));
    for (second, counts) in news(0, 0..10).into_iter().enumerate() {
        if second % 3 == 2 || second == 9 {
            pool.apply(at(second as u64 * 1000 + 600), &Host::new("h1"), counts);
        }
    }
    assert_eq!(totals(&pool), [(10, 0), (10, 10)]);
}

/// More lost messages lose the counts of both sides.
#[test]
fn lost_seconds_are_lost_for_both_sides() {
    let mut pool = Pool::new(at(0));
    let news = news(0, 0..10);
    for second in [2, 9] {
        pool.apply(at(second as u64 * 1000 + 600), &Host::new("h1"), news[second].clone());
    }
    assert_eq!(totals(&pool), [(6, 0), (6, 6)]);
}

#[test]
fn a_restarted_host_is_a_new_reporter() {
    let mut pool = Pool::new(at(0));
    let host = Host::new("h1");
    for (second, counts) in news(1000, 0..3).into_iter().enumerate() {
        pool.apply(at(second as u64 * 1000 + 600), &host, counts);
    }
    for (second, counts) in news(1003, 3..6).into_iter().enumerate() {
        pool.apply(at(second as u64 * 1000 + 3600), &host, counts);
    }
    assert_eq!(totals(&pool), [(6, 0), (6, 6)]);
}

/// Answers without end on routes without end take bounded room.
#[test]
fn state_is_bounded() {
    let mut evidence = Evidence::new(at(0), 0);
    let mut pool = Pool::new(at(0));
    for second in 0..300 {
        for route in 0..100 {
            evidence.record(at(second * 1000), Side::New, RouteKey(route), Sample::Bad);
        }
        assert!(evidence.counts().len() <= 3 * 8, "{}", evidence.counts().len());
        pool.apply(at(second * 1000), &Host::new("h1"), evidence.counts());
    }
    assert_eq!(pool.totals(Side::New), (64 * 100, 64 * 100));
}
