//! Chunks of responses that callers have not read yet. A caller that reads slowly holds no engine's slot while
//! the host has memory for what is unread: the upstream's response is read on, within a budget for all
//! responses together.
//!
//! Load pattern: hundreds of callers read slowly at the same moment, and engines cut off responses that stay
//! unread for some seconds.

use std::task::{Context, Poll};

use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::prelude::*;

/// Chunks of each response that need nothing of the budget, so that slow callers cannot hold up the others.
const OWN_CHUNKS: usize = 32;
/// The same for a response of which the host keeps nothing else, because it has no memory for the whole.
const NARROW_CHUNKS: usize = 4;
/// Fraction of the host's memory that unread chunks may take beyond that.
const MEMORY_FRACTION: u64 = 16;
/// Memory that a chunk takes beside its bytes, in bytes.
const CHUNK_OVERHEAD: usize = 128;
/// Largest part of the budget that one response may take, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 << 10;

/// Memory for unread chunks that all responses share.
#[derive(Clone, Debug)]
pub struct Budget {
    left: Arc<Semaphore>,
    size: usize,
}

impl Budget {
    /// Creates the budget of a host with this much memory, in bytes. Without memory, each response has only
    /// the chunks that need no budget.
    pub fn new(memory: u64) -> Self {
        let size = usize::try_from(memory / MEMORY_FRACTION).unwrap_or(usize::MAX);
        let size = size.min(Semaphore::MAX_PERMITS);
        Budget { left: Arc::new(Semaphore::new(size)), size }
    }

    /// Returns the bytes of the budget that are taken.
    pub fn used(&self) -> usize {
        self.size.saturating_sub(self.left.available_permits())
    }

    /// Creates a channel for the chunks of one response.
    pub fn channel<T>(&self) -> (Sender<T>, Receiver<T>) {
        self.channel_with(OWN_CHUNKS, MAX_RESPONSE_BYTES)
    }

    /// Creates a channel for a response that is read from its upstream no faster than the caller reads it.
    pub fn narrow_channel<T>(&self) -> (Sender<T>, Receiver<T>) {
        self.channel_with(NARROW_CHUNKS, 0)
    }

    fn channel_with<T>(&self, own: usize, response: usize) -> (Sender<T>, Receiver<T>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let sender = Sender {
            chunks: sender,
            own: Arc::new(Semaphore::new(own)),
            response: Arc::new(Semaphore::new(response)),
            shared: self.left.clone(),
        };
        (sender, Receiver { chunks: receiver })
    }
}

/// The caller of a response has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

/// What a chunk takes until it is read.
#[derive(Debug)]
enum Room {
    /// One of the response's own chunks.
    Own { _chunk: OwnedSemaphorePermit },
    /// A part of the budget, within the largest part of one response.
    Shared { _response: OwnedSemaphorePermit, _budget: OwnedSemaphorePermit },
}

/// Where the chunks of a response are written.
#[derive(Debug)]
pub struct Sender<T> {
    chunks: mpsc::UnboundedSender<(T, Room)>,
    own: Arc<Semaphore>,
    response: Arc<Semaphore>,
    shared: Arc<Semaphore>,
}

impl<T> Sender<T> {
    /// Writes a chunk of `bytes` bytes; waits while there is no room for it.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has left.
    pub async fn send(&self, chunk: T, bytes: usize) -> Result<(), Closed> {
        let room = match self.try_room(bytes) {
            Some(room) => room,
            None => tokio::select! {
                () = self.chunks.closed() => return Err(Closed),
                own = self.own.clone().acquire_owned() => {
                    Room::Own { _chunk: own.map_err(|_| Closed)? }
                }
            },
        };
        self.chunks.send((chunk, room)).map_err(|_| Closed)
    }

    /// Waits until the caller has left.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Takes room for a chunk, unless there is none now.
    fn try_room(&self, bytes: usize) -> Option<Room> {
        if let Ok(chunk) = self.own.clone().try_acquire_owned() {
            return Some(Room::Own { _chunk: chunk });
        }
        let bytes = u32::try_from(bytes.saturating_add(CHUNK_OVERHEAD)).ok()?;
        let response = self.response.clone().try_acquire_many_owned(bytes).ok()?;
        let budget = self.shared.clone().try_acquire_many_owned(bytes).ok()?;
        Some(Room::Shared { _response: response, _budget: budget })
    }
}

/// Where the chunks of a response are read, in the order in which they were written.
#[derive(Debug)]
pub struct Receiver<T> {
    chunks: mpsc::UnboundedReceiver<(T, Room)>,
}

impl<T> Receiver<T> {
    /// Polls for the next chunk; `None` is the end. What the chunk took is free again.
    pub fn poll_recv(&mut self, cx: &mut Context<'_>) -> Poll<Option<T>> {
        self.chunks.poll_recv(cx).map(|it| it.map(|(chunk, _room)| chunk))
    }

    /// Waits for the next chunk; `None` is the end. What the chunk took is free again.
    pub async fn recv(&mut self) -> Option<T> {
        self.chunks.recv().await.map(|(chunk, _room)| chunk)
    }
}
