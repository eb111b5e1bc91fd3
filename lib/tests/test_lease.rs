//! The lease under which hosts order upstreams to load weights, with faults at every step: hosts
//! that freeze, writes whose responses are lost, and late reads of the row store.

use std::time::Duration;

use mothvale_lib::{
    lease::{Action, Lease, LeaseRow, Target},
    prelude::*,
};
use mothvale_testutils::gateway::at;
use proptest::prelude::*;

const TAKEOVER_DELAY: Duration = Duration::from_secs(3);

/// A row store with one row and conditional writes.
#[derive(Default)]
struct Store {
    row: Option<(LeaseRow, u64)>,
    version: u64,
}

impl Store {
    fn write(&mut self, row: LeaseRow, expected: u64) -> Option<u64> {
        if self.row.as_ref().map_or(0, |it| it.1) != expected {
            return None;
        }
        self.version += 1;
        self.row = Some((row, self.version));
        Some(self.version)
    }
}

fn lease(host: &'static str) -> Lease {
    Lease::new(Host::new(host), 1, TAKEOVER_DELAY)
}

/// Tries to acquire or renew the lease. Returns whether its row was written.
fn acquire_or_renew(lease: &mut Lease, store: &mut Store, millis: u64) -> bool {
    let clock = Duration::from_millis(millis);
    let action = match lease.renewal(at(millis)) {
        Some(action) => action,
        None => lease.next_action(at(millis), clock, store.row.clone()),
    };
    let Action::Write { row, expected_version, until } = action else { return false };
    match store.write(row.clone(), expected_version) {
        Some(version) => {
            lease.record_write(row, version, until, at(millis), clock);
            true
        }
        None => {
            lease.mark_lost();
            false
        }
    }
}

fn target(version: u32, since_ms: u64) -> Target {
    Target { model: "demo".into(), version, since_ms }
}

/// A holder fails together with all other hosts that saw the targets being set. Its successor has
/// started later and must learn from the row when they were set.
#[test]
fn targets_survive_a_change_of_holder() {
    let (mut failed, mut next, mut store) = (lease("host0"), lease("host1"), Store::default());
    failed.add_targets(vec![target(2, 100)]);
    assert!(acquire_or_renew(&mut failed, &mut store, 0));
    failed.add_targets(vec![target(2, 140), target(3, 700)]);
    assert!(acquire_or_renew(&mut failed, &mut store, 900));
    assert!(acquire_or_renew(&mut next, &mut store, 9000));
    assert_eq!(store.row.unwrap().0.targets, [target(2, 100), target(3, 700)]);
}

#[test]
fn row_keeps_only_the_most_recent_targets() {
    let mut lease = lease("host0");
    lease.add_targets((0..50).map(|it| target(it, u64::from(it))).collect());
    let Action::Write { row, .. } = lease.next_action(at(0), Duration::ZERO, None) else {
        panic!()
    };
    assert_eq!(row.targets.first(), Some(&target(42, 42)));
}

#[test]
fn first_host_acquires_and_renews_the_lease() {
    let (mut lease, mut store) = (lease("host0"), Store::default());
    assert!(acquire_or_renew(&mut lease, &mut store, 0));
    assert_eq!(lease.fencing_token(at(500)), Some(1));
    assert!(acquire_or_renew(&mut lease, &mut store, 700));
    assert_eq!(lease.fencing_token(at(1500)), Some(1));
    assert_eq!(lease.fencing_token(at(2000)), None);
}

#[test]
fn next_holder_waits_for_the_takeover_delay_and_gets_a_higher_token() {
    let (mut first, mut second) = (lease("host0"), lease("host1"));
    let mut store = Store::default();
    assert!(acquire_or_renew(&mut first, &mut store, 0));
    for millis in (0..4300).step_by(100) {
        assert!(!acquire_or_renew(&mut second, &mut store, millis), "{millis}");
    }
    assert!(acquire_or_renew(&mut second, &mut store, 4300));
    assert_eq!(second.fencing_token(at(4400)), Some(2));
    // The previous holder resumes: its renewal fails.
    assert_eq!(first.fencing_token(at(4400)), None);
    assert!(!acquire_or_renew(&mut first, &mut store, 4500));
}

#[test]
fn own_expired_lease_needs_a_new_token() {
    let (mut lease, mut store) = (lease("host0"), Store::default());
    assert!(acquire_or_renew(&mut lease, &mut store, 0));
    assert!(!acquire_or_renew(&mut lease, &mut store, 2000));
    assert!(acquire_or_renew(&mut lease, &mut store, 4300));
    assert_eq!(lease.fencing_token(at(4400)), Some(2));
}

#[test]
fn released_lease_keeps_the_takeover_delay() {
    let (mut first, mut second) = (lease("host0"), lease("host1"));
    let mut store = Store::default();
    assert!(acquire_or_renew(&mut first, &mut store, 0));
    first.record_activity(at(400));
    let (row, version) = first.release().unwrap();
    store.write(row, version).unwrap();
    assert_eq!(first.fencing_token(at(450)), None);
    assert!(!acquire_or_renew(&mut second, &mut store, 3300));
    assert!(acquire_or_renew(&mut second, &mut store, 3400));
}

/// A host acquires the lease just as it is being stopped, and releases it without giving an order.
/// The next holder must not wait for it.
#[test]
fn holder_that_did_not_act_adds_no_takeover_delay() {
    let [mut first, mut second, mut third] = ["host0", "host1", "host2"].map(lease);
    let mut store = Store::default();
    assert!(acquire_or_renew(&mut first, &mut store, 0));
    first.record_activity(at(900));
    assert!(acquire_or_renew(&mut second, &mut store, 4300));
    let (row, version) = second.release().unwrap();
    store.write(row, version).unwrap();
    // The first holder's lease ended at 1,300 ms; it may have acted until then.
    assert!(acquire_or_renew(&mut third, &mut store, 4310));
    assert_eq!(third.fencing_token(at(4320)), Some(3));
}

proptest! {
    /// Hosts act at any time, and their writes may be lost before or after the store has made them.
    /// Each fencing token has one holder, tokens only increase, and orders of two holders are at
    /// least the takeover delay apart.
    #[test]
    fn orders_of_two_holders_are_a_takeover_delay_apart(
        steps in prop::collection::vec((0_usize..3, 1_u64..900, 0_u8..10), 1..200),
    ) {
        let mut leases = [lease("host0"), lease("host1"), lease("host2")];
        let mut store = Store::default();
        let mut now = 0;
        let mut last: Option<(usize, u64, u64)> = None;
        for (host, elapsed_ms, fault) in steps {
            now += elapsed_ms;
            let lease = &mut leases[host];
            let clock = Duration::from_millis(now);
            let action = lease.renewal(at(now)).unwrap_or_else(|| {
                lease.next_action(at(now), clock, store.row.clone())
            });
            if let Action::Write { row, expected_version, until } = action {
                match fault {
                    // The write is lost.
                    0 => lease.mark_lost(),
                    // The write is made, but its response is lost.
                    1 => {
                        store.write(row, expected_version);
                        lease.mark_lost();
                    }
                    _ => match store.write(row.clone(), expected_version) {
                        Some(version) => lease.record_write(row, version, until, at(now), clock),
                        None => lease.mark_lost(),
                    },
                }
            }
            if let Some(fence) = lease.fencing_token(at(now)) {
                if let Some((holder, token, time)) = last {
                    prop_assert!(fence >= token);
                    if holder != host {
                        prop_assert!(fence > token);
                        prop_assert!(now - time >= TAKEOVER_DELAY.as_millis() as u64);
                    }
                }
                // Most holders act. Some release the lease, and that write may be lost.
                if fault < 8 {
                    lease.record_activity(at(now));
                    last = Some((host, fence, now));
                }
                if fault % 3 == 0
                    && let Some((row, version)) = lease.release()
                    && elapsed_ms % 2 == 0
                {
                    store.write(row, version);
                }
            }
        }
    }
}

/// Another program has overwritten the row. A lease of the former holder may still be in force, and its
/// fencing tokens are unknown.
#[test]
fn unreadable_row_is_replaced_once_any_lease_has_ended() {
    let mut lease = lease("host0");
    let mut written = None;
    for millis in (0..20_000).step_by(100) {
        let clock = Duration::from_millis(millis);
        match lease.replace_unreadable(at(millis), clock, 57) {
            Action::Wait(_) => {}
            Action::Write { row, expected_version, .. } => {
                written = Some((millis, row.fence, expected_version));
                break;
            }
            Action::Hold => panic!("the lease is not held"),
        }
    }
    let (millis, fence, expected_version) = written.unwrap();
    assert!(millis >= TAKEOVER_DELAY.as_millis() as u64, "{millis}");
    assert!(fence > 57 && expected_version == 57);
    // A row that was overwritten again may belong to a newer holder.
    assert!(matches!(
        lease.replace_unreadable(at(20_000), Duration::from_millis(20_000), 60),
        Action::Wait(_)
    ));
}

/// A target that is dated by a clock that is ahead would give older weights more time on hosts that start
/// later. The response to a slow write tells a clock of any moment between call and response.
#[test]
fn store_clock_lies_between_its_bounds() {
    for answered in [1_000, 1_700, 2_100] {
        let mut lease = Lease::new(Host::new("host0"), 1, Duration::from_secs(3));
        let clock = Duration::from_millis(50_000 + answered);
        let Action::Write { row, until, .. } = lease.next_action(at(1_000), clock, None) else {
            panic!("the lease is free");
        };
        assert_eq!(lease.min_store_time(at(2_100)), None);
        lease.observe_clock(at(2_100), clock);
        lease.record_write(row, 1, until, at(1_000), clock);
        let truth = Duration::from_millis(50_000 + 2_200);
        assert!(lease.min_store_time(at(2_200)).unwrap() <= truth, "{answered}");
        assert!(lease.store_time(at(2_200)).unwrap() >= truth, "{answered}");
    }
}
