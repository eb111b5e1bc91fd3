//! Store hosts: the trait, and the client of their HTTP protocol.

use std::{future::Future, net::SocketAddr};

use http::Method;

use crate::{
    client::{Call, Client},
    fault::{Cause, Fault},
    generated::wire::{Manifest, Manifests},
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

/// Speaks the store hosts' HTTP protocol.
#[derive(Clone)]
pub struct HttpStore {
    client: Client,
}

impl HttpStore {
    /// Creates a client.
    pub fn new(client: Client) -> Self {
        HttpStore { client }
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
        self.client.execute(call).await
    }

    async fn publish(&self, to: SocketAddr, manifest: &Manifest) -> Result<(), Fault> {
        let call = Call::new(to, Method::POST, "/store/v1/manifests", CONTROL_TIMEOUT);
        self.client.execute(call.json(manifest)).await
    }

    async fn list(&self, to: SocketAddr) -> Result<Manifests, Fault> {
        let call = Call::new(to, Method::GET, "/store/v1/manifests", CONTROL_TIMEOUT);
        self.client.fetch_json(call).await
    }

    async fn read(
        &self,
        to: SocketAddr,
        piece: &str,
        generation: u64,
    ) -> Result<Option<Bytes>, Fault> {
        let path = piece_path(piece, generation);
        self.client.fetch(Call::new(to, Method::GET, path, TRANSFER_TIMEOUT)).await
    }

    async fn free(&self, to: SocketAddr, piece: &str, generation: u64) -> Result<(), Fault> {
        let path = piece_path(piece, generation);
        match self.client.execute(Call::new(to, Method::DELETE, path, CONTROL_TIMEOUT)).await {
            // Freed already.
            Err(Fault { cause: Cause::Refused(404), .. }) => Ok(()),
            other => other,
        }
    }
}
