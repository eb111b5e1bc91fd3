//! Tests that invalid requests are refused with the status and code of their error kind, and that
//! nothing of them runs or stays counted.

use std::{net::SocketAddr, time::Duration};

use http::{HeaderName, Method};
use mothvale_lib::{
    error::{Error, Kind, RunStatus},
    generated::openai::ErrorObject,
};
use mothvale_standin::dev::Cluster;
use mothvale_testutils::{
    caller::{Reply, chat_body},
    cluster::{caller, eventually, start},
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

#[test]
fn the_table_of_error_kinds_is_complete() {
    let rows = Kind::ALL.iter().map(|kind| {
        let it = kind.descriptor();
        let run = if it.run == RunStatus::NotRun { "no" } else { "unknown" };
        let retry = if it.has_retry_after { " retry-after" } else { "" };
        format!("{kind:?}: {} {} {} run={run}{retry}", it.status, it.error_type, it.code)
    });
    insta::assert_snapshot!(rows.collect::<Vec<_>>().join("\n"), @r"
    NotFound: 404 invalid_request_error not_found run=no
    MethodNotAllowed: 405 invalid_request_error method_not_allowed run=no
    HeaderTooLarge: 431 invalid_request_error header_too_large run=no
    BodyTooLarge: 413 invalid_request_error body_too_large run=no
    BodyStalled: 408 invalid_request_error body_stalled run=no
    BodyBroken: 400 invalid_request_error body_broken run=no
    BadJson: 400 invalid_request_error bad_json run=no
    BadValue: 400 invalid_request_error bad_value run=no
    KeyMissing: 401 authentication_error key_missing run=no
    KeyUnknown: 401 authentication_error invalid_api_key run=no
    ModelUnknown: 404 invalid_request_error model_not_found run=no
    ModelForbidden: 404 invalid_request_error model_not_found run=no
    ServiceUnknown: 404 invalid_request_error service_not_found run=no
    WorkspaceBusy: 429 rate_limit_error workspace_busy run=no retry-after
    Overloaded: 503 server_error overloaded run=no retry-after
    NoUpstream: 503 server_error no_upstream run=no retry-after
    Unreachable: 503 server_error upstreams_unreachable run=no retry-after
    StreamLost: 503 server_error stream_lost run=no retry-after
    ShuttingDown: 503 server_error shutting_down run=no retry-after
    UpstreamFailed: 502 server_error upstream_failed run=unknown retry-after
    UpstreamInvalid: 502 server_error upstream_invalid run=unknown retry-after
    TimedOut: 504 server_error timed_out run=unknown retry-after
    IdempotencyKeyMissing: 400 invalid_request_error idempotency_key_missing run=no
    IdempotencyKeyReused: 422 invalid_request_error idempotency_key_reused run=no
    InProgress: 409 invalid_request_error in_progress run=unknown retry-after
    TableUnavailable: 503 server_error table_unavailable run=no retry-after
    RouteUnknown: 404 invalid_request_error route_not_found run=no
    NotConfigured: 503 server_error not_configured run=no retry-after
    Quarantined: 503 server_error quarantined run=no retry-after
    NotRun: 503 server_error not_run run=no retry-after
    OutcomeUnknown: 502 server_error outcome_unknown run=unknown
    Internal: 500 server_error internal run=unknown
    ");
}

#[test]
fn retry_after_is_rounded_up_and_only_set_for_retryable_kinds() {
    let after =
        |kind| Error::new(kind, "").with_retry_after(Duration::from_millis(1200)).retry_seconds();
    assert_eq!(after(Kind::Overloaded), Some(2));
    assert_eq!(after(Kind::BadJson), None);
}

/// Starts a cluster with small limits.
async fn start_with_small_limits() -> Cluster {
    start(|it| {
        let limits = ["body: 2KiB", "header: 1KiB", "body_stall: 200ms", "reader_stall: 200ms"];
        it.limits.extend(limits.map(String::from));
    })
    .await
}

/// Asserts that an error has this code and field, says that nothing ran, and has a request id of
/// this host.
fn assert_refused(error: &ErrorObject, code: &str, param: Option<&str>) {
    assert_eq!((error.code.as_str(), error.param.as_deref()), (code, param), "{error:?}");
    assert_eq!(error.run.to_string(), "no");
    assert!(error.request_id.starts_with("host0-"));
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_with_their_code() {
    let cluster = start_with_small_limits().await;
    let caller = caller(&cluster, 0);
    let chat = "/v1/chat/completions";
    let chat_with = |field: &str, value: Value| {
        let mut body = chat_body("x", 2, false);
        body[field] = value;
        body
    };
    let cases = [
        (chat, json!("text"), "bad_json", None),
        (chat, json!({"model": "demo"}), "bad_json", None),
        (chat, chat_with("model", json!("other")), "model_not_found", Some("model")),
        (chat, chat_with("messages", json!([])), "bad_value", Some("messages")),
        (chat, chat_with("messages", json!([{"role": "boss"}])), "bad_value", Some("messages")),
        (chat, chat_with("n", json!(2)), "bad_value", Some("n")),
        (chat, chat_with("max_tokens", json!(0)), "bad_value", Some("max_tokens")),
        (chat, chat_with("max_tokens", json!(1_000_000)), "bad_value", Some("max_tokens")),
        (chat, chat_with("temperature", json!(9)), "bad_value", Some("temperature")),
        (chat, chat_with("top_p", json!(2)), "bad_value", Some("top_p")),
        (chat, json!({"pad": "x".repeat(3000)}), "body_too_large", None),
        ("/v1/completions", json!({"model": "demo", "prompt": []}), "bad_value", Some("prompt")),
        ("/v1/nothing", json!({}), "not_found", None),
        ("/v1/models", json!({}), "method_not_allowed", None),
        ("/v1/services/vans/1", json!({}), "service_not_found", None),
        ("/v1/services/holds/beds/1", json!({}), "idempotency_key_missing", None),
    ];
    for (path, body, code, param) in cases {
        let reply = caller.post(path, &body).await;
        assert_refused(&reply.error(), code, param);
        assert_eq!(reply.header("x-request-id"), Some(reply.error().request_id.as_str()));
    }
    let runs = cluster.standins.engines.iter().map(|it| it.handler.run_counts().0);
    assert_eq!(runs.sum::<u64>(), 0);
    assert!(cluster.standins.bookings.handler.holds("1").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_headers_and_json_are_checked() {
    let cluster = start_with_small_limits().await;
    let caller = caller(&cluster, 0);
    let wrong = caller.clone().with_key("dev-nobody").chat("x", 2).await;
    assert_refused(&wrong.error(), "invalid_api_key", None);
    let mut call = caller.call(Method::GET, "/v1/models");
    call.headers.clear();
    assert_refused(&caller.send(call).await.unwrap().error(), "key_missing", None);
    let mut call = caller.call(Method::GET, "/v1/models");
    call.headers.insert(HeaderName::from_static("x-pad"), "y".repeat(2000).parse().unwrap());
    assert_refused(&caller.send(call).await.unwrap().error(), "header_too_large", None);
    let mut call = caller.call(Method::POST, "/v1/completions");
    call.body = b"{\"model\": ".to_vec().into();
    assert_refused(&caller.send(call).await.unwrap().error(), "bad_json", None);
    let long =
        caller.post_idempotent("/v1/services/holds/beds/1", &"k".repeat(300), &json!({})).await;
    assert_refused(&long.unwrap().error(), "idempotency_key_missing", None);
}

/// Sends headers that announce a body of 100 bytes, and only the first 9 bytes of it.
async fn send_partial_body(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer dev-bedline\r\n\
                content-length: 100\r\n\r\n{\"model\":";
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Reads a response until its body is complete JSON.
async fn read_reply(stream: &mut TcpStream) -> Reply {
    let mut text = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).await.unwrap();
        text.extend_from_slice(&buffer[..count]);
        let response = String::from_utf8_lossy(&text).into_owned();
        let body = response.split_once("\r\n\r\n").map(|(_, body)| body.to_owned());
        if let Some(body) = body.and_then(|it| serde_json::from_str(&it).ok()) {
            let status = response[9..12].parse().unwrap();
            return Reply { status, headers: Default::default(), body };
        }
        assert!(count > 0, "incomplete response: {response}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_body_is_refused() {
    let cluster = start_with_small_limits().await;
    let mut stream = send_partial_body(cluster.hosts[0].public_address()).await;
    let reply = read_reply(&mut stream).await;
    assert_eq!(reply.status.as_u16(), 408);
    assert_refused(&reply.error(), "body_stalled", None);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_ends_early_is_no_longer_counted() {
    let cluster = start_with_small_limits().await;
    let shared = cluster.hosts[0].shared().clone();
    let stream = send_partial_body(cluster.hosts[0].public_address()).await;
    eventually("the request has come", || shared.workspaces.total() == 1).await;
    drop(stream);
    eventually("the request is gone", || shared.workspaces.total() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_reader_is_disconnected_and_its_run_cancelled() {
    let cluster = start(|it| {
        it.limits.push("reader_stall: 200ms".into());
        it.engine.token_time = Duration::from_micros(10);
    })
    .await;
    let mut stream = TcpStream::connect(cluster.hosts[0].public_address()).await.unwrap();
    let body = chat_body("much", 4096, true).to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n\
         authorization: Bearer dev-bedline\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    // With a small receive buffer, 4096 tokens do not fit into the buffers of the two sockets.
    let socket = socket2::SockRef::from(&stream);
    socket.set_recv_buffer_size(4096).unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    let runs = || cluster.standins.engines.iter().map(|it| it.handler.run_counts());
    eventually("the run is cancelled", || runs().any(|it| it.1 > 0)).await;
    let shared = cluster.hosts[0].shared().clone();
    eventually("nothing is in flight", || shared.workspaces.total() == 0).await;
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
    assert!(!String::from_utf8_lossy(&rest).contains("[DONE]"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_workspace_at_its_limit_is_refused_with_retry_after() {
    let cluster = start(|it| it.engine.token_time = Duration::from_millis(20)).await;
    let shared = cluster.hosts[0].shared().clone();
    let limit = shared.settings.catalog.workspaces["bedline"].max_in_flight;
    let name = mothvale_lib::name::Workspace::new("bedline");
    let permits: Vec<_> = (0..limit).map(|_| shared.workspaces.try_acquire(&name, limit)).collect();
    let refused = caller(&cluster, 0).chat("x", 2).await;
    assert_refused(&refused.error(), "workspace_busy", None);
    assert_eq!(refused.header("retry-after"), Some("1"));
    let other = caller(&cluster, 0).with_key("dev-kilimani").chat("x", 2).await;
    assert!(other.status.is_success());
    drop(permits);
    assert!(caller(&cluster, 0).chat("x", 2).await.status.is_success());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_on_an_open_connection_is_refused_during_shutdown() {
    let cluster = start_with_small_limits().await;
    let caller = caller(&cluster, 0);
    assert!(caller.chat("x", 2).await.status.is_success());
    cluster.hosts[0].shared().stop.cancel();
    let refused = caller.chat("x", 2).await;
    assert_refused(&refused.error(), "shutting_down", None);
    assert_eq!(refused.header("retry-after"), Some("1"));
}

/// A load balancer may still open connections during the shutdown. Their requests get an answer, not
/// a reset, while others are in flight.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_on_a_new_connection_is_refused_during_shutdown() {
    let cluster = start_with_small_limits().await;
    cluster.hosts[0].shared().stop.cancel();
    for _ in 0..20 {
        let refused = caller(&cluster, 0).chat("x", 2).await;
        assert_refused(&refused.error(), "shutting_down", None);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_exceeds_its_time_limit_is_ended() {
    let cluster = start(|it| {
        it.limits.push("request: 300ms".into());
        it.engine.token_time = Duration::from_millis(50);
    })
    .await;
    let streamed = caller(&cluster, 0).stream("long", 1000).await;
    assert_eq!(streamed.error.unwrap().code, "timed_out");
    let buffered = caller(&cluster, 0).chat("long", 1000).await;
    assert_eq!(buffered.status.as_u16(), 504);
    assert_eq!(buffered.error().run.to_string(), "unknown");
}
