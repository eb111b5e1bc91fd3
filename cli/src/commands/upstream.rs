//! `mothvale upstream`.

use lexopt::Parser;

use super::{given, print};
use crate::{admin_client, failure::Failure};

const HELP: &str = "\
Usage: mothvale upstream show --admin IP:PORT

Shows, as JSON, what the host at this operators' address believes of its upstreams.
";

/// Runs the command.
pub fn run(args: Parser) -> Result<(), Failure> {
    let given = given(args, &["admin"])?;
    if given.help {
        return print(HELP);
    }
    match (given.words.as_slice(), given.admin) {
        ([verb], Some(admin)) if verb == "show" => {
            print(&format!("{}\n", admin_client::get(admin, "/admin/v1/upstreams")?))
        }
        _ => Err(Failure::wrong("usage: mothvale upstream show --admin IP:PORT")),
    }
}
