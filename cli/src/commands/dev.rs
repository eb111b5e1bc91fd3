//! `mothvale dev`: runs a small system with stand-ins in one process.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use lexopt::Parser;
use mothvale_lib::{log_setup, settings::Log};
use mothvale_standin::dev::{Cluster, KEYS, MODEL, Options};
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};

use super::{parse_arguments, print};
use crate::failure::Failure;

const HELP: &str = "\
Usage: mothvale dev [--listen IP:PORT]

Runs 3 hosts, 4 stand-in engines, 2 store hosts, a booking service and a table service in one
process, over loopback sockets. The first host listens at --listen (default 127.0.0.1:8080).
When all are ready, it prints one JSON line with `\"event\":\"ready\"` and the addresses.
";
const DEFAULT_LISTEN: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8080);

/// Runs `mothvale dev` with the arguments after its name.
pub fn run(args: Parser) -> Result<(), Failure> {
    let arguments = parse_arguments(args, &["listen"])?;
    if arguments.help {
        return print(HELP);
    }
    if !arguments.positional.is_empty() {
        return Err(Failure::usage("usage: mothvale dev [--listen IP:PORT]"));
    }
    let log = Log { level: log::LevelFilter::Info, modules: Default::default() };
    log_setup::install_stderr(&log).map_err(Failure::failed)?;
    let options =
        Options { listen: arguments.listen.unwrap_or(DEFAULT_LISTEN), ..Options::default() };
    let runtime = tokio::runtime::Runtime::new().map_err(Failure::failed)?;
    runtime.block_on(async {
        let mut term = signal(SignalKind::terminate()).map_err(Failure::failed)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(Failure::failed)?;
        let cluster = Cluster::start(&options).await.map_err(Failure::failed)?;
        print(&format!("{}\n", ready_event(&cluster)))?;
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
        match cluster.shut_down().await {
            true => Ok(()),
            false => Err(Failure::failed(
                "requests were still running when the time for shutdown was over",
            )),
        }
    })
}

/// Returns the JSON line that reports all addresses, keys and the model.
fn ready_event(cluster: &Cluster) -> serde_json::Value {
    let hosts = cluster.hosts.iter();
    let hosts = hosts.map(|it| json!({"public": it.public_address(), "admin": it.admin_address()}));
    let engines = cluster.standins.engines.iter().map(|it| it.address);
    let stores = cluster.standins.stores.iter().map(|it| it.address);
    json!({
        "event": "ready",
        "hosts": hosts.collect::<Vec<_>>(),
        "engines": engines.collect::<Vec<_>>(),
        "stores": stores.collect::<Vec<_>>(),
        "holds": cluster.standins.bookings.address,
        "table": cluster.standins.table.address,
        "keys": KEYS,
        "model": MODEL,
    })
}
