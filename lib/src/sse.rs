//! Incremental decoder that splits a byte stream into server-sent events.

use bytes::BytesMut;

use crate::prelude::*;

/// Largest event in bytes; a longer one counts as a broken stream.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// An event, with its bytes as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes of the event, including the empty line at its end.
    pub bytes: Bytes,
    /// The value of its `id` field, if that is a number.
    pub id: Option<u64>,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
}

impl Decoder {
    /// Appends bytes of the stream. Returns false if the buffered bytes exceed the largest event.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = find_event_end(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = parse_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Removes and returns the bytes of an incomplete event.
    pub fn take_remaining(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}

/// Returns the offset behind the empty line that ends the first event, or `None` if that is
/// incomplete.
fn find_event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let empty = matches!(&bytes[line_start..at], b"" | b"\r");
        if empty {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

/// Returns the value of the first `id` field, if it is a number.
fn parse_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|it| *it == b'\n');
    let value = lines.find_map(|it| it.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
