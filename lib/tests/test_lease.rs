//! The lease for orders, with every fault at every step: hosts that freeze, writes whose
//! answers are lost, and a store that is read late.

use std::time::Duration;

use mothvale_lib::{
    lease::{Action, Lease, Row, Target},
    prelude::*,
};
use mothvale_testutils::gateway::at;
use proptest::prelude::*;

const PAUSE: Duration = Duration::from_secs(3);

/// The store: one row with conditional writes, and a steady clock.
#[derive(Default)]
struct Store {
    row: Option<(Row, u64)>,
    version: u64,
}

impl Store {
    fn write(&mut self, row: Row, expected: u64) -> Option<u64> {
        if self.row.as_ref().map_or(0, |it| it.1) != expected {
            return None;
        }
        self.version += 1;
        self.row = Some((row, self.version));
        Some(self.version)
    }
}

fn lease(host: &'static str) -> Lease {
    Lease::new(Host::new(host), 1, PAUSE)
}

fn take(lease: &mut Lease, store: &mut Store, millis: u64) -> bool {
    let clock = Duration::from_millis(millis);
    let step = match lease.renewal(at(millis)) {
        Some(step) => step,
        None => lease.next_action(at(millis), clock, store.row.clone()),
    };
    let Action::Write { row, expected_version, until } = step else { return false };
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

/// Pattern: the holder is lost with the others, and the next one knows nothing of namings.
#[test]
fn targets_stay_in_the_row_over_its_holders() {
    let (mut lost, mut next, mut store) = (lease("host0"), lease("host1"), Store::default());
    lost.add_targets(vec![target(2, 100)]);
    assert!(take(&mut lost, &mut store, 0));
    lost.add_targets(vec![target(2, 140), target(3, 700)]);
    assert!(take(&mut lost, &mut store, 900));
    assert!(take(&mut next, &mut store, 9000));
    assert_eq!(store.row.unwrap().0.targets, [target(2, 100), target(3, 700)]);
}

#[test]
fn row_keeps_the_last_namings_only() {
    let mut lease = lease("host0");
    lease.add_targets((0..50).map(|it| target(it, u64::from(it))).collect());
    let Action::Write { row, .. } = lease.next_action(at(0), Duration::ZERO, None) else {
        panic!()
    };
    assert_eq!(row.targets.first(), Some(&target(42, 42)));
}

#[test]
fn first_host_takes_the_lease_and_renews_it() {
    let (mut lease, mut store) = (lease("host0"), Store::default());
    assert!(take(&mut lease, &mut store, 0));
    assert_eq!(lease.fencing_token(at(500)), Some(1));
    assert!(take(&mut lease, &mut store, 700));
    assert_eq!(lease.fencing_token(at(1500)), Some(1));
    assert_eq!(lease.fencing_token(at(2000)), None);
}

#[test]
fn next_host_waits_out_the_pause_and_has_a_higher_number() {
    let (mut first, mut second) = (lease("host0"), lease("host1"));
    let mut store = Store::default();
    assert!(take(&mut first, &mut store, 0));
    for millis in (0..4300).step_by(100) {
        assert!(!take(&mut second, &mut store, millis), "{millis}");
    }
    assert!(take(&mut second, &mut store, 4300));
    assert_eq!(second.fencing_token(at(4400)), Some(2));
    // The former holder wakes: its renewal fails.
    assert_eq!(first.fencing_token(at(4400)), None);
    assert!(!take(&mut first, &mut store, 4500));
}

#[test]
fn own_lease_that_ran_out_needs_a_new_number() {
    let (mut lease, mut store) = (lease("host0"), Store::default());
    assert!(take(&mut lease, &mut store, 0));
    assert!(!take(&mut lease, &mut store, 2000));
    assert!(take(&mut lease, &mut store, 4300));
    assert_eq!(lease.fencing_token(at(4400)), Some(2));
}

#[test]
fn released_lease_still_has_its_pause() {
    let (mut first, mut second) = (lease("host0"), lease("host1"));
    let mut store = Store::default();
    assert!(take(&mut first, &mut store, 0));
    first.record_activity(at(400));
    let (row, version) = first.release().unwrap();
    store.write(row, version).unwrap();
    assert_eq!(first.fencing_token(at(450)), None);
    assert!(!take(&mut second, &mut store, 3300));
    assert!(take(&mut second, &mut store, 3400));
}

/// Pattern: a host takes the lease just as it is stopped, and gives it up without an order.
#[test]
fn holder_that_did_not_act_leaves_no_pause_of_its_own() {
    let [mut first, mut second, mut third] = ["host0", "host1", "host2"].map(lease);
    let mut store = Store::default();
    assert!(take(&mut first, &mut store, 0));
    first.record_activity(at(900));
    assert!(take(&mut second, &mut store, 4300));
    let (row, version) = second.release().unwrap();
    store.write(row, version).unwrap();
    // The first holder's lease ended at 1,300; it might have acted until then.
    assert!(take(&mut third, &mut store, 4310));
    assert_eq!(third.fencing_token(at(4320)), Some(3));
}

proptest! {
    /// Hosts that act at any time, whose writes may be lost before or after they are done:
    /// a number has one holder, numbers only grow, and two holders' orders are never closer
    /// than the pause.
    #[test]
    fn orders_of_two_holders_never_meet(
        steps in prop::collection::vec((0_usize..3, 1_u64..900, 0_u8..10), 1..200),
    ) {
        let mut leases = [lease("host0"), lease("host1"), lease("host2")];
        let mut store = Store::default();
        let mut now = 0;
        let mut last: Option<(usize, u64, u64)> = None;
        for (host, pass, fault) in steps {
            now += pass;
            let lease = &mut leases[host];
            let clock = Duration::from_millis(now);
            let step = lease.renewal(at(now)).unwrap_or_else(|| {
                lease.next_action(at(now), clock, store.row.clone())
            });
            if let Action::Write { row, expected_version, until } = step {
                match fault {
                    // Lost on the way.
                    0 => lease.mark_lost(),
                    // Done, and the answer lost.
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
                if let Some((holder, number, time)) = last {
                    prop_assert!(fence >= number);
                    if holder != host {
                        prop_assert!(fence > number);
                        prop_assert!(now - time >= PAUSE.as_millis() as u64);
                    }
                }
                // Most holders act; some give the lease up, and that may be lost.
                if fault < 8 {
                    lease.record_activity(at(now));
                    last = Some((host, fence, now));
                }
                if fault % 3 == 0
                    && let Some((row, version)) = lease.release()
                    && pass % 2 == 0
                {
                    store.write(row, version);
                }
            }
        }
    }
}
