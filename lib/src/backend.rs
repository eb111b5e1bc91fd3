//! Plain services beside the engines: the trait, and its HTTP client.

use std::{future::Future, net::SocketAddr};

use http::{HeaderMap, Method, Response};

use crate::{
    client::{Call, Client},
    fault::Fault,
    prelude::*,
};

/// A caller's call to a plain service, without what belongs to its connection.
#[derive(Clone, Debug)]
pub struct Message {
    /// HTTP method.
    pub method: Method,
    /// Path and query below the service's own prefix, with the leading slash.
    pub path: String,
    /// Header fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// What the system asks of a plain service.
pub trait Backend: Clone + Send + Sync + 'static {
    /// Sends a message once and returns the whole answer.
    fn call(
        &self,
        to: SocketAddr,
        message: &Message,
        timeout: Duration,
    ) -> impl Future<Output = Result<Response<Bytes>, Fault>> + Send;
}

/// Calls plain services over HTTP.
#[derive(Clone)]
pub struct HttpBackend {
    pooled: Client,
    unpooled: Client,
}

impl HttpBackend {
    /// Creates a client.
    pub fn new(pooled: Client) -> Self {
        HttpBackend { pooled, unpooled: Client::unpooled() }
    }
}

impl Backend for HttpBackend {
    async fn call(
        &self,
        to: SocketAddr,
        message: &Message,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Fault> {
        let mut call = Call::new(to, message.method.clone(), message.path.clone(), timeout);
        call.headers = message.headers.clone();
        call.body = message.body.clone();
        let client = if message.method.is_safe() { &self.pooled } else { &self.unpooled };
        client.send_buffered(call).await
    }
}
