//! Tests of group commit: every write completes once, with its own outcome.

use std::{collections::BTreeMap, time::Duration};

use mothvale_lib::{
    clock::Instant,
    fault::Fault,
    generated::wire::{Transaction, Write},
    group_commit::{
        Action, BURST_TRANSACTIONS, GroupCommitTable, MAX_BATCH_WRITES, Queue,
        TOTAL_TRANSACTIONS_PER_SECOND,
    },
    table::Table as _,
};
use mothvale_standin::table::Table;
use proptest::prelude::*;

fn write(key: usize, version: u64) -> Write {
    Write { key: format!("k{key}"), version, value: Some("v".into()) }
}

#[test]
fn a_single_write_is_sent_at_once_and_many_writes_share_a_transaction() {
    let start = Instant::default();
    let mut queue = Queue::new(start, 1);
    queue.push(0, write(0, 0));
    assert_eq!(queue.next_action(start), Action::Send(vec![(0, write(0, 0))]));
    assert_eq!(queue.next_action(start), Action::Idle);
    (0..100).for_each(|it| queue.push(it, write(it as usize, 0)));
    let Action::Send(batch) = queue.next_action(start) else { panic!() };
    assert_eq!((batch.len(), queue.len()), (MAX_BATCH_WRITES, 100 - MAX_BATCH_WRITES));
}

#[test]
fn the_long_run_transaction_rate_is_bounded() {
    let start = Instant::default();
    // The queue of one of nine hosts, which share the limit.
    let (mut queue, mut sent, seconds) = (Queue::new(start, 9), 0, 20);
    for milli in 0..seconds * 1000 {
        queue.push(milli, write(milli as usize, 0));
        while let Action::Send(_) = queue.next_action(start + Duration::from_millis(milli)) {
            sent += 1;
        }
    }
    assert!(
        9.0 * f64::from(sent)
            <= 9.0 * BURST_TRANSACTIONS + TOTAL_TRANSACTIONS_PER_SECOND * seconds as f64,
        "{sent}"
    );
    assert!(queue.len() < 100);
}

#[test]
fn a_conflict_completes_only_the_conflicting_write() {
    let start = Instant::default();
    let (table, mut queue) = (Table::default(), Queue::new(start, 1));
    table.commit(Transaction { writes: vec![write(1, 0)] });
    (0..3).for_each(|it| queue.push(it, write(it as usize, 0)));
    queue.push(3, write(0, 0));
    let mut completed = BTreeMap::new();
    while let Action::Send(batch) = queue.next_action(start) {
        let writes = batch.iter().map(|it| it.1.clone()).collect();
        let outcome = table.commit(Transaction { writes });
        completed.extend(queue.complete(batch, Ok(outcome)));
    }
    let committed = |id| completed[&id].as_ref().unwrap().committed;
    assert_eq!([0, 1, 2, 3].map(committed), [true, false, true, false]);
}

#[test]
fn a_timed_out_transaction_fails_all_its_writes() {
    let start = Instant::default();
    let mut queue = Queue::new(start, 1);
    (0..3).for_each(|it| queue.push(it, write(it as usize, 0)));
    let Action::Send(batch) = queue.next_action(start) else { panic!() };
    let completed = queue.complete(batch, Err(Fault::TIMEOUT));
    assert!(completed.len() == 3 && completed.iter().all(|it| it.1 == Err(Fault::TIMEOUT)));
    assert!(queue.is_empty());
}

#[tokio::test]
async fn writes_through_a_group_commit_table_return_their_own_outcome() {
    let running =
        mothvale_standin::server::start(mothvale_standin::dev::loopback(), Table::default())
            .await
            .unwrap();
    let client = mothvale_lib::client::Client::pooled();
    let timeout = Duration::from_secs(2);
    let inner = mothvale_lib::table::HttpTable::new(client, running.address, timeout);
    let table = GroupCommitTable::start(inner, 1);
    let writes = (0..200).map(|it| {
        let table = table.clone();
        async move {
            let writes = vec![write(it % 100, 0)];
            table.commit(&Transaction { writes }).await.unwrap().committed
        }
    });
    let outcomes = futures_util::future::join_all(writes).await;
    assert_eq!(outcomes.iter().filter(|it| **it).count(), 100);
    assert_eq!(running.handler.rows("").len(), 100);
    assert!(running.handler.transaction_count() < 200, "{}", running.handler.transaction_count());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: prop::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_write_completes_once_and_each_key_is_written_by_one_write(
        keys in prop::collection::vec(0usize..20, 1..120),
        lost in prop::collection::vec(0u8..10, 200),
    ) {
        let (table, mut queue) = (Table::default(), Queue::new(Instant::default(), 1));
        for (id, key) in keys.iter().enumerate() {
            queue.push(id as u64, write(*key, 0));
        }
        let (mut now, mut completed, mut lost) =
            (Instant::default(), BTreeMap::new(), lost.into_iter());
        loop {
            match queue.next_action(now) {
                Action::Idle => break,
                Action::Wait(time) => now = now + time + Duration::from_millis(1),
                Action::Send(batch) => {
                    let writes = batch.iter().map(|it| it.1.clone()).collect();
                    let outcome = table.commit(Transaction { writes });
                    // One answer in ten is lost after the transaction took effect.
                    let result = match lost.next() {
                        Some(0) => Err(Fault::TIMEOUT),
                        _ => Ok(outcome),
                    };
                    for (id, result) in queue.complete(batch, result) {
                        prop_assert!(completed.insert(id, result).is_none());
                    }
                }
            }
        }
        prop_assert_eq!(completed.len(), keys.len());
        for row in table.rows("") {
            let wrote_row = |id: &u64| format!("k{}", keys[*id as usize]) == row.key;
            let committed = completed.iter().filter(|(id, it)| {
                wrote_row(id) && matches!(it, Ok(outcome) if outcome.committed)
            });
            let versions: Vec<_> = committed.map(|it| it.1.clone().unwrap().version).collect();
            prop_assert!(versions.len() <= 1 && versions.iter().all(|it| *it == Some(row.version)));
        }
    }
}
