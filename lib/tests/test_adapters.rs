//! Tests each HTTP client against a stand-in server over a real socket, also while the server is
//! slow, fails, or loses its responses.

use std::time::Duration;

use bytes::Bytes;
use mothvale_lib::{
    client::{Call, Client},
    engine::{Endpoint, Engine as _, Frames, HttpEngine},
    fault::{Cause, Delivery, Fault},
    generated::wire::{
        Action, ActionKind, Generate, Manifest, Member, Members, Order, Transaction, Write,
    },
    host_list::{HostList, HttpHostList},
    name::Model,
    object::{HttpObjectStore, ObjectStore as _},
    store::{HttpStore, Store as _},
    table::{HttpTable, Table as _},
    weight::{HttpWeightStore, WeightStore},
};
use mothvale_standin::{
    dev::{Options, loopback},
    engine::{Engine, answer_words},
    objects::ObjectStore,
    server::{self, Running},
    store::Store,
    table::Table,
};
use sha2::{Digest, Sha256};
use socket2::{Domain, Socket, Type};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Starts a stand-in engine and returns it with a client.
async fn start_engine() -> (Running<Engine>, HttpEngine, Endpoint) {
    let mut config = Options::default().engine;
    config.token_time = Duration::from_millis(1);
    let running = server::start(loopback(), Engine::new(config)).await.unwrap();
    let endpoint = Endpoint { address: running.address, http2: false };
    (running, HttpEngine::new(Client::pooled()), endpoint)
}

fn generate_request(attempt: &str) -> Generate {
    Generate {
        attempt: attempt.into(),
        model: "demo".into(),
        prompt: "prompt ".repeat(3000),
        delivered: None,
        max_tokens: 5,
        priority: 1,
        salt: "bedline".into(),
        temperature: None,
        top_p: None,
        seed: None,
        stop: Vec::new(),
    }
}

/// Reads frames up to the last one and returns their text.
async fn read_text(frames: &mut impl Frames) -> String {
    let mut text = String::new();
    while let Some(frame) = frames.next().await.unwrap() {
        text.push_str(frame.text.as_deref().unwrap_or_default());
        if frame.finish.is_some() {
            break;
        }
    }
    text
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_runs_resumes_cancels_and_reports_load_and_cache() {
    let (running, engine, to) = start_engine().await;
    let request = generate_request("a1");
    let mut frames = engine.generate(to, &request).await.unwrap();
    assert!(!frames.boot_id().is_empty());
    let expected = answer_words(&request.prompt, 5);
    assert_eq!(read_text(&mut frames).await, expected.concat());
    let mut again = engine.resume(to, "a1", 3).await.unwrap();
    assert_eq!(read_text(&mut again).await, expected[3..].concat());
    assert!(matches!(
        engine.resume(to, "a2", 0).await,
        Err(Fault { cause: Cause::Refused(404), .. })
    ));
    engine.cancel(to, "a1").await.unwrap();
    engine.cancel(to, "a1").await.unwrap();
    assert_eq!(running.handler.run_counts(), (1, 1));
    let load = engine.load_report(to).await.unwrap();
    assert_eq!((load.slots, load.models[0].model.as_str()), (16, "demo"));
    let events = engine.cache_events(to, 0).await.unwrap();
    assert_eq!(events.events.len(), load.cached_pieces as usize);
    let piece = &events.events[0].piece;
    let data = engine.export(to, piece).await.unwrap();
    engine.import(to, "imported", data.clone()).await.unwrap();
    assert_eq!(engine.export(to, "imported").await.unwrap(), data);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_rejects_an_order_with_an_old_fencing_token() {
    let (_running, engine, to) = start_engine().await;
    let order = |fence| Order {
        fence,
        action: Action {
            kind: ActionKind::Load,
            model: "demo".into(),
            version: Some(format!("v{fence}")),
            name: None,
        },
    };
    engine.send_order(to, &order(7)).await.unwrap();
    let refused = engine.send_order(to, &order(6)).await.unwrap_err();
    assert_eq!(refused.cause, Cause::Refused(409));
    assert_eq!(engine.load_report(to).await.unwrap().models[0].version, "v7");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_table_commits_only_at_the_expected_version() {
    let running = server::start(loopback(), Table::default()).await.unwrap();
    let table = HttpTable::new(Client::pooled(), running.address, Duration::from_millis(300));
    let put = |version| Transaction {
        writes: vec![Write { key: "k/1".into(), version, value: Some("v".into()) }],
    };
    let first = table.commit(&put(0)).await.unwrap();
    assert!(first.committed);
    let second = table.commit(&put(0)).await.unwrap();
    assert_eq!((second.committed, second.conflict.as_deref()), (false, Some("k/1")));
    let row = table.read("k/1").await.unwrap().unwrap();
    assert_eq!(Some(row.version), first.version);
    assert_eq!(table.read("k/2").await.unwrap(), None);
    assert_eq!(table.scan("k/").await.unwrap(), [row]);
    running.faults.set_lost_answers(true);
    let lost = table.commit(&put(first.version.unwrap())).await.unwrap_err();
    assert_eq!(lost.delivery, Delivery::Unknown);
    assert_ne!(running.handler.row("k/1").unwrap().version, first.version.unwrap());
    running.faults.set_lost_answers(false);
    running.faults.set_outage(true);
    assert_eq!(table.read("k/1").await.unwrap_err().cause, Cause::Refused(503));
    running.faults.set_outage(false);
    running.faults.set_delay(Duration::from_secs(5));
    assert_eq!(table.read("k/1").await.unwrap_err(), Fault::TIMEOUT);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_shows_a_piece_only_after_a_valid_manifest() {
    let running = server::start(loopback(), Store::new(100)).await.unwrap();
    let (store, to) = (HttpStore::new(Client::pooled()), running.address);
    let data = Bytes::from_static(b"0123456789");
    store.write(to, "p", 1, data.clone()).await.unwrap();
    assert_eq!(store.read(to, "p", 1).await.unwrap(), None);
    let mut manifest =
        Manifest { piece: "p".into(), generation: 1, checksum: "wrong".into(), bytes: 10 };
    assert_eq!(store.publish(to, &manifest).await.unwrap_err().cause, Cause::Refused(409));
    manifest.checksum = hex::encode(Sha256::digest(&data));
    store.publish(to, &manifest).await.unwrap();
    assert_eq!(store.list(to).await.unwrap().pieces, [manifest]);
    assert_eq!(store.read(to, "p", 1).await.unwrap(), Some(data));
    assert_eq!(store.read(to, "p", 2).await.unwrap(), None);
    let large = Bytes::from(vec![0; 200]);
    assert_eq!(store.write(to, "q", 1, large).await.unwrap_err().cause, Cause::Refused(507));
    store.free(to, "p", 1).await.unwrap();
    store.free(to, "p", 1).await.unwrap();
    assert_eq!(store.read(to, "p", 1).await.unwrap(), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn objects_weights_and_the_host_list_are_read() {
    let running = server::start(loopback(), ObjectStore::new(1e9)).await.unwrap();
    let objects = HttpObjectStore::new(Client::pooled(), running.address);
    assert_eq!(objects.get("config/1").await.unwrap(), None);
    objects.put("config/1", Bytes::from_static(b"text")).await.unwrap();
    assert_eq!(objects.get("config/1").await.unwrap(), Some(Bytes::from_static(b"text")));
    objects.put("weights/demo/v2", Bytes::from_static(b"w")).await.unwrap();
    let weights = HttpWeightStore::new(Client::pooled(), running.address);
    let read = weights.read(&Model::new("demo"), "v2").await.unwrap();
    assert_eq!(read, Some(Bytes::from_static(b"w")));
    assert_eq!(weights.read(&Model::new("demo"), "v3").await.unwrap(), None);
    let member = Member {
        name: "host1".into(),
        zone: "hobart".into(),
        address: "127.0.0.1:1".into(),
        leaving: false,
    };
    running.handler.set_hosts(Members { hosts: vec![member.clone()] });
    let list = HttpHostList::new(Client::pooled(), running.address);
    assert_eq!(list.hosts().await.unwrap().hosts, [member]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_connect_is_reported_as_not_sent() {
    // A socket that is bound but does not listen keeps the port and refuses connections.
    let not_listening = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    not_listening.bind(&loopback().into()).unwrap();
    let address = not_listening.local_addr().unwrap().as_socket().unwrap();
    let table = HttpTable::new(Client::pooled(), address, Duration::from_secs(1));
    assert_eq!(table.read("k").await.unwrap_err(), Fault::CONNECT);
}

/// Guards against a status that does not exist as the answer of a plain service (report of other operators: MIXED).
#[tokio::test]
async fn response_with_a_status_that_ends_no_exchange_is_a_fault() {
    for status in ["000", "101", "600", "999"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let serving = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 4096];
            let _ = stream.read(&mut buffer).await;
            let response = format!("HTTP/1.1 {status} ?\r\ncontent-length: 4\r\n\r\ntext");
            stream.write_all(response.as_bytes()).await.unwrap();
        });
        let call = Call::new(address, http::Method::GET, "/", Duration::from_secs(2));
        let response = Client::unpooled().send_buffered(call).await;
        let fault = response.expect_err(status);
        assert_eq!(fault.delivery, Delivery::Unknown, "{status}");
        serving.await.unwrap();
    }
}
