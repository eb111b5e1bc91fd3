//! Tests of `store_history`, which bounds the age of rows that a host learns of late.

use std::time::Duration;

use mothvale_lib::{replica::Revision, store_history::History};
use mothvale_testutils::gateway::at;
use proptest::prelude::*;

/// Returns a version of a store that never came back from a copy.
fn version(version: u64) -> Revision {
    Revision { era: 0, version }
}

#[test]
fn row_was_written_after_the_last_older_version_was_seen() {
    let mut history = History::default();
    assert_eq!(history.written_after(7), None);
    history.record(at(1000), version(5));
    history.record(at(2000), version(6));
    // The host is suspended for four seconds. The first response after that is to another call.
    history.record(at(6000), version(9));
    assert_eq!(history.written_after(7), Some(at(2000)));
    assert_eq!(history.written_after(6), Some(at(1000)));
    assert_eq!(history.written_after(5), None);
    assert_eq!(history.written_after(10), Some(at(6000)));
}

/// A long poll is sent long before its response shows a new version.
#[test]
fn response_to_an_old_call_changes_no_later_sighting() {
    let mut history = History::default();
    history.record(at(1000), version(5));
    history.record(at(8000), version(5));
    history.record(at(1000), version(6));
    assert_eq!(history.written_after(6), Some(at(8000)));
    assert_eq!(history.written_after(7), Some(at(8000)));
}

/// The store came back from a copy: row 7 may be of the copy, or the eighth write that was lost.
#[test]
fn versions_of_a_former_era_bound_no_row_of_the_new_one() {
    let mut history = History::default();
    history.record(at(1000), version(5));
    history.record(at(2000), Revision { era: 1, version: 7 });
    assert_eq!(history.written_after(7), None);
    assert_eq!(history.written_after(8), Some(at(2000)));
    // A response of the former era that arrives late.
    history.record(at(1900), version(6));
    assert_eq!(history.written_after(7), None);
}

/// The store answers a waiting call as soon as a row changes, and the host reads that answer after a
/// suspension of four seconds.
#[test]
fn held_call_tells_when_a_row_was_written() {
    let clock = |millis: u64| Duration::from_millis(70_000 + millis);
    let mut history = History::default();
    history.record(at(1000), version(5));
    history.observe_clock(at(1000), clock(1004));
    // The row was written at 3,000.
    history.record_held_call(at(1100), clock(3002), version(6));
    let bound = history.written_after(6).unwrap();
    assert!(bound < at(3000) && at(3000).since(bound) < Duration::from_millis(200), "{bound:?}");
    // A call that was answered at once came after the write.
    history.record_held_call(at(4000), clock(4006), version(8));
    assert_eq!(history.written_after(8), Some(bound));
    // Its clock says more than the first one; nothing is known of the clock of another era.
    history.observe_clock(at(4000), clock(4001));
    history.record(at(5000), Revision { era: 1, version: 3 });
    history.record_held_call(at(5000), clock(9000), Revision { era: 1, version: 5 });
    assert_eq!(history.written_after(5), Some(at(5000)));
}

/// Reads a few times a second do not push out what is needed for a row that arrives 22 s late.
#[test]
fn history_reaches_back_further_than_a_long_poll_waits() {
    for period in [60, 100, 125, 130, 200, 250] {
        let mut history = History::default();
        let steps = 60_000 / period;
        for step in 0..steps {
            history.record(at(step * period), version(step));
        }
        let late = steps - 22_000 / period;
        let written = at(late * period);
        let bound = history.written_after(late).expect("the history reaches back 22 s");
        assert!(bound < written, "{period}");
        assert!(written.since(bound) <= Duration::from_millis(500), "{period}");
    }
}

proptest! {
    /// A call waits until a row changes. Other calls, which take a while to arrive, tell the store's
    /// clock. No bound is later than the write, and that of a held call is
    /// close to it.
    #[test]
    fn held_calls_bound_the_write_closely(
        write in 600_u64..20_000,
        calls in prop::collection::vec((0_u64..500, 0_u64..80), 1..20),
    ) {
        let clock = |time: u64| Duration::from_millis(time + 5_000);
        let mut history = History::default();
        for (sent, there) in &calls {
            history.observe_clock(at(*sent), clock(sent + there));
            history.record(at(*sent), version(4));
        }
        // Answered at the write; when the host reads the answer does not matter.
        history.record_held_call(at(0), clock(write), version(5));
        let bound = history.written_after(5).unwrap();
        prop_assert!(bound < at(write));
        prop_assert!(write < 700 || at(write).since(bound) <= Duration::from_millis(240));
    }

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
        for (_, sent, seen) in responses {
            history.record(at(sent), version(seen));
            for (index, time) in written.iter().enumerate() {
                if let Some(bound) = history.written_after(index as u64 + 1) {
                    prop_assert!(bound < at(*time), "version {} of {time} ms", index + 1);
                }
            }
        }
    }
}
