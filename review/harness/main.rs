//! Runs the cases of `review/` that are scripts: `harness CASE FOLDER TROUBLE`. Exits with 1 if the rule was
//! broken, 0 if it held, 2 if the case could not run.

mod endless;
mod parts;
mod readers;
mod rollout;
mod store;
mod town;
mod uploads;
mod util;
mod versions;

use std::path::PathBuf;

use parts::Trouble;

/// A response whose body comes in chunks of one byte.
const SMALL_CHUNKS: Trouble = Trouble {
    head: "HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\nServer-Stamp: RUNNER.t\r\n\
           Request-Id: REQUEST\r\n\r\n",
    endless: "1\r\nx\r\n",
};
/// Interim responses.
const INTERIM: Trouble = Trouble { head: "", endless: "HTTP/1.1 100 Continue\r\n\r\n" };

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (case, folder, trouble) = (&args[1], PathBuf::from(&args[2]), args[3] != "0");
    let code = match case.as_str() {
        "uploads" => uploads::run(&folder, trouble),
        "readers" => readers::run(&folder, trouble),
        "chunks" => endless::run(&folder, trouble.then_some(SMALL_CHUNKS)),
        "interim" => endless::run(&folder, trouble.then_some(INTERIM)),
        "rollout" => rollout::run(&folder, trouble),
        "versions" => versions::run(&folder, trouble),
        _ => 2,
    };
    std::process::exit(code);
}
