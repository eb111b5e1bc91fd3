//! Runners of a second version come while one machine is frozen, and streams are taken up there.

use std::io::BufRead;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use crate::parts::*;
use crate::town::{Town, ZONES};
use crate::util::*;

const MEMORY_MB: u64 = 110;
const DEADLINE_MS: u64 = 12_000;
const GAP_MS: u64 = 50;
const EVENTS: u64 = 14;
/// From then on the machines know where all running streams began.
const FREEZE_AT_MS: u64 = 33_000;
/// After the freeze began: the planned restart of another machine, the new runners, the kill, the thaw.
const RESTART_MS: u64 = 2_300;
const RELEASE_MS: u64 = 3_200;
const KILL_MS: u64 = 4_800;
const THAW_MS: u64 = 5_100;
/// The zones of the machines; the first three are in one zone.
const PLACES: [&str; 4] = [ZONES[0], ZONES[0], ZONES[0], ZONES[1]];
const IN_ZONE: usize = 3;

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let stream = Work::Events { count: EVENTS, first_ms: 100, gap_ms: 100 };
    let whole = Work::Whole { ms: 30, bytes: 800 };
    let Some(town) = Town::start_at(folder, MEMORY_MB, stream, whole, &["v1", "v2-later"], &PLACES)
    else {
        return 2;
    };
    town.machines.iter().for_each(|it| it.balance());
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
    let (x, y, w) = (&town.machines[0], &town.machines[1], &town.machines[2]);
    sleep_ms(FREEZE_AT_MS);
    let start = town.record.clock.ms();
    let until = |ms: u64| sleep_ms((start + ms).saturating_sub(town.record.clock.ms()));
    if trouble {
        y.signal("STOP");
    }
    until(RESTART_MS);
    w.signal("TERM");
    until(RELEASE_MS);
    town.record.line("runners of version v2 begin to serve beside the others");
    town.writers.iter().for_each(|it| it.unlisted.store(false, Ordering::SeqCst));
    until(KILL_MS);
    // The watcher starts it again, as the platform does.
    x.signal("KILL");
    until(THAW_MS);
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

/// Returns the machine to which the platform forwards the channel of a retry; retries reach other machines. If
/// fewer than half of a zone's machines are in rotation, it uses all of that zone's machines.
fn retry_machine(town: &Town, number: u64) -> Option<usize> {
    let in_rotation: Vec<_> =
        (0..IN_ZONE).filter(|it| town.machines[*it].in_rotation.load(Ordering::SeqCst)).collect();
    let used = if in_rotation.len() * 2 < IN_ZONE { (0..IN_ZONE).collect() } else { in_rotation };
    let others: Vec<_> = used.into_iter().filter(|it| *it != 0).collect();
    (!others.is_empty()).then(|| others[number as usize % others.len()])
}

/// A requester's stream: begun at the first machine, and taken up at the second one if it breaks.
fn stream_of(town: &Town, number: u64, mixed: &AtomicU32, resumed: &AtomicU32, whole: &AtomicU32) {
    let mut versions: Vec<String> = Vec::new();
    let (mut last, mut is_whole) = (0, false);
    let origin = format!("{number:016x}");
    let mut tries = String::new();
    for attempt in 0..2 {
        let machine = if attempt == 0 { Some(0) } else { retry_machine(town, number) };
        let Some(machine) = machine else { break };
        let Some(mut channel) = Channel::open(town.machines[machine].front) else { break };
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
