//! Tests of pauses that upstreams ask for, as they are read and as the fleet keeps them.

use std::time::{Duration, SystemTime};

use mothvale_lib::{
    admission::Pressure,
    codec::RetryAfter,
    fleet::{Choice, Denial, Fleet, Outcome, UpstreamRow},
    pause::{Length, NoPause, spread},
    prelude::*,
};
use mothvale_testutils::gateway::{ENGINES, at, choose_engine, configuration, engine, fleet};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);
/// Longest time by which a pause of a second is spread.
const SECOND_SPREAD: Duration = Duration::from_millis(250);

fn record_outcome(fleet: &mut Fleet, now: Instant, choice: &Choice, outcome: Outcome) {
    let configuration = configuration();
    fleet.record_outcome(now, &configuration.services[&Service::new(ENGINES)], choice, outcome);
}

fn started_at(index: u64, start_time_ms: u64) -> UpstreamRow {
    UpstreamRow { start_time_ms, ..engine(&format!("engine{index}"), "hobart") }
}

fn pause(fleet: &mut Fleet, now: Instant, row: &UpstreamRow, duration: Duration) -> bool {
    fleet.pauses.record(now, &row.id, row.incarnation(), duration, 1)
}

fn read(value: RetryAfter) -> Result<Length, NoPause> {
    Length::read(Some(&value), None, SystemTime::UNIX_EPOCH + 100 * SECOND)
}

#[test]
fn seconds_are_read_and_bounded() {
    let length = |duration, bounded| Ok(Length { duration, bounded });
    assert_eq!(read(RetryAfter::Seconds(0.25)), length(Duration::from_millis(250), false));
    assert_eq!(read(RetryAfter::Seconds(3600.0)), length(3600 * SECOND, false));
    assert_eq!(read(RetryAfter::Seconds(3601.0)), length(3600 * SECOND, true));
    assert_eq!(read(RetryAfter::Seconds(1e300)), length(3600 * SECOND, true));
    assert_eq!(read(RetryAfter::Seconds(0.0)), Err(NoPause::Zero));
    assert_eq!(read(RetryAfter::Seconds(-1.0)), Err(NoPause::Negative));
    assert_eq!(read(RetryAfter::Seconds(f64::NAN)), Err(NoPause::NotFinite));
    assert_eq!(read(RetryAfter::Seconds(f64::INFINITY)), Err(NoPause::NotFinite));
    assert_eq!(read(RetryAfter::Unreadable("soon".into())), Err(NoPause::Unreadable));
    let none = Length::read(None, None, SystemTime::UNIX_EPOCH);
    assert_eq!(none, Err(NoPause::Missing));
}

/// The time of day of the host may be wrong, so the upstream's own comes first.
#[test]
fn date_is_compared_with_the_time_of_the_response() {
    let (epoch, length) = (SystemTime::UNIX_EPOCH, |seconds, bounded| {
        Ok(Length { duration: seconds * SECOND, bounded })
    });
    let date = RetryAfter::Date(epoch + 105 * SECOND);
    assert_eq!(read(date.clone()), length(5, false));
    let read_at = |response_date| Length::read(Some(&date), Some(response_date), epoch);
    assert_eq!(read_at(epoch + 103 * SECOND), length(2, false));
    assert_eq!(read_at(epoch + 105 * SECOND), Err(NoPause::Past));
    assert_eq!(read_at(epoch + 200 * SECOND), Err(NoPause::Past));
    assert_eq!(read_at(epoch), length(60, true));
}

#[test]
fn pause_ends_when_it_is_over() {
    let mut fleet = fleet(1);
    assert!(pause(&mut fleet, at(1000), &started_at(0, 1), SECOND));
    for ms in [1000, 1500, 1999] {
        assert!(matches!(choose_engine(&mut fleet, at(ms), 1), Err(Denial::Paused(_))), "{ms}");
    }
    assert!(choose_engine(&mut fleet, at(2000) + SECOND_SPREAD, 1).is_ok());
    // Another one is a new pause.
    assert!(pause(&mut fleet, at(2500), &started_at(0, 1), SECOND));
}

/// Responses to requests that were under way ask for less than the first one.
#[test]
fn shorter_pause_changes_nothing() {
    let mut fleet = fleet(1);
    assert!(pause(&mut fleet, at(0), &started_at(0, 1), 10 * SECOND));
    assert!(!pause(&mut fleet, at(100), &started_at(0, 1), SECOND));
    assert!(choose_engine(&mut fleet, at(9999), 1).is_err());
}

#[test]
fn pause_holds_for_one_process() {
    let mut fleet = fleet(1);
    pause(&mut fleet, at(0), &started_at(0, 1), 60 * SECOND);
    fleet.upsert(at(10), started_at(0, 1));
    assert!(choose_engine(&mut fleet, at(11), 1).is_err());
    fleet.remove(at(0), &Upstream::new("engine0"));
    fleet.upsert(at(20), started_at(0, 1));
    assert!(choose_engine(&mut fleet, at(21), 1).is_err());
    fleet.upsert(at(30), started_at(0, 2));
    assert!(choose_engine(&mut fleet, at(31), 1).is_ok());
    fleet.upsert(at(40), started_at(0, 1));
    assert!(choose_engine(&mut fleet, at(41), 1).is_err());
    // A row without a start time may be about any process at its address.
    fleet.upsert(at(50), started_at(0, 0));
    assert!(choose_engine(&mut fleet, at(51), 1).is_err());
}

/// The others are ejected or back off: the paused one is no last resort.
#[test]
fn paused_upstream_is_no_last_resort() {
    let mut fleet = fleet(2);
    pause(&mut fleet, at(0), &started_at(0, 1), 60 * SECOND);
    let choice = choose_engine(&mut fleet, at(10), 1).unwrap();
    assert_eq!((choice.id.as_str(), choice.cache_source), ("engine1", None));
    record_outcome(&mut fleet, at(20), &choice, Outcome::Unreachable);
    // Not all pause, so the time is that until the ejection ends.
    assert_eq!(choose_engine(&mut fleet, at(30), 2), Err(Denial::Full(Duration::from_millis(390))));
}

/// A pause is not a failure: afterwards the upstream gets requests as before.
#[test]
fn pause_does_not_count_against_health() {
    let mut fleet = fleet(1);
    for round in 0..40 {
        let now = at(round * 2000);
        let choice = choose_engine(&mut fleet, now, round).unwrap();
        record_outcome(&mut fleet, now, &choice, Outcome::Paused);
        pause(&mut fleet, now, &started_at(0, 1), SECOND);
    }
    assert!(!fleet.fails_often(&Upstream::new("engine0")));
    for session in 0..5 {
        assert!(choose_engine(&mut fleet, at(90_000), session).is_ok());
    }
}

#[test]
fn callers_are_told_the_earliest_return_and_spread_out() {
    let mut fleet = fleet(3);
    for index in 0..3 {
        pause(&mut fleet, at(0), &started_at(index, 1), (4 + 2 * index as u32) * SECOND);
    }
    let first = fleet.pauses.until(at(0), &started_at(0, 1)).unwrap();
    let mut waits: Vec<_> = (0..100)
        .map(|session| match choose_engine(&mut fleet, at(1000), session) {
            Err(Denial::Paused(wait)) => wait,
            other => panic!("{other:?}"),
        })
        .collect();
    waits.sort();
    let (wait, span) = (first.since(at(1000)), first.since(at(1000)).mul_f64(0.25));
    assert!(waits[0] >= wait && waits[99] <= wait + span, "{waits:?}");
    // None of ten equal parts of the span has more than a quarter of the callers.
    for part in 0..10 {
        let (from, to) = (wait + span * part / 10, wait + span * (part + 1) / 10);
        let count = waits.iter().filter(|it| **it >= from && **it < to).count();
        assert!(count <= 25, "{count} callers come back within a tenth of the span");
    }
}

#[test]
fn hosts_return_one_after_the_other() {
    let delays: std::collections::HashSet<_> =
        (0..50).map(|host| spread(4 * SECOND, host).as_millis() / 100).collect();
    assert!(delays.len() >= 8, "{delays:?}");
    assert!((0..50).all(|host| spread(4 * SECOND, host) <= SECOND));
}

/// Engines that pause take no load, so they do not make the others seem idle.
#[test]
fn paused_engines_do_not_lower_the_mean_load() {
    let load = |fleet: &mut Fleet| -> f64 {
        let loads = std::collections::HashMap::from([(
            fleet.short_id(&Upstream::new("engine0")).unwrap(),
            (300_000, 40),
        )]);
        fleet.record_peer_loads(at(0), &Host::new("host1"), loads);
        let shed = (0..200).find_map(|session| match choose_engine(fleet, at(1), session) {
            Err(Denial::Shed(_, Pressure { load, .. })) => Some(load),
            _ => None,
        });
        shed.unwrap_or_default()
    };
    assert!(load(&mut fleet(4)) < 1.0);
    let mut fleet = fleet(4);
    for index in 1..4 {
        pause(&mut fleet, at(0), &started_at(index, 1), SECOND);
    }
    assert!(load(&mut fleet) > 2.0);
}

/// What may happen to the one upstream of a fleet.
#[derive(Clone, Copy, Debug)]
enum Event {
    Row(u64),
    Removed,
    /// The process with this start time asks for a pause of so many milliseconds.
    Pause(u64, u64),
    Purge,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (1_u64..3).prop_map(Event::Row),
        1 => Just(Event::Removed),
        3 => (1_u64..3, 1_u64..3000).prop_map(|(start, ms)| Event::Pause(start, ms)),
        1 => Just(Event::Purge),
    ]
}

proptest! {
    /// Whatever the order of rows, removals and pauses, a process is never chosen before the end of its
    /// longest pause, and is chosen again once the time for spreading is over too.
    #[test]
    fn pauses_hold_and_end(events in prop::collection::vec((0_u64..1500, event()), 1..40)) {
        let mut fleet = fleet(0);
        let (mut now_ms, mut current) = (0, None);
        let mut ends = std::collections::HashMap::new();
        for (step_ms, event) in events {
            now_ms += step_ms;
            let now = at(now_ms);
            match event {
                Event::Row(start) => {
                    fleet.upsert(now, started_at(0, start));
                    current = Some(start);
                }
                Event::Removed => {
                    fleet.remove(at(0), &Upstream::new("engine0"));
                    current = None;
                }
                Event::Pause(start, ms) => {
                    pause(&mut fleet, now, &started_at(0, start), Duration::from_millis(ms));
                    let span = Duration::from_millis(ms).mul_f64(0.25).max(Duration::from_millis(200));
                    let end: &mut (Instant, Instant) = ends.entry(start).or_default();
                    end.0 = end.0.max(now + Duration::from_millis(ms));
                    end.1 = end.1.max(now + Duration::from_millis(ms) + span);
                }
                Event::Purge => fleet.purge(now),
            }
            let Some(start) = current else { continue };
            let (earliest, latest) = ends.get(&start).copied().unwrap_or_default();
            let chosen = choose_engine(&mut fleet, now, 1);
            if now < earliest {
                prop_assert!(matches!(chosen, Err(Denial::Paused(_))), "{:?}", event);
            } else if now >= latest {
                prop_assert!(chosen.is_ok(), "{:?} {:?}", event, chosen);
            }
        }
    }
}
