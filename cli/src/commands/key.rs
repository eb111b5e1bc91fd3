//! `mothvale key`: hashes callers' API keys for the settings.

use lexopt::Parser;
use mothvale_lib::key::Hash;

use super::{parse_arguments, print};
use crate::failure::Failure;

const HELP: &str = "\
Usage: mothvale key hash

Reads a caller's key from standard input and prints the hash that the settings hold.
";

/// Runs `mothvale key` with the arguments after its name.
pub fn run(args: Parser) -> Result<(), Failure> {
    let arguments = parse_arguments(args, &[])?;
    if arguments.help {
        return print(HELP);
    }
    if arguments.positional != ["hash"] {
        return Err(Failure::usage("usage: mothvale key hash"));
    }
    let mut key = String::new();
    std::io::stdin().read_line(&mut key).map_err(Failure::failed)?;
    match key.trim() {
        "" => Err(Failure::usage("no key on standard input")),
        key => print(&format!("{}\n", Hash::of(key))),
    }
}
