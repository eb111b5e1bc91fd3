//! The `mothvale-bench` program: benchmarks of hosts, claims and the control thread.
//!
//! Each subcommand is a module and prints its results to standard output as JSON lines.

mod claims;
mod load;
mod path;
mod process;
mod random;
mod slopes;
mod soak_command;
mod standins;

use std::process::ExitCode;

use lexopt::Arg::{Long, Value};
use peak_alloc::PeakAlloc;

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

const HELP: &str = "\
Usage: mothvale-bench COMMAND

Commands:
  path [--rate N] [--tokens N] [--seconds N] [--seed N] [--streams N] [--http1]
       [--host-threads N] [--outside-threads N]
      What one host adds to the first and to each token, against direct calls in the same run;
      processor time for each 1,000 tokens; memory for each open stream.
  claims [--seconds N] [--hosts N]
      Transactions and time that a booking takes, at several rates and with a slow table; one host of N gets them all.
  standins --settings FOLDER [--hosts N] [--seconds N]
      Run stand-ins alone and write settings files for hosts in processes of their own.
  random [--seeds N] [--from S]
      Randomised runs of claims on several hosts beside each other, in virtual time.
  slopes
      How memory, messages and processor time grow with upstreams, workspaces and records.
  soak [--seed N] [--seeds N] [--seconds N] [--hosts N] [--program FILE] [--former FILE] [--folder FOLDER]
       [--case NAME] [--mutant NAME] [--pass-over CHECK]
      Gateway processes under faults that are drawn from the seed, with checks of what they promise.
      What a check that is passed over finds is printed and does not fail the run.
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("mothvale-bench: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = lexopt::Parser::from_env();
    match args.next()? {
        Some(Value(name)) if name == "path" => path::run(args),
        Some(Value(name)) if name == "standins" => standins::run(args),
        Some(Value(name)) if name == "claims" => claims::run(args),
        Some(Value(name)) if name == "random" => random::run(args),
        Some(Value(name)) if name == "soak" => soak_command::run(args),
        Some(Value(name)) if name == "slopes" => slopes::run(args),
        Some(Long("help")) | None => {
            print!("{HELP}");
            Ok(())
        }
        Some(other) => Err(other.unexpected().into()),
    }
}
