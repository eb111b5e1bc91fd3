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

const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(120);
const FRAME_TIMEOUT: Duration = Duration::from_secs(30);
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(30);

/// Frames of a run, as the engine sends them.
pub trait Frames: Send {
    /// Returns the id of the engine's current start.
    fn boot(&self) -> &str;

    /// Returns the next frame, or none when the engine ended the stream.
    fn next(&mut self) -> impl Future<Output = Result<Option<Frame>, Fault>> + Send;
}

/// What the system asks of a model engine.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Frames of a run.
    type Frames: Frames;

    /// Starts a run.
    fn generate(
        &self,
        to: SocketAddr,
        order: &Generate,
    ) -> impl Future<Output = Result<Self::Frames, Fault>> + Send;

    /// Asks again for the frames of a run, from a sequence number on.
    fn resume(
        &self,
        to: SocketAddr,
        attempt: &str,
        from: u64,
    ) -> impl Future<Output = Result<Self::Frames, Fault>> + Send;

    /// Cancels a run.
    fn cancel(
        &self,
        to: SocketAddr,
        attempt: &str,
    ) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Asks for the load report.
    fn load(&self, to: SocketAddr) -> impl Future<Output = Result<Load, Fault>> + Send;

    /// Asks for the cache events after a sequence number.
    fn events(
        &self,
        to: SocketAddr,
        after: u64,
    ) -> impl Future<Output = Result<CacheEvents, Fault>> + Send;

    /// Reads a cache piece.
    fn export(
        &self,
        to: SocketAddr,
        piece: &str,
    ) -> impl Future<Output = Result<Bytes, Fault>> + Send;

    /// Writes a cache piece.
    fn import(
        &self,
        to: SocketAddr,
        piece: &str,
        data: Bytes,
    ) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Gives an order under a fencing number.
    fn order(
        &self,
        to: SocketAddr,
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
        let boot = response.headers().get(BOOT_HEADER).and_then(|it| it.to_str().ok());
        let boot = FastStr::new(boot.unwrap_or_default());
        let reader = SseReader::into_sse(response).map_err(|_| Fault::PROTOCOL)?;
        Ok(HttpFrames { boot, reader, started: false })
    }

    async fn done(&self, call: Call) -> Result<(), Fault> {
        let answer = self.client.whole(call).await?;
        match answer.status() {
            status if status.is_success() => Ok(()),
            status => Err(Fault::refused(status.as_u16())),
        }
    }
}

/// Frames of a run as server-sent events.
pub struct HttpFrames {
    boot: FastStr,
    reader: SseReader<Body>,
    started: bool,
}

impl Frames for HttpFrames {
    fn boot(&self) -> &str {
        &self.boot
    }

    async fn next(&mut self) -> Result<Option<Frame>, Fault> {
        let timeout = if self.started { FRAME_TIMEOUT } else { FIRST_FRAME_TIMEOUT };
        let event = match tokio::time::timeout(timeout, self.reader.read()).await {
            Ok(Ok(event)) => event,
            Ok(Err(_)) => return Err(Fault::BROKEN),
            Err(_) => return Err(Fault::TIMEOUT),
        };
        let Some(event) = event else { return Ok(None) };
        self.started = true;
        let data = event.data().ok_or(Fault::PROTOCOL)?;
        serde_json::from_str(data).map(Some).map_err(|_| Fault::PROTOCOL)
    }
}

impl Engine for HttpEngine {
    type Frames = HttpFrames;

    async fn generate(&self, to: SocketAddr, order: &Generate) -> Result<HttpFrames, Fault> {
        let call = Call::new(to, Method::POST, "/engine/v1/runs", FIRST_FRAME_TIMEOUT);
        self.frames(call.json(order)).await
    }

    async fn resume(&self, to: SocketAddr, attempt: &str, from: u64) -> Result<HttpFrames, Fault> {
        let path = format!("/engine/v1/runs/{attempt}?from={from}");
        self.frames(Call::new(to, Method::GET, path, CONTROL_TIMEOUT)).await
    }

    async fn cancel(&self, to: SocketAddr, attempt: &str) -> Result<(), Fault> {
        let path = format!("/engine/v1/runs/{attempt}");
        match self.done(Call::new(to, Method::DELETE, path, CONTROL_TIMEOUT)).await {
            // The run has ended, which is what was wanted.
            Err(Fault { cause: Cause::Refused(404), .. }) => Ok(()),
            other => other,
        }
    }

    async fn load(&self, to: SocketAddr) -> Result<Load, Fault> {
        self.client.decode(Call::new(to, Method::GET, "/engine/v1/load", CONTROL_TIMEOUT)).await
    }

    async fn events(&self, to: SocketAddr, after: u64) -> Result<CacheEvents, Fault> {
        let path = format!("/engine/v1/events?after={after}");
        self.client.decode(Call::new(to, Method::GET, path, CONTROL_TIMEOUT)).await
    }

    async fn export(&self, to: SocketAddr, piece: &str) -> Result<Bytes, Fault> {
        let path = format!("/engine/v1/pieces/{piece}");
        let answer = self.client.whole(Call::new(to, Method::GET, path, TRANSFER_TIMEOUT)).await?;
        match answer.status() {
            status if status.is_success() => Ok(answer.into_body()),
            status => Err(Fault::refused(status.as_u16())),
        }
    }

    async fn import(&self, to: SocketAddr, piece: &str, data: Bytes) -> Result<(), Fault> {
        let path = format!("/engine/v1/pieces/{piece}");
        let mut call = Call::new(to, Method::PUT, path, TRANSFER_TIMEOUT);
        call.body = data;
        self.done(call).await
    }

    async fn order(&self, to: SocketAddr, order: &Order) -> Result<(), Fault> {
        let call = Call::new(to, Method::POST, "/engine/v1/orders", CONTROL_TIMEOUT);
        self.done(call.json(order)).await
    }
}
