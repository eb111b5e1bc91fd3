//! The `mothvale` command line program.
//!
//! Exit codes: 0 for success, 1 for a failure, 2 for an invalid command line or invalid settings.

mod admin_client;
mod commands;
mod failure;

use std::process::ExitCode;

fn main() -> ExitCode {
    match commands::run(lexopt::Parser::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{}", failure.message);
            ExitCode::from(failure.code)
        }
    }
}
