//! Quarantine of poison requests: a request during which several upstreams crashed is sent to no
//! further one.

use std::{collections::HashMap, fmt};

use xxhash_rust::xxh3::Xxh3;

use crate::prelude::*;

/// Sum of the weights of different upstreams' crashes on a request at which it is quarantined.
const CRASH_LIMIT: u32 = 4;
/// Weight of a crash.
const CERTAIN_WEIGHT: u32 = 2;
/// Weight of a break that something else may explain, see [`Crash::suspected`].
const SUSPECTED_WEIGHT: u32 = 1;
/// How long a request is remembered after its last crash.
const RETENTION: Duration = Duration::from_secs(120);
/// Largest number of remembered requests; beyond it, the one with the oldest crash is dropped.
const MAX_REQUESTS: usize = 4096;

/// Hash of the parts of a request that are the same when the caller repeats it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a request; `key` is the caller's API key.
    pub fn new(path: &str, key: Option<&str>, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [path.as_bytes(), key.unwrap_or_default().as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Fingerprint(hasher.digest())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A connection to an upstream that broke while the upstream ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The request.
    pub request: Fingerprint,
    /// The upstream.
    pub upstream: Upstream,
    /// Whether the connection came from the pool, so that the upstream may only have closed it, or the
    /// upstream had begun to respond, so that another request may have crashed it.
    pub suspected: bool,
}

impl Crash {
    fn weight(&self) -> u32 {
        if self.suspected { SUSPECTED_WEIGHT } else { CERTAIN_WEIGHT }
    }
}

/// What is known of a request during which upstreams crashed.
#[derive(Debug, Default)]
struct Entry {
    last_crash: Instant,
    /// The upstreams that crashed, with the weights of the crashes.
    upstreams: SmallVec<[(Upstream, u32); 4]>,
}

/// The requests during which upstreams crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashed: HashMap<Fingerprint, Entry>,
}

impl Quarantine {
    /// Records a crash; returns whether it was not known before.
    pub fn record_crash(&mut self, now: Instant, crash: &Crash) -> bool {
        if self.crashed.len() >= MAX_REQUESTS && !self.crashed.contains_key(&crash.request) {
            self.drop_oldest();
        }
        let entry = self.crashed.entry(crash.request).or_default();
        entry.last_crash = now;
        match entry.upstreams.iter_mut().find(|it| it.0 == crash.upstream) {
            Some((_, weight)) if *weight >= crash.weight() => false,
            Some((_, weight)) => {
                *weight = crash.weight();
                true
            }
            None => {
                entry.upstreams.push((crash.upstream.clone(), crash.weight()));
                true
            }
        }
    }

    /// Forgets a request that an upstream has completed.
    pub fn clear(&mut self, request: Fingerprint) {
        if !self.crashed.is_empty() {
            self.crashed.remove(&request);
        }
    }

    /// Forgets a crash of an upstream on a request, because another request caused it.
    pub fn forgive(&mut self, request: Fingerprint, upstream: &Upstream) {
        if let Some(entry) = self.crashed.get_mut(&request) {
            entry.upstreams.retain(|it| it.0 != *upstream);
        }
    }

    /// Returns whether a request must not be sent to any upstream.
    pub fn is_quarantined(&self, now: Instant, request: Fingerprint) -> bool {
        let Some(entry) = self.crashed.get(&request) else { return false };
        let weight: u32 = entry.upstreams.iter().map(|it| it.1).sum();
        weight >= CRASH_LIMIT && now.since(entry.last_crash) < RETENTION
    }

    /// Forgets requests whose last crash is too long ago.
    pub fn purge(&mut self, now: Instant) {
        self.crashed.retain(|_, it| now.since(it.last_crash) < RETENTION);
    }

    /// Forgets the request whose last crash is the longest ago.
    fn drop_oldest(&mut self) {
        let oldest = self.crashed.iter().min_by_key(|it| it.1.last_crash).map(|it| *it.0);
        if let Some(request) = oldest {
            self.crashed.remove(&request);
        }
    }

    /// Returns the number of remembered requests.
    pub fn len(&self) -> usize {
        self.crashed.len()
    }

    /// Returns whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.crashed.is_empty()
    }
}
