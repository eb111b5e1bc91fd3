//! Requests that upstreams do not survive: counted by what they hold, kept away in time.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
};

use crate::prelude::*;

/// Upstreams that broke off before a request is kept away from all others.
const CRASHES: usize = 2;
/// How long a request is remembered.
const MEMORY: Duration = Duration::from_secs(120);
/// Requests that are remembered at once.
const REMEMBERED: usize = 4096;

/// What a request holds, as far as a repeat of it holds the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Takes the fingerprint of a request.
    pub fn new(path: &str, key: Option<&str>, body: &[u8]) -> Self {
        // The default hasher has fixed keys, so that all hosts get the same.
        let mut hasher = DefaultHasher::new();
        (path, key, body).hash(&mut hasher);
        Fingerprint(hasher.finish())
    }
}

/// An upstream broke off while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The request.
    pub request: Fingerprint,
    /// The upstream.
    pub upstream: Upstream,
}

/// The requests that were seen at a crash.
#[derive(Debug, Default)]
pub struct Quarantine {
    seen: HashMap<Fingerprint, (Instant, SmallVec<[Upstream; 3]>)>,
}

impl Quarantine {
    /// Counts a crash; true when it was not known.
    pub fn record_crash(&mut self, now: Instant, crash: &Crash) -> bool {
        if self.seen.len() >= REMEMBERED {
            self.seen.retain(|_, (at, _)| now.since(*at) < MEMORY / 4);
        }
        let (at, upstreams) = self.seen.entry(crash.request).or_default();
        *at = now;
        if upstreams.contains(&crash.upstream) {
            return false;
        }
        upstreams.push(crash.upstream.clone());
        true
    }

    /// Forgets a request that an upstream has run to its end.
    pub fn clear(&mut self, request: Fingerprint) {
        if !self.seen.is_empty() {
            self.seen.remove(&request);
        }
    }

    /// Tells whether a request is kept away from upstreams.
    pub fn is_quarantined(&self, now: Instant, request: Fingerprint) -> bool {
        let Some((at, upstreams)) = self.seen.get(&request) else { return false };
        upstreams.len() >= CRASHES && now.since(*at) < MEMORY
    }

    /// Forgets what is old.
    pub fn purge(&mut self, now: Instant) {
        self.seen.retain(|_, (at, _)| now.since(*at) < MEMORY);
    }
}
