//! Model engines: the trait, and the client of their HTTP protocol.

use std::{future::Future, net::SocketAddr};

use http::Method;
use volo_http::{body::Body, client::sse::SseReader};

use crate::{
    client::{Call, Client},
    fault::{Cause, Fault},
    generated::wire::{CacheEvents, Frame, Generate, Load, Order},
    prelude::*,
};

/// Header field in which an engine tells the id of its current start.
pub const BOOT_HEADER: &str = "x-engine-boot";

/// Longest wait for the head of a run's answer, which engines send at once.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(30);

/// How an engine is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Its address.
    pub address: SocketAddr,
    /// Whether it speaks HTTP/2 without being asked first. All runs then share one
    /// connection, which takes less memory and processor time for each.
    pub http2: bool,
}

impl Endpoint {
    fn call<S>(self, method: Method, path: S, timeout: Duration) -> Call
    where
        S: Into<String>,
    {
        Call { http2: self.http2, ..Call::new(self.address, method, path, timeout) }
    }
}

/// Frames of a run, as the engine sends them.
pub trait Frames: Send {
    /// Returns the id of the engine's current start.
    fn boot_id(&self) -> &str;

    /// Returns the next frame, or none when the engine ended the stream. It waits without
    /// a limit; dropping the future loses nothing.
    fn next(&mut self) -> impl Future<Output = Result<Option<Frame>, Fault>> + Send;
}

/// What the system asks of a model engine.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Frames of a run.
    type Frames: Frames;

    /// Starts a run.
    fn generate(
        &self,
        to: Endpoint,
        order: &Generate,
    ) -> impl Future<Output = Result<Self::Frames, Fault>> + Send;

    /// Asks again for the frames of a run, from a sequence number on.
    fn resume(
        &self,
        to: Endpoint,
        attempt: &str,
        from: u64,
    ) -> impl Future<Output = Result<Self::Frames, Fault>> + Send;

    /// Cancels a run.
    fn cancel(&self, to: Endpoint, attempt: &str)
    -> impl Future<Output = Result<(), Fault>> + Send;

    /// Asks for the load report.
    fn load_report(&self, to: Endpoint) -> impl Future<Output = Result<Load, Fault>> + Send;

    /// Asks for the cache events after a sequence number.
    fn cache_events(
        &self,
        to: Endpoint,
        after: u64,
    ) -> impl Future<Output = Result<CacheEvents, Fault>> + Send;

    /// Reads a cache piece.
    fn export(
        &self,
        to: Endpoint,
        piece: &str,
    ) -> impl Future<Output = Result<Bytes, Fault>> + Send;

    /// Writes a cache piece.
    fn import(
        &self,
        to: Endpoint,
        piece: &str,
        data: Bytes,
    ) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Gives an order under a fencing number.
    fn send_order(
        &self,
        to: Endpoint,
        order: &Order,
    ) -> impl Future<Output = Result<(), Fault>> + Send;
}

/// Speaks the engines' HTTP protocol.
#[derive(Clone)]
pub struct HttpEngine {
    client: Client,
}

impl HttpEngine {
    /// Creates an engine client.
    pub fn new(client: Client) -> Self {
        HttpEngine { client }
    }

    async fn frames(&self, call: Call) -> Result<HttpFrames, Fault> {
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

/// Frames of a run as server-sent events.
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

    async fn generate(&self, to: Endpoint, order: &Generate) -> Result<HttpFrames, Fault> {
        let call = to.call(Method::POST, "/engine/v1/runs", HEAD_TIMEOUT);
        self.frames(call.json(order)).await
    }

    async fn resume(&self, to: Endpoint, attempt: &str, from: u64) -> Result<HttpFrames, Fault> {
        let path = format!("/engine/v1/runs/{attempt}?from={from}");
        self.frames(to.call(Method::GET, path, CONTROL_TIMEOUT)).await
    }

    async fn cancel(&self, to: Endpoint, attempt: &str) -> Result<(), Fault> {
        let path = format!("/engine/v1/runs/{attempt}");
        match self.client.execute(to.call(Method::DELETE, path, CONTROL_TIMEOUT)).await {
            // The run has ended, which is what was wanted.
            Err(Fault { cause: Cause::Refused(404), .. }) => Ok(()),
            other => other,
        }
    }

    async fn load_report(&self, to: Endpoint) -> Result<Load, Fault> {
        self.client.fetch_json(to.call(Method::GET, "/engine/v1/load", CONTROL_TIMEOUT)).await
    }

    async fn cache_events(&self, to: Endpoint, after: u64) -> Result<CacheEvents, Fault> {
        let path = format!("/engine/v1/events?after={after}");
        self.client.fetch_json(to.call(Method::GET, path, CONTROL_TIMEOUT)).await
    }

    async fn export(&self, to: Endpoint, piece: &str) -> Result<Bytes, Fault> {
        let path = format!("/engine/v1/pieces/{piece}");
        let data = self.client.fetch(to.call(Method::GET, path, TRANSFER_TIMEOUT)).await?;
        data.ok_or(Fault::refused(404))
    }

    async fn import(&self, to: Endpoint, piece: &str, data: Bytes) -> Result<(), Fault> {
        let path = format!("/engine/v1/pieces/{piece}");
        let mut call = to.call(Method::PUT, path, TRANSFER_TIMEOUT);
        call.body = data;
        self.client.execute(call).await
    }

    async fn send_order(&self, to: Endpoint, order: &Order) -> Result<(), Fault> {
        let call = to.call(Method::POST, "/engine/v1/orders", CONTROL_TIMEOUT);
        self.client.execute(call.json(order)).await
    }
}
