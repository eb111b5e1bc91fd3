//! Requests that crash each upstream that begins to run them, at hosts that run as processes of their own. Upstreams
//! are back under their id and address after 2 s.

use std::{
    env, fs,
    path::Path,
    process,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use mothvale_bench::soak::{self, host::Host};
use mothvale_lib::connection::Connection;
use mothvale_platform_standin::{
    caller::{is_signed, poll},
    crashing::{Crashes, DEADLY_PATH, Upstream},
    operator::{Bounds, configure, settings},
    store::Store,
};
use rustix::process::Signal;
use tokio::{
    task::JoinSet,
    time::{Instant as TokioInstant, sleep, sleep_until, timeout},
};

const KEY: &str = "secret-key-one";
/// Longest wait for a response, and for the hosts to serve at the start.
const TIMEOUT: Duration = Duration::from_secs(20);
/// When the first deadly request is sent.
const FIRST_DEADLY: Duration = Duration::from_secs(3);
/// Mean time between two sound requests.
const SOUND_PERIOD: Duration = Duration::from_millis(20);
/// How long a host that was killed is gone.
const KILLED_TIME: Duration = Duration::from_millis(300);
/// Crashes after which all hosts have to know the request, within [`CONTACT`].
const KNOWN_CRASHES: usize = 3;
/// Time within which a host has to know the state of the platform, since its start too.
const CONTACT: Duration = Duration::from_secs(3);
/// Deadly requests that may reach upstreams after that, in all.
const MAX_LATE: usize = 3;
const HOSTS: usize = 3;

/// What happens in a run.
struct Scenario {
    name: &'static str,
    /// Index of its first host among those of all scenarios.
    first_host: usize,
    upstreams: usize,
    deadly_period: Duration,
    time: Duration,
    /// Hosts that are killed together, with the times.
    kills: Vec<(Duration, Vec<usize>)>,
    /// Hosts that are suspended, with the times.
    suspensions: Vec<(Duration, Duration, usize)>,
    /// Sound requests that are sent together. Their rate does not depend on it.
    sound_burst: u32,
    /// Whether sound requests share path, key and body.
    alike: bool,
}

impl Scenario {
    fn new(name: &'static str, first_host: usize, upstreams: usize, deadly_period: u64) -> Self {
        Scenario {
            name,
            first_host,
            upstreams,
            deadly_period: Duration::from_millis(deadly_period),
            time: Duration::from_secs(24),
            kills: Vec::new(),
            suspensions: Vec::new(),
            sound_burst: 1,
            alike: false,
        }
    }
}

/// A deadly request that reached an upstream.
#[derive(Debug)]
struct Arrival {
    at: Duration,
    host: usize,
    /// Time since the host's process was started.
    host_age: Duration,
}

#[derive(Default)]
struct Seen {
    /// Deadly requests with the hosts that got them.
    deadly: Vec<(String, usize)>,
    /// Starts of processes.
    starts: Vec<(Instant, usize)>,
    /// Number of sound requests, and of those that were served.
    sound: usize,
    served: usize,
    /// When sound requests were kept away from upstreams because they are held to crash them.
    kept_away: Vec<Duration>,
}

struct Report {
    arrivals: Vec<Arrival>,
    sound: usize,
    /// When sound requests were kept away, in order.
    kept_away: Vec<Duration>,
}

impl Report {
    /// Returns the deadly requests that reached upstreams late, from hosts that could know them.
    fn late(&self) -> Vec<&Arrival> {
        let Some(known) = self.arrivals.get(KNOWN_CRASHES - 1).map(|it| it.at + CONTACT) else {
            return Vec::new();
        };
        self.arrivals.iter().filter(|it| it.at > known && it.host_age >= CONTACT).collect()
    }

    fn assert_protected(&self) {
        let late = self.late();
        assert!(late.len() <= MAX_LATE, "{} crashes, late: {late:#?}", self.arrivals.len());
    }
}

async fn send(host: std::net::SocketAddr, id: &str, path: &str) -> Option<(u16, bool, String)> {
    let exchange = async {
        let mut connection = Connection::connect(host).await.ok()?;
        let response = connection.call(poll(id, path, KEY), TIMEOUT, 1 << 16).await.ok()?;
        let text = String::from_utf8_lossy(response.body()).into_owned();
        Some((response.status().as_u16(), is_signed(response.headers()), text))
    };
    timeout(TIMEOUT, exchange).await.ok().flatten()
}

async fn play(scenario: &Scenario) -> Report {
    let folder = env::temp_dir().join(format!("mothvale-{}-{}", scenario.name, process::id()));
    fs::create_dir_all(&folder).unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_mothvale"));
    let store = Store::start().await;
    configure(&store, 1, &[("t1", KEY)], "demo", "");
    let crashes = Crashes::default();
    let mut upstreams = Vec::new();
    for index in 0..scenario.upstreams {
        let (id, zone) = (format!("i-{index}"), format!("z{index}"));
        upstreams.push(Upstream::start(&id, &zone, &store, crashes.clone()).await.unwrap());
    }
    let seen = Arc::new(Mutex::new(Seen::default()));
    let mut hosts = Vec::new();
    for index in 0..HOSTS {
        let (name, zone) = (format!("host{index}"), format!("z{index}"));
        let ip = soak::host_ip(scenario.first_host + index);
        let settings = settings(&name, &zone, ip, store.address, &Bounds::default());
        let mut host = Host::new(&name, ip, program, &folder, &settings).unwrap();
        host.start().unwrap();
        seen.lock().unwrap().starts.push((Instant::now(), index));
        hosts.push(host);
    }
    let addresses: Vec<_> = hosts.iter().map(Host::caller_address).collect();
    for address in &addresses {
        let serves = async {
            while !matches!(send(*address, "first", "/read/first").await, Some((200, true, _))) {
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(TIMEOUT, serves).await.expect("each host must serve");
    }
    let start = TokioInstant::now();
    let disturb = async {
        let suspend = |host: usize, signal| assert!(hosts[host].signal(signal));
        for (from, to, host) in &scenario.suspensions {
            sleep_until(start + *from).await;
            suspend(*host, Signal::STOP);
            sleep_until(start + *to).await;
            suspend(*host, Signal::CONT);
        }
        for (at, killed) in &scenario.kills {
            sleep_until(start + *at).await;
            killed.iter().for_each(|it| assert!(hosts[*it].signal(Signal::KILL)));
            sleep(KILLED_TIME).await;
            for index in killed {
                while hosts[*index].take_exit().is_none() {
                    sleep(Duration::from_millis(10)).await;
                }
                hosts[*index].start().unwrap();
                seen.lock().unwrap().starts.push((Instant::now(), *index));
            }
        }
    };
    let deadly = async {
        let mut sent = JoinSet::new();
        for number in 0.. {
            let at = FIRST_DEADLY + scenario.deadly_period * number;
            if at > scenario.time {
                break;
            }
            sleep_until(start + at).await;
            let (index, id) = (number as usize % HOSTS, format!("deadly-{number}"));
            seen.lock().unwrap().deadly.push((id.clone(), index));
            let address = addresses[index];
            sent.spawn(async move { send(address, &id, DEADLY_PATH).await });
        }
        sent.join_all().await;
    };
    let sound = async {
        let mut sent = JoinSet::new();
        for number in 0.. {
            let at = SOUND_PERIOD * (number / scenario.sound_burst * scenario.sound_burst);
            if at > scenario.time {
                break;
            }
            sleep_until(start + at).await;
            let path = match scenario.alike {
                true => "/read/status".to_owned(),
                false => format!("/read/{number}"),
            };
            let (address, seen) = (addresses[number as usize % HOSTS], seen.clone());
            sent.spawn(async move {
                let response = send(address, &format!("sound-{number}"), &path).await;
                let served = matches!(response, Some((200, true, _)));
                let is_kept_away = response.is_some_and(|it| it.2.contains("quarantined"));
                let mut seen = seen.lock().unwrap();
                seen.sound += 1;
                seen.served += usize::from(served);
                seen.kept_away.extend(is_kept_away.then_some(at));
            });
        }
        sent.join_all().await;
    };
    tokio::join!(disturb, deadly, sound);
    let mut seen = std::mem::take(&mut *seen.lock().unwrap());
    seen.kept_away.sort();
    let start = start.into_std();
    let arrival = |crash: &mothvale_platform_standin::crashing::Crash| {
        let (_, host) = seen.deadly.iter().find(|it| it.0 == crash.request).unwrap();
        let starts = seen.starts.iter().filter(|it| it.1 == *host && it.0 <= crash.at);
        let host_age = crash.at - starts.map(|it| it.0).max().unwrap();
        Arrival { at: crash.at - start, host: *host, host_age }
    };
    let arrivals: Vec<_> = crashes.lock().unwrap().iter().map(arrival).collect();
    println!(
        "{}: {} deadly requests, {} crashes, {} of {} sound requests served, {} kept away; logs in {}",
        scenario.name,
        seen.deadly.len(),
        arrivals.len(),
        seen.served,
        seen.sound,
        seen.kept_away.len(),
        folder.display()
    );
    for it in &arrivals {
        println!(
            "{:.3} s: host {}, {:.3} s old",
            it.at.as_secs_f64(),
            it.host,
            it.host_age.as_secs_f64()
        );
    }
    Report { arrivals, sound: seen.sound, kept_away: seen.kept_away }
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against hosts that start and never learn what the others know of a request: all hosts are killed within 2 s,
/// twice.
#[tokio::test]
async fn deadly_request_is_known_after_all_hosts_were_killed_in_turn() {
    let kills = [(12, 0), (13, 1), (14, 2), (30, 0), (31, 1), (32, 2)];
    let kills = kills.into_iter().map(|(at, host)| (seconds(at), vec![host])).collect();
    let report =
        play(&Scenario { kills, time: seconds(44), ..Scenario::new("deadly-kills", 100, 3, 3100) })
            .await;
    report.assert_protected();
}

/// Guards against the same with a host that is killed each 6 s.
#[tokio::test]
async fn deadly_request_is_known_after_hosts_were_killed_one_by_one() {
    let kills = (0..6).map(|it| (seconds(12 + 6 * it), vec![it as usize % HOSTS])).collect();
    let report =
        play(&Scenario { kills, time: seconds(44), ..Scenario::new("deadly-kill", 110, 3, 1700) })
            .await;
    report.assert_protected();
}

/// Guards against hosts that know nothing after all of them were killed at once, and find the request anew.
#[tokio::test]
async fn deadly_request_is_known_after_all_hosts_were_killed_at_once() {
    const OUTAGE: Duration = Duration::from_secs(14);
    let report = play(&Scenario {
        kills: vec![(OUTAGE, (0..HOSTS).collect())],
        time: seconds(30),
        ..Scenario::new("deadly-outage", 120, 3, 700)
    })
    .await;
    let again: Vec<_> = report.arrivals.iter().filter(|it| it.at > OUTAGE).collect();
    assert!(again.len() <= MAX_LATE, "{again:#?}");
}

/// Guards against crashes that count once for each upstream, so that a service with one upstream is never protected.
#[tokio::test]
async fn deadly_request_is_known_with_one_upstream() {
    play(&Scenario::new("deadly-one", 130, 1, 1700)).await.assert_protected();
}

/// Guards against the same with two upstreams.
#[tokio::test]
async fn deadly_request_is_known_with_two_upstreams() {
    play(&Scenario::new("deadly-two", 140, 2, 3100)).await.assert_protected();
}

/// Guards against deadly requests that a host sends right after it was suspended, when messages from before the others knew
/// wait for it.
#[tokio::test]
async fn deadly_request_is_known_to_a_host_that_was_suspended() {
    let report = play(&Scenario {
        suspensions: vec![(Duration::from_millis(2800), seconds(9), 2)],
        ..Scenario::new("deadly-suspension", 170, 3, 700)
    })
    .await;
    report.assert_protected();
    // Three requests wait at the host when it goes on.
    let woken: Vec<_> =
        report.arrivals.iter().filter(|it| it.host == 2 && it.at > FIRST_DEADLY).collect();
    assert!(woken.len() <= 1, "{woken:#?}");
}

/// Guards against breaks of kept connections that never reach the limit at a service with three upstreams.
#[tokio::test]
async fn deadly_request_is_known_with_three_upstreams_and_kept_connections() {
    let scenario = Scenario::new("deadly-three", 160, 3, 2300);
    play(&Scenario { sound_burst: 12, ..scenario }).await.assert_protected();
}

/// Guards against sound requests that are kept away for minutes because several crashes found one of them under way.
#[tokio::test]
async fn sound_requests_that_are_alike_are_kept_away_no_longer_than_until_a_trial() {
    let report = play(&Scenario {
        sound_burst: 12,
        alike: true,
        ..Scenario::new("deadly-beside", 150, 3, 2300)
    })
    .await;
    // A trial comes after 5 s, at different times on the hosts, and takes a moment.
    let kept_away = report.kept_away.first().zip(report.kept_away.last());
    let longest = kept_away.map_or(Duration::ZERO, |(first, last)| *last - *first);
    assert!(longest < seconds(7), "sound requests were kept away for {longest:?}");
    assert!(report.kept_away.len() * 10 < report.sound, "{}", report.kept_away.len());
}
