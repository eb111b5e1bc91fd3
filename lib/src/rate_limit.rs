//! Limits that upstreams name in their responses: how many requests per second they take from all hosts
//! together. A limit holds for one process of the upstream, until that process responds without one.
//!
//! Load pattern: an upstream in need names a fraction of what it gets, and every host sends to it. Few
//! hosts, by rank, hold the shares of the limit, and the requests of the others go elsewhere: if every
//! host sent a single request now and then, they would add up to more than the limit.
//!
//! Does no I/O.

use std::{
    collections::HashMap,
    net::{AddrParseError, SocketAddr},
};

use thiserror::Error as ThisError;

use crate::{
    codec::RateLimit,
    generated::peer,
    prelude::*,
    rendezvous,
    share::{self, RateShare},
    upstream_state::{Incarnation, UpstreamRow},
};

/// Lowest rate that is used, in requests per second of all hosts together: without any request, nobody
/// would see the limit end.
const MIN_RATE: f64 = 0.25;
/// Requests that all hosts together may send at once, beyond the limit: this many, and those of
/// [`BURST_SECONDS`] of the limit. With the hosts' own calls, a third of what upstreams bear stays as a
/// margin for hosts that differ in their lists of hosts.
const BURST: f64 = 5.0 / 3.0;
/// See [`BURST`].
const BURST_SECONDS: f64 = 2.0 / 3.0;
/// Calls of a host's own (a report and an order) that it may make at once to a limited upstream.
const CALL_BURST: f64 = 2.0;
/// Part of a limit that is left for hosts' own calls, beside requests.
const CALL_FRACTION: f64 = 0.25;
/// Time without a word about a limit after which hosts without a share try the upstream now and then:
/// those with a share may be gone, or have no requests.
const SILENCE: Duration = Duration::from_secs(3);
/// Part of the limit that hosts without a share use together then.
const SILENCE_FRACTION: f64 = 0.5;
/// How long a host passes a statement on to other hosts after learning it.
const NEWS_WINDOW: Duration = Duration::from_secs(1);
/// How much later than what is known a host must report the same limit to be news. Hosts would
/// otherwise tell each other the same statement again and again: its age leaves out the way.
const MIN_NEWS_ADVANCE: Duration = Duration::from_millis(300);
/// How long a statement is kept after it was learned while no row is about that process.
const RETENTION: Duration = Duration::from_secs(3600);
/// How long it is kept that a process has no limit any more: older statements may arrive late.
const ENDED_RETENTION: Duration = Duration::from_secs(60);
/// Longest time after which a caller should retry who was refused because of limits.
const MAX_WAIT: Duration = Duration::from_secs(4);

/// Requests per second from all hosts together; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

/// Reason why a response names no limit although it has the field for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ThisError)]
pub enum NoRate {
    /// Less than zero requests.
    #[error("the limit is negative")]
    Negative,
    /// Infinite, or not a number.
    #[error("the limit is not a finite number")]
    NotFinite,
    /// The text is no number.
    #[error("the limit is not a number")]
    Unreadable,
}

impl Rate {
    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Rate {
    type Error = NoRate;

    fn try_from(per_second: f64) -> Result<Self, NoRate> {
        match per_second {
            _ if !per_second.is_finite() => Err(NoRate::NotFinite),
            _ if per_second < 0.0 => Err(NoRate::Negative),
            _ => Ok(Rate(per_second)),
        }
    }
}

impl TryFrom<&RateLimit> for Rate {
    type Error = NoRate;

    fn try_from(limit: &RateLimit) -> Result<Self, NoRate> {
        match limit {
            RateLimit::PerSecond(per_second) => Rate::try_from(*per_second),
            RateLimit::Unreadable(_) => Err(NoRate::Unreadable),
        }
    }
}

/// What a process of an upstream says about its limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// The upstream's id.
    pub upstream: Upstream,
    /// The process that said so.
    pub incarnation: Incarnation,
    /// The limit, or `None` if the process has none any more.
    pub rate: Option<Rate>,
    /// When it said so.
    pub said_at: Instant,
}

/// What a statement changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The upstream had no limit before.
    Named,
    /// The limit was another one.
    Changed(Rate),
    /// The upstream has no limit any more.
    Ended,
    /// Nothing: it was known, or is older than what is known.
    Nothing,
}

impl Statement {
    /// Decodes a statement that another host passes on in a message that arrived now.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be read. A limit that is no rate counts as one that says
    /// nothing, see [`NoRate`].
    pub fn from_message(now: Instant, message: &peer::Limit) -> Result<Self, MessageError> {
        let address: SocketAddr = message.address.parse()?;
        Ok(Statement {
            upstream: Upstream::new(message.upstream.clone()),
            incarnation: Incarnation { address, start_time_ms: message.start_time_ms },
            rate: message.per_second.map(Rate::try_from).transpose()?,
            said_at: now.saturating_sub(Duration::from_millis(message.age_ms)),
        })
    }

    /// Encodes the statement for a message that is sent now.
    pub fn to_message(&self, now: Instant) -> peer::Limit {
        peer::Limit {
            upstream: FastStr::new(self.upstream.as_str()),
            address: self.incarnation.address.to_string().into(),
            start_time_ms: self.incarnation.start_time_ms,
            per_second: self.rate.map(Rate::per_second),
            age_ms: u64::try_from(now.since(self.said_at).as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// Reason why another host's message about a limit cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
pub enum MessageError {
    /// The process's address cannot be read.
    #[error("address: {0}")]
    Address(#[from] AddrParseError),
    /// The limit is no rate.
    #[error("{0}")]
    Rate(#[from] NoRate),
}

/// Requests that may be sent, as they add up over time.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    as_of: Instant,
}

impl Bucket {
    fn tokens(&self, now: Instant, per_second: f64, burst: f64) -> f64 {
        (self.tokens + now.since(self.as_of).as_secs_f64() * per_second).min(burst)
    }

    /// Takes tokens if there are that many.
    fn take(&mut self, now: Instant, per_second: f64, burst: f64, count: f64) -> bool {
        let tokens = self.tokens(now, per_second, burst);
        if tokens < count {
            return false;
        }
        *self = Bucket { tokens: tokens - count, as_of: now };
        true
    }
}

/// The hosts among which limits are shared.
#[derive(Clone, Copy, Debug)]
pub struct Hosts<'a> {
    /// This host.
    pub me: &'a Host,
    /// All hosts, this one included; empty if they are not known.
    pub all: &'a [Host],
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    incarnation: Incarnation,
    rate: Option<Rate>,
    said_at: Instant,
    /// When this host learned it, from a response or from another host.
    learned_at: Instant,
    /// This host's share of the limit, if it has one.
    share: Option<RateShare>,
    /// Number of hosts that the share was computed for; 0 if it was not known.
    hosts: usize,
    requests: Bucket,
    /// Calls of the host's own.
    calls: Bucket,
    /// Tokens, from 0 to 1, with which a host without a share begins after a [`SILENCE`]. They differ
    /// between hosts, which then send one after the other.
    head_start: f64,
}

impl Entry {
    fn new(now: Instant, statement: &Statement, hosts: Hosts<'_>) -> Self {
        let id = statement.upstream.as_str();
        let mut entry = Entry {
            incarnation: statement.incarnation,
            rate: statement.rate,
            said_at: statement.said_at,
            learned_at: now,
            share: None,
            hosts: hosts.all.len(),
            requests: Bucket { tokens: 0.0, as_of: now },
            calls: Bucket { tokens: CALL_BURST, as_of: now },
            head_start: rendezvous::fraction(&["limit", id, hosts.me.as_str()]),
        };
        entry.set_share(now, &statement.upstream, hosts);
        entry
    }

    /// Computes the share for a new rate or a new list of hosts. What has added up so far stays.
    fn set_share(&mut self, now: Instant, id: &Upstream, hosts: Hosts<'_>) {
        let tokens =
            self.share.map_or(0.0, |it| self.requests.tokens(now, it.per_second, it.burst));
        self.requests = Bucket { tokens, as_of: now };
        self.hosts = hosts.all.len();
        self.share = self.rate.filter(|_| self.hosts > 0).and_then(|rate| {
            let per_second = rate.0.max(MIN_RATE);
            let total_burst = BURST + BURST_SECONDS * per_second;
            share::rate_share(per_second, total_burst, id.as_str(), hosts.me, hosts.all)
        });
    }

    /// Returns the requests that this host may send now.
    fn tokens(&self, now: Instant) -> f64 {
        match self.share {
            Some(share) => self.requests.tokens(now, share.per_second, share.burst),
            None if self.hosts == 0 => 0.0,
            None => {
                let silent_since = self.said_at + SILENCE;
                if now < silent_since {
                    return 0.0;
                }
                // A request that was sent in the silence uses up what has added up.
                let tried = self.requests.as_of > silent_since;
                let start = if tried { self.requests.as_of } else { silent_since };
                let tokens = if tried { 0.0 } else { self.head_start };
                let per_second = SILENCE_FRACTION * self.per_second() / self.hosts as f64;
                (tokens + now.since(start).as_secs_f64() * per_second).min(1.0)
            }
        }
    }

    fn take(&mut self, now: Instant) {
        self.requests = Bucket { tokens: (self.tokens(now) - 1.0).max(0.0), as_of: now };
    }

    /// Returns the time until this host, or else some host, may send a request.
    fn wait(&self, now: Instant) -> Duration {
        let seconds = match self.share {
            Some(share) => (1.0 - self.tokens(now)).max(0.0) / share.per_second,
            None => 1.0 / self.per_second(),
        };
        Duration::try_from_secs_f64(seconds).unwrap_or(MAX_WAIT).min(MAX_WAIT)
    }

    fn per_second(&self) -> f64 {
        self.rate.map_or(MIN_RATE, |it| it.0.max(MIN_RATE))
    }
}

/// All limits that this host knows.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    by_upstream: HashMap<Upstream, SmallVec<[Entry; 1]>>,
}

impl Limits {
    /// Records what a process has said, unless it has said something later.
    pub fn record(&mut self, now: Instant, statement: &Statement, hosts: Hosts<'_>) -> Change {
        let Statement { incarnation, rate, said_at, .. } = *statement;
        let known = self.by_upstream.get_mut(&statement.upstream);
        let entry = known.and_then(|it| it.iter_mut().find(|it| it.incarnation == incarnation));
        let Some(entry) = entry else {
            let entries = self.by_upstream.entry(statement.upstream.clone()).or_default();
            entries.push(Entry::new(now, statement, hosts));
            return if rate.is_some() { Change::Named } else { Change::Nothing };
        };
        if said_at < entry.said_at
            || rate == entry.rate && said_at < entry.said_at + MIN_NEWS_ADVANCE
        {
            return Change::Nothing;
        }
        (entry.said_at, entry.learned_at) = (said_at, now);
        let change = match (std::mem::replace(&mut entry.rate, rate), rate) {
            (None, Some(_)) => Change::Named,
            (Some(_), None) => Change::Ended,
            (Some(former), Some(rate)) if former != rate => Change::Changed(former),
            _ => return Change::Nothing,
        };
        match change {
            Change::Named => *entry = Entry::new(now, statement, hosts),
            _ => entry.set_share(now, &statement.upstream, hosts),
        }
        change
    }

    /// Computes all shares anew for another list of hosts.
    pub fn set_hosts(&mut self, now: Instant, hosts: Hosts<'_>) {
        for (id, entries) in &mut self.by_upstream {
            entries.iter_mut().for_each(|it| it.set_share(now, id, hosts));
        }
    }

    /// Returns whether the process that a row is about has a limit.
    pub fn is_limited(&self, row: &UpstreamRow) -> bool {
        self.entry(row).is_some()
    }

    /// Returns how long this host waits before it may send a request to the process that a row is about;
    /// `None` if it may send one now.
    pub fn wait(&self, now: Instant, row: &UpstreamRow) -> Option<Duration> {
        self.entry(row).filter(|it| it.tokens(now) < 1.0).map(|it| it.wait(now))
    }

    /// Counts a request that is sent to the process that a row is about. Returns whether it has a limit.
    pub fn take(&mut self, now: Instant, row: &UpstreamRow) -> bool {
        let entry = self.entry_mut(row);
        let is_limited = entry.is_some();
        if let Some(entry) = entry {
            entry.take(now);
        }
        is_limited
    }

    /// Counts calls of the host's own to the process that a row is about, unless its limit leaves no room
    /// for as many. Returns whether they may be made.
    pub fn take_calls(&mut self, now: Instant, row: &UpstreamRow, count: u32) -> bool {
        let Some(entry) = self.entry_mut(row) else { return true };
        let per_second = CALL_FRACTION * entry.per_second();
        entry.calls.take(now, per_second, CALL_BURST, count.into())
    }

    /// Returns when a process last said that it has a limit, if it still has one.
    pub fn limited_since(&self, upstream: &Upstream, incarnation: Incarnation) -> Option<Instant> {
        let entries = self.by_upstream.get(upstream)?;
        let limited = entries.iter().find(|it| it.incarnation == incarnation && it.rate.is_some());
        limited.map(|it| it.said_at)
    }

    /// Returns the number of processes that have a limit.
    pub fn count(&self) -> usize {
        self.by_upstream.values().flatten().filter(|it| it.rate.is_some()).count()
    }

    /// Returns the statements that are to be passed on to other hosts.
    pub fn news(&self, now: Instant) -> Vec<Statement> {
        let entries =
            self.by_upstream.iter().flat_map(|(id, it)| it.iter().map(move |it| (id, it)));
        let recent = entries.filter(|(_, it)| now.since(it.learned_at) < NEWS_WINDOW);
        let statement = |(id, entry): (&Upstream, &Entry)| Statement {
            upstream: id.clone(),
            incarnation: entry.incarnation,
            rate: entry.rate,
            said_at: entry.said_at,
        };
        recent.map(statement).collect()
    }

    /// Drops old statements of processes that `is_listed` does not know, and those that a limit has ended.
    pub fn purge<F>(&mut self, now: Instant, is_listed: F)
    where
        F: Fn(&Upstream, Incarnation) -> bool,
    {
        for (id, entries) in &mut self.by_upstream {
            entries.retain(|it| {
                let age = now.since(it.learned_at);
                match it.rate {
                    Some(_) => age < RETENTION || is_listed(id, it.incarnation),
                    None => age < ENDED_RETENTION,
                }
            });
        }
        self.by_upstream.retain(|_, entries| !entries.is_empty());
    }

    /// Returns the limit of the process that a row is about.
    fn entry(&self, row: &UpstreamRow) -> Option<&Entry> {
        let incarnation = row.incarnation();
        let entries = self.by_upstream.get(&row.id)?.iter();
        let mut limited = entries.filter(|it| it.rate.is_some());
        limited.find(|it| incarnation.may_be(it.incarnation))
    }

    fn entry_mut(&mut self, row: &UpstreamRow) -> Option<&mut Entry> {
        let incarnation = row.incarnation();
        let entries = self.by_upstream.get_mut(&row.id)?.iter_mut();
        let mut limited = entries.filter(|it| it.rate.is_some());
        limited.find(|it| incarnation.may_be(it.incarnation))
    }
}
