//! The subcommands of `mothvale`, one module each, and the parsing of their arguments.

mod config;
mod dev;
mod explain;
mod gateway;
mod key;
mod serve;
mod upstream;

use std::{fs, net::SocketAddr};

use lexopt::{
    Arg::{Long, Short, Value},
    Parser, ValueExt,
};
use mothvale_lib::settings::Settings;

use crate::failure::Failure;

const HELP: &str = "\
Serves language model prompts that return after long gaps.

Usage: mothvale COMMAND [OPTIONS]

Commands:
  serve --settings FILE          Run one host
  gateway                        Run one host as the platform's gateway
  dev [--listen IP:PORT]         Run a small system with stand-ins in one process
  config check FILE              Check a settings file
  upstream show --admin IP:PORT  Show a host's view of its upstreams
  explain ID --admin IP:PORT     Show how a request was handled
  key hash                       Read a caller's key from standard input, print its hash

Options:
  -h, --help     Print help, also after a command
  -V, --version  Print the version

Exit codes:
  0  success
  1  the command failed
  2  the command line or the settings are wrong; nothing was done
";

/// Runs the subcommand that the arguments name.
pub fn run(mut args: Parser) -> Result<(), Failure> {
    match args.next()? {
        Some(Short('h') | Long("help")) => print(HELP),
        Some(Short('V') | Long("version")) => {
            print(&format!("mothvale {}\n", env!("CARGO_PKG_VERSION")))
        }
        Some(Value(name)) => match name.to_string_lossy().as_ref() {
            "serve" => serve::run(args),
            "dev" => dev::run(args),
            "config" => config::run(args),
            "upstream" => upstream::run(args),
            "gateway" => gateway::run(args),
            "explain" => explain::run(args),
            "key" => key::run(args),
            other => Err(Failure::usage(format!("no command `{other}`"))),
        },
        Some(other) => Err(other.unexpected().into()),
        None => Err(Failure::usage("a command is missing")),
    }
}

/// Parsed arguments of a subcommand.
#[derive(Debug, Default)]
struct Arguments {
    positional: Vec<String>,
    settings: Option<String>,
    listen: Option<SocketAddr>,
    admin: Option<SocketAddr>,
    help: bool,
}

/// Parses a subcommand's arguments.
///
/// # Errors
///
/// Returns a usage failure for an option not in `allowed` and for an invalid value.
fn parse_arguments(mut args: Parser, allowed: &[&str]) -> Result<Arguments, Failure> {
    let mut arguments = Arguments::default();
    while let Some(arg) = args.next()? {
        match arg {
            Short('h') | Long("help") => arguments.help = true,
            Long(name) if allowed.contains(&name) => match name {
                "settings" => arguments.settings = Some(args.value()?.string()?),
                "listen" => arguments.listen = Some(args.value()?.parse()?),
                // "admin", the only other option that a command allows.
                _ => arguments.admin = Some(args.value()?.parse()?),
            },
            Value(word) => arguments.positional.push(word.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(arguments)
}

/// Writes text to standard output; unlike `print!`, it returns an error where writing fails.
fn print(text: &str) -> Result<(), Failure> {
    use std::io::Write;
    std::io::stdout().write_all(text.as_bytes()).map_err(Failure::failed)
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns all errors of the file, one per line.
fn load_settings(file: &str) -> Result<Settings, Failure> {
    let text = fs::read_to_string(file)
        .map_err(|err| Failure::settings(format!("{file}:1: document: cannot read: {err}")))?;
    Settings::parse(file, &text).map_err(Failure::settings)
}
