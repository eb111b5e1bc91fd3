//! Tests of the soak's checks on records that are made by hand, on both sides of what they allow.

use std::time::{Duration, Instant};

use mothvale_bench::soak::{
    check,
    record::{Attempt, Disturbance, Evidence, Exit, Outcome, Process, Record, Scope},
};
use mothvale_platform_standin::{
    engine::{Arrival, Journal, LimitNotice},
    operator::Bounds,
};

/// Position of the route that is not resumable.
const DRAFT: usize = 3;

/// A record of one host and one upstream, whose times are given in milliseconds.
struct Scene {
    start: Instant,
    evidence: Evidence,
}

impl Scene {
    /// Creates a scene with processes of host 0 that start at these times.
    fn new(starts: &[u64]) -> Self {
        let start = Instant::now();
        let evidence = Evidence {
            record: Record { usage: vec![(0, 0)], ..Record::default() },
            journal: Journal::default(),
            logs: vec![String::new()],
            host_names: vec!["host0".to_owned()],
            upstream_zones: vec!["z0".to_owned()],
            keys: Vec::new(),
            bounds: Bounds::default(),
            max_memory: u64::MAX,
            max_files: u64::MAX,
        };
        let mut scene = Scene { start, evidence };
        for at in starts {
            let process = Process { host: 0, started: scene.at(*at), log_start: 0 };
            scene.evidence.record.processes.push(process);
        }
        scene
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    /// Adds the stop of a process, which ends half a second after SIGTERM, and logs a line of its end.
    fn stop(&mut self, process: usize, signalled: u64) {
        let signalled_at = self.at(signalled);
        self.disturb(Scope::Stop(0), signalled, signalled + 600);
        self.evidence.record.exits.push(Exit {
            host: 0,
            process,
            signalled: signalled_at,
            took: Some(Duration::from_millis(500)),
            success: true,
            had_started: true,
        });
        let lines = "{\"message\":\"stopped\"}\n";
        self.evidence.logs[0].push_str(lines);
        for it in &mut self.evidence.record.processes[process + 1..] {
            it.log_start += lines.len() as u64;
        }
    }

    fn disturb(&mut self, scope: Scope, from: u64, to: u64) {
        let (start, end) = (self.at(from), Some(self.at(to)));
        self.evidence.record.disturbances.push(Disturbance { scope, start, end });
    }

    /// Adds a stream that reached upstream 0 and was cut.
    fn cut(&mut self, at: u64, ended: u64) {
        let (at, ended) = (self.at(at), self.at(ended));
        self.evidence.journal.arrivals.push(Arrival {
            at,
            id: "r-1".to_owned(),
            engine: 0,
            engine_id: "u0-1".to_owned(),
            deadline: Some(Duration::from_secs(4)),
            has_key: false,
            weights: 0,
            ran: true,
            misdirected: false,
            build: 1,
            stream: "r-1".to_owned(),
            last_event: 0,
        });
        self.evidence.logs[0].insert_str(0, "{\"request\":\"r-1\"}\n");
        for it in &mut self.evidence.record.processes[1..] {
            it.log_start += "{\"request\":\"r-1\"}\n".len() as u64;
        }
        self.evidence.record.attempts.push(Attempt {
            id: "r-1".to_owned(),
            route: DRAFT,
            host: 0,
            key: 0,
            at,
            deadline: Duration::from_secs(4),
            resumes: false,
            outcome: Outcome::Cut(Some(200)),
            ended,
        });
    }

    /// Returns the names of the checks that found something.
    fn broken(&self) -> Vec<&'static str> {
        check::judge(&self.evidence).into_iter().map(|it| it.check).collect()
    }
}

/// A stream of the restarted process that its upstream cut, within the grace period of the stop before.
#[test]
fn stop_of_the_process_before_does_not_count() {
    let mut scene = Scene::new(&[0, 5600]);
    scene.stop(0, 5000);
    scene.disturb(Scope::Upstream(0), 10_000, 11_400);
    scene.cut(9000, 11_200);
    assert!(scene.broken().is_empty(), "{:?}", scene.broken());
    // Without a reason at the upstream it is no fault of a stop either.
    let mut scene = Scene::new(&[0, 5600]);
    scene.stop(0, 5000);
    scene.cut(9000, 11_200);
    assert!(scene.broken().is_empty(), "{:?}", scene.broken());
}

#[test]
fn stop_of_the_own_process_counts() {
    for ended in [5001, 5300] {
        let mut scene = Scene::new(&[0, 5600]);
        scene.stop(0, 5000);
        scene.cut(4000, ended);
        assert_eq!(scene.broken(), ["clean-stops"]);
    }
    let mut scene = Scene::new(&[0, 5600]);
    scene.stop(0, 5000);
    scene.stop(1, 10_000);
    scene.cut(9000, 10_200);
    assert_eq!(scene.broken(), ["clean-stops"]);
}

/// The stop before, or the same one, is no reason for the cut; anything else is.
#[test]
fn only_other_disturbances_excuse_a_cut() {
    let cut_by_second_stop = |scopes: &[Scope]| {
        let mut scene = Scene::new(&[0, 5600]);
        scene.stop(0, 5000);
        scene.stop(1, 7000);
        for scope in scopes {
            scene.disturb(*scope, 6500, 6600);
        }
        scene.cut(6400, 7300);
        scene.broken()
    };
    assert_eq!(cut_by_second_stop(&[]), ["clean-stops"]);
    assert_eq!(cut_by_second_stop(&[Scope::Upstream(1), Scope::CallerLink(1)]), ["clean-stops"]);
    for scope in [Scope::Upstream(0), Scope::Link, Scope::CallerLink(0), Scope::Host(0)] {
        assert!(cut_by_second_stop(&[scope]).is_empty(), "{scope:?}");
    }
}

/// Each process that was stopped has its own line, also if another one of the host wrote two.
#[test]
fn line_of_another_process_is_no_line_of_this_one() {
    let mut scene = Scene::new(&[0, 5600]);
    scene.stop(0, 5000);
    scene.stop(1, 7000);
    assert!(scene.broken().is_empty(), "{:?}", scene.broken());
    // The second process's line is of the first one.
    scene.evidence.record.processes[1].log_start = scene.evidence.logs[0].len() as u64;
    assert_eq!(scene.broken(), ["logged-ends"]);
}

/// A process that was killed may have lost its last lines; the one after it has no such excuse.
#[test]
fn kill_excuses_missing_lines_of_its_own_process_only() {
    let failed_at = |at: u64, starts: &[u64]| {
        let mut scene = Scene::new(starts);
        scene.disturb(Scope::Host(0), 5000, 5300);
        let killed = scene.at(5000);
        scene.evidence.record.kills.push((0, killed));
        scene.cut(at, at + 100);
        scene.evidence.logs[0].clear();
        scene.evidence.record.attempts[0].outcome = Outcome::Answered(502);
        scene.broken()
    };
    assert!(failed_at(4500, &[0, 5300]).is_empty());
    assert_eq!(failed_at(5400, &[0, 5300]), ["explained"]);
    assert_eq!(failed_at(3000, &[0, 5300]), ["explained"]);
}

/// An upstream with a limit of one request per second gets `count` requests of a host that it had told, in
/// two seconds from `from` on.
fn limited(from: u64, count: u64, disturbed: bool) -> Vec<&'static str> {
    let mut scene = Scene::new(&[0]);
    for (index, at) in std::iter::once(1000).chain((0..count).map(|it| from + it)).enumerate() {
        scene.cut(at, at + 50);
        let id = format!("r-{index}");
        scene.evidence.journal.arrivals[index].id.clone_from(&id);
        scene.evidence.record.attempts[index].id.clone_from(&id);
        let at = scene.at(at);
        scene.evidence.journal.limits.push(LimitNotice {
            at,
            engine: 0,
            born: 1,
            request: id.clone(),
            per_second: 1.0,
        });
        scene.evidence.logs[0].push_str(&format!("{{\"request\":\"{id}\"}}\n"));
    }
    if disturbed {
        scene.disturb(Scope::Host(0), from, from);
    }
    scene.broken()
}

#[test]
fn limit_counts_after_the_contact_bound_from_hosts_that_know_it() {
    assert_eq!(limited(4500, 12, false), ["limits"]);
    assert!(limited(4500, 11, false).is_empty());
    assert!(limited(3000, 12, false).is_empty(), "the contact bound is not over");
    assert!(limited(4500, 12, true).is_empty(), "the host was suspended");
}

/// A stream that began at build 1 goes on, in one answer or by another request.
#[test]
fn stream_that_goes_on_at_another_build_is_noticed() {
    for (build, expected) in [(1, &[][..]), (2, &["builds"])] {
        let mut scene = Scene::new(&[0]);
        scene.cut(1000, 1100);
        let mut second = scene.evidence.journal.arrivals[0].clone();
        second.id = "r-2".to_owned();
        (second.build, second.last_event) = (build, 2);
        scene.evidence.journal.arrivals[0].weights = 1;
        scene.evidence.journal.arrivals.push(Arrival { weights: 1, ..second });
        assert_eq!(scene.broken(), expected, "build {build}");
    }
}
