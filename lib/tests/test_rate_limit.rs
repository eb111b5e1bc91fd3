//! Tests of limits that upstreams name, as they are read and as hosts keep them together.

use std::{collections::HashMap, ops::Range, time::Duration};

use mothvale_lib::{
    codec::RateLimit,
    fleet::{Denial, UpstreamRow},
    generated::peer,
    obstacle::Obstacle,
    prelude::*,
    rate_limit::{Change, Hosts, Limits, NoRate, Rate, Statement},
    rendezvous,
};
use mothvale_testutils::gateway::{at, choose_engine, engine, fleet};
use proptest::prelude::*;

/// Span in which an upstream counts what it gets.
const SPAN_MS: u64 = 4000;

fn rate(per_second: f64) -> Rate {
    Rate::try_from(per_second).unwrap()
}

fn row() -> UpstreamRow {
    engine("engine0", "hobart")
}

/// What engine 0 says at a time.
fn statement(at_ms: u64, per_second: Option<f64>) -> Statement {
    Statement {
        upstream: row().id,
        incarnation: row().incarnation(),
        rate: per_second.map(rate),
        said_at: at(at_ms),
    }
}

fn host_names(count: usize) -> Vec<Host> {
    (0..count).map(|it| Host::new(format!("host{it}"))).collect()
}

/// Most requests that a named limit allows within [`SPAN_MS`].
fn max_in_span(per_second: f64) -> usize {
    (per_second * 1.5 * SPAN_MS as f64 / 1000.0 + 5.0) as usize
}

/// Returns the most of `times` that lie within one [`SPAN_MS`].
fn most_in_span(times: &[u64]) -> usize {
    let in_span =
        |from: &u64| times.iter().filter(|it| (*from..from + SPAN_MS).contains(it)).count();
    times.iter().map(in_span).max().unwrap_or_default()
}

/// A host with its own list of hosts, which records what an upstream says.
struct Member {
    me: Host,
    all: Vec<Host>,
    limits: Limits,
}

impl Member {
    fn all_of(hosts: &[Host]) -> Vec<Member> {
        let member =
            |me: &Host| Member { me: me.clone(), all: hosts.to_vec(), limits: Limits::default() };
        hosts.iter().map(member).collect()
    }

    fn record(&mut self, now_ms: u64, statement: &Statement) -> Change {
        let hosts = Hosts { me: &self.me, all: &self.all };
        self.limits.record(at(now_ms), statement, hosts)
    }

    /// Records a statement, whatever it changes.
    fn hear(&mut self, now_ms: u64, statement: &Statement) {
        let _ = self.record(now_ms, statement);
    }

    /// Sends a request if the limit lets it through.
    fn send(&mut self, now_ms: u64) -> bool {
        let admitted = self.limits.wait(at(now_ms), &row()).is_none();
        if admitted {
            self.limits.take(at(now_ms), &row());
        }
        admitted
    }
}

/// Lets all members send as often as they may in a span, in turn, and returns when they did. Each request is answered with `answer`, of which the others hear after 60 ms.
fn run(members: &mut [Member], span: Range<u64>, answer: Option<f64>) -> Vec<u64> {
    let (mut times, mut news) = (Vec::new(), Vec::new());
    for now in span.step_by(20) {
        for (_, said) in news.extract_if(.., |it: &mut (u64, Statement)| it.0 + 60 <= now) {
            members.iter_mut().for_each(|it| it.hear(now, &said));
        }
        for member in members.iter_mut() {
            if member.send(now) {
                times.push(now);
                member.record(now, &statement(now, answer));
                news.push((now, statement(now, answer)));
            }
        }
    }
    times
}

#[test]
fn values_that_are_no_rate_say_nothing() {
    let read = |per_second| Rate::try_from(&RateLimit::PerSecond(per_second));
    assert_eq!(read(2.5), Ok(rate(2.5)));
    assert_eq!(read(0.0), Ok(rate(0.0)));
    assert_eq!(read(-0.5), Err(NoRate::Negative));
    assert_eq!(read(f64::INFINITY), Err(NoRate::NotFinite));
    assert_eq!(read(f64::NAN), Err(NoRate::NotFinite));
    assert_eq!(Rate::try_from(&RateLimit::Unreadable("soon".into())), Err(NoRate::Unreadable));
}

#[test]
fn newer_statement_of_a_process_counts() {
    let mut member = Member::all_of(&host_names(1)).remove(0);
    assert_eq!(member.record(10, &statement(10, None)), Change::Nothing);
    assert_eq!(member.record(20, &statement(20, Some(2.5))), Change::Named);
    assert_eq!(member.record(30, &statement(30, Some(2.5))), Change::Nothing);
    assert_eq!(member.record(40, &statement(40, Some(3.0))), Change::Changed(rate(2.5)));
    assert_eq!(member.record(45, &statement(35, None)), Change::Nothing);
    assert_eq!(member.limits.count(), 1);
    assert_eq!(member.record(50, &statement(50, None)), Change::Ended);
    assert_eq!(member.record(55, &statement(45, Some(3.0))), Change::Nothing);
    assert_eq!(member.limits.count(), 0);
    let mut other = statement(60, Some(1.0));
    other.incarnation.start_time_ms += 1;
    assert_eq!(member.record(60, &other), Change::Named);
    assert!(!member.limits.is_limited(&row()));
    assert_eq!(member.limits.limited_since(&row().id, row().incarnation()), None);
    assert_eq!(member.limits.limited_since(&row().id, other.incarnation), Some(at(60)));
}

/// Load pattern: every host of a fleet, small or large, has more requests for a limited upstream than it
/// takes.
#[test]
fn hosts_together_keep_a_limit_and_use_most_of_it() {
    for hosts in [1, 3, 9, 80, 295] {
        for per_second in [0.0, 0.3, 1.0, 2.5, 7.0, 40.0] {
            let mut members = Member::all_of(&host_names(hosts));
            for it in &mut members {
                it.record(0, &statement(0, Some(per_second)));
            }
            let times = run(&mut members, 0..20_000, Some(per_second));
            let most = most_in_span(&times);
            assert!(most <= max_in_span(per_second), "{hosts} hosts, {per_second}: {most}");
            let used = times.len() as f64 / 20.0;
            assert!(used >= 0.8 * per_second, "{hosts} hosts, {per_second}: {used}");
            assert!(!times.is_empty(), "nobody would see the limit end");
        }
    }
}

/// Each host misses one in eight of the others in its list, as while many hosts are started.
#[test]
fn limit_holds_while_hosts_differ_in_their_lists() {
    for per_second in [0.3, 2.5, 7.0] {
        for hosts in [9, 40, 200] {
            let names = host_names(hosts);
            let mut members = Member::all_of(&names);
            for member in &mut members {
                let me = member.me.clone();
                let known = |it: &Host| {
                    let pair = rendezvous::hash_parts(&["known", me.as_str(), it.as_str()]);
                    *it == me || !pair.is_multiple_of(8)
                };
                member.all = names.iter().filter(|it| known(it)).cloned().collect();
                member.record(0, &statement(0, Some(per_second)));
            }
            let most = most_in_span(&run(&mut members, 0..16_000, Some(per_second)));
            assert!(most <= max_in_span(per_second), "{hosts} hosts, {per_second}: {most}");
        }
    }
}

/// The hosts that have shares are gone, so nobody sees an answer. The others try the upstream now and
/// then, one after the other, and all learn that the limit has ended.
#[test]
fn end_of_a_limit_is_found_without_the_hosts_that_have_shares() {
    for hosts in [9, 80] {
        let mut members = Member::all_of(&host_names(hosts));
        for it in &mut members {
            it.record(0, &statement(0, Some(2.5)));
        }
        // Shares are full by then.
        members.retain(|it| it.limits.wait(at(2900), &row()).is_some());
        let times = run(&mut members, 0..30_000, Some(2.5));
        let most = most_in_span(&times);
        assert!(most <= max_in_span(2.5), "{hosts} hosts: {most}");
        assert!(times.len() > 2, "{hosts} hosts: {}", times.len());
        let ended = run(&mut members, 30_000..36_000, None);
        assert!(!ended.is_empty() && members.iter().all(|it| it.limits.count() == 0));
    }
}

/// A limit changes while requests add up, and is named anew after its end.
#[test]
fn lower_limit_and_limit_that_returns_hold_at_once() {
    let mut members = Member::all_of(&host_names(9));
    let mut told = |now, per_second| {
        members.iter_mut().for_each(|it| it.hear(now, &statement(now, per_second)));
        let mut sent = 0;
        for ms in (now..now + SPAN_MS).step_by(20) {
            sent += members.iter_mut().filter_map(|it| it.send(ms).then_some(())).count();
        }
        sent
    };
    assert!((32..=max_in_span(10.0)).contains(&told(0, Some(10.0))));
    assert!((4..=max_in_span(1.5)).contains(&told(10_000, Some(1.5))));
    assert!(told(20_000, None) > 1000);
    assert!((4..=max_in_span(1.5)).contains(&told(30_000, Some(1.5))));
}

/// Hosts date a statement by the time of the message and the age in it, so that it gets younger on its
/// way. Without a bound, they would tell it each other for ever.
#[test]
fn statement_that_hosts_tell_each_other_is_no_longer_news_after_a_while() {
    let mut members = Member::all_of(&host_names(3));
    members[0].record(0, &statement(0, Some(2.5)));
    for now in (0..20_000).step_by(50) {
        for from in 0..members.len() {
            let news = members[from].limits.news(at(now));
            for message in news.iter().map(|it| it.to_message(at(now))) {
                let arrived = now + 15;
                let said = Statement::from_message(at(arrived), &message).unwrap();
                members.iter_mut().for_each(|it| it.hear(arrived, &said));
            }
        }
    }
    assert!(members.iter().all(|it| it.limits.count() == 1));
    assert!(members.iter().all(|it| it.limits.news(at(20_000)).is_empty()));
}

#[test]
fn statement_goes_through_gossip() {
    for per_second in [Some(2.5), None] {
        let sent = statement(1000, per_second);
        let message = sent.to_message(at(1250));
        assert_eq!(message.age_ms, 250);
        assert_eq!(Statement::from_message(at(1250), &message), Ok(sent));
        let unreadable = peer::Limit { address: "nowhere".into(), ..message.clone() };
        assert!(Statement::from_message(at(1250), &unreadable).is_err());
        let unreadable = peer::Limit { per_second: Some(f64::NAN), ..message };
        assert!(Statement::from_message(at(1250), &unreadable).is_err());
    }
}

/// A report and an order fit at once, and later only as often as a part of the limit allows.
#[test]
fn calls_of_the_hosts_own_are_limited_too() {
    let mut fleet = fleet(1);
    assert!(fleet.take_calls(at(0), &row(), 2) && fleet.take_calls(at(0), &row(), 2));
    fleet.record_limit(at(0), &statement(0, Some(2.5)));
    assert!(fleet.take_calls(at(0), &row(), 2));
    assert!(!fleet.take_calls(at(100), &row(), 1));
    let calls = (100..100 + SPAN_MS).filter(|it| fleet.take_calls(at(*it), &row(), 1)).count();
    assert!((2..=3).contains(&calls), "{calls}");
    assert!(fleet.take_calls(at(60_000), &row(), 2));
}

#[test]
fn statements_are_dropped_once_nobody_needs_them() {
    let mut member = Member::all_of(&host_names(1)).remove(0);
    member.record(0, &statement(0, Some(2.5)));
    member.limits.purge(at(3_700_000), |_, it| it == row().incarnation());
    assert_eq!(member.limits.count(), 1);
    member.limits.purge(at(3_700_000), |_, _| false);
    assert_eq!(member.limits.count(), 0);
}

/// Requests go to the other engines, and none is refused.
#[test]
fn requests_beyond_the_limit_go_elsewhere() {
    let mut fleet = fleet(3);
    fleet.record_limit(at(0), &statement(0, Some(2.5)));
    let mut counts: HashMap<_, usize> = HashMap::new();
    for ms in (0..SPAN_MS).step_by(40) {
        *counts
            .entry(choose_engine(&mut fleet, at(ms), ms).unwrap().id.to_string())
            .or_default() += 1;
    }
    let limited = counts["engine0"];
    assert!(limited <= max_in_span(2.5) && limited > 0, "{counts:?}");
    assert_eq!(counts.values().sum::<usize>(), 100);
}

/// The first request of a host that has sent nothing goes through; the callers of further ones are told
/// when the next one may.
#[test]
fn callers_of_a_lone_limited_upstream_are_told_when_to_return() {
    let mut fleet = fleet(1);
    fleet.record_limit(at(0), &statement(0, Some(2.5)));
    assert!(choose_engine(&mut fleet, at(4000), 1).is_ok());
    while choose_engine(&mut fleet, at(4000), 1).is_ok() {}
    let waits: Vec<_> = (0..20)
        .map(|session| match choose_engine(&mut fleet, at(4000), session) {
            Err(Denial::Limited(wait)) => wait,
            other => panic!("{other:?}"),
        })
        .collect();
    let shortest = *waits.iter().min().unwrap();
    assert!(shortest <= Duration::from_millis(600), "{waits:?}");
    assert!(*waits.iter().max().unwrap() > shortest, "they come back one after the other");
    assert!(choose_engine(&mut fleet, at(4000) + Duration::from_millis(400), 1).is_ok());
}

/// A limit that is named while a host connects keeps the request from being sent.
#[test]
fn request_that_was_chosen_before_the_limit_is_not_sent() {
    let mut fleet = fleet(1);
    let (model, choice) = (Model::new("demo"), choose_engine(&mut fleet, at(0), 1).unwrap());
    assert_eq!(fleet.obstacle(at(10), &choice, Some(&model)), None);
    fleet.record_limit(at(20), &statement(20, Some(2.5)));
    assert_eq!(fleet.obstacle(at(30), &choice, Some(&model)), Some(Obstacle::Limited));
    let counted = choose_engine(&mut fleet, at(2000), 1).unwrap();
    assert_eq!(fleet.obstacle(at(2010), &counted, Some(&model)), None);
}

/// A new process has named nothing.
#[test]
fn limit_holds_for_one_process() {
    let mut fleet = fleet(1);
    fleet.record_limit(at(0), &statement(0, Some(0.5)));
    assert!(matches!(choose_engine(&mut fleet, at(10), 1), Err(Denial::Limited(_))));
    fleet.upsert(at(20), UpstreamRow { start_time_ms: 2, ..row() });
    for session in 0..20 {
        assert!(choose_engine(&mut fleet, at(30), session).is_ok());
    }
    // Its row without a start time may be about either process.
    fleet.upsert(at(40), UpstreamRow { start_time_ms: 0, ..row() });
    assert!(matches!(choose_engine(&mut fleet, at(50), 1), Err(Denial::Limited(_))));
}

proptest! {
    /// Whatever order the statements arrive in, the one that was said last is known, if the others are
    /// not closer than what counts as news.
    #[test]
    fn last_statement_is_known_in_any_order(
        said in prop::collection::vec((0_u64..40, prop::option::of(1_u8..4)), 1..20),
        order in any::<u64>(),
    ) {
        let mut said: Vec<_> = said;
        said.sort();
        said.dedup_by_key(|it| it.0);
        let last = *said.last().unwrap();
        let mut shuffled = said.clone();
        shuffled.sort_by_key(|it| rendezvous::mix64(order ^ it.0));
        let mut member = Member::all_of(&host_names(1)).remove(0);
        for (index, (second, per_second)) in shuffled.into_iter().enumerate() {
            let statement = statement(second * 1000, per_second.map(f64::from));
            member.record(50_000 + index as u64, &statement);
        }
        prop_assert_eq!(member.limits.is_limited(&row()), last.1.is_some());
        let expected = last.1.map(|_| at(last.0 * 1000));
        prop_assert_eq!(member.limits.limited_since(&row().id, row().incarnation()), expected);
    }
}
