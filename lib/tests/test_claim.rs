//! Tests of claims with faults injected at every step: a request is sent at most once, and the
//! answer to its caller is true.

use std::time::Duration;

use mothvale_lib::{
    claim::{CLAIM_WINDOW, Input, Request, StateMachine, Step},
    error::Kind,
};
use mothvale_testutils::{
    claims::{INJECTED_FAULTS, InjectedFault, ROW_KEY, Simulation, interleave, request},
    init,
};
use proptest::prelude::*;

/// Number of random interleavings of concurrent attempts.
const INTERLEAVINGS: u64 = 2000;

/// Runs a first and a second attempt with faults injected at their steps, then attempts without
/// faults: after the claim window, and after delayed writes have arrived and the row has expired.
fn run_with_faults(first_faults: &[InjectedFault], second_faults: &[InjectedFault]) -> Simulation {
    let mut simulation = Simulation::default();
    simulation.run_attempt("first", first_faults);
    simulation.run_attempt("second", second_faults);
    simulation.advance_clock(CLAIM_WINDOW);
    simulation.run_attempt("third", &[]);
    simulation.deliver_late();
    simulation.advance_clock(Duration::from_secs(60));
    simulation.run_attempt("fourth", &[]);
    simulation.run_attempt("fifth", &[]);
    simulation.assert_invariants();
    simulation
}

#[test]
fn an_attempt_without_faults_claims_marks_sends_and_stores() {
    init();
    let mut simulation = Simulation::default();
    let steps = simulation.run_attempt("first", &[]);
    assert_eq!(steps, ["write", "write", "send", "write", "answer"]);
    let steps = simulation.run_attempt("second", &[]);
    assert_eq!(steps, ["write", "read", "answer"]);
    assert!(simulation.replies[1].result.as_ref().unwrap().replayed);
    simulation.assert_invariants();
}

#[test]
fn single_faults_and_pairs_of_faults_at_every_step() {
    init();
    // The number of steps is taken from an attempt, so that steps added later are covered too.
    let steps = Simulation::default().run_attempt("first", &[]).len() - 1;
    let mut outcomes = [0; 3];
    // Faults cause further steps, so they are injected beyond that number too.
    for at in 0..steps + 2 {
        for fault in INJECTED_FAULTS {
            for then_at in 0..steps + 4 {
                for then in INJECTED_FAULTS {
                    let mut faults = vec![InjectedFault::None; steps + 4];
                    faults[at] = fault;
                    if then != InjectedFault::None {
                        faults[then_at] = then;
                    }
                    let simulation = run_with_faults(&faults, &[]);
                    outcomes[match simulation.replies.last().unwrap().result {
                        Ok(_) => 0,
                        Err(ref err) if err.kind == Kind::OutcomeUnknown => 1,
                        Err(_) => 2,
                    }] += 1;
                }
            }
        }
    }
    assert_eq!(outcomes[2], 0, "after a minute every request is answered or known as lost");
    assert!(outcomes[0] > outcomes[1], "{outcomes:?}");
}

#[test]
fn another_request_under_the_same_key_is_refused() {
    init();
    let mut simulation = Simulation::default();
    simulation.run_attempt("first", &[]);
    let other = Request { hash: "other".into(), ..request("second") };
    let (mut machine, step) = StateMachine::start(other, simulation.time());
    let Step::Write(write) = step else { panic!("{step:?}") };
    let outcome = simulation.commit(write);
    let step = machine.next(simulation.time(), Input::Written(Ok(outcome)));
    assert_eq!(step, Step::Read);
    let row = simulation.table.row(ROW_KEY);
    let step = machine.next(simulation.time(), Input::Row(Ok(row)));
    let Step::Answer(Err(err)) = step else { panic!("{step:?}") };
    assert_eq!(err.kind, Kind::IdempotencyKeyReused);
}

#[test]
fn an_unreachable_service_results_in_not_run_and_the_key_can_be_used_again() {
    init();
    let mut simulation = Simulation::default();
    simulation.run_attempt(
        "first",
        &[InjectedFault::None, InjectedFault::None, InjectedFault::RequestLost],
    );
    assert_eq!(simulation.replies[0].result.as_ref().unwrap_err().kind, Kind::NotRun);
    simulation.run_attempt("second", &[]);
    assert!(simulation.replies[1].result.is_ok());
    simulation.assert_invariants();
}

#[test]
fn while_one_attempt_runs_another_is_told_to_retry_later() {
    init();
    let mut simulation = Simulation::default();
    simulation.run_attempt("first", &[InjectedFault::None, InjectedFault::CrashAfter]);
    simulation.run_attempt("second", &[]);
    let err = simulation.replies[0].result.as_ref().unwrap_err();
    assert_eq!(err.kind, Kind::InProgress);
    assert!(err.retry_after.is_some());
}

#[test]
fn a_claim_cannot_be_taken_over_before_its_window_ends() {
    init();
    let mut simulation = Simulation::default();
    simulation.run_attempt("first", &[InjectedFault::CrashAfter]);
    simulation.run_attempt("second", &[]);
    assert_eq!(simulation.replies[0].result.as_ref().unwrap_err().kind, Kind::InProgress);
    simulation.advance_clock(CLAIM_WINDOW);
    simulation.run_attempt("third", &[]);
    assert!(simulation.replies[1].result.is_ok());
    simulation.assert_invariants();
}

#[test]
fn the_claim_of_a_host_that_crashes_before_sending_can_be_taken_over() {
    init();
    let simulation = run_with_faults(&[InjectedFault::None, InjectedFault::CrashBefore], &[]);
    assert_eq!(simulation.run_count, 1);
    assert!(simulation.replies.last().unwrap().result.is_ok());
}

#[test]
fn an_attempt_paused_past_its_claim_window_does_not_send() {
    init();
    let mut simulation = Simulation::default();
    let steps = simulation.run_attempt("first", &[InjectedFault::None, InjectedFault::Pause]);
    assert!(!steps.contains(&"send"), "{steps:?}");
    assert_eq!(simulation.run_count, 0);
}

#[test]
fn concurrent_attempts_run_the_request_at_most_once() {
    init();
    let simulations: Vec<_> = (0..INTERLEAVINGS).map(interleave).collect();
    let ran = simulations.iter().filter(|it| it.run_count == 1).count();
    assert!(ran * 2 > simulations.len(), "only {ran} requests ran at all");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4000,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn two_attempts_with_random_faults_run_the_request_at_most_once(
        first in prop::collection::vec(prop::sample::select(INJECTED_FAULTS.to_vec()), 0..10),
        second in prop::collection::vec(prop::sample::select(INJECTED_FAULTS.to_vec()), 0..10),
    ) {
        init();
        run_with_faults(&first, &second);
    }
}
