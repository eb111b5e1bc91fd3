//! Prompt parts that crash upstreams.

use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

/// Largest number of parts of one request that are looked at.
pub const MAX_REQUEST_PARTS: usize = 16;

/// Identifies a prompt part: a hash of its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u64);

impl Key {
    /// Returns the key of the part with this id.
    pub fn new(id: &str) -> Self {
        Key(xxh3_64(id.as_bytes()))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
