//! Server-sent events: cuts a stream of bytes into whole events.

use bytes::BytesMut;

use crate::prelude::*;

/// Bytes of an event beyond which the stream is not one.
const EVENT_BYTES: usize = 256 << 10;

/// One event as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, the empty line at the end included.
    pub bytes: Bytes,
    /// Its id, where it has a number.
    pub id: Option<u64>,
}

/// Cuts a stream into events.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
}

impl Decoder {
    /// Takes bytes of the stream; false when they cannot be events.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= EVENT_BYTES
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = end(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns the bytes of an event that has not come to its end.
    pub fn take_remaining(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}

/// Finds the end of the first event: behind its empty line.
fn end(bytes: &[u8]) -> Option<usize> {
    let mut line = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let empty = matches!(&bytes[line..at], b"" | b"\r");
        if empty {
            return Some(at + 1);
        }
        line = at + 1;
    }
    None
}

fn id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|it| *it == b'\n');
    let value = lines.find_map(|it| it.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
