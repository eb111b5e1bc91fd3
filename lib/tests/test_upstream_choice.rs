//! Tests of `mothvale serve`: the choice of an upstream for a run, and the retry budgets.

use std::{sync::Arc, time::Duration};

use mothvale_lib::{
    clock::Instant,
    engine::Endpoint,
    error::Kind,
    inflight::Counters,
    name::{Model, Service, Upstream as UpstreamId, Workspace, Zone},
    retry::{Budgets, Scope},
    settings::UpstreamEntry,
    upstream_choice::{Pick, Query, pick},
    view::{LoadReport, State, UpstreamView, View},
};
use mothvale_testutils::init;

fn upstream(index: usize, state: State) -> UpstreamView {
    let entry = UpstreamEntry {
        name: UpstreamId::new(format!("engine{index}")),
        zone: Zone::new(if index.is_multiple_of(2) { "hobart" } else { "burnie" }),
        endpoint: Endpoint { address: "127.0.0.1:1".parse().unwrap(), http2: false },
        models: vec![Model::new("demo")],
        cold_limit: 2,
    };
    let report = LoadReport { slots: 4, ..LoadReport::default() };
    let confirmed_models = [Model::new("demo")].into_iter().collect();
    UpstreamView {
        entry: Arc::new(entry),
        state,
        report,
        boot_id: "a".into(),
        confirmed_models,
        cold_share: 2,
    }
}

fn view(states: &[State]) -> View {
    let upstreams = states.iter().enumerate().map(|(at, it)| Arc::new(upstream(at, *it)));
    View { version: 1, upstreams: upstreams.collect(), draining: false }
}

/// The parameters of a run for which an upstream is chosen.
struct Run {
    model: Model,
    zone: Zone,
    prefix_key: u64,
    tokens: u32,
}

impl Run {
    fn new() -> Self {
        init();
        Run { model: Model::new("demo"), zone: Zone::new("hobart"), prefix_key: 1, tokens: 0 }
    }

    fn pick(&self, view: &View, counters: &Counters, tried: &[usize]) -> Result<Pick, Kind> {
        let query = Query {
            model: &self.model,
            prefix_key: self.prefix_key,
            prompt_tokens: self.tokens,
            tried,
            zone: &self.zone,
        };
        pick(view, counters, &query, Instant::default()).map_err(|err| err.kind)
    }
}

#[test]
fn upstreams_that_are_down_suspended_or_without_the_model_get_nothing() {
    let mut view = view(&[State::Down, State::Suspended, State::Warm]);
    let counters = Counters::new(3);
    assert_eq!(Run::new().pick(&view, &counters, &[]).unwrap().index, 2);
    assert_eq!(Run::new().pick(&view, &counters, &[2]).unwrap_err(), Kind::NoUpstream);
    Arc::make_mut(&mut view.upstreams[2]).confirmed_models.clear();
    assert_eq!(Run::new().pick(&view, &counters, &[]).unwrap_err(), Kind::NoUpstream);
}

#[test]
fn a_cold_or_unknown_upstream_gets_its_share_and_no_more() {
    for state in [State::Cold, State::Unknown] {
        let view = view(&[state]);
        let counters = Counters::new(1);
        let held: Vec<_> =
            (0..2).map(|_| Run::new().pick(&view, &counters, &[]).unwrap()).collect();
        assert_eq!(Run::new().pick(&view, &counters, &[]).unwrap_err(), Kind::Overloaded);
        drop(held);
        assert_eq!(counters.get(0), 0);
        assert!(Run::new().pick(&view, &counters, &[]).is_ok());
    }
}

#[test]
fn runs_from_before_it_turned_cold_count_against_the_share() {
    let counters = Counters::new(1);
    let warm = view(&[State::Warm]);
    let _held: Vec<_> = (0..3).map(|_| Run::new().pick(&warm, &counters, &[]).unwrap()).collect();
    let cold = view(&[State::Cold]);
    assert_eq!(Run::new().pick(&cold, &counters, &[]).unwrap_err(), Kind::Overloaded);
}

#[test]
fn a_full_upstream_takes_slots_and_a_bounded_queue() {
    let view = view(&[State::Warm]);
    let counters = Counters::new(1);
    let mut held = Vec::new();
    while let Ok(pick) = Run::new().pick(&view, &counters, &[]) {
        held.push(pick);
        assert!(held.len() < 100);
    }
    assert_eq!(held.len(), 12, "four slots and two waiting for each");
}

#[test]
fn a_long_prompt_stays_with_its_upstream_until_waiting_costs_more() {
    let view = view(&[State::Warm; 6]);
    let counters = Counters::new(6);
    let run = Run { tokens: 8000, ..Run::new() };
    let first = run.pick(&view, &counters, &[]).unwrap();
    let again = run.pick(&view, &counters, &[]).unwrap();
    assert_eq!(first.index, again.index);
    let busy: Vec<_> = (0..4).map(|_| counters.reserve(first.index, 100)).collect();
    assert_ne!(run.pick(&view, &counters, &[]).unwrap().index, first.index);
    drop(busy);
    let runs = (0..200).map(|prefix_key| Run { prefix_key, tokens: 8000, ..Run::new() });
    let mut counts = [0; 6];
    runs.for_each(|it| counts[it.pick(&view, &counters, &[]).unwrap().index] += 1);
    assert!(counts.iter().all(|it| (15..60).contains(it)), "{counts:?}");
}

#[test]
fn an_old_report_counts_less() {
    let mut view = view(&[State::Warm, State::Warm]);
    let report = LoadReport { slots: 4, running: 4, waiting: 4, ..LoadReport::default() };
    Arc::make_mut(&mut view.upstreams[0]).report = report;
    let costs = |age| {
        let run = Run::new();
        let query = Query {
            model: &run.model,
            prefix_key: 1,
            prompt_tokens: 0,
            tried: &[],
            zone: &run.zone,
        };
        let now = Instant::default() + Duration::from_secs(age);
        let pick = pick(&view, &Counters::new(2), &query, now).unwrap();
        pick.candidates.iter().find(|it| it.upstream == "engine0").unwrap().cost_ms
    };
    assert!(costs(0) > 2 * costs(30), "{} {}", costs(0), costs(30));
}

#[test]
fn retries_stay_under_a_fifth_of_the_requests_whatever_fails() {
    let budgets = Budgets::default();
    let scopes = [Scope::Model(Model::new("demo")), Scope::Service(Service::new("holds"))];
    for scope in &scopes {
        let (mut sent, requests) = (0, 1000);
        for number in 0..requests {
            let workspace = Workspace::new(format!("w{}", number % 50));
            budgets.deposit(&workspace, scope);
            sent += 1;
            while budgets.try_withdraw(&workspace, scope) {
                sent += 1;
            }
        }
        assert!(sent * 10 <= requests * 12, "{sent} attempts for {requests} requests");
    }
}

#[test]
fn one_workspace_cannot_take_all_retries() {
    let budgets = Budgets::default();
    let scope = Scope::Model(Model::new("demo"));
    let (large, small) = (Workspace::new("large"), Workspace::new("small"));
    for _ in 0..5 {
        assert!(budgets.try_withdraw(&large, &scope));
    }
    assert!(budgets.try_withdraw(&small, &scope));
}
