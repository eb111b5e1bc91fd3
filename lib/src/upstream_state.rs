//! What a host believes of one upstream: its row, its load, and how requests to it went.

use std::net::SocketAddr;

use crate::{deployment::ServiceEntry, prelude::*, rendezvous, window::Window};

/// Span over which requests to a cold upstream are counted, the one its limit is for.
pub(crate) const COLD_RATE_WINDOW: Duration = Duration::from_secs(1);
/// First time out of use of an upstream that cannot be reached; doubles with each failure.
const EJECTION: Duration = Duration::from_millis(400);
/// Longest time out of use without another attempt.
const EJECTION_MAX: Duration = Duration::from_secs(4);
/// How long an upstream that turned a request away gets no other one; doubles.
pub(crate) const REFUSAL_BACKOFF: Duration = Duration::from_millis(200);
pub(crate) const REFUSAL_BACKOFF_MAX: Duration = Duration::from_secs(1);
/// Weight of the newest outcome in an upstream's share of failures.
const FAILURE_WEIGHT: f64 = 0.12;
/// Share of failures above which an upstream counts as faulty.
const FAILURE_LIMIT: f64 = 0.3;
/// Time out of use of a faulty upstream.
const FAULTY: Duration = Duration::from_secs(3);
/// How much more often an upstream in the zone of a session's store ranks first.
const NEAR_WEIGHT: f64 = 3.0;
/// Weight of the newest time in an upstream's mean time to the first byte.
const TTFB_WEIGHT: f64 = 0.15;

/// What a row of the store says of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Names one upstream, over its restarts.
    pub id: Upstream,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its service.
    pub service: Service,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether it is leaving.
    pub draining: bool,
    /// Requests it works on at once.
    pub slots: u32,
    /// How much longer it is cold.
    pub cold_remaining: Duration,
    /// Weight versions of the models it has.
    pub models: SmallVec<[(Model, u32); 2]>,
    /// Identifies its present start: Unix milliseconds; 0 where it does not say.
    pub start_time_ms: u64,
}

/// How a request to an upstream went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It answered; the time to the first byte of the answer.
    Served(Duration),
    /// It answered that it failed.
    Failed,
    /// It answered that it did not run the request.
    Refused,
    /// Another upstream, or another start of it, has the address.
    AddressReused,
    /// No connection came about.
    Unreachable,
    /// The connection broke, or the answer was not one.
    Broken,
    /// The caller left, or time ran out; says nothing of the upstream.
    Cancelled,
}

impl Entry {
    /// Returns the weight version of a model, where it has one.
    pub fn weight_version(&self, model: &Model) -> Option<u32> {
        self.models.iter().find(|it| it.0 == *model).map(|it| it.1)
    }
}

/// What this host believes of one upstream, and how requests to it went.
#[derive(Clone, Debug)]
pub(crate) struct State {
    pub(crate) entry: Entry,
    pub(crate) cold_until: Instant,
    pub(crate) last_disconnect: Instant,
    pub(crate) in_flight: u32,
    /// Tokens of the prompts and answers in flight from this host.
    pub(crate) tokens: u64,
    /// Tokens and requests in flight from other hosts.
    pub(crate) peer_load: (u64, u32),
    pub(crate) sent: Window,
    /// Not used before this time.
    pub(crate) ejected_until: Instant,
    /// One request at a time until one succeeds.
    pub(crate) half_open: bool,
    pub(crate) failures: u32,
    pub(crate) failure_share: f64,
    pub(crate) backoff_until: Instant,
    pub(crate) refusals: u32,
    pub(crate) mean_ttfb: f64,
    /// Rank keys.
    pub(crate) rank_key: u64,
}

impl State {
    /// Creates the standing of an upstream that has just been heard of.
    pub(crate) fn new(entry: &Entry, now: Instant) -> Self {
        State {
            entry: entry.clone(),
            cold_until: now + entry.cold_remaining,
            last_disconnect: Instant::default(),
            in_flight: 0,
            tokens: 0,
            peer_load: (0, 0),
            sent: Window::new(COLD_RATE_WINDOW),
            ejected_until: Instant::default(),
            half_open: false,
            failures: 0,
            failure_share: 0.0,
            backoff_until: Instant::default(),
            refusals: 0,
            mean_ttfb: 0.0,
            rank_key: rendezvous::hash_parts(&["upstream", entry.id.as_str()]),
        }
    }

    /// Returns the hash by which hosts name the upstream to each other.
    pub(crate) fn short_id(&self) -> u32 {
        (self.rank_key >> 32) as u32
    }

    /// Returns the tokens in flight from all hosts.
    pub(crate) fn total_tokens(&self) -> u64 {
        self.tokens + self.peer_load.0
    }

    /// Returns the requests in flight from all hosts.
    pub(crate) fn total_requests(&self) -> u32 {
        self.in_flight + self.peer_load.1
    }

    /// Ranks an upstream for a session; upstreams near the session's store come first more
    /// often.
    pub(crate) fn rank_weight(&self, session: u64, cache_zone: Option<&Zone>) -> u64 {
        let chance = ((rendezvous::mix64(session ^ self.rank_key) >> 11) as f64 + 1.0)
            / (1_u64 << 53) as f64;
        let times = if cache_zone == Some(&self.entry.zone) { NEAR_WEIGHT } else { 1.0 };
        (chance.powf(1.0 / times) * (1_u64 << 53) as f64) as u64
    }

    /// Takes how a request went; `allowed` tells whether one more upstream may be put out of
    /// use for failures of requests that it took.
    pub(crate) fn record_outcome(
        &mut self,
        now: Instant,
        service: &ServiceEntry,
        outcome: Outcome,
        allowed: bool,
    ) {
        match outcome {
            Outcome::Served(ttfb) => {
                self.half_open = false;
                self.failures = 0;
                self.refusals = 0;
                self.mean_ttfb += TTFB_WEIGHT * (ttfb.as_secs_f64() - self.mean_ttfb);
                self.failure_share *= 1.0 - FAILURE_WEIGHT;
            }
            Outcome::Failed => self.failed(now, allowed),
            Outcome::Refused => {
                let pause = REFUSAL_BACKOFF * 2_u32.pow(self.refusals.min(4));
                self.backoff_until = now + pause.min(REFUSAL_BACKOFF_MAX);
                self.refusals += 1;
            }
            // The next row tells who has the address now.
            Outcome::AddressReused => self.eject(now, EJECTION_MAX),
            Outcome::Unreachable => self.unreachable(now, service),
            Outcome::Broken => {
                self.mark_disconnected(now, service);
                self.failed(now, allowed);
            }
            Outcome::Cancelled => {}
        }
    }

    fn failed(&mut self, now: Instant, allowed: bool) {
        self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share);
        if self.failure_share > FAILURE_LIMIT && allowed {
            // Half of the limit is forgiven, so that a trial that succeeds brings it back.
            self.failure_share = FAILURE_LIMIT / 2.0;
            self.eject(now, FAULTY);
        }
    }

    fn unreachable(&mut self, now: Instant, service: &ServiceEntry) {
        let pause = EJECTION * 2_u32.pow(self.failures.min(4));
        self.failures += 1;
        self.mark_disconnected(now, service);
        self.eject(now, pause.min(EJECTION_MAX));
    }

    /// After a break, an upstream may come back cold.
    fn mark_disconnected(&mut self, now: Instant, service: &ServiceEntry) {
        self.last_disconnect = now;
        self.cold_until = self.cold_until.max(now + service.cold_start);
    }

    fn eject(&mut self, now: Instant, pause: Duration) {
        self.half_open = true;
        self.ejected_until = self.ejected_until.max(now + pause);
        log::info!(upstream = self.entry.id.as_str(), failures = self.failures,
            pause_ms = pause.as_millis() as u64; "upstream is out of use");
    }
}
