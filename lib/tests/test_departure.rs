//! Tests of upstreams that have said that they are shutting down, as the fleet keeps them.

use std::time::Duration;

use mothvale_lib::{
    departure::{Departure, Departures},
    fleet::{Denial, Fleet, UpstreamRow},
    generated::peer,
    prelude::*,
};
use mothvale_testutils::gateway::{at, choose_engine, engine, fleet};
use proptest::prelude::*;

fn departure(row: &UpstreamRow) -> Departure {
    Departure { upstream: row.id.clone(), incarnation: row.incarnation(), age: Duration::ZERO }
}

fn started_at(start_time_ms: u64) -> UpstreamRow {
    UpstreamRow { start_time_ms, ..engine("engine0", "hobart") }
}

#[test]
fn only_a_new_process_brings_a_leaving_upstream_back() {
    let mut fleet = fleet(1);
    assert!(fleet.departures.record(at(10), &departure(&started_at(1))));
    assert!(!fleet.departures.record(at(20), &departure(&started_at(1))));
    let no_upstream = |fleet: &mut Fleet, ms| {
        matches!(choose_engine(fleet, at(ms), 1), Err(Denial::NoUpstream(_)))
            && fleet.has_no_active()
    };
    assert!(no_upstream(&mut fleet, 30));
    fleet.upsert(at(40), started_at(1));
    assert!(no_upstream(&mut fleet, 50));
    fleet.remove(at(0), &Upstream::new("engine0"));
    fleet.upsert(at(60), started_at(1));
    assert!(no_upstream(&mut fleet, 70));
    fleet.upsert(at(80), started_at(2));
    assert!(choose_engine(&mut fleet, at(90), 1).is_ok());
    // The row store returns from a copy in which the former process was still there.
    fleet.upsert(at(100), started_at(1));
    assert!(no_upstream(&mut fleet, 110));
}

/// A row without a start time may be about any process at its address.
#[test]
fn row_without_a_start_time_does_not_bring_a_leaving_upstream_back() {
    let mut fleet = fleet(1);
    fleet.departures.record(at(10), &departure(&started_at(1)));
    fleet.upsert(at(20), started_at(0));
    assert!(choose_engine(&mut fleet, at(30), 1).is_err());
    let address = "127.0.0.2:9".parse().unwrap();
    fleet.upsert(at(40), UpstreamRow { address, ..started_at(0) });
    assert!(choose_engine(&mut fleet, at(50), 1).is_ok());
}

#[test]
fn departure_is_known_before_the_row() {
    let mut fleet = fleet(0);
    fleet.departures.record(at(10), &departure(&started_at(1)));
    fleet.upsert(at(20), started_at(1));
    assert!(choose_engine(&mut fleet, at(30), 1).is_err());
}

/// A leaving upstream is also no source of cached prompts, and gets no orders for weights.
#[test]
fn leaving_upstream_is_no_source_and_gets_no_orders() {
    let mut fleet = fleet(2);
    fleet.target_weights.set(Some(at(0)), Model::new("demo"), 2);
    fleet.departures.record(at(10), &departure(&started_at(1)));
    for session in 0..40 {
        let choice = choose_engine(&mut fleet, at(20), session).unwrap();
        assert_eq!((choice.id.as_str(), choice.cache_source), ("engine1", None));
    }
    let outdated: Vec<_> = fleet.outdated().into_iter().map(|it| it.0.id).collect();
    assert_eq!(outdated, [Upstream::new("engine1")]);
}

#[test]
fn departures_are_news_for_a_second_and_kept_for_an_hour_or_while_listed() {
    let mut departures = Departures::default();
    let old = Departure { age: Duration::from_millis(300), ..departure(&started_at(1)) };
    departures.record(at(1000), &old);
    let news = departures.news(at(1400));
    assert_eq!(news, [Departure { age: Duration::from_millis(700), ..old }]);
    assert!(departures.news(at(2000)).is_empty());
    departures.purge(at(3_600_000), |_, _| false);
    assert!(departures.contains(&started_at(1)));
    departures.purge(at(3_700_000), |_, it| it == started_at(1).incarnation());
    assert!(departures.contains(&started_at(1)));
    departures.purge(at(3_700_000), |_, _| false);
    assert!(!departures.contains(&started_at(1)));
}

#[test]
fn departure_goes_through_gossip() {
    let sent = Departure { age: Duration::from_millis(250), ..departure(&started_at(7)) };
    let message = peer::Departure::from(sent.clone());
    assert_eq!(Departure::try_from(&message), Ok(sent));
    let unreadable = peer::Departure { address: "nowhere".into(), ..message };
    assert!(Departure::try_from(&unreadable).is_err());
}

/// What may happen to the one upstream of a fleet.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// Its row says that it is ready, by the process with this start time; 0 if none is given.
    Row(u64),
    /// Its row is removed.
    Removed,
    /// A response, or another host, says that the process with this start time is leaving.
    Leaving(u64),
    Purge,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0_u64..4).prop_map(Event::Row),
        1 => Just(Event::Removed),
        2 => (1_u64..4).prop_map(Event::Leaving),
        1 => Just(Event::Purge),
    ]
}

proptest! {
    /// Whatever the order of rows, removals and news, a process that was said to leave is never
    /// chosen, and one that was not is.
    #[test]
    fn leaving_processes_are_never_chosen(events in prop::collection::vec(event(), 1..40)) {
        let mut fleet = fleet(0);
        let (mut current, mut leaving) = (None, std::collections::HashSet::new());
        for (index, event) in events.into_iter().enumerate() {
            let now = at(index as u64 * 400);
            match event {
                Event::Row(start) => {
                    fleet.upsert(now, started_at(start));
                    current = Some(start);
                }
                Event::Removed => {
                    fleet.remove(at(0), &Upstream::new("engine0"));
                    current = None;
                }
                Event::Leaving(start) => {
                    fleet.departures.record(now, &departure(&started_at(start)));
                    leaving.insert(start);
                }
                Event::Purge => fleet.purge(now),
            }
            let is_leaving = |start| match start {
                0 => !leaving.is_empty(),
                _ => leaving.contains(&start),
            };
            let expected = current.is_some_and(|it| !is_leaving(it));
            prop_assert_eq!(choose_engine(&mut fleet, now, 1).is_ok(), expected, "{:?}", event);
        }
    }
}
