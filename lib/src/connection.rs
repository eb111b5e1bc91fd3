//! HTTP/1 client connections to upstreams, to KV cache stores and to the row store, and a pool of
//! idle ones. A connection carries one call at a time, and its caller owns it meanwhile.
//!
//! Built on hyper's connections instead of `volo-http`'s client, because a call that must not run
//! twice has to know which connection it uses, how long that one was idle, and whether any byte
//! was written.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
};

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
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    task::JoinHandle,
    time::{Instant as TokioInstant, timeout},
};

use crate::{
    call_socket::{CallSocket, CallState},
    fault::Fault,
    prelude::*,
};

/// Longest wait for a connection. A distant host accepts within a few milliseconds, but one whose
/// accept queue is full only after seconds, and then another upstream is the better choice.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest silence, in which the kernel of the other side acknowledges nothing, before a connection breaks:
/// that of the row store and the cache stores, which answer promptly.
pub const STORE_MAX_SILENCE: Duration = Duration::from_millis(1200);
/// The same for upstreams. Sound ones fall silent for a second or so and go on; bytes that were sent
/// meanwhile arrive with a later retransmission, the intervals of which double.
pub const UPSTREAM_MAX_SILENCE: Duration = Duration::from_secs(4);
/// Idle time before the first TCP keepalive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Subtracted from the idle time that the other side allows, so that this side stops using a
/// connection before the other side closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(800);
/// Idle time that is assumed when the other side does not announce one.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(3);
/// Longest wait for a pooled connection to finish its previous call.
const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// Limit of the read buffer of a connection. Most responses are events of less than a hundred
/// bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Why a call over a connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ThisError)]
#[error("{0}")]
pub struct CallError(pub Fault);

/// One connection, which is closed when dropped, or reset in the middle of a call.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    call: CallState,
    idle_since: TokioInstant,
    idle_limit: Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Connects to an address and starts the task that drives the connection. The connection breaks after
    /// [`STORE_MAX_SILENCE`].
    ///
    /// # Errors
    ///
    /// Returns [`Fault::CONNECT`] when the connection cannot be established in time.
    pub async fn connect(address: SocketAddr) -> Result<Self, CallError> {
        Connection::connect_with(address, STORE_MAX_SILENCE).await
    }

    /// Connects to an upstream like [`connect`](Self::connect). The connection breaks after
    /// [`UPSTREAM_MAX_SILENCE`].
    ///
    /// # Errors
    ///
    /// Returns [`Fault::CONNECT`] when the connection cannot be established in time.
    pub async fn connect_upstream(address: SocketAddr) -> Result<Self, CallError> {
        Connection::connect_with(address, UPSTREAM_MAX_SILENCE).await
    }

    async fn connect_with(address: SocketAddr, max_silence: Duration) -> Result<Self, CallError> {
        let connect_error = CallError(Fault::CONNECT);
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| connect_error)?.map_err(|_| connect_error)?;
        set_socket_options(&stream, max_silence);
        let call = CallState::default();
        Connection::start(CallSocket::new(stream, call.clone()), call).await
    }

    /// Starts the task that drives a connection over an open stream.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::CONNECT`] when the connection cannot be set up.
    pub(crate) async fn handshake<T>(stream: T) -> Result<Self, CallError>
    where
        T: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        Connection::start(stream, CallState::default()).await
    }

    async fn start<T>(stream: T, call: CallState) -> Result<Self, CallError>
    where
        T: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|_| CallError(Fault::CONNECT))?;
        let task = tokio::spawn(async move {
            if let Err(err) = connection.await {
                log::debug!(error = err.to_string().as_str(); "connection ended with an error");
            }
        });
        Ok(Connection {
            sender,
            task,
            call,
            idle_since: TokioInstant::now(),
            idle_limit: DEFAULT_IDLE_LIMIT,
        })
    }

    /// Sends a request and waits for the response headers.
    ///
    /// # Errors
    ///
    /// Returns a fault that tells whether any byte of the request can have been sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        self.call.begin();
        let result = self.sender.try_send_request(request).await;
        result.map_err(|mut err| match err.take_message() {
            Some(_) => CallError(Fault::CONNECT),
            None if err.error().is_parse() => CallError(Fault::PROTOCOL),
            None => CallError(Fault::BROKEN),
        })
    }

    /// Sends a request and reads the complete response, which must arrive within `max_wait` and
    /// have a body of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns a fault that tells whether any byte of the request can have been sent.
    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        max_wait: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, CallError> {
        let exchange = async {
            let (head, body) = self.send(request).await?.into_parts();
            let body = Limited::new(body, max_bytes).collect().await;
            let body = body.map_err(|_| CallError(Fault::BROKEN))?.to_bytes();
            self.call.finish();
            Ok(Response::from_parts(head, body))
        };
        timeout(max_wait, exchange).await.unwrap_or(Err(CallError(Fault::TIMEOUT)))
    }

    /// Returns when the other side last showed on this connection that it lives: when it was opened, or when its last
    /// response had ended.
    pub(crate) fn idle_since(&self) -> TokioInstant {
        self.idle_since
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the connection can take a request; see [`wait_ready`].
    async fn ready(&mut self) -> bool {
        matches!(timeout(READY_TIMEOUT, self.sender.ready()).await, Ok(Ok(())))
    }
}

/// Builds a request that the gateway itself makes, with a JSON body unless `body` is empty.
pub fn build_request(
    address: SocketAddr,
    method: Method,
    uri: Uri,
    mut headers: HeaderMap,
    body: Bytes,
) -> Request<Full<Bytes>> {
    // The text of an address is always a valid header value.
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

/// Sets the options with which the kernel breaks a connection whose other side is silent for
/// `max_silence`, with or without bytes on their way, and turns off Nagle's algorithm. A failure is only
/// logged; the connection works without them.
pub fn set_socket_options(stream: &TcpStream, max_silence: Duration) {
    let socket = SockRef::from(stream);
    // On Linux the user timeout decides when probes give up. The number of retries agrees with it, so that
    // the same holds elsewhere.
    let probes = max_silence.as_secs_f64() / KEEPALIVE_INTERVAL.as_secs_f64();
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(probes.ceil() as u32);
    let result = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(max_silence)));
    if let Err(err) = result {
        log::warn!(error = err.to_string().as_str(); "socket options cannot be set");
    }
}

/// Idle connections, by upstream and address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<(Upstream, SocketAddr), Vec<Connection>>,
    /// Upstreams that have closed connections earlier than they announced, until they are taken.
    closed_early: HashSet<Upstream>,
}

impl Pool {
    /// Takes the most recently used connection, unless it has been idle for longer than `max_idle`
    /// or than the other side allows. Closed and expired ones on the way to it are dropped.
    pub fn take(
        &mut self,
        id: &Upstream,
        address: SocketAddr,
        max_idle: Duration,
    ) -> Option<Connection> {
        let connections = self.idle.get_mut(&(id.clone(), address))?;
        while let Some(connection) = connections.pop() {
            let idle = connection.idle_since.elapsed();
            if idle < connection.idle_limit && !connection.is_closed() {
                if idle < max_idle {
                    return Some(connection);
                }
                connections.push(connection);
                return None;
            }
            if idle < connection.idle_limit {
                self.closed_early.insert(id.clone());
            }
        }
        None
    }

    /// Returns the upstreams that have closed idle connections early since the last call, so that their processes may
    /// have ended.
    pub fn take_closed_early(&mut self) -> HashSet<Upstream> {
        std::mem::take(&mut self.closed_early)
    }

    /// Keeps a connection whose response has been read to its end, for as long as the response
    /// headers allow.
    pub fn put(
        &mut self,
        id: &Upstream,
        address: SocketAddr,
        mut connection: Connection,
        headers: &HeaderMap,
    ) {
        connection.call.finish();
        connection.idle_since = TokioInstant::now();
        connection.idle_limit = idle_limit(headers);
        if !connection.is_closed() && !connection.idle_limit.is_zero() {
            self.idle.entry((id.clone(), address)).or_default().push(connection);
        }
    }

    /// Puts a connection back that was taken and not used; it stays idle since its last call.
    pub fn put_back(&mut self, id: &Upstream, address: SocketAddr, connection: Connection) {
        if !connection.is_closed() {
            self.idle.entry((id.clone(), address)).or_default().push(connection);
        }
    }

    /// Returns the upstreams to which there are idle connections.
    pub fn connected(&self) -> Vec<Upstream> {
        self.idle.keys().map(|it| it.0.clone()).collect()
    }

    /// Drops connections that are closed or have been idle for too long.
    pub fn purge(&mut self) {
        for ((id, _), connections) in &mut self.idle {
            connections.retain(|it| {
                let is_in_time = it.idle_since.elapsed() < it.idle_limit;
                if is_in_time && it.is_closed() {
                    self.closed_early.insert(id.clone());
                }
                is_in_time && !it.is_closed()
            });
        }
        self.idle.retain(|_, connections| !connections.is_empty());
    }

    /// Drops all idle connections to an upstream.
    pub fn remove(&mut self, id: &Upstream) {
        self.idle.retain(|(it, _), _| it != id);
    }

    /// Returns the number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Returns whether there is no idle connection.
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }
}

/// Waits briefly until a pooled connection can take a request. Returns false when it is closed,
/// or still busy at the end of the wait.
pub async fn wait_ready(connection: &mut Connection) -> bool {
    connection.ready().await
}

/// Returns how long a connection may stay idle according to the headers of its last response.
fn idle_limit(headers: &HeaderMap) -> Duration {
    let field = |name| headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default();
    if field("connection").to_ascii_lowercase().contains("close") {
        return Duration::ZERO;
    }
    let announced =
        field("keep-alive").split(',').find_map(|it| it.trim().strip_prefix("timeout="));
    let announced = announced.and_then(|it| it.parse().ok()).map(Duration::from_secs);
    announced.unwrap_or(DEFAULT_IDLE_LIMIT).saturating_sub(IDLE_MARGIN)
}
