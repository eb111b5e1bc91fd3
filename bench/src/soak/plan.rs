//! The faults of a run, drawn from its seed: which, where, when and for how long.

use std::time::Duration;

use mothvale_platform_standin::{engine, store::Health};
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64;

use super::link::Weather;

/// Time before the first fault, for the hosts to start.
const WARM_UP_MS: u64 = 1500;
/// Time between the starts of two faults of one series.
const SERIES_GAP_MS: std::ops::Range<u64> = 150..2500;
/// Probability that a family of faults takes part in a run.
const FAMILY_PROBABILITY: f64 = 0.45;
/// Probability that no link and no store is disturbed in a run: some bounds count only then.
const CALM_PROBABILITY: f64 = 0.5;
/// Probability that a suspension begins just before something that operators ask for.
const MISS_PROBABILITY: f64 = 0.5;
/// How long before that it begins at most, in milliseconds.
const MAX_LEAD_MS: u64 = 400;
/// Faults of one series.
const SERIES_LENGTH: std::ops::Range<usize> = 1..12;
/// Keeps the random numbers of upgrades apart from those of other faults.
const UPGRADE_STREAM: u64 = 9 << 48;
/// Probability that all hosts get the faults of one series, one after the other.
const ROLLING_PROBABILITY: f64 = 0.3;

/// A process signal and what follows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// SIGSTOP, and SIGCONT at the end.
    Suspend,
    /// SIGKILL, and a new process at the end.
    Kill,
    /// SIGTERM, and a new process at the end, but not before the old one has ended.
    Terminate,
    /// Like [`Terminate`](Self::Terminate), and the new process runs the other program.
    Replace,
    /// SIGHUP.
    Reload,
}

/// What a fault does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Interrupts the process of a host.
    Interrupt(usize, Interruption),
    /// Disturbs the link of a host to the store.
    StoreLink(usize, Weather),
    /// Disturbs the link of callers to a host.
    CallerLink(usize, Weather),
    /// Disturbs the link of all hosts to an upstream.
    UpstreamLink(usize, Weather),
    /// Disturbs the store.
    Store(Health),
    /// An upstream treats requests badly.
    Misbehave(usize, engine::Mode),
    /// An upstream turns orders away.
    IgnoreOrders(usize),
    /// An upstream crashes and comes back at the end; `true`: with a new id.
    Crash(usize, bool),
    /// An upstream reports that it leaves; a new one takes its address at the end.
    Drain(usize),
    /// A zone is evacuated, and taken back at the end.
    Evacuate(usize),
    /// The second key is revoked, and added again at the end.
    Revoke,
    /// New weights are named.
    NewWeights,
    /// An upstream names a limit, in hundredths of a request per second, until the end.
    Limit(usize, u32),
    /// Upstreams that start from now on have a newer build.
    NewBuild,
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// When it begins, from the start of the run.
    pub start: Duration,
    /// When it ends.
    pub end: Duration,
    /// What it does.
    pub action: Action,
}

/// How large a run is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of gateway hosts.
    pub hosts: usize,
    /// Number of upstreams with models, which come first.
    pub engines: usize,
    /// Number of upstreams, of all services.
    pub upstreams: usize,
    /// Number of zones.
    pub zones: usize,
    /// How long callers send requests.
    pub time: Duration,
}

/// Families of faults. Each run has some of them, so that rules which bind only without other
/// disturbances are tested as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Family {
    Suspension,
    Restart,
    StoreLinks,
    CallerLinks,
    UpstreamLinks,
    Store,
    Upstreams,
    Fleet,
    Operator,
    Weights,
    Limits,
    Builds,
    Outage,
}

/// Families that were added later. They are drawn by themselves, so that the faults of the others stay the
/// same for a seed.
const LATER_FAMILIES: [Family; 3] = [Family::Limits, Family::Builds, Family::Outage];

const FAMILIES: [Family; 10] = [
    Family::Suspension,
    Family::Restart,
    Family::StoreLinks,
    Family::CallerLinks,
    Family::UpstreamLinks,
    Family::Store,
    Family::Upstreams,
    Family::Fleet,
    Family::Operator,
    Family::Weights,
];

/// Draws the faults of a run; the same seed and size give the same faults, sorted by their start.
pub fn draw(seed: u64, size: &Size) -> Vec<Fault> {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut faults = Vec::new();
    let is_calm = random.random_bool(CALM_PROBABILITY);
    for family in FAMILIES {
        if random.random_bool(FAMILY_PROBABILITY) && !(is_calm && family.disturbs_links()) {
            series(&mut random, family, size, &mut faults);
        }
    }
    miss_operators(&mut random, &mut faults);
    for (index, family) in LATER_FAMILIES.into_iter().enumerate() {
        let mut random = Pcg64::seed_from_u64(seed ^ (index as u64 + 1) << 48);
        if random.random_bool(FAMILY_PROBABILITY) {
            series(&mut random, family, size, &mut faults);
        }
    }
    faults.sort_by_key(|it| (it.start, it.end));
    faults
}

/// Draws when each host goes over to the other program, and when each one goes back, one after the other.
pub fn draw_upgrade(seed: u64, size: &Size) -> Vec<Fault> {
    let mut random = Pcg64::seed_from_u64(seed ^ UPGRADE_STREAM);
    let total = size.time.as_millis() as u64;
    let step = total * 2 / 5 / size.hosts as u64;
    let mut faults = Vec::new();
    for first in [WARM_UP_MS, total / 2] {
        let mut order: Vec<usize> = (0..size.hosts).collect();
        order.shuffle(&mut random);
        for (turn, host) in order.into_iter().enumerate() {
            let start = first + turn as u64 * step + random.random_range(0..=step / 2);
            let end = start + random.random_range(50..600);
            let (start, end) = (Duration::from_millis(start), Duration::from_millis(end));
            let action = Action::Interrupt(host, Interruption::Replace);
            faults.push(Fault { start, end, action });
        }
    }
    faults
}

/// Moves some suspensions to just before something that operators ask for, so that hosts miss it.
fn miss_operators(random: &mut Pcg64, faults: &mut [Fault]) {
    let asked = |it: &&Fault| {
        matches!(it.action, Action::NewWeights | Action::Revoke | Action::Evacuate(_))
    };
    let times: Vec<_> = faults.iter().filter(asked).map(|it| it.start).collect();
    if times.is_empty() {
        return;
    }
    let suspended =
        |it: &&mut Fault| matches!(it.action, Action::Interrupt(_, Interruption::Suspend));
    for fault in faults.iter_mut().filter(suspended) {
        if random.random_bool(MISS_PROBABILITY) {
            let time = times[random.random_range(0..times.len())];
            let length = fault.end - fault.start;
            let lead = Duration::from_millis(random.random_range(0..MAX_LEAD_MS));
            fault.start = time.saturating_sub(lead);
            fault.end = fault.start + length;
        }
    }
}

impl Family {
    fn disturbs_links(self) -> bool {
        use Family::{CallerLinks, Store, StoreLinks, UpstreamLinks};
        matches!(self, StoreLinks | CallerLinks | UpstreamLinks | Store)
    }
}

fn series(random: &mut Pcg64, family: Family, size: &Size, faults: &mut Vec<Fault>) {
    let total = size.time.as_millis() as u64;
    let last_start = total * 7 / 10;
    let rolling = random.random_bool(ROLLING_PROBABILITY);
    let mut order: Vec<usize> = (0..size.hosts).collect();
    order.shuffle(random);
    let mut start = WARM_UP_MS + random.random_range(0..total / 5);
    let length = random.random_range(SERIES_LENGTH);
    let mut turn = 0;
    while start < last_start && turn < length {
        let host =
            if rolling { order[turn % size.hosts] } else { random.random_range(0..size.hosts) };
        let (action, length) = fault(random, family, host, size);
        let (start_time, end) =
            (Duration::from_millis(start), Duration::from_millis(start + length));
        faults.push(Fault { start: start_time, end, action });
        if family == Family::Outage && action == Action::Interrupt(host, Interruption::Kill) {
            // All hosts are killed at the same moment.
            let others = (0..size.hosts).filter(|it| *it != host);
            let kill = |it| Action::Interrupt(it, Interruption::Kill);
            faults.extend(others.map(|it| Fault { start: start_time, end, action: kill(it) }));
        }
        turn += 1;
        start += match family {
            // Their bounds are some seconds.
            Family::Operator | Family::Fleet | Family::Limits | Family::Outage => {
                random.random_range(800..6000)
            }
            _ => random.random_range(SERIES_GAP_MS),
        };
    }
}

/// Draws one fault of a family, and how long it lasts in milliseconds.
fn fault(random: &mut Pcg64, family: Family, host: usize, size: &Size) -> (Action, u64) {
    let upstream = random.random_range(0..size.upstreams);
    let length = random.random_range(200..3000);
    let weather = [
        Weather::Delay(random.random_range(5..400)),
        Weather::Reset,
        Weather::CutToServer,
        Weather::CutToClient,
        Weather::Silence,
        Weather::DropAfter(random.random_range(0..4000)),
    ][random.random_range(0..6)];
    match family {
        Family::Suspension => {
            (Action::Interrupt(host, Interruption::Suspend), random.random_range(300..7000))
        }
        Family::Restart => {
            let kinds = [Interruption::Kill, Interruption::Terminate, Interruption::Reload];
            (Action::Interrupt(host, kinds[random.random_range(0..3)]), length)
        }
        Family::StoreLinks => (Action::StoreLink(host, weather), length),
        Family::CallerLinks => (Action::CallerLink(host, weather), length),
        Family::UpstreamLinks if random.random_bool(0.2) => {
            (Action::UpstreamLink(upstream, Weather::Garble), length)
        }
        Family::UpstreamLinks => (Action::UpstreamLink(upstream, weather), length),
        Family::Store => {
            let healths = [
                Health::Down,
                Health::Silent,
                Health::Compacted,
                Health::LosesResponses,
                Health::Slow(random.random_range(20..900)),
            ];
            (Action::Store(healths[random.random_range(0..healths.len())]), length)
        }
        Family::Upstreams => {
            let modes = [
                engine::Mode::Refuse,
                engine::Mode::Late(random.random_range(100..5000)),
                engine::Mode::LoseAnswer,
                engine::Mode::CutAnswer,
                engine::Mode::WrongId,
                engine::Mode::Fail,
            ];
            (Action::Misbehave(upstream, modes[random.random_range(0..modes.len())]), length)
        }
        Family::Fleet => match random.random_range(0..3) {
            0 => (Action::Drain(upstream), random.random_range(3000..6000)),
            it => (Action::Crash(upstream, it == 1), length),
        },
        Family::Operator => match random.random_range(0..2) {
            0 => (Action::Revoke, random.random_range(2000..6000)),
            _ => (Action::Evacuate(random.random_range(0..size.zones)), length + 5000),
        },
        Family::Limits => {
            // Their bound begins after the contact bound.
            let hundredths = random.random_range(20..800);
            (Action::Limit(upstream, hundredths), random.random_range(4000..12_000))
        }
        Family::Builds => match random.random_range(0..5) {
            0 => (Action::NewBuild, 0),
            // A new engine follows an old one, which makes the builds differ.
            1 => (Action::Drain(random.random_range(0..size.engines)), length + 2000),
            2 => (Action::Crash(random.random_range(0..size.engines), true), length),
            3 => (Action::Misbehave(upstream, engine::Mode::CutAnswer), length),
            // Its callers resume their streams.
            _ => (Action::Interrupt(host, Interruption::Kill), length),
        },
        Family::Outage => match random.random_range(0..6) {
            0 => (Action::NewBuild, 0),
            1 => (Action::Crash(random.random_range(0..size.engines), true), length),
            2 => (Action::Drain(random.random_range(0..size.engines)), length + 2000),
            _ => (Action::Interrupt(host, Interruption::Kill), length),
        },
        Family::Weights => match random.random_range(0..2) {
            0 => (Action::NewWeights, 0),
            _ => {
                let engine = random.random_range(0..size.engines);
                (Action::IgnoreOrders(engine), random.random_range(1000..20_000))
            }
        },
    }
}
