//! Connections to upstreams and to the store: one call at a time, a known owner, and a pool.
//!
//! Built on hyper's connections instead of `volo-http`'s client, because a call that may
//! run once has to know which connection it goes over, for how long that was idle, and
//! whether any byte was written.

use std::{collections::HashMap, net::SocketAddr};

use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error as ThisError;
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{Instant as Moment, timeout},
};

use crate::{fault::Fault, prelude::*};

/// Longest wait for a connection. A host far away answers in a few milliseconds; a queue
/// of new connections that is full answers in seconds, when another upstream is better.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Sent bytes that are not acknowledged for so long break the connection.
const USER_TIMEOUT: Duration = Duration::from_millis(1200);
/// Silence after which the other side's kernel is asked whether it is there.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Questions without an answer that break the connection.
const KEEPALIVE_RETRIES: u32 = 2;
/// Taken off the idle time that the other side allows.
const IDLE_MARGIN: Duration = Duration::from_millis(800);
/// Idle time that is assumed where the other side names none.
const IDLE_DEFAULT: Duration = Duration::from_secs(3);
/// Wait for a kept connection to finish its former call.
const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// Read buffer of a connection: most answers are events of less than a hundred bytes.
const READ_BUFFER: usize = 16 << 10;

/// Why a call over a link failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ThisError)]
#[error("{0}")]
pub struct CallError(pub Fault);

/// One connection; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    idle_since: Moment,
    idle_limit: Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::CONNECT`] when no connection comes about in time.
    pub async fn connect(address: SocketAddr) -> Result<Self, CallError> {
        let refused = CallError(Fault::CONNECT);
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| refused)?.map_err(|_| refused)?;
        watch(&stream);
        let built =
            http1::Builder::new().max_buf_size(READ_BUFFER).handshake(TokioIo::new(stream)).await;
        let (sender, connection) = built.map_err(|_| refused)?;
        let task = tokio::spawn(async move {
            if let Err(err) = connection.await {
                log::debug!(error = err.to_string().as_str(); "connection ended");
            }
        });
        Ok(Connection { sender, task, idle_since: Moment::now(), idle_limit: IDLE_DEFAULT })
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns a fault that tells whether a byte of the request can have been sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut err| match err.take_message() {
            Some(_) => CallError(Fault::CONNECT),
            None if err.error().is_parse() => CallError(Fault::PROTOCOL),
            None => CallError(Fault::BROKEN),
        })
    }

    /// Sends a request and reads the whole answer, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns a fault that tells whether a byte of the request can have been sent.
    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        wait: Duration,
        limit: usize,
    ) -> Result<Response<Bytes>, CallError> {
        let exchange = async {
            let (head, body) = self.send(request).await?.into_parts();
            let body = Limited::new(body, limit).collect().await;
            let body = body.map_err(|_| CallError(Fault::BROKEN))?.to_bytes();
            Ok(Response::from_parts(head, body))
        };
        timeout(wait, exchange).await.unwrap_or(Err(CallError(Fault::TIMEOUT)))
    }

    /// Tells whether the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    async fn ready(&mut self) -> bool {
        matches!(timeout(READY_TIMEOUT, self.sender.ready()).await, Ok(Ok(())))
    }
}

/// Writes a request of the gateway's own, with a JSON body or none.
pub fn build_request(
    address: SocketAddr,
    method: Method,
    uri: Uri,
    mut headers: HeaderMap,
    body: Bytes,
) -> Request<Full<Bytes>> {
    // An address has only characters that a field may have.
    let host = HeaderValue::try_from(address.to_string());
    headers.insert(header::HOST, host.unwrap_or(HeaderValue::from_static("upstream")));
    if !body.is_empty() {
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    *request.headers_mut() = headers;
    request
}

/// Makes the kernel notice a connection that has gone silent.
fn watch(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_RETRIES);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(USER_TIMEOUT)));
    if let Err(err) = set {
        log::warn!(error = err.to_string().as_str(); "socket option is refused");
    }
}

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<(Upstream, SocketAddr), Vec<Connection>>,
}

impl Pool {
    /// Takes the connection that was used last, unless it was idle for longer than `most`
    /// or than the other side allows.
    pub fn take(
        &mut self,
        id: &Upstream,
        address: SocketAddr,
        most: Duration,
    ) -> Option<Connection> {
        let connections = self.idle.get_mut(&(id.clone(), address))?;
        while let Some(connection) = connections.pop() {
            let idle = connection.idle_since.elapsed();
            if idle < connection.idle_limit && !connection.is_closed() {
                if idle < most {
                    return Some(connection);
                }
                connections.push(connection);
                return None;
            }
        }
        None
    }

    /// Keeps a connection whose answer has come to its end, for as long as the answer's
    /// head allows.
    pub fn put(
        &mut self,
        id: &Upstream,
        address: SocketAddr,
        mut connection: Connection,
        headers: &HeaderMap,
    ) {
        connection.idle_since = Moment::now();
        connection.idle_limit = idle_limit(headers);
        if !connection.is_closed() && !connection.idle_limit.is_zero() {
            self.idle.entry((id.clone(), address)).or_default().push(connection);
        }
    }

    /// Drops connections that are no longer of use.
    pub fn purge(&mut self) {
        for connections in self.idle.values_mut() {
            connections.retain(|it| !it.is_closed() && it.idle_since.elapsed() < it.idle_limit);
        }
        self.idle.retain(|_, connections| !connections.is_empty());
    }

    /// Drops the connections to an upstream, after one of them broke.
    pub fn remove(&mut self, id: &Upstream) {
        self.idle.retain(|(it, _), _| it != id);
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Tells whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }
}

/// Waits until a kept connection can take a request; false when it never will.
pub async fn wait_ready(connection: &mut Connection) -> bool {
    connection.ready().await
}

fn idle_limit(headers: &HeaderMap) -> Duration {
    let text = |name| headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default();
    if text("connection").to_ascii_lowercase().contains("close") {
        return Duration::ZERO;
    }
    let named = text("keep-alive").split(',').find_map(|it| it.trim().strip_prefix("timeout="));
    let named = named.and_then(|it| it.parse().ok()).map(Duration::from_secs);
    named.unwrap_or(IDLE_DEFAULT).saturating_sub(IDLE_MARGIN)
}
