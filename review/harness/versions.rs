//! Runners of a second version come while one machine is frozen, and streams are taken up there.

use std::io::BufRead;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;

use crate::parts::*;
use crate::town::Town;
use crate::util::*;

const MEMORY_MB: u64 = 110;
const DEADLINE_MS: u64 = 12_000;
const GAP_MS: u64 = 25;
const EVENTS: u64 = 14;
/// From then on the machines know where all running streams began.
const FREEZE_AT_MS: u64 = 33_000;
const KILL_AFTER_MS: u64 = 1_600;
const FREEZE_MS: u64 = 1_900;

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let stream = Work::Events { count: EVENTS, first_ms: 100, gap_ms: 100 };
    let whole = Work::Whole { ms: 30, bytes: 800 };
    let Some(town) = Town::start_with(folder, MEMORY_MB, stream, whole, &["v1", "v2-later"]) else {
        return 2;
    };
    let town = Arc::new(town);
    let (mixed, resumed) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let whole = Arc::new(AtomicU32::new(0));
    let ended = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    let requesters = {
        let (town, ended, number) = (town.clone(), ended.clone(), number.clone());
        let (mixed, resumed, whole) = (mixed.clone(), resumed.clone(), whole.clone());
        std::thread::spawn(move || {
            let mut callers = Vec::new();
            while !ended.load(Ordering::SeqCst) {
                let number = number.fetch_add(1, Ordering::SeqCst);
                let (town, mixed, resumed) = (town.clone(), mixed.clone(), resumed.clone());
                let whole = whole.clone();
                callers.push(std::thread::spawn(move || {
                    stream_of(&town, number, &mixed, &resumed, &whole);
                }));
                sleep_ms(GAP_MS);
            }
            callers.into_iter().for_each(|it| drop(it.join()));
        })
    };
    let (x, y) = (&town.machines[0], &town.machines[1]);
    sleep_ms(FREEZE_AT_MS);
    if trouble {
        y.signal("STOP");
    }
    town.record.line("runners of version v2 begin to serve beside the others");
    town.writers.iter().for_each(|it| it.unlisted.store(false, Ordering::SeqCst));
    sleep_ms(KILL_AFTER_MS);
    // The watcher starts it again, as the platform does.
    x.signal("KILL");
    sleep_ms(FREEZE_MS - KILL_AFTER_MS);
    if trouble {
        y.signal("CONT");
    }
    sleep_ms(8_000);
    ended.store(true, Ordering::SeqCst);
    let _ = requesters.join();
    let (mixed, resumed) = (mixed.load(Ordering::SeqCst), resumed.load(Ordering::SeqCst));
    let text = format!(
        "streams {}, whole {}, taken up {resumed}; with events of two versions: {mixed}",
        number.load(Ordering::SeqCst),
        whole.load(Ordering::SeqCst),
    );
    town.record.line(&text);
    println!("{text}");
    town.stop();
    if resumed == 0 {
        return 2;
    }
    // ORDER: more than two streams.
    i32::from(mixed > 2)
}

/// A requester's stream: begun at the first machine, and taken up at the second one if it breaks.
fn stream_of(town: &Town, number: u64, mixed: &AtomicU32, resumed: &AtomicU32, whole: &AtomicU32) {
    let mut versions: Vec<String> = Vec::new();
    let (mut last, mut is_whole) = (0, false);
    let origin = format!("{number:016x}");
    let mut tries = String::new();
    for attempt in 0..2 {
        let front = town.machines[attempt.min(1)].front;
        let Some(mut channel) = Channel::open(front) else { break };
        let id = if attempt == 0 { origin.clone() } else { format!("{number:015x}r") };
        let mut fields = model_fields(number);
        if attempt > 0 {
            fields.push_str(&format!("Last-Event-Id: {last}\r\nResumes: {origin}\r\n"));
            resumed.fetch_add(1, Ordering::SeqCst);
        }
        let head = request_head("POST", "/puxa400/2f", &id, DEADLINE_MS, 1000, &fields);
        if !channel.send(&head, &[b'p'; 1000]) {
            break;
        }
        let answer = read_head(channel.reader());
        let status = answer.map_or(0, |it| it.status());
        tries.push_str(&format!(" {id}: status {status}"));
        if status != 200 {
            break;
        }
        let mut line = String::new();
        while channel.reader().read_line(&mut line).is_ok_and(|it| it > 0) {
            if let Some(id) = line.strip_prefix("id: ") {
                last = id.trim().parse().unwrap_or(last);
            }
            if let Some(data) = line.strip_prefix("data: ") {
                let version = data.split(' ').next().unwrap_or("").to_string();
                if !versions.contains(&version) {
                    tries.push_str(&format!(" {version} from event {last}"));
                    versions.push(version);
                }
            }
            line.clear();
        }
        is_whole = last == EVENTS;
        if is_whole || last == 0 {
            break;
        }
    }
    if is_whole {
        whole.fetch_add(1, Ordering::SeqCst);
    }
    if versions.len() > 1 {
        mixed.fetch_add(1, Ordering::SeqCst);
    }
    if versions.len() > 1 || tries.matches("status").count() > 1 {
        town.record.line(&format!("stream {origin}:{tries}, up to event {last}"));
    }
}

