//! Prompts that share one part crash each runner that begins to write an answer on it: the runner writes the head and the
//! first event, and falls over.

use std::{
    io::Write,
    net::TcpStream,
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::parts::*;

/// Events of a stream, and the pause between two of them.
const EVENTS: u64 = 36;
const PAUSE: Duration = Duration::from_millis(40);
/// The part that crashes runners, in the middle of prompts.
const FATAL: &str = "fa7a1fa7:300";
/// Time from the first event until the runner falls over.
const CRASH_DELAY: Duration = Duration::from_millis(15);
/// How long a runner that has crashed is away, and cold afterwards.
const AWAY: Duration = Duration::from_millis(3000);
const COLD: Duration = Duration::from_millis(3000);
/// The bound `contact-ms`.
const CONTACT: Duration = Duration::from_millis(3000);
/// When prompts with the part come, and the end of the script.
const FIRST_FATAL: Duration = Duration::from_secs(8);
const LAST_FATAL: Duration = Duration::from_secs(44);
const END: Duration = Duration::from_secs(46);

fn write_stream(runner: &Runner, request: &Request, mut stream: &TcpStream) -> std::io::Result<()> {
    let id = request.header("request-id").to_owned();
    let born = runner.born.load(Ordering::Acquire);
    let is_up =
        || runner.born.load(Ordering::Acquire) == born && !runner.down.load(Ordering::Acquire);
    let gone = || std::io::Error::from(std::io::ErrorKind::BrokenPipe);
    let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let is_fatal = request.header("prompt-prefix").contains(FATAL);
    runner.begin(request);
    // The prompt is read.
    thread::sleep(Duration::from_millis(60));
    if !is_up() {
        return Err(gone());
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s.{id}.{}\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        runner.id
    );
    stream.write_all(head.as_bytes())?;
    for event in last + 1..=EVENTS {
        if !is_up() {
            return Err(gone());
        }
        let text = format!("id: {event}\ndata: {}\n\n", runner.id);
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        if is_fatal {
            thread::sleep(CRASH_DELAY);
            runner
                .record
                .line(&format!("runner {} has begun to write an answer to {id}", runner.id));
            runner.crash();
            return Err(gone());
        }
        thread::sleep(PAUSE);
    }
    stream.write_all(b"0\r\n\r\n")
}

/// A request as its caller saw it.
struct Seen {
    at: Instant,
    is_fatal: bool,
    id: String,
    answer: Answer,
}

impl Seen {
    /// Returns whether the answer began.
    fn has_begun(&self) -> bool {
        self.answer.status == 200 && !self.answer.body.is_empty()
    }
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
    // When runners fell over, in order.
    let crashes: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let entry = |runner: &Runner, cold: Duration| {
        let cold = format!("\"cold-remaining-ms\":{}", cold.as_millis());
        runner.entry(64, MODEL).replace("\"cold-remaining-ms\":0", &cold)
    };
    for runner in &runners {
        store.put("servers", &runner.id, &entry(runner, Duration::ZERO));
    }
    {
        let (runners, store, crashes) = (runners.clone(), store.clone(), crashes.clone());
        thread::spawn(move || {
            let mut down_since: Vec<Option<Instant>> = vec![None; runners.len()];
            let mut started: Vec<Option<Instant>> = vec![None; runners.len()];
            let mut next_beat = Instant::now();
            loop {
                thread::sleep(Duration::from_millis(2));
                let is_beat = Instant::now() >= next_beat;
                if is_beat {
                    next_beat += Duration::from_millis(1200);
                }
                for (at, runner) in runners.iter().enumerate() {
                    let mut is_new = false;
                    if runner.down.load(Ordering::Acquire) {
                        let since = *down_since[at].get_or_insert_with(|| {
                            crashes.lock().unwrap().push(Instant::now());
                            Instant::now()
                        });
                        if since.elapsed() < AWAY {
                            continue;
                        }
                        (down_since[at], started[at], is_new) = (None, Some(Instant::now()), true);
                        runner.restart("v1");
                    }
                    if is_beat || is_new {
                        let cold = started[at]
                            .map_or(Duration::ZERO, |it| COLD.saturating_sub(it.elapsed()));
                        store.put("servers", &runner.id, &entry(runner, cold));
                    }
                }
            }
        });
    }
    store.put("op", "config", &manifest(1));
    let settings = Settings { zones: zones.to_vec(), memory_mb: 110, extra: String::new() };
    let gateways: Vec<_> = (0..3)
        .map(|at| Gateway::start(&files, at, &ips[at], zones[at], address, &settings))
        .collect();
    wait_ready(&gateways);
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let start = Instant::now();
    let (mut threads, mut n) = (Vec::new(), 0_usize);
    while start.elapsed() < END {
        let is_due = (FIRST_FATAL..LAST_FATAL).contains(&start.elapsed()) && n % 13 == 0;
        let is_fatal = is_due && has_trouble();
        let (front, seen) = (gateways[n % 3].front, seen.clone());
        let id = format!("{n:016x}");
        record.line(&format!(
            "{id} sent to {}{}",
            gateways[n % 3].name,
            if is_fatal { ", with the part" } else { "" }
        ));
        threads.push(thread::spawn(move || {
            let at = Instant::now();
            let middle = if is_fatal {
                FATAL.to_owned()
            } else {
                format!("{:08x}:300", 0x2222_0000 + n % 30)
            };
            let headers = [
                ("Deadline-Ms", "12000".to_owned()),
                ("Key", KEY.to_owned()),
                ("Model", "m0".to_owned()),
                ("Token-Count", "1000,36".to_owned()),
                ("Prompt-Prefix", format!("5c1e0000:600,{middle},{:08x}:100", 0x1000_0000 + n)),
            ];
            let request = Call {
                method: "POST",
                path: format!("/digest/{id}"),
                id: id.clone(),
                headers: headers.into_iter().map(|it| (it.0.to_owned(), it.1)).collect(),
                body: format!("prompt {n}").into_bytes(),
                patience: Duration::from_secs(5),
            };
            let answer = call(front, HOST, &request);
            seen.lock().unwrap().push(Seen { at, is_fatal, id, answer });
        }));
        n += 1;
        thread::sleep(Duration::from_millis(25));
    }
    for it in threads {
        let _ = it.join();
    }
    let (seen, crashes) = (seen.lock().unwrap(), crashes.lock().unwrap());
    for it in seen.iter() {
        let (answer, begun) = (&it.answer, it.has_begun());
        let took = answer.took.as_millis();
        record.line(&format!(
            "{} answered {} begun {begun} whole {} after {took} ms {}",
            it.id, answer.status, answer.whole, answer.error
        ));
    }
    for second in 0..END.as_secs() {
        let is_then = |at: Instant| at.duration_since(start).as_secs() == second;
        let sound: Vec<_> = seen.iter().filter(|it| !it.is_fatal && is_then(it.at)).collect();
        let (begun, whole) = (
            sound.iter().filter(|it| it.has_begun()).count(),
            sound.iter().filter(|it| it.answer.whole && it.answer.status == 200).count(),
        );
        let fatal = seen.iter().filter(|it| it.is_fatal && is_then(it.at)).count();
        let fallen = crashes.iter().filter(|it| is_then(**it)).count();
        record.say(&format!("second {second}: {} sound requests, {begun} begun, {whole} whole; {fatal} with the part; {fallen} runners fell over", sound.len()));
    }
    record.say(&format!("runners fell over {} times", crashes.len()));
    let share = |from: Instant, until: Instant| {
        let of: Vec<_> =
            seen.iter().filter(|it| !it.is_fatal && it.at >= from && it.at < until).collect();
        let begun = of.iter().filter(|it| it.has_begun()).count();
        (of.len(), begun as f64 / of.len().max(1) as f64)
    };
    let calm = share(start, start + FIRST_FATAL - Duration::from_secs(2));
    // With fewer than five crashes, the time counts from the last one.
    let crash = crashes.get(4).or(crashes.last()).copied().unwrap_or(start + FIRST_FATAL);
    let pressed = share(crash + 2 * CONTACT, start + LAST_FATAL);
    record.say(&format!("before: {} sound requests, share begun {:.3}", calm.0, calm.1));
    record.say(&format!(
        "from 2 x contact-ms after the fifth crash: {} sound requests, share begun {:.3}",
        pressed.0, pressed.1
    ));
    let late: std::collections::BTreeSet<_> =
        crashes.iter().skip(5).filter(|it| it.duration_since(crash) > CONTACT).collect();
    record.say(&format!(
        "{} runners fell over later than contact-ms after the fifth crash",
        late.len()
    ));
    let broken = calm.0 >= 20 && pressed.0 >= 20 && pressed.1 < calm.1 / 2.0;
    drop((seen, crashes));
    finish(files, gateways, &record, broken)
}
