//! Services whose upstreams fall over when they have to turn away too many requests for want of room.
//!
//! Such a service says so in the responses of its upstreams, which meanwhile let fewer requests wait. Until
//! it no longer does, the hosts share out the room of each upstream, so that their requests add up to no more
//! than it has, and stay away from an upstream that has turned one away.
//!
//! Load pattern: more requests come than a service has room for. Each host would send them to the upstream
//! with the fewest in flight, as of a moment ago, and all would turn most of them away at the same time.
//!
//! Does no I/O.

use std::collections::HashMap;

use crate::{prelude::*, rendezvous, share};

/// How long a service's last word counts. All its responses repeat it.
const STATEMENT_TTL: Duration = Duration::from_secs(3);
/// Factor on the room that is used, after a request was turned away.
const REFUSAL_FACTOR: f64 = 0.7;
/// Shortest time between two such reductions: what was under way at the same time is one sign.
const REDUCTION_PAUSE: Duration = Duration::from_millis(300);
/// Smallest part of the room that is used.
const MIN_ROOM: f64 = 0.5;
/// Part of the room that is added in a second without a refusal.
const GROWTH_PER_SECOND: f64 = 0.1;
/// Back-off from an upstream that has turned a request away.
pub const REFUSAL_BACKOFF: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// When the service last said so.
    said_at: Instant,
    /// Part of an upstream's room that is used, as of a time.
    room: f64,
    room_as_of: Instant,
    reduced_at: Option<Instant>,
}

impl Entry {
    fn room(&self, now: Instant) -> f64 {
        let grown = now.since(self.room_as_of).as_secs_f64() * GROWTH_PER_SECOND;
        (self.room + grown).min(1.0)
    }
}

/// The services that limit how many requests their upstreams may turn away.
#[derive(Clone, Debug, Default)]
pub struct RefusalLimits {
    by_service: HashMap<Service, Entry>,
}

impl RefusalLimits {
    /// Records that upstreams of the service bear few refusals. Returns whether the service had said nothing
    /// of the kind before.
    pub fn record(&mut self, now: Instant, service: &Service) -> bool {
        if let Some(entry) = self.by_service.get_mut(service) {
            entry.said_at = now;
            return false;
        }
        let entry = Entry { said_at: now, room: 1.0, room_as_of: now, reduced_at: None };
        self.by_service.insert(service.clone(), entry);
        true
    }

    /// Records that an upstream of the service has turned a request away.
    pub fn record_refusal(&mut self, now: Instant, service: &Service) {
        let Some(entry) = self.by_service.get_mut(service) else { return };
        if entry.reduced_at.is_some_and(|it| now.since(it) < REDUCTION_PAUSE) {
            return;
        }
        let room = (entry.room(now) * REFUSAL_FACTOR).max(MIN_ROOM);
        (entry.room, entry.room_as_of, entry.reduced_at) = (room, now, Some(now));
    }

    /// Returns the part of an upstream's room that may be used, or `None` if the service has no limit.
    pub fn room(&self, now: Instant, service: &Service) -> Option<f64> {
        let entry = self.by_service.get(service)?;
        (now.since(entry.said_at) < STATEMENT_TTL).then(|| entry.room(now))
    }

    /// Removes and returns the services that no longer say that they have a limit.
    pub fn take_ended(&mut self, now: Instant) -> Vec<Service> {
        let is_over = |it: &Entry| now.since(it.said_at) >= STATEMENT_TTL;
        let ended = self.by_service.iter().filter(|it| is_over(it.1));
        let ended: Vec<_> = ended.map(|it| it.0.clone()).collect();
        self.by_service.retain(|_, it| !is_over(it));
        ended
    }
}

/// Part of an upstream's room up to which it has little to do, as far as this host knows.
const LITTLE: f64 = 0.5;
/// How much larger shares are where there is little to do.
const LITTLE_FACTOR: f64 = 4.0 / 3.0;

/// Upstreams at which a host without a share may send single requests.
const SINGLE_PLACES: usize = 2;

/// What a host knows of one upstream's room.
#[derive(Clone, Copy, Debug)]
pub struct Room<'a> {
    /// The upstream.
    pub upstream: &'a Upstream,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Part of them that is used, as in [`RefusalLimits::room`].
    pub part: f64,
    /// Requests in flight there from this host.
    pub own: u32,
    /// Requests in flight there from all hosts, as of a moment ago.
    pub total: u32,
}

/// Returns the upstreams at which host `me` may send single requests if it has no share anywhere: those that
/// rank first for it.
pub fn single_places(me: &Host, upstreams: &[Upstream]) -> SmallVec<[Upstream; SINGLE_PLACES]> {
    let key = rendezvous::hash_parts(&["refusals", me.as_str()]);
    let mut ranked: Vec<_> = upstreams.iter().collect();
    ranked.sort_by_cached_key(|it| std::cmp::Reverse(rendezvous::weight(key, it.as_str())));
    ranked.into_iter().take(SINGLE_PLACES).cloned().collect()
}

impl Room<'_> {
    /// Returns whether host `me` has a share of the room.
    pub fn has_share(self, me: &Host, hosts: &[Host]) -> bool {
        self.share(f64::from(self.slots) * self.part, me, hosts) > 0
    }

    /// Returns whether host `me` may send one more request there. Where there is little to do, the shares are
    /// larger, and where this is a `single_place` of the host, it may send one without a share. After a refusal they are not: what
    /// hosts know of each other is too old then.
    pub fn has_place(self, me: &Host, hosts: &[Host], single_place: bool) -> bool {
        let room = f64::from(self.slots) * self.part;
        let has_little = self.part >= 1.0 && f64::from(self.total) < room * LITTLE;
        let share = self.share(if has_little { room * LITTLE_FACTOR } else { room }, me, hosts);
        self.own < share.max(u32::from(single_place && has_little))
    }

    fn share(self, room: f64, me: &Host, hosts: &[Host]) -> u32 {
        share::host_share((room as u32).max(1), self.upstream.as_str(), me, hosts)
    }
}
