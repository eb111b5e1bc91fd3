//! Whether this host reaches the upstreams of each service.
//!
//! A host can lose its links to all upstreams while callers, the row store and other hosts still reach it.
//! Upstreams that fail on their own cannot be told from that by one connection; several that fail one after
//! the other, with no new connection to any upstream of the service in between, count as a lost link.
//! Responses over older connections do not count against it: these may live on while new ones fail.
//!
//! Does no I/O.

use std::collections::HashMap;

use crate::prelude::*;

/// Upstreams of a service to which connections must fail one after the other. In a service with fewer
/// upstreams, those to all of them.
const MAX_FAILED_UPSTREAMS: usize = 4;
/// How long a failed connection counts.
const FAILURE_TTL: Duration = Duration::from_secs(5);

/// What is known about the way to the upstreams of one service.
#[derive(Clone, Debug, Default)]
struct Path {
    /// Upstreams to which connections have failed since the last one that succeeded, with the time of
    /// the last failure.
    failed: SmallVec<[(Upstream, Instant); MAX_FAILED_UPSTREAMS]>,
    /// Since when the service is out of reach.
    lost_since: Option<Instant>,
}

/// A change in what a host reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The service is out of reach from now on. Holds the number of upstreams that could not be reached.
    Lost(usize),
    /// The service is within reach again. Holds how long it was not.
    Restored(Duration),
}

/// The services that this host reaches, and those that it does not.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    paths: HashMap<Service, Path>,
}

impl Reach {
    /// Records that no connection to an upstream could be established. `upstreams` is the number of those
    /// of the service that requests may go to.
    pub fn record_failure(
        &mut self,
        now: Instant,
        service: &Service,
        upstream: &Upstream,
        upstreams: usize,
    ) -> Option<Change> {
        let path = self.paths.entry(service.clone()).or_default();
        path.failed.retain(|it| it.0 != *upstream && now.since(it.1) < FAILURE_TTL);
        path.failed.push((upstream.clone(), now));
        let is_lost = path.failed.len() >= upstreams.clamp(1, MAX_FAILED_UPSTREAMS);
        if !is_lost || path.lost_since.is_some() {
            return None;
        }
        path.lost_since = Some(now);
        Some(Change::Lost(path.failed.len()))
    }

    /// Records that a connection to an upstream of the service was established.
    pub fn record_connection(&mut self, now: Instant, service: &Service) -> Option<Change> {
        let path = self.paths.get_mut(service)?;
        path.failed.clear();
        let lost_since = path.lost_since.take()?;
        Some(Change::Restored(now.since(lost_since)))
    }

    /// Returns since when a service is out of reach, or `None` if it is within reach.
    pub fn lost_since(&self, service: &Service) -> Option<Instant> {
        self.paths.get(service)?.lost_since
    }

    /// Returns the number of services that are out of reach.
    pub fn lost_count(&self) -> usize {
        self.paths.values().filter(|it| it.lost_since.is_some()).count()
    }
}
