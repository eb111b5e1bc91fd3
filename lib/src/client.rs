//! HTTP client for the outside systems; every failure tells how far the call came.

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

use crate::{fault::Fault, prelude::*};

/// Idle connections kept to one address. Streams hold one connection each, so that a
/// smaller pool would open connections at the rate of requests.
const POOLED: usize = 256;
const MAX_ANSWER: usize = 16 << 20;

/// An HTTP call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the other side.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Header fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Longest wait for the head of the answer.
    pub timeout: Duration,
    /// Whether the other side speaks HTTP/2 without being asked first.
    pub http2: bool,
}

impl Call {
    /// Creates a call without body or header fields.
    pub fn new<S>(address: SocketAddr, method: Method, path: S, timeout: Duration) -> Self
    where
        S: Into<String>,
    {
        let (headers, body) = (HeaderMap::new(), Bytes::new());
        Call { address, method, path: path.into(), headers, body, timeout, http2: false }
    }

    /// Gives the call a JSON body.
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

/// Sends calls over pooled connections.
#[derive(Clone)]
pub struct Client {
    http: HttpClient,
}

impl Client {
    /// Creates a client that keeps connections for later calls.
    pub fn pooled() -> Self {
        Client::with_pool(POOLED)
    }

    /// Creates a client that opens a connection for each call, so that a kept connection
    /// that the other side has just closed never makes a call's outcome unknown.
    pub fn unpooled() -> Self {
        Client::with_pool(0)
    }

    /// # Panics
    ///
    /// Panics when the HTTP library rejects its own default configuration.
    fn with_pool(idle: usize) -> Self {
        let mut builder = HttpClient::builder();
        builder.set_max_idle_per_host(idle);
        Client { http: builder.build().expect("the default HTTP client builds") }
    }

    /// Sends a call and returns the answer's head, with its body still to come.
    ///
    /// # Errors
    ///
    /// Returns how the call failed and how far it can have come.
    pub async fn send(&self, call: Call) -> Result<Response, Fault> {
        let mut request = self.http.request(call.method, call.path.as_str()).address(call.address);
        request.headers_mut().extend(call.headers);
        if call.http2 {
            request = request.version(http::Version::HTTP_2);
        }
        let answer = request.body(Body::from(call.body)).send::<Body>();
        match tokio::time::timeout(call.timeout, answer).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(err)) => Err(fault(&err)),
            Err(_) => Err(Fault::TIMEOUT),
        }
    }

    /// Sends a call and returns the whole answer.
    ///
    /// # Errors
    ///
    /// Returns how the call failed and how far it can have come; an answer that breaks
    /// off or is larger than 16 MiB is a failure.
    pub async fn send_buffered(&self, call: Call) -> Result<http::Response<Bytes>, Fault> {
        let timeout = call.timeout;
        let (head, body) = self.send(call).await?.into_parts();
        let body = Limited::new(body, MAX_ANSWER).collect();
        match tokio::time::timeout(timeout, body).await {
            Ok(Ok(body)) => Ok(http::Response::from_parts(head, body.to_bytes())),
            Ok(Err(_)) => Err(Fault::BROKEN),
            Err(_) => Err(Fault::TIMEOUT),
        }
    }

    /// Sends a call and decodes the JSON of a successful answer.
    ///
    /// # Errors
    ///
    /// Returns how the call failed; an answer that is not a success or not the expected
    /// JSON is a failure.
    pub async fn fetch_json<T>(&self, call: Call) -> Result<T, Fault>
    where
        T: DeserializeOwned,
    {
        let answer = self.send_buffered(call).await?;
        if !answer.status().is_success() {
            return Err(Fault::refused(answer.status().as_u16()));
        }
        serde_json::from_slice(answer.body()).map_err(|_| Fault::PROTOCOL)
    }

    /// Sends a call and returns the body of a successful answer; none when there is
    /// nothing of that name.
    ///
    /// # Errors
    ///
    /// Returns how the call failed; any answer but a success or 404 is a failure.
    pub async fn fetch(&self, call: Call) -> Result<Option<Bytes>, Fault> {
        let answer = self.send_buffered(call).await?;
        match answer.status().as_u16() {
            200..=299 => Ok(Some(answer.into_body())),
            404 => Ok(None),
            status => Err(Fault::refused(status)),
        }
    }

    /// Sends a call that has to succeed, and drops the answer's body.
    ///
    /// # Errors
    ///
    /// Returns how the call failed; an answer that is not a success is a failure.
    pub async fn execute(&self, call: Call) -> Result<(), Fault> {
        self.fetch(call).await?.map(|_| ()).ok_or(Fault::refused(404))
    }
}

/// Only an error from before the connection was there proves that nothing was sent. The
/// HTTP library reports a connection that did not come about as a failed request, but with
/// the socket's own error as its source; once there is a connection, the source is an error
/// of the protocol.
fn fault(err: &ClientError) -> Fault {
    let of_socket = err.source().is_some_and(<dyn std::error::Error>::is::<std::io::Error>);
    match err.kind() {
        ErrorKind::Connect | ErrorKind::Builder | ErrorKind::Context | ErrorKind::LoadBalance => {
            Fault::CONNECT
        }
        ErrorKind::Request if of_socket => Fault::CONNECT,
        _ => Fault::BROKEN,
    }
}
