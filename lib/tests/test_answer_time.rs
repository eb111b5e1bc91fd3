//! Tests of how long responses take by route.

use std::time::Duration;

use mothvale_lib::answer_time::AnswerTimes;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against review/1 (LOST): an attempt began with 770 ms left for a stream of 3 s, and was cut.
#[test]
fn response_that_takes_longer_than_is_left_cannot_end() {
    let mut times = AnswerTimes::default();
    assert!(times.may_end_within("chat", millis(1)), "nothing is known yet");
    (0..7).for_each(|_| times.record("chat", millis(3000)));
    assert!(times.may_end_within("chat", millis(1)), "too little is known yet");
    times.record("chat", millis(3000));
    assert_eq!(times.mean("chat"), Some(millis(3000)));
    assert!(!times.may_end_within("chat", millis(770)));
    assert!(times.may_end_within("chat", millis(1500)), "some are shorter than the average");
    assert!(times.may_end_within("other", millis(1)), "routes do not share their averages");
}

#[test]
fn average_follows_what_responses_take() {
    let mut times = AnswerTimes::default();
    (0..20).for_each(|_| times.record("chat", millis(4000)));
    (0..60).for_each(|_| times.record("chat", millis(100)));
    assert!(times.may_end_within("chat", millis(200)), "{:?}", times.mean("chat"));
}
