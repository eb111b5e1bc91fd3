//! Runners crash in two waves while the store is down, and come back under their ids with another software version.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::Write,
    net::TcpStream,
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::parts::*;

/// Events of a stream, and the pause between two of them.
const EVENTS: u64 = 60;
const PAUSE: Duration = Duration::from_millis(50);

/// Sends the events of a stream that the caller lacks. Each names the version of the software that wrote it.
fn write_stream(runner: &Runner, request: &Request, mut stream: &TcpStream) -> std::io::Result<()> {
    let id = request.header("request-id").to_owned();
    let version = runner.version.lock().unwrap().clone();
    let born = runner.born.load(Ordering::Acquire);
    let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
    runner.begin(request);
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s.{id}.{}\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        runner.id
    );
    thread::sleep(Duration::from_millis(40));
    stream.write_all(head.as_bytes())?;
    runner.record.line(&format!(
        "runner {} {version} writes {id} from event {}",
        runner.id,
        last + 1
    ));
    for event in last + 1..=EVENTS {
        if runner.born.load(Ordering::Acquire) != born || runner.down.load(Ordering::Acquire) {
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        let text = format!("id: {event}\ndata: {version}\n\n");
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        thread::sleep(PAUSE);
    }
    stream.write_all(b"0\r\n\r\n")
}

pub fn run(folder: &str) -> ! {
    let record = Record::new(&format!("{folder}/record.txt"));
    let files = Folder::new();
    let ips = free_ips(3);
    let store = Store::new();
    let address = store.serve("127.0.0.1:0");
    let zones = ["nbo-westlands", "nbo-industrial", "nbo-karen"];
    let runners: Vec<_> = (0..9)
        .map(|at| {
            Runner::start(
                &format!("i-engine{at}"),
                "engines",
                zones[at % 3],
                "127.0.0.1",
                &record,
                write_stream,
            )
        })
        .collect();
    beat(&store, &runners, 64, MODEL);
    store.put("op", "config", &manifest(1));
    let settings = Settings { zones: zones.to_vec(), memory_mb: 110, extra: String::new() };
    let gateways: Vec<_> = (0..3)
        .map(|at| Gateway::start(&files, at, &ips[at], zones[at], address, &settings))
        .collect();
    wait_ready(&gateways);
    let answers = Arc::new(Mutex::new(Vec::new()));
    let start = Instant::now();
    let (mut threads, mut n) = (Vec::new(), 0_usize);
    // What happens, and when.
    let mut steps: Vec<(u64, &str)> = vec![
        (4000, "store down"),
        (5000, "crash 0 1"),
        (6000, "back 0 1"),
        (11400, "crash 2 3"),
        (12000, "store back"),
        (12400, "back 2 3"),
    ];
    if !has_trouble() {
        steps.clear();
    }
    while start.elapsed() < Duration::from_secs(16) {
        let now = start.elapsed().as_millis() as u64;
        while steps.first().is_some_and(|it| it.0 <= now) {
            let (_, step) = steps.remove(0);
            record.say(step);
            let words: Vec<_> = step.split(' ').collect();
            let named = words[1..].iter().filter_map(|it| it.parse::<usize>().ok());
            match words[0] {
                "store" => {
                    store.set_health(if words[1] == "down" { Health::Busy } else { Health::Good })
                }
                "crash" => named.for_each(|it| runners[it].crash()),
                _ => named.for_each(|it| runners[it].restart("v2")),
            }
        }
        let (front, answers) = (gateways[n % 3].front, answers.clone());
        let id = format!("{n:016x}");
        record.line(&format!("{id} sent to {}", gateways[n % 3].name));
        threads.push(thread::spawn(move || {
            let mut headers = vec![
                ("Deadline-Ms".to_owned(), "12000".to_owned()),
                ("Key".to_owned(), KEY.to_owned()),
                ("Model".to_owned(), "m0".to_owned()),
                ("Token-Count".to_owned(), "900,60".to_owned()),
            ];
            headers.push((
                "Prompt-Prefix".to_owned(),
                format!("{:08x}:600,{:08x}:300", 0x5c1e_0000 + n % 40, 0x1000_0000 + n),
            ));
            let request = Call {
                method: "POST",
                path: format!("/digest/{id}"),
                id: id.clone(),
                headers,
                body: b"a prompt".to_vec(),
                patience: Duration::from_secs(5),
            };
            let it = call(front, HOST, &request);
            answers.lock().unwrap().push((id, it));
        }));
        n += 1;
        thread::sleep(Duration::from_millis(16));
    }
    for it in threads {
        let _ = it.join();
    }
    let (mut statuses, mut mixed) = (BTreeMap::<(u16, bool), usize>::new(), 0);
    for (id, it) in answers.lock().unwrap().iter() {
        *statuses.entry((it.status, it.whole)).or_default() += 1;
        let text = String::from_utf8_lossy(&it.body).into_owned();
        let versions: BTreeSet<_> =
            text.lines().filter_map(|it| it.strip_prefix("data: ")).collect();
        let first_of_v2 = text.split("\n\n").position(|it| it.ends_with("v2"));
        record.line(&format!(
            "{id} answered {} whole {} versions {versions:?} {}",
            it.status, it.whole, it.error
        ));
        if versions.len() > 1 {
            mixed += 1;
            record.say(&format!(
                "{id}: one answer {} holds events of {versions:?}, v2 from event {}",
                it.status,
                first_of_v2.unwrap_or(0) + 1
            ));
        }
    }
    record.say(&format!("answers by status and whether they were whole: {statuses:?}"));
    record.say(&format!("{mixed} answers hold events from runners of two software versions"));
    finish(files, gateways, &record, mixed > 2)
}
