//! Quarantine of poison requests: a request during which several upstreams crashed is sent to no
//! further one.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
};

use crate::prelude::*;

/// Number of different upstreams that crashed on a request before it is quarantined.
const CRASH_LIMIT: usize = 2;
/// How long a request is remembered after its last crash.
const RETENTION: Duration = Duration::from_secs(120);
/// Number of remembered requests at which those older than a quarter of [`RETENTION`] are dropped.
const PRUNE_THRESHOLD: usize = 4096;

/// Hash of the parts of a request that are the same when the caller repeats it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a request; `key` is the caller's API key.
    pub fn new(path: &str, key: Option<&str>, body: &[u8]) -> Self {
        // `DefaultHasher::new` has fixed keys, so that all hosts compute the same fingerprint.
        let mut hasher = DefaultHasher::new();
        (path, key, body).hash(&mut hasher);
        Fingerprint(hasher.finish())
    }
}

/// A connection to an upstream that broke while the upstream ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The request.
    pub request: Fingerprint,
    /// The upstream.
    pub upstream: Upstream,
}

/// The requests during which upstreams crashed, each with the time of the last crash and the
/// upstreams that crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashed: HashMap<Fingerprint, (Instant, SmallVec<[Upstream; 3]>)>,
}

impl Quarantine {
    /// Records a crash; returns whether this upstream had not crashed on the request before.
    pub fn record_crash(&mut self, now: Instant, crash: &Crash) -> bool {
        if self.crashed.len() >= PRUNE_THRESHOLD {
            self.crashed.retain(|_, (at, _)| now.since(*at) < RETENTION / 4);
        }
        let (at, upstreams) = self.crashed.entry(crash.request).or_default();
        *at = now;
        if upstreams.contains(&crash.upstream) {
            return false;
        }
        upstreams.push(crash.upstream.clone());
        true
    }

    /// Forgets a request that an upstream has completed.
    pub fn clear(&mut self, request: Fingerprint) {
        if !self.crashed.is_empty() {
            self.crashed.remove(&request);
        }
    }

    /// Returns whether a request must not be sent to any upstream.
    pub fn is_quarantined(&self, now: Instant, request: Fingerprint) -> bool {
        let Some((at, upstreams)) = self.crashed.get(&request) else { return false };
        upstreams.len() >= CRASH_LIMIT && now.since(*at) < RETENTION
    }

    /// Forgets requests whose last crash is too long ago.
    pub fn purge(&mut self, now: Instant) {
        self.crashed.retain(|_, (at, _)| now.since(*at) < RETENTION);
    }
}
