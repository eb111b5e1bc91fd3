//! Requesters that read their answers slowly.

use std::io::Read;
use std::path::Path;
use std::sync::{Arc, Mutex};

use crate::parts::*;
use crate::town::Town;
use crate::util::*;

const MEMORY_MB: u64 = 110;
const ANSWER_BYTES: usize = 4_000_000;
const DEADLINE_MS: u64 = 15_000;
/// Time between two requests of all requesters of the machine, in ms.
const GAP_MS: u64 = 240;
const LENGTH_MS: u64 = 20_000;
/// A slow requester takes so many bytes each 100 ms, and is done before its time budget.
const SLOW_BYTES: usize = 29_000;

#[derive(Default)]
struct Count {
    whole: u32,
    refused: u32,
    lost: Vec<String>,
    other: u32,
}

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let stream = Work::Events { count: 48, first_ms: 300, gap_ms: 78 };
    let work = Work::Whole { ms: 30, bytes: ANSWER_BYTES };
    let Some(town) = Town::start(folder, MEMORY_MB, stream, work) else {
        return 2;
    };
    let town = Arc::new(town);
    let count = Arc::new(Mutex::new(Count::default()));
    let start = town.record.clock.ms();
    let now = || town.record.clock.ms() - start;
    let mut callers = Vec::new();
    let mut number = 0_u64;
    while now() < LENGTH_MS {
        if now() < number * GAP_MS {
            sleep_ms(5);
            continue;
        }
        number += 1;
        let (town, count) = (town.clone(), count.clone());
        callers.push(std::thread::spawn(move || call(&town, &count, number, trouble)));
    }
    callers.into_iter().for_each(|it| drop(it.join()));
    let machine = &town.machines[0];
    let kills = machine.kills.lock().unwrap().len();
    let count = count.lock().unwrap();
    let text = format!(
        "sent {number}, whole answers {}, refused {}, other ends {}; passed on from a kept channel to a sound \
         runner and the channel closed without a whole answer: {}; memory at its peak {} MB of {MEMORY_MB}, \
         killed for it {kills} times",
        count.whole,
        count.refused,
        count.other,
        count.lost.len(),
        machine.peak_mb.load(std::sync::atomic::Ordering::SeqCst),
    );
    town.record.line(&text);
    println!("{text}");
    town.stop();
    if count.whole == 0 {
        return 2;
    }
    // LOST: more than three times.
    i32::from(count.lost.len() > 3)
}

fn call(town: &Town, count: &Mutex<Count>, number: u64, slow: bool) {
    let Some(mut channel) = Channel::open(town.machines[0].front) else {
        count.lock().unwrap().other += 1;
        town.record.line(&format!("request {number}: no channel"));
        return;
    };
    // The channel is a kept one: it brings a request before.
    let head = request_head("GET", "/wuhu344/1", &format!("{number:08x}warm"), 1000, 0, "");
    if channel.call(&head, b"", 2000).0 != End::Whole(200) {
        count.lock().unwrap().other += 1;
        return;
    }
    let id = format!("{number:016x}");
    let head = request_head("GET", &format!("/wuhu344/{number}"), &id, DEADLINE_MS, 0, "");
    let clock = Clock::start();
    let is_sent = channel.send(&head, b"");
    let answer = read_head(channel.reader());
    let status = answer.as_ref().map_or(0, |it| it.status());
    let length =
        answer.as_ref().and_then(|it| it.field("content-length")?.parse().ok()).unwrap_or(0);
    let mut got = 0;
    while is_sent && got < length && clock.ms() < DEADLINE_MS {
        let mut part = vec![0; if slow { SLOW_BYTES } else { 200_000 }.min(length - got)];
        if channel.reader().read_exact(&mut part).is_err() {
            break;
        }
        got += part.len();
        if slow {
            sleep_ms(100);
        }
    }
    let (is_whole, is_late) = (length > 0 && got == length, clock.ms() >= DEADLINE_MS);
    let has_run = town.has_run(&id);
    let text = format!(
        "request {id}: status {status}, {got} of {length} bytes after {} ms, run by a runner: {has_run}",
        clock.ms()
    );
    town.record.line(&text);
    let mut count = count.lock().unwrap();
    match status {
        200 if is_whole => count.whole += 1,
        200 | 0 if has_run && !is_late => count.lost.push(id),
        503 | 429 => count.refused += 1,
        _ => count.other += 1,
    }
}
