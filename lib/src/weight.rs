//! Client of the store of model weights. The store limits the rate of reads.

use std::{future::Future, net::SocketAddr};

use http::Method;

use crate::{
    client::{Call, Client},
    fault::Fault,
    prelude::*,
};

/// Timeout of one read.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Access to the weight store.
pub trait WeightStore: Clone + Send + Sync + 'static {
    /// Reads the weights of a version of a model; returns `None` if the store has no such version.
    fn read(
        &self,
        model: &Model,
        version: &str,
    ) -> impl Future<Output = Result<Option<Bytes>, Fault>> + Send;
}

/// Client of the weight store's HTTP protocol.
#[derive(Clone)]
pub struct HttpWeightStore {
    client: Client,
    address: SocketAddr,
}

impl HttpWeightStore {
    /// Creates a client for the store at `address`.
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
