//! `mothvale key`.

use lexopt::Parser;
use mothvale_lib::key::Hash;

use super::{given, print};
use crate::failure::Failure;

const HELP: &str = "\
Usage: mothvale key hash

Reads a caller's key from standard input and prints the hash that the settings hold.
";

/// Runs the command.
pub fn run(args: Parser) -> Result<(), Failure> {
    let given = given(args, &[])?;
    if given.help {
        return print(HELP);
    }
    if given.words != ["hash"] {
        return Err(Failure::wrong("usage: mothvale key hash"));
    }
    let mut key = String::new();
    std::io::stdin().read_line(&mut key).map_err(Failure::failed)?;
    match key.trim() {
        "" => Err(Failure::wrong("no key on standard input")),
        key => print(&format!("{}\n", Hash::of(key))),
    }
}
