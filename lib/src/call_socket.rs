//! Sockets of calls that are given up, which are reset instead of closed.
//!
//! After an ordinary close, the kernel goes on sending what the other side has not acknowledged. A request
//! that was given up while a link was cut would arrive once the link heals, long after another upstream has
//! answered.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Whether a connection is in the middle of a call.
#[derive(Clone, Debug, Default)]
pub struct CallState(Arc<AtomicBool>);

impl CallState {
    /// Records that a request is about to be sent.
    pub fn begin(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Records that the response has been read to its end.
    pub fn finish(&self) {
        self.0.store(false, Ordering::Relaxed);
    }

    fn is_open(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A socket that is reset if it is dropped in the middle of a call, and else closed.
#[derive(Debug)]
pub struct CallSocket {
    stream: TcpStream,
    call: CallState,
}

impl CallSocket {
    /// Wraps a connected stream. The owner of `call` keeps it up to date.
    pub fn new(stream: TcpStream, call: CallState) -> Self {
        CallSocket { stream, call }
    }
}

impl Drop for CallSocket {
    fn drop(&mut self) {
        if self.call.is_open()
            && let Err(err) = self.stream.set_zero_linger()
        {
            log::debug!(error = err.to_string().as_str(); "a connection cannot be reset");
        }
    }
}

impl AsyncRead for CallSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
