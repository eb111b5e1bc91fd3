//! `mothvale upstream`: shows a host's view of its upstreams.

use lexopt::Parser;

use super::{parse_arguments, print};
use crate::{admin_client, failure::Failure};

const HELP: &str = "\
Usage: mothvale upstream show --admin IP:PORT

Shows, as JSON, the view that the host at this admin address has of its upstreams.
";

/// Runs `mothvale upstream` with the arguments after its name.
pub fn run(args: Parser) -> Result<(), Failure> {
    let arguments = parse_arguments(args, &["admin"])?;
    if arguments.help {
        return print(HELP);
    }
    match (arguments.positional.as_slice(), arguments.admin) {
        ([verb], Some(admin)) if verb == "show" => {
            print(&format!("{}\n", admin_client::get(admin, "/admin/v1/upstreams")?))
        }
        _ => Err(Failure::usage("usage: mothvale upstream show --admin IP:PORT")),
    }
}
