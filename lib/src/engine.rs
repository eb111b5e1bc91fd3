//! Model engines: the [`Engine`] trait, and [`HttpEngine`], the client of their HTTP protocol.
//!
//! A run is the generation of one answer; each attempt at a request starts one, under the attempt's
//! id. Its frames carry the text and have sequence numbers, so that a stream that broke can be
//! resumed.

use std::{future::Future, net::SocketAddr};

use http::Method;
use volo_http::{body::Body, client::sse::SseReader};

use crate::{
    client::{Call, Client},
    fault::{Cause, Fault},
    generated::wire::{CacheEvents, Frame, Generate, Load, Order},
    prelude::*,
};

/// Response header with the boot id of the engine, which changes with each start.
pub const BOOT_HEADER: &str = "x-engine-boot";

/// Longest wait for the response headers of a new run, which engines send at once.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for the response of a call that carries little data, and for the response headers
/// of a resumed run.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of calls that carry KV cache data.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(30);

/// Where and how an engine is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Whether to use HTTP/2 with prior knowledge. All runs then share one connection, which
    /// takes less memory and processor time for each.
    pub http2: bool,
}

impl Endpoint {
    fn new_call<S>(self, method: Method, path: S, timeout: Duration) -> Call
    where
        S: Into<String>,
    {
        Call { http2: self.http2, ..Call::new(self.address, method, path, timeout) }
    }
}

/// The stream of frames of a run.
pub trait Frames: Send {
    /// Returns the boot id of the engine, which changes with each start.
    fn boot_id(&self) -> &str;

    /// Returns the next frame, or `None` when the engine ended the stream. It waits without a
    /// time limit and is cancel-safe: dropping the future loses no frame.
    ///
    /// # Errors
    ///
    /// Returns a fault when the stream breaks or a frame cannot be decoded.
    fn next(&mut self) -> impl Future<Output = Result<Option<Frame>, Fault>> + Send;
}

/// A client of model engines. Each method returns a [`Fault`] when its call fails.
pub trait Engine: Clone + Send + Sync + 'static {
    /// The stream of frames of a run.
    type Frames: Frames;

    /// Starts a run and returns its frames.
    fn generate(
        &self,
        to: Endpoint,
        request: &Generate,
    ) -> impl Future<Output = Result<Self::Frames, Fault>> + Send;

    /// Returns the frames of a running or ended run again, from sequence number `from` on.
    fn resume(
        &self,
        to: Endpoint,
        attempt: &str,
        from: u64,
    ) -> impl Future<Output = Result<Self::Frames, Fault>> + Send;

    /// Cancels a run. A run that the engine does not know counts as cancelled.
    fn cancel(&self, to: Endpoint, attempt: &str)
    -> impl Future<Output = Result<(), Fault>> + Send;

    /// Fetches the load report.
    fn load_report(&self, to: Endpoint) -> impl Future<Output = Result<Load, Fault>> + Send;

    /// Fetches the cache events after sequence number `after`.
    fn cache_events(
        &self,
        to: Endpoint,
        after: u64,
    ) -> impl Future<Output = Result<CacheEvents, Fault>> + Send;

    /// Reads the data of a piece of the KV cache, given by its id as in [`store`](crate::store).
    fn export(
        &self,
        to: Endpoint,
        piece: &str,
    ) -> impl Future<Output = Result<Bytes, Fault>> + Send;

    /// Writes the data of a piece of the KV cache, given by its id as in [`store`](crate::store).
    fn import(
        &self,
        to: Endpoint,
        piece: &str,
        data: Bytes,
    ) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Sends an order. It carries a fencing token, with which the engine can reject the orders
    /// of a former lease holder.
    fn send_order(
        &self,
        to: Endpoint,
        order: &Order,
    ) -> impl Future<Output = Result<(), Fault>> + Send;
}

/// Client of the engines' HTTP protocol.
#[derive(Clone)]
pub struct HttpEngine {
    client: Client,
}

impl HttpEngine {
    /// Creates an engine client that sends its calls over `client`.
    pub fn new(client: Client) -> Self {
        HttpEngine { client }
    }

    /// Sends a call and returns the frames that its response streams.
    async fn open_frames(&self, call: Call) -> Result<HttpFrames, Fault> {
        let response = self.client.send(call).await?;
        if !response.status().is_success() {
            return Err(Fault::refused(response.status().as_u16()));
        }
        let boot_id = response.headers().get(BOOT_HEADER).and_then(|it| it.to_str().ok());
        let boot_id = FastStr::new(boot_id.unwrap_or_default());
        let reader = SseReader::into_sse(response).map_err(|_| Fault::PROTOCOL)?;
        Ok(HttpFrames { boot_id, reader })
    }
}

/// Frames of a run, read from server-sent events.
pub struct HttpFrames {
    boot_id: FastStr,
    reader: SseReader<Body>,
}

impl Frames for HttpFrames {
    fn boot_id(&self) -> &str {
        &self.boot_id
    }

    async fn next(&mut self) -> Result<Option<Frame>, Fault> {
        let event = self.reader.read().await.map_err(|_| Fault::BROKEN)?;
        let Some(event) = event else { return Ok(None) };
        let data = event.data().ok_or(Fault::PROTOCOL)?;
        serde_json::from_str(data).map(Some).map_err(|_| Fault::PROTOCOL)
    }
}

impl Engine for HttpEngine {
    type Frames = HttpFrames;

    async fn generate(&self, to: Endpoint, request: &Generate) -> Result<HttpFrames, Fault> {
        let call = to.new_call(Method::POST, "/engine/v1/runs", HEAD_TIMEOUT);
        self.open_frames(call.json(request)).await
    }

    async fn resume(&self, to: Endpoint, attempt: &str, from: u64) -> Result<HttpFrames, Fault> {
        let path = format!("/engine/v1/runs/{attempt}?from={from}");
        self.open_frames(to.new_call(Method::GET, path, CONTROL_TIMEOUT)).await
    }

    async fn cancel(&self, to: Endpoint, attempt: &str) -> Result<(), Fault> {
        let path = format!("/engine/v1/runs/{attempt}");
        match self.client.execute(to.new_call(Method::DELETE, path, CONTROL_TIMEOUT)).await {
            // The engine no longer knows the run, so there is nothing left to cancel.
            Err(Fault { cause: Cause::Refused(404), .. }) => Ok(()),
            other => other,
        }
    }

    async fn load_report(&self, to: Endpoint) -> Result<Load, Fault> {
        self.client.fetch_json(to.new_call(Method::GET, "/engine/v1/load", CONTROL_TIMEOUT)).await
    }

    async fn cache_events(&self, to: Endpoint, after: u64) -> Result<CacheEvents, Fault> {
        let path = format!("/engine/v1/events?after={after}");
        self.client.fetch_json(to.new_call(Method::GET, path, CONTROL_TIMEOUT)).await
    }

    async fn export(&self, to: Endpoint, piece: &str) -> Result<Bytes, Fault> {
        let path = format!("/engine/v1/pieces/{piece}");
        let data = self.client.fetch(to.new_call(Method::GET, path, TRANSFER_TIMEOUT)).await?;
        data.ok_or(Fault::refused(404))
    }

    async fn import(&self, to: Endpoint, piece: &str, data: Bytes) -> Result<(), Fault> {
        let path = format!("/engine/v1/pieces/{piece}");
        let mut call = to.new_call(Method::PUT, path, TRANSFER_TIMEOUT);
        call.body = data;
        self.client.execute(call).await
    }

    async fn send_order(&self, to: Endpoint, order: &Order) -> Result<(), Fault> {
        let call = to.new_call(Method::POST, "/engine/v1/orders", CONTROL_TIMEOUT);
        self.client.execute(call.json(order)).await
    }
}
