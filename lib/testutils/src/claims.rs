//! A table and a service in memory, and attempts at one request under every trouble.

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

/// Hosts whose attempts run beside each other.
const HOSTS: usize = 3;
/// Steps of a run, over all hosts.
const STEPS: usize = 60;
/// One step in so many is in trouble.
const FAULT_IN: u32 = 4;

/// What can go wrong with one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Nothing.
    None,
    /// The call never arrives.
    RequestLost,
    /// The call takes effect, its answer does not come.
    AnswerLost,
    /// The call takes effect late, after the next step.
    Delayed,
    /// The host pauses past its claim before it takes the answer.
    Pause,
    /// The host dies before the step.
    CrashBefore,
    /// The host dies after the step.
    CrashAfter,
}

/// All troubles.
pub const INJECTED_FAULTS: [InjectedFault; 7] = [
    InjectedFault::None,
    InjectedFault::RequestLost,
    InjectedFault::AnswerLost,
    InjectedFault::Delayed,
    InjectedFault::Pause,
    InjectedFault::CrashBefore,
    InjectedFault::CrashAfter,
];

/// A table and a service that outlive the attempts at one request.
#[derive(Default)]
pub struct Simulation {
    /// The table service.
    pub table: Table,
    /// How often the request ran.
    pub run_count: u32,
    late: Vec<Write>,
    now_ms: u64,
    attempts: u32,
    /// What callers were told, with the runs by then and those of the attempt itself.
    pub replies: Vec<CallerReply>,
}

impl Simulation {
    /// Returns the time.
    pub fn time(&self) -> Time {
        // An hour of wall-clock time lies before the start.
        Time {
            now: Instant::default() + Duration::from_millis(self.now_ms),
            unix_ms: self.now_ms + 3_600_000,
        }
    }

    /// Lets time pass.
    pub fn advance_clock(&mut self, time: Duration) {
        self.now_ms += time.as_millis() as u64;
    }

    /// Commits a write.
    pub fn commit(&mut self, write: Write) -> Outcome {
        self.table.commit(Transaction { writes: vec![write] })
    }

    /// Lets all late writes take effect.
    pub fn deliver_late(&mut self) {
        for write in std::mem::take(&mut self.late) {
            self.commit(write);
        }
    }

    fn serve(&mut self) -> Response<Bytes> {
        self.run_count += 1;
        Response::new(Bytes::from(format!("run {}", self.run_count)))
    }

    /// Carries out one step under a trouble; none when the host died.
    fn carry_out(&mut self, step: &Step, fault: InjectedFault) -> Option<Input> {
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
                    self.late.push(write.clone());
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
                    self.serve();
                    Err(Fault::TIMEOUT)
                }
                _ => Ok(self.serve()),
            }),
            Step::Answer(_) => unreachable!("answers are not carried out"),
        };
        if fault == CrashAfter {
            return None;
        }
        if fault == Pause {
            self.advance_clock(CLAIM_WINDOW + Duration::from_secs(1));
        }
        Some(input)
    }

    /// Makes one attempt, with the given troubles at its steps; returns its steps.
    pub fn run_attempt(&mut self, attempt: &str, faults: &[InjectedFault]) -> Vec<&'static str> {
        let (mut machine, mut step) = StateMachine::start(request(attempt), self.time());
        let mut steps = Vec::new();
        let before = self.run_count;
        self.attempts += 1;
        loop {
            let fault = faults.get(steps.len()).copied().unwrap_or(InjectedFault::None);
            steps.push(name(&step));
            if let Step::Answer(result) = step {
                let own = self.run_count - before;
                self.record_reply(result, own);
                return steps;
            }
            let late = std::mem::take(&mut self.late);
            let Some(input) = self.carry_out(&step, fault) else { return steps };
            late.into_iter().for_each(|it| drop(self.commit(it)));
            self.advance_clock(Duration::from_millis(10));
            step = machine.next(self.time(), input);
            assert!(steps.len() < 64, "the attempt does not end: {steps:?}");
        }
    }

    fn record_reply(&mut self, result: Result<Reply, Error>, own_runs: u32) {
        let alone = self.attempts == 1;
        self.replies.push(CallerReply { result, alone, run_count: self.run_count, own_runs });
    }

    /// Checks what must hold whatever happened.
    ///
    /// # Panics
    ///
    /// Panics when it does not.
    pub fn assert_invariants(&self) {
        assert!(self.run_count <= 1, "ran {} times", self.run_count);
        for it in &self.replies {
            match &it.result {
                Ok(reply) => {
                    assert_eq!(it.run_count, 1, "an answer without a run");
                    assert_eq!(reply.body, Bytes::from("run 1"));
                }
                // "Not run" speaks of the call that it answers. As long as no other call
                // under the key has come, it has to be true of the key as well.
                Err(err) if err.kind.descriptor().run == RunStatus::NotRun => {
                    assert_eq!(it.own_runs, 0, "told `{err}` after a run");
                    assert!(!it.alone || it.run_count == 0, "told `{err}` after a run");
                }
                Err(_) => {}
            }
        }
    }
}

/// What a caller was told.
pub struct CallerReply {
    /// The answer.
    pub result: Result<Reply, Error>,
    /// Whether no other call under the key had come by then.
    alone: bool,
    /// Runs by then, whoever made them.
    run_count: u32,
    /// Runs that the attempt itself made.
    own_runs: u32,
}

/// The row's key.
pub const ROW_KEY: &str = "claims/00/bedline.holds.0";

/// Builds the request of an attempt.
pub fn request(attempt: &str) -> Request {
    Request {
        key: ROW_KEY.into(),
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

/// An attempt that runs beside others.
struct Attempt {
    machine: StateMachine,
    step: Step,
    own: u32,
}

/// Runs attempts at one request on several hosts beside each other, step by step in an
/// order and under troubles that the seed decides, and checks after every step.
///
/// # Panics
///
/// Panics when something that must hold does not.
pub fn interleave(seed: u64) -> Simulation {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut simulation = Simulation::default();
    let mut hosts: [Option<Attempt>; HOSTS] = Default::default();
    for number in 0..STEPS {
        let host = rng.random_range(0..HOSTS);
        match hosts[host].take() {
            None => {
                let id = format!("{host}-{number}");
                let (machine, step) = StateMachine::start(request(&id), simulation.time());
                simulation.attempts += 1;
                hosts[host] = Some(Attempt { machine, step, own: 0 });
            }
            Some(attempt) => hosts[host] = simulation.advance(attempt, &mut rng),
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
    /// Takes an attempt one step further; none when it has ended or its host died.
    fn advance(&mut self, mut attempt: Attempt, rng: &mut Pcg64) -> Option<Attempt> {
        if let Step::Answer(result) = attempt.step {
            self.record_reply(result, attempt.own);
            return None;
        }
        let faulty = rng.random_ratio(1, FAULT_IN);
        let fault = INJECTED_FAULTS.choose(rng).copied().filter(|_| faulty);
        let before = self.run_count;
        let input = self.carry_out(&attempt.step, fault.unwrap_or(InjectedFault::None))?;
        attempt.own += self.run_count - before;
        attempt.step = attempt.machine.next(self.time(), input);
        Some(attempt)
    }
}
