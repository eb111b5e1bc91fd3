//! Elects the leader of an availability zone: the host that reads the upstreams table and the cache
//! stores for the other hosts of its zone. Does no I/O; hosts agree because all rank the same rows.
//!
//! Load pattern: hundreds of hosts start within a second, or a leader stops answering. If each host
//! without a leader read the cache stores itself, every store would get calls from all hosts at once.
//! So only the hosts that rank next read them, each later than the one before it. The others get by
//! without the cache stores until a leader answers.

use std::collections::HashMap;

use crate::{prelude::*, rendezvous};

/// Hosts that are asked for data, in each round of pulls.
pub const MAX_CANDIDATES: usize = 2;
/// Hosts of a zone, from the first that answers, which may read the cache stores at the same time.
const MAX_READERS: usize = 2;
/// How long a host waits for a leader, for each rank, before it reads the cache stores itself.
const TAKEOVER_DELAY: Duration = Duration::from_millis(500);
/// Failed rounds of pulls after which a host is passed over. Connections take some rounds when many
/// hosts start together.
const MAX_FAILURES: u32 = 6;
/// How long a host that does not answer is passed over.
const SILENCE: Duration = Duration::from_secs(2);

/// A host of the zone, as far as the election is concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The host.
    pub host: Host,
    /// Its processor time in thousandths of a core; 0 if unknown.
    pub processor_millis: u32,
}

/// Ranks the members of a zone, the preferred leader first: hosts with more processor time before
/// others, and among equals by rendezvous hashing.
pub fn rank(mut members: Vec<Member>) -> Vec<Host> {
    // The text is part of the ranking, which all hosts must compute alike.
    let key = rendezvous::hash_parts(&["keeper"]);
    members.sort_by_cached_key(|it| {
        let weight = rendezvous::weight(key, it.host.as_str());
        std::cmp::Reverse((it.processor_millis, weight))
    });
    members.into_iter().map(|it| it.host).collect()
}

/// Which hosts answered this one, and since when none has.
#[derive(Clone, Debug, Default)]
pub struct Election {
    /// Consecutive failed calls by host, with the time of the last one.
    failures: HashMap<Host, (u32, Instant)>,
    /// Since when no host has answered a pull; `None` before the first round.
    alone_since: Option<Instant>,
}

impl Election {
    /// Returns the hosts to pull from, best first: those that rank before this one and answer.
    pub fn candidates(
        &self,
        now: Instant,
        ranked: &[Host],
        me: &Host,
    ) -> SmallVec<[Host; MAX_CANDIDATES]> {
        self.before(now, ranked, me).take(MAX_CANDIDATES).cloned().collect()
    }

    /// Returns whether this host should read the cache stores itself. A host that is not in `ranked`
    /// yet reads nothing.
    pub fn reads_stores(&self, now: Instant, ranked: &[Host], me: &Host) -> bool {
        let Some(alone_since) = self.alone_since.filter(|_| ranked.contains(me)) else {
            return false;
        };
        let position = self.before(now, ranked, me).count();
        let delay = TAKEOVER_DELAY * u32::try_from(position + 1).unwrap_or(u32::MAX);
        position < MAX_READERS && now.since(alone_since) >= delay
    }

    /// Begins a round of pulls.
    pub fn start_round(&mut self, now: Instant) {
        self.alone_since.get_or_insert(now);
    }

    /// Records that a host answered a pull.
    pub fn record_answer(&mut self, now: Instant, host: &Host) {
        self.failures.remove(host);
        self.alone_since = Some(now);
    }

    /// Records `count` failures to reach a host.
    pub fn record_failure(&mut self, now: Instant, host: &Host, count: u32) {
        let (failures, at) = self.failures.entry(host.clone()).or_default();
        *failures = failures.saturating_add(count);
        *at = now;
    }

    /// Returns whether a host is passed over because it does not answer.
    pub fn is_silent(&self, now: Instant, host: &Host) -> bool {
        let failed = self.failures.get(host);
        failed.is_some_and(|(count, at)| *count >= MAX_FAILURES && now.since(*at) < SILENCE)
    }

    /// Returns the hosts that rank before this one and are not passed over.
    fn before<'a>(
        &'a self,
        now: Instant,
        ranked: &'a [Host],
        me: &'a Host,
    ) -> impl Iterator<Item = &'a Host> {
        ranked.iter().take_while(move |it| *it != me).filter(move |it| !self.is_silent(now, it))
    }
}
