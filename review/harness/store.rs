//! Stand-in for the platform's metadata store: rows of versioned tables over HTTP, as PROTOCOL.md says.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::util::*;

#[derive(Default)]
struct State {
    ver: u64,
    rows: BTreeMap<(String, String), (Vec<u8>, u64)>,
    /// Changes: version, table, key, value (none for a removal).
    log: Vec<(u64, String, String, Option<Vec<u8>>)>,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    start: Instant,
    /// Whether the store answers all calls with 503.
    pub down: AtomicBool,
}

impl Store {
    pub fn start(ip: &str) -> Arc<Store> {
        let listener = TcpListener::bind((ip, 0)).expect("bind store");
        let store = Arc::new(Store {
            address: listener.local_addr().unwrap(),
            state: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
            down: AtomicBool::new(false),
        });
        let shared = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes or removes a row, as the operator and the runners do.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut state = self.state.lock().unwrap();
        state.ver += 1;
        apply(&mut state, table, key, value.map(|it| it.as_bytes().to_vec()));
        self.changed.notify_all();
    }

    /// Sets whether the store answers all calls with 503.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// Returns the value of a row, as the operator reads it.
    pub fn get(&self, table: &str, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let row = state.rows.get(&(table.to_string(), key.to_string()));
        row.map(|it| String::from_utf8_lossy(&it.0).into_owned())
    }

    fn now_ms(&self) -> u128 {
        self.start.elapsed().as_millis() + 1000
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        while let Some(head) = read_head(&mut reader) {
            let Some(body) = read_body(&mut reader, &head, false) else { return };
            sleep_ms(4);
            if self.down.load(Ordering::SeqCst) {
                if !crate::util::respond(&mut stream, 503, &[], b"") {
                    return;
                }
                continue;
            }
            let target = head.target().to_string();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let arg = |name: &str| {
                let found = query.split('&').filter_map(|it| it.split_once('='));
                found.filter(|it| it.0 == name).map(|it| unescape(it.1)).next()
            };
            let (status, text) = match path {
                "/v1/rows-get" => self.rows_get(&arg),
                "/v1/rows-feed" => self.rows_feed(&arg),
                "/v1/rows-tx" => self.rows_tx(&String::from_utf8_lossy(&body)),
                _ => (404, "{}".to_string()),
            };
            let fields = [("Content-Type", "application/json".to_string())];
            if !crate::util::respond(&mut stream, status, &fields, text.as_bytes()) {
                return;
            }
        }
    }

    fn rows_get(&self, arg: &dyn Fn(&str) -> Option<String>) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let (table, from) = (arg("table").unwrap_or_default(), arg("from").unwrap_or_default());
        let rows: Vec<_> = state
            .rows
            .range((table.clone(), from)..)
            .take_while(|it| it.0.0 == table)
            .take(501)
            .map(|((table, key), (value, ver))| row(table, key, Some(value), *ver))
            .collect();
        let more = rows.len() > 500;
        let rows = rows[..rows.len().min(500)].join(",");
        let text = format!(
            "{{\"rows\":[{rows}],\"has-more\":{more},\"ver\":{},\"now-ms\":{}}}",
            state.ver,
            self.now_ms()
        );
        (200, text)
    }

    fn rows_feed(&self, arg: &dyn Fn(&str) -> Option<String>) -> (u16, String) {
        let table = arg("table").unwrap_or_default();
        let after: u64 = arg("after").and_then(|it| it.parse().ok()).unwrap_or(0);
        let wait: u64 = arg("wait-ms").and_then(|it| it.parse().ok()).unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            let changes = state.log.iter().filter(|it| it.0 > after && it.1 == table);
            let rows: Vec<_> = changes
                .map(|(ver, table, key, value)| row(table, key, value.as_ref(), *ver))
                .collect();
            let now = Instant::now();
            if self.down.load(Ordering::SeqCst) {
                return (503, String::new());
            }
            if !rows.is_empty() || now >= end {
                let text = format!(
                    "{{\"rows\":[{}],\"ver\":{},\"now-ms\":{}}}",
                    rows.join(","),
                    state.ver,
                    self.now_ms()
                );
                return (200, text);
            }
            state = self.changed.wait_timeout(state, end - now).unwrap().0;
        }
    }

    fn rows_tx(&self, body: &str) -> (u16, String) {
        let Some(tx) = Json::parse(body) else { return (400, "{}".into()) };
        let mut state = self.state.lock().unwrap();
        let mut conflict = false;
        let mut current = Vec::new();
        for it in tx.list("expected-rev") {
            let key = (it.text("table"), it.text("key"));
            let known = state.rows.get(&key);
            conflict |= known.map_or(0, |it| it.1) != it.number("ver").unwrap_or(0);
            current.extend(known.map(|(value, ver)| row(&key.0, &key.1, Some(value), *ver)));
        }
        if conflict {
            let rows = current.join(",");
            return (
                412,
                format!("{{\"rows\":[{rows}],\"ver\":{},\"now-ms\":{}}}", state.ver, self.now_ms()),
            );
        }
        for it in tx.list("put").iter().chain(&tx.list("remove")) {
            if matches!(it.text("table").as_str(), "op" | "servers") {
                return (403, "{}".into());
            }
        }
        state.ver += 1;
        for it in tx.list("put") {
            apply(
                &mut state,
                &it.text("table"),
                &it.text("key"),
                Some(decode64(&it.text("value"))),
            );
        }
        for it in tx.list("remove") {
            apply(&mut state, &it.text("table"), &it.text("key"), None);
        }
        self.changed.notify_all();
        (200, format!("{{\"ver\":{},\"now-ms\":{}}}", state.ver, self.now_ms()))
    }
}

fn apply(state: &mut State, table: &str, key: &str, value: Option<Vec<u8>>) {
    let ver = state.ver;
    let at = (table.to_string(), key.to_string());
    match &value {
        Some(value) => drop(state.rows.insert(at, (value.clone(), ver))),
        None => drop(state.rows.remove(&at)),
    }
    // Of the heartbeats only the newest is kept.
    state.log.retain(|it| !(it.1 == table && it.2 == key));
    state.log.push((ver, table.into(), key.into(), value));
}

fn row(table: &str, key: &str, value: Option<&Vec<u8>>, ver: u64) -> String {
    let rest = match value {
        Some(value) => format!("\"value\":\"{}\"", encode64(value)),
        None => "\"tombstone\":true".into(),
    };
    format!(
        "{{\"table\":{},\"part\":\"\",\"key\":{},\"ver\":{ver},{rest}}}",
        quote(table),
        quote(key)
    )
}
