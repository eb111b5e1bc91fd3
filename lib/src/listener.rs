//! TCP listener for the HTTP server, with optional TLS, a limit on connections in setup, and
//! shutdown by a cancellation token.

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
/// Pause after a failed accept, for example because no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Largest number of connections in setup, which are mostly in their TLS handshake.
const MAX_SETUPS: usize = 1024;
/// Socket send buffer of one connection in bytes; the kernel doubles it for its own overhead.
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Largest number of connections that are set up and wait for the HTTP server.
const MAX_READY: usize = 64;

/// Accepts connections and passes them to the HTTP server once they are set up.
pub struct Listener {
    local_addr: SocketAddr,
    /// Connections that are set up.
    ready: mpsc::Receiver<Conn>,
}

impl Listener {
    /// Binds an address and accepts connections until `closing` is cancelled.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        tls: Option<TlsAcceptor>,
        closing: CancellationToken,
    ) -> io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        let local_addr = socket.local_addr()?;
        let (sender, ready) = mpsc::channel(MAX_READY);
        let permits = Arc::new(Semaphore::new(MAX_SETUPS));
        tokio::spawn(accept(socket, tls, permits, sender, closing));
        Ok(Listener { local_addr, ready })
    }

    /// Returns the bound address.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }
}

impl fmt::Debug for Listener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Listener({})", self.local_addr)
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
            // `Ok(None)` would make the HTTP server call again at once. It is shut down
            // elsewhere.
            None => std::future::pending().await,
        }
    }
}

/// Accepts connections and sets up each one in its own task.
async fn accept(
    socket: TcpListener,
    tls: Option<TlsAcceptor>,
    permits: Arc<Semaphore>,
    ready: mpsc::Sender<Conn>,
    closing: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = closing.cancelled() => return,
            accepted = accept_next(&socket, &permits) => accepted,
        };
        match accepted {
            Ok((stream, permit)) => {
                // The handshake runs in its own task: a caller that stalls in it must not
                // block others.
                tokio::spawn(set_up(stream, permit, tls.clone(), ready.clone()));
            }
            Err(err) => {
                log::warn!(error = err.to_string().as_str(); "accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Waits until a setup permit is free, then accepts a connection.
async fn accept_next(
    socket: &TcpListener,
    permits: &Arc<Semaphore>,
) -> io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let permit = permits.clone().acquire_owned().await.map_err(io::Error::other)?;
    let (stream, _) = socket.accept().await?;
    Ok((stream, permit))
}

/// Performs the TLS handshake, if any, and passes the connection to the HTTP server. A handshake
/// that fails or times out drops the connection.
async fn set_up(
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
    tls: Option<TlsAcceptor>,
    ready: mpsc::Sender<Conn>,
) {
    // Without a limit, the kernel would buffer megabytes for a caller that reads nothing.
    if let Err(err) = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES) {
        log::debug!(error = err.to_string().as_str(); "send buffer size cannot be set");
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
