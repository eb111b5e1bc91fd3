//! Tests of services whose upstreams fall over when they turn away too many requests. No I/O: hosts with fleets
//! of their own send to simulated upstreams.

use std::collections::BTreeMap;

use mothvale_lib::{
    choice::{Choice, Query},
    configuration::{Configuration, ServiceEntry},
    fleet::{Fleet, Outcome, UpstreamRow},
    prelude::*,
    refusal_limit::RefusalLimits,
    rendezvous,
};
use mothvale_testutils::gateway::{PLAIN, at, configuration, engine, host_settings};

/// Requests that an upstream runs at once.
const SLOTS: u32 = 6;
/// Requests that wait at an upstream while it bears few refusals.
const WAITING: usize = 1;
/// Refusals that an upstream bears within a second.
const MAX_REFUSALS: usize = 3;
/// Interval between the messages in which hosts tell each other their loads.
const GOSSIP_MS: u64 = 50;
/// Time that a host has to know that a service bears few refusals.
const CONTACT_MS: u64 = 3000;

/// An upstream with the requests that it has, each with its end, and the times of its refusals.
#[derive(Default)]
struct SimulatedUpstream {
    ends: Vec<u64>,
    refusals: Vec<u64>,
}

impl SimulatedUpstream {
    /// Takes a request and returns when it ends, or `None` if there is no room.
    fn take(&mut self, now: u64, run_ms: u64) -> Option<u64> {
        self.ends.retain(|it| *it > now);
        if self.ends.len() >= SLOTS as usize + WAITING {
            self.refusals.push(now);
            return None;
        }
        let mut running = self.ends.clone();
        running.sort_unstable();
        let waits_for = running.len().checked_sub(SLOTS as usize).map(|it| running[it]);
        let end = waits_for.unwrap_or(now) + run_ms;
        self.ends.push(end);
        Some(end)
    }

    /// Returns how often it falls over: more refusals in a second than it bears.
    fn falls(&self, from: u64) -> usize {
        let (mut falls, mut begin) = (0, from);
        for end in self.refusals.iter().filter(|it| **it >= from) {
            let recent = self.refusals.iter().filter(|it| **it >= begin && **it + 1000 > *end);
            if recent.filter(|it| *it <= end).count() > MAX_REFUSALS {
                falls += 1;
                // It is away for seconds.
                begin = end + 3000;
            }
        }
        falls
    }
}

fn row(index: usize) -> UpstreamRow {
    UpstreamRow {
        service: Service::new(PLAIN),
        slots: SLOTS,
        models: SmallVec::new(),
        ..engine(&format!("app{index}"), "hobart")
    }
}

struct Simulation {
    hosts: Vec<Fleet>,
    upstreams: Vec<SimulatedUpstream>,
    configuration: Configuration,
    entry: ServiceEntry,
    /// Requests under way, by their end.
    under_way: BTreeMap<u64, Vec<(usize, Choice)>>,
    served: usize,
    denied: usize,
}

impl Simulation {
    fn new(hosts: usize, upstreams: usize) -> Self {
        let names: Vec<_> = (0..hosts).map(|it| Host::new(format!("host{it}"))).collect();
        let fleet = |name: &Host| {
            let mut fleet = Fleet::new(&host_settings(name.as_str(), "hobart"));
            fleet.set_hosts(at(0), names.clone());
            (0..upstreams).for_each(|it| fleet.upsert(at(0), row(it)));
            fleet
        };
        Simulation {
            hosts: names.iter().map(fleet).collect(),
            upstreams: (0..upstreams).map(|_| SimulatedUpstream::default()).collect(),
            configuration: configuration(),
            entry: ServiceEntry::default(),
            under_way: BTreeMap::new(),
            served: 0,
            denied: 0,
        }
    }

    /// Sends a request from a host, to another upstream after each refusal.
    fn send(&mut self, now: u64, host: usize, run_ms: u64) {
        let mut tried: Vec<Upstream> = Vec::new();
        while tried.len() < 3 {
            let query = Query {
                service: &Service::new(PLAIN),
                model: None,
                session: None,
                cached: None,
                tokens: 0,
                admitted: true,
                priority: 0,
                request_hash: now,
                max_wait: Duration::from_secs(1),
                build: None,
                connected: None,
                tried: &tried,
            };
            let fleet = &mut self.hosts[host];
            let Ok(choice) = fleet.choose(at(now), &self.configuration, &query) else { break };
            let index: usize = choice.id.as_str()["app".len()..].parse().unwrap();
            match self.upstreams[index].take(now, run_ms) {
                Some(end) => {
                    self.under_way.entry(end).or_default().push((host, choice));
                    return;
                }
                None => {
                    fleet.record_outcome(at(now), &self.entry, &choice, Outcome::Refused);
                    tried.push(choice.id);
                }
            }
        }
        self.denied += 1;
    }

    /// Lets `per_second` requests come until `end_ms`, all hosts' together. From `limited_from` on, upstreams
    /// say that they bear few refusals.
    fn run(&mut self, end_ms: u64, per_second: u64, run_ms: u64, limited_from: u64) {
        let mut sample = 1;
        for now in 0..end_ms {
            let rest = self.under_way.split_off(&(now + 1));
            for (end, ended) in std::mem::replace(&mut self.under_way, rest) {
                for (host, choice) in ended {
                    let served = Outcome::Served(Duration::from_millis(run_ms));
                    self.hosts[host].record_outcome(at(end), &self.entry, &choice, served);
                    if now >= limited_from {
                        self.hosts[host].refusal_limits.record(at(now), &Service::new(PLAIN));
                    }
                    self.served += 1;
                }
            }
            if now.is_multiple_of(GOSSIP_MS) {
                self.gossip(now);
            }
            for _ in 0..per_second {
                sample = rendezvous::mix64(sample);
                // On average one in a thousand comes in each millisecond.
                if sample.is_multiple_of(1000) {
                    let host = (rendezvous::mix64(sample) % self.hosts.len() as u64) as usize;
                    self.send(now, host, run_ms);
                }
            }
        }
    }

    fn gossip(&mut self, now: u64) {
        let loads: Vec<_> = self.hosts.iter().map(Fleet::loads).collect();
        for (from, loads) in loads.iter().enumerate() {
            let name = Host::new(format!("host{from}"));
            for (to, fleet) in self.hosts.iter_mut().enumerate() {
                if to != from {
                    fleet.record_peer_loads(at(now), &name, loads.clone());
                }
            }
        }
    }

    fn falls(&self, from: u64) -> usize {
        self.upstreams.iter().map(|it| it.falls(from)).sum()
    }
}

/// Load pattern: twice as many requests as there is room for, while upstreams bear few refusals. Guards
/// against upstreams that fall over because all hosts send to the one that seemed idle a moment ago.
#[test]
fn upstreams_that_bear_few_refusals_do_not_fall_over() {
    for (hosts, upstreams) in [(9, 4), (30, 6)] {
        for run_ms in [60, 400] {
            let capacity = upstreams as u64 * u64::from(SLOTS) * 1000 / run_ms;
            let mut simulation = Simulation::new(hosts, upstreams);
            simulation.run(12_000, 2 * capacity, run_ms, 1000);
            let falls = simulation.falls(1000 + CONTACT_MS);
            let case = format!("{hosts} hosts, {upstreams} upstreams, {run_ms} ms");
            assert!(falls <= 2 + upstreams / 10, "{case}: {falls} falls");
            // What is not refused by upstreams is not kept away from them without need.
            let room = capacity * 12;
            assert!(simulation.served as u64 * 2 > room, "{case}: {} of {room}", simulation.served);
        }
    }
}

/// Usual load. Nobody is refused although there is room.
#[test]
fn limit_on_refusals_costs_nothing_at_usual_load() {
    for (hosts, upstreams) in [(9, 4), (60, 6)] {
        let capacity = upstreams as u64 * u64::from(SLOTS) * 1000 / 15;
        let mut simulation = Simulation::new(hosts, upstreams);
        simulation.run(12_000, capacity / 10, 15, 1000);
        assert_eq!(simulation.falls(0), 0, "{hosts} hosts");
        let all = simulation.served + simulation.denied;
        assert!(simulation.denied * 50 < all, "{hosts} hosts: {} of {all}", simulation.denied);
    }
}

#[test]
fn room_shrinks_with_refusals_and_grows_again() {
    let (mut limits, service) = (RefusalLimits::default(), Service::new(PLAIN));
    limits.record_refusal(at(0), &service);
    assert_eq!(limits.room(at(0), &service), None);
    assert!(limits.record(at(0), &service));
    assert!(!limits.record(at(10), &service));
    assert_eq!(limits.room(at(10), &service), Some(1.0));
    // Refusals of the same moment are one sign.
    for ms in 20..40 {
        limits.record_refusal(at(ms), &service);
    }
    assert_eq!(limits.room(at(20), &service), Some(0.7));
    let later = limits.room(at(2020), &service).unwrap();
    assert!((0.89..0.91).contains(&later), "{later}");
    for round in 0..20 {
        limits.record(at(3000 + 400 * round), &service);
        limits.record_refusal(at(3000 + 400 * round), &service);
    }
    assert_eq!(limits.room(at(10_600), &service), Some(0.5));
}

#[test]
fn limit_ends_when_the_service_no_longer_repeats_it() {
    let (mut limits, service) = (RefusalLimits::default(), Service::new(PLAIN));
    limits.record(at(0), &service);
    limits.record(at(2000), &service);
    assert!(limits.room(at(4900), &service).is_some());
    assert!(limits.take_ended(at(4900)).is_empty());
    assert_eq!(limits.room(at(5000), &service), None);
    assert_eq!(limits.take_ended(at(5000)), std::slice::from_ref(&service));
    assert!(limits.record(at(6000), &service), "it is named anew");
}
