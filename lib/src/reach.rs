//! How much of each service this host reaches.
//!
//! A host can lose its links to all upstreams, or to most, while callers, the row store and other hosts still
//! reach it. Upstreams that fail on their own cannot be told from that by one connection; several that fail
//! one after the other, with no new connection in between, count as lost links. From then on connections are
//! tried in turn, whatever callers ask for, and show which part of the service can be reached. Responses over
//! older connections do not count: these may live on while new ones fail.
//!
//! A host that loses one service has most likely lost others too. Those that requests have needed are probed
//! once.
//!
//! Does no I/O.

use std::collections::HashMap;

use crate::{prelude::*, upstream_state::UpstreamRow};

/// Upstreams of a service to which connections must fail one after the other. In a service with fewer
/// upstreams, those to all of them.
const MAX_FAILED_UPSTREAMS: usize = 4;
/// How long a failed connection counts.
const FAILURE_TTL: Duration = Duration::from_secs(5);
/// Upstreams whose last attempts show which part of a service is reached.
const SAMPLED_UPSTREAMS: usize = 8;
/// Part of the sampled upstreams from which on the service is within reach again.
const RESTORED_PART: f64 = 0.5;
/// Interval between probes of the upstreams of a service that is out of reach.
const PROBE_PERIOD: Duration = Duration::from_millis(400);
/// Upstreams that are probed at a time.
const PROBED_UPSTREAMS: usize = MAX_FAILED_UPSTREAMS;
/// Time without a byte from any upstream after which those with requests in flight are probed.
const SILENCE: Duration = Duration::from_millis(500);

/// Whether a connection to an upstream could be established.
#[derive(Clone, Debug)]
struct Attempt {
    upstream: Upstream,
    made_at: Instant,
    succeeded: bool,
}

/// What is known about the way to the upstreams of one service.
#[derive(Clone, Debug, Default)]
struct Path {
    /// The last attempts, one for each upstream, oldest first.
    attempts: SmallVec<[Attempt; SAMPLED_UPSTREAMS]>,
    /// Since when the service is out of reach.
    lost_since: Option<Instant>,
    /// No upstream is probed before this time.
    next_probe: Instant,
    /// Position in the list of upstreams at which the next probes begin.
    probe_position: usize,
}

impl Path {
    /// Returns the number of upstreams that have failed since the last success.
    fn failed_in_a_row(&self, now: Instant) -> usize {
        let newest_first = self.attempts.iter().rev();
        newest_first.take_while(|it| !it.succeeded && now.since(it.made_at) < FAILURE_TTL).count()
    }

    /// Returns whether connections were tried, and none since a time.
    fn was_tried_only_before(&self, time: Instant) -> bool {
        self.attempts.last().is_some_and(|it| it.made_at < time)
    }

    /// Returns the part of the sampled upstreams that could be reached.
    fn reached_part(&self) -> f64 {
        let succeeded = self.attempts.iter().filter(|it| it.succeeded).count();
        succeeded as f64 / self.attempts.len().max(1) as f64
    }
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
    /// Records whether a connection to an upstream could be established. `upstreams` is the number of those
    /// of the service that requests may go to.
    pub fn record(
        &mut self,
        now: Instant,
        service: &Service,
        upstream: &Upstream,
        upstreams: usize,
        succeeded: bool,
    ) -> Option<Change> {
        let path = self.paths.entry(service.clone()).or_default();
        path.attempts.retain(|it| it.upstream != *upstream);
        path.attempts.push(Attempt { upstream: upstream.clone(), made_at: now, succeeded });
        let sampled = upstreams.clamp(1, SAMPLED_UPSTREAMS);
        while path.attempts.len() > sampled {
            path.attempts.remove(0);
        }
        let Some(lost_since) = path.lost_since else {
            let failed = path.failed_in_a_row(now);
            if failed < upstreams.clamp(1, MAX_FAILED_UPSTREAMS) {
                return None;
            }
            path.lost_since = Some(now);
            path.next_probe = now;
            // Earlier successes say nothing about the links any more.
            path.attempts.retain(|it| !it.succeeded);
            return Some(Change::Lost(failed));
        };
        let is_sampled = path.attempts.len() >= sampled;
        if !is_sampled || path.reached_part() < RESTORED_PART {
            return None;
        }
        path.lost_since = None;
        Some(Change::Restored(now.since(lost_since)))
    }

    /// Returns since when a service is out of reach, or `None` if it is within reach.
    pub fn lost_since(&self, service: &Service) -> Option<Instant> {
        self.paths.get(service)?.lost_since
    }

    /// Returns the part of a service that this host reaches while the service is out of reach, or `None` if
    /// it is within reach.
    pub fn reached_part(&self, service: &Service) -> Option<f64> {
        let path = self.paths.get(service)?;
        path.lost_since.map(|_| path.reached_part())
    }

    /// Returns the number of services that are out of reach.
    pub fn lost_count(&self) -> usize {
        self.paths.values().filter(|it| it.lost_since.is_some()).count()
    }

    /// Returns whether nothing was heard of any upstream for so long that open connections may be dead.
    pub fn is_silent(&self, now: Instant, heard_at: Instant) -> bool {
        now.since(heard_at) >= SILENCE
    }

    /// Returns the upstreams of a service to which a connection should be tried now. `upstreams` are those
    /// that requests may go to, in a fixed order, each with whether this host has requests in flight
    /// there; `heard_at` is when the last byte from any upstream arrived.
    pub fn due_probes<'a, I>(
        &mut self,
        now: Instant,
        service: &Service,
        heard_at: Instant,
        upstreams: I,
    ) -> SmallVec<[&'a UpstreamRow; PROBED_UPSTREAMS]>
    where
        I: Iterator<Item = (&'a UpstreamRow, bool)>,
    {
        let is_silent = self.is_silent(now, heard_at);
        let others = self.paths.iter().filter(|it| it.0 != service);
        let last_loss = others.filter_map(|it| it.1.lost_since).max();
        let path = self.paths.entry(service.clone()).or_default();
        let is_lost = path.lost_since.is_some();
        let is_suspect = last_loss.is_some_and(|it| path.was_tried_only_before(it));
        if path.next_probe > now || !is_lost && !is_silent && !is_suspect {
            return SmallVec::new();
        }
        let may_be_lost = is_lost || is_suspect;
        let candidates: Vec<_> =
            upstreams.filter(|it| may_be_lost || it.1).map(|it| it.0).collect();
        if candidates.is_empty() {
            return SmallVec::new();
        }
        path.next_probe = now + PROBE_PERIOD;
        let first = path.probe_position % candidates.len();
        path.probe_position = first + PROBED_UPSTREAMS;
        let in_turn = candidates.iter().cycle().skip(first);
        in_turn.take(PROBED_UPSTREAMS.min(candidates.len())).copied().collect()
    }
}
