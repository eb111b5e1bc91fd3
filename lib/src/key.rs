//! Callers' keys, held only as hashes.

use std::{collections::HashMap, fmt};

use sha2::{Digest, Sha256};

use crate::prelude::*;

/// The SHA-256 of a caller's key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Hash([u8; 32]);

impl Hash {
    /// Hashes a key as the caller sent it.
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

/// Whom a key stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The key's workspace.
    pub workspace: Workspace,
    /// The key's priority class.
    pub class: Class,
}

/// All keys. A key is looked up by its hash, so that comparing takes the same time
/// whatever part of it is right.
#[derive(Clone, Debug, Default)]
pub struct Index {
    callers: HashMap<Hash, Caller>,
}

impl Index {
    /// Adds a key; returns false when it is there already.
    pub fn insert(&mut self, hash: Hash, caller: Caller) -> bool {
        self.callers.insert(hash, caller).is_none()
    }

    /// Finds the caller that a key stands for.
    pub fn find(&self, key: &str) -> Option<&Caller> {
        self.callers.get(&Hash::of(key))
    }
}
