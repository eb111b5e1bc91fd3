//! `mothvale config`.

use lexopt::Parser;

use super::{given, load, print};
use crate::failure::Failure;

const HELP: &str = "\
Usage: mothvale config check FILE

Checks a settings file. Every mistake is reported, one a line, as FILE:LINE: FIELD: what is wrong.
";

/// Runs the command.
pub fn run(args: Parser) -> Result<(), Failure> {
    let given = given(args, &[])?;
    if given.help {
        return print(HELP);
    }
    match given.words.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
        ["check", file] => {
            let settings = load(file)?;
            let catalog = &settings.catalog;
            print(&format!(
                "{file}: ok: {} workspaces, {} upstreams, {} services\n",
                catalog.workspaces.len(),
                catalog.upstreams.len(),
                catalog.services.len(),
            ))
        }
        _ => Err(Failure::wrong("usage: mothvale config check FILE")),
    }
}
