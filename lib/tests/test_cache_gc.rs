//! When cached parts of older weight versions are freed, and that no engine fetches them by then.

use std::time::Duration;

use mothvale_lib::{
    cache_gc::{self, ListedPart, Listing, Tracker},
    fleet::{Fleet, UpstreamRow},
    prelude::*,
};
use mothvale_testutils::gateway::{at, engine, host_settings};
use proptest::prelude::*;

/// Age up to which a host with the test settings takes rows as fresh: their drain bound.
const MAX_ROW_AGE: Duration = Duration::from_secs(2);
/// Longest time from the planning of a fetch to its end.
const FETCH_TIMEOUT_MS: u64 = 1900;

fn row(index: usize, weights: u32, start_time_ms: u64) -> UpstreamRow {
    let models = SmallVec::from_iter([(model(), weights)]);
    UpstreamRow { models, start_time_ms, ..engine(&format!("engine{index}"), "hobart") }
}

fn model() -> Model {
    Model::new("demo")
}

fn fleet(weights: [u32; 2]) -> Fleet {
    let mut fleet = Fleet::new(&host_settings("host0", "hobart"));
    for (index, version) in weights.into_iter().enumerate() {
        fleet.upsert(at(0), row(index, version, 1));
    }
    fleet.set_rows_as_of(at(0));
    fleet
}

#[test]
fn parts_are_freed_once_all_rows_showed_newer_weights_for_long_enough() {
    let mut tracker = Tracker::new(MAX_ROW_AGE);
    let mut freed = |millis, oldest| tracker.observe(at(millis), &[(model(), oldest)]);
    assert!(freed(0, 1).is_empty());
    assert!(freed(5000, 2).is_empty());
    assert!(freed(9300, 2).is_empty());
    assert_eq!(freed(9400, 2), [(model(), 2)]);
    // An engine restarted with the weights that it had before.
    assert!(freed(9500, 1).is_empty());
    assert!(freed(9600, 2).is_empty());
}

#[test]
fn nothing_is_freed_while_rows_are_not_read_again() {
    let mut tracker = Tracker::new(MAX_ROW_AGE);
    for _ in 0..100 {
        assert!(tracker.observe(at(5000), &[(model(), 2)]).is_empty());
    }
}

#[test]
fn only_parts_of_older_weights_of_the_model_are_freed() {
    let part = |salt: &'static str| ListedPart { salt: FastStr::new(salt), id: FastStr::new("5c") };
    let salts = ["demo:1", "demo:1:isolated", "demo:2", "demo:12", "demo", "other:1", "s1", ""];
    let listing = Listing { boot: 7, parts: salts.map(part).to_vec() };
    let stale = cache_gc::stale_parts(listing, &[(model(), 2)]);
    assert_eq!((stale.boot, stale.parts), (7, vec![part("demo:1"), part("demo:1:isolated")]));
}

#[test]
fn host_allows_no_fetch_of_weights_that_no_engine_had() {
    let mut fleet = fleet([1, 2]);
    fleet.target_weights.set(Some(at(0)), model(), 2);
    assert!(fleet.target_weights.may_use_cache_stores(at(100), &model(), 1));
    fleet.record_weight_version(&Upstream::new("engine0"), &model(), 2);
    fleet.set_rows_as_of(at(1000));
    assert!(!fleet.target_weights.may_use_cache_stores(at(1000), &model(), 1));
    // An engine restarts with the weights that it had before: it computes its prompts itself.
    fleet.upsert(at(1100), row(2, 1, 2));
    fleet.set_rows_as_of(at(1200));
    assert!(!fleet.target_weights.may_use_cache_stores(at(1200), &model(), 1));
    assert!(fleet.target_weights.may_use_cache_stores(at(1200), &model(), 2));
}

#[test]
fn host_with_stale_rows_allows_fetches_of_newest_weights_only() {
    let mut fleet = fleet([1, 1]);
    assert!(fleet.target_weights.may_use_cache_stores(at(60_000), &model(), 1));
    fleet.set_rows_as_of(at(59_500));
    fleet.target_weights.set(Some(at(60_000)), model(), 2);
    assert!(fleet.target_weights.may_use_cache_stores(at(61_400), &model(), 1));
    assert!(!fleet.target_weights.may_use_cache_stores(at(61_600), &model(), 1));
    fleet.set_rows_as_of(at(61_400));
    assert!(fleet.target_weights.may_use_cache_stores(at(61_600), &model(), 1));
    // Rows that were missed may have shown that no engine had the older weights any more.
    fleet.set_rows_as_of(at(64_000));
    assert!(!fleet.target_weights.may_use_cache_stores(at(64_001), &model(), 1));
}

#[test]
fn host_that_has_just_started_allows_fetches_of_newest_weights_only() {
    let mut fleet = fleet([1, 2]);
    fleet.target_weights.set(None, model(), 2);
    assert!(!fleet.target_weights.may_use_cache_stores(at(1), &model(), 1));
    assert!(fleet.target_weights.may_use_cache_stores(at(1), &model(), 2));
}

/// A host that was suspended while a target was set may have missed rows that showed no engine with the
/// older weights any more, also if it reads the upstreams' rows before it learns of the target.
#[test]
fn host_that_learns_of_a_target_late_allows_fetches_of_newest_weights_only() {
    let mut fleet = fleet([1, 2]);
    fleet.set_rows_as_of(at(1000));
    fleet.set_rows_as_of(at(9000));
    fleet.target_weights.set(Some(at(1000)), model(), 2);
    assert!(!fleet.target_weights.may_use_cache_stores(at(9001), &model(), 1));
    assert!(fleet.target_weights.may_use_cache_stores(at(9001), &model(), 2));
}

proptest! {
    /// Engines load weights, stop and restart, and a host reads their rows late. No fetch of parts
    /// of older weights that the host allows is still in progress when another host frees them.
    #[test]
    fn no_part_is_freed_during_a_fetch(steps in prop::collection::vec((0_u8..5, 0_usize..3, 50_u64..900), 1..80)) {
        let mut tracker = Tracker::new(MAX_ROW_AGE);
        let mut engines = [Some(1), Some(1), Some(1)];
        let mut start_times = [1; 3];
        let mut host = fleet([1, 1]);
        host.upsert(at(0), row(2, 1, 1));
        host.target_weights.set(Some(at(0)), model(), 2);
        let (mut now, mut last_fetch) = (0, None::<u64>);
        for (step, index, pause) in steps {
            now += pause;
            match step {
                0 => engines[index] = engines[index].map(|_| 2),
                // The engine stops, and restarts with older weights.
                1 => engines[index] = None,
                2 if engines[index].is_none() => {
                    engines[index] = Some(1);
                    start_times[index] = now;
                }
                3 => {
                    for (index, weights) in engines.iter().enumerate() {
                        match weights {
                            Some(weights) => {
                                host.upsert(at(now), row(index, *weights, start_times[index]));
                            }
                            None => host.remove(at(0), &Upstream::new(format!("engine{index}"))),
                        }
                    }
                    host.set_rows_as_of(at(now));
                }
                _ => {}
            }
            let has_older = engines.iter().flatten().any(|it| *it == 1);
            if has_older && host.target_weights.may_use_cache_stores(at(now), &model(), 1) {
                last_fetch = Some(now);
            }
            let Some(oldest) = engines.iter().flatten().min() else { continue };
            let freed = tracker.observe(at(now), &[(model(), *oldest)]);
            if freed.iter().any(|it| it.1 == 2) {
                prop_assert!(
                    last_fetch.is_none_or(|it| it + FETCH_TIMEOUT_MS < now),
                    "{last_fetch:?} {now}"
                );
            }
        }
    }
}
