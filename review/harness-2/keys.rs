//! A key is taken away right after the store was silent for some seconds.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::parts::*;

/// The key that is taken away.
const FORMER: &str = "bvk9m68k7b2ex5wa5xwy";
/// The bounds `config-apply-ms` and `contact-ms`.
const APPLY: Duration = Duration::from_millis(2000);
const CONTACT: Duration = Duration::from_millis(3000);
/// When the manifest changes before, when the store is silent, and when the key is taken away.
const CHANGE: u64 = 5500;
const SILENT: u64 = 6000;
const BACK: u64 = 10500;
const REVOKED: u64 = 10700;
const END: u64 = 18000;

pub fn run(folder: &str) -> ! {
    let record = Record::new(&format!("{folder}/record.txt"));
    let files = Folder::new();
    let ips = free_ips(3);
    let store = Store::new();
    let address = store.serve("127.0.0.1:0");
    let zones = ["nbo-westlands", "nbo-industrial", "nbo-karen"];
    // The requests that ran, by their ids.
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let runners: Vec<_> = (0..3)
        .map(|at| {
            let ran = ran.clone();
            Runner::start(
                &format!("i-desk{at}"),
                "desk",
                zones[at],
                "127.0.0.1",
                &record,
                move |runner, request, stream| {
                    runner.begin(request);
                    let id = request.header("request-id").to_owned();
                    ran.lock().unwrap().push(id.clone());
                    thread::sleep(Duration::from_millis(30));
                    answer(stream, request, 200, "", &body_for(&id, 800))
                },
            )
        })
        .collect();
    beat(&store, &runners, 6, "");
    let with_both = |version: u64| {
        manifest(version).replace(&format!("[\"{KEY}\"]"), &format!("[\"{KEY}\",\"{FORMER}\"]"))
    };
    store.put("op", "config", &with_both(3));
    let settings = Settings { zones: zones.to_vec(), memory_mb: 110, extra: String::new() };
    let gateways: Vec<_> = (0..3)
        .map(|at| Gateway::start(&files, at, &ips[at], zones[at], address, &settings))
        .collect();
    wait_ready(&gateways);
    let start = Instant::now();
    let mut steps =
        vec![(CHANGE, "change"), (SILENT, "silent"), (BACK, "back"), (REVOKED, "revoke")];
    if !has_trouble() {
        steps.retain(|it| !matches!(it.1, "silent" | "back"));
    }
    let answers: Arc<Mutex<Vec<(String, Instant, bool, Answer)>>> = Arc::default();
    let (mut threads, mut n, mut revoked) = (Vec::new(), 0_usize, None);
    while start.elapsed() < Duration::from_millis(END) {
        let now = start.elapsed().as_millis() as u64;
        while steps.first().is_some_and(|it| it.0 <= now) {
            let (_, step) = steps.remove(0);
            match step {
                "change" => store.put(
                    "op",
                    "config",
                    &with_both(5).replace("\"timeout-ms\":12000", "\"timeout-ms\":11000"),
                ),
                "silent" => store.set_health(Health::Silent),
                "back" => store.set_health(Health::Good),
                _ => {
                    store.put("op", "config", &manifest(8));
                    revoked = Some(Instant::now());
                }
            }
            record.say(match step {
                "change" => "manifest 5 is confirmed: another time-out",
                "silent" => "the store is silent",
                "back" => "the store answers again",
                _ => "manifest 8 is confirmed: a key is taken away",
            });
        }
        let is_former = n % 2 == 0;
        let (front, answers) = (gateways[n % 3].front, answers.clone());
        let id = format!("{n:016x}");
        record.line(&format!(
            "{id} sent to {}{}",
            gateways[n % 3].name,
            if is_former { " with the key in question" } else { "" }
        ));
        threads.push(thread::spawn(move || {
            let mut request = desk_call("dispatch", &id, 1000);
            if is_former {
                request.headers[1].1 = FORMER.into();
            }
            let at = Instant::now();
            let answer = call(front, HOST, &request);
            answers.lock().unwrap().push((id, at, is_former, answer));
        }));
        n += 1;
        thread::sleep(Duration::from_millis(20));
    }
    for it in threads {
        let _ = it.join();
    }
    let revoked = revoked.unwrap_or(start);
    // From when on the change binds machines in touch.
    let mut bound = revoked + APPLY;
    if has_trouble() {
        bound = bound.max(start + Duration::from_millis(BACK) + CONTACT);
    }
    let ran = ran.lock().unwrap();
    let (mut late, mut last, mut others) = (0, Duration::ZERO, 0);
    let mut answers = answers.lock().unwrap();
    answers.sort_by_key(|it| it.1);
    for (id, at, is_former, answer) in answers.iter() {
        let has_run = ran.contains(id);
        record.line(&format!("{id} answered {} run {has_run} {}", answer.status, answer.error));
        if *is_former && has_run && *at > bound {
            late += 1;
            last = at.duration_since(revoked);
        }
        others += usize::from(!*is_former && !has_run);
    }
    record.say(&format!(
        "{late} requests with the key that was taken away ran though they were sent later than config-apply-ms after its \
         confirmation, at machines in touch; the last one {} ms after it",
        last.as_millis()
    ));
    record.say(&format!(
        "{others} requests with the other key did not run, of {}",
        answers.len() / 2
    ));
    drop((ran, answers));
    finish(files, gateways, &record, late > 0)
}
