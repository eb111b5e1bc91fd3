//! API keys of callers, held only as SHA-256 hashes.

use std::{collections::HashMap, fmt};

use sha2::{Digest, Sha256};

use crate::prelude::*;

/// The SHA-256 hash of an API key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Hash([u8; 32]);

impl Hash {
    /// Returns the hash of a key as the caller sent it.
    pub fn of(key: &str) -> Self {
        Hash(Sha256::digest(key.as_bytes()).into())
    }
}

impl TryFrom<&str> for Hash {
    type Error = String;

    fn try_from(hex: &str) -> Result<Self, String> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(hex, &mut bytes).map_err(|_| "must be 64 hexadecimal digits")?;
        Ok(Hash(bytes))
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Hash(..)")
    }
}

/// The caller that an API key identifies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The key's workspace.
    pub workspace: Workspace,
    /// The key's priority class.
    pub class: Class,
}

/// All API keys. Keys are looked up by their hashes, so that the time of a comparison does not
/// reveal how much of a guessed key is right.
#[derive(Clone, Debug, Default)]
pub struct Index {
    callers: HashMap<Hash, Caller>,
}

impl Index {
    /// Adds a key. Returns false if the index already had it.
    pub fn insert(&mut self, hash: Hash, caller: Caller) -> bool {
        self.callers.insert(hash, caller).is_none()
    }

    /// Returns the caller that a key identifies.
    pub fn find(&self, key: &str) -> Option<&Caller> {
        self.callers.get(&Hash::of(key))
    }
}
