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
/// reached. Doubles with each further time in a row.
const AVOIDANCE: Duration = Duration::from_secs(1);
/// Longest such time.
const MAX_AVOIDANCE: Duration = Duration::from_secs(4);
/// Requests under way at a host of another zone that weigh as much as the longer way there.
const OTHER_ZONE_REQUESTS: u32 = 2;
/// Requests under way that weigh as much as the doubt whether a host takes any for the service.
const UNPROVEN_REQUESTS: u32 = 1;
/// Requests under way that weigh as much as the doubt that each host which is avoided casts on the others of
/// its zone.
const AVOIDED_NEIGHBOUR_REQUESTS: u32 = 2;
/// How long it counts that a host took a request.
const PROOF_TTL: Duration = Duration::from_secs(5);
/// Hosts that may refuse one request, each at once.
const MAX_REFUSALS: u32 = 8;
/// The same while many hosts are avoided and none takes requests: most likely the upstreams are to blame.
const MAX_REFUSALS_IN_VAIN: u32 = 2;
/// Avoided hosts that count as many.
const MANY_AVOIDED: u32 = 8;
/// Hosts that may fail to answer one request in time.
const MAX_SILENT: u32 = 2;

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

/// What a host has done with requests of this host for one service.
#[derive(Clone, Copy, Debug, Default)]
struct Standing {
    /// Times in a row that it did not take a request.
    failures: u32,
    /// It is not asked before this time.
    avoided_until: Instant,
    /// When it last took a request.
    taken_at: Option<Instant>,
}

impl Standing {
    fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until > now
    }

    fn is_proven(&self, now: Instant) -> bool {
        self.failures == 0 && self.taken_at.is_some_and(|it| now.since(it) < PROOF_TTL)
    }
}

/// The hosts that were asked to take one request and did not.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    hosts: SmallVec<[Host; MAX_REFUSALS as usize]>,
    silent: u32,
}

impl Asked {
    /// Records a host that refused the request, or could not be reached or broke off if it is `silent`.
    pub fn push(&mut self, host: Host, silent: bool) {
        self.hosts.push(host);
        self.silent += u32::from(silent);
    }

    /// Returns the hosts in the order in which they were asked.
    pub fn hosts(&self) -> &[Host] {
        &self.hosts
    }
}

/// The other hosts, with what this host has under way there.
#[derive(Clone, Debug, Default)]
pub struct Detours {
    candidates: Vec<Candidate>,
    /// Requests under way.
    under_way: HashMap<Host, u32>,
    /// What hosts have done lately, by service.
    standings: HashMap<Service, HashMap<Host, Standing>>,
}

impl Detours {
    /// Sets the list of the other hosts.
    pub fn set_candidates(&mut self, candidates: Vec<Candidate>) {
        for standings in self.standings.values_mut() {
            standings.retain(|host, _| candidates.iter().any(|it| it.host == *host));
        }
        self.candidates = candidates;
    }

    /// Returns the other hosts that take requests.
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// Chooses a host for a request to a service and counts the request as under way there, until
    /// [`finish`](Self::finish). `zone` is this host's. Returns `None` if no other host is likely to take it.
    ///
    /// Hosts that have taken requests come first. Each host that does not, because it has lost its links, makes it
    /// less likely that the others of its zone still have theirs.
    pub fn choose(
        &mut self,
        now: Instant,
        service: &Service,
        zone: &Zone,
        request_hash: u64,
        asked: &Asked,
    ) -> Option<Candidate> {
        let standings = self.standings.get(service);
        let standing =
            |host: &Host| standings.and_then(|it| it.get(host)).copied().unwrap_or_default();
        let mut avoided_by_zone: SmallVec<[(&Zone, u32); 4]> = SmallVec::new();
        let mut is_any_proven = false;
        for candidate in &self.candidates {
            let standing = standing(&candidate.host);
            is_any_proven |= standing.is_proven(now);
            if standing.is_avoided(now) {
                match avoided_by_zone.iter_mut().find(|it| *it.0 == candidate.zone) {
                    Some(it) => it.1 += 1,
                    None => avoided_by_zone.push((&candidate.zone, 1)),
                }
            }
        }
        let avoided: u32 = avoided_by_zone.iter().map(|it| it.1).sum();
        let is_in_vain = avoided >= MANY_AVOIDED && !is_any_proven;
        let max_refusals = if is_in_vain { MAX_REFUSALS_IN_VAIN } else { MAX_REFUSALS };
        if asked.hosts.len() >= max_refusals as usize || asked.silent >= MAX_SILENT {
            return None;
        }
        let may_take = |it: &&Candidate| {
            !asked.hosts.contains(&it.host) && !standing(&it.host).is_avoided(now)
        };
        let cost = |it: &Candidate| {
            let requests = self.under_way.get(&it.host).copied().unwrap_or_default() + 1;
            let way = if it.zone == *zone { 0 } else { OTHER_ZONE_REQUESTS };
            let doubt = match standing(&it.host).is_proven(now) {
                true => 0,
                false => {
                    let neighbours = avoided_by_zone.iter().find(|other| *other.0 == it.zone);
                    UNPROVEN_REQUESTS + AVOIDED_NEIGHBOUR_REQUESTS * neighbours.map_or(0, |it| it.1)
                }
            };
            let cost = u64::from(requests + way + doubt) * 1_000_000
                / u64::from(it.processor_millis.max(1));
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
        let standings = self.standings.get(service).into_iter().flatten();
        standings.filter(|it| it.1.is_avoided(now)).count()
    }

    /// Records that a host has taken a request for a service.
    pub fn record_taken(&mut self, now: Instant, host: &Host, service: &Service) {
        let standing = self.standing(host, service);
        *standing = Standing { failures: 0, avoided_until: now, taken_at: Some(now) };
    }

    /// Records that a host does not take requests for a service now.
    pub fn avoid(&mut self, now: Instant, host: &Host, service: &Service) {
        let standing = self.standing(host, service);
        // Requests that were under way together are one sign.
        if !standing.is_avoided(now) {
            let avoidance = AVOIDANCE * 2_u32.pow(standing.failures.min(2));
            standing.failures += 1;
            standing.avoided_until = now + avoidance.min(MAX_AVOIDANCE);
        }
    }

    fn standing(&mut self, host: &Host, service: &Service) -> &mut Standing {
        let standings = self.standings.entry(service.clone()).or_default();
        standings.entry(host.clone()).or_default()
    }
}
