//! Cases that once broke a promise, each with its faults alone, so that they stay the same when the
//! drawing of faults changes.

use std::time::Duration;

use mothvale_platform_standin::{engine::Mode, store::Health};

use super::plan::{Action, Fault, Interruption};

/// A case that once broke a promise.
#[derive(Clone, Debug)]
pub struct Case {
    /// Its name.
    pub name: &'static str,
    /// Seed with which it was found.
    pub seed: u64,
    /// What was wrong.
    pub cause: &'static str,
    /// How long callers send requests.
    pub time: Duration,
    /// Its faults, sorted by their start.
    pub faults: Vec<Fault>,
}

/// Returns all cases, open ones included, for runs of at least 3 hosts.
pub fn cases() -> Vec<Case> {
    let suspend = Action::Interrupt(0, Interruption::Suspend);
    let target_set = Case {
        name: "target-set-during-suspension",
        seed: 1478,
        cause: "a host that was suspended while a target weight version was set counted the \
                transition from when it woke",
        time: Duration::from_secs(16),
        faults: vec![
            fault(1900, 20_000, Action::IgnoreOrders(0)),
            fault(1900, 20_000, Action::IgnoreOrders(1)),
            fault(1900, 20_000, Action::IgnoreOrders(2)),
            fault(1900, 20_000, Action::IgnoreOrders(3)),
            fault(2000, 9000, suspend),
            fault(2100, 2100, Action::NewWeights),
        ],
    };
    let key_revoked = Case {
        name: "key-revoked-after-silent-store",
        seed: 2049,
        cause: "a long poll that the store never answers is waited for up to 21.3 s, and all \
                hosts' polls of the operators' table began during the silence",
        time: Duration::from_secs(13),
        faults: vec![
            fault(2000, 4000, Action::Store(Health::Silent)),
            fault(6000, 14_000, Action::Revoke),
        ],
    };
    let key_revoked_at_once = Case {
        name: "key-revoked-right-after-silent-store",
        seed: 2049,
        cause: "a call for changes that was lost in the silence is waited for beyond the staleness bound",
        time: Duration::from_secs(13),
        faults: vec![
            fault(2000, 7000, Action::Store(Health::Silent)),
            fault(7200, 14_000, Action::Revoke),
        ],
    };
    let cut_after_stop = Case {
        name: "upstream-cuts-after-a-stop",
        seed: 660_102,
        cause: "not of the hosts: clean-stops took streams of a restarted process, which an upstream \
                cut, for streams that the stop of the process before had cut",
        time: Duration::from_secs(14),
        faults: vec![
            fault(6413, 7580, Action::Interrupt(2, Interruption::Terminate)),
            fault(11_568, 12_797, Action::Misbehave(1, Mode::CutAnswer)),
        ],
    };
    let ends_busy = Case {
        name: "end-of-a-suspended-stop",
        seed: 9038,
        cause: "a host that was suspended for most of its grace period accepted the callers that had waited, and \
                ended with their streams in progress and no line about them",
        time: Duration::from_secs(14),
        faults: vec![
            fault(4800, 6154, Action::Interrupt(1, Interruption::Terminate)),
            fault(5000, 12_100, Action::Interrupt(1, Interruption::Suspend)),
        ],
    };
    let kill = |start_ms, end_ms| {
        (0..3).map(move |it| fault(start_ms, end_ms, Action::Interrupt(it, Interruption::Kill)))
    };
    let mut killed = vec![fault(2100, 2100, Action::NewWeights)];
    killed.extend(kill(1800, 2300).chain(kill(5000, 5800)).chain(kill(8600, 10_900)));
    killed.extend((0..4).map(|it| fault(2700, 20_000, Action::IgnoreOrders(it))));
    killed.sort_by_key(|it| it.start);
    let start_after_kill = Case {
        name: "start-after-a-kill",
        seed: 13_108,
        cause: "not of the hosts: a kill counted as over before the process was gone, so that a host was \
                held to be in contact right after its start",
        time: Duration::from_secs(14),
        faults: killed,
    };
    vec![target_set, key_revoked, key_revoked_at_once, cut_after_stop, ends_busy, start_after_kill]
}

fn fault(start_ms: u64, end_ms: u64, action: Action) -> Fault {
    let (start, end) = (Duration::from_millis(start_ms), Duration::from_millis(end_ms));
    Fault { start, end, action }
}
