//! The platform's list of hosts, which lags behind the real state: a trait to read it, and a client
//! of its HTTP protocol.

use std::{future::Future, net::SocketAddr};

use http::Method;

use crate::{
    client::{Call, Client},
    fault::Fault,
    generated::wire::Members,
    prelude::*,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the list of hosts.
pub trait HostList: Clone + Send + Sync + 'static {
    /// Returns the list as the platform has it now.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    fn hosts(&self) -> impl Future<Output = Result<Members, Fault>> + Send;
}

/// [`HostList`] over the platform's HTTP protocol.
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
            .fetch_json(Call::new(self.address, Method::GET, "/hosts/v1/list", CALL_TIMEOUT))
            .await
    }
}
