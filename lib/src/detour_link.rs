//! Detours of requests over other hosts: HTTP/1 on streams of QUIC connections between hosts, apart from the
//! mesh, so that traffic stays on its own thread.
//!
//! The other host handles the request as if its caller had come there. It decides route, key and upstream
//! itself, and keeps pauses, limits and cold starts as it knows them. The fields below tell it what the
//! first host knows.

use std::{
    collections::HashMap,
    net::{SocketAddr, UdpSocket},
    sync::{Mutex, MutexGuard},
};

use http::{HeaderMap, HeaderName, HeaderValue, Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use quinn::{
    ClientConfig, Connection as QuicConnection, Endpoint, EndpointConfig, IdleTimeout,
    ServerConfig, TokioRuntime, TransportConfig, VarInt,
    crypto::rustls::{QuicClientConfig, QuicServerConfig},
};
use thiserror::Error as ThisError;
use tokio::{sync::OnceCell, time::timeout};

use crate::{
    codec::Codec,
    connection::Connection,
    detour::Candidate,
    gateway::{Gateway, lock},
    gateway_server,
    pinned_tls::{self, Identity, PinError, Pins},
    prelude::*,
    response_body::Body,
};

/// Time that the caller's request has left, in milliseconds.
const LEFT_MS: HeaderName = HeaderName::from_static("mothvale-detour-left-ms");
/// Attempts of the first host in which an upstream may have run the request.
const RUNS: HeaderName = HeaderName::from_static("mothvale-detour-runs");
/// Attempts of the first host that have reached an upstream, whether it ran the request or not. Hosts of earlier
/// builds do not send it.
const ARRIVALS: HeaderName = HeaderName::from_static("mothvale-detour-arrivals");
/// Version of the configuration by which the first host has admitted the request.
const CONFIGURATION: HeaderName = HeaderName::from_static("mothvale-detour-configuration");
/// Part of the service that the first host reaches, from 0 to 1.
const REACHED_PART: HeaderName = HeaderName::from_static("mothvale-detour-reached-part");
/// Set in a response that says that the host does not take the request, which has not run. Holds the
/// reason.
const REFUSED: HeaderName = HeaderName::from_static("mothvale-detour-refused");

/// Timeout for opening a connection to another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection is closed, in milliseconds: the other host is gone.
const IDLE_TIMEOUT_MS: u32 = 3000;
/// Interval between packets that keep a connection open.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How long a connection stays open after its last request began.
const UNUSED_TIMEOUT: Duration = Duration::from_secs(60);
/// Requests that another host may have open at once on a connection.
const MAX_CONCURRENT_STREAMS: u32 = 1024;

/// Reason why a host cannot take requests from other hosts, or send them any.
#[derive(Debug, ThisError)]
pub enum LinkError {
    /// The host's key cannot be used.
    #[error("detours: {0}")]
    Pin(#[from] PinError),
    /// The endpoint cannot be created.
    #[error("detours: cannot listen: {0}")]
    Listen(#[from] std::io::Error),
    /// The TLS configuration has no cipher suite that QUIC can start with.
    #[error("detours: {0}")]
    Quic(#[from] quinn::crypto::rustls::NoInitialCipherSuite),
}

/// What a host says about a request that it sends to another one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Time that the caller's request has left.
    pub left: Duration,
    /// Attempts in which an upstream may have run the request.
    pub runs: u32,
    /// Attempts that have reached an upstream, whether it ran the request or not.
    pub arrivals: u32,
    /// Version of the configuration by which the request was admitted.
    pub configuration: u64,
    /// Part of the service that the host reaches itself, from 0 to 1.
    pub reached_part: f64,
}

/// Reason why a request from another host cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
#[error("the field {0} is missing or no number")]
pub struct TermsError(HeaderName);

impl Terms {
    /// Adds the terms to the fields of a request.
    pub fn write(self, headers: &mut HeaderMap) {
        let left_ms = u64::try_from(self.left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(LEFT_MS, HeaderValue::from(left_ms));
        headers.insert(RUNS, HeaderValue::from(self.runs));
        headers.insert(ARRIVALS, HeaderValue::from(self.arrivals));
        headers.insert(CONFIGURATION, HeaderValue::from(self.configuration));
        // The text of a number is always a valid value.
        let reached_part = HeaderValue::try_from(self.reached_part.to_string());
        headers.insert(REACHED_PART, reached_part.unwrap_or(HeaderValue::from_static("0")));
    }

    /// Takes the terms out of the fields of a request.
    ///
    /// # Errors
    ///
    /// Returns an error that names the field which cannot be read.
    pub fn take(headers: &mut HeaderMap) -> Result<Self, TermsError> {
        let left = Duration::from_millis(take_number(headers, &LEFT_MS)?);
        let runs = take_number(headers, &RUNS)?;
        let arrivals = match headers.contains_key(ARRIVALS) {
            true => take_number(headers, &ARRIVALS)?,
            false => runs,
        };
        Ok(Terms {
            left,
            runs,
            arrivals,
            configuration: take_number(headers, &CONFIGURATION)?,
            reached_part: take_number(headers, &REACHED_PART)?,
        })
    }
}

/// Takes a number out of the fields of a request.
fn take_number<T>(headers: &mut HeaderMap, name: &HeaderName) -> Result<T, TermsError>
where
    T: std::str::FromStr,
{
    let value = headers.remove(name).and_then(|it| it.to_str().ok()?.parse().ok());
    value.ok_or_else(|| TermsError(name.clone()))
}

/// Returns why the other host does not take the request, or `None` if it does.
pub fn refusal(headers: &HeaderMap) -> Option<&str> {
    headers.get(REFUSED).map(|it| it.to_str().unwrap_or_default())
}

/// Marks a response as one that says that this host does not take the request.
pub(crate) fn mark_refused(headers: &mut HeaderMap, reason: &'static str) {
    headers.insert(REFUSED, HeaderValue::from_static(reason));
}

/// The connection to another host, once it is open.
struct Peer {
    connection: Arc<OnceCell<QuicConnection>>,
    last_used: Instant,
}

/// This host's end of the connections over which requests take detours.
pub struct Link {
    endpoint: Endpoint,
    pins: Pins,
    peers: Mutex<HashMap<Host, Peer>>,
}

impl std::fmt::Debug for Link {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Link").finish_non_exhaustive()
    }
}

impl Link {
    /// Creates the endpoint on a bound socket, on the current runtime. `pins` are the other hosts'
    /// certificates.
    ///
    /// # Errors
    ///
    /// Returns an error when the key or the socket cannot be used.
    pub fn new(identity: &Identity, pins: &Pins, socket: UdpSocket) -> Result<Self, LinkError> {
        let server = QuicServerConfig::try_from(pinned_tls::server_config(identity, pins)?)?;
        let mut server = ServerConfig::with_crypto(Arc::new(server));
        server.transport_config(transport_config());
        let client = QuicClientConfig::try_from(pinned_tls::client_config(identity, pins)?)?;
        let mut client = ClientConfig::new(Arc::new(client));
        client.transport_config(transport_config());
        let config = EndpointConfig::default();
        let mut endpoint = Endpoint::new(config, Some(server), socket, Arc::new(TokioRuntime))?;
        endpoint.set_default_client_config(client);
        Ok(Link { endpoint, pins: pins.clone(), peers: Mutex::default() })
    }

    /// Opens a stream to another host, on which one request can be sent. Returns `None` if the host cannot
    /// be reached.
    pub async fn open(&self, now: Instant, candidate: &Candidate) -> Option<Connection> {
        let cell = self.cell(now, &candidate.host);
        let connecting = cell.get_or_try_init(|| self.connect(candidate.address));
        let connection = timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
        let (send, recv) = timeout(CONNECT_TIMEOUT, connection.open_bi()).await.ok()?.ok()?;
        Connection::handshake(tokio::io::join(recv, send)).await.ok()
    }

    /// Returns the cell with the connection to a host, a new one if the connection is closed.
    fn cell(&self, now: Instant, host: &Host) -> Arc<OnceCell<QuicConnection>> {
        let mut peers = self.peers();
        let is_closed =
            |it: &Peer| it.connection.get().is_some_and(|it| it.close_reason().is_some());
        if peers.get(host).is_some_and(is_closed) {
            peers.remove(host);
        }
        let new = || Peer { connection: Arc::default(), last_used: now };
        let peer = peers.entry(host.clone()).or_insert_with(new);
        peer.last_used = now;
        peer.connection.clone()
    }

    async fn connect(&self, address: SocketAddr) -> Result<QuicConnection, ()> {
        let connecting = self.endpoint.connect(address, "mothvale").map_err(|err| {
            log::debug!(address = address.to_string().as_str(), error = err.to_string().as_str();
                "host cannot be reached");
        })?;
        connecting.await.map_err(|err| {
            log::debug!(address = address.to_string().as_str(), error = err.to_string().as_str();
                "host cannot be reached");
        })
    }

    /// Closes connections that have not been used for a while.
    pub fn purge(&self, now: Instant) {
        self.peers().retain(|_, it| {
            let is_used = now.since(it.last_used) < UNUSED_TIMEOUT;
            if let (false, Some(connection)) = (is_used, it.connection.get()) {
                connection.close(VarInt::from_u32(0), b"unused");
            }
            is_used
        });
    }

    /// Handles the requests of other hosts until the process ends.
    pub async fn accept<C>(self: Arc<Self>, gateway: Arc<Gateway<C>>)
    where
        C: Codec,
    {
        while let Some(incoming) = self.endpoint.accept().await {
            let (link, gateway) = (self.clone(), gateway.clone());
            tokio::spawn(async move {
                let Ok(Ok(connection)) = timeout(CONNECT_TIMEOUT, incoming).await else { return };
                let Some(host) = link.pins.peer(&connection) else { return };
                while let Ok((send, recv)) = connection.accept_bi().await {
                    let stream = tokio::io::join(recv, send);
                    tokio::spawn(serve_stream(gateway.clone(), host.clone(), stream));
                }
            });
        }
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<Host, Peer>> {
        lock(&self.peers)
    }
}

/// Serves the request on one stream. The host does not end before the other one has the whole response and
/// closes the stream.
async fn serve_stream<C, T>(gateway: Arc<Gateway<C>>, host: Host, stream: T)
where
    C: Codec,
    T: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    let _guard = gateway.track_connection();
    let service = service_fn(|request| {
        let (gateway, host) = (gateway.clone(), host.clone());
        async move { Ok::<_, std::convert::Infallible>(handle(gateway, &host, request).await) }
    });
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    if let Err(err) = served {
        log::debug!(peer = host.as_str(), error = err.to_string().as_str();
            "stream of another host ended with an error");
    }
}

/// Responds to a request from another host.
async fn handle<C>(
    gateway: Arc<Gateway<C>>,
    host: &Host,
    mut request: Request<Incoming>,
) -> Response<Body>
where
    C: Codec,
{
    match Terms::take(request.headers_mut()) {
        Ok(terms) => gateway_server::handle_detour(gateway, host, request, terms).await,
        Err(err) => {
            log::warn!(peer = host.as_str(), error = err.to_string().as_str();
                "request from another host cannot be read");
            let mut response = Response::new(Body::Buffered(Default::default()));
            *response.status_mut() = http::StatusCode::BAD_REQUEST;
            mark_refused(response.headers_mut(), "unreadable");
            response
        }
    }
}

fn transport_config() -> Arc<TransportConfig> {
    let mut config = TransportConfig::default();
    config.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))));
    config.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    config.max_concurrent_bidi_streams(VarInt::from_u32(MAX_CONCURRENT_STREAMS));
    config.max_concurrent_uni_streams(VarInt::from_u32(0));
    Arc::new(config)
}
