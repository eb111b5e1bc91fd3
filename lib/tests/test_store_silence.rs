//! Tests of which calls to the row store are given up, because they may never be answered.

use std::time::Duration;

use mothvale_lib::store_silence::{Outcome, Silence};
use mothvale_testutils::gateway::at;

/// Guards against calls that are awaited for as long as they may wait for changes, although the store was silent since.
#[test]
fn calls_from_before_a_silence_are_lost_once_a_later_one_is_answered() {
    let mut silence = Silence::default();
    assert!(!silence.record(at(1000), Outcome::Answered));
    assert!(!silence.record(at(2000), Outcome::Silent));
    // This call was sent before the silence and was on its way.
    assert!(!silence.record(at(1990), Outcome::Answered));
    assert!(!silence.record(at(3400), Outcome::Silent));
    assert!(silence.record(at(4800), Outcome::Answered));
    assert_eq!(silence.lost_before(), at(4800));
    assert!(!silence.record(at(4900), Outcome::Answered));
    assert_eq!(silence.lost_before(), at(4800));
}

/// Guards against calls that are given up again and again: those that were lost in the same silence fail later.
#[test]
fn late_failures_of_a_silence_that_is_over_lose_nothing_more() {
    let mut silence = Silence::default();
    silence.record(at(1000), Outcome::Silent);
    assert!(silence.record(at(3000), Outcome::Answered));
    silence.record(at(2900), Outcome::Silent);
    assert!(!silence.record(at(4000), Outcome::Answered));
    assert_eq!(silence.lost_before(), at(3000));
}

/// Guards against calls that are repeated because a store with much to do refuses single ones.
#[test]
fn single_refusals_lose_nothing() {
    let mut silence = Silence::default();
    silence.record(at(1000), Outcome::Refused);
    assert!(!silence.record(at(1200), Outcome::Answered));
    silence.record(at(2000), Outcome::Refused);
    silence.record(at(2500), Outcome::Refused);
    assert!(silence.record(at(2600), Outcome::Answered));
    assert_eq!(silence.lost_before().since(at(2600)), Duration::ZERO);
}
