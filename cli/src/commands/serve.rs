//! `mothvale serve`: runs one host.

use lexopt::Parser;
use mothvale_lib::{
    host::{Clients, RunningHost},
    log_setup,
};
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};

use super::{load_settings, parse_arguments, print};
use crate::failure::Failure;

const HELP: &str = "\
Usage: mothvale serve --settings FILE

Runs one host. When it listens, it prints one JSON line with `\"event\":\"ready\"` and its addresses.
SIGTERM shuts it down: the health check fails, requests end, then it exits with 0.
";

/// Runs `mothvale serve` with the arguments after its name.
pub fn run(args: Parser) -> Result<(), Failure> {
    let arguments = parse_arguments(args, &["settings"])?;
    if arguments.help {
        return print(HELP);
    }
    let Some(file) = arguments.settings.filter(|_| arguments.positional.is_empty()) else {
        return Err(Failure::usage("usage: mothvale serve --settings FILE"));
    };
    let settings = load_settings(&file)?;
    log_setup::install_stderr(&settings.log).map_err(Failure::failed)?;
    let runtime = tokio::runtime::Runtime::new().map_err(Failure::failed)?;
    runtime.block_on(async {
        let mut term = signal(SignalKind::terminate()).map_err(Failure::failed)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(Failure::failed)?;
        let clients = Clients::http(&settings);
        let host = RunningHost::start(settings, clients).await.map_err(Failure::failed)?;
        let ready = json!({
            "event": "ready",
            "public": host.public_address().to_string(),
            "admin": host.admin_address().to_string(),
        });
        print(&format!("{ready}\n"))?;
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
        match host.shut_down().await {
            true => Ok(()),
            false => Err(Failure::failed(
                "requests were still running when the time for shutdown was over",
            )),
        }
    })
}
