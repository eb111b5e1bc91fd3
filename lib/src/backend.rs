//! Calls to plain services, which are HTTP services that are not model engines: the
//! [`PlainService`] trait and its implementation over HTTP.

use std::{future::Future, net::SocketAddr};

use http::{HeaderMap, Method, Response};

use crate::{
    client::{Call, Client},
    fault::Fault,
    prelude::*,
};

/// A caller's request to a plain service, without hop-by-hop header fields.
#[derive(Clone, Debug)]
pub struct Message {
    /// HTTP method.
    pub method: Method,
    /// Path and query relative to the service's prefix, with a leading slash.
    pub path: String,
    /// Header fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Sends requests to plain services.
pub trait PlainService: Clone + Send + Sync + 'static {
    /// Sends a message once and returns the complete response.
    ///
    /// # Errors
    ///
    /// Returns how the call failed and whether the service may have received it.
    fn call(
        &self,
        to: SocketAddr,
        message: &Message,
        timeout: Duration,
    ) -> impl Future<Output = Result<Response<Bytes>, Fault>> + Send;
}

/// Calls plain services over HTTP. Methods that are not safe get a new connection for each call,
/// as a pooled connection that is just being closed would leave their outcome unknown.
#[derive(Clone)]
pub struct HttpPlainService {
    pooled: Client,
    unpooled: Client,
}

impl HttpPlainService {
    /// Creates a client that uses `pooled` for safe methods.
    pub fn new(pooled: Client) -> Self {
        HttpPlainService { pooled, unpooled: Client::unpooled() }
    }
}

impl PlainService for HttpPlainService {
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
