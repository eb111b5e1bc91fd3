//! Unit tests of the gateway: row replicas, events, retry budgets, routes, host shares,
//! headers and weight rollouts.

use std::time::Duration;

use http::{HeaderMap, HeaderValue};
use mothvale_lib::{
    codec::WeightReport,
    configuration::Route,
    hop_by_hop,
    prelude::*,
    replica::{Replica, Revision, Row},
    retry_budget::RetryBudget,
    rollout::{Scheduler, Task, WeightState},
    share,
    sse::Decoder,
};
use mothvale_testutils::gateway::{ENGINES, at, configuration, engine, route};
use proptest::prelude::*;

fn row(key: &'static str, value: Option<&'static str>, version: u64) -> Row {
    let value = value.map(Bytes::from_static_str);
    Row { key: FastStr::new(key), value, version }
}

/// Returns a version of a store that never came back from a copy.
fn version(version: u64) -> Revision {
    Revision { era: 0, version }
}

trait FromStaticStr {
    fn from_static_str(text: &'static str) -> Bytes;
}

impl FromStaticStr for Bytes {
    fn from_static_str(text: &'static str) -> Bytes {
        Bytes::from_static(text.as_bytes())
    }
}

#[test]
fn replica_ignores_older_rows() {
    let mut replica = Replica::default();
    replica.apply_snapshot(vec![row("a", Some("1"), 3), row("b", Some("1"), 4)], version(4));
    // A snapshot that is older than the replica, after the store has dropped its history.
    assert!(replica.apply_snapshot(vec![row("a", Some("0"), 2)], version(3)).is_empty());
    assert_eq!(replica.revision(), version(4));
    assert!(replica.apply_changes(vec![row("a", Some("0"), 2)], version(4), version(5)).is_empty());
    let changes = replica.apply_snapshot(vec![row("a", Some("2"), 7)], version(8));
    assert_eq!(changes, [row("a", Some("2"), 7), row("b", None, 8)]);
    assert_eq!(replica.rows().count(), 1);
}

#[test]
fn replica_passes_removals_on_to_other_hosts() {
    let mut replica = Replica::default();
    replica.apply_changes(
        vec![row("a", Some("1"), 1), row("b", Some("1"), 2)],
        version(0),
        version(2),
    );
    replica.apply_changes(vec![row("a", None, 5)], version(2), version(6));
    assert_eq!(replica.changes_since(version(2)), [row("a", None, 5)]);
    let mut other = Replica::default();
    other.apply_changes(replica.changes_since(version(0)), version(0), replica.revision());
    assert_eq!(other.rows().map(|it| it.key.as_str()).collect::<Vec<_>>(), ["b"]);
}

proptest! {
    #[test]
    fn events_are_split_the_same_for_any_chunk_sizes(cuts in prop::collection::vec(1_usize..9, 1..40)) {
        const STREAM: &[u8] = b"id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nweights: 3\nid: 3\n\nid: 4\ndata";
        let mut decoder = Decoder::default();
        let (mut events, mut at) = (Vec::new(), 0);
        for cut in cuts.iter().cycle() {
            let end = (at + cut).min(STREAM.len());
            prop_assert!(decoder.push(&STREAM[at..end]));
            while let Some(event) = decoder.next_event() {
                events.push(event);
            }
            at = end;
            if at == STREAM.len() {
                break;
            }
        }
        let ids: Vec<_> = events.iter().map(|it| it.id).collect();
        prop_assert_eq!(ids, [Some(1), Some(2), Some(3)]);
        prop_assert_eq!(&decoder.take_remaining()[..], b"id: 4\ndata");
    }

    /// The shares of any number of hosts add up to the limit.
    #[test]
    fn shares_add_up(limit in 0_u32..200, count in 1_usize..90) {
        let hosts: Vec<_> = (0..count).map(|it| Host::new(format!("host{it}"))).collect();
        let shares = hosts.iter().map(|it| share::host_share(limit, "engine", it, &hosts));
        prop_assert_eq!(shares.sum::<u32>(), limit);
    }
}

#[test]
fn retry_budget_follows_requests_in_a_sliding_window() {
    let mut budget = RetryBudget::new(Duration::from_secs(10));
    for step in 0..100 {
        budget.record_request(at(step * 10));
    }
    let allowed = (0..100).filter(|_| budget.try_retry(at(1000), 0.2, 6.0)).count();
    // The budget leaves a fifth unused: it allows four fifths of the sum of a fifth of the 100
    // requests and the fixed part of 6.
    assert_eq!(allowed, 20);
    assert!(!budget.try_retry(at(9000), 0.2, 6.0));
    // The requests and retries have left the window, so only the fixed part remains.
    assert_eq!((0..100).filter(|_| budget.try_retry(at(12_000), 0.2, 6.0)).count(), 4);
}

/// A service answers many idempotent requests with errors: their retries leave half of the budget to
/// requests that got no answer.
#[test]
fn retries_after_errors_leave_half_of_the_budget() {
    let mut budget = RetryBudget::new(Duration::from_secs(10));
    for step in 0..100 {
        budget.record_request(at(step * 10));
    }
    let retried_errors = (0..100).take_while(|_| {
        budget.has_room_after_error(at(1000), 0.2, 6.0) && budget.try_retry(at(1000), 0.2, 6.0)
    });
    assert_eq!(retried_errors.count(), 10);
    assert_eq!((0..100).filter(|_| budget.try_retry(at(1000), 0.2, 6.0)).count(), 10);
    assert!(budget.has_room_after_error(at(11_500), 0.2, 6.0));
}

#[test]
fn longest_prefix_wins() {
    let configuration = configuration();
    let prefix = |path| configuration.route("example", path).map(|it| it.prefix.to_string());
    assert_eq!(prefix("/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(prefix("/a/bc").as_deref(), Some("/a/"));
    assert_eq!(prefix("/c/"), None);
    assert!(configuration.route("other", "/a/").is_none());
}

#[test]
fn patience_with_a_stream_follows_both_objectives() {
    let patience = |latency, pause| {
        let route = Route {
            latency_objective: Duration::from_millis(latency),
            pause_objective: Duration::from_millis(pause),
            ..route("/a/", ENGINES)
        };
        route.stream_patience().as_millis()
    };
    assert_eq!(patience(400, 0), 2_000);
    assert_eq!(patience(1_000, 400), 4_000);
    assert_eq!(patience(1_000, 600), 4_800);
}

#[test]
fn hop_by_hop_fields_are_not_forwarded() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "x-named, keep-alive"),
        ("x-named", "1"),
        ("keep-alive", "timeout=5"),
        ("transfer-encoding", "chunked"),
        ("expect", "100-continue"),
        ("accept", "text/plain"),
    ] {
        headers.insert(name, HeaderValue::from_static(value));
    }
    let kept = hop_by_hop::strip(&headers);
    assert_eq!(kept.keys().map(|it| it.as_str()).collect::<Vec<_>>(), ["accept"]);
}

fn orders(tasks: &[Task]) -> usize {
    tasks.iter().filter(|it| matches!(it, Task::FirstCheck(..))).count()
}

/// Eighteen upstreams have outdated weights, and three may load at once. Each is announced before its
/// order, so that no request arrives when it begins to load.
#[test]
fn orders_are_given_to_a_few_upstreams_at_a_time() {
    let mut outdated: Vec<_> = (0..18)
        .map(|it| (engine(&format!("engine{it}"), "hobart"), Model::new("demo"), 2))
        .collect();
    let mut scheduler = Scheduler::default();
    assert!(scheduler.tasks(at(0), &outdated, |_| 18).is_empty());
    let announced = scheduler.loading(at(10));
    assert_eq!(announced.len(), 4);
    assert_eq!(orders(&scheduler.tasks(at(300), &outdated, |_| 18)), 3);
    assert!(announced.iter().all(|it| scheduler.loading(at(310)).contains(it)));
    // The three are checked again; no further order is given meanwhile.
    let rechecks = scheduler.tasks(at(1000), &outdated, |_| 18);
    assert_eq!((rechecks.len(), orders(&rechecks)), (3, 0));
    // One has loaded the weights, so another upstream gets an order.
    let loaded = rechecks.iter().find_map(|it| match it {
        Task::Recheck(row, ..) => Some(row.id.clone()),
        Task::FirstCheck(..) => None,
    });
    outdated.retain(|it| Some(&it.0.id) != loaded.as_ref());
    assert_eq!(orders(&scheduler.tasks(at(1400), &outdated, |_| 18)), 1);
    // The slots of two orders that had no effect are used again.
    let after = [6400, 6700].map(|it| orders(&scheduler.tasks(at(it), &outdated, |_| 18)));
    assert_eq!(after.iter().sum::<usize>(), 2);
}

/// Two models get new weights. Each has its own limit, and an upstream with both gets both orders.
#[test]
fn models_are_rolled_out_beside_each_other() {
    let of = |model: &'static str, count: usize| {
        let rows = (0..count).map(move |it| engine(&format!("engine{it}"), "hobart"));
        rows.map(move |it| (it, Model::new(model), 2))
    };
    let outdated: Vec<_> = of("small", 5).chain(of("large", 20)).collect();
    let total = |model: &Model| if model.as_str() == "small" { 5 } else { 20 };
    let mut scheduler = Scheduler::default();
    scheduler.tasks(at(0), &outdated, total);
    let tasks = scheduler.tasks(at(300), &outdated, total);
    let count = |model| {
        let of_model =
            |it: &&Task| matches!(it, Task::FirstCheck(_, it, _) if it.as_str() == model);
        tasks.iter().filter(of_model).count()
    };
    assert_eq!((count("small"), count("large")), (1, 4));
    scheduler.mark_loaded(at(900), &Upstream::new("engine0"), &Model::new("small"));
    let mut again = scheduler.tasks(at(1000), &outdated, total);
    again.extend(scheduler.tasks(at(1300), &outdated, total));
    let large = |it: &&Task| matches!(it, Task::Recheck(row, model, _) if row.id.as_str() == "engine0" && model.as_str() == "large");
    assert!(again.iter().any(|it| large(&it)), "the order for the other model is still followed");
}

/// A load that takes 300 ms is found out soon after, once one has been measured.
#[test]
fn first_poll_follows_the_measured_load_time() {
    let outdated: Vec<_> = (0..10)
        .map(|it| (engine(&format!("engine{it}"), "hobart"), Model::new("demo"), 2))
        .collect();
    let mut scheduler = Scheduler::default();
    let (first, model) = (Upstream::new("engine0"), Model::new("demo"));
    scheduler.mark_accepted(at(0), &first, &model);
    scheduler.mark_loaded(at(300), &first, &model);
    scheduler.mark_accepted(at(400), &Upstream::new("engine1"), &model);
    let polled = |it: &Task| matches!(it, Task::Recheck(row, ..) if row.id.as_str() == "engine1");
    assert!(!scheduler.tasks(at(600), &outdated, |_| 10).iter().any(polled));
    assert!(scheduler.tasks(at(700), &outdated, |_| 10).iter().any(polled));
}

/// Operators set newer target weights while an upstream loads the previous ones. Once it has
/// loaded those, it needs another order at once.
#[test]
fn upstream_is_ordered_again_if_the_target_weights_changed_meanwhile() {
    let report = |busy, version| WeightReport {
        busy,
        orders: 1,
        models: SmallVec::from_iter([(Model::new("demo"), version)]),
    };
    let state =
        |busy, version| WeightState::from_report(&report(busy, version), &Model::new("demo"), 3);
    assert_eq!(state(true, 1), WeightState::Busy);
    assert_eq!(state(true, 2), WeightState::Busy);
    assert_eq!(state(false, 2), WeightState::Outdated);
    assert_eq!(state(false, 3), WeightState::Loaded);
    let outdated = [(engine("engine0", "hobart"), Model::new("demo"), 3)];
    let mut scheduler = Scheduler::default();
    scheduler.mark_accepted(at(0), &Upstream::new("engine0"), &Model::new("demo"));
    assert!(matches!(scheduler.tasks(at(1000), &outdated, |_| 9)[..], [Task::Recheck(..)]));
    // It accepted the second order, whose timeout starts anew.
    scheduler.mark_accepted(at(1000), &Upstream::new("engine0"), &Model::new("demo"));
    assert!(scheduler.tasks(at(1400), &outdated, |_| 9).is_empty());
    assert!(matches!(scheduler.tasks(at(6500), &outdated, |_| 9)[..], [Task::Recheck(..)]));
}

#[test]
fn failed_order_is_given_again_after_a_pause() {
    let outdated = [(engine("engine0", "hobart"), Model::new("demo"), 2)];
    let mut scheduler = Scheduler::default();
    scheduler.tasks(at(0), &outdated, |_| 1);
    assert_eq!(scheduler.tasks(at(300), &outdated, |_| 1).len(), 1);
    scheduler.mark_failed(at(350), &Upstream::new("engine0"), &Model::new("demo"));
    assert!(scheduler.loading(at(360)).is_empty());
    assert!(scheduler.tasks(at(800), &outdated, |_| 1).is_empty());
    assert!(scheduler.loading(at(810)).is_empty(), "not announced before the pause has ended");
    scheduler.tasks(at(1200), &outdated, |_| 1);
    assert_eq!(scheduler.tasks(at(1500), &outdated, |_| 1).len(), 1);
}
