//! Bodies of responses that are read whole before they are passed on. What a host buffers of them is bounded,
//! for one body and for all together: an upstream in trouble may send without end.

use std::sync::atomic::{AtomicUsize, Ordering};

use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error as ThisError;

use crate::prelude::*;

/// Largest body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Bytes of all bodies that a host buffers at a time. Beyond it, only small bodies are read to their end.
const MAX_BUFFERED_BYTES: usize = 16 << 20;
/// Size up to which a body is small, in bytes.
const SMALL_BODY_BYTES: usize = 64 << 10;

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ThisError)]
pub enum ReadError {
    /// The connection broke, or the body is not valid.
    #[error("the body broke off")]
    Broken,
    /// The body is larger than one may be, or than this host can buffer now.
    #[error("the body is too large: {bytes} bytes, with {all_bytes} bytes of all bodies")]
    TooLarge {
        /// Bytes of this body so far.
        bytes: usize,
        /// Bytes of all bodies.
        all_bytes: usize,
    },
}

/// How many bytes of all bodies a host buffers.
#[derive(Debug, Default)]
pub struct Usage(AtomicUsize);

impl Usage {
    /// Returns the bytes that are buffered now.
    pub fn bytes(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

/// One body while it is read; its bytes count as buffered until it is dropped.
#[derive(Debug)]
pub(crate) struct Buffer {
    usage: Arc<Usage>,
    bytes: usize,
}

impl Buffer {
    /// Creates a buffer without bytes.
    pub(crate) fn new(usage: Arc<Usage>) -> Self {
        Buffer { usage, bytes: 0 }
    }

    /// Reads a body to its end.
    ///
    /// # Errors
    ///
    /// Returns an error when the body breaks off or is too large.
    pub(crate) async fn read(mut self, mut body: Incoming) -> Result<Bytes, ReadError> {
        let mut frames: SmallVec<[Bytes; 4]> = SmallVec::new();
        while let Some(frame) = body.frame().await {
            // Trailers are not passed on.
            let Ok(data) = frame.map_err(|_| ReadError::Broken)?.into_data() else { continue };
            self.grow(data.len())?;
            frames.push(data);
        }
        Ok(match frames.len() {
            1 => frames.remove(0),
            _ => frames.concat().into(),
        })
    }

    fn grow(&mut self, more: usize) -> Result<(), ReadError> {
        self.bytes += more;
        let all_bytes = self.usage.0.fetch_add(more, Ordering::AcqRel) + more;
        let fits = self.bytes <= MAX_BODY_BYTES && all_bytes <= MAX_BUFFERED_BYTES;
        if fits || self.bytes <= SMALL_BODY_BYTES {
            return Ok(());
        }
        Err(ReadError::TooLarge { bytes: self.bytes, all_bytes })
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.usage.0.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
