//! Simulation of attempts at one request that is not idempotent, with injected faults.
//!
//! Table service and upstream service are in memory and time is simulated, so that a run
//! depends only on its faults or its seed. [`Simulation::assert_invariants`] checks that the
//! request runs at most once and that no answer to a caller contradicts what happened.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use mothvale_lib::{
    claim::{CLAIM_WINDOW, Input, Reply, Request, StateMachine, Step, Time},
    clock::Instant,
    error::{Error, RunStatus},
    fault::Fault,
    generated::wire::{Outcome, Transaction, Write},
    name::Host,
};
use mothvale_standin::table::Table;
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64;

/// Hosts whose attempts run concurrently.
const HOSTS: usize = 3;
/// Number of steps of [`interleave`], over all hosts together.
const STEPS: usize = 60;
/// One in this many steps, on average, draws a fault.
const STEPS_PER_FAULT: u32 = 4;

/// A fault that is injected into one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// No fault.
    None,
    /// The call never arrives.
    RequestLost,
    /// The call takes effect, but its answer is lost.
    AnswerLost,
    /// The call times out; a write takes effect after the next step or later.
    Delayed,
    /// The host pauses until after the claim window before it processes the answer.
    Pause,
    /// The host crashes before the step.
    CrashBefore,
    /// The host crashes after the step.
    CrashAfter,
}

/// All faults, including [`InjectedFault::None`].
pub const INJECTED_FAULTS: [InjectedFault; 7] = [
    InjectedFault::None,
    InjectedFault::RequestLost,
    InjectedFault::AnswerLost,
    InjectedFault::Delayed,
    InjectedFault::Pause,
    InjectedFault::CrashBefore,
    InjectedFault::CrashAfter,
];

/// State that outlives single attempts at the request: table, service, clock and answers.
#[derive(Default)]
pub struct Simulation {
    /// The table service.
    pub table: Table,
    /// How often the service has run the request.
    pub run_count: u32,
    /// Writes that were sent but have not taken effect yet.
    delayed_writes: Vec<Write>,
    /// Simulated time since the start.
    now_ms: u64,
    /// Attempts that have started.
    attempt_count: u32,
    /// All answers to callers.
    pub replies: Vec<CallerReply>,
}

impl Simulation {
    /// Returns the current simulated time.
    pub fn time(&self) -> Time {
        // The wall clock starts an hour after the Unix epoch.
        Time {
            now: Instant::default() + Duration::from_millis(self.now_ms),
            unix_ms: self.now_ms + 3_600_000,
        }
    }

    /// Advances both clocks.
    pub fn advance_clock(&mut self, duration: Duration) {
        self.now_ms += duration.as_millis() as u64;
    }

    /// Commits a write to the table.
    pub fn commit(&mut self, write: Write) -> Outcome {
        self.table.commit(Transaction { writes: vec![write] })
    }

    /// Commits all delayed writes.
    pub fn deliver_late(&mut self) {
        for write in std::mem::take(&mut self.delayed_writes) {
            self.commit(write);
        }
    }

    /// Runs the request at the service; the body of the answer is the number of the run.
    fn run_request(&mut self) -> Response<Bytes> {
        self.run_count += 1;
        Response::new(Bytes::from(format!("run {}", self.run_count)))
    }

    /// Executes one step under a fault; returns `None` when the host crashes.
    fn execute_step(&mut self, step: &Step, fault: InjectedFault) -> Option<Input> {
        use InjectedFault::{AnswerLost, CrashAfter, CrashBefore, Delayed, Pause, RequestLost};
        if fault == CrashBefore {
            return None;
        }
        let input = match step {
            Step::Read => Input::Row(match fault {
                RequestLost | AnswerLost | Delayed => Err(Fault::TIMEOUT),
                _ => Ok(self.table.row(ROW_KEY)),
            }),
            Step::Write(write) => Input::Written(match fault {
                RequestLost => Err(Fault::CONNECT),
                Delayed => {
                    self.delayed_writes.push(write.clone());
                    Err(Fault::TIMEOUT)
                }
                AnswerLost => {
                    self.commit(write.clone());
                    Err(Fault::TIMEOUT)
                }
                _ => Ok(self.commit(write.clone())),
            }),
            Step::Send => Input::Sent(match fault {
                RequestLost => Err(Fault::CONNECT),
                AnswerLost | Delayed => {
                    self.run_request();
                    Err(Fault::TIMEOUT)
                }
                _ => Ok(self.run_request()),
            }),
            Step::Answer(_) => unreachable!("an answer ends the attempt and is not executed"),
        };
        if fault == CrashAfter {
            return None;
        }
        if fault == Pause {
            self.advance_clock(CLAIM_WINDOW + Duration::from_secs(1));
        }
        Some(input)
    }

    /// Runs one attempt to its answer or crash and returns the names of its steps. The fault at
    /// an index applies to the step at that index.
    ///
    /// # Panics
    ///
    /// Panics when the attempt does not end.
    pub fn run_attempt(&mut self, attempt: &str, faults: &[InjectedFault]) -> Vec<&'static str> {
        let (mut machine, mut step) = StateMachine::start(request(attempt), self.time());
        let mut steps = Vec::new();
        let runs_before = self.run_count;
        self.attempt_count += 1;
        loop {
            let fault = faults.get(steps.len()).copied().unwrap_or(InjectedFault::None);
            steps.push(step_name(&step));
            if let Step::Answer(result) = step {
                let own_runs = self.run_count - runs_before;
                self.record_reply(result, own_runs);
                return steps;
            }
            let delayed_writes = std::mem::take(&mut self.delayed_writes);
            let Some(input) = self.execute_step(&step, fault) else { return steps };
            delayed_writes.into_iter().for_each(|it| drop(self.commit(it)));
            self.advance_clock(Duration::from_millis(10));
            step = machine.next(self.time(), input);
            assert!(steps.len() < 64, "too many steps in one attempt: {steps:?}");
        }
    }

    /// Records the answer of an attempt that ran the request `own_runs` times.
    fn record_reply(&mut self, result: Result<Reply, Error>, own_runs: u32) {
        let only_attempt = self.attempt_count == 1;
        self.replies.push(CallerReply {
            result,
            only_attempt,
            run_count: self.run_count,
            own_runs,
        });
    }

    /// Checks that the request ran at most once and that no answer contradicts what happened.
    ///
    /// # Panics
    ///
    /// Panics when an invariant is broken.
    pub fn assert_invariants(&self) {
        assert!(self.run_count <= 1, "the request ran {} times", self.run_count);
        for it in &self.replies {
            match &it.result {
                Ok(reply) => {
                    assert_eq!(
                        it.run_count, 1,
                        "an answer was sent, but the request had not run exactly once"
                    );
                    assert_eq!(reply.body, Bytes::from("run 1"));
                }
                // "Not run" is a statement about the call that it answers. As long as there
                // was no other call under the key, it must be true of the key as well.
                Err(err) if err.kind.descriptor().run == RunStatus::NotRun => {
                    assert_eq!(
                        it.own_runs, 0,
                        "answered `{err}`, but this attempt ran the request"
                    );
                    assert!(
                        !it.only_attempt || it.run_count == 0,
                        "answered `{err}`, but the request ran"
                    );
                }
                Err(_) => {}
            }
        }
    }
}

/// The answer to a caller, and what had happened by then.
pub struct CallerReply {
    /// The answer.
    pub result: Result<Reply, Error>,
    /// Whether there had been no other attempt under the key.
    only_attempt: bool,
    /// Runs of the request up to then, by all attempts.
    run_count: u32,
    /// Runs of the request by this attempt.
    own_runs: u32,
}

/// Key of the request's row in the table.
pub const ROW_KEY: &str = "claims/00/bedline.holds.0";

/// Returns the request as the attempt with id `attempt` makes it.
pub fn request(attempt: &str) -> Request {
    Request {
        key: ROW_KEY.into(),
        hash: "hash".into(),
        attempt: attempt.into(),
        host: Host::new("host1"),
        timeout: Duration::from_secs(2),
    }
}

fn step_name(step: &Step) -> &'static str {
    match step {
        Step::Read => "read",
        Step::Write(_) => "write",
        Step::Send => "send",
        Step::Answer(_) => "answer",
    }
}

/// An attempt that runs concurrently with others.
struct Attempt {
    machine: StateMachine,
    step: Step,
    /// Runs of the request by this attempt.
    own_runs: u32,
}

/// Runs attempts at one request concurrently on several hosts, with an order of steps and
/// faults that depend only on the seed, and checks the invariants after every step.
///
/// # Panics
///
/// Panics when an invariant is broken.
pub fn interleave(seed: u64) -> Simulation {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut simulation = Simulation::default();
    let mut hosts: [Option<Attempt>; HOSTS] = Default::default();
    for step_number in 0..STEPS {
        let host = rng.random_range(0..HOSTS);
        match hosts[host].take() {
            None => {
                let id = format!("{host}-{step_number}");
                let (machine, step) = StateMachine::start(request(&id), simulation.time());
                simulation.attempt_count += 1;
                hosts[host] = Some(Attempt { machine, step, own_runs: 0 });
            }
            Some(attempt) => hosts[host] = simulation.advance_attempt(attempt, &mut rng),
        }
        if rng.random_ratio(1, 8) {
            simulation.deliver_late();
        }
        let pause = if rng.random_ratio(1, 20) { 6000 } else { rng.random_range(1..200) };
        simulation.advance_clock(Duration::from_millis(pause));
        simulation.assert_invariants();
    }
    simulation
}

impl Simulation {
    /// Executes the next step of an attempt; returns `None` when it has ended or its host crashed.
    fn advance_attempt(&mut self, mut attempt: Attempt, rng: &mut Pcg64) -> Option<Attempt> {
        if let Step::Answer(result) = attempt.step {
            self.record_reply(result, attempt.own_runs);
            return None;
        }
        let faulty = rng.random_ratio(1, STEPS_PER_FAULT);
        let fault = INJECTED_FAULTS.choose(rng).copied().filter(|_| faulty);
        let runs_before = self.run_count;
        let input = self.execute_step(&attempt.step, fault.unwrap_or(InjectedFault::None))?;
        attempt.own_runs += self.run_count - runs_before;
        attempt.step = attempt.machine.next(self.time(), input);
        Some(attempt)
    }
}
