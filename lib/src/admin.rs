//! HTTP API of one host for operators: health, readiness, metrics, upstream states and request
//! records.

use std::convert::Infallible;

use http::{Method, StatusCode};
use serde::Serialize;
use volo::Service as VoloService;
use volo_http::{context::ServerContext, request::Request, response::Response};

use crate::{
    backend::PlainService,
    engine::Engine,
    peer::Peers,
    prelude::*,
    public_api::{body_response, json_response},
    shared::Shared,
    table::Table,
};

/// Path prefix under which records are found by request id.
const RECORDS_PATH: &str = "/admin/v1/records/";

/// Handler of the operators' API.
pub struct Admin<E, B, T> {
    shared: Arc<Shared<E, B, T>>,
    peers: Option<Peers>,
}

/// State of an upstream as the API returns it.
#[derive(Debug, Serialize)]
struct UpstreamStatus<'a> {
    name: &'a str,
    zone: &'a str,
    address: String,
    state: &'static str,
    boot: &'a str,
    models: Vec<&'a str>,
    running: u32,
    waiting: u32,
    slots: u32,
    in_flight: u32,
    report_age_ms: u64,
}

/// JSON body of a response that has only a message.
#[derive(Debug, Serialize)]
struct MessageBody<'a> {
    message: &'a str,
}

impl<E, B, T> Admin<E, B, T>
where
    E: Engine,
    B: PlainService,
    T: Table,
{
    /// Creates the handler. `peers` gives access to the records of other hosts.
    pub fn new(shared: Arc<Shared<E, B, T>>, peers: Option<Peers>) -> Self {
        Admin { shared, peers }
    }

    async fn handle(&self, request: Request) -> Response {
        let path = request.uri().path();
        if request.method() != Method::GET {
            return message_response(StatusCode::METHOD_NOT_ALLOWED, "only GET is served");
        }
        match path {
            "/healthz" => message_response(StatusCode::OK, "alive"),
            "/readyz" => self.readiness(),
            "/metrics" => {
                let text = self.shared.metrics.text();
                body_response("text/plain; version=0.0.4", text.into())
            }
            "/admin/v1/upstreams" => self.upstreams(),
            _ => match path.strip_prefix(RECORDS_PATH) {
                Some(id) => self.record(id).await,
                None => message_response(StatusCode::NOT_FOUND, "no such path"),
            },
        }
    }

    /// Answers the readiness probe of the load balancer.
    fn readiness(&self) -> Response {
        let view = self.shared.view.load();
        match view.unready_reason() {
            None => message_response(StatusCode::OK, "ready"),
            Some(reason) => message_response(StatusCode::SERVICE_UNAVAILABLE, reason),
        }
    }

    /// Returns the state of each upstream as this host sees it.
    fn upstreams(&self) -> Response {
        let view = self.shared.view.load();
        let now = self.shared.now();
        let status = view.upstreams.iter().enumerate().map(|(index, it)| UpstreamStatus {
            name: it.entry.name.as_str(),
            zone: it.entry.zone.as_str(),
            address: it.entry.endpoint.address.to_string(),
            state: it.state.name(),
            boot: &it.boot_id,
            models: it.confirmed_models.iter().map(Model::as_str).collect(),
            running: it.report.running,
            waiting: it.report.waiting,
            slots: it.report.slots,
            in_flight: self.shared.counters.get(index),
            report_age_ms: now.since(it.report.requested_at).as_millis() as u64,
        });
        json_response(StatusCode::OK, &status.collect::<Vec<_>>())
    }

    /// Returns the record of a request, from this host or from the host that its id starts with.
    async fn record(&self, id: &str) -> Response {
        if let Some(record) = self.shared.records.find(id) {
            return json_response(StatusCode::OK, &*record);
        }
        let host = id.split('-').next().unwrap_or_default();
        let unknown =
            || message_response(StatusCode::NOT_FOUND, "no host has a record of this request");
        let Some(peers) = &self.peers else { return unknown() };
        match peers.explain(host, id).await {
            Some(record) if !record.is_empty() => {
                body_response("application/json", record.to_string().into())
            }
            _ => unknown(),
        }
    }
}

impl<E, B, T> VoloService<ServerContext, Request> for Admin<E, B, T>
where
    E: Engine,
    B: PlainService,
    T: Table,
{
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, request: Request) -> Result<Response, Infallible> {
        Ok(self.handle(request).await)
    }
}

fn message_response(status: StatusCode, text: &str) -> Response {
    json_response(status, &MessageBody { message: text })
}
