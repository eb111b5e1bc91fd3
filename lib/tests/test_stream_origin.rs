//! Tests of what a host knows of the builds at which streams began.

use std::{collections::HashMap, time::Duration};

use mothvale_lib::{
    fleet::{Choice, Denial, Fleet, Query, UpstreamRow},
    generated::peer,
    prelude::*,
    stream_origin::{Attempt, Builds, Origins, Place, Source},
};
use mothvale_testutils::gateway::{ENGINES, at, configuration, engine, fleet};
use pilota::pb::Message;
use proptest::prelude::*;

fn place(build: &str) -> Place {
    Place { service: Service::new(ENGINES), build: Build::new(build.to_owned()) }
}

/// Returns the streams that are told now, with their builds.
fn told(origins: &mut Origins, mixed: bool) -> Vec<(u64, String)> {
    let news = origins.take_news(|_| mixed).into_iter();
    let mut told: Vec<_> = news
        .flat_map(|it| {
            let build = it.build.to_string();
            it.attempts.into_iter().map(move |attempt| (attempt, build.clone()))
        })
        .collect();
    told.sort();
    told
}

#[test]
fn streams_are_told_twice_and_only_while_builds_differ() {
    let mut origins = Origins::default();
    origins.record(at(0), Attempt(1), &place("v1"), Source::Own);
    origins.record(at(0), Attempt(2), &place("v2"), Source::Relayed);
    origins.record(at(0), Attempt(3), &place("v2"), Source::Told);
    assert!(told(&mut origins, false).is_empty());
    for _ in 0..2 {
        let expected = [(1, "v1".to_owned()), (2, "v2".to_owned())];
        assert_eq!(told(&mut origins, true), expected);
    }
    assert!(told(&mut origins, true).is_empty());
}

/// A new leader of the zone knows nothing of the streams that run.
#[test]
fn running_streams_are_told_again() {
    let mut origins = Origins::default();
    for attempt in 1..=3 {
        origins.record(at(0), Attempt(attempt), &place("v1"), Source::Own);
    }
    origins.record(at(0), Attempt(4), &place("v1"), Source::Told);
    while !told(&mut origins, true).is_empty() {}
    origins.finish(Attempt(2));
    origins.tell_running_again();
    let expected = [(1, "v1".to_owned()), (3, "v1".to_owned())];
    assert_eq!(told(&mut origins, true), expected);
    assert!(origins.place(Attempt(2)).is_some(), "its caller may still resume it");
}

#[test]
fn first_event_decides_where_a_stream_began() {
    let mut origins = Origins::default();
    origins.record(at(0), Attempt(1), &place("v1"), Source::Told);
    origins.record(at(10), Attempt(1), &place("v2"), Source::Own);
    assert_eq!(origins.place(Attempt(1)), Some(&place("v1")));
}

#[test]
fn streams_are_forgotten_by_age_and_number() {
    let mut origins = Origins::default();
    origins.record(at(0), Attempt(1), &place("v1"), Source::Own);
    origins.purge(at(29_900));
    assert!(origins.place(Attempt(1)).is_some());
    origins.purge(at(30_000));
    assert!(origins.place(Attempt(1)).is_none());
    assert!(told(&mut origins, true).is_empty());
    for attempt in 0..70_000 {
        origins.record(at(40_000), Attempt(attempt), &place("v1"), Source::Told);
    }
    assert!(origins.count() <= 65_536);
    assert!(origins.place(Attempt(0)).is_none() && origins.place(Attempt(69_999)).is_some());
}

/// A build counts for as long as a stream that began there may go on.
#[test]
fn builds_count_for_a_while_after_they_left() {
    let (mut builds, service) = (Builds::new(MAX_ROWS_AGE), Service::new(ENGINES));
    assert_eq!(builds.only(at(0), &service), None);
    builds.see(at(0), &service, &Build::new("v1"));
    assert!(!builds.is_any_mixed(at(10)));
    assert_eq!(builds.only(at(10), &service), Some(&Build::new("v1")));
    builds.see(at(20), &service, &Build::new("v2"));
    assert!(builds.is_mixed(at(29_000), &service) && builds.is_any_mixed(at(29_000)));
    builds.see(at(29_000), &service, &Build::new("v2"));
    builds.purge(at(31_000));
    assert!(!builds.is_mixed(at(31_000), &service));
    assert_eq!(builds.only(at(31_000), &service), Some(&Build::new("v2")));
}

const MAX_ROWS_AGE: Duration = Duration::from_millis(1500);

/// Returns the builds of a host that has read rows from its start until a time.
fn read_until(end_ms: u64) -> Builds {
    let mut builds = Builds::new(MAX_ROWS_AGE);
    (0..=end_ms).step_by(1000).for_each(|it| builds.record_rows(at(it)));
    builds
}

#[test]
fn host_that_keeps_up_knows_all_builds_after_the_time_that_streams_last() {
    assert!(!read_until(29_000).covers_all_streams(at(29_999)));
    assert!(read_until(30_000).covers_all_streams(at(30_000)));
    assert!(!Builds::new(MAX_ROWS_AGE).covers_all_streams(at(60_000)), "it has read nothing");
}

/// Guards against a host that takes what it knew before a suspension for what is there. The first request
/// after it comes before any read.
#[test]
fn host_that_was_suspended_does_not_know_all_builds() {
    let mut builds = read_until(40_000);
    assert!(builds.is_current(at(41_500)) && builds.covers_all_streams(at(41_500)));
    assert!(!builds.is_current(at(41_501)) && !builds.covers_all_streams(at(41_501)));
    // A build may have come and gone meanwhile.
    builds.record_rows(at(42_000));
    assert!(builds.is_current(at(42_000)));
    assert_eq!(builds.complete_since(), at(42_000));
    assert!(!builds.covers_all_streams(at(42_000)));
    // A late answer to an earlier read.
    builds.record_rows(at(41_000));
    assert_eq!(builds.complete_since(), at(42_000));
    (43..=72).for_each(|it| builds.record_rows(at(it * 1000)));
    assert!(builds.covers_all_streams(at(72_000)));
}

fn with_build(index: u64, build: &str) -> UpstreamRow {
    let build = Build::new(build.to_owned());
    UpstreamRow { build, ..engine(&format!("engine{index}"), "hobart") }
}

fn choose(fleet: &mut Fleet, now: Instant, build: Option<&Build>) -> Result<Choice, Denial> {
    choose_tokens(fleet, now, build, 100)
}

fn choose_tokens(
    fleet: &mut Fleet,
    now: Instant,
    build: Option<&Build>,
    tokens: u32,
) -> Result<Choice, Denial> {
    let query = Query {
        service: &Service::new(ENGINES),
        model: Some(&Model::new("demo")),
        session: Some(1),
        cached: None,
        tokens,
        admitted: build.is_some(),
        priority: 0,
        request_hash: 1,
        max_wait: Duration::from_secs(1),
        build,
        connected: None,
        tried: &[],
    };
    fleet.choose(now, &configuration(), &query)
}

/// Load pattern: most engines have the new build, and the streams of the old one all go to the few that are
/// left of it.
#[test]
fn streams_stay_at_their_build_whatever_its_load() {
    let mut fleet = fleet(0);
    for index in 0..8 {
        fleet.upsert(at(0), with_build(index, if index < 2 { "v1" } else { "v2" }));
    }
    let old = Build::new("v1");
    for _ in 0..200 {
        assert_eq!(choose(&mut fleet, at(10), Some(&old)).unwrap().build, old);
    }
    fleet.upsert(at(20), UpstreamRow { draining: true, ..with_build(0, "v1") });
    assert_eq!(choose(&mut fleet, at(30), Some(&old)).unwrap().id.as_str(), "engine1");
    fleet.remove(at(0), &Upstream::new("engine1"));
    assert_eq!(choose(&mut fleet, at(40), Some(&old)), Err(Denial::OtherBuilds));
    assert!(choose(&mut fleet, at(40), None).is_ok());
    // Engines that are listed count also while no rows come.
    fleet.remove(at(0), &Upstream::new("engine0"));
    fleet.purge(at(60_000));
    assert_eq!(fleet.builds.only(at(60_000), &Service::new(ENGINES)), Some(&Build::new("v2")));
}

/// Load pattern: all hosts have started at once, new requests have filled the engines of both builds, and
/// callers resume the streams of one of them.
#[test]
fn streams_of_one_of_several_builds_find_engines_that_are_full_for_others() {
    let mut admitted = Vec::new();
    for names in [["v1", "v1"], ["v1", "v2"]] {
        let mut fleet = fleet(0);
        for (index, name) in names.into_iter().enumerate() {
            fleet.upsert(at(0), with_build(index as u64, name));
        }
        let engine = configuration().services[&Service::new(ENGINES)].engine.clone().unwrap();
        let tokens = u32::try_from(engine.cache_tokens / 10).unwrap();
        let build = Build::new("v1");
        let mut send = || choose_tokens(&mut fleet, at(10), Some(&build), tokens);
        admitted.push((0..200).take_while(|_| send().is_ok()).count());
        assert!(matches!(send(), Err(Denial::Full(_))));
    }
    // Two engines of the same build take less each than one that is the only one of its build.
    assert!(admitted[1] > admitted[0], "{admitted:?}");
}

proptest! {
    /// Hosts that record, tell, lose single messages and forget never differ about a stream.
    #[test]
    fn hosts_agree_on_each_stream(
        steps in prop::collection::vec((0_usize..3, 0_u64..12, 0_usize..2, any::<bool>()), 1..60),
    ) {
        let mut hosts = [Origins::default(), Origins::default(), Origins::default()];
        let mut began: HashMap<u64, usize> = HashMap::new();
        let names = ["v1", "v2"];
        for (index, (host, stream, build, lost)) in steps.into_iter().enumerate() {
            let now = at(index as u64 * 50);
            // A stream has one first event.
            if let std::collections::hash_map::Entry::Vacant(entry) = began.entry(stream) {
                entry.insert(build);
                hosts[host].record(now, Attempt(stream), &place(names[build]), Source::Own);
            }
            for news in hosts[host].take_news(|_| true) {
                for other in (0..3).filter(|it| *it != host && !(lost && it % 2 == 0)) {
                    for attempt in &news.attempts {
                        let place = place(&news.build);
                        hosts[other].record(now, Attempt(*attempt), &place, Source::Told);
                    }
                }
            }
        }
        for (stream, build) in began {
            for known in hosts.iter().filter_map(|it| it.place(Attempt(stream))) {
                prop_assert_eq!(known, &place(names[build]));
            }
        }
    }
}

/// Guards against hosts of an earlier program that cannot ask this one where streams began, or answer it, while a
/// mesh goes over to another program. The bytes are those of 676c687.
#[test]
fn questions_and_answers_of_an_earlier_program_are_read() {
    let question = b"\x0a\x02s1\x11\x07\0\0\0\0\0\0\0";
    let read = peer::OriginQuestion::decode(Bytes::from_static(question)).unwrap();
    assert_eq!((read.service.as_str(), read.attempt, read.reads_rows), ("s1", 7, false));
    let answer = b"\x0a\x02v1\x10\x01\x1a\x02s1\x20\x01";
    let read = peer::OriginAnswer::decode(Bytes::from_static(answer)).unwrap();
    assert_eq!((read.build.as_deref(), read.service.as_deref()), (Some("v1"), Some("s1")));
    assert!(read.mixed && read.knows_builds);
    assert!(!read.has_read_rows, "it knows nothing of the question");
    // A field of a later program, as the new ones are to an earlier one.
    let later = [&answer[..], b"\x78\x01"].concat();
    assert_eq!(peer::OriginAnswer::decode(Bytes::from(later)).unwrap(), read);
}
