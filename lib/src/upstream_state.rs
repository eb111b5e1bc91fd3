//! The state of one upstream as this host knows it: its row in the row store, its load, and the
//! failures and latency of requests to it.

use std::net::SocketAddr;

use crate::{
    configuration::ServiceEntry, prelude::*, refusal_limit::Room, rendezvous, window::Window,
};

/// Window over which requests to a cold upstream are counted; its limit is per second.
pub(crate) const COLD_RATE_WINDOW: Duration = Duration::from_secs(1);
/// First ejection time of an upstream that cannot be reached; doubles with each failure.
const EJECTION_INITIAL: Duration = Duration::from_millis(400);
/// Longest ejection time of an upstream that cannot be reached; also used when its address belongs
/// to another upstream.
const EJECTION_MAX: Duration = Duration::from_secs(4);
/// Back-off after the first refusal of an upstream; doubles with each further one.
pub(crate) const REFUSAL_BACKOFF: Duration = Duration::from_millis(200);
/// Longest back-off after refusals; also the time after which a caller should retry while a service
/// has no live upstream.
pub(crate) const REFUSAL_BACKOFF_MAX: Duration = Duration::from_secs(1);
/// Weight of the newest outcome in the moving average of an upstream's failures.
const FAILURE_WEIGHT: f64 = 0.12;
/// Failure rate above which an upstream is ejected as faulty.
const FAILURE_LIMIT: f64 = 0.3;
/// Ejection time of a faulty upstream.
const FAULTY_EJECTION: Duration = Duration::from_secs(3);
/// How much more often an upstream in the zone of a session's cache store ranks first.
const CACHE_ZONE_FACTOR: f64 = 3.0;
/// Weight of the newest sample in the moving average of an upstream's latency.
const LATENCY_WEIGHT: f64 = 0.15;

/// The row that an upstream writes to the row store.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamRow {
    /// Id that stays the same over restarts.
    pub id: Upstream,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its service.
    pub service: Service,
    /// Its availability zone.
    pub zone: Zone,
    /// Version of its software, which decides what streams it can go on with.
    pub build: Build,
    /// Whether it is shutting down and takes no new requests.
    pub draining: bool,
    /// Requests that it runs concurrently. For engines, the slots of the service's configuration are used.
    pub slots: u32,
    /// Remaining time of its cold start.
    pub cold_remaining: Duration,
    /// The models that it has, with their weight versions.
    pub models: SmallVec<[(Model, u32); 2]>,
    /// Start of the current process in Unix milliseconds, which identifies it; 0 if not reported.
    pub start_time_ms: u64,
}

/// Identifies one process of an upstream. The start time tells processes apart that had the same
/// address one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// Address that the process listens on.
    pub address: SocketAddr,
    /// Start of the process, as in [`UpstreamRow::start_time_ms`]; 0 if not reported.
    pub start_time_ms: u64,
}

impl Incarnation {
    /// Returns whether this may be the process `other`. Without a start time it may be any process
    /// at its address.
    pub fn may_be(self, other: Incarnation) -> bool {
        self.address == other.address
            && (self.start_time_ms == other.start_time_ms || self.start_time_ms == 0)
    }
}

/// The outcome of a request to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream responded; holds the time from sending to the first event of a stream, or to
    /// the end of any other response.
    Served(Duration),
    /// The upstream responded with an error, or not in time.
    Failed,
    /// The upstream responded that it did not run the request.
    Refused,
    /// The upstream turned the request away and asked for a pause.
    Paused,
    /// The address belongs to another upstream, or to another process of this one.
    AddressReused,
    /// No connection could be established.
    Unreachable,
    /// The connection broke, or the response was invalid.
    Broken,
    /// The attempt says nothing about the upstream: the caller disconnected, for example.
    Cancelled,
}

impl UpstreamRow {
    /// Returns the weight version of a model, if the upstream has the model.
    pub fn weight_version(&self, model: &Model) -> Option<u32> {
        self.models.iter().find(|it| it.0 == *model).map(|it| it.1)
    }

    /// Returns what identifies the process that the row is about.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { address: self.address, start_time_ms: self.start_time_ms }
    }
}

/// The row of one upstream, with its load and health as seen from this host.
#[derive(Clone, Debug)]
pub(crate) struct State {
    pub(crate) row: UpstreamRow,
    /// Weight versions that are assumed after a refusal, until the upstream shows which ones it has.
    pub(crate) assumed_weights: SmallVec<[(Model, u32); 1]>,
    /// End of its cold start, as its row tells or as assumed after a disconnect.
    pub(crate) cold_until: Instant,
    /// When a connection to it last failed or broke; the default if none has.
    pub(crate) last_disconnect: Instant,
    /// When its process was last seen to end, or not to be there, if no row tells since which process it has now.
    pub(crate) ended_at: Option<Instant>,
    /// When the evacuation of its zone ended, unless a later row has told since whether it is cold.
    pub(crate) reopened_at: Option<Instant>,
    /// Requests in flight from this host.
    pub(crate) in_flight: u32,
    /// Tokens of the prompts and answers in flight from this host.
    pub(crate) tokens: u64,
    /// Tokens and requests in flight from other hosts.
    pub(crate) peer_load: (u64, u32),
    /// Requests sent from this host within the last second.
    pub(crate) sent: Window,
    /// Gets no requests before this time, after failed requests or connections. An ejected upstream
    /// does not count in the mean load for admission.
    pub(crate) ejected_until: Instant,
    /// End of its last ejection for failed requests.
    pub(crate) faulty_until: Instant,
    /// Whether it gets one request at a time until one succeeds, after an ejection.
    pub(crate) half_open: bool,
    /// Failed connections since the last success.
    pub(crate) connect_failures: u32,
    /// Moving average of failed requests, 0 to 1.
    pub(crate) failure_rate: f64,
    /// Gets no requests before this time, after a refusal or while it loads weights. Unlike an
    /// ejected upstream, it counts in the mean load for admission.
    pub(crate) backoff_until: Instant,
    /// Refusals since the last success.
    pub(crate) refusals: u32,
    /// Moving average of its latencies, as in [`Outcome::Served`], in seconds.
    pub(crate) mean_latency: f64,
    /// Hash of the id, from which ranks for sessions are derived.
    pub(crate) rank_key: u64,
}

impl State {
    /// Creates the state of an upstream that was not known before.
    pub(crate) fn new(row: &UpstreamRow, now: Instant) -> Self {
        State {
            row: row.clone(),
            assumed_weights: SmallVec::new(),
            cold_until: now + row.cold_remaining,
            last_disconnect: Instant::default(),
            ended_at: None,
            reopened_at: None,
            in_flight: 0,
            tokens: 0,
            peer_load: (0, 0),
            sent: Window::new(COLD_RATE_WINDOW),
            ejected_until: Instant::default(),
            faulty_until: Instant::default(),
            half_open: false,
            connect_failures: 0,
            failure_rate: 0.0,
            backoff_until: Instant::default(),
            refusals: 0,
            mean_latency: 0.0,
            rank_key: rendezvous::hash_parts(&["upstream", row.id.as_str()]),
        }
    }

    /// Returns whether the upstream is known to have a build.
    pub(crate) fn has_build(&self, build: &Build) -> bool {
        self.row.build == *build && self.ended_at.is_none()
    }

    /// Returns the weight version of a model that the upstream has shown, or that is assumed.
    pub(crate) fn weight_version(&self, model: &Model) -> Option<u32> {
        let assumed = self.assumed_weights.iter().find(|it| it.0 == *model);
        assumed.map(|it| it.1).or_else(|| self.row.weight_version(model))
    }

    /// Returns the hash that identifies the upstream in messages between hosts.
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

    /// Returns what is known of its room for requests, of which `part` is used.
    pub(crate) fn room(&self, service: &ServiceEntry, part: f64) -> Room<'_> {
        Room {
            upstream: &self.row.id,
            slots: service.engine.as_ref().map_or(self.row.slots, |it| it.slots),
            part,
            own: self.in_flight,
            total: self.total_requests(),
        }
    }

    /// Returns the rank of the upstream for a session by weighted rendezvous hashing; the highest
    /// is first. Upstreams in the zone of the session's cache store rank first more often.
    pub(crate) fn session_rank(&self, session: u64, cache_zone: Option<&Zone>) -> u64 {
        let sample = ((rendezvous::mix64(session ^ self.rank_key) >> 11) as f64 + 1.0)
            / (1_u64 << 53) as f64;
        let factor = if cache_zone == Some(&self.row.zone) { CACHE_ZONE_FACTOR } else { 1.0 };
        (sample.powf(1.0 / factor) * (1_u64 << 53) as f64) as u64
    }

    /// Records the outcome of a request. `may_eject` tells whether the upstream may be ejected for
    /// failed requests.
    pub(crate) fn record_outcome(
        &mut self,
        now: Instant,
        service: &ServiceEntry,
        outcome: Outcome,
        may_eject: bool,
    ) {
        match outcome {
            Outcome::Served(latency) => {
                self.half_open = false;
                self.connect_failures = 0;
                self.refusals = 0;
                self.mean_latency += LATENCY_WEIGHT * (latency.as_secs_f64() - self.mean_latency);
                self.failure_rate *= 1.0 - FAILURE_WEIGHT;
            }
            Outcome::Failed => self.record_failure(now, may_eject),
            Outcome::Refused => {
                let pause = REFUSAL_BACKOFF * 2_u32.pow(self.refusals.min(4));
                self.backoff_until = now + pause.min(REFUSAL_BACKOFF_MAX);
                self.refusals += 1;
            }
            // The next row shows which upstream has the address now.
            Outcome::AddressReused => self.eject(now, EJECTION_MAX),
            Outcome::Unreachable => self.record_unreachable(now, service),
            Outcome::Broken => {
                self.mark_disconnected(now, service);
                self.record_failure(now, may_eject);
            }
            // A pause says nothing about the upstream's health.
            Outcome::Paused | Outcome::Cancelled => {}
        }
    }

    /// Counts a failed request, and ejects the upstream if its failure rate is too high.
    fn record_failure(&mut self, now: Instant, may_eject: bool) {
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
        if self.failure_rate > FAILURE_LIMIT && may_eject {
            // Reset to half the limit, so that one successful request brings the upstream back.
            self.failure_rate = FAILURE_LIMIT / 2.0;
            self.faulty_until = now + FAULTY_EJECTION;
            self.eject(now, FAULTY_EJECTION);
        }
    }

    /// Counts a failed connection and ejects the upstream, longer with each failure.
    fn record_unreachable(&mut self, now: Instant, service: &ServiceEntry) {
        let pause = EJECTION_INITIAL * 2_u32.pow(self.connect_failures.min(4));
        self.connect_failures += 1;
        self.record_end(now, "failed connection");
        self.mark_disconnected(now, service);
        self.eject(now, pause.min(EJECTION_MAX));
    }

    /// Ends an ejection for failed connections: not the upstream failed, but this host's links to it.
    pub(crate) fn forgive_unreachable(&mut self, now: Instant) {
        if self.connect_failures > 0 {
            self.connect_failures = 0;
            self.ejected_until = self.ejected_until.min(now).max(self.faulty_until);
            // One request at a time would refuse the callers that come at once.
            self.half_open &= self.faulty_until > now;
        }
    }

    /// Returns whether the upstream is in a cold start, as far as is known.
    pub(crate) fn is_cold(&self, now: Instant, service: &ServiceEntry) -> bool {
        let may_be_cold = self.reopened_at.is_some_and(|it| now.since(it) < service.cold_start);
        service.cold_rate > 0.0 && (may_be_cold || self.cold_until > now)
    }

    /// Records that the process has ended, or may have. Until a row tells which one there is now, its build is unknown.
    pub(crate) fn record_end(&mut self, at: Instant, sign: &str) {
        if self.ended_at.is_none() {
            log::info!(upstream = self.row.id.as_str(), sign = sign;
                "process of an upstream may have ended, its build is unknown until its row is read");
        }
        self.ended_at = self.ended_at.max(Some(at));
    }

    /// Assumes a cold start, because the upstream may have restarted.
    fn mark_disconnected(&mut self, now: Instant, service: &ServiceEntry) {
        self.last_disconnect = now;
        self.cold_until = self.cold_until.max(now + service.cold_start);
    }

    /// Excludes the upstream from requests for `pause`; then it gets one at a time until one
    /// succeeds.
    fn eject(&mut self, now: Instant, pause: Duration) {
        self.half_open = true;
        self.ejected_until = self.ejected_until.max(now + pause);
        log::info!(upstream = self.row.id.as_str(), failures = self.connect_failures,
            pause_ms = pause.as_millis() as u64; "upstream is ejected");
    }
}
