//! Claims under every fault at every step: a request is sent at most once, and what its
//! caller is told is true.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use mothvale_lib::{
    claim::{CLAIM_WINDOW, Input, Machine, Reply, Request, Step, Time},
    clock::Instant,
    error::{Error, Kind, Run},
    fault::Fault,
    generated::wire::{Outcome, Transaction, Write},
    name::Host,
};
use mothvale_standin::table::Table;
use mothvale_testutils::init;
use proptest::prelude::*;

/// What can go wrong with one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// The call never arrives.
    Lost,
    /// The call takes effect, its answer does not come.
    AnswerLost,
    /// The call takes effect late, after the next step.
    Late,
    /// The host pauses past its claim before it takes the answer.
    Pause,
    /// The host dies before the step.
    CrashBefore,
    /// The host dies after the step.
    CrashAfter,
}

const TROUBLES: [Trouble; 7] = [
    Trouble::None,
    Trouble::Lost,
    Trouble::AnswerLost,
    Trouble::Late,
    Trouble::Pause,
    Trouble::CrashBefore,
    Trouble::CrashAfter,
];

/// A table and a service that outlive the attempts at one request.
#[derive(Default)]
struct World {
    table: Table,
    late: Vec<Write>,
    ran: u32,
    now_ms: u64,
    attempts: u32,
    /// What callers were told, with the runs by then and those of the attempt itself.
    told: Vec<Told>,
}

impl World {
    fn time(&self) -> Time {
        // An hour of wall-clock time lies before the start.
        Time {
            now: Instant::default() + Duration::from_millis(self.now_ms),
            unix_ms: self.now_ms + 3_600_000,
        }
    }

    fn pass(&mut self, time: Duration) {
        self.now_ms += time.as_millis() as u64;
    }

    fn commit(&mut self, write: Write) -> Outcome {
        self.table.commit(Transaction { writes: vec![write] })
    }

    fn deliver_late(&mut self) {
        for write in std::mem::take(&mut self.late) {
            self.commit(write);
        }
    }

    fn serve(&mut self) -> Response<Bytes> {
        self.ran += 1;
        Response::new(Bytes::from(format!("run {}", self.ran)))
    }

    /// Carries out one step under a trouble; none when the host died.
    fn carry_out(&mut self, step: &Step, trouble: Trouble) -> Option<Input> {
        use Trouble::{AnswerLost, CrashAfter, CrashBefore, Late, Lost, Pause};
        if trouble == CrashBefore {
            return None;
        }
        let input = match step {
            Step::Read => Input::Row(match trouble {
                Lost | AnswerLost | Late => Err(Fault::TIMEOUT),
                _ => Ok(self.table.row(KEY)),
            }),
            Step::Write(write) => Input::Written(match trouble {
                Lost => Err(Fault::CONNECT),
                Late => {
                    self.late.push(write.clone());
                    Err(Fault::TIMEOUT)
                }
                AnswerLost => {
                    self.commit(write.clone());
                    Err(Fault::TIMEOUT)
                }
                _ => Ok(self.commit(write.clone())),
            }),
            Step::Send => Input::Sent(match trouble {
                Lost => Err(Fault::CONNECT),
                AnswerLost | Late => {
                    self.serve();
                    Err(Fault::TIMEOUT)
                }
                _ => Ok(self.serve()),
            }),
            Step::Answer(_) => unreachable!("answers are not carried out"),
        };
        if trouble == CrashAfter {
            return None;
        }
        if trouble == Pause {
            self.pass(CLAIM_WINDOW + Duration::from_secs(1));
        }
        Some(input)
    }

    /// Makes one attempt, with the given troubles at its steps; returns its steps.
    fn attempt(&mut self, attempt: &str, troubles: &[Trouble]) -> Vec<&'static str> {
        let (mut machine, mut step) = Machine::start(request(attempt), self.time());
        let mut steps = Vec::new();
        let (first, before) = (self.attempts == 0, self.ran);
        self.attempts += 1;
        loop {
            let trouble = troubles.get(steps.len()).copied().unwrap_or(Trouble::None);
            steps.push(name(&step));
            if let Step::Answer(result) = step {
                let own = self.ran - before;
                self.told.push(Told { result, first, ran: self.ran, own });
                return steps;
            }
            let late = std::mem::take(&mut self.late);
            let Some(input) = self.carry_out(&step, trouble) else { return steps };
            late.into_iter().for_each(|it| drop(self.commit(it)));
            self.pass(Duration::from_millis(10));
            step = machine.next(self.time(), input);
            assert!(steps.len() < 64, "the attempt does not end: {steps:?}");
        }
    }

    /// Checks what must hold whatever happened.
    fn check(&self) {
        assert!(self.ran <= 1, "ran {} times", self.ran);
        for it in &self.told {
            match &it.result {
                Ok(reply) => {
                    assert_eq!(it.ran, 1, "an answer without a run");
                    assert_eq!(reply.body, Bytes::from("run 1"));
                }
                // "Not run" speaks of the call that it answers. Of the first call under a
                // key it has to be true of the key as well.
                Err(err) if err.kind.answer().run == Run::No => {
                    assert_eq!(it.own, 0, "told `{err}` after a run");
                    assert!(!it.first || it.ran == 0, "told `{err}` after a run");
                }
                Err(_) => {}
            }
        }
    }
}

struct Told {
    result: Result<Reply, Error>,
    first: bool,
    ran: u32,
    own: u32,
}

const KEY: &str = "claims/00/bedline.holds.0";

fn request(attempt: &str) -> Request {
    Request {
        key: KEY.into(),
        hash: "hash".into(),
        attempt: attempt.into(),
        host: Host::new("host1"),
        timeout: Duration::from_secs(2),
    }
}

fn name(step: &Step) -> &'static str {
    match step {
        Step::Read => "read",
        Step::Write(_) => "write",
        Step::Send => "send",
        Step::Answer(_) => "answer",
    }
}

/// Runs an attempt under troubles, then others after it: at once, after the claim's
/// window, and after everything is settled.
fn run(troubles: &[Trouble], second: &[Trouble]) -> World {
    let mut world = World::default();
    world.attempt("first", troubles);
    world.attempt("second", second);
    world.pass(CLAIM_WINDOW);
    world.attempt("third", &[]);
    world.deliver_late();
    world.pass(Duration::from_secs(60));
    world.attempt("fourth", &[]);
    world.attempt("fifth", &[]);
    world.check();
    world
}

#[test]
fn an_attempt_without_trouble_claims_marks_sends_and_stores() {
    init();
    let mut world = World::default();
    let steps = world.attempt("first", &[]);
    assert_eq!(steps, ["write", "write", "send", "write", "answer"]);
    let steps = world.attempt("second", &[]);
    assert_eq!(steps, ["write", "read", "answer"]);
    assert!(world.told[1].result.as_ref().unwrap().replayed);
    world.check();
}

#[test]
fn every_fault_at_every_step_and_every_pair_of_them() {
    init();
    // The steps come from the attempt itself; a step that it gains is covered by itself.
    let steps = World::default().attempt("first", &[]).len() - 1;
    let mut outcomes = [0; 3];
    for at in 0..steps + 2 {
        for trouble in TROUBLES {
            for then_at in 0..steps + 4 {
                for then in TROUBLES {
                    let mut troubles = vec![Trouble::None; steps + 4];
                    troubles[at] = trouble;
                    if then != Trouble::None {
                        troubles[then_at] = then;
                    }
                    let world = run(&troubles, &[]);
                    outcomes[match world.told.last().unwrap().result {
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
    let mut world = World::default();
    world.attempt("first", &[]);
    let other = Request { hash: "other".into(), ..request("second") };
    let (mut machine, step) = Machine::start(other, world.time());
    let Step::Write(write) = step else { panic!("{step:?}") };
    let outcome = world.commit(write);
    let step = machine.next(world.time(), Input::Written(Ok(outcome)));
    assert_eq!(step, Step::Read);
    let row = world.table.row(KEY);
    let step = machine.next(world.time(), Input::Row(Ok(row)));
    let Step::Answer(Err(err)) = step else { panic!("{step:?}") };
    assert_eq!(err.kind, Kind::IdempotencyKeyReused);
}

#[test]
fn a_service_that_cannot_be_reached_leaves_not_run_and_the_key_may_be_used_again() {
    init();
    let mut world = World::default();
    world.attempt("first", &[Trouble::None, Trouble::None, Trouble::Lost]);
    assert_eq!(world.told[0].result.as_ref().unwrap_err().kind, Kind::NotRun);
    world.attempt("second", &[]);
    assert!(world.told[1].result.is_ok());
    world.check();
}

#[test]
fn while_one_attempt_runs_another_is_told_to_come_back() {
    init();
    let mut world = World::default();
    world.attempt("first", &[Trouble::None, Trouble::CrashAfter]);
    world.attempt("second", &[]);
    let err = world.told[0].result.as_ref().unwrap_err();
    assert_eq!(err.kind, Kind::InProgress);
    assert!(err.retry_after.is_some());
}

#[test]
fn a_host_that_dies_before_sending_leaves_a_claim_that_can_be_taken_over() {
    init();
    let world = run(&[Trouble::None, Trouble::CrashBefore], &[]);
    assert_eq!(world.ran, 1);
    assert!(world.told.last().unwrap().result.is_ok());
}

#[test]
fn a_pause_past_the_claim_forbids_sending() {
    init();
    let mut world = World::default();
    let steps = world.attempt("first", &[Trouble::None, Trouble::Pause]);
    assert!(!steps.contains(&"send"), "{steps:?}");
    assert_eq!(world.ran, 0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4000,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_troubles_in_two_attempts_run_the_request_at_most_once(
        first in prop::collection::vec(prop::sample::select(TROUBLES.to_vec()), 0..10),
        second in prop::collection::vec(prop::sample::select(TROUBLES.to_vec()), 0..10),
    ) {
        init();
        run(&first, &second);
    }
}
