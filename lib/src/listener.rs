//! Listener with optional TLS, a bound on connections in setup, and an end.

use std::{fmt, io, net::SocketAddr};

use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
    time::timeout,
};
use tokio_rustls::TlsAcceptor;
use tokio_util::sync::CancellationToken;
use volo::net::{
    conn::{Conn, ConnStream},
    incoming::{Incoming, MakeIncoming},
    tls::TlsStream,
};

use crate::prelude::*;

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections that may be in setup at once, TLS handshakes for the most part.
const SETUPS: usize = 1024;
/// Bytes that wait in the kernel for one caller; it keeps as much again for itself.
const SEND_BUFFER: usize = 64 << 10;
const READY_CONNECTIONS: usize = 64;

/// A listener for the HTTP server.
pub struct Listener {
    local: SocketAddr,
    ready: mpsc::Receiver<Conn>,
}

impl Listener {
    /// Listens at an address until `stop` is cancelled.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be listened at.
    pub async fn bind(
        address: SocketAddr,
        tls: Option<TlsAcceptor>,
        stop: CancellationToken,
    ) -> io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        let local = socket.local_addr()?;
        let (sender, ready) = mpsc::channel(READY_CONNECTIONS);
        let limit = Arc::new(Semaphore::new(SETUPS));
        tokio::spawn(accept(socket, tls, limit, sender, stop));
        Ok(Listener { local, ready })
    }

    /// Returns the address that is listened at.
    pub fn local_addr(&self) -> SocketAddr {
        self.local
    }
}

impl fmt::Debug for Listener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Listener({})", self.local)
    }
}

impl MakeIncoming for Listener {
    type Incoming = Listener;

    async fn make_incoming(self) -> io::Result<Listener> {
        Ok(self)
    }
}

impl Incoming for Listener {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        match self.ready.recv().await {
            Some(conn) => Ok(Some(conn)),
            // The HTTP server would ask again at once; its end is decided elsewhere.
            None => std::future::pending().await,
        }
    }
}

async fn accept(
    socket: TcpListener,
    tls: Option<TlsAcceptor>,
    limit: Arc<Semaphore>,
    ready: mpsc::Sender<Conn>,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = next(&socket, &limit) => accepted,
        };
        match accepted {
            Ok((stream, permit)) => {
                // A handshake takes place beside the loop: a caller that stalls in one
                // must not keep others out.
                tokio::spawn(hand_over(stream, permit, tls.clone(), ready.clone()));
            }
            Err(err) => {
                log::warn!(error = err.to_string().as_str(); "accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn next(
    socket: &TcpListener,
    limit: &Arc<Semaphore>,
) -> io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let permit = limit.clone().acquire_owned().await.map_err(io::Error::other)?;
    let (stream, _) = socket.accept().await?;
    Ok((stream, permit))
}

async fn hand_over(
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
    tls: Option<TlsAcceptor>,
    ready: mpsc::Sender<Conn>,
) {
    // Without a bound the kernel would hold megabytes for a caller that takes nothing.
    if let Err(err) = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER) {
        log::debug!(error = err.to_string().as_str(); "send buffer keeps its size");
    }
    let conn = match tls {
        None => ConnStream::from(stream),
        Some(acceptor) => match timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await {
            Ok(Ok(stream)) => {
                let stream = tokio_rustls::TlsStream::Server(stream);
                ConnStream::Tls(TlsStream::from(stream))
            }
            Ok(Err(err)) => {
                log::debug!(error = err.to_string().as_str(); "TLS handshake failed");
                return;
            }
            Err(_) => return,
        },
    };
    if ready.send(Conn::from(conn)).await.is_ok() {
        drop(permit);
    }
}
