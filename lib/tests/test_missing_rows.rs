//! Tests of what a host keeps of upstreams whose rows come and go.

use std::{collections::HashMap, time::Duration};

use mothvale_lib::{
    configuration::ServiceEntry,
    fleet::{Choice, Fleet, Outcome, UpstreamRow},
    prelude::*,
    rate_limit::{Rate, Statement},
};
use mothvale_testutils::gateway::{ENGINES, at, choose_engine, engine, fleet};
use proptest::prelude::*;

fn row(index: usize, start_time_ms: u64) -> UpstreamRow {
    UpstreamRow { start_time_ms, ..engine(&format!("engine{index}"), "hobart") }
}

fn end(fleet: &mut Fleet, now: Instant, choice: &Choice, outcome: Outcome) {
    fleet.record_outcome(now, &ServiceEntry::default(), choice, outcome);
}

fn served(fleet: &mut Fleet, now: Instant, choice: &Choice) {
    end(fleet, now, choice, Outcome::Served(Duration::from_millis(20)));
}

/// Returns the requests in flight by upstream, as the host tells others.
fn in_flight(fleet: &Fleet) -> HashMap<u32, u32> {
    fleet.loads().into_iter().map(|(id, load)| (id, load.1)).collect()
}

proptest! {
    /// Rows come, go and come back, with the same process or another one, while requests begin and end.
    #[test]
    fn requests_in_flight_are_counted_whatever_becomes_of_rows(
        steps in prop::collection::vec((0_u8..6, 0_usize..3, 0_usize..8), 1..200),
    ) {
        let mut fleet = fleet(0);
        let mut rows: [Option<u64>; 3] = [None; 3];
        let mut starts = [1_u64; 3];
        let mut running: Vec<Choice> = Vec::new();
        for (step, (action, index, request)) in steps.into_iter().enumerate() {
            let now = at(step as u64 * 100);
            match action {
                0 => {
                    fleet.upsert(now, row(index, starts[index]));
                    rows[index] = Some(starts[index]);
                }
                1 => {
                    fleet.remove(now, &Upstream::new(format!("engine{index}")));
                    rows[index] = None;
                }
                2 => starts[index] += 1,
                3 | 4 => running.extend(choose_engine(&mut fleet, now, request as u64)),
                _ if request < running.len() => {
                    let choice = running.swap_remove(request);
                    served(&mut fleet, now, &choice);
                }
                _ => fleet.purge(now),
            }
            let mut expected: HashMap<u32, u32> = HashMap::new();
            for choice in &running {
                let is_listed = rows.iter().enumerate().any(|(index, start)| {
                    choice.id.as_str() == format!("engine{index}")
                        && *start == Some(choice.incarnation.start_time_ms)
                });
                if let (true, Some(id)) = (is_listed, fleet.short_id(&choice.id)) {
                    *expected.entry(id).or_default() += 1;
                }
            }
            prop_assert_eq!(in_flight(&fleet), expected);
        }
    }
}

/// Guards against a move to another build that is reported as completed while streams run at the old
/// upstreams: their rows were missing for a moment, and took the count along.
#[test]
fn requests_at_upstreams_without_rows_are_under_way() {
    let mut fleet = fleet(1);
    let (service, other) = (Service::new(ENGINES), Build::new("other"));
    let choice = choose_engine(&mut fleet, at(0), 1).unwrap();
    fleet.remove(at(10), &choice.id);
    assert_eq!(fleet.in_flight_beside(&service, &other), 1);
    // Longer than rows are kept without requests.
    for second in 1..100 {
        fleet.purge(at(second * 1000));
    }
    assert_eq!(fleet.in_flight_beside(&service, &other), 1);
    fleet.upsert(at(100_000), row(0, 1));
    assert_eq!(fleet.in_flight_beside(&service, &other), 1);
    served(&mut fleet, at(100_010), &choice);
    assert_eq!(fleet.in_flight_beside(&service, &other), 0);
}

/// Guards against an upstream that fails most of its requests, and gets them all again as its row was
/// missing for a moment.
#[test]
fn ejected_upstream_stays_ejected_when_its_row_is_back() {
    let mut fleet = fleet(1);
    let choice = choose_engine(&mut fleet, at(0), 1).unwrap();
    end(&mut fleet, at(10), &choice, Outcome::Unreachable);
    assert!(choose_engine(&mut fleet, at(20), 1).is_err());
    fleet.remove(at(30), &choice.id);
    fleet.upsert(at(40), row(0, 1));
    assert!(choose_engine(&mut fleet, at(50), 1).is_err());
    // Another process has not failed.
    fleet.remove(at(60), &choice.id);
    fleet.upsert(at(70), row(0, 2));
    assert!(choose_engine(&mut fleet, at(80), 1).is_ok());
}

/// Guards against a cold upstream that gets its share twice in a second.
#[test]
fn cold_rate_limit_holds_while_a_row_comes_and_goes() {
    let mut fleet = fleet(0);
    let cold = UpstreamRow { cold_remaining: Duration::from_secs(3), ..row(0, 1) };
    let mut sent = 0;
    for step in 0..90 {
        let now = at(step * 10);
        if step % 10 == 0 {
            fleet.remove(now, &cold.id);
            fleet.upsert(now, cold.clone());
        }
        for session in 0..10 {
            if let Ok(choice) = choose_engine(&mut fleet, now, session) {
                served(&mut fleet, now, &choice);
                sent += 1;
            }
        }
    }
    assert!(sent <= 29, "{sent}");
}

/// Guards against a limit that is forgotten while the row of the upstream is missing.
#[test]
fn limit_holds_when_a_row_is_back() {
    let mut fleet = fleet(1);
    let row = row(0, 1);
    let statement = Statement {
        upstream: row.id.clone(),
        incarnation: row.incarnation(),
        rate: Rate::try_from(0.5).ok(),
        said_at: at(0),
    };
    fleet.record_limit(at(0), &statement);
    assert!(fleet.limits.is_limited(&row));
    fleet.remove(at(10), &row.id);
    fleet.purge(at(20));
    fleet.upsert(at(30), row.clone());
    assert!(fleet.limits.is_limited(&row));
}

#[test]
fn rows_that_stay_away_are_forgotten() {
    let mut fleet = fleet(1);
    let choice = choose_engine(&mut fleet, at(0), 1).unwrap();
    end(&mut fleet, at(10), &choice, Outcome::Unreachable);
    fleet.remove(at(20), &choice.id);
    fleet.purge(at(31_000));
    fleet.upsert(at(31_000), row(0, 1));
    assert!(choose_engine(&mut fleet, at(31_010), 1).is_ok());
}
