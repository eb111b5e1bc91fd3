//! Runs the cases of `review/` that are scripts: `harness CASE FOLDER TROUBLE`. Exits with 1 if the rule was
//! broken, 0 if it held, 2 if the case could not run.

mod parts;
mod readers;
mod store;
mod town;
mod uploads;
mod util;

use std::path::PathBuf;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (case, folder, trouble) = (&args[1], PathBuf::from(&args[2]), args[3] != "0");
    let code = match case.as_str() {
        "uploads" => uploads::run(&folder, trouble),
        "readers" => readers::run(&folder, trouble),
        _ => 2,
    };
    std::process::exit(code);
}
