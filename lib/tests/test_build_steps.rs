//! Tests of `build_steps`: who takes the next step of a service's move to a build, and which one.

use mothvale_lib::{
    build_share::{Level, News, Order, Phase, Progress, Shares, Status},
    build_steps::{Action, Leaving, Report, Situation, Steps, StoredStatus},
    build_trial::{Cause, Reason, Trial, Verdict},
    host_settings::Exposure,
    prelude::*,
};
use mothvale_testutils::gateway::at;

const EXPOSURE: Exposure = Exposure { share: 0.1, slack: 50.0, rollback: Duration::from_secs(5) };
const BAD: Verdict = Verdict::Bad(Reason {
    cause: Cause::Errors,
    route: None,
    old_answers: 100,
    old_bad: 0,
    new_answers: 50,
    new_bad: 20,
});

fn service() -> Service {
    Service::new("s1")
}

fn order() -> Order {
    let (to, deadline) = (Build::new("v2"), Duration::from_secs(12));
    Order { service: service(), to, deadline, version: 5 }
}

/// One host, the rows of the store, and what the host knows.
struct Bench {
    steps: Steps,
    shares: Shares,
    stored: StoredStatus,
    upstreams: (usize, usize),
    has_left_old: bool,
}

impl Bench {
    fn new(host: &'static str) -> Self {
        let mut shares = Shares::new(Some(EXPOSURE));
        shares.set_order(at(0), order());
        Bench {
            steps: Steps::new(&Host::new(host), 1, EXPOSURE),
            shares,
            stored: StoredStatus { version: 0, status: None },
            upstreams: (4, 4),
            has_left_old: false,
        }
    }

    fn progress(&self) -> Progress {
        self.shares.progress(&service()).unwrap().clone()
    }

    /// Decides at a time, which is also that of the row store.
    fn next(&mut self, millis: u64, verdict: Verdict) -> Action {
        let progress = self.progress();
        let old_builds = [Build::new("v1")];
        let situation = Situation {
            now: at(millis),
            clock: Duration::from_millis(millis),
            progress: &progress,
            stored: &self.stored,
            old_builds: &old_builds,
            upstreams: self.upstreams,
            has_left_old: self.has_left_old,
            answers: (millis, millis / 25),
        };
        self.steps.next(&situation, verdict, &Trial::new(at(0)))
    }

    /// Decides, and writes the row if there is one to write. Returns the row.
    fn take(&mut self, millis: u64, verdict: Verdict) -> Option<Status> {
        let Action::Write(status) = self.next(millis, verdict) else { return None };
        self.stored =
            StoredStatus { version: self.stored.version + 1, status: Some(status.clone()) };
        self.learn(millis);
        Some(status)
    }

    /// Learns what the row says.
    fn learn(&mut self, millis: u64) {
        let status = self.stored.status.clone().unwrap();
        self.shares.apply_status(at(millis), &service(), &status, &[Build::new("v1")]);
    }
}

#[test]
fn good_build_goes_up_step_by_step_to_completion() {
    let mut bench = Bench::new("host0");
    let first = bench.take(100, Verdict::Undecided).unwrap();
    assert_eq!((first.phase, first.step, first.since_ms), (Phase::Running, 0, 100));
    let mut levels = Vec::new();
    for millis in (200..12_000).step_by(100) {
        bench.has_left_old = bench.progress().level.sealed && millis > 10_000;
        if let Some(status) = bench.take(millis, Verdict::Good)
            && levels.last() != Some(&(status.phase, status.level))
        {
            levels.push((status.phase, status.level));
        }
    }
    let (last, running) = levels.split_last().unwrap();
    assert_eq!(*last, (Phase::Completed, Level::SEALED));
    assert!(running.windows(2).all(|it| it[0].1.permille <= it[1].1.permille), "{levels:?}");
    assert_eq!(running.last(), Some(&(Phase::Running, Level::SEALED)));
    assert!(running.contains(&(Phase::Running, Level::FULL)), "{levels:?}");
    let status = bench.stored.status.clone().unwrap();
    assert_eq!(status.retired, ["v1"]);
    // Nothing more is written.
    assert_eq!(bench.next(20_000, Verdict::Good), Action::Wait);
    assert_eq!(bench.next(20_000, BAD), Action::Wait);
}

#[test]
fn bad_build_is_rolled_back_by_any_host() {
    let mut holder = Bench::new("host0");
    holder.take(100, Verdict::Undecided).unwrap();
    let mut other = Bench::new("host1");
    other.stored = holder.stored.clone();
    other.learn(200);
    assert_eq!(other.next(200, Verdict::Undecided), Action::Wait);
    let status = other.take(300, BAD).unwrap();
    assert_eq!((status.phase, status.to.as_str()), (Phase::RolledBack, "v2"));
    assert_eq!(other.next(400, BAD), Action::Wait);
    holder.stored = other.stored.clone();
    holder.learn(500);
    assert_eq!(holder.next(500, Verdict::Good), Action::Wait);
    assert_eq!(holder.progress().phase(), Phase::RolledBack);
}

/// The holder is killed: another host goes on from the row, once the holder's time is over.
#[test]
fn other_host_goes_on_from_the_row() {
    let mut holder = Bench::new("host0");
    for millis in (100..6000).step_by(100) {
        holder.take(millis, Verdict::Good);
    }
    let reached = holder.stored.status.clone().unwrap();
    assert!(reached.step > 0);
    let mut other = Bench::new("host1");
    other.stored = holder.stored.clone();
    other.learn(6000);
    assert_eq!(other.next(6000, Verdict::Good), Action::Wait);
    let taken = other.take(reached.until_ms, Verdict::Good).unwrap();
    let expected = Status { holder: "host1".into(), until_ms: taken.until_ms, ..reached.clone() };
    assert_eq!(taken, expected);
    // The former holder wakes up: it reads the row, and leaves the steps to the other host.
    holder.stored = other.stored.clone();
    holder.learn(reached.until_ms + 100);
    assert_eq!(holder.next(reached.until_ms + 100, Verdict::Good), Action::Wait);
}

/// The same host with another start is another holder.
#[test]
fn restarted_holder_waits_for_the_end_of_its_former_time() {
    let mut holder = Bench::new("host0");
    let status = holder.take(100, Verdict::Undecided).unwrap();
    let mut restarted = Bench::new("host0");
    restarted.steps = Steps::new(&Host::new("host0"), 2, EXPOSURE);
    restarted.stored = holder.stored.clone();
    restarted.learn(200);
    assert_eq!(restarted.next(200, Verdict::Good), Action::Wait);
    assert!(restarted.take(status.until_ms, Verdict::Good).is_some());
}

#[test]
fn holder_renews_its_time_before_it_ends() {
    let mut bench = Bench::new("host0");
    let first = bench.take(100, Verdict::Undecided).unwrap();
    assert_eq!(bench.next(200, Verdict::Undecided), Action::Wait);
    let renewed = bench.take(first.until_ms - 500, Verdict::Undecided).unwrap();
    assert!(renewed.until_ms > first.until_ms);
    assert_eq!((renewed.step, renewed.since_ms), (first.step, first.since_ms));
}

/// The row store came back from a copy without the last rows. What is known for good is written again.
#[test]
fn lost_rows_are_written_again() {
    let mut bench = Bench::new("host0");
    let first = bench.take(100, Verdict::Undecided).unwrap();
    let copy = bench.stored.clone();
    bench.take(300, BAD).unwrap();
    bench.stored = copy;
    bench.learn(400);
    assert_eq!(bench.take(400, Verdict::Undecided).unwrap().phase, Phase::RolledBack);
    let mut bench = Bench::new("host0");
    let news = News {
        service: service(),
        to: Build::new("v2"),
        order: 5,
        step: 6,
        level: Level::SEALED,
        completed: true,
        stopped: false,
    };
    bench.shares.apply_news(at(0), &news, &[Build::new("v1")]);
    bench.stored = StoredStatus { version: 3, status: Some(first) };
    let status = bench.take(500, Verdict::Undecided).unwrap();
    assert_eq!((status.phase, status.retired), (Phase::Completed, vec!["v1".into()]));
}

/// The share does not rise, and the old builds are not sealed, before upstreams of the new build can bear it.
#[test]
fn no_step_is_taken_without_upstreams_of_the_new_build() {
    let mut bench = Bench::new("host0");
    bench.upstreams = (0, 4);
    for millis in (100..20_000).step_by(100) {
        bench.take(millis, Verdict::Good);
    }
    assert_eq!(bench.progress().step, 0);
    bench.upstreams = (1, 4);
    for millis in (20_000..40_000).step_by(100) {
        bench.take(millis, Verdict::Good);
    }
    assert_eq!(bench.progress().level, Level::FULL);
}

#[test]
fn old_builds_are_left_once_all_hosts_report_nothing_under_way() {
    let hosts = ["host0", "host1"].map(Host::new);
    let report = |at_ms, step, old_in_flight| Some(Report { at: at(at_ms), step, old_in_flight });
    let mut leaving = Leaving::default();
    // One request is under way from one host.
    assert!(
        !leaving
            .observe(at(0), 3, &hosts, |it| { report(0, 3, u32::from(it.as_str() == "host1")) })
    );
    // One host does not know the step yet.
    assert!(!leaving.observe(at(900), 3, &hosts, |it| {
        report(900, 2 + u32::from(it.as_str() == "host1"), 0)
    }));
    // Nothing, for a while.
    assert!(!leaving.observe(at(1000), 3, &hosts, |_| report(1000, 3, 0)));
    assert!(!leaving.observe(at(1500), 3, &hosts, |_| report(1500, 3, 0)));
    // A request in between starts the while anew.
    assert!(!leaving.observe(at(1550), 3, &hosts, |_| report(1550, 3, 1)));
    assert!(!leaving.observe(at(1600), 3, &hosts, |_| report(1600, 3, 0)));
    assert!(leaving.observe(at(2200), 3, &hosts, |_| report(2200, 3, 0)));
}

/// A host that was killed reports nothing and keeps its row. It is not waited for without end.
#[test]
fn host_that_is_gone_is_not_waited_for_without_end() {
    let hosts = ["host0", "host1"].map(Host::new);
    let mut leaving = Leaving::default();
    let observe = |leaving: &mut Leaving, millis| {
        leaving.observe(at(millis), 3, &hosts, |it| {
            let report = Report { at: at(millis), step: 3, old_in_flight: 0 };
            (it.as_str() == "host0").then_some(report)
        })
    };
    assert!((0..4000).step_by(100).all(|it| !observe(&mut leaving, it)));
    assert!((4000..5000).step_by(100).any(|it| observe(&mut leaving, it)));
}
