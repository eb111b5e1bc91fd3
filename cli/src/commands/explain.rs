//! `mothvale explain`: shows how a host handled a request.

use lexopt::Parser;

use super::{parse_arguments, print};
use crate::{admin_client, failure::Failure};

const HELP: &str = "\
Usage: mothvale explain ID --admin IP:PORT

Shows, as JSON, how the request with this id was handled. Any host may be asked; the id is in the
response header x-request-id. Each host keeps its last 4096 records.
";

/// Runs `mothvale explain` with the arguments after its name.
pub fn run(args: Parser) -> Result<(), Failure> {
    let arguments = parse_arguments(args, &["admin"])?;
    if arguments.help {
        return print(HELP);
    }
    match (arguments.positional.as_slice(), arguments.admin) {
        ([id], Some(admin)) => {
            print(&format!("{}\n", admin_client::get(admin, &format!("/admin/v1/records/{id}"))?))
        }
        _ => Err(Failure::usage("usage: mothvale explain ID --admin IP:PORT")),
    }
}
