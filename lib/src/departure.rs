//! Upstreams that have said in a response that they are shutting down. They get nothing new, whatever
//! their rows say, until a new process takes their place.
//!
//! Does no I/O.

use std::{
    collections::HashMap,
    net::{AddrParseError, SocketAddr},
};

use crate::{
    generated::peer,
    prelude::*,
    upstream_state::{Incarnation, UpstreamRow},
};

/// How long a departure is kept after it was learned while no row is about that process. An old row
/// may come back, for example when the row store returns from a copy.
const RETENTION: Duration = Duration::from_secs(3600);
/// How long a host passes a departure on to other hosts after learning it. Gossip is repeated many
/// times within this time, so single losses do not matter.
const NEWS_WINDOW: Duration = Duration::from_secs(1);

/// That a process of an upstream shuts down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// The upstream's id.
    pub upstream: Upstream,
    /// The process that shuts down.
    pub incarnation: Incarnation,
    /// Time since the response that said so.
    pub age: Duration,
}

impl TryFrom<&peer::Departure> for Departure {
    type Error = AddrParseError;

    fn try_from(message: &peer::Departure) -> Result<Self, AddrParseError> {
        let address: SocketAddr = message.address.parse()?;
        Ok(Departure {
            upstream: Upstream::new(message.upstream.clone()),
            incarnation: Incarnation { address, start_time_ms: message.start_time_ms },
            age: Duration::from_millis(message.age_ms),
        })
    }
}

impl From<Departure> for peer::Departure {
    fn from(departure: Departure) -> Self {
        peer::Departure {
            upstream: FastStr::new(departure.upstream.as_str()),
            address: departure.incarnation.address.to_string().into(),
            start_time_ms: departure.incarnation.start_time_ms,
            age_ms: u64::try_from(departure.age.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    incarnation: Incarnation,
    /// When some host received the response that said so.
    announced_at: Instant,
    /// When this host learned it, from a response or from another host.
    learned_at: Instant,
}

/// All departures that this host knows.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    by_upstream: HashMap<Upstream, SmallVec<[Entry; 1]>>,
}

impl Departures {
    /// Records a departure. Returns false if it was known before.
    pub fn record(&mut self, now: Instant, departure: &Departure) -> bool {
        let entries = self.by_upstream.entry(departure.upstream.clone()).or_default();
        if entries.iter().any(|it| it.incarnation == departure.incarnation) {
            return false;
        }
        entries.push(Entry {
            incarnation: departure.incarnation,
            announced_at: now.saturating_sub(departure.age),
            learned_at: now,
        });
        true
    }

    /// Returns whether the process that a row is about shuts down.
    pub fn contains(&self, row: &UpstreamRow) -> bool {
        let entries = self.by_upstream.get(&row.id);
        entries.is_some_and(|it| it.iter().any(|it| row.incarnation().may_be(it.incarnation)))
    }

    /// Returns the departures that are to be passed on to other hosts.
    pub fn news(&self, now: Instant) -> Vec<Departure> {
        let entries =
            self.by_upstream.iter().flat_map(|(id, it)| it.iter().map(move |it| (id, it)));
        let recent = entries.filter(|(_, it)| now.since(it.learned_at) < NEWS_WINDOW);
        let departure = |(id, entry): (&Upstream, &Entry)| Departure {
            upstream: id.clone(),
            incarnation: entry.incarnation,
            age: now.since(entry.announced_at),
        };
        recent.map(departure).collect()
    }

    /// Drops old departures of processes that `is_listed` does not know.
    pub fn purge<F>(&mut self, now: Instant, is_listed: F)
    where
        F: Fn(&Upstream, Incarnation) -> bool,
    {
        for (id, entries) in &mut self.by_upstream {
            entries
                .retain(|it| now.since(it.learned_at) < RETENTION || is_listed(id, it.incarnation));
        }
        self.by_upstream.retain(|_, entries| !entries.is_empty());
    }
}
