//! Tests of how news of crashes reaches hosts that start, are suspended or cut off: what is told again, when requests are
//! held, and the row that outlives all hosts.

use std::time::Duration;

use mothvale_lib::{
    crash_contact::{Contact, MAX_HOLD, START_HOLD},
    crash_store::{parse_row, state, to_row},
    outbox::Outbox,
    poison::{CauseReport, Key},
    prelude::*,
};
use mothvale_testutils::gateway::at;

fn cause(key: u64, trials: u32) -> CauseReport {
    CauseReport {
        parts: [Key(key), Key(key + 1)].into_iter().collect(),
        last_crash_age: Duration::from_secs(5),
        trials,
        next_trial_in: Duration::from_secs(20),
    }
}

/// Guards against news that is lost with one message: the receiver was suspended, or the link dropped it.
#[test]
fn news_is_told_again_for_longer_than_a_connection_outlives_silence() {
    let mut outbox = Outbox::default();
    outbox.push(at(1000), "crash");
    let told: Vec<_> = (1000..10_000)
        .step_by(50)
        .filter(|it| !outbox.take_due(at(*it), |_| true).is_empty())
        .collect();
    assert_eq!(told[0], 1000);
    assert!((3..=6).contains(&told.len()), "{told:?}");
    assert!(told.last().unwrap() - told[0] > 3000, "{told:?}");
    assert!(outbox.is_empty());
}

#[test]
fn news_that_no_longer_holds_is_told_once() {
    let mut outbox = Outbox::default();
    outbox.push(at(1000), "crash");
    assert_eq!(outbox.take_due(at(1000), |_| false), ["crash"]);
    assert!(outbox.take_due(at(5000), |_| false).is_empty());
    assert!(outbox.is_empty());
}

/// Guards against messages that multiply: an answer is told again for each report that it answers, and each report comes
/// several times.
#[test]
fn news_that_replaces_other_news_is_told_no_more_often() {
    let mut outbox = Outbox::default();
    let mut told = Vec::new();
    for millis in (1000..10_000).step_by(50) {
        if millis < 4000 && !outbox.replace(("key", millis), |it| it.0 == "key") {
            outbox.push(at(millis), ("key", millis));
        }
        told.extend(outbox.take_due(at(millis), |_| true));
    }
    assert!(told.len() <= 8 && told.is_sorted(), "{told:?}");
    assert!(told.last().unwrap().1 > 3900, "{told:?}");
}

#[test]
fn news_stays_bounded() {
    let mut outbox = Outbox::default();
    let added = (0..5000).filter(|it| outbox.push(at(0), *it)).count();
    assert!(added < 2000 && outbox.len() == added);
}

#[test]
fn host_that_starts_holds_requests_until_it_is_told_or_for_a_second() {
    let mut told = Contact::default();
    assert_eq!(told.held_until(at(100), false), Some(Instant::ZERO + START_HOLD));
    told.record_word(at(200));
    assert_eq!(told.held_until(at(210), false), None);
    let mut alone = Contact::default();
    assert!(alone.held_until(at(999), false).is_some());
    // It goes on alone, whatever the time.
    for millis in [1001, 5000, 50_000] {
        assert_eq!(alone.held_until(at(millis), false), None);
    }
    let mut reader = Contact::default();
    reader.record_answer(at(10));
    assert_eq!(reader.held_until(at(20), false), None);
    // The row may be older than what the other hosts know.
    assert!(reader.held_until(at(20), true).is_some());
    reader.record_word(at(30));
    assert_eq!(reader.held_until(at(40), true), None);
}

/// Returns the contact of a host that has had messages until `millis`.
fn in_contact(millis: u64) -> Contact {
    let mut contact = Contact::default();
    for it in (0..=millis).step_by(50) {
        contact.record_turn(at(it));
        contact.record_word(at(it));
        assert_eq!(contact.held_until(at(it), true), None);
    }
    contact
}

/// Guards against deadly requests that a host sends right after a suspension. Messages that waited meanwhile may be from
/// before the others knew.
#[test]
fn suspended_host_holds_requests_until_another_one_answers() {
    for is_request_first in [false, true] {
        let mut contact = in_contact(5000);
        if is_request_first {
            assert!(contact.held_until(at(10_000), false).is_some());
        }
        contact.record_turn(at(10_001));
        contact.record_word(at(10_002));
        assert!(contact.held_until(at(10_010), false).is_some());
        // Asked before the suspension.
        contact.record_answer(at(4990));
        assert!(contact.held_until(at(10_020), false).is_some());
        contact.record_answer(at(10_015));
        assert_eq!(contact.held_until(at(10_030), false), None);
    }
}

/// Guards against requests that wait again and again at a host that stays cut off from the others.
#[test]
fn host_that_is_cut_off_holds_requests_once() {
    let mut contact = in_contact(5000);
    let mut held = Vec::new();
    for millis in (5000..60_000).step_by(50) {
        contact.record_turn(at(millis));
        held.extend(contact.held_until(at(millis), false).map(|_| millis));
    }
    let longest = held.last().unwrap() - held[0];
    assert!(Duration::from_millis(longest) <= MAX_HOLD, "{held:?}");
    // Each loss of contact counts.
    for millis in (60_000..62_000).step_by(50) {
        contact.record_turn(at(millis));
        contact.record_word(at(millis));
    }
    contact.record_turn(at(63_500));
    assert!(contact.held_until(at(64_000), false).is_some());
}

#[test]
fn row_is_read_as_of_the_time_at_which_it_was_written() {
    let causes = [cause(7, 1), cause(3, 2)];
    let row = to_row(&causes, Duration::from_secs(100));
    let read = parse_row(&row, Duration::from_secs(108)).unwrap();
    assert_eq!(state(&read), state(&causes));
    assert_eq!(read[0].last_crash_age, Duration::from_secs(13));
    assert_eq!(read[0].next_trial_in, Duration::from_secs(12));
    // The store came back from a copy whose clock is behind.
    let earlier = parse_row(&row, Duration::from_secs(90)).unwrap();
    assert_eq!(earlier[0].last_crash_age, Duration::from_secs(5));
    assert_eq!(parse_row(&row, Duration::from_secs(500)).unwrap()[0].next_trial_in, Duration::ZERO);
    assert_eq!(parse_row(&Bytes::from_static(b"\xff\xff"), Duration::ZERO), None);
}

#[test]
fn state_of_causes_does_not_depend_on_their_order() {
    assert_eq!(state(&[cause(3, 0), cause(7, 1)]), state(&[cause(7, 1), cause(3, 0)]));
    assert_ne!(state(&[cause(3, 0)]), state(&[cause(3, 1)]));
    assert!(state(&[]).is_empty());
}
