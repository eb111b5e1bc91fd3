//! The lease for orders when the row store comes back from a copy: rows are lost, versions are given
//! out again, writes of a former era are carried out late, and hosts learn of it at different times.

use std::{collections::HashMap, time::Duration};

use mothvale_lib::{
    era_watch::Sighting,
    lease::{Action, Lease, LeaseRow, Rise, Target},
    prelude::*,
};
use mothvale_testutils::gateway::at;
use proptest::prelude::*;

const TAKEOVER_DELAY_MS: u64 = 3000;
/// Time for which a lease is acquired.
const LEASE_MS: u64 = 1300;
/// Orders carry fencing tokens as JSON numbers, which are exact below this.
const MAX_EXACT_NUMBER: u64 = 1 << 53;

/// A row of the lease and its version.
type Stored = Option<(LeaseRow, u64)>;

/// A row store with one row, which can come back from a copy.
struct Store {
    row: Stored,
    version: u64,
    era: u64,
    /// Offset of the store's clock, in milliseconds.
    clock_offset: u64,
    /// The state after each change, with its time.
    copies: Vec<(u64, Stored, u64)>,
    /// Writes under way, which may be carried out at any later time, or never.
    under_way: Vec<(LeaseRow, u64)>,
}

/// A response of the store.
#[derive(Clone)]
struct Response {
    requested_ms: u64,
    row: Stored,
    version: u64,
    era: u64,
    clock: Duration,
}

impl Store {
    fn new(era: u64) -> Self {
        Store {
            row: None,
            version: 40,
            era,
            clock_offset: 60_000,
            copies: vec![(0, None, 40)],
            under_way: Vec::new(),
        }
    }

    fn clock(&self, now: u64) -> Duration {
        Duration::from_millis(now + self.clock_offset)
    }

    fn read(&self, now: u64) -> Response {
        Response {
            requested_ms: now,
            row: self.row.clone(),
            version: self.version,
            era: self.era,
            clock: self.clock(now),
        }
    }

    fn write(&mut self, now: u64, row: LeaseRow, expected: u64) -> bool {
        if self.row.as_ref().map_or(0, |it| it.1) != expected {
            return false;
        }
        self.version += 1;
        self.row = Some((row, self.version));
        self.copies.push((now, self.row.clone(), self.version));
        true
    }

    /// Other tables change, too.
    fn write_elsewhere(&mut self, now: u64) {
        self.version += 1;
        self.copies.push((now, self.row.clone(), self.version));
    }

    /// Comes back from the copy that was made `age` ago.
    fn restore(&mut self, now: u64, age: u64, clock_offset: u64) {
        let made_by = now.saturating_sub(age);
        let copy = self.copies.iter().rev().find(|it| it.0 <= made_by).unwrap_or(&self.copies[0]);
        (self.row, self.version) = (copy.1.clone(), copy.2);
        self.era += 1;
        self.clock_offset = clock_offset;
        self.copies.retain(|it| it.0 <= made_by);
        self.copies.push((now, self.row.clone(), self.version));
    }
}

/// A host as `rollout` runs it.
struct Machine {
    lease: Lease,
    boot: u64,
    sighting: Sighting,
}

/// A write that was decided on.
struct Decided {
    row: LeaseRow,
    expected: u64,
    until: Instant,
}

impl Machine {
    fn new(index: usize, boot: u64) -> Self {
        let host = Host::new(["host0", "host1", "host2", "host3"][index]);
        let lease = Lease::new(host, boot, Duration::from_millis(TAKEOVER_DELAY_MS));
        Machine { lease, boot, sighting: Sighting::default() }
    }

    /// An answer of the store has come, perhaps to another call than one for the lease.
    fn see(&mut self, now: u64, era: u64, version: Option<u64>) -> Option<Rise> {
        self.sighting.observe(at(now), era, version);
        self.lease.observe_era(at(now), self.sighting)
    }

    /// Decides on a write without a read.
    fn renewal(&self, now: u64) -> Option<Decided> {
        decided(self.lease.renewal(at(now))?)
    }

    /// Decides on a write after a read.
    fn decide(&mut self, now: u64, response: Response) -> Option<Decided> {
        self.see(now, response.era, Some(response.version));
        if response.era != self.lease.store_era() {
            return None;
        }
        let requested_at = at(response.requested_ms);
        decided(self.lease.next_action(requested_at, response.clock, response.row))
    }

    /// The response to a write has come.
    fn record(
        &mut self,
        now: u64,
        sent_ms: u64,
        write: Decided,
        written: bool,
        response: &Response,
    ) {
        self.see(now, response.era, written.then_some(response.version));
        let in_era = response.era == self.lease.store_era() && self.lease.is_current(&write.row);
        match written && in_era {
            true => {
                let Decided { row, until, .. } = write;
                self.lease.record_write(row, response.version, until, at(sent_ms), response.clock);
            }
            false => self.lease.mark_lost(),
        }
    }

    /// Acquires or renews the lease without any fault. Returns whether its row was written.
    fn work(&mut self, now: u64, store: &mut Store) -> bool {
        let write = self.renewal(now).or_else(|| self.decide(now, store.read(now)));
        let Some(write) = write.filter(|it| self.lease.is_current(&it.row)) else { return false };
        let written = store.write(now, write.row.clone(), write.expected);
        self.record(now, now, write, written, &store.read(now));
        written
    }

    fn token(&self, now: u64) -> Option<u64> {
        self.lease.fencing_token(at(now))
    }
}

fn decided(action: Action) -> Option<Decided> {
    let Action::Write { row, expected_version, until } = action else { return None };
    Some(Decided { row, expected: expected_version, until })
}

/// What must hold for the orders of all hosts.
#[derive(Default)]
struct Orders {
    holders: HashMap<u64, (usize, u64)>,
    last: Option<(usize, u64, u64)>,
}

impl Orders {
    /// A host gives an order if it can. Returns what is wrong with it.
    fn give(&mut self, now: u64, host: usize, machine: &mut Machine) -> Result<(), String> {
        let Some(fence) = machine.token(now) else { return Ok(()) };
        if fence >> 42 != machine.sighting.era {
            return Err(format!("{host} relies on an unconfirmed lease at {now}, {fence:x}"));
        }
        if fence >= MAX_EXACT_NUMBER {
            return Err(format!("token {fence} is not exact as a JSON number"));
        }
        let holder = (host, machine.boot);
        if *self.holders.entry(fence).or_insert(holder) != holder {
            return Err(format!("two holders of token {fence:x} at {now}"));
        }
        if let Some((other, token, time)) = self.last {
            if fence < token {
                return Err(format!("{host} has token {fence:x} after {token:x} at {now}"));
            }
            if other != host && now - time < TAKEOVER_DELAY_MS {
                return Err(format!("{host} gives orders at {now}, {other} did at {time}"));
            }
        }
        self.last = Some((host, fence, now));
        machine.lease.record_activity(at(now));
        Ok(())
    }
}

/// One step of the random runs.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Acquires or renews, without a fault.
    Work,
    /// The write is carried out, but its response is lost.
    ResponseLost,
    /// The write is under way, and may be carried out later.
    UnderWay,
    /// A read is requested, and its response comes with [`Step::LateResponse`].
    Request,
    /// The response to the last read comes, and the write that it leads to is carried out.
    LateResponse,
    /// A write is decided on, and sent with [`Step::LateSend`].
    Decide,
    /// The write that was decided on is sent.
    LateSend,
    /// An answer to another call comes.
    See,
    /// A write that was under way is carried out.
    CarryOut,
    /// The store comes back from a copy, which is up to this many milliseconds old, with this change of
    /// its clock.
    Restore(u64, i64),
    /// Other tables change.
    Elsewhere,
    /// The lease is released; the write may be under way for long.
    Release,
    /// The process restarts.
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        24 => Just(Step::Work),
        2 => Just(Step::ResponseLost),
        4 => Just(Step::UnderWay),
        3 => Just(Step::Request),
        3 => Just(Step::LateResponse),
        3 => Just(Step::Decide),
        3 => Just(Step::LateSend),
        3 => Just(Step::See),
        6 => Just(Step::CarryOut),
        3 => (0_u64..9000, -9000_i64..9000).prop_map(|(age, clock)| Step::Restore(age, clock)),
        3 => Just(Step::Elsewhere),
        2 => Just(Step::Release),
        1 => Just(Step::Restart),
    ]
}

/// Runs the steps; returns the first promise that is broken.
fn run(first_era: u64, steps: &[(usize, u64, u8, Step)]) -> Result<(), String> {
    let mut machines = [0, 1, 2, 3].map(|it| Machine::new(it, 1));
    let mut requests: [Option<Response>; 4] = Default::default();
    let mut writes: [Option<(u64, Decided)>; 4] = Default::default();
    let (mut store, mut orders, mut now) = (Store::new(first_era), Orders::default(), 0);
    for (index, (host, elapsed, variant, step)) in steps.iter().enumerate() {
        now += elapsed;
        let (host, variant) = (*host, usize::from(*variant));
        let machine = &mut machines[host];
        match *step {
            Step::Work => {
                machine.work(now, &mut store);
            }
            Step::ResponseLost | Step::UnderWay => {
                let write = machine.renewal(now).or_else(|| machine.decide(now, store.read(now)));
                if let Some(write) = write {
                    store.under_way.push((write.row.clone(), write.expected));
                    if matches!(step, Step::ResponseLost) {
                        let (row, expected) = store.under_way.pop().unwrap();
                        store.write(now, row, expected);
                    }
                    machine.lease.mark_lost();
                }
            }
            Step::Request => requests[host] = Some(store.read(now)),
            Step::LateResponse => {
                let write = requests[host].take().and_then(|it| machine.decide(now, it));
                if let Some(write) = write.filter(|it| machine.lease.is_current(&it.row)) {
                    let written = store.write(now, write.row.clone(), write.expected);
                    machine.record(now, now, write, written, &store.read(now));
                }
            }
            Step::Decide => {
                let write = machine.renewal(now).or_else(|| machine.decide(now, store.read(now)));
                writes[host] = write.map(|it| (now, it));
            }
            Step::LateSend => {
                let write = writes[host].take();
                let current = |it: &(u64, Decided)| machine.lease.is_current(&it.1.row);
                if let Some((sent_ms, write)) = write.filter(current) {
                    let written = store.write(now, write.row.clone(), write.expected);
                    machine.record(now, sent_ms, write, written, &store.read(now));
                }
            }
            Step::See => {
                machine.see(now, store.era, (variant % 2 == 0).then_some(store.version));
            }
            Step::CarryOut if !store.under_way.is_empty() => {
                let (row, expected) = store.under_way.remove(variant % store.under_way.len());
                store.write(now, row, expected);
            }
            Step::CarryOut => {}
            Step::Restore(age, clock) => {
                let offset = store.clock_offset.saturating_add_signed(clock);
                store.restore(now, age, offset);
            }
            Step::Elsewhere => store.write_elsewhere(now),
            Step::Release => {
                if let Some((row, version)) = machine.lease.release() {
                    match variant % 3 {
                        0 => {
                            store.write(now, row, version);
                        }
                        _ => store.under_way.push((row, version)),
                    }
                }
            }
            Step::Restart => {
                *machine = Machine::new(host, machine.boot + 1);
                (requests[host], writes[host]) = (None, None);
            }
        }
        // Some hosts hold the lease without giving orders.
        if variant != 0 {
            for (host, machine) in machines.iter_mut().enumerate() {
                orders
                    .give(now, host, machine)
                    .map_err(|it| format!("{it}, step {index} {step:?}"))?;
            }
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: prop::test_runner::RngSeed::Fixed(13),
        ..ProptestConfig::default()
    })]

    /// The store comes back from copies at any time, with its clock changed, while four hosts acquire,
    /// renew, release and lose the lease, restart, and learn of it at different times; writes are
    /// carried out late, in later eras too. Each fencing token has one holder, tokens increase with each
    /// holder, orders of two hosts are at least the takeover delay apart, and no host relies on a lease
    /// of a former era.
    #[test]
    fn orders_keep_apart_when_the_store_comes_back_from_copies(
        first_era in 0_u64..3,
        steps in prop::collection::vec((0_usize..4, 1_u64..700, 0_u8..9, step()), 1..250),
    ) {
        if let Err(broken) = run(first_era, &steps) {
            return Err(TestCaseError::fail(broken));
        }
    }
}

/// Hosts of the fault matrix: the holder, and one that takes over.
const HOLDER: usize = 0;
const NEXT: usize = 1;

/// One case of the fault matrix, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Case {
    /// When the store comes back, and how old the copy is.
    restored: u64,
    copy_age: u64,
    /// How much later it comes back again, 0 for never.
    again_after: u64,
    /// How long after each return the hosts get no answers.
    holder_cut: u64,
    next_cut: u64,
}

/// Returns the time of the first order of either host after the store first came back.
fn run_case(case: Case) -> Result<[Option<u64>; 2], String> {
    let mut machines = [Machine::new(HOLDER, 1), Machine::new(NEXT, 1)];
    let (mut store, mut orders) = (Store::new(0), Orders::default());
    let cuts = [case.holder_cut, case.next_cut];
    let mut first_orders = [None; 2];
    let mut restored = None;
    for now in (0..16_000).step_by(100) {
        let again = case.again_after > 0 && now == case.restored + case.again_after;
        if now == case.restored || again {
            store.restore(now, case.copy_age, store.clock_offset);
            restored = Some(now);
        }
        // Until the store has come back, the other host only reads now and then.
        let work = [true, restored.is_some() || now % 700 == 0];
        for (host, machine) in machines.iter_mut().enumerate() {
            let cut = restored.is_some_and(|it| now < it + cuts[host]);
            if work[host] && !cut {
                machine.work(now, &mut store);
            }
        }
        for (host, machine) in machines.iter_mut().enumerate() {
            orders.give(now, host, machine)?;
            if machine.token(now).is_some() && machine.lease.store_era() == store.era {
                first_orders[host] = first_orders[host].or(Some(now));
            }
        }
    }
    Ok(first_orders)
}

/// A host acquires, renews and holds the lease; the store comes back at each of these steps, from copies
/// from before and after it, once or twice, and both hosts learn of it at once, later, and after the lease
/// has ended.
#[test]
fn restore_at_every_step_keeps_orders_apart() {
    let mut cases = 0;
    for restored in (100..3000).step_by(100) {
        for copy_age in [100, 500, 900, 2000, 5000] {
            for again_after in [0, 100, 600, 1400, 3000, 4400, 5200] {
                for holder_cut in [0, 300, 1000, 1400, 4500] {
                    for next_cut in [0, 500, 1400, 4500] {
                        let case = Case { restored, copy_age, again_after, holder_cut, next_cut };
                        let first_orders = run_case(case);
                        assert!(
                            first_orders.as_ref().is_ok_and(|it| it.iter().any(Option::is_some)),
                            "{case:?}: {first_orders:?}"
                        );
                        cases += 1;
                    }
                }
            }
        }
    }
    assert_eq!(cases, 20_300);
}

/// A target version, set at a time of the store's clock.
fn target(version: u32, since_ms: u64) -> Target {
    Target { model: "demo".into(), version, since_ms }
}

#[test]
fn holder_stops_at_the_first_answer_of_a_newer_era_and_acquires_again_at_once() {
    let (mut machine, mut store) = (Machine::new(HOLDER, 1), Store::new(0));
    assert!(machine.work(1000, &mut store));
    assert_eq!(machine.token(1100), Some(1));
    store.restore(1200, 1000, store.clock_offset);
    // Any answer counts, here one to another call that failed.
    let rise = machine.see(1300, store.era, None).unwrap();
    assert_eq!((rise.from, rise.to, rise.was_held), (0, 1, true));
    assert_eq!(rise.wait, Duration::ZERO);
    assert_eq!(machine.token(1300), None);
    assert!(machine.renewal(1300).is_none());
    assert!(machine.work(1400, &mut store));
    assert!(machine.token(1400) > Some(1 << 42));
}

/// The holder's lease had ended by its own clock when it learnt of the new era.
#[test]
fn holder_that_learns_late_waits_like_the_others() {
    let (mut machine, mut store) = (Machine::new(HOLDER, 1), Store::new(0));
    assert!(machine.work(1000, &mut store));
    store.restore(1200, 1000, store.clock_offset);
    let rise = machine.see(2300, store.era, None).unwrap();
    assert_eq!((rise.was_held, rise.wait), (false, Duration::from_millis(4300)));
    for now in (2300..2300 + LEASE_MS + TAKEOVER_DELAY_MS).step_by(100) {
        assert!(!machine.work(now, &mut store), "{now}");
    }
    assert!(machine.work(2300 + LEASE_MS + TAKEOVER_DELAY_MS, &mut store));
}

/// The holder's row is lost, and the restored row names a host whose lease ended long ago.
#[test]
fn next_holder_waits_until_a_lost_lease_must_have_ended() {
    let mut machines = [Machine::new(HOLDER, 1), Machine::new(NEXT, 1)];
    let mut store = Store::new(3);
    machines[NEXT].see(0, 3, Some(store.version));
    machines[HOLDER].see(0, 3, Some(store.version));
    assert!(machines[NEXT].work(LEASE_MS + TAKEOVER_DELAY_MS, &mut store));
    let former = machines[NEXT].token(4400);
    assert!(machines[HOLDER].work(9000, &mut store));
    store.restore(9100, 500, store.clock_offset);
    machines[NEXT].see(9200, store.era, Some(store.version));
    for now in (9300..9200 + LEASE_MS + TAKEOVER_DELAY_MS).step_by(100) {
        assert!(!machines[NEXT].work(now, &mut store), "{now}");
    }
    assert!(machines[NEXT].work(9200 + LEASE_MS + TAKEOVER_DELAY_MS, &mut store));
    assert!(machines[NEXT].token(13_600) > former);
}

/// A write of a former era is carried out when its version has been given out again, and replaces the
/// row of the present holder.
#[test]
fn row_of_a_former_era_that_appears_late_is_waited_out() {
    let mut machines = [0, 1, 2].map(|it| Machine::new(it, 1));
    let mut store = Store::new(0);
    assert!(machines[0].work(0, &mut store));
    // The first host's renewal is lost under way.
    let renewal = machines[0].renewal(600).unwrap();
    assert_eq!((renewal.row.fence, renewal.expected), (1, 41));
    store.restore(700, 700, store.clock_offset);
    store.row = None;
    store.version = 40;
    machines[2].see(800, 1, Some(40));
    machines[1].see(800, 1, Some(40));
    assert!(machines[1].work(800 + LEASE_MS + TAKEOVER_DELAY_MS, &mut store));
    let token = machines[1].token(5200).unwrap();
    assert!(store.write(5300, renewal.row, renewal.expected));
    for now in (5400..5400 + LEASE_MS + TAKEOVER_DELAY_MS).step_by(100) {
        assert!(!machines[2].work(now, &mut store), "{now}");
    }
    assert!(machines[2].work(5400 + LEASE_MS + TAKEOVER_DELAY_MS, &mut store));
    assert!(machines[2].token(9800).unwrap() > token);
}

/// A host whose first answer of the era told a version knows how long the row has been there, and need
/// not wait when weights are set later.
#[test]
fn row_that_was_there_at_the_first_answer_is_not_waited_out_again() {
    let (mut machine, mut store) = (Machine::new(HOLDER, 1), Store::new(0));
    assert!(machine.work(0, &mut store));
    store.restore(20_000, 1000, store.clock_offset);
    machine.see(20_100, 1, Some(store.version));
    assert!(machine.work(30_000, &mut store));
}

/// A response that was sent before the store came back arrives after one of the new era.
#[test]
fn late_responses_of_a_former_era_change_nothing() {
    let (mut machine, mut store) = (Machine::new(HOLDER, 1), Store::new(0));
    assert!(machine.work(0, &mut store));
    let renewal = machine.renewal(600).unwrap();
    assert!(store.write(600, renewal.row.clone(), renewal.expected));
    let response = store.read(600);
    store.restore(700, 650, store.clock_offset);
    machine.see(800, store.era, None);
    machine.record(900, 600, renewal, true, &response);
    assert_eq!(machine.token(900), None);
    assert!(machine.decide(900, response.clone()).is_none());
    assert!(machine.see(950, response.era, Some(response.version)).is_none());
    assert!(machine.lease.observe_era(at(950), Sighting::default()).is_none());
    assert_eq!(machine.lease.store_era(), 1);
}

/// The renewal of the former era meets the same version in the new one, and is carried out there.
#[test]
fn write_that_is_carried_out_in_a_newer_era_gives_no_lease() {
    let (mut machine, mut store) = (Machine::new(HOLDER, 1), Store::new(0));
    assert!(machine.work(0, &mut store));
    let renewal = machine.renewal(600).unwrap();
    store.restore(650, 100, store.clock_offset);
    let written = store.write(700, renewal.row.clone(), renewal.expected);
    assert!(written);
    machine.record(700, 600, renewal, written, &store.read(700));
    assert_eq!(machine.token(700), None);
    // The lease itself still ran, so the host takes it again.
    assert!(machine.work(800, &mut store));
    assert!(machine.token(800).is_some());
}

#[test]
fn write_decided_on_in_a_former_era_is_not_sent() {
    let (mut machine, store) = (Machine::new(HOLDER, 1), Store::new(2));
    machine.see(0, 2, Some(store.version));
    let write = machine.decide(LEASE_MS + TAKEOVER_DELAY_MS, store.read(4300)).unwrap();
    assert!(machine.lease.is_current(&write.row));
    machine.see(4400, 3, None);
    assert!(!machine.lease.is_current(&write.row));
}

/// A release waits in the process while an answer of a newer era comes.
#[test]
fn lease_of_a_former_era_is_not_released() {
    let (mut machine, mut store) = (Machine::new(HOLDER, 1), Store::new(0));
    assert!(machine.work(0, &mut store));
    machine.see(300, 1, None);
    assert_eq!(machine.lease.release(), None);
}

/// The restored row lacks a target, and has another with a time of a clock that went back by 5 s. The
/// host that knows better writes both again with its first write.
#[test]
fn lost_targets_are_written_again() {
    let (mut machine, mut store) = (Machine::new(HOLDER, 1), Store::new(0));
    machine.lease.add_targets(vec![target(2, 60_000), target(3, 60_500)]);
    assert!(machine.work(1000, &mut store));
    store.row.as_mut().unwrap().0.targets.pop();
    store.restore(1100, 0, store.clock_offset - 5000);
    machine.see(1200, 1, Some(store.version));
    // Times of the former era's clock are not carried over.
    machine.lease.add_targets(vec![target(2, 55_000), target(3, 55_500)]);
    assert!(machine.work(1300, &mut store));
    let (row, _) = store.row.unwrap();
    assert_eq!(row.targets, [target(2, 55_000), target(3, 55_500)]);
}

/// The clock has gone forward by 5 s, and the restored row has one of two targets.
#[test]
fn targets_get_times_of_the_present_clock() {
    let (mut machine, mut store) = (Machine::new(HOLDER, 1), Store::new(0));
    machine.lease.add_targets(vec![target(2, 60_000)]);
    assert!(machine.work(1000, &mut store));
    machine.lease.add_targets(vec![target(3, 61_500)]);
    store.restore(1700, 0, store.clock_offset + 5000);
    machine.see(1800, 1, Some(store.version));
    machine.lease.add_targets(vec![target(2, 65_000), target(3, 66_500)]);
    assert!(machine.work(1900, &mut store));
    // The row's own time cannot be told from a true one; the earlier one is on the safe side.
    assert_eq!(store.row.unwrap().0.targets, [target(2, 60_000), target(3, 66_500)]);
}

/// A host that starts reads from a row of a former era when targets were set.
#[test]
fn age_of_a_target_is_unknown_if_the_clock_went_back() {
    let row = |fence| LeaseRow {
        holder: "host9".into(),
        boot: 1,
        fence,
        until_ms: 0,
        targets: vec![target(2, 60_000)],
    };
    let age = |fence, clock, era| {
        let row = row(fence);
        row.target_age(&row.targets[0], Duration::from_millis(clock), era)
    };
    assert_eq!(age(5, 61_000, 1), Some(Duration::from_secs(1)));
    assert_eq!(age(5, 58_000, 1), None);
    // In one era the clock is monotonic; a time ahead of it is an estimate of a holder.
    assert_eq!(age((1 << 42) + 5, 59_990, 1), Some(Duration::ZERO));
}

/// The store comes back twice from the same copy. Another host has held the lease in between.
#[test]
fn wait_starts_anew_with_each_era() {
    let mut machines = [0, 1, 2].map(|it| Machine::new(it, 1));
    let mut store = Store::new(0);
    assert!(machines[0].work(0, &mut store));
    store.restore(10_000, 5000, store.clock_offset);
    let copy = (store.row.clone(), store.version);
    machines[1].see(10_000, 1, Some(store.version));
    // By the first answers of both eras, the row came later, as by a late write.
    machines[2].see(10_100, 1, Some(copy.1 - 1));
    assert!(!machines[2].work(10_100, &mut store));
    assert!(machines[1].work(14_300, &mut store));
    store.restore(14_400, 0, store.clock_offset);
    (store.row, store.version) = copy;
    machines[2].see(14_450, 2, Some(machines[2].sighting.version.unwrap().0));
    assert!(machines[1].token(14_450).is_some());
    for now in (14_500..14_500 + LEASE_MS + TAKEOVER_DELAY_MS).step_by(100) {
        assert!(!machines[2].work(now, &mut store), "{now}");
    }
    assert!(machines[2].work(14_500 + LEASE_MS + TAKEOVER_DELAY_MS, &mut store));
}

/// No token may go down, so nothing is written over a row of a later era than the store's.
#[test]
fn row_of_a_later_era_is_left_alone() {
    let (mut machine, mut store) = (Machine::new(HOLDER, 1), Store::new(4));
    machine.see(0, 4, Some(store.version));
    assert!(machine.work(4300, &mut store));
    store.era = 0;
    let mut restarted = Machine::new(NEXT, 1);
    for now in (10_000..30_000).step_by(500) {
        assert!(!restarted.work(now, &mut store), "{now}");
    }
    store.era = 3;
    for now in (30_000..50_000).step_by(500) {
        assert!(!restarted.work(now, &mut store), "{now}");
    }
}

/// A row that cannot be read may have been written in any era.
#[test]
fn unreadable_row_is_waited_out_again_in_a_new_era() {
    let mut machine = Machine::new(HOLDER, 1);
    let mut replace = |now: u64, era| {
        machine.see(now, era, Some(57));
        let clock = Duration::from_millis(now);
        decided(machine.lease.replace_unreadable(at(now), clock, 57)).map(|it| it.row.fence)
    };
    assert_eq!(replace(0, 1), None);
    assert_eq!(replace(4300, 2), None);
    assert_eq!(replace(8500, 2), None);
    assert_eq!(replace(8600, 2), Some((2 << 42) + 58));
}

#[test]
fn tokens_that_do_not_fit_are_not_given_out() {
    for (era, version) in [(1 << 11, 50), (u64::MAX, 50), (1, 1 << 42), (1, u64::MAX - 1)] {
        let mut machine = Machine::new(HOLDER, 1);
        machine.see(0, era, Some(version));
        let row = LeaseRow {
            holder: "host9".into(),
            boot: 1,
            fence: 7,
            until_ms: 0,
            targets: Vec::new(),
        };
        let clock = Duration::from_secs(60);
        let action = machine.lease.next_action(at(60_000), clock, Some((row, version)));
        assert!(matches!(action, Action::Wait(_)), "{era} {version}");
    }
}
