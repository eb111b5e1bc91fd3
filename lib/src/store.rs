//! Store hosts, the weight store, the object store and the platform's list of hosts:
//! a trait for each, and one client of their HTTP protocols.

use std::{future::Future, net::SocketAddr};

use http::Method;

use crate::{
    client::{Call, Client},
    fault::{Cause, Fault},
    generated::wire::{Manifest, Manifests, Members},
    prelude::*,
};

const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(30);

/// A store host, which keeps cache pieces in memory and on disk.
pub trait Store: Clone + Send + Sync + 'static {
    /// Writes a piece under a generation; it stays unreadable until it is published.
    fn write(
        &self,
        to: SocketAddr,
        piece: &str,
        generation: u64,
        data: Bytes,
    ) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Publishes a written piece; refused when the store holds other bytes.
    fn publish(
        &self,
        to: SocketAddr,
        manifest: &Manifest,
    ) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Lists the published pieces.
    fn list(&self, to: SocketAddr) -> impl Future<Output = Result<Manifests, Fault>> + Send;

    /// Reads a published piece; none when this generation is not there.
    fn read(
        &self,
        to: SocketAddr,
        piece: &str,
        generation: u64,
    ) -> impl Future<Output = Result<Option<Bytes>, Fault>> + Send;

    /// Frees a piece.
    fn free(
        &self,
        to: SocketAddr,
        piece: &str,
        generation: u64,
    ) -> impl Future<Output = Result<(), Fault>> + Send;
}

/// Named bytes: what the weight store serves and the object store keeps.
pub trait Objects: Clone + Send + Sync + 'static {
    /// Reads an object; none when it does not exist.
    fn get(
        &self,
        to: SocketAddr,
        name: &str,
    ) -> impl Future<Output = Result<Option<Bytes>, Fault>> + Send;

    /// Writes an object.
    fn put(
        &self,
        to: SocketAddr,
        name: &str,
        data: Bytes,
    ) -> impl Future<Output = Result<(), Fault>> + Send;
}

/// The platform's lagging list of live and leaving hosts.
pub trait HostList: Clone + Send + Sync + 'static {
    /// Reads the list.
    fn hosts(&self, to: SocketAddr) -> impl Future<Output = Result<Members, Fault>> + Send;
}

/// Speaks the HTTP protocols of all of these.
#[derive(Clone)]
pub struct HttpStore {
    client: Client,
}

impl HttpStore {
    /// Creates a client.
    pub fn new(client: Client) -> Self {
        HttpStore { client }
    }

    async fn fetch(&self, call: Call) -> Result<Option<Bytes>, Fault> {
        let answer = self.client.whole(call).await?;
        match answer.status().as_u16() {
            200..=299 => Ok(Some(answer.into_body())),
            404 => Ok(None),
            status => Err(Fault::refused(status)),
        }
    }

    async fn done(&self, call: Call) -> Result<(), Fault> {
        self.fetch(call).await?.map(|_| ()).ok_or(Fault::refused(404))
    }
}

fn piece_path(piece: &str, generation: u64) -> String {
    format!("/store/v1/pieces/{piece}/{generation}")
}

impl Store for HttpStore {
    async fn write(
        &self,
        to: SocketAddr,
        piece: &str,
        generation: u64,
        data: Bytes,
    ) -> Result<(), Fault> {
        let path = piece_path(piece, generation);
        let mut call = Call::new(to, Method::PUT, path, TRANSFER_TIMEOUT);
        call.body = data;
        self.done(call).await
    }

    async fn publish(&self, to: SocketAddr, manifest: &Manifest) -> Result<(), Fault> {
        let call = Call::new(to, Method::POST, "/store/v1/manifests", CONTROL_TIMEOUT);
        self.done(call.json(manifest)).await
    }

    async fn list(&self, to: SocketAddr) -> Result<Manifests, Fault> {
        let call = Call::new(to, Method::GET, "/store/v1/manifests", CONTROL_TIMEOUT);
        self.client.decode(call).await
    }

    async fn read(
        &self,
        to: SocketAddr,
        piece: &str,
        generation: u64,
    ) -> Result<Option<Bytes>, Fault> {
        let path = piece_path(piece, generation);
        self.fetch(Call::new(to, Method::GET, path, TRANSFER_TIMEOUT)).await
    }

    async fn free(&self, to: SocketAddr, piece: &str, generation: u64) -> Result<(), Fault> {
        let path = piece_path(piece, generation);
        match self.done(Call::new(to, Method::DELETE, path, CONTROL_TIMEOUT)).await {
            // Freed already.
            Err(Fault { cause: Cause::Refused(404), .. }) => Ok(()),
            other => other,
        }
    }
}

impl Objects for HttpStore {
    async fn get(&self, to: SocketAddr, name: &str) -> Result<Option<Bytes>, Fault> {
        let path = format!("/objects/v1/{name}");
        self.fetch(Call::new(to, Method::GET, path, TRANSFER_TIMEOUT)).await
    }

    async fn put(&self, to: SocketAddr, name: &str, data: Bytes) -> Result<(), Fault> {
        let mut call = Call::new(to, Method::PUT, format!("/objects/v1/{name}"), TRANSFER_TIMEOUT);
        call.body = data;
        self.done(call).await
    }
}

impl HostList for HttpStore {
    async fn hosts(&self, to: SocketAddr) -> Result<Members, Fault> {
        self.client.decode(Call::new(to, Method::GET, "/hosts/v1/list", CONTROL_TIMEOUT)).await
    }
}
