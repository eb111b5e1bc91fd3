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
    /// Start of the first line that has not been searched for the end of an event. An event that never
    /// ends may come in very many pieces, so each byte is searched only once.
    line_start: usize,
    /// Bytes that hold no end of a line from `line_start` on.
    searched: usize,
}

impl Decoder {
    /// Appends bytes of the stream. Returns false if the buffered bytes exceed the largest event.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_event_end()?;
        (self.line_start, self.searched) = (0, 0);
        let bytes = self.buffer.split_to(end).freeze();
        let id = parse_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns whether there are no bytes of an incomplete event.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Removes and returns the bytes of an incomplete event.
    pub fn take_remaining(&mut self) -> Bytes {
        (self.line_start, self.searched) = (0, 0);
        self.buffer.split().freeze()
    }

    /// Returns the offset behind the empty line that ends the first event, or `None` if that is
    /// incomplete.
    fn find_event_end(&mut self) -> Option<usize> {
        while let Some(length) = self.buffer[self.searched..].iter().position(|it| *it == b'\n') {
            let line_end = self.searched + length;
            let is_empty = matches!(&self.buffer[self.line_start..line_end], b"" | b"\r");
            (self.line_start, self.searched) = (line_end + 1, line_end + 1);
            if is_empty {
                return Some(line_end + 1);
            }
        }
        self.searched = self.buffer.len();
        None
    }
}

/// Returns the value of the first `id` field, if it is a number.
fn parse_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|it| *it == b'\n');
    let value = lines.find_map(|it| it.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
