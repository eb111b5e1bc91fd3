//! Calls between the hosts of `mothvale serve` over QUIC with mutual TLS: liveness probes, and
//! look-ups of the decision records of requests.

use std::net::SocketAddr;

use pilota::{LinkedBytes, pb::Message};
use quinn::{
    ClientConfig, Connection, Endpoint, IdleTimeout, ServerConfig, TransportConfig, VarInt,
    crypto::rustls::{QuicClientConfig, QuicServerConfig},
};
use thiserror::Error as ThisError;
use tokio::{runtime::Handle, sync::Mutex, time::timeout};

use crate::{
    generated::peer::{Alive, Call, Explain, Probe, Record, Reply, call, reply},
    prelude::*,
    settings, tls,
};

/// Maximum size of a call or its answer.
const MAX_MESSAGE_BYTES: usize = 256 << 10;
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait at shutdown until the other hosts know that the connections are closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time after which a connection is closed, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 30_000;
/// Calls that another host may have open at once on a connection.
const MAX_CONCURRENT_STREAMS: u32 = 64;

/// Reason why the endpoint for calls between hosts cannot be set up.
#[derive(Debug, ThisError)]
pub enum PeerError {
    /// The certificates cannot be used.
    #[error("peers: {0}")]
    Tls(#[from] tls::TlsError),
    /// The address cannot be bound.
    #[error("peers: cannot listen: {0}")]
    Listen(#[from] std::io::Error),
    /// The TLS configuration has no cipher suite that QUIC can start with.
    #[error("peers: {0}")]
    Quic(#[from] quinn::crypto::rustls::NoInitialCipherSuite),
}

/// Answers the calls of other hosts.
pub trait Handler: Send + Sync + 'static {
    /// Returns the answer to a liveness probe.
    fn alive(&self) -> Alive;
    /// Returns the decision record of a request as JSON, or `None` when this host has none.
    fn record(&self, request_id: &str) -> Option<String>;
}

/// Client for calls to the other hosts; also holds the endpoint on which their calls arrive.
#[derive(Clone)]
pub struct Peers {
    inner: Arc<Inner>,
}

struct Inner {
    local_host: Host,
    /// Runtime that opens and drives all connections, whichever thread makes a call.
    runtime: Handle,
    endpoint: Endpoint,
    peers: Vec<PeerConnection>,
}

/// Another host, with the connection to it once one was opened.
struct PeerConnection {
    settings: settings::Peer,
    connection: Mutex<Option<Connection>>,
}

impl Peers {
    /// Binds the QUIC endpoint to `address` on the current runtime, and answers calls of other
    /// hosts with `handler`.
    ///
    /// # Errors
    ///
    /// Returns an error when the certificates cannot be used or the address cannot be bound.
    pub fn bind<A>(
        local_host: &Host,
        address: SocketAddr,
        config: &settings::Peers,
        handler: Arc<A>,
    ) -> Result<Self, PeerError>
    where
        A: Handler,
    {
        let server = QuicServerConfig::try_from(tls::peer_server_config(config)?)?;
        let mut server = ServerConfig::with_crypto(Arc::new(server));
        server.transport_config(transport_config(IDLE_TIMEOUT_MS, MAX_CONCURRENT_STREAMS));
        let client = QuicClientConfig::try_from(tls::peer_client_config(config)?)?;
        let mut client = ClientConfig::new(Arc::new(client));
        client.transport_config(transport_config(IDLE_TIMEOUT_MS, MAX_CONCURRENT_STREAMS));
        let mut endpoint = Endpoint::server(server, address)?;
        endpoint.set_default_client_config(client);
        tokio::spawn(accept_connections(endpoint.clone(), handler));
        let disconnected = |peer: &settings::Peer| PeerConnection {
            settings: peer.clone(),
            connection: Mutex::default(),
        };
        let peers = config.hosts.iter().map(disconnected).collect();
        Ok(Peers {
            inner: Arc::new(Inner {
                local_host: local_host.clone(),
                runtime: Handle::current(),
                endpoint,
                peers,
            }),
        })
    }

    /// Returns the address that the endpoint is bound to.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket does not give its address.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.inner.endpoint.local_addr()
    }

    /// Probes whether a host is alive; returns `None` when it does not answer, or answers under
    /// another name.
    pub async fn probe(&self, host: &str) -> Option<Alive> {
        let probe = Probe { from: FastStr::new(self.inner.local_host.as_str()) };
        match self.call(host, call::Body::Probe(probe)).await? {
            reply::Body::Alive(alive) if alive.host == host => Some(alive),
            _ => None,
        }
    }

    /// Returns a host's decision record of a request as JSON, empty when the host has none, or
    /// `None` when the host does not answer.
    pub async fn explain(&self, host: &str, request_id: &str) -> Option<FastStr> {
        let explain = Explain { request: FastStr::new(request_id) };
        match self.call(host, call::Body::Explain(explain)).await? {
            reply::Body::Record(record) => Some(record.json),
            reply::Body::Alive(_) => None,
        }
    }

    /// Closes all connections, and waits until the other hosts know it, up to `CLOSE_TIMEOUT`.
    pub async fn close(&self) {
        self.inner.endpoint.close(VarInt::from_u32(0), b"shut down");
        let _ = timeout(CLOSE_TIMEOUT, self.inner.endpoint.wait_idle()).await;
    }

    /// Makes one call to a host. Returns `None` when there is no such peer, or the call fails or
    /// times out.
    async fn call(&self, host: &str, body: call::Body) -> Option<reply::Body> {
        let peer = self.inner.peers.iter().find(|it| it.settings.name.as_str() == host)?;
        let result = timeout(CALL_TIMEOUT, self.exchange(peer, body)).await;
        match result {
            Ok(Some(body)) => Some(body),
            _ => {
                // The next call opens a new connection.
                *peer.connection.lock().await = None;
                None
            }
        }
    }

    /// Sends a call over the connection to a peer, and reads its reply.
    async fn exchange(&self, peer: &PeerConnection, body: call::Body) -> Option<reply::Body> {
        let connection = self.connect(peer).await?;
        let (mut send, mut recv) = connection.open_bi().await.ok()?;
        send.write_all(&encode(&Call { body: Some(body) })).await.ok()?;
        send.finish().ok()?;
        let bytes = recv.read_to_end(MAX_MESSAGE_BYTES).await.ok()?;
        Reply::decode(Bytes::from(bytes)).ok()?.body
    }

    /// Returns the open connection to a peer, or opens one.
    async fn connect(&self, peer: &PeerConnection) -> Option<Connection> {
        let mut current = peer.connection.lock().await;
        if let Some(connection) = current.as_ref().filter(|it| it.close_reason().is_none()) {
            return Some(connection.clone());
        }
        let name = tls::certificate_name(&peer.settings.name);
        let (endpoint, address) = (self.inner.endpoint.clone(), peer.settings.address);
        let connecting = self.inner.runtime.spawn(async move {
            let connecting = endpoint.connect(address, &name).ok()?;
            connecting.await.ok()
        });
        let connection = connecting.await.ok()??;
        *current = Some(connection.clone());
        Some(connection)
    }
}

/// Returns the QUIC settings of connections between hosts: one is closed after `idle_timeout_ms`
/// milliseconds without traffic, and the other side may have `max_streams` calls open at once.
pub(crate) fn transport_config(idle_timeout_ms: u32, max_streams: u32) -> Arc<TransportConfig> {
    let mut config = TransportConfig::default();
    config.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(idle_timeout_ms))));
    config.max_concurrent_bidi_streams(VarInt::from_u32(max_streams));
    config.max_concurrent_uni_streams(VarInt::from_u32(0));
    Arc::new(config)
}

/// Answers the calls of other hosts until the endpoint is closed.
async fn accept_connections<A>(endpoint: Endpoint, handler: Arc<A>)
where
    A: Handler,
{
    while let Some(incoming) = endpoint.accept().await {
        let handler = handler.clone();
        tokio::spawn(async move {
            let Ok(connection) = incoming.await else { return };
            while let Ok((mut send, mut recv)) = connection.accept_bi().await {
                let handler = handler.clone();
                tokio::spawn(async move {
                    let bytes = recv.read_to_end(MAX_MESSAGE_BYTES).await.ok()?;
                    let call = Call::decode(Bytes::from(bytes)).ok()?;
                    let reply = answer(&*handler, call.body?);
                    send.write_all(&encode(&reply)).await.ok()?;
                    send.finish().ok()
                });
            }
        });
    }
}

fn answer<A>(handler: &A, body: call::Body) -> Reply
where
    A: Handler,
{
    let body = match body {
        call::Body::Probe(_) => reply::Body::Alive(handler.alive()),
        call::Body::Explain(explain) => {
            let json = handler.record(&explain.request).unwrap_or_default().into();
            reply::Body::Record(Record { json })
        }
    };
    Reply { body: Some(body) }
}

/// Returns the Protocol Buffers encoding of a message between hosts.
pub(crate) fn encode<M>(message: &M) -> Bytes
where
    M: Message,
{
    let mut bytes = LinkedBytes::new();
    // Encoding into memory cannot fail.
    let _ = message.encode(&mut bytes);
    bytes.concat().freeze()
}
