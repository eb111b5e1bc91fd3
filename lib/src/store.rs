//! Client of the store hosts, which keep pieces of KV cache in memory and on disk: the [`Store`]
//! trait and its implementation over HTTP.

use std::{future::Future, net::SocketAddr};

use http::Method;

use crate::{
    client::{Call, Client},
    fault::{Cause, Fault},
    generated::wire::{Manifest, Manifests},
    prelude::*,
};

/// Timeout of calls without piece data.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of calls that carry piece data.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(30);

/// Operations of a store host, at the address `to`. A [`Fault`] tells whether a failed call may
/// have taken effect.
pub trait Store: Clone + Send + Sync + 'static {
    /// Writes one generation of a piece, which cannot be read until it is published.
    fn write(
        &self,
        to: SocketAddr,
        piece: &str,
        generation: u64,
        data: Bytes,
    ) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Publishes a written piece, so that it can be read. The store refuses if the checksum of its
    /// data differs from the one in the manifest.
    fn publish(
        &self,
        to: SocketAddr,
        manifest: &Manifest,
    ) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Returns the manifests of all published pieces.
    fn list(&self, to: SocketAddr) -> impl Future<Output = Result<Manifests, Fault>> + Send;

    /// Returns the data of a published piece, or `None` if the store does not have this
    /// generation.
    fn read(
        &self,
        to: SocketAddr,
        piece: &str,
        generation: u64,
    ) -> impl Future<Output = Result<Option<Bytes>, Fault>> + Send;

    /// Deletes one generation of a piece. Succeeds if the store does not have it.
    fn free(
        &self,
        to: SocketAddr,
        piece: &str,
        generation: u64,
    ) -> impl Future<Output = Result<(), Fault>> + Send;
}

/// A [`Store`] that calls the store hosts over HTTP.
#[derive(Clone)]
pub struct HttpStore {
    client: Client,
}

impl HttpStore {
    /// Creates a store client that sends its calls over `client`.
    pub fn new(client: Client) -> Self {
        HttpStore { client }
    }
}

/// Returns the path of one generation of a piece.
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
            // It was deleted already.
            Err(Fault { cause: Cause::Refused(404), .. }) => Ok(()),
            other => other,
        }
    }
}
