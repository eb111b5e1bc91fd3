//! Tests of engine faults: whatever happens during a stream, the caller gets the complete answer or
//! an error. Also tests limits on runs at engines that are cold, down or still cancelling.

use std::time::Duration;

use mothvale_lib::view::State;
use mothvale_standin::{
    dev::Cluster,
    engine::{StreamFaults, answer_words},
};
use mothvale_testutils::{
    caller::{StreamedReply, canonical_prompt},
    cluster::{caller, eventually, start},
};

const TOKENS: u32 = 20;

async fn stream_with_faults(faults: StreamFaults, http2: bool) -> (Cluster, StreamedReply) {
    let cluster = start(|it| it.http2 = http2).await;
    cluster.standins.engines.iter().for_each(|it| it.handler.set_faults(faults));
    let streamed = caller(&cluster, 0).stream("whole", TOKENS).await;
    (cluster, streamed)
}

fn assert_complete(streamed: &StreamedReply) {
    assert_eq!(
        streamed.text,
        answer_words(&canonical_prompt("whole"), TOKENS).concat(),
        "{streamed:?}"
    );
    assert!(streamed.done && streamed.error.is_none() && !streamed.broken);
    assert_eq!(streamed.tokens, Some(TOKENS));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_is_resumed_at_its_engine() {
    for http2 in [false, true] {
        let faults = StreamFaults { break_after: Some(7), ..StreamFaults::default() };
        let (cluster, streamed) = stream_with_faults(faults, http2).await;
        assert_complete(&streamed);
        let runs: u64 = cluster.standins.engines.iter().map(|it| it.handler.run_counts().0).sum();
        assert_eq!(runs, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_run_that_its_engine_forgot_is_continued_elsewhere() {
    let faults = StreamFaults { break_after: Some(7), drop_runs: true, ..StreamFaults::default() };
    let (cluster, streamed) = stream_with_faults(faults, true).await;
    // Each engine breaks its run once, after seven more frames, so the answer takes three runs.
    assert_complete(&streamed);
    let runs: u64 = cluster.standins.engines.iter().map(|it| it.handler.run_counts().0).sum();
    assert_eq!(runs, 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frame_that_comes_twice_is_delivered_once() {
    let faults = StreamFaults { repeat: Some(4), ..StreamFaults::default() };
    let (cluster, streamed) = stream_with_faults(faults, true).await;
    assert_complete(&streamed);
    let text = cluster.hosts[0].shared().metrics.text();
    assert!(text.contains("mothvale_dropped_frames_total{reason=\"late\"} 1"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_missing_frame_is_requested_again() {
    let faults = StreamFaults { skip: Some(4), ..StreamFaults::default() };
    let (_cluster, streamed) = stream_with_faults(faults, true).await;
    assert_complete(&streamed);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frame_of_another_run_is_dropped_and_its_engine_is_suspended() {
    let faults = StreamFaults { foreign_before: Some(4), ..StreamFaults::default() };
    let (cluster, streamed) = stream_with_faults(faults, true).await;
    assert_complete(&streamed);
    let shared = cluster.hosts[0].shared().clone();
    eventually("the engine is suspended", || {
        shared.view.load().upstreams.iter().filter(|it| it.state == State::Suspended).count() == 1
    })
    .await;
    cluster.standins.engines.iter().for_each(|it| it.handler.set_faults(StreamFaults::default()));
    for _ in 0..10 {
        assert!(caller(&cluster, 0).stream("whole", TOKENS).await.done);
    }
    let engines = cluster.standins.engines.iter().map(|it| it.handler.run_counts().0);
    let upstreams = shared.view.load().upstreams.clone();
    for (upstream, runs) in upstreams.iter().zip(engines) {
        assert!(upstream.state != State::Suspended || runs == 1, "{upstream:?} has {runs} runs");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_no_engine_can_finish_ends_in_a_visible_error() {
    let faults = StreamFaults { break_after: Some(1), drop_runs: true, ..StreamFaults::default() };
    let (cluster, streamed) = stream_with_faults(faults, true).await;
    assert!(!streamed.done);
    let shared = cluster.hosts[0].shared().clone();
    let counted = |outcome| shared.metrics.requests.with_label_values(&[outcome]).get();
    eventually("the outcome is counted once", || counted("upstream_failed") == 1).await;
    assert_eq!(counted("ok"), 0);
    let error = streamed.error.unwrap();
    assert_eq!(error.code, "upstream_failed");
    assert_eq!(error.run.to_string(), "unknown");
    let whole = answer_words(&canonical_prompt("whole"), TOKENS).concat();
    assert!(whole.starts_with(&streamed.text) && !streamed.text.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_refused_as_not_run_while_all_engines_are_down() {
    let cluster = start(|_| {}).await;
    let shared = cluster.hosts[0].shared().clone();
    cluster.standins.engines.iter().for_each(|it| it.faults.set_outage(true));
    eventually("all engines are down", || {
        shared.view.load().upstreams.iter().all(|it| it.state == State::Down)
    })
    .await;
    let refused = caller(&cluster, 0).chat("anyone", 2).await;
    assert_eq!(refused.error().code, "no_upstream");
    assert_eq!(refused.error().run.to_string(), "no");
    assert!(refused.header("retry-after").is_some());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_run_counts_as_in_flight_until_its_engine_has_cancelled_it() {
    let cluster = start(|it| {
        it.engines = 1;
        it.engine.token_time = Duration::from_millis(50);
    })
    .await;
    let shared = cluster.hosts[0].shared().clone();
    let engine = &cluster.standins.engines[0];
    let caller = caller(&cluster, 0);
    let streaming = tokio::spawn(async move { caller.stream("left", 1000).await });
    eventually("the run starts", || engine.handler.run_counts().0 == 1).await;
    engine.faults.set_outage(true);
    streaming.abort();
    eventually("the request is gone", || shared.workspaces.total() == 0).await;
    assert_eq!((shared.counters.get(0), engine.handler.run_counts().1), (1, 0));
    engine.faults.set_outage(false);
    eventually("the run is cancelled", || engine.handler.run_counts().1 == 1).await;
    eventually("nothing is in flight", || shared.counters.get(0) == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_engine_gets_no_more_than_its_share_while_cold() {
    let cluster = start(|it| {
        it.engines = 1;
        it.engine.token_time = Duration::from_millis(40);
    })
    .await;
    let shared = cluster.hosts[0].shared().clone();
    cluster.standins.engines[0].handler.restart();
    eventually("the engine is known to be cold", || {
        shared.view.load().upstreams[0].state == State::Cold
    })
    .await;
    let calls = (0..10).map(|index| {
        let caller = caller(&cluster, 0);
        tokio::spawn(async move { caller.chat(&format!("call {index}"), 20).await })
    });
    let mut refused = 0;
    for call in calls.collect::<Vec<_>>() {
        let reply = call.await.unwrap();
        if !reply.status.is_success() {
            assert_eq!(reply.error().code, "overloaded");
            assert_eq!(reply.error().run.to_string(), "no");
            refused += 1;
        }
    }
    assert_eq!(refused, 8);
    cluster.standins.engines[0].handler.set_cold(false);
    eventually("the engine is warm", || shared.view.load().upstreams[0].state == State::Warm).await;
    assert!(caller(&cluster, 0).chat("warm", 2).await.status.is_success());
}
