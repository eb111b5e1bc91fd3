//! Tests of the state machine of an answer: whatever frames and failures arrive, the caller gets
//! the complete text once and in order, or an error.

use mothvale_lib::{
    answer::{Answer, DropReason, Step},
    error::{Kind, RunStatus},
    fault::Fault,
    generated::wire::{Finish, FinishReason, Frame},
};
use mothvale_testutils::init;
use proptest::prelude::*;

const LENGTH: u64 = 8;

fn frame(attempt: &str, seq: u64) -> Frame {
    let finish = (seq + 1 == LENGTH).then_some(Finish {
        reason: FinishReason::Stop,
        prompt_tokens: 1,
        cached_tokens: 0,
        completion_tokens: LENGTH as u32,
    });
    Frame { attempt: attempt.into(), seq, text: Some(format!("{seq} ")), tokens: Some(1), finish }
}

fn started() -> Answer {
    init();
    let mut answer = Answer::new(100);
    answer.start_attempt("a".into(), 0);
    answer
}

#[test]
fn frames_in_order_are_delivered() {
    let mut answer = started();
    for seq in 0..LENGTH - 1 {
        assert_eq!(answer.handle_frame(frame("a", seq)), Step::Deliver(format!("{seq} ").into()));
    }
    assert!(matches!(answer.handle_frame(frame("a", LENGTH - 1)), Step::Finish(..)));
    assert_eq!(answer.tokens(), LENGTH as u32);
    assert_eq!(answer.handle_frame(frame("a", LENGTH)), Step::Drop(DropReason::AfterEnd));
}

#[test]
fn duplicate_and_foreign_frames_are_dropped_and_a_gap_is_resumed() {
    let mut answer = started();
    answer.handle_frame(frame("a", 0));
    assert_eq!(answer.handle_frame(frame("a", 0)), Step::Drop(DropReason::Duplicate));
    assert_eq!(answer.handle_frame(frame("b", 1)), Step::Drop(DropReason::ForeignFrame));
    assert_eq!(answer.handle_frame(frame("a", 3)), Step::Resume(1));
}

#[test]
fn repeated_gaps_are_bounded_like_any_failure() {
    let mut answer = started();
    let (mut retries, mut attempts) = (0, 1);
    let err = loop {
        let step = answer.handle_frame(frame(if attempts == 1 { "a" } else { "b" }, 5));
        match step {
            Step::Resume(0) => continue,
            Step::Abandon(fault) => match answer.handle_failure(fault, || {
                retries += 1;
                true
            }) {
                Step::Dispatch => {
                    attempts += 1;
                    answer.start_attempt("b".into(), attempts);
                }
                Step::Fail(err) => break err,
                step => panic!("{step:?}"),
            },
            step => panic!("{step:?}"),
        }
    };
    assert_eq!((err.kind, attempts, retries), (Kind::UpstreamInvalid, 3, 2));
}

#[test]
fn a_broken_run_is_resumed_then_continued_then_reported() {
    let mut answer = started();
    answer.handle_frame(frame("a", 0));
    assert_eq!(answer.handle_failure(Fault::BROKEN, || true), Step::Resume(1));
    assert_eq!(answer.handle_failure(Fault::BROKEN, || true), Step::Resume(1));
    assert_eq!(answer.handle_failure(Fault::BROKEN, || true), Step::Dispatch);
    answer.start_attempt("b".into(), 1);
    assert_eq!((answer.delivered(), answer.tokens_left()), ("0 ", 99));
    assert_eq!(answer.handle_failure(Fault::refused(500), || true), Step::Dispatch);
    answer.start_attempt("c".into(), 2);
    let Step::Fail(err) = answer.handle_failure(Fault::refused(500), || true) else { panic!() };
    assert_eq!(err.kind, Kind::UpstreamFailed);
    assert_eq!(answer.tried(), [0, 1, 2]);
}

#[test]
fn without_retry_budget_the_first_failure_is_reported() {
    let mut answer = started();
    let Step::Fail(err) = answer.handle_failure(Fault::refused(500), || false) else { panic!() };
    assert_eq!(err.kind.descriptor().run, RunStatus::Unknown);
}

#[test]
fn a_protocol_violation_has_its_own_error_kind() {
    let mut answer = started();
    let Step::Fail(err) = answer.handle_failure(Fault::PROTOCOL, || false) else { panic!() };
    assert_eq!((err.kind, err.kind.descriptor().run), (Kind::UpstreamInvalid, RunStatus::Unknown));
}

#[test]
fn not_run_is_reported_only_if_nothing_was_sent() {
    let mut answer = started();
    let Step::Fail(err) = answer.handle_failure(Fault::CONNECT, || false) else { panic!() };
    assert_eq!(err.kind.descriptor().run, RunStatus::NotRun);
    let mut answer = started();
    answer.handle_failure(Fault::refused(503), || true);
    let no_upstream = mothvale_lib::error::Error::new(Kind::NoUpstream, "none");
    let Step::Fail(err) = answer.abort(no_upstream) else { panic!() };
    assert_eq!((err.kind, err.kind.descriptor().run), (Kind::UpstreamFailed, RunStatus::Unknown));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 5000,
        rng_seed: prop::test_runner::RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_frames_and_breaks_give_the_text_once_and_in_order(
        inputs in prop::collection::vec((0u8..8, 0..LENGTH), 0..80),
    ) {
        let mut answer = started();
        // What the engine sends next, given that every step is carried out.
        let (mut attempt, mut base, mut next) = (0_u64, 0, 0);
        let mut text = String::new();
        let mut ended = false;
        for (kind, seq) in inputs {
            let id = if attempt == 0 { "a".to_owned() } else { attempt.to_string() };
            let shifted = |seq: u64| {
                let mut it = frame(&id, seq + base);
                it.seq = seq;
                it
            };
            let step = match kind {
                0..=4 if base + next < LENGTH => {
                    next += 1;
                    answer.handle_frame(shifted(next - 1))
                }
                5 => answer.handle_frame(frame("other", seq)),
                6 => answer.handle_frame(shifted(seq.min(LENGTH - 1 - base.min(LENGTH - 1)))),
                _ => answer.handle_failure(Fault::BROKEN, || true),
            };
            match step {
                Step::Deliver(more) => {
                    prop_assert!(!ended);
                    text.push_str(&more);
                    next = next.max(text.split_whitespace().count() as u64 - base);
                }
                Step::Finish(more, _) => {
                    prop_assert!(!ended);
                    text.push_str(&more);
                    ended = true;
                    let whole: String = (0..LENGTH).map(|it| format!("{it} ")).collect();
                    prop_assert_eq!(&text, &whole);
                }
                Step::Resume(from) => next = from,
                Step::Dispatch => {
                    attempt += 1;
                    (base, next) = (text.split_whitespace().count() as u64, 0);
                    answer.start_attempt(attempt.to_string().into(), attempt as usize);
                }
                Step::Fail(_) => {
                    prop_assert!(!ended);
                    ended = true;
                }
                Step::Drop(_) => {}
                Step::Abandon(fault) => {
                    if answer.handle_failure(fault, || true) == Step::Dispatch {
                        attempt += 1;
                        (base, next) = (text.split_whitespace().count() as u64, 0);
                        answer.start_attempt(attempt.to_string().into(), attempt as usize);
                    } else {
                        ended = true;
                    }
                }
            }
            let whole: String = (0..LENGTH).map(|it| format!("{it} ")).collect();
            prop_assert!(whole.starts_with(&text), "{text}");
            prop_assert_eq!(answer.delivered(), &text);
        }
    }
}
