//! The index of KV cache stores: which prompt parts are fetched, saved or left alone.

use std::{net::SocketAddr, time::Duration};

use mothvale_lib::{
    cache_index::{Change, Changes, Index, Plan, Prompt, part_key},
    codec::Part,
    configuration::StoreEntry,
    prelude::*,
};
use mothvale_testutils::gateway::at;
use proptest::prelude::*;

const SALT: &str = "demo:1";
/// A fetch budget beyond the timeout of fetches.
const LONG: Duration = Duration::from_secs(10);

fn store(port: u16, tokens: u64) -> StoreEntry {
    StoreEntry {
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: Zone::new("hobart"),
        tokens,
        first_byte: Duration::from_millis(1),
        bytes_per_second: 8e9,
        watchers: 12,
    }
}

fn parts() -> [Part; 3] {
    let part = |id: &'static str, tokens| Part { id: FastStr::new(id), tokens };
    [part("template", 60), part("session", 8000), part("own", 900)]
}

fn plan(index: &mut Index, now: Instant, salt: &str) -> Plan {
    let zone = Zone::new("hobart");
    index.plan(
        now,
        &Prompt {
            salt,
            parts: &parts(),
            zone: &zone,
            cache_source: None,
            token_bytes: 0,
            engines: 1,
            fetch_budget: LONG,
        },
    )
}

fn change(present: bool, part: &'static str) -> Change {
    Change { present, salt: FastStr::new(SALT), part: FastStr::new(part), tokens: 100 }
}

fn response(boot: u64, cursor: u64, changes: Vec<Change>) -> Changes {
    Changes { boot, cursor, gap: false, clock_ms: Some(50_000), changes }
}

fn index() -> (Index, SocketAddr) {
    let mut index = Index::default();
    index.set_stores(&[store(1, 1_000_000)]);
    (index, store(1, 0).address)
}

/// Prompts may share a short first part. If it is not saved and fetched, the parts after it cannot
/// be used.
#[test]
fn parts_of_every_size_are_saved_and_then_fetched() {
    let (mut index, address) = index();
    index.apply_changes(at(0), at(0), address, &response(1, 0, Vec::new()));
    let first = plan(&mut index, at(10), SALT);
    assert_eq!(first.save[..], [Some(address), Some(address), None]);
    let held = vec![change(true, "template"), change(true, "session")];
    index.apply_changes(at(100), at(100), address, &response(1, 2, held));
    let second = plan(&mut index, at(110), SALT);
    assert_eq!(second.fetch[..], [Some(address), Some(address), None]);
    assert_eq!(second.save[..], [None, None, None]);
    assert_eq!(second.fetch_deadline_ms, Some(51_900));
}

/// A slow cache tier: a fetch may wait in the queue of the store's link. The engine drops it in time to
/// prefill the prompt within the latency objective, whatever was assumed of the store's speed.
#[test]
fn fetch_deadline_is_the_budget_after_now_by_the_clock_of_the_stores() {
    let (mut index, address) = index();
    let held = vec![change(true, "template"), change(true, "session")];
    // Requested at 0, answered at 400 with the clock 50,000.
    index.apply_changes(at(0), at(400), address, &response(1, 2, held));
    let zone = Zone::new("hobart");
    let mut deadline = |now, budget_ms| {
        let fetch_budget = Duration::from_millis(budget_ms);
        let parts = parts();
        let prompt = Prompt {
            salt: SALT,
            parts: &parts,
            zone: &zone,
            cache_source: None,
            token_bytes: 0,
            engines: 1,
            fetch_budget,
        };
        index.plan(now, &prompt).fetch_deadline_ms
    };
    assert_eq!(deadline(at(500), 240), Some(50_340));
    assert_eq!(deadline(at(900), 240), Some(50_740));
    // Never beyond the time for which the store's parts are safe to fetch.
    assert_eq!(deadline(at(900), 10_000), Some(51_900));
}

#[test]
fn nothing_is_fetched_under_another_salt() {
    let (mut index, address) = index();
    index.apply_changes(at(0), at(0), address, &response(1, 1, vec![change(true, "session")]));
    for salt in ["demo:2", "demo:1:workspace"] {
        assert!(plan(&mut index, at(10), salt).fetch.iter().all(Option::is_none));
    }
}

#[test]
fn store_that_may_have_restarted_is_not_fetched_from() {
    let (mut index, address) = index();
    let fetches = |index: &mut Index, now| plan(index, now, SALT).fetch[1].is_some();
    index.apply_changes(at(0), at(0), address, &response(1, 1, vec![change(true, "session")]));
    assert!(fetches(&mut index, at(1000)));
    // The store has not responded for longer than its responses are trusted.
    assert!(!fetches(&mut index, at(1200)));
    index.apply_changes(at(1300), at(1300), address, &response(1, 1, Vec::new()));
    assert!(fetches(&mut index, at(1300)));
    index.invalidate(address);
    assert!(!fetches(&mut index, at(1300)));
    // The store has restarted and is empty.
    index.apply_changes(at(1400), at(1400), address, &response(2, 0, Vec::new()));
    assert!(!fetches(&mut index, at(1400)));
}

#[test]
fn gap_in_the_changes_drops_all_parts() {
    let (mut index, address) = index();
    index.apply_changes(at(0), at(0), address, &response(1, 1, vec![change(true, "session")]));
    let gap = Changes { gap: true, ..response(1, 9, Vec::new()) };
    index.apply_changes(at(10), at(10), address, &gap);
    assert_eq!(plan(&mut index, at(20), SALT).fetch[1], None);
}

#[test]
fn part_is_saved_once_by_a_host() {
    let (mut index, address) = index();
    index.apply_changes(at(0), at(0), address, &response(1, 0, Vec::new()));
    assert!(plan(&mut index, at(10), SALT).save[1].is_some());
    assert!(plan(&mut index, at(20), SALT).save[1].is_none());
}

#[test]
fn full_store_gets_no_more_parts() {
    let mut index = Index::default();
    index.set_stores(&[store(1, 4000)]);
    index.apply_changes(at(0), at(0), store(1, 0).address, &response(1, 0, Vec::new()));
    let plan = plan(&mut index, at(10), SALT);
    assert!(plan.save[0].is_some());
    assert!(plan.save[1].is_none());
}

/// A store becomes slow, and requests that fetch from it wait for seconds.
#[test]
fn slow_store_is_skipped_and_probed() {
    let (mut index, address) = index();
    index.apply_changes(at(0), at(0), address, &response(1, 1, vec![change(true, "session")]));
    let usual = Duration::from_millis(100);
    index.set_host_count(8);
    let in_flight = [(); 3].map(|()| plan(&mut index, at(10), SALT));
    for plan in &in_flight {
        index.record_first_token(at(10), plan, Duration::from_millis(1500), usual);
    }
    let probes = (0..10).filter(|it| plan(&mut index, at(500 + it * 20), SALT).fetch[1].is_some());
    assert_eq!(probes.count(), 2);
    // After fast first tokens of probes, the store is used again.
    for step in 0..12 {
        let now = at(700 + step * 5);
        let plan = plan(&mut index, now, SALT);
        if plan.fetch[1].is_some() {
            index.record_first_token(now, &plan, usual, usual);
        }
    }
    index.apply_changes(at(900), at(900), address, &response(1, 1, Vec::new()));
    for step in 0..40 {
        let now = at(900 + step * 20);
        let plan = plan(&mut index, now, SALT);
        if plan.fetch[1].is_some() {
            index.record_first_token(now, &plan, usual, usual);
        }
    }
    assert!((0..5).all(|it| plan(&mut index, at(1700 + it), SALT).fetch[1].is_some()));
}

#[test]
fn engine_that_is_slow_for_all_requests_does_not_count_against_the_store() {
    let (mut index, address) = index();
    index.apply_changes(at(0), at(0), address, &response(1, 1, vec![change(true, "session")]));
    for _ in 0..20 {
        let plan = plan(&mut index, at(10), SALT);
        let slow = Duration::from_millis(1500);
        index.record_first_token(at(10), &plan, slow, slow);
    }
    assert!((0..5).all(|it| plan(&mut index, at(20 + it), SALT).fetch[1].is_some()));
}

/// Returns the wait for the first token at loaded engines. Most waits are short, some are seconds.
fn loaded_wait(step: u64) -> Duration {
    let percentile = mothvale_lib::rendezvous::mix64(step) % 100;
    Duration::from_millis(if percentile < 60 { percentile * 10 } else { percentile * 30 })
}

/// A quarter of the engines fails, and first tokens are late at all others, whatever their requests
/// fetch. Stores must not be skipped then: the same engines would have to compute what they do not
/// fetch.
#[test]
fn stores_are_fetched_from_while_all_engines_are_late() {
    let stores = [store(1, 1_000_000), store(2, 1_000_000), store(3, 1_000_000)];
    let mut index = Index::default();
    index.set_stores(&stores);
    index.set_host_count(40);
    let usual = Duration::from_millis(100);
    let mut fetched = 0;
    for step in 0..300 {
        let now = at(step * 70);
        let holder = &stores[step as usize % 3];
        for it in &stores {
            let held = if it == holder { vec![change(true, "session")] } else { Vec::new() };
            index.apply_changes(now, now, it.address, &response(step, 1, held));
        }
        let planned = plan(&mut index, now, SALT);
        fetched += u32::from(planned.fetch[1].is_some());
        index.record_first_token(now, &planned, loaded_wait(step), usual);
    }
    assert!(fetched > 270, "{fetched} of 300 prompts were fetched");
}

/// One of several stores becomes slow while first tokens are late at all engines.
#[test]
fn slow_store_is_distinguished_from_slow_engines() {
    let stores = [store(1, 1_000_000), store(2, 1_000_000), store(3, 1_000_000)];
    let mut index = Index::default();
    index.set_stores(&stores);
    index.set_host_count(40);
    let usual = Duration::from_millis(100);
    let mut fetched = [0; 3];
    for step in 0..300 {
        let now = at(step * 70);
        let holder = step as usize % 3;
        for (position, it) in stores.iter().enumerate() {
            let held = if position == holder { vec![change(true, "session")] } else { Vec::new() };
            index.apply_changes(now, now, it.address, &response(step, 1, held));
        }
        let planned = plan(&mut index, now, SALT);
        let slow = holder == 0 && planned.fetch[1].is_some();
        fetched[holder] += u32::from(planned.fetch[1].is_some());
        let wait = if slow { Duration::from_secs(4) } else { Duration::ZERO };
        index.record_first_token(now, &planned, loaded_wait(step) / 2 + wait, usual);
    }
    assert!(fetched[0] < 60 && fetched[1] + fetched[2] > 170, "{fetched:?}");
}

/// A host lost contact with a store and found it again with the same process start. Another host
/// that had imported its parts before then must drop those that the first host does not have any
/// more.
#[test]
fn host_that_lost_a_store_exports_a_snapshot_afterwards() {
    let ((mut exporter, address), (mut importer, _)) = (index(), index());
    exporter.apply_changes(at(0), at(0), address, &response(1, 1, vec![change(true, "template")]));
    importer.import(at(10), &exporter.export(at(10), address, 0, 0).unwrap());
    exporter.invalidate(address);
    exporter.apply_changes(
        at(100),
        at(100),
        address,
        &response(1, 4, vec![change(true, "session")]),
    );
    importer.import(at(110), &exporter.export(at(110), address, 1, 1).unwrap());
    assert_eq!(plan(&mut importer, at(120), SALT).fetch[0], None);
}

proptest! {
    /// A host that imports the parts of a store from another host plans the same fetches as that
    /// one, whatever happens to the store in between.
    #[test]
    fn importing_host_agrees_with_exporting_host(steps in prop::collection::vec(0_u8..6, 1..60)) {
        let (mut exporter, address) = index();
        let (mut importer, _) = index();
        let (mut boot, mut next) = (1, 0);
        for (index, step) in steps.iter().enumerate() {
            let now = at(index as u64 * 100);
            next += 1;
            match step {
                0 => exporter.apply_changes(now, now, address, &response(boot, next, vec![change(true, "session")])),
                1 => exporter.apply_changes(now, now, address, &response(boot, next, vec![change(false, "session")])),
                2 => exporter.apply_changes(now, now, address, &response(boot, next, vec![change(true, "template")])),
                3 => exporter.invalidate(address),
                4 => {
                    (boot, next) = (boot + 1, 0);
                    exporter.apply_changes(now, now, address, &response(boot, next, Vec::new()));
                }
                _ => {
                    let (_, boot, next) = importer.cursors()[0];
                    if let Some(update) = exporter.export(now, address, boot, next) {
                        importer.import(now, &update);
                        let known = plan(&mut exporter, now, SALT).fetch;
                        prop_assert_eq!(plan(&mut importer, now, SALT).fetch, known);
                    }
                }
            }
        }
    }
}

/// Hosts of different builds exchange these keys.
#[test]
fn part_keys_are_fixed() {
    insta::assert_snapshot!(format!("{:016x}", part_key("demo:1", "5c1e07a2")), @"aeac85fdc970ce7d");
    assert_ne!(part_key("demo:1", "2"), part_key("demo:", "12"));
}
