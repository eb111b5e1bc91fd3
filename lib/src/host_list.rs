//! The platform's lagging list of hosts: the trait, and the client of its HTTP protocol.

use std::{future::Future, net::SocketAddr};

use http::Method;

use crate::{
    client::{Call, Client},
    fault::Fault,
    generated::wire::Members,
    prelude::*,
};

const TIMEOUT: Duration = Duration::from_secs(2);

/// What the system asks of the list of hosts.
pub trait HostList: Clone + Send + Sync + 'static {
    /// Reads the list.
    fn hosts(&self) -> impl Future<Output = Result<Members, Fault>> + Send;
}

/// Speaks the HTTP protocol of the list.
#[derive(Clone)]
pub struct HttpHostList {
    client: Client,
    address: SocketAddr,
}

impl HttpHostList {
    /// Creates a client of the list at `address`.
    pub fn new(client: Client, address: SocketAddr) -> Self {
        HttpHostList { client, address }
    }
}

impl HostList for HttpHostList {
    async fn hosts(&self) -> Result<Members, Fault> {
        self.client
            .fetch_json(Call::new(self.address, Method::GET, "/hosts/v1/list", TIMEOUT))
            .await
    }
}
