//! Stores of KV cache: what is fetched, what is saved, and what is never fetched.

use std::{net::SocketAddr, time::Duration};

use mothvale_lib::{
    cache_index::{Change, Changes, Index, Plan, Prompt},
    codec::Part,
    deployment::StoreEntry,
    prelude::*,
};
use mothvale_testutils::gateway::at;
use proptest::prelude::*;

const SALT: &str = "demo:1";

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

fn plan(cache: &mut Index, now: Instant, salt: &str) -> Plan {
    let zone = Zone::new("hobart");
    cache.plan(now, &Prompt { salt, parts: &parts(), zone: &zone, cache_source: None })
}

fn change(present: bool, part: &'static str) -> Change {
    Change { present, salt: FastStr::new(SALT), part: FastStr::new(part), tokens: 100 }
}

fn answer(boot: u64, cursor: u64, changes: Vec<Change>) -> Changes {
    Changes { boot, cursor, gap: false, clock_ms: Some(50_000), changes }
}

fn cache() -> (Index, SocketAddr) {
    let mut cache = Index::default();
    cache.set_stores(&[store(1, 1_000_000)]);
    (cache, store(1, 0).address)
}

/// Pattern: prompts share a short first part; without it nothing that follows is of use.
#[test]
fn parts_of_every_size_are_saved_and_then_fetched() {
    let (mut cache, address) = cache();
    cache.apply_changes(at(0), address, &answer(1, 0, Vec::new()));
    let first = plan(&mut cache, at(10), SALT);
    assert_eq!(first.save[..], [Some(address), Some(address), None]);
    let held = vec![change(true, "template"), change(true, "session")];
    cache.apply_changes(at(100), address, &answer(1, 2, held));
    let second = plan(&mut cache, at(110), SALT);
    assert_eq!(second.fetch[..], [Some(address), Some(address), None]);
    assert_eq!(second.save[..], [None, None, None]);
    assert_eq!(second.fetch_deadline_ms, Some(51_900));
}

#[test]
fn nothing_is_fetched_under_another_salt() {
    let (mut cache, address) = cache();
    cache.apply_changes(at(0), address, &answer(1, 1, vec![change(true, "session")]));
    for salt in ["demo:2", "demo:1:workspace"] {
        assert!(plan(&mut cache, at(10), salt).fetch.iter().all(Option::is_none));
    }
}

#[test]
fn store_that_may_have_restarted_is_not_fetched_from() {
    let (mut cache, address) = cache();
    let fetches = |cache: &mut Index, now| plan(cache, now, SALT).fetch[1].is_some();
    cache.apply_changes(at(0), address, &answer(1, 1, vec![change(true, "session")]));
    assert!(fetches(&mut cache, at(1000)));
    // No answer for a while.
    assert!(!fetches(&mut cache, at(1200)));
    cache.apply_changes(at(1300), address, &answer(1, 1, Vec::new()));
    assert!(fetches(&mut cache, at(1300)));
    cache.invalidate(address);
    assert!(!fetches(&mut cache, at(1300)));
    // Another start of the store is empty.
    cache.apply_changes(at(1400), address, &answer(2, 0, Vec::new()));
    assert!(!fetches(&mut cache, at(1400)));
}

#[test]
fn gap_in_the_changes_drops_what_was_known() {
    let (mut cache, address) = cache();
    cache.apply_changes(at(0), address, &answer(1, 1, vec![change(true, "session")]));
    let gap = Changes { gap: true, ..answer(1, 9, Vec::new()) };
    cache.apply_changes(at(10), address, &gap);
    assert_eq!(plan(&mut cache, at(20), SALT).fetch[1], None);
}

#[test]
fn part_is_saved_once_by_a_host() {
    let (mut cache, address) = cache();
    cache.apply_changes(at(0), address, &answer(1, 0, Vec::new()));
    assert!(plan(&mut cache, at(10), SALT).save[1].is_some());
    assert!(plan(&mut cache, at(20), SALT).save[1].is_none());
}

#[test]
fn full_store_takes_no_more() {
    let mut cache = Index::default();
    cache.set_stores(&[store(1, 4000)]);
    cache.apply_changes(at(0), store(1, 0).address, &answer(1, 0, Vec::new()));
    let plan = plan(&mut cache, at(10), SALT);
    assert!(plan.save[0].is_some());
    assert!(plan.save[1].is_none());
}

/// Pattern: one store turns slow, and requests that fetch from it wait for seconds.
#[test]
fn store_that_holds_requests_up_is_passed_over_and_probed() {
    let (mut cache, address) = cache();
    cache.apply_changes(at(0), address, &answer(1, 1, vec![change(true, "session")]));
    let usual = Duration::from_millis(100);
    cache.set_host_count(8);
    let under_way = [(); 3].map(|()| plan(&mut cache, at(10), SALT));
    for plan in &under_way {
        cache.record_first_token(at(10), plan, Duration::from_millis(1500), usual);
    }
    let probes = (0..10).filter(|it| plan(&mut cache, at(500 + it * 20), SALT).fetch[1].is_some());
    assert_eq!(probes.count(), 2);
    // Fast answers to probes bring it back.
    for step in 0..12 {
        let now = at(700 + step * 5);
        let plan = plan(&mut cache, now, SALT);
        if plan.fetch[1].is_some() {
            cache.record_first_token(now, &plan, usual, usual);
        }
    }
    cache.apply_changes(at(900), address, &answer(1, 1, Vec::new()));
    for step in 0..40 {
        let now = at(900 + step * 20);
        let plan = plan(&mut cache, now, SALT);
        if plan.fetch[1].is_some() {
            cache.record_first_token(now, &plan, usual, usual);
        }
    }
    assert!((0..5).all(|it| plan(&mut cache, at(1700 + it), SALT).fetch[1].is_some()));
}

#[test]
fn engine_that_is_slow_for_all_says_nothing_of_the_store() {
    let (mut cache, address) = cache();
    cache.apply_changes(at(0), address, &answer(1, 1, vec![change(true, "session")]));
    for _ in 0..20 {
        let plan = plan(&mut cache, at(10), SALT);
        let slow = Duration::from_millis(1500);
        cache.record_first_token(at(10), &plan, slow, slow);
    }
    assert!((0..5).all(|it| plan(&mut cache, at(20 + it), SALT).fetch[1].is_some()));
}

/// Waits of a loaded fleet, in milliseconds: most are short, some are seconds.
fn loaded(step: u64) -> Duration {
    let chance = mothvale_lib::rendezvous::mix64(step) % 100;
    Duration::from_millis(if chance < 60 { chance * 10 } else { chance * 30 })
}

/// Pattern: a quarter of the engines is lost, and first tokens are late at all that are left,
/// whatever their requests fetch. What is not fetched then would be read by the same engines.
#[test]
fn stores_are_fetched_from_while_all_engines_are_late() {
    let stores = [store(1, 1_000_000), store(2, 1_000_000), store(3, 1_000_000)];
    let mut cache = Index::default();
    cache.set_stores(&stores);
    cache.set_host_count(40);
    let usual = Duration::from_millis(100);
    let mut fetched = 0;
    for step in 0..300 {
        let now = at(step * 70);
        let holder = &stores[step as usize % 3];
        for it in &stores {
            let held = if it == holder { vec![change(true, "session")] } else { Vec::new() };
            cache.apply_changes(now, it.address, &answer(step, 1, held));
        }
        let planned = plan(&mut cache, now, SALT);
        fetched += u32::from(planned.fetch[1].is_some());
        cache.record_first_token(now, &planned, loaded(step), usual);
    }
    assert!(fetched > 270, "{fetched} of 300 prompts were fetched");
}

/// Pattern: one store of several turns slow while all engines are late.
#[test]
fn slow_store_is_told_from_late_engines() {
    let stores = [store(1, 1_000_000), store(2, 1_000_000), store(3, 1_000_000)];
    let mut cache = Index::default();
    cache.set_stores(&stores);
    cache.set_host_count(40);
    let usual = Duration::from_millis(100);
    let mut fetched = [0; 3];
    for step in 0..300 {
        let now = at(step * 70);
        let turn = step as usize % 3;
        for (index, it) in stores.iter().enumerate() {
            let held = if index == turn { vec![change(true, "session")] } else { Vec::new() };
            cache.apply_changes(now, it.address, &answer(step, 1, held));
        }
        let planned = plan(&mut cache, now, SALT);
        let slow = turn == 0 && planned.fetch[1].is_some();
        fetched[turn] += u32::from(planned.fetch[1].is_some());
        let wait = if slow { Duration::from_secs(4) } else { Duration::ZERO };
        cache.record_first_token(now, &planned, loaded(step) / 2 + wait, usual);
    }
    assert!(fetched[0] < 60 && fetched[1] + fetched[2] > 170, "{fetched:?}");
}

/// The keeper lost the store and found the same start again; what the other host knew from
/// before then was not taken back.
#[test]
fn keeper_that_lost_a_store_tells_everything_again() {
    let ((mut keeper, address), (mut told, _)) = (cache(), cache());
    keeper.apply_changes(at(0), address, &answer(1, 1, vec![change(true, "template")]));
    told.import(at(10), &keeper.export(at(10), address, 0, 0).unwrap());
    keeper.invalidate(address);
    keeper.apply_changes(at(100), address, &answer(1, 4, vec![change(true, "session")]));
    told.import(at(110), &keeper.export(at(110), address, 1, 1).unwrap());
    assert_eq!(plan(&mut told, at(120), SALT).fetch[0], None);
}

proptest! {
    /// A host that hears of a store through another one believes what that one believes,
    /// whatever happens to the store in between.
    #[test]
    fn told_host_agrees_with_its_keeper(steps in prop::collection::vec(0_u8..6, 1..60)) {
        let (mut keeper, address) = cache();
        let (mut told, _) = cache();
        let (mut boot, mut next) = (1, 0);
        for (index, step) in steps.iter().enumerate() {
            let now = at(index as u64 * 100);
            next += 1;
            match step {
                0 => keeper.apply_changes(now, address, &answer(boot, next, vec![change(true, "session")])),
                1 => keeper.apply_changes(now, address, &answer(boot, next, vec![change(false, "session")])),
                2 => keeper.apply_changes(now, address, &answer(boot, next, vec![change(true, "template")])),
                3 => keeper.invalidate(address),
                4 => {
                    (boot, next) = (boot + 1, 0);
                    keeper.apply_changes(now, address, &answer(boot, next, Vec::new()));
                }
                _ => {
                    let (_, boot, next) = told.cursors()[0];
                    if let Some(update) = keeper.export(now, address, boot, next) {
                        told.import(now, &update);
                        let known = plan(&mut keeper, now, SALT).fetch;
                        prop_assert_eq!(plan(&mut told, now, SALT).fetch, known);
                    }
                }
            }
        }
    }
}
