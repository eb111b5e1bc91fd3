//! A runner in trouble sends bytes that are no answer without end, until the caller closes.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

use crate::parts::*;
use crate::town::Town;
use crate::util::*;

const MEMORY_MB: u64 = 110;
const DEADLINE_MS: u64 = 12_000;
/// Time between two requests of all requesters of the machine, in ms.
const GAP_MS: u64 = 250;
const TROUBLE_AT_MS: u64 = 6_000;
const LENGTH_MS: u64 = 22_000;

#[derive(Default)]
struct Count {
    whole: u32,
    refused: u32,
    lost: Vec<String>,
    late: u32,
    other: u32,
}

pub fn run(folder: &Path, trouble: Option<Trouble>) -> i32 {
    let stream = Work::Events { count: 48, first_ms: 300, gap_ms: 60 };
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
    let mut number = 0_u64;
    let mut announced = trouble.is_none();
    while now() < LENGTH_MS {
        if !announced && now() >= TROUBLE_AT_MS {
            announced = true;
            *town.writers[0].trouble.lock().unwrap() = trouble;
            town.record.line(&format!("{} is in trouble from now on", town.writers[0].id));
        }
        if now() < number * GAP_MS {
            sleep_ms(5);
            continue;
        }
        number += 1;
        let (town, count, kept) = (town.clone(), count.clone(), kept.clone());
        callers.push(std::thread::spawn(move || call(&town, &count, &kept, number)));
    }
    callers.into_iter().for_each(|it| drop(it.join()));
    let machine = &town.machines[0];
    let kills = machine.kills.lock().unwrap().len();
    let count = count.lock().unwrap();
    let text = format!(
        "sent {number}, whole answers {}, refused {}, late {}, other ends {}; passed on from a kept channel to a \
         sound runner and the channel closed without a whole answer: {}; memory at its peak {} MB of {MEMORY_MB}, \
         killed for it {kills} times; the runner in trouble sent {} MB",
        count.whole,
        count.refused,
        count.late,
        count.other,
        count.lost.len(),
        machine.peak_mb.load(Ordering::SeqCst),
        town.writers[0].endless_bytes.load(Ordering::SeqCst) >> 20,
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
    let channel = kept.lock().unwrap().pop();
    let Some(mut channel) = channel.or_else(|| Channel::open(town.machines[0].front)) else {
        count.lock().unwrap().other += 1;
        town.record.line(&format!("request {number}: no channel"));
        return;
    };
    if channel.requests == 0 {
        let id = format!("{number:08x}warm");
        channel.call(&request_head("GET", "/wuhu344/2f", &id, 1000, 0, ""), b"", 2000);
    }
    let id = format!("{number:016x}");
    let body = vec![b'p'; 12_000];
    let fields = model_fields(number);
    let head = request_head("POST", "/puxa400/2f", &id, DEADLINE_MS, body.len(), &fields);
    let (end, answer) = channel.call(&head, &body, DEADLINE_MS + 500);
    // Runs at the runner in trouble don't count: it isn't sound.
    let sound = &town.writers[1..];
    let has_run = sound.iter().any(|it| it.runs.lock().unwrap().contains_key(&id));
    town.record.line(&format!("request {id}: {end:?}, run by a sound runner: {has_run}"));
    let mut count = count.lock().unwrap();
    match end {
        End::Whole(200) => {
            count.whole += 1;
            kept.lock().unwrap().push(channel);
        }
        End::Whole(_) => {
            count.refused += 1;
            if answer.is_none_or(|it| it.field("connection") != Some("close")) {
                kept.lock().unwrap().push(channel);
            }
        }
        End::Cut if has_run => count.lost.push(id),
        End::Late => count.late += 1,
        _ => count.other += 1,
    }
}
