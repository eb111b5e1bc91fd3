//! The rate-limited weight store: the trait, and the client of its HTTP protocol.

use std::{future::Future, net::SocketAddr};

use http::Method;

use crate::{
    client::{Call, Client},
    fault::Fault,
    prelude::*,
};

const TIMEOUT: Duration = Duration::from_secs(60);

/// What the system asks of the weight store.
pub trait WeightStore: Clone + Send + Sync + 'static {
    /// Reads a version's weights; none when the store has no such version.
    fn read(
        &self,
        model: &Model,
        version: &str,
    ) -> impl Future<Output = Result<Option<Bytes>, Fault>> + Send;
}

/// Speaks the weight store's HTTP protocol.
#[derive(Clone)]
pub struct HttpWeightStore {
    client: Client,
    address: SocketAddr,
}

impl HttpWeightStore {
    /// Creates a client of the store at `address`.
    pub fn new(client: Client, address: SocketAddr) -> Self {
        HttpWeightStore { client, address }
    }
}

impl WeightStore for HttpWeightStore {
    async fn read(&self, model: &Model, version: &str) -> Result<Option<Bytes>, Fault> {
        let path = format!("/objects/v1/weights/{model}/{version}");
        self.client.fetch(Call::new(self.address, Method::GET, path, TIMEOUT)).await
    }
}
