//! `mothvale gateway`: runs one host as the platform's gateway.

use std::{env, fs};

use lexopt::Parser;
use mothvale_lib::{
    gateway_process::GatewayProcess, host_settings::HostSettings, log_setup, settings::Log,
};
use mothvale_platform::{
    Platform,
    settings::{self, SETTINGS_VARIABLE},
    store::HttpRowStore,
};

use super::{parse_arguments, print};
use crate::failure::Failure;

const HELP: &str = "\
Usage: mothvale gateway

Runs one host as the platform's gateway, with the settings file that MOTHVALE_CONFIG names. SIGTERM
shuts it down: readiness probes fail, requests end, then it exits with 0. SIGHUP reads the settings
again.
";

/// Runs `mothvale gateway` with the arguments after its name.
pub fn run(args: Parser) -> Result<(), Failure> {
    let arguments = parse_arguments(args, &[])?;
    if arguments.help {
        return print(HELP);
    }
    if !arguments.positional.is_empty() {
        return Err(Failure::usage("usage: mothvale gateway"));
    }
    let host_settings = load_settings().map_err(Failure::settings)?;
    log_setup::install_stdout(&Log::default()).map_err(Failure::failed)?;
    let gateway_process = GatewayProcess::new(host_settings, Platform).map_err(Failure::failed)?;
    gateway_process.run(HttpRowStore::new, load_settings).map_err(Failure::failed)
}

/// Reads the settings file that the environment variable names.
///
/// # Errors
///
/// Returns one line for each error.
fn load_settings() -> Result<HostSettings, String> {
    let file =
        env::var(SETTINGS_VARIABLE).map_err(|_| format!("{SETTINGS_VARIABLE} is not set"))?;
    let text = fs::read_to_string(&file).map_err(|err| format!("{file}: cannot read: {err}"))?;
    settings::parse(&file, &text).map_err(|errors| {
        let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
        lines.join("\n")
    })
}
