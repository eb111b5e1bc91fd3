//! Tests of which host takes a request that another one cannot send to its upstreams.

use std::collections::HashMap;

use http::{HeaderMap, HeaderValue};
use mothvale_lib::{
    detour::{Asked, Candidate, Detours},
    detour_link::{Terms, TermsError},
    prelude::*,
};
use mothvale_testutils::gateway::at;

fn candidate(name: String, zone: &'static str, processor_millis: u32) -> Candidate {
    let address = "127.0.0.1:9".parse().expect("valid address");
    Candidate { host: Host::new(name), zone: Zone::new(zone), address, processor_millis }
}

/// Returns `count` hosts of equal size in each zone.
fn candidates(zones: &[&'static str], count: usize) -> Vec<Candidate> {
    let host = |zone: &&'static str, it: usize| candidate(format!("{zone}-{it}"), zone, 250);
    zones.iter().flat_map(|zone| (0..count).map(move |it| host(zone, it))).collect()
}

fn choose(detours: &mut Detours, now: u64, hash: u64, tried: &[Host]) -> Option<Candidate> {
    let mut asked = Asked::default();
    tried.iter().for_each(|it| asked.push(it.clone(), false));
    detours.choose(at(now), &Service::new("s1"), &Zone::new("hobart"), hash, &asked)
}

/// Sends one request over other hosts, of which those that `reaches` says take it. Returns whether one took
/// it, and how many were asked.
fn send<F>(detours: &mut Detours, now: u64, hash: u64, reaches: F) -> (bool, usize)
where
    F: Fn(&Candidate) -> bool,
{
    let (service, zone) = (Service::new("s1"), Zone::new("hobart"));
    let mut asked = Asked::default();
    while let Some(candidate) = detours.choose(at(now), &service, &zone, hash, &asked) {
        detours.finish(&candidate.host);
        if reaches(&candidate) {
            detours.record_taken(at(now), &candidate.host, &service);
            return (true, asked.hosts().len() + 1);
        }
        detours.avoid(at(now), &candidate.host, &service);
        asked.push(candidate.host, false);
    }
    (false, asked.hosts().len())
}

/// Load pattern: 6 requests a second at a host whose zone of 20 hosts has lost its links.
#[test]
fn requests_leave_a_zone_that_has_lost_its_links() {
    let mut detours = Detours::default();
    let mut hosts = candidates(&["hobart"], 19);
    hosts.extend(candidates(&["launceston", "burnie", "huon"], 20));
    detours.set_candidates(hosts);
    let mut asked = 0;
    for request in 0..60_u64 {
        let hash = rendezvous_sample(request);
        let (taken, hosts) =
            send(&mut detours, request * 167, hash, |it| it.zone.as_str() != "hobart");
        assert!(taken, "request {request}, {hosts} asked");
        asked += hosts;
    }
    assert!(asked < 2 * 60, "{asked} asked for 60 requests");
}

/// Load pattern: a tenth of all hosts has links, in all zones alike. A host finds some of them, and stays
/// with these.
#[test]
fn requests_find_the_few_hosts_that_have_links() {
    let mut detours = Detours::default();
    detours.set_candidates(candidates(&["hobart", "launceston", "burnie", "huon"], 20));
    let reaches = |it: &Candidate| it.host.as_str().ends_with("-7");
    let sent = (0..60_u64).map(|it| send(&mut detours, it * 167, rendezvous_sample(it), reaches));
    let sent: Vec<_> = sent.collect();
    let first = sent.iter().position(|it| it.0).expect("some host is found");
    assert!(first < 12, "the first one that is served is request {first}");
    assert!(sent[first..].iter().all(|it| it.0), "{sent:?}");
}

/// Load pattern: no host reaches the service, because its upstreams are overloaded. Requests in vain add
/// little to that.
#[test]
fn hosts_are_not_asked_in_vain_for_long() {
    let mut detours = Detours::default();
    detours.set_candidates(candidates(&["hobart", "launceston", "burnie", "huon"], 20));
    let sent = (0..60_u64).map(|it| send(&mut detours, it * 167, rendezvous_sample(it), |_| false));
    let asked: Vec<_> = sent.map(|it| it.1).collect();
    assert!(asked[2..].iter().all(|it| *it <= 2), "{asked:?}");
}

#[test]
fn host_that_refuses_again_and_again_is_asked_less_and_less() {
    let mut detours = Detours::default();
    detours.set_candidates(candidates(&["hobart"], 1));
    let (host, service) = (Host::new("hobart-0"), Service::new("s1"));
    let mut asked = Vec::new();
    for now in (0..12_000).step_by(100) {
        if choose(&mut detours, now, 0, &[]).is_some() {
            asked.push(now);
            detours.avoid(at(now), &host, &service);
        }
    }
    assert_eq!(asked, [0, 1000, 3000, 7000, 11_000]);
    detours.record_taken(at(11_500), &host, &service);
    assert!(choose(&mut detours, 11_500, 0, &[]).is_some());
}

/// Load pattern: all hosts of a zone are cut off, each with 40 requests under way.
#[test]
fn requests_of_a_whole_zone_are_spread_over_the_other_hosts() {
    let mut taken: HashMap<Host, u32> = HashMap::new();
    for host in 0..50_u64 {
        let mut detours = Detours::default();
        detours.set_candidates(candidates(&["launceston", "burnie", "huon"], 40));
        for request in 0..40_u64 {
            let hash = rendezvous_sample(host * 1000 + request);
            *taken.entry(choose(&mut detours, 0, hash, &[]).unwrap().host).or_default() += 1;
        }
    }
    let mean = 50 * 40 / 120;
    assert_eq!(taken.len(), 120);
    let most = taken.values().max().unwrap();
    assert!(*most < 2 * mean, "{most} at one host, {mean} in the mean");
}

fn rendezvous_sample(number: u64) -> u64 {
    mothvale_lib::rendezvous::mix64(number)
}

#[test]
fn near_hosts_come_first_until_they_have_more_to_do() {
    let mut detours = Detours::default();
    detours.set_candidates(candidates(&["hobart", "burnie"], 1));
    let zones: Vec<_> =
        (0..6).map(|it| choose(&mut detours, 0, it, &[]).unwrap().zone.to_string()).collect();
    assert_eq!(zones[..2], ["hobart", "hobart"]);
    assert_eq!(zones.iter().filter(|it| *it == "hobart").count(), 4);
    // Requests that have ended make room again.
    for _ in 0..4 {
        detours.finish(&Host::new("hobart-0"));
    }
    assert_eq!(choose(&mut detours, 0, 9, &[]).unwrap().zone.as_str(), "hobart");
}

#[test]
fn hosts_with_more_processor_time_take_more() {
    let mut detours = Detours::default();
    let hosts =
        vec![candidate("small".into(), "hobart", 120), candidate("large".into(), "hobart", 480)];
    detours.set_candidates(hosts);
    let large = (0..50)
        .filter(|it| choose(&mut detours, 0, *it, &[]).unwrap().host.as_str() == "large")
        .count();
    assert!((36..=44).contains(&large), "{large}");
}

#[test]
fn host_that_has_refused_is_not_asked_for_a_while() {
    let mut detours = Detours::default();
    detours.set_candidates(candidates(&["hobart"], 2));
    let (first, service) = (Host::new("hobart-0"), Service::new("s1"));
    detours.avoid(at(0), &first, &service);
    for hash in 0..20 {
        assert_eq!(choose(&mut detours, 900, hash, &[]).unwrap().host.as_str(), "hobart-1");
    }
    let other =
        detours.choose(at(900), &Service::new("s2"), &Zone::new("hobart"), 0, &Asked::default());
    assert_eq!(other.unwrap().host, first, "it may take requests for another service");
    assert_eq!(choose(&mut detours, 1000, 0, &[]).unwrap().host, first);
    let tried = [first, Host::new("hobart-1")];
    assert_eq!(choose(&mut detours, 1000, 0, &tried), None);
}

#[test]
fn terms_are_taken_out_of_the_fields_they_were_written_to() {
    let terms = Terms {
        left: Duration::from_millis(1234),
        runs: 1,
        arrivals: 2,
        configuration: 17,
        reached_part: 0.25,
    };
    let mut headers = HeaderMap::new();
    // A caller's own field does not count.
    headers.insert("mothvale-detour-runs", HeaderValue::from_static("0"));
    headers.insert("model", HeaderValue::from_static("demo"));
    terms.write(&mut headers);
    assert_eq!(Terms::take(&mut headers), Ok(terms));
    assert_eq!(headers.keys().map(|it| it.as_str()).collect::<Vec<_>>(), ["model"]);
    // A host of an earlier build does not tell its arrivals.
    terms.write(&mut headers);
    headers.remove("mothvale-detour-arrivals");
    assert_eq!(Terms::take(&mut headers), Ok(Terms { arrivals: 1, ..terms }));
    let missing: Result<_, TermsError> = Terms::take(&mut headers);
    let message = missing.unwrap_err().to_string();
    assert_eq!(message, "the field mothvale-detour-left-ms is missing or no number");
}
