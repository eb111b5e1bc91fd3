//! Tests of `store_history`, which bounds the age of rows that a host learns of late.

use std::time::Duration;

use mothvale_lib::store_history::History;
use mothvale_testutils::gateway::at;
use proptest::prelude::*;

#[test]
fn row_was_written_after_the_last_older_version_was_seen() {
    let mut history = History::default();
    assert_eq!(history.written_after(7), None);
    history.record(at(1000), 5);
    history.record(at(2000), 6);
    // The host is suspended for four seconds. The first response after that is to another call.
    history.record(at(6000), 9);
    assert_eq!(history.written_after(7), Some(at(2000)));
    assert_eq!(history.written_after(6), Some(at(1000)));
    assert_eq!(history.written_after(5), None);
    assert_eq!(history.written_after(10), Some(at(6000)));
}

/// A long poll is sent long before its response shows a new version.
#[test]
fn response_to_an_old_call_changes_no_later_sighting() {
    let mut history = History::default();
    history.record(at(1000), 5);
    history.record(at(8000), 5);
    history.record(at(1000), 6);
    assert_eq!(history.written_after(6), Some(at(8000)));
    assert_eq!(history.written_after(7), Some(at(8000)));
}

/// Reads ten times a second do not push out what is needed for a row that arrives 20 s late.
#[test]
fn history_reaches_back_further_than_a_long_poll_waits() {
    let mut history = History::default();
    for step in 0..600 {
        history.record(at(step * 100), step);
    }
    let bound = history.written_after(380).expect("the history reaches back 22 s");
    assert!(bound < at(38_000));
    assert!(at(38_000).since(bound) <= Duration::from_millis(500));
}

proptest! {
    /// The store's version rises at random times. Calls are answered late and out of order, and the
    /// version is that of any moment between call and response. No bound is later than the write.
    #[test]
    fn bound_is_never_later_than_the_write(
        writes in prop::collection::vec(1_u64..900, 1..60),
        calls in prop::collection::vec((0_u64..30_000, 0_u64..22_000, 0.0_f64..1.0), 1..400),
    ) {
        // Version n is written at `written[n - 1]`.
        let written: Vec<u64> =
            writes.iter().scan(0, |time, gap| { *time += gap; Some(*time) }).collect();
        let version_at = |time: u64| written.iter().filter(|it| **it <= time).count() as u64;
        let mut responses: Vec<_> = calls
            .iter()
            .map(|(sent, took, point)| {
                (sent + took, *sent, version_at(sent + (*took as f64 * point) as u64))
            })
            .collect();
        responses.sort_unstable();
        let mut history = History::default();
        for (_, sent, version) in responses {
            history.record(at(sent), version);
            for (index, time) in written.iter().enumerate() {
                if let Some(bound) = history.written_after(index as u64 + 1) {
                    prop_assert!(bound < at(*time), "version {} of {time} ms", index + 1);
                }
            }
        }
    }
}
