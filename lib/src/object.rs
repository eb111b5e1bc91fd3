//! Client of the platform's object store: the [`ObjectStore`] trait and its implementation over
//! HTTP.

use std::{future::Future, net::SocketAddr};

use http::Method;

use crate::{
    client::{Call, Client},
    fault::Fault,
    prelude::*,
};

/// Timeout of each call.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Operations of the object store. A [`Fault`] tells whether a failed call may have taken
/// effect.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Returns an object, or `None` if it does not exist.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>, Fault>> + Send;

    /// Writes an object under `name`.
    fn put(&self, name: &str, data: Bytes) -> impl Future<Output = Result<(), Fault>> + Send;
}

/// An [`ObjectStore`] that calls the platform's store over HTTP.
#[derive(Clone)]
pub struct HttpObjectStore {
    client: Client,
    address: SocketAddr,
}

impl HttpObjectStore {
    /// Creates a client of the store at `address`.
    pub fn new(client: Client, address: SocketAddr) -> Self {
        HttpObjectStore { client, address }
    }

    /// Builds a call for the object `name`.
    fn call(&self, method: Method, name: &str) -> Call {
        Call::new(self.address, method, format!("/objects/v1/{name}"), TIMEOUT)
    }
}

impl ObjectStore for HttpObjectStore {
    async fn get(&self, name: &str) -> Result<Option<Bytes>, Fault> {
        self.client.fetch(self.call(Method::GET, name)).await
    }

    async fn put(&self, name: &str, data: Bytes) -> Result<(), Fault> {
        let call = self.call(Method::PUT, name);
        self.client.execute(Call { body: data, ..call }).await
    }
}
