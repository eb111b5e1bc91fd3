//! `mothvale explain`.

use lexopt::Parser;

use super::{given, print};
use crate::{admin_client, failure::Failure};

const HELP: &str = "\
Usage: mothvale explain ID --admin IP:PORT

Shows, as JSON, how the request with this id was handled. Any host may be asked; the id is in the
answer's field x-request-id. Each host keeps its last 4096 records.
";

/// Runs the command.
pub fn run(args: Parser) -> Result<(), Failure> {
    let given = given(args, &["admin"])?;
    if given.help {
        return print(HELP);
    }
    match (given.words.as_slice(), given.admin) {
        ([id], Some(admin)) => {
            print(&format!("{}\n", admin_client::get(admin, &format!("/admin/v1/records/{id}"))?))
        }
        _ => Err(Failure::wrong("usage: mothvale explain ID --admin IP:PORT")),
    }
}
