//! HTTP server that the stand-ins share, with switches for faults.

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
use mothvale_lib::{front::json_response, listener::Listener};
use serde::de::DeserializeOwned;
use tokio_util::sync::{CancellationToken, DropGuard};
use volo_http::{
    body::Body, context::ServerContext, request::Request, response::Response, server::Server,
};

/// HTTP/2 streams that one connection may have open.
const STREAMS: u32 = 10_000;

/// Faults that a stand-in can be told to show.
#[derive(Debug, Default)]
pub struct Faults {
    delay_ms: AtomicU64,
    outage: AtomicBool,
    lost_answers: AtomicBool,
}

impl Faults {
    /// Delays every answer.
    pub fn set_delay(&self, delay: Duration) {
        self.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// Refuses every call before it has an effect.
    pub fn set_outage(&self, outage: bool) {
        self.outage.store(outage, Ordering::SeqCst);
    }

    /// Lets every call take effect but breaks the connection instead of answering.
    pub fn set_lost_answers(&self, lost: bool) {
        self.lost_answers.store(lost, Ordering::SeqCst);
    }
}

/// What a stand-in does with a call.
pub trait Handler: Send + Sync + 'static {
    /// Answers a call.
    fn handle(&self, request: Request) -> impl Future<Output = Response> + Send;
}

/// A running stand-in; dropping it stops its listener.
pub struct Running<H> {
    /// Its address.
    pub address: SocketAddr,
    /// Its faults.
    pub faults: Arc<Faults>,
    /// The stand-in itself.
    pub handler: Arc<H>,
    _stop: DropGuard,
}

struct Service<H> {
    faults: Arc<Faults>,
    handler: Arc<H>,
}

impl<H> volo::Service<ServerContext, Request> for Service<H>
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

/// Starts a stand-in.
///
/// # Errors
///
/// Returns an error when the address cannot be listened at.
pub async fn start<H>(address: SocketAddr, handler: H) -> io::Result<Running<H>>
where
    H: Handler,
{
    let stop = CancellationToken::new();
    let listener = Listener::bind(address, None, stop.clone()).await?;
    let address = listener.local_addr();
    let (faults, handler) = (Arc::new(Faults::default()), Arc::new(handler));
    let service = Service { faults: faults.clone(), handler: handler.clone() };
    let mut server = Server::new(service);
    server.http2_config().max_concurrent_streams(STREAMS);
    tokio::spawn(async move { server.run(listener).await.map_err(|err| err.to_string()) });
    Ok(Running { address, faults, handler, _stop: stop.drop_guard() })
}

/// Builds an answer without a body.
pub fn empty_response(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Builds an answer that breaks off before its body ends.
pub fn truncated_response() -> Response {
    let lost = futures_util::stream::iter([Err("answer lost".into())]);
    Response::new(Body::from_stream(lost))
}

/// Builds an answer from an optional JSON value; none is 404.
pub fn json_or_not_found<V>(value: Option<&V>) -> Response
where
    V: serde::Serialize,
{
    match value {
        Some(value) => json_response(StatusCode::OK, value),
        None => empty_response(StatusCode::NOT_FOUND),
    }
}

/// Reads a whole body; what cannot be read is empty.
pub async fn read_body(body: Body) -> bytes::Bytes {
    body.collect().await.map(|it| it.to_bytes()).unwrap_or_default()
}

/// Reads a JSON body.
pub async fn read_json<V>(body: Body) -> Option<V>
where
    V: DeserializeOwned,
{
    serde_json::from_slice(&read_body(body).await).ok()
}

/// Returns a field of a query.
pub fn query_parameter<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&').filter_map(|it| it.split_once('='));
    pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
}
