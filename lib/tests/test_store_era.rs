//! Tests of what a host knows of the row store while the store comes back from copies: replicas of
//! its tables against a plain model.

use std::collections::{BTreeMap, BTreeSet};

use mothvale_lib::{
    fleet::UpstreamRow,
    gateway_process::rewrite_delay,
    holdover::Holdover,
    prelude::*,
    replica::{Replica, Revision, Row},
};
use mothvale_testutils::gateway::{at as time, engine, host_settings};
use proptest::prelude::*;

const KEYS: [&str; 5] = ["a", "b", "c", "d", "e"];
const HOSTS: usize = 3;

fn row(key: &'static str, value: Option<u8>, version: u64) -> Row {
    Row { key: FastStr::new(key), value: value.map(|it| Bytes::from(vec![it])), version }
}

fn at(era: u64, version: u64) -> Revision {
    Revision { era, version }
}

fn keys(replica: &Replica) -> Vec<String> {
    replica.rows().map(|it| it.key.to_string()).collect()
}

#[test]
fn revisions_are_ordered_by_era_then_version() {
    assert!(at(1, 900) < at(2, 3));
    assert!(at(2, 3) < at(2, 4));
}

#[test]
fn whole_read_of_a_new_era_replaces_what_was_known() {
    let mut replica = Replica::default();
    replica.apply_snapshot(vec![row("a", Some(1), 3), row("b", Some(1), 9)], at(1, 9));
    // Version 3 is given out again, for another value.
    let changes = replica.apply_snapshot(vec![row("a", Some(2), 3)], at(2, 4));
    assert_eq!(changes, [row("a", Some(2), 3)]);
    assert_eq!(replica.revision(), at(2, 4));
    // The copy lacks the other row, which is retained for a while.
    assert_eq!(keys(&replica), ["a", "b"]);
    assert_eq!(replica.release_retained(), [row("b", None, 4)]);
    assert_eq!(keys(&replica), ["a"]);
}

#[test]
fn changes_of_another_era_are_ignored() {
    let mut replica = Replica::default();
    replica.apply_snapshot(vec![row("a", Some(1), 3)], at(1, 9));
    // A call that waited for changes after version 9 is answered after the store has come back.
    let lost = vec![row("a", Some(2), 10)];
    assert!(replica.apply_changes(lost.clone(), at(1, 9), at(2, 10)).is_empty());
    assert!(replica.apply_changes(lost.clone(), at(2, 9), at(2, 10)).is_empty());
    replica.apply_snapshot(vec![row("a", Some(1), 3)], at(2, 5));
    assert!(replica.apply_changes(lost.clone(), at(1, 9), at(1, 10)).is_empty());
    assert!(replica.apply_snapshot(lost.clone(), at(1, 10)).is_empty());
    // Changes that leave a gap.
    assert!(replica.apply_changes(lost, at(2, 9), at(2, 10)).is_empty());
    assert_eq!(replica.revision(), at(2, 5));
}

#[test]
fn row_of_a_former_era_ends_with_its_removal_in_the_new_one() {
    let mut replica = Replica::default();
    replica.apply_snapshot(vec![row("a", Some(1), 3), row("b", Some(1), 9)], at(1, 9));
    replica.apply_snapshot(Vec::new(), at(2, 1));
    assert_eq!(keys(&replica), ["a", "b"]);
    assert!(replica.changes_since(at(1, 9)).is_empty(), "the store does not have them");
    let changes = replica.apply_changes(vec![row("a", None, 2)], at(2, 1), at(2, 2));
    assert_eq!(changes, [row("a", None, 2)]);
    assert_eq!(keys(&replica), ["b"]);
    // A whole read, which does not list removed rows, overtakes the changes that do.
    replica.apply_snapshot(Vec::new(), at(2, 3));
    assert_eq!(keys(&replica), ["b"]);
    let changes = replica.apply_changes(vec![row("b", None, 3)], at(2, 2), at(2, 3));
    assert_eq!(changes, [row("b", None, 3)]);
    assert!(keys(&replica).is_empty());
}

/// A whole read does not list removed rows.
#[test]
fn late_changes_do_not_bring_a_removed_row_back() {
    let mut replica = Replica::default();
    replica.apply_snapshot(Vec::new(), at(0, 2));
    assert!(replica.apply_changes(vec![row("a", Some(1), 1)], at(0, 0), at(0, 1)).is_empty());
    assert_eq!(replica.rows().count(), 0);
}

/// Another host that has read the whole table cannot tell which rows were removed before.
#[test]
fn host_that_lacks_removals_passes_the_whole_table_on() {
    let (mut sender, mut receiver) = (Replica::default(), Replica::default());
    receiver.apply_snapshot(vec![row("a", Some(1), 1)], at(0, 1));
    sender.apply_snapshot(vec![row("b", Some(1), 3)], at(0, 3));
    assert!(!sender.has_changes_since(at(0, 1)) && sender.has_changes_since(at(0, 3)));
    receiver.apply_snapshot(sender.changes_since(at(0, 1)), sender.revision());
    assert_eq!(keys(&receiver), ["b"]);
    // A removal that the sender knows is older than a row that it has never seen.
    sender.apply_changes(vec![row("c", None, 4)], at(0, 3), at(0, 4));
    receiver.apply_snapshot(vec![row("b", Some(1), 3), row("c", Some(1), 5)], at(0, 5));
    sender.apply_snapshot(vec![row("b", Some(1), 3)], at(0, 6));
    receiver.apply_snapshot(sender.changes_since(at(0, 5)), sender.revision());
    assert_eq!(keys(&receiver), ["b"]);
}

fn holdover() -> Holdover {
    Holdover::new(&host_settings("host0", "hobart"))
}

fn upstream(start_time_ms: u64, draining: bool) -> UpstreamRow {
    UpstreamRow { start_time_ms, draining, ..engine("engine0", "hobart") }
}

#[test]
fn holdover_lasts_as_long_as_the_longest_bound() {
    // Four heartbeats of 1.2 s, 5 s for evacuations, 3 s of staleness.
    assert_eq!(holdover().period(), Duration::from_secs(5));
    let mut settings = host_settings("host0", "hobart");
    settings.heartbeat = Duration::from_secs(2);
    assert_eq!(Holdover::new(&settings).period(), Duration::from_secs(8));
}

#[test]
fn drained_upstream_stays_out_in_the_same_incarnation_until_the_period_ends() {
    let mut holdover = holdover();
    let (drained, ready) = (upstream(7, true), upstream(7, false));
    holdover.start(time(1000));
    assert_eq!(holdover.admit(time(1000), ready.clone(), Some(&drained)), None);
    assert!(holdover.release(time(5999)).is_empty());
    assert_eq!(holdover.release(time(6000)).as_slice(), std::slice::from_ref(&ready));
    // The store's word counts again.
    assert_eq!(holdover.admit(time(6000), ready.clone(), Some(&drained)), Some(ready));
}

#[test]
fn removed_upstream_stays_out_in_the_same_incarnation_until_the_period_ends() {
    let mut holdover = holdover();
    let ready = upstream(7, false);
    holdover.record_removal(time(500), &ready.id, Some(&ready));
    holdover.start(time(1000));
    assert_eq!(holdover.admit(time(1500), ready.clone(), None), None);
    // The store removes it again.
    holdover.record_removal(time(4000), &ready.id, None);
    assert!(holdover.release(time(7000)).is_empty());
}

#[test]
fn new_incarnation_counts_at_once_and_an_earlier_one_does_not() {
    let mut holdover = holdover();
    let (earlier, known) = (upstream(5, false), upstream(7, true));
    holdover.start(time(1000));
    assert_eq!(holdover.admit(time(1100), earlier.clone(), Some(&known)), None);
    let restarted = upstream(9, false);
    assert_eq!(
        holdover.admit(time(1200), restarted.clone(), Some(&known)),
        Some(restarted.clone())
    );
    assert!(holdover.release(time(7000)).is_empty(), "the earlier row no longer counts");
    // The store comes back once more, from the same copy.
    holdover.start(time(8000));
    assert_eq!(holdover.admit(time(8100), earlier, Some(&restarted)), None);
}

#[test]
fn rows_count_at_once_while_the_store_has_not_come_back_from_a_copy() {
    let mut holdover = holdover();
    let (drained, ready) = (upstream(7, true), upstream(7, false));
    holdover.record_removal(time(500), &ready.id, Some(&drained));
    assert_eq!(holdover.admit(time(600), ready.clone(), None), Some(ready.clone()));
    assert_eq!(holdover.admit(time(700), ready.clone(), Some(&drained)), Some(ready));
}

/// Hundreds of hosts learn at the same moment that the store has come back from a copy.
#[test]
fn hosts_write_their_rows_again_within_a_heartbeat_and_not_all_at_once() {
    const HEARTBEAT: Duration = Duration::from_millis(1200);
    let delay = |it: u32| rewrite_delay(&Host::new(format!("host{it}")), HEARTBEAT);
    let delays: Vec<_> = (0..350).map(delay).collect();
    assert!(delays.iter().all(|it| *it < HEARTBEAT * 3 / 4));
    let first_half = delays.iter().filter(|it| **it < HEARTBEAT * 35 / 100).count();
    assert!((120..230).contains(&first_half), "{first_half} of 350 in the first half");
}

/// One step of a random run.
#[derive(Clone, Copy, Debug)]
enum Step {
    Write {
        key: usize,
        value: Option<u8>,
    },
    /// The store comes back from a copy that lacks its last writes.
    Restore {
        lost: usize,
    },
    /// A host reads the whole table; the answer is then on its way.
    Read {
        host: usize,
    },
    /// A host asks for changes.
    Ask {
        host: usize,
    },
    /// The store answers one of the open calls for changes.
    Answer {
        call: usize,
    },
    /// One host asks another for what it lacks.
    AskPeer {
        host: usize,
        peer: usize,
    },
    /// One of the answers on their way arrives.
    Arrive {
        answer: usize,
    },
    /// A host no longer retains rows of former eras.
    Release {
        host: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let value = prop::option::weighted(0.7, 0_u8..3);
    let index = || 0_usize..64;
    prop_oneof![
        4 => (0..KEYS.len(), value).prop_map(|(key, value)| Step::Write { key, value }),
        1 => (0_usize..5).prop_map(|lost| Step::Restore { lost }),
        2 => (0..HOSTS).prop_map(|host| Step::Read { host }),
        2 => (0..HOSTS).prop_map(|host| Step::Ask { host }),
        2 => index().prop_map(|call| Step::Answer { call }),
        2 => (0..HOSTS, 0..HOSTS).prop_map(|(host, peer)| Step::AskPeer { host, peer }),
        5 => index().prop_map(|answer| Step::Arrive { answer }),
        1 => (0..HOSTS).prop_map(|host| Step::Release { host }),
    ]
}

/// The writes of one era, those of the copy first; the version of a write is its position, from 1.
type Era = Vec<(&'static str, Option<u8>)>;

/// Returns the last write of each key up to a version.
fn table(era: &Era, version: u64) -> BTreeMap<&'static str, (Option<u8>, u64)> {
    let writes = era.iter().zip(1..).take(version as usize);
    writes.map(|((key, value), version)| (*key, (*value, version))).collect()
}

/// Rows on their way to a host.
#[derive(Clone, Debug)]
struct Answer {
    host: usize,
    rows: Vec<Row>,
    /// The revision that the rows are changes since, or `None` for a whole table.
    since: Option<Revision>,
    revision: Revision,
}

/// What a host must know, in the plainest form.
#[derive(Debug, Default)]
struct Model {
    revision: Revision,
    /// Rows of former eras that the store did not have after a rise.
    retained: BTreeMap<String, Bytes>,
}

#[derive(Debug, Default)]
struct KnownHost {
    replica: Replica,
    /// The rows as the changes that the replica has returned tell.
    view: BTreeMap<String, Bytes>,
    model: Model,
}

impl KnownHost {
    fn change_view(&mut self, changes: Vec<Row>) {
        for it in changes {
            match it.value {
                Some(value) => self.view.insert(it.key.to_string(), value),
                None => self.view.remove(it.key.as_str()),
            };
        }
    }

    fn receive(&mut self, answer: Answer) {
        let named: BTreeSet<_> = answer.rows.iter().map(|it| it.key.to_string()).collect();
        let known = self.model.revision;
        let accepted = match answer.since {
            None => answer.revision >= known,
            Some(since) => {
                since <= known
                    && (since.era, known.era) == (answer.revision.era, answer.revision.era)
            }
        };
        if accepted {
            if answer.revision.era > known.era {
                self.model.retained = self.view.clone();
            }
            self.model.retained.retain(|key, _| !named.contains(key));
            self.model.revision = known.max(answer.revision);
        }
        let changes = match answer.since {
            None => self.replica.apply_snapshot(answer.rows, answer.revision),
            Some(since) => self.replica.apply_changes(answer.rows, since, answer.revision),
        };
        self.change_view(changes);
    }

    fn check(&self, eras: &[Era]) -> Result<(), TestCaseError> {
        let revision = self.replica.revision();
        prop_assert_eq!(revision, self.model.revision);
        let mut expected = self.model.retained.clone();
        for (key, (value, _)) in table(&eras[revision.era as usize], revision.version) {
            if let Some(value) = value {
                expected.insert(key.to_owned(), Bytes::from(vec![value]));
            }
        }
        let rows = self.replica.rows();
        let rows: BTreeMap<_, _> =
            rows.map(|it| (it.key.to_string(), it.value.clone().unwrap())).collect();
        prop_assert_eq!(&rows, &expected);
        prop_assert_eq!(&self.view, &expected, "what the replica returned as changed");
        Ok(())
    }
}

fn rows_after(era: &Era, version: u64, with_removed: bool) -> Vec<Row> {
    let rows = table(era, era.len() as u64).into_iter().filter(|it| it.1.1 > version);
    let rows = rows.filter(|it| with_removed || it.1.0.is_some());
    rows.map(|(key, (value, version))| row(key, value, version)).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    /// Hosts get whole tables, changes and rows of each other in any order, also long after the store
    /// has come back from a copy. Each knows exactly the store's rows as of its revision, which never
    /// goes back, and what it retains of former eras.
    #[test]
    fn replicas_follow_the_store_over_its_eras(steps in prop::collection::vec(step(), 1..120)) {
        let mut eras: Vec<Era> = vec![Era::new()];
        let mut hosts: Vec<KnownHost> = (0..HOSTS).map(|_| KnownHost::default()).collect();
        let mut calls: Vec<(usize, Revision)> = Vec::new();
        let mut answers: Vec<Answer> = Vec::new();
        for step in steps {
            let era = eras.last().unwrap();
            let revision = at(eras.len() as u64 - 1, era.len() as u64);
            match step {
                Step::Write { key, value } => eras.last_mut().unwrap().push((KEYS[key], value)),
                Step::Restore { lost } => {
                    let kept = era.len().saturating_sub(lost);
                    eras.push(era[..kept].to_vec());
                }
                Step::Read { host } => {
                    answers.push(Answer { host, rows: rows_after(era, 0, false), since: None, revision });
                }
                Step::Ask { host } => calls.push((host, hosts[host].replica.revision())),
                Step::Answer { call } if !calls.is_empty() => {
                    let (host, known) = calls.swap_remove(call % calls.len());
                    // The store only knows the version that a call names.
                    if known.version <= revision.version {
                        let rows = rows_after(era, known.version, true);
                        answers.push(Answer { host, rows, since: Some(known), revision });
                    }
                }
                Step::AskPeer { host, peer } if host != peer => {
                    let known = hosts[host].replica.revision();
                    let replica = &hosts[peer].replica;
                    let since = replica.has_changes_since(known).then_some(known);
                    let rows = replica.changes_since(known);
                    answers.push(Answer { host, rows, since, revision: replica.revision() });
                }
                Step::Arrive { answer } if !answers.is_empty() => {
                    let answer = answers.swap_remove(answer % answers.len());
                    let before = hosts[answer.host].replica.revision();
                    let host = &mut hosts[answer.host];
                    host.receive(answer);
                    prop_assert!(host.replica.revision() >= before);
                }
                Step::Release { host } => {
                    let host = &mut hosts[host];
                    let removed = host.replica.release_retained();
                    host.change_view(removed);
                    host.model.retained.clear();
                }
                Step::Answer { .. } | Step::AskPeer { .. } | Step::Arrive { .. } => {}
            }
            for host in &hosts {
                host.check(&eras)?;
            }
        }
    }
}
