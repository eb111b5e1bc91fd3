//! The platform's object store: the trait, and the client of its HTTP protocol.

use std::{future::Future, net::SocketAddr};

use http::Method;

use crate::{
    client::{Call, Client},
    fault::Fault,
    prelude::*,
};

const TIMEOUT: Duration = Duration::from_secs(10);

/// What the system asks of the object store.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Reads an object; none when it does not exist.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>, Fault>> + Send;

    /// Writes an object.
    fn put(&self, name: &str, data: Bytes) -> impl Future<Output = Result<(), Fault>> + Send;
}

/// Speaks the object store's HTTP protocol.
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
