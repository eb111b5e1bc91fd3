//! Which other host takes a request whose service is out of this host's reach.
//!
//! Load pattern: all hosts of a zone lose their links at once, and their requests come on top of what the
//! other hosts have. Each host spreads its requests by what it has under way at the others and by their
//! processor time, over all zones, and asks a host that lacks the links as well only once in a while.
//!
//! Does no I/O.

use std::{collections::HashMap, net::SocketAddr};

use crate::{prelude::*, rendezvous};

/// How long a host is not asked again after it has refused a request for the same service, or could not be
/// reached.
const AVOIDANCE: Duration = Duration::from_secs(1);
/// Requests under way at a host of another zone that weigh as much as the longer way there.
const OTHER_ZONE_REQUESTS: u32 = 2;

/// Another host that takes requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The host.
    pub host: Host,
    /// Its availability zone.
    pub zone: Zone,
    /// Address at which it takes requests from other hosts.
    pub address: SocketAddr,
    /// Processor time that it has, in thousandths of a core; 0 if unknown.
    pub processor_millis: u32,
}

/// The other hosts, with what this host has under way there.
#[derive(Clone, Debug, Default)]
pub struct Detours {
    candidates: Vec<Candidate>,
    /// Requests under way.
    under_way: HashMap<Host, u32>,
    /// Hosts that are not asked for a service before a time.
    avoided: HashMap<(Host, Service), Instant>,
}

impl Detours {
    /// Sets the list of the other hosts.
    pub fn set_candidates(&mut self, candidates: Vec<Candidate>) {
        self.candidates = candidates;
    }

    /// Returns the other hosts that take requests.
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// Chooses a host for a request to a service and counts the request as under way there, until
    /// [`finish`](Self::finish). `zone` is this host's, and `tried` are hosts that have refused the
    /// request. Returns `None` if no other host is likely to take it.
    pub fn choose(
        &mut self,
        now: Instant,
        service: &Service,
        zone: &Zone,
        request_hash: u64,
        tried: &[Host],
    ) -> Option<Candidate> {
        self.avoided.retain(|_, until| *until > now);
        let may_take = |it: &&Candidate| {
            !tried.contains(&it.host)
                && !self.avoided.contains_key(&(it.host.clone(), service.clone()))
        };
        let cost = |it: &Candidate| {
            let requests = self.under_way.get(&it.host).copied().unwrap_or_default() + 1;
            let way = if it.zone == *zone { 0 } else { OTHER_ZONE_REQUESTS };
            let cost =
                u64::from(requests + way) * 1_000_000 / u64::from(it.processor_millis.max(1));
            (cost, rendezvous::weight(request_hash, it.host.as_str()))
        };
        let chosen = self.candidates.iter().filter(may_take).min_by_key(|it| cost(it))?.clone();
        *self.under_way.entry(chosen.host.clone()).or_default() += 1;
        Some(chosen)
    }

    /// Records that a request is no longer under way at a host.
    pub fn finish(&mut self, host: &Host) {
        if let Some(requests) = self.under_way.get_mut(host) {
            *requests = requests.saturating_sub(1);
            if *requests == 0 {
                self.under_way.remove(host);
            }
        }
    }

    /// Returns the number of hosts that are not asked for a service now.
    pub fn avoided_count(&self, now: Instant, service: &Service) -> usize {
        self.avoided.iter().filter(|it| it.0.1 == *service && *it.1 > now).count()
    }

    /// Records that a host does not take requests for a service now.
    pub fn avoid(&mut self, now: Instant, host: &Host, service: &Service) {
        self.avoided.insert((host.clone(), service.clone()), now + AVOIDANCE);
    }
}
