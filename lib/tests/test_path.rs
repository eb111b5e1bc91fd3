//! End-to-end tests over real sockets: callers, hosts, stand-in engines and services.

use std::time::Duration;

use http::{Method, StatusCode};
use mothvale_lib::{
    generated::wire::{Claim, ClaimState, Transaction, Write},
    name::Host,
    sweep,
};
use mothvale_standin::engine::answer_words;
use mothvale_testutils::{
    caller::{canonical_prompt, chat_body},
    cluster::{caller, eventually, start},
};
use serde_json::json;

/// A long prompt: text of some thousand words from this repository's documentation.
const TEXT: &str = concat!(
    include_str!("../../docs/architecture.md"),
    include_str!("../../docs/protocols.md"),
    include_str!("../../docs/design/core.md"),
);

#[tokio::test(flavor = "multi_thread")]
async fn each_host_answers_a_long_prompt_buffered_and_streamed() {
    assert!(TEXT.split_whitespace().count() > 1000);
    let cluster = start(|it| it.hosts = 3).await;
    let expected = answer_words(&canonical_prompt(TEXT), 300).concat();
    for index in 0..3 {
        let caller = caller(&cluster, index);
        let buffered = caller.chat(TEXT, 300).await;
        assert_eq!(buffered.status, StatusCode::OK);
        assert_eq!(buffered.body["choices"][0]["message"]["content"], json!(expected));
        assert_eq!(buffered.body["usage"]["completion_tokens"], json!(300));
        let streamed = caller.stream(TEXT, 300).await;
        assert_eq!(streamed.text, expected);
        assert_eq!(streamed.tokens, Some(300));
        assert_eq!(streamed.finish.as_deref(), Some("length"));
        assert!(streamed.done && !streamed.broken && streamed.error.is_none());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_prompt_hits_the_cache_of_its_workspace_only() {
    let cluster = start(|it| it.hosts = 2).await;
    let first = caller(&cluster, 0).chat(TEXT, 2).await;
    assert_eq!(first.body["usage"]["prompt_tokens_details"]["cached_tokens"], json!(0));
    // What both hosts know of the engines decides which one they rank first.
    let known = |index: usize| {
        let view = cluster.hosts[index].shared().view.load();
        let states = view.upstreams.iter().map(|it| (it.entry.name.to_string(), it.state));
        (view.version, states.collect::<Vec<_>>())
    };
    let before = [known(0), known(1)];
    let again = caller(&cluster, 1).chat(TEXT, 2).await;
    let cached = &again.body["usage"]["prompt_tokens_details"]["cached_tokens"];
    let after = [known(0), known(1)];
    assert!(
        cached.as_u64().unwrap() > 0,
        "both hosts rank the same engine first: {cached}; before {before:?}, after {after:?}"
    );
    let other = caller(&cluster, 1).with_key("dev-kilimani").chat(TEXT, 2).await;
    assert_eq!(other.body["usage"]["prompt_tokens_details"]["cached_tokens"], json!(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_completion_gets_a_text_completion_object() {
    let cluster = start(|_| {}).await;
    let body = json!({"model": "demo", "prompt": ["free beds:"], "max_tokens": 4});
    let reply = caller(&cluster, 0).post("/v1/completions", &body).await;
    assert_eq!(reply.body["object"], json!("text_completion"));
    assert_eq!(reply.body["choices"][0]["text"], json!(answer_words("free beds:", 4).concat()));
}

#[tokio::test(flavor = "multi_thread")]
async fn models_are_those_of_the_workspace() {
    let cluster = start(|_| {}).await;
    let reply = caller(&cluster, 0).get("/v1/models").await;
    assert_eq!(reply.body["data"][0]["id"], json!("demo"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hold_with_one_key_is_made_once_across_hosts() {
    let cluster = start(|it| it.hosts = 3).await;
    let path = "/v1/services/holds/beds/12";
    let body = json!({"for": "J."});
    for index in 0..3 {
        let reply = caller(&cluster, index).post_idempotent(path, "key-1", &body).await.unwrap();
        assert_eq!(reply.status, StatusCode::CREATED);
        assert_eq!(reply.body, json!({"bed": "12", "hold": 1}));
        assert_eq!(reply.header("x-idempotent-replayed").is_some(), index > 0);
    }
    let other =
        caller(&cluster, 1).post_idempotent(path, "key-1", &json!({"for": "K."})).await.unwrap();
    assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(other.error().code, "idempotency_key_reused");
    let look_up = caller(&cluster, 2).get(path).await;
    assert_eq!(look_up.body["holds"].as_array().unwrap().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_are_refused_while_the_table_is_down_and_look_ups_go_on() {
    let cluster = start(|_| {}).await;
    let caller = caller(&cluster, 0);
    let path = "/v1/services/holds/beds/3";
    cluster.standins.table.faults.set_outage(true);
    let refused = caller.post_idempotent(path, "k", &json!({})).await.unwrap();
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.error().run.to_string(), "no");
    assert!(refused.header("retry-after").is_some());
    assert_eq!(caller.get(path).await.body, json!({"holds": []}));
    assert_eq!(caller.chat("hello", 2).await.status, StatusCode::OK);
    cluster.standins.table.faults.set_outage(false);
    let made = caller.post_idempotent(path, "k", &json!({})).await.unwrap();
    assert_eq!(made.status, StatusCode::CREATED);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hold_whose_answer_is_lost_has_an_unknown_outcome_and_never_runs_again() {
    let cluster = start(|_| {}).await;
    let caller = caller(&cluster, 0);
    let path = "/v1/services/holds/beds/4";
    cluster.standins.bookings.faults.set_lost_answers(true);
    let lost = caller.post_idempotent(path, "k", &json!({})).await.unwrap();
    assert_eq!(lost.error().run.to_string(), "unknown");
    cluster.standins.bookings.faults.set_lost_answers(false);
    let again = caller.post_idempotent(path, "k", &json!({})).await.unwrap();
    assert_eq!(again.error().code, "outcome_unknown");
    assert_eq!(cluster.standins.bookings.handler.holds("4").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outcome_is_stored_when_the_table_is_back_after_an_outage() {
    let cluster = start(|_| {}).await;
    let caller = caller(&cluster, 0);
    let (table, bookings) = (&cluster.standins.table, &cluster.standins.bookings);
    let path = "/v1/services/holds/beds/5";
    bookings.faults.set_delay(Duration::from_millis(300));
    let held = tokio::spawn({
        let caller = caller.clone();
        async move { caller.post_idempotent(path, "k", &json!({})).await.unwrap() }
    });
    let state = || {
        let row = table.handler.rows("claims/").pop()?;
        Some(serde_json::from_str::<Claim>(&row.value).unwrap().state)
    };
    eventually("the request is sent", || state() == Some(ClaimState::Sent)).await;
    table.faults.set_outage(true);
    assert_eq!(held.await.unwrap().status, StatusCode::CREATED);
    assert_eq!(state(), Some(ClaimState::Sent));
    table.faults.set_outage(false);
    eventually("the outcome is stored", || state() == Some(ClaimState::Done)).await;
    let again = caller.post_idempotent(path, "k", &json!({})).await.unwrap();
    assert!(again.header("x-idempotent-replayed").is_some());
    assert_eq!(bookings.handler.holds("5").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn claims_are_removed_after_their_retention_and_not_before() {
    let cluster = start(|it| it.claim_retention = Duration::from_millis(1)).await;
    let caller = caller(&cluster, 0);
    let shared = cluster.hosts[0].shared().clone();
    let path = "/v1/services/holds/beds/9";
    let table = &cluster.standins.table.handler;
    for key in ["k1", "k2", "k3"] {
        caller.post_idempotent(path, key, &json!({})).await.unwrap();
    }
    let row = table.rows("claims/").pop().unwrap();
    let mut claim: Claim = serde_json::from_str(&row.value).unwrap();
    claim.until_ms += 3_600_000;
    let value = Some(serde_json::to_string(&claim).unwrap());
    let write = Write { key: row.key.clone(), version: row.version, value };
    assert!(table.commit(Transaction { writes: vec![write] }).committed);
    tokio::time::sleep(Duration::from_millis(5)).await;
    let mut removed = 0;
    for bucket in 0..sweep::BUCKETS {
        removed += sweep::sweep(&shared, bucket).await.unwrap();
    }
    assert_eq!(removed, 2);
    let left: Vec<_> = table.rows("claims/").into_iter().map(|it| it.key).collect();
    assert_eq!(left, [row.key]);
}

#[test]
fn each_claim_bucket_is_owned_by_exactly_one_host() {
    let hosts: Vec<_> = (0..9).map(|it| Host::new(format!("host{it}"))).collect();
    for bucket in 0..sweep::BUCKETS {
        let first = hosts.iter().filter(|me| {
            let others: Vec<_> = hosts.iter().filter(|it| it != me).cloned().collect();
            sweep::owns_bucket(bucket, me, &others)
        });
        assert_eq!(first.count(), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn any_host_returns_the_record_of_a_request() {
    let cluster = start(|it| it.hosts = 3).await;
    let shared = cluster.hosts[0].shared().clone();
    eventually("all engines have reported", || {
        let view = shared.view.load();
        view.upstreams.iter().filter(|it| !it.confirmed_models.is_empty()).count() == 4
    })
    .await;
    let reply = caller(&cluster, 0).chat("why", 2).await;
    let id = reply.header("x-request-id").unwrap().to_owned();
    for host in &cluster.hosts {
        let admin = mothvale_testutils::caller::Caller::new(host.admin_address());
        let record = admin.get(&format!("/admin/v1/records/{id}")).await;
        assert_eq!(record.status, StatusCode::OK);
        assert_eq!(record.body["outcome"], json!("ok"));
        assert_eq!(record.body["attempts"][0]["candidates"].as_array().unwrap().len(), 4);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_run_is_cancelled_when_its_caller_disconnects() {
    let cluster = start(|it| it.engine.token_time = Duration::from_millis(50)).await;
    let caller = caller(&cluster, 0);
    let streaming = tokio::spawn({
        let caller = caller.clone();
        async move { caller.stream("going on", 1000).await }
    });
    let runs = || cluster.standins.engines.iter().map(|it| it.handler.run_counts());
    eventually("a run starts", || runs().any(|it| it.0 > 0)).await;
    streaming.abort();
    eventually("the run is cancelled", || runs().any(|it| it.1 > 0)).await;
    let shared = cluster.hosts[0].shared().clone();
    eventually("nothing is in flight", || {
        shared.workspaces.total() == 0 && (0..4).all(|it| shared.counters.get(it) == 0)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_completes_all_streams() {
    let cluster = start(|it| {
        it.hosts = 2;
        it.engine.token_time = Duration::from_millis(5);
    })
    .await;
    let caller = caller(&cluster, 0);
    let streams = (0..20).map(|index| {
        let caller = caller.clone();
        tokio::spawn(async move { caller.stream(&format!("stream {index}"), 100).await })
    });
    let streams: Vec<_> = streams.collect();
    let runs = || cluster.standins.engines.iter().map(|it| it.handler.run_counts().0).sum::<u64>();
    eventually("all runs start", || runs() == 20).await;
    assert!(cluster.shut_down().await);
    for stream in streams {
        let streamed = stream.await.unwrap();
        assert!(streamed.done, "{streamed:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn readiness_fails_before_the_listener_closes() {
    let cluster = start(|it| it.limits = vec!["drain_delay: 3s".into()]).await;
    let admin = mothvale_testutils::caller::Caller::new(cluster.hosts[0].admin_address());
    assert_eq!(admin.get("/readyz").await.status, StatusCode::OK);
    assert_eq!(admin.get("/healthz").await.status, StatusCode::OK);
    let shared = cluster.hosts[0].shared().clone();
    let caller = caller(&cluster, 0);
    let stopping = tokio::spawn(cluster.shut_down());
    eventually("the host drains", || shared.is_draining()).await;
    let ready = admin.get("/readyz").await;
    assert_eq!(ready.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(ready.body, json!({"message": "shutting down"}));
    let served = caller.post("/v1/chat/completions", &chat_body("late", 2, false)).await;
    assert_eq!(served.status, StatusCode::OK);
    assert!(stopping.await.unwrap());
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_tokens_and_outcomes() {
    let cluster = start(|_| {}).await;
    caller(&cluster, 0).chat("count me", 5).await;
    let shared = cluster.hosts[0].shared().clone();
    eventually("the request has ended", || shared.metrics.tokens.get() == 5).await;
    let text = cluster.hosts[0].shared().metrics.text();
    assert!(text.contains("mothvale_tokens_total 5"), "{text}");
    assert!(text.contains("mothvale_requests_total{outcome=\"ok\"} 1"), "{text}");
    assert!(text.contains("mothvale_broken_invariants_total{invariant=\"sent_once\"} 0"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_path_or_method_is_refused() {
    let cluster = start(|_| {}).await;
    let caller = caller(&cluster, 0);
    let admin = mothvale_testutils::caller::Caller::new(cluster.hosts[0].admin_address());
    assert_eq!(admin.get("/nothing").await.status, StatusCode::NOT_FOUND);
    let delete = caller.call(Method::DELETE, "/v1/models");
    assert_eq!(caller.send(delete).await.unwrap().error().code, "method_not_allowed");
}
