//! Rendezvous hashing (highest random weight): all hosts rank the same names in the same order for
//! a key.

use sha2::{Digest, Sha256};

/// Hashes the parts of a key. Parts are length-prefixed, so that two lists of parts with the same
/// concatenation get different hashes.
pub fn hash_parts(parts: &[&str]) -> u64 {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    first_word(&hash.finalize())
}

/// Returns a number from 0 to 1, exclusive, that is evenly distributed over the parts of a key.
pub fn fraction(parts: &[&str]) -> f64 {
    (hash_parts(parts) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Returns the weight of a name for a key; the highest weight ranks first.
pub fn weight(key: u64, name: &str) -> u64 {
    let mut hash = Sha256::new();
    hash.update(key.to_le_bytes());
    hash.update(name.as_bytes());
    first_word(&hash.finalize())
}

fn first_word(digest: &[u8]) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(word)
}

/// Mixes the bits of a number, so that similar inputs give unrelated outputs. Far cheaper than
/// [`weight`], for ranks that are computed for each request.
pub fn mix64(value: u64) -> u64 {
    // The finalizer of SplitMix64.
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
