//! HTTP server that runs a stand-in's [`Handler`] and injects [`Faults`] into its responses,
//! and helpers to read requests and build responses.

use std::{
    convert::Infallible,
    future::Future,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use http::StatusCode;
use http_body_util::BodyExt;
use mothvale_lib::{listener::Listener, public_api::json_response};
use serde::de::DeserializeOwned;
use tokio_util::sync::{CancellationToken, DropGuard};
use volo_http::{
    body::Body, context::ServerContext, request::Request, response::Response, server::Server,
};

/// Maximum number of concurrent HTTP/2 streams per connection.
const MAX_CONCURRENT_STREAMS: u32 = 10_000;

/// Faults of a running stand-in; they apply to all calls while they are set.
#[derive(Debug, Default)]
pub struct Faults {
    delay_ms: AtomicU64,
    outage: AtomicBool,
    lost_answers: AtomicBool,
}

impl Faults {
    /// Delays the handling of every call; zero switches the delay off.
    pub fn set_delay(&self, delay: Duration) {
        self.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// Sets whether every call is rejected with status 503 before it takes effect.
    pub fn set_outage(&self, outage: bool) {
        self.outage.store(outage, Ordering::SeqCst);
    }

    /// Sets whether responses are lost: calls take effect, but their response bodies fail.
    pub fn set_lost_answers(&self, lost: bool) {
        self.lost_answers.store(lost, Ordering::SeqCst);
    }
}

/// Request handler of a stand-in.
pub trait Handler: Send + Sync + 'static {
    /// Handles a call and returns its response.
    fn handle(&self, request: Request) -> impl Future<Output = Response> + Send;
}

/// A running stand-in; dropping it stops its listener.
pub struct Running<H> {
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Faults to inject.
    pub faults: Arc<Faults>,
    /// The stand-in itself.
    pub handler: Arc<H>,
    _stop_on_drop: DropGuard,
}

/// HTTP service that calls the handler and injects the faults.
struct FaultInjector<H> {
    faults: Arc<Faults>,
    handler: Arc<H>,
}

impl<H> volo::Service<ServerContext, Request> for FaultInjector<H>
where
    H: Handler,
{
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, request: Request) -> Result<Response, Infallible> {
        let delay = self.faults.delay_ms.load(Ordering::SeqCst);
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        if self.faults.outage.load(Ordering::SeqCst) {
            return Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE));
        }
        let response = self.handler.handle(request).await;
        if self.faults.lost_answers.load(Ordering::SeqCst) {
            return Ok(truncated_response());
        }
        Ok(response)
    }
}

/// Starts a stand-in that listens at `address`.
///
/// # Errors
///
/// Returns an error when it cannot listen there.
pub async fn start<H>(address: SocketAddr, handler: H) -> io::Result<Running<H>>
where
    H: Handler,
{
    let stop = CancellationToken::new();
    let listener = Listener::bind(address, None, stop.clone()).await?;
    let address = listener.local_addr();
    let (faults, handler) = (Arc::new(Faults::default()), Arc::new(handler));
    let service = FaultInjector { faults: faults.clone(), handler: handler.clone() };
    let mut server = Server::new(service);
    server.http2_config().max_concurrent_streams(MAX_CONCURRENT_STREAMS);
    tokio::spawn(async move { server.run(listener).await.map_err(|err| err.to_string()) });
    Ok(Running { address, faults, handler, _stop_on_drop: stop.drop_guard() })
}

/// Returns a response without a body.
pub fn empty_response(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Returns a response whose body fails before its first byte.
pub fn truncated_response() -> Response {
    let failing = futures_util::stream::iter([Err("injected fault: answer lost".into())]);
    Response::new(Body::from_stream(failing))
}

/// Returns a response with the value as JSON, or status 404 for `None`.
pub fn json_or_not_found<V>(value: Option<&V>) -> Response
where
    V: serde::Serialize,
{
    match value {
        Some(value) => json_response(StatusCode::OK, value),
        None => empty_response(StatusCode::NOT_FOUND),
    }
}

/// Returns the whole body, or an empty one when it cannot be read.
pub async fn read_body(body: Body) -> bytes::Bytes {
    body.collect().await.map(|it| it.to_bytes()).unwrap_or_default()
}

/// Returns the value in a JSON body, or `None` when the body is not valid.
pub async fn read_json<V>(body: Body) -> Option<V>
where
    V: DeserializeOwned,
{
    serde_json::from_slice(&read_body(body).await).ok()
}

/// Returns the value of a query parameter as it stands in the URI, without decoding.
pub fn query_parameter<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&').filter_map(|it| it.split_once('='));
    pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
}
