//! Tests of `mothvale gateway` as a process.

use std::{
    env, fs,
    path::Path,
    process,
    time::{Duration, Instant},
};

use mothvale_bench::soak::{self, host::Host};
use mothvale_platform_standin::operator::{Bounds, settings};
use rustix::process::Signal;
use tokio::time::sleep;

/// Processes that are stopped at the same time.
const HOSTS: usize = 16;
/// Longest wait for a process to log something or to end.
const TIMEOUT: Duration = Duration::from_secs(20);

async fn wait_until<F>(mut condition: F)
where
    F: FnMut() -> bool,
{
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "the condition must hold in time");
        sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn hosts_log_their_end() {
    let _turn = soak::take_turn().await;
    let folder = env::temp_dir().join(format!("mothvale-stop-test-{}", process::id()));
    fs::create_dir_all(&folder).unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_mothvale"));
    // Nothing listens there: hosts start and stop without a store as well.
    let store = "127.0.0.1:9".parse().unwrap();
    let mut hosts = Vec::new();
    for index in 0..HOSTS {
        let (name, ip) = (format!("host{index}"), soak::host_ip(index));
        let settings = settings(&name, "z0", ip, store, &Bounds::default());
        let mut host = Host::new(&name, ip, program, &folder, &settings).unwrap();
        host.start().unwrap();
        hosts.push(host);
    }
    let logs = |message: &str, host: &Host| {
        let log = fs::read_to_string(&host.log).unwrap();
        log.contains(&format!("\"message\":\"{message}\""))
    };
    wait_until(|| hosts.iter().all(|it| logs("started", it))).await;
    hosts.iter().for_each(|it| assert!(it.signal(Signal::TERM)));
    let mut statuses = Vec::new();
    wait_until(|| {
        statuses.extend(hosts.iter_mut().filter_map(Host::take_exit));
        statuses.len() == HOSTS
    })
    .await;
    assert!(statuses.iter().all(|it| it.success()), "{statuses:?}");
    let silent = hosts.iter().filter(|it| !logs("stopped", it)).count();
    assert_eq!(silent, 0, "hosts of {HOSTS} without a line `stopped`");
}
