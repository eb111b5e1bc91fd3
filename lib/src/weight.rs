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
pub trait Weights: Clone + Send + Sync + 'static {
    /// Reads a version's weights; none when the store has no such version.
    fn read(
        &self,
        model: &Model,
        version: &str,
    ) -> impl Future<Output = Result<Option<Bytes>, Fault>> + Send;
}

/// Speaks the weight store's HTTP protocol.
#[derive(Clone)]
pub struct HttpWeights {
    client: Client,
    address: SocketAddr,
}

impl HttpWeights {
    /// Creates a client of the store at `address`.
    pub fn new(client: Client, address: SocketAddr) -> Self {
        HttpWeights { client, address }
    }
}

impl Weights for HttpWeights {
    async fn read(&self, model: &Model, version: &str) -> Result<Option<Bytes>, Fault> {
        let path = format!("/objects/v1/weights/{model}/{version}");
        self.client.fetch(Call::new(self.address, Method::GET, path, TIMEOUT)).await
    }
}
