//! Operators move a service to new runners, while the store is down for a moment.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use crate::parts::*;
use crate::town::Town;
use crate::util::*;

const MEMORY_MB: u64 = 110;
const DEADLINE_MS: u64 = 12_000;
/// Time between two requests of all requesters of a machine, in ms.
const GAP_MS: u64 = 200;
const ORDER_AT_MS: u64 = 4_000;
const DOWN_MS: u64 = 3_200;
/// Entries that lapsed are back so long after the store's return; the pages say about two seconds.
const RETURN_MS: u64 = 1_800;
/// `contact-ms` of the site with roll-outs; that of this site is 3 s.
const CONTACT_MS: u64 = 4_000;
const MAX_MS: u64 = 80_000;

#[derive(Default)]
struct Count {
    whole: u32,
    refused: u32,
    lost: Vec<String>,
    other: u32,
}

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let stream = Work::Events { count: 48, first_ms: 300, gap_ms: 230 };
    let whole = Work::Whole { ms: 30, bytes: 800 };
    let Some(town) = Town::start_with(folder, MEMORY_MB, stream, whole, &["v1", "v2"]) else {
        return 2;
    };
    let town = Arc::new(town);
    let count = Arc::new(Mutex::new(Count::default()));
    let start = town.record.clock.ms();
    let now = || town.record.clock.ms() - start;
    let ended = Arc::new(AtomicBool::new(false));
    let back_at = Arc::new(AtomicU64::new(0));
    let mut callers = Vec::new();
    for machine in 0..town.machines.len() {
        let (town, count, ended) = (town.clone(), count.clone(), ended.clone());
        let back_at = back_at.clone();
        callers
            .push(std::thread::spawn(move || requesters(&town, &count, &ended, &back_at, machine)));
    }
    let (old, new): (Vec<_>, Vec<_>) = town.writers.iter().partition(|it| it.id.ends_with("v1"));
    // Runners of one service differ in speed.
    old[0].set_work(Work::Events { count: 48, first_ms: 300, gap_ms: 175 });
    old[1..].iter().for_each(|it| it.return_ms.store(RETURN_MS, Ordering::SeqCst));
    let (mut ordered, mut down_at, mut completed) = (false, None, None);
    let mut last_old = (0, 0);
    while now() < MAX_MS && completed.is_none_or(|at| now() < at + 3_000) {
        sleep_ms(20);
        if !ordered && now() >= ORDER_AT_MS {
            ordered = true;
            let order = r#"{"service":"huvo11a","to":"v2","deadline-s":40}"#;
            town.store.put("op", "rollout/huvo11a", Some(order));
            town.record.line("the operator orders that huvo11a moves to v2");
        }
        let old_runs: usize = old.iter().map(|it| it.runs.lock().unwrap().len()).sum();
        if old_runs > last_old.0 {
            last_old = (old_runs, now());
        }
        // The old runners get nothing new any more: the service has moved, and old streams go on. The first
        // runner has just written its entry.
        let has_beat = town.record.clock.ms() - old[0].last_beat_ms.load(Ordering::SeqCst) < 100;
        if trouble && ordered && down_at.is_none() && now() > last_old.1 + 700 && has_beat {
            down_at = Some(now());
            town.store.set_down(true);
            town.record.line("the store is down");
        }
        if town.store.down.load(Ordering::SeqCst) && down_at.is_some_and(|at| now() >= at + DOWN_MS)
        {
            town.store.set_down(false);
            town.record.line("the store is back");
            back_at.store(town.record.clock.ms(), Ordering::SeqCst);
        }
        let status = town.store.get("status", "rollout/huvo11a").unwrap_or_default();
        if completed.is_none() && status.contains("\"state\":\"completed\"") {
            completed = Some(now());
            let at_work: Vec<_> =
                old.iter().map(|it| format!("{} {}", it.id, it.at_work())).collect();
            town.record.line(&format!(
                "the system says that the move is completed; the old runners stop; requests at work there: {}",
                at_work.join(", ")
            ));
            old.iter().for_each(|it| it.stop());
        }
    }
    ended.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|it| drop(it.join()));
    let count = count.lock().unwrap();
    let runs: usize = new.iter().map(|it| it.runs.lock().unwrap().len()).sum();
    let text = format!(
        "whole answers {}, refused {}, other ends {}; passed on from a kept channel to a sound runner and the \
         channel closed without a whole answer: {}; completed after {:?} ms; runs at v1 {}, at v2 {runs}",
        count.whole,
        count.refused,
        count.other,
        count.lost.len(),
        completed,
        last_old.0
    );
    town.record.line(&text);
    println!("{text}");
    town.stop();
    if count.whole == 0 || completed.is_none() {
        return 2;
    }
    // LOST: more than three times.
    i32::from(count.lost.len() > 3)
}

fn requesters(
    town: &Arc<Town>,
    count: &Arc<Mutex<Count>>,
    ended: &AtomicBool,
    back_at: &Arc<AtomicU64>,
    machine: usize,
) {
    let kept: Arc<Mutex<Vec<Channel>>> = Arc::default();
    let mut callers = Vec::new();
    let mut number = (machine as u64) << 32;
    while !ended.load(Ordering::SeqCst) {
        number += 1;
        let (town, count, kept) = (town.clone(), count.clone(), kept.clone());
        let back_at = back_at.clone();
        callers.push(std::thread::spawn(move || {
            let (id, end) = call(&town, &kept, machine, number);
            // The machine is in touch again: the store has been stable for `contact-ms`.
            let back_at = back_at.load(Ordering::SeqCst);
            let is_stable = back_at == 0 || town.record.clock.ms() >= back_at + CONTACT_MS;
            let mut count = count.lock().unwrap();
            match end {
                End::Cut if town.has_run(&id) && is_stable => count.lost.push(id),
                End::Whole(200) => count.whole += 1,
                End::Whole(_) => count.refused += 1,
                _ => count.other += 1,
            }
        }));
        sleep_ms(GAP_MS);
    }
    callers.into_iter().for_each(|it| drop(it.join()));
}

fn call(town: &Town, kept: &Mutex<Vec<Channel>>, machine: usize, number: u64) -> (String, End) {
    let id = format!("{number:016x}");
    let channel = kept.lock().unwrap().pop();
    let Some(mut channel) = channel.or_else(|| Channel::open(town.machines[machine].front)) else {
        return (id, End::NotSent);
    };
    if channel.requests == 0 {
        let id = format!("{number:012x}warm");
        channel.call(&request_head("GET", "/wuhu344/2f", &id, 1000, 0, ""), b"", 2000);
    }
    let body = vec![b'p'; 12_000];
    let head =
        request_head("POST", "/puxa400/2f", &id, DEADLINE_MS, body.len(), &model_fields(number));
    let (end, answer) = channel.call(&head, &body, DEADLINE_MS + 500);
    let at: Vec<_> = town
        .writers
        .iter()
        .filter(|it| it.runs.lock().unwrap().contains_key(&id))
        .map(|it| it.id.as_str())
        .collect();
    town.record.line(&format!("request {id}: {end:?}, run at {}", at.join(", ")));
    if matches!(end, End::Whole(_))
        && answer.is_none_or(|it| it.field("connection") != Some("close"))
    {
        kept.lock().unwrap().push(channel);
    }
    (id, end)
}
