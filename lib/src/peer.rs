//! Calls between hosts, over QUIC with mutual TLS.

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

const MESSAGE_BYTES: usize = 256 << 10;
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for the other hosts to learn that this one is gone.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_MS: u32 = 30_000;
/// Calls that one other host may have open at once.
const STREAMS: u32 = 64;

/// Why peers cannot be set up, or a call failed.
#[derive(Debug, ThisError)]
pub enum PeerError {
    /// The certificates are not usable.
    #[error("peers: {0}")]
    Tls(#[from] tls::TlsError),
    /// The address cannot be listened at.
    #[error("peers: cannot listen: {0}")]
    Listen(#[from] std::io::Error),
    /// The certificates do not suit QUIC.
    #[error("peers: {0}")]
    Quic(#[from] quinn::crypto::rustls::NoInitialCipherSuite),
}

/// Answers the calls of other hosts.
pub trait Handler: Send + Sync + 'static {
    /// Tells that this host is alive.
    fn alive(&self) -> Alive;
    /// Finds the record of a request, as JSON.
    fn record(&self, request: &str) -> Option<String>;
}

/// The other hosts.
#[derive(Clone)]
pub struct Peers {
    inner: Arc<Inner>,
}

struct Inner {
    me: Host,
    /// Drives the connections, whichever thread calls.
    runtime: Handle,
    endpoint: Endpoint,
    hosts: Vec<Link>,
}

struct Link {
    peer: settings::Peer,
    connection: Mutex<Option<Connection>>,
}

impl Peers {
    /// Listens at an address and answers other hosts with `handler`.
    ///
    /// # Errors
    ///
    /// Returns an error when the certificates or the address cannot be used.
    pub fn bind<A>(
        me: &Host,
        address: SocketAddr,
        config: &settings::Peers,
        handler: Arc<A>,
    ) -> Result<Self, PeerError>
    where
        A: Handler,
    {
        let server = QuicServerConfig::try_from(tls::peer_server_config(config)?)?;
        let mut server = ServerConfig::with_crypto(Arc::new(server));
        server.transport_config(transport_config(IDLE_MS, STREAMS));
        let client = QuicClientConfig::try_from(tls::peer_client_config(config)?)?;
        let mut client = ClientConfig::new(Arc::new(client));
        client.transport_config(transport_config(IDLE_MS, STREAMS));
        let mut endpoint = Endpoint::server(server, address)?;
        endpoint.set_default_client_config(client);
        tokio::spawn(accept(endpoint.clone(), handler));
        let link =
            |peer: &settings::Peer| Link { peer: peer.clone(), connection: Mutex::default() };
        let hosts = config.hosts.iter().map(link).collect();
        Ok(Peers {
            inner: Arc::new(Inner { me: me.clone(), runtime: Handle::current(), endpoint, hosts }),
        })
    }

    /// Returns the address that is listened at.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket has none.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.inner.endpoint.local_addr()
    }

    /// Asks a host whether it is alive; none when it does not answer.
    pub async fn probe(&self, host: &str) -> Option<Alive> {
        let probe = Probe { from: FastStr::new(self.inner.me.as_str()) };
        match self.call(host, call::Body::Probe(probe)).await? {
            reply::Body::Alive(alive) if alive.host == host => Some(alive),
            _ => None,
        }
    }

    /// Asks a host for the record of a request.
    pub async fn explain(&self, host: &str, request: &str) -> Option<FastStr> {
        let explain = Explain { request: FastStr::new(request) };
        match self.call(host, call::Body::Explain(explain)).await? {
            reply::Body::Record(record) => Some(record.json),
            reply::Body::Alive(_) => None,
        }
    }

    /// Tells the other hosts that this one is gone.
    pub async fn close(&self) {
        self.inner.endpoint.close(VarInt::from_u32(0), b"shut down");
        let _ = timeout(CLOSE_TIMEOUT, self.inner.endpoint.wait_idle()).await;
    }

    async fn call(&self, host: &str, body: call::Body) -> Option<reply::Body> {
        let link = self.inner.hosts.iter().find(|it| it.peer.name.as_str() == host)?;
        let result = timeout(CALL_TIMEOUT, self.exchange(link, body)).await;
        match result {
            Ok(Some(body)) => Some(body),
            _ => {
                // The next call tries a new connection.
                *link.connection.lock().await = None;
                None
            }
        }
    }

    async fn exchange(&self, link: &Link, body: call::Body) -> Option<reply::Body> {
        let connection = self.connect(link).await?;
        let (mut send, mut recv) = connection.open_bi().await.ok()?;
        send.write_all(&encode(&Call { body: Some(body) })).await.ok()?;
        send.finish().ok()?;
        let bytes = recv.read_to_end(MESSAGE_BYTES).await.ok()?;
        Reply::decode(Bytes::from(bytes)).ok()?.body
    }

    async fn connect(&self, link: &Link) -> Option<Connection> {
        let mut held = link.connection.lock().await;
        if let Some(connection) = held.as_ref().filter(|it| it.close_reason().is_none()) {
            return Some(connection.clone());
        }
        let name = tls::certificate_name(&link.peer.name);
        let (endpoint, address) = (self.inner.endpoint.clone(), link.peer.address);
        let connecting = self.inner.runtime.spawn(async move {
            let connecting = endpoint.connect(address, &name).ok()?;
            connecting.await.ok()
        });
        let connection = connecting.await.ok()??;
        *held = Some(connection.clone());
        Some(connection)
    }
}

/// Returns the limits of connections between hosts: silence in milliseconds that ends one, and calls
/// that the other side may have open at once.
pub(crate) fn transport_config(idle_ms: u32, streams: u32) -> Arc<TransportConfig> {
    let mut config = TransportConfig::default();
    config.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(idle_ms))));
    config.max_concurrent_bidi_streams(VarInt::from_u32(streams));
    config.max_concurrent_uni_streams(VarInt::from_u32(0));
    Arc::new(config)
}

async fn accept<A>(endpoint: Endpoint, handler: Arc<A>)
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
                    let bytes = recv.read_to_end(MESSAGE_BYTES).await.ok()?;
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

/// Writes a message between hosts.
pub(crate) fn encode<M>(message: &M) -> Bytes
where
    M: Message,
{
    let mut bytes = LinkedBytes::new();
    // Writing to memory does not fail.
    let _ = message.encode(&mut bytes);
    bytes.concat().freeze()
}
