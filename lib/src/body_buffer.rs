//! Bodies that are read whole before they are passed on. A body is one block, whatever the chunks that it comes
//! in, and is charged to the host's [`Account`] until its last copy is dropped.

use http_body::Body as HttpBody;
use http_body_util::BodyExt;
use thiserror::Error as ThisError;

use crate::{
    memory_account::{Account, Charge, Owner, SMALL_BODY_BYTES},
    prelude::*,
};

/// Largest body of a response, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Largest body of an error response whose length is not announced, in bytes. It may have no end.
const MAX_ERROR_BYTES: usize = SMALL_BODY_BYTES;
/// Frames of a response's body from which their mean size matters.
const MAX_TINY_FRAMES: usize = 64 << 10;
/// Mean size below which frames are tiny, in bytes. Reading them takes much more processor time than their bytes.
const TINY_FRAME_BYTES: usize = 16;
/// First capacity of a block whose length is not known, in bytes.
const FIRST_CAPACITY: usize = 1 << 10;

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ThisError)]
pub enum ReadError {
    /// The connection broke, or the body is not valid.
    #[error("the body broke off")]
    Broken,
    /// The body is larger than one may be.
    #[error("the body is too large: {bytes} bytes")]
    TooLarge {
        /// Bytes of this body so far.
        bytes: usize,
    },
    /// The body comes in very many tiny frames.
    #[error("the body comes in tiny frames: {frames} of them for {bytes} bytes")]
    TinyFrames {
        /// Bytes of this body so far.
        bytes: usize,
        /// Its frames so far.
        frames: usize,
    },
    /// The body did not end in time.
    #[error("the body does not end")]
    Stalled,
    /// The host has no memory for the body now.
    #[error("no memory is left for the body: {bytes} bytes, with {all_bytes} bytes of all bodies")]
    NoMemory {
        /// Bytes of this body so far.
        bytes: usize,
        /// Bytes of all bodies of the kind.
        all_bytes: usize,
    },
}

/// One body while it is read.
#[derive(Debug)]
pub(crate) struct Buffer {
    account: Arc<Account>,
    owner: Owner,
    charge: Option<Charge>,
    max_bytes: usize,
}

/// The bytes of a body with what they are charged.
struct Block {
    bytes: Vec<u8>,
    _charge: Option<Charge>,
}

impl AsRef<[u8]> for Block {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Buffer {
    /// Creates a buffer for the body of a response. `charge` is what its announced length was charged.
    pub(crate) fn for_response(account: &Arc<Account>, charge: Option<Charge>) -> Self {
        let (account, owner) = (account.clone(), Owner::Responses);
        Buffer { account, owner, charge, max_bytes: MAX_BODY_BYTES }
    }

    /// Limits a body without an announced length to what the body of an error response may have.
    pub(crate) fn with_error_limit<B>(mut self, body: &B) -> Self
    where
        B: HttpBody,
    {
        if body.size_hint().exact().is_none() {
            self.max_bytes = MAX_ERROR_BYTES;
        }
        self
    }

    /// Creates a buffer for the body of a request of at most `max_bytes`. `charge` is what its announced length
    /// was charged.
    pub(crate) fn for_request(
        account: &Arc<Account>,
        max_bytes: usize,
        charge: Option<Charge>,
    ) -> Self {
        Buffer { account: account.clone(), owner: Owner::Requests, charge, max_bytes }
    }

    /// Reads a body to its end.
    ///
    /// # Errors
    ///
    /// Returns an error when the body breaks off, is too large, or does not fit into the host's memory.
    pub(crate) async fn read<B>(mut self, mut body: B) -> Result<Bytes, ReadError>
    where
        B: HttpBody<Data = Bytes> + Unpin,
    {
        let announced = body.size_hint().exact().and_then(|it| usize::try_from(it).ok());
        let mut block = Vec::new();
        if let Some(length) = announced {
            self.check_size(length)?;
            self.reserve(&mut block, length)?;
        }
        let mut frames = 0;
        while let Some(frame) = body.frame().await {
            // Trailers are not passed on.
            let Ok(data) = frame.map_err(|_| ReadError::Broken)?.into_data() else { continue };
            let length = block.len() + data.len();
            self.check_size(length)?;
            frames += 1;
            self.check_frames(length, frames)?;
            if length > block.capacity() {
                let capacity = length.max(2 * block.capacity()).max(FIRST_CAPACITY);
                self.reserve(&mut block, capacity)?;
            }
            block.extend_from_slice(&data);
        }
        if block.is_empty() {
            return Ok(Bytes::new());
        }
        Ok(Bytes::from_owner(Block { bytes: block, _charge: self.charge }))
    }

    /// Checks that the body of a response costs no more processor time than its size explains.
    fn check_frames(&self, bytes: usize, frames: usize) -> Result<(), ReadError> {
        let is_tiny = frames > MAX_TINY_FRAMES && bytes / frames < TINY_FRAME_BYTES;
        match is_tiny && self.owner == Owner::Responses {
            true => Err(ReadError::TinyFrames { bytes, frames }),
            false => Ok(()),
        }
    }

    fn check_size(&self, bytes: usize) -> Result<(), ReadError> {
        if bytes > self.max_bytes { Err(ReadError::TooLarge { bytes }) } else { Ok(()) }
    }

    /// Makes room for `capacity` bytes in a block.
    fn reserve(&mut self, block: &mut Vec<u8>, capacity: usize) -> Result<(), ReadError> {
        // While a block moves to a larger one, both are allocated.
        let needed = capacity + block.capacity();
        let fits = match &mut self.charge {
            Some(charge) => charge.try_grow(needed),
            None => {
                self.charge = self.account.try_charge(self.owner, needed);
                self.charge.is_some()
            }
        };
        if !fits {
            let all_bytes = self.account.used(self.owner);
            return Err(ReadError::NoMemory { bytes: block.len(), all_bytes });
        }
        block.reserve_exact(capacity - block.len());
        if let Some(charge) = &mut self.charge {
            charge.shrink(block.capacity());
        }
        Ok(())
    }
}

/// Returns the announced length of a body that is so large that it may find no memory.
pub(crate) fn large_length<B>(body: &B) -> Option<usize>
where
    B: HttpBody,
{
    let length = usize::try_from(body.size_hint().exact()?).unwrap_or(usize::MAX);
    (length > SMALL_BODY_BYTES).then_some(length)
}
