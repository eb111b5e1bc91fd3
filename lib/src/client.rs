//! HTTP client for the systems that a host calls, such as engines and stores. Every [`Fault`] says
//! whether the call may have been received.

use std::{error::Error as _, net::SocketAddr};

use http::{HeaderMap, Method, header};
use http_body_util::{BodyExt, Limited};
use serde::{Serialize, de::DeserializeOwned};
use volo_http::{
    body::Body,
    client::Client as HttpClient,
    error::client::{ClientError, ErrorKind},
    response::Response,
};

use crate::{
    fault::{Fault, is_final},
    prelude::*,
};

/// Largest number of idle connections to one address. Each stream holds a connection, so a
/// smaller pool would open connections at the rate of requests.
const MAX_IDLE_CONNECTIONS: usize = 256;
/// Largest response body in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// An HTTP call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the server.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Header fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Longest wait for the response head; a buffered body may take as long again.
    pub timeout: Duration,
    /// Whether to use HTTP/2 with prior knowledge, that is, without negotiation.
    pub http2: bool,
}

impl Call {
    /// Creates an HTTP/1.1 call without body or header fields.
    pub fn new<S>(address: SocketAddr, method: Method, path: S, timeout: Duration) -> Self
    where
        S: Into<String>,
    {
        let (headers, body) = (HeaderMap::new(), Bytes::new());
        Call { address, method, path: path.into(), headers, body, timeout, http2: false }
    }

    /// Sets a JSON body.
    pub fn json<T>(mut self, value: &T) -> Self
    where
        T: Serialize,
    {
        self.headers
            .insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
        self.body = serde_json::to_vec(value).unwrap_or_default().into();
        self
    }
}

/// Sends calls, over pooled connections or new ones.
#[derive(Clone)]
pub struct Client {
    http: HttpClient,
}

impl Client {
    /// Creates a client that reuses connections.
    pub fn pooled() -> Self {
        Client::with_pool(MAX_IDLE_CONNECTIONS)
    }

    /// Creates a client that opens a connection for each call. A reused connection that the
    /// server is just closing would leave the outcome of a call unknown.
    pub fn unpooled() -> Self {
        Client::with_pool(0)
    }

    /// Creates a client that keeps up to `idle` idle connections to each address.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP library rejects its own default configuration.
    fn with_pool(idle: usize) -> Self {
        let mut builder = HttpClient::builder();
        builder.set_max_idle_per_host(idle);
        Client { http: builder.build().expect("the default HTTP client builds") }
    }

    /// Sends a call and returns the response once its head has arrived.
    ///
    /// # Errors
    ///
    /// Returns how the call failed and whether it may have been received.
    pub async fn send(&self, call: Call) -> Result<Response, Fault> {
        let mut request = self.http.request(call.method, call.path.as_str()).address(call.address);
        request.headers_mut().extend(call.headers);
        if call.http2 {
            request = request.version(http::Version::HTTP_2);
        }
        let response = request.body(Body::from(call.body)).send::<Body>();
        match tokio::time::timeout(call.timeout, response).await {
            Ok(Ok(response)) if is_final(response.status()) => Ok(response),
            Ok(Ok(response)) => {
                log::warn!(status = response.status().as_u16();
                    "response has a status that ends no exchange");
                Err(Fault::PROTOCOL)
            }
            Ok(Err(err)) => Err(classify_error(&err)),
            Err(_) => Err(Fault::TIMEOUT),
        }
    }

    /// Sends a call and returns the complete response.
    ///
    /// # Errors
    ///
    /// Returns how the call failed and whether it may have been received. A body that is cut off
    /// or larger than 16 MiB is a failure.
    pub async fn send_buffered(&self, call: Call) -> Result<http::Response<Bytes>, Fault> {
        let timeout = call.timeout;
        let (head, body) = self.send(call).await?.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect();
        match tokio::time::timeout(timeout, body).await {
            Ok(Ok(body)) => Ok(http::Response::from_parts(head, body.to_bytes())),
            Ok(Err(_)) => Err(Fault::BROKEN),
            Err(_) => Err(Fault::TIMEOUT),
        }
    }

    /// Sends a call and decodes the JSON body of a successful response.
    ///
    /// # Errors
    ///
    /// Returns how the call failed. A response that is not successful or not the expected JSON is
    /// a failure.
    pub async fn fetch_json<T>(&self, call: Call) -> Result<T, Fault>
    where
        T: DeserializeOwned,
    {
        let response = self.send_buffered(call).await?;
        if !response.status().is_success() {
            return Err(Fault::refused(response.status().as_u16()));
        }
        serde_json::from_slice(response.body()).map_err(|_| Fault::PROTOCOL)
    }

    /// Sends a call and returns the body of a successful response, or `None` if the status is 404.
    ///
    /// # Errors
    ///
    /// Returns how the call failed. Any response but a success or 404 is a failure.
    pub async fn fetch(&self, call: Call) -> Result<Option<Bytes>, Fault> {
        let response = self.send_buffered(call).await?;
        match response.status().as_u16() {
            200..=299 => Ok(Some(response.into_body())),
            404 => Ok(None),
            status => Err(Fault::refused(status)),
        }
    }

    /// Sends a call and discards the body of a successful response.
    ///
    /// # Errors
    ///
    /// Returns how the call failed. A response that is not successful is a failure.
    pub async fn execute(&self, call: Call) -> Result<(), Fault> {
        self.fetch(call).await?.map(|_| ()).ok_or(Fault::refused(404))
    }
}

/// Returns the fault of a client error. Only an error from before the connection was established
/// proves that nothing was sent. The HTTP library reports a failed connect as a failed request, but
/// with the I/O error as its source; on an established connection, the source is a protocol error.
fn classify_error(err: &ClientError) -> Fault {
    let is_connect_error = err.source().is_some_and(<dyn std::error::Error>::is::<std::io::Error>);
    match err.kind() {
        ErrorKind::Connect | ErrorKind::Builder | ErrorKind::Context | ErrorKind::LoadBalance => {
            Fault::CONNECT
        }
        ErrorKind::Request if is_connect_error => Fault::CONNECT,
        _ => Fault::BROKEN,
    }
}
