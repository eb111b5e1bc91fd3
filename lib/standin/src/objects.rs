//! Stand-in for the object store, the store of model weights and the platform's list of hosts.

use std::{
    collections::BTreeMap,
    sync::Mutex,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, StatusCode};
use mothvale_lib::{
    generated::wire::Members,
    public_api::{body_response, json_response},
};
use volo_http::{request::Request, response::Response};

use crate::server::{Handler, empty_response, read_body};

/// Objects in memory, with a bandwidth limit for reads.
#[derive(Debug)]
pub struct ObjectStore {
    bytes_per_second: f64,
    objects: Mutex<BTreeMap<String, Bytes>>,
    /// When the reads accepted so far will be complete.
    busy_until: Mutex<Instant>,
    hosts: Mutex<Members>,
}

impl ObjectStore {
    /// Creates an empty store; all readers together share `bytes_per_second`.
    pub fn new(bytes_per_second: f64) -> Self {
        ObjectStore {
            bytes_per_second,
            objects: Mutex::default(),
            busy_until: Mutex::new(Instant::now()),
            hosts: Mutex::new(Members { hosts: Vec::new() }),
        }
    }

    /// Replaces the list of hosts.
    pub fn set_hosts(&self, hosts: Members) {
        *self.hosts.lock().unwrap() = hosts;
    }

    /// Queues a read of `len` bytes and returns the time until it is complete.
    fn queue_read(&self, len: usize) -> Duration {
        let mut busy_until = self.busy_until.lock().unwrap();
        let now = Instant::now();
        *busy_until =
            (*busy_until).max(now) + Duration::from_secs_f64(len as f64 / self.bytes_per_second);
        busy_until.duration_since(now)
    }
}

impl Handler for ObjectStore {
    async fn handle(&self, request: Request) -> Response {
        let (head, body) = request.into_parts();
        if head.uri.path() == "/hosts/v1/list" {
            return json_response(StatusCode::OK, &*self.hosts.lock().unwrap());
        }
        let Some(name) = head.uri.path().strip_prefix("/objects/v1/") else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        if head.method == Method::PUT {
            let data = read_body(body).await;
            self.objects.lock().unwrap().insert(name.to_owned(), data);
            return empty_response(StatusCode::OK);
        }
        let found = self.objects.lock().unwrap().get(name).cloned();
        let Some(data) = found else { return empty_response(StatusCode::NOT_FOUND) };
        tokio::time::sleep(self.queue_read(data.len())).await;
        body_response("application/octet-stream", data)
    }
}
