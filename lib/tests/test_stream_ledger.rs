//! Tests of what the row store holds about streams.

use std::{collections::HashSet, time::Duration};

use mothvale_lib::{
    prelude::*,
    replica::Row,
    stream_ledger::{Batch, Change, Ledger, parse_streams},
    stream_origin::{Attempt, Builds, Origins, Place, Source},
};
use mothvale_testutils::gateway::{ENGINES, at};
use proptest::prelude::*;

fn service() -> Service {
    Service::new(ENGINES)
}

fn build(name: &str) -> Build {
    Build::new(name.to_owned())
}

fn place(name: &str) -> Place {
    Place { service: service(), build: build(name) }
}

/// Age of rows up to which a host keeps up with the row store.
const MAX_ROWS_AGE: Duration = Duration::from_millis(1500);

/// Reads rows once a second until a time.
fn keep_up(builds: &mut Builds, now: Instant) {
    (0..=now.since(at(0)).as_secs()).for_each(|it| builds.record_rows(at(it * 1000)));
}

/// Returns the builds that a host has seen at some time. It has kept up with the row store until then.
fn seen(now: Instant, names: &[&str]) -> Builds {
    let mut builds = Builds::new(MAX_ROWS_AGE);
    keep_up(&mut builds, now);
    names.iter().for_each(|it| builds.see(now, &service(), &build(it)));
    builds
}

/// Returns the row that a change writes, as of a version.
fn row(change: &Change, version: u64) -> Row {
    let key = FastStr::new(change.service.as_str());
    Row { key, value: Some(change.value.clone()), version }
}

fn text(change: &Change) -> String {
    String::from_utf8(change.value.to_vec()).unwrap()
}

/// Returns the row that a host writes which has seen these builds and knows all of them.
fn stored(names: &[&str]) -> Row {
    let mut ledger = Ledger::default();
    ledger.apply(0, Vec::new());
    row(&ledger.changes(at(0), &seen(at(0), names))[0], 7)
}

#[test]
fn host_writes_nothing_before_it_has_read_the_table() {
    let (mut ledger, builds) = (Ledger::default(), seen(at(0), &["v1"]));
    assert!(ledger.changes(at(0), &builds).is_empty());
    assert!(!ledger.knows_builds(&service()) && !ledger.is_read(0));
    ledger.apply(0, Vec::new());
    assert!(ledger.knows_builds(&service()) && ledger.is_read(0) && !ledger.is_read(1));
    let changes = ledger.changes(at(0), &builds);
    assert_eq!((changes.len(), changes[0].expected_version), (1, 0));
    ledger.apply(0, vec![row(&changes[0], 7)]);
    assert!(ledger.changes(at(0), &builds).is_empty(), "the row holds what the host has seen");
    assert!(ledger.knows_builds(&service()), "the row is newer than the host");
}

/// Load pattern: all hosts start at once, after the upstreams of one build have left.
#[test]
fn host_that_starts_learns_the_builds_of_before() {
    let mut ledger = Ledger::default();
    let mut builds = seen(at(0), &["v2"]);
    for (service, build) in ledger.apply(0, vec![stored(&["v1", "v2"])]) {
        builds.see(at(0), &service, &build);
    }
    assert!(builds.is_mixed(at(10), &service()) && ledger.knows_builds(&service()));
    assert!(ledger.changes(at(10), &builds).is_empty());
    // The builds of a row count once, also if it is read again.
    assert!(ledger.apply(0, vec![stored(&["v1", "v2"])]).is_empty());
    builds.see(at(29_000), &service(), &build("v2"));
    keep_up(&mut builds, at(30_000));
    let changes = ledger.changes(at(30_000), &builds);
    assert_eq!(changes[0].expected_version, 7);
    assert!(!text(&changes[0]).contains("v1"), "{}", text(&changes[0]));
}

/// Another host was first; what it wrote and this one has not seen is kept.
#[test]
fn builds_of_other_hosts_are_kept() {
    let mut ledger = Ledger::default();
    ledger.apply(0, vec![stored(&["v1"])]);
    let mut builds = seen(at(0), &["v1", "v2"]);
    assert_eq!(ledger.changes(at(0), &builds)[0].expected_version, 7);
    let news = ledger.apply(0, vec![Row { version: 9, ..stored(&["v1", "v3"]) }]);
    assert_eq!(news, [(service(), build("v3"))]);
    news.iter().for_each(|(service, build)| builds.see(at(10), service, build));
    let changes = ledger.changes(at(10), &builds);
    assert!(["v1", "v2", "v3"].iter().all(|it| text(&changes[0]).contains(it)));
    assert_eq!(changes[0].expected_version, 9);
}

/// The store has come back from a copy, which may lack the last build.
#[test]
fn rows_of_a_former_era_say_nothing_of_all_builds() {
    let mut ledger = Ledger::default();
    ledger.apply(1, vec![stored(&["v1"])]);
    assert!(!ledger.knows_builds(&service()));
    let builds = seen(at(0), &["v2"]);
    let changes = ledger.changes(at(0), &builds);
    assert!(text(&changes[0]).contains("v1") && text(&changes[0]).contains("v2"));
    // Nor does what this host adds.
    let mut other = Ledger::default();
    other.apply(1, vec![row(&changes[0], 8)]);
    assert!(!other.knows_builds(&service()));
    // One that has run for as long as streams last vouches for the row.
    let changes = ledger.changes(at(30_000), &seen(at(30_000), &["v2"]));
    let mut other = Ledger::default();
    other.apply(1, vec![row(&changes[0], 9)]);
    assert!(other.knows_builds(&service()));
}

#[test]
fn unreadable_row_says_nothing() {
    let mut ledger = Ledger::default();
    let key = FastStr::new(ENGINES);
    ledger.apply(0, vec![Row { key, value: Some(Bytes::from_static(b"?")), version: 3 }]);
    assert!(!ledger.knows_builds(&service()));
    let changes = ledger.changes(at(0), &seen(at(0), &["v1"]));
    let mut other = Ledger::default();
    other.apply(0, vec![row(&changes[0], 4)]);
    assert!(!other.knows_builds(&service()));
}

#[test]
fn streams_are_saved_once_and_only_while_builds_differ() {
    let mut origins = Origins::default();
    for attempt in 1..=3 {
        origins.record(at(0), Attempt(attempt), &place("v1"), Source::Own);
    }
    origins.save(Attempt(1));
    origins.save(Attempt(2));
    origins.save(Attempt(1));
    assert!(origins.take_unsaved(10, |_| false).is_empty());
    let taken = |origins: &mut Origins, max| -> Vec<u64> {
        origins.take_unsaved(max, |_| true).into_iter().map(|it| it.1.0).collect()
    };
    assert_eq!(taken(&mut origins, 1), [1]);
    assert_eq!(taken(&mut origins, 10), [2]);
    origins.save(Attempt(3));
    origins.drop_unsaved();
    origins.save(Attempt(3));
    assert!(taken(&mut origins, 10).is_empty());
}

/// Load pattern: thousands of streams a second begin in one zone.
#[test]
fn rows_are_written_in_turn_and_stay_small() {
    let (host, mut batch) = (Host::new("host0"), Batch::default());
    let mut keys = HashSet::new();
    for second in 0..100 {
        for part in 0..3 {
            let clock = Duration::from_millis(second * 1000 + part * 200);
            batch.start_row(clock);
            for attempt in 0..batch.room() {
                batch.add(&place("v1"), Attempt(attempt as u64));
            }
            let (key, value) = batch.unstored(&host, clock).unwrap();
            assert!(value.len() < 48 << 10, "base64 adds a third, up to 64 KiB");
            // The store did not take it: the same row is written again.
            assert_eq!(batch.unstored(&host, clock).unwrap().0, key);
            batch.start_row(clock + Duration::from_secs(1));
            assert_eq!(batch.unstored(&host, clock).unwrap().0, key);
            batch.set_stored();
            assert_eq!(batch.unstored(&host, clock), None);
            keys.insert(key);
        }
    }
    assert_eq!(keys.len(), 32 * 3);
}

#[test]
fn old_rows_of_streams_are_ignored() {
    let (host, mut batch) = (Host::new("host0"), Batch::default());
    let clock = Duration::from_secs(100);
    batch.start_row(clock);
    batch.add(&place("v1"), Attempt(1));
    let (_, value) = batch.unstored(&host, clock).unwrap();
    assert_eq!(parse_streams(&value, Duration::from_secs(129)).unwrap()[0].attempts, [1]);
    assert_eq!(parse_streams(&value, Duration::from_secs(130)), None);
    assert_eq!(parse_streams(&Bytes::from_static(b"?"), clock), None);
}

proptest! {
    /// Hosts see the builds that serve, start anew, and write rows that others may have changed. A host
    /// that knows all builds never lacks one that has served within 30 s and stood in the table.
    #[test]
    fn host_that_knows_all_builds_lacks_none(
        steps in prop::collection::vec((0_usize..3, 0_usize..4, 0_usize..3), 1..80),
    ) {
        let names = ["v1", "v2", "v3"];
        let mut hosts: [Option<(Ledger, Builds)>; 3] = [const { None }; 3];
        let mut table: Option<Row> = None;
        let mut served = [None; 3];
        for (step, (host, action, name)) in steps.into_iter().enumerate() {
            let now = at(step as u64 * 1500);
            if action == 0 {
                hosts[host] = None;
                continue;
            }
            hosts[host].get_or_insert_with(|| (Ledger::default(), Builds::new(MAX_ROWS_AGE)));
            hosts.iter_mut().flatten().for_each(|it| it.1.record_rows(now));
            if action == 1 {
                served[name] = Some(now);
                for (_, builds) in hosts.iter_mut().flatten() {
                    builds.see(now, &service(), &build(names[name]));
                }
            }
            let Some((ledger, builds)) = &mut hosts[host] else { continue };
            for _ in 0..2 {
                for (service, build) in ledger.apply(0, table.iter().cloned().collect()) {
                    builds.see(now, &service, &build);
                }
                for change in ledger.changes(now, builds) {
                    let current = table.as_ref().map_or(0, |it| it.version);
                    prop_assert_eq!(change.expected_version, current);
                    table = Some(row(&change, current + 1));
                }
            }
            prop_assert!(ledger.knows_builds(&service()));
            for (name, served) in names.iter().zip(served) {
                if served.is_some_and(|it| now.since(it) < Duration::from_secs(30)) {
                    prop_assert!(builds.recent(now, &service()).any(|it| it.as_str() == *name));
                }
            }
        }
    }
}
