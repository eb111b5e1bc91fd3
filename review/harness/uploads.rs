//! Requests with bodies of the size that the manifest allows, while many users come at once.

use std::path::Path;
use std::sync::{Arc, Mutex};

use crate::parts::*;
use crate::town::Town;
use crate::util::*;

const MEMORY_MB: u64 = 110;
/// A little below the manifest's `max-body-bytes`.
const BODY_BYTES: usize = 4_000_000;
const DEADLINE_MS: u64 = 12_000;
/// Time between two requests of all requesters of the machine, in ms.
const USUAL_GAP_MS: u64 = 250;
const BURST_X: f64 = 1.7;
const BURST_MS: (u64, u64) = (8_000, 13_500);
const LENGTH_MS: u64 = 20_000;

#[derive(Default)]
struct Count {
    whole: u32,
    refused: u32,
    lost: Vec<String>,
    other: u32,
}

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let stream = Work::Events { count: 48, first_ms: 300, gap_ms: 78 };
    let Some(town) = Town::start(folder, MEMORY_MB, stream, Work::Whole { ms: 30, bytes: 800 })
    else {
        return 2;
    };
    let town = Arc::new(town);
    let count = Arc::new(Mutex::new(Count::default()));
    let start = town.record.clock.ms();
    let now = || town.record.clock.ms() - start;
    // Channels that are kept: each has brought a request before.
    let kept: Arc<Mutex<Vec<Channel>>> = Arc::default();
    let mut callers = Vec::new();
    let (mut number, mut next) = (0_u64, 0_u64);
    while now() < LENGTH_MS {
        if now() < next {
            sleep_ms(5);
            continue;
        }
        let is_burst = trouble && (BURST_MS.0..BURST_MS.1).contains(&now());
        next += if is_burst { (USUAL_GAP_MS as f64 / BURST_X) as u64 } else { USUAL_GAP_MS };
        number += 1;
        let (town, count, kept) = (town.clone(), count.clone(), kept.clone());
        callers.push(std::thread::spawn(move || call(&town, &count, &kept, number)));
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

fn call(town: &Town, count: &Mutex<Count>, kept: &Mutex<Vec<Channel>>, number: u64) {
    let front = town.machines[0].front;
    let channel = kept.lock().unwrap().pop();
    let Some(mut channel) = channel.or_else(|| Channel::open(front)) else {
        count.lock().unwrap().other += 1;
        town.record.line(&format!("request {number}: no channel"));
        return;
    };
    if channel.requests == 0 {
        let id = format!("{number:08x}warm");
        let head = request_head("GET", "/wuhu344/2f", &id, 1000, 0, "");
        channel.call(&head, b"", 2000);
    }
    let id = format!("{number:016x}");
    let body = vec![b'p'; BODY_BYTES];
    let fields = model_fields(number);
    let head = request_head("POST", "/puxa400/2f", &id, DEADLINE_MS, body.len(), &fields);
    let (end, answer) = channel.call(&head, &body, DEADLINE_MS + 500);
    let has_run = town.has_run(&id);
    let text = format!("request {id} of {BODY_BYTES} bytes: {end:?}, run by a runner: {has_run}");
    town.record.line(&text);
    let mut count = count.lock().unwrap();
    match end {
        End::Whole(200) => {
            count.whole += 1;
            kept.lock().unwrap().push(channel);
        }
        End::Whole(_) => {
            count.refused += 1;
            let close = answer.is_some_and(|it| it.field("connection") == Some("close"));
            if !close {
                kept.lock().unwrap().push(channel);
            }
        }
        End::Cut if has_run => count.lost.push(id),
        _ => count.other += 1,
    }
}
