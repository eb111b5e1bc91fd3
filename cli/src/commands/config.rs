//! `mothvale config`: checks a settings file.

use lexopt::Parser;

use super::{load_settings, parse_arguments, print};
use crate::failure::Failure;

const HELP: &str = "\
Usage: mothvale config check FILE

Checks a settings file. Every mistake is reported, one a line, as FILE:LINE: FIELD: what is wrong.
";

/// Runs `mothvale config` with the arguments after its name.
pub fn run(args: Parser) -> Result<(), Failure> {
    let arguments = parse_arguments(args, &[])?;
    if arguments.help {
        return print(HELP);
    }
    match arguments.positional.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
        ["check", file] => {
            let settings = load_settings(file)?;
            let catalog = &settings.catalog;
            print(&format!(
                "{file}: ok: {} workspaces, {} upstreams, {} services\n",
                catalog.workspaces.len(),
                catalog.upstreams.len(),
                catalog.services.len(),
            ))
        }
        _ => Err(Failure::usage("usage: mothvale config check FILE")),
    }
}
