//! What this host believes of the upstreams, and which one a request is sent to.
//!
//! No I/O: entries of the store, outcomes of requests and the time go in, choices come out.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
};

use crate::{
    admission::{Pressure, Waits},
    deployment::{Deployment, EngineEntry, ServiceEntry},
    prelude::*,
    rendezvous, share,
    target_weights::Targets,
    upstream_state::{COLD_RATE_WINDOW, REFUSAL_BACKOFF, REFUSAL_BACKOFF_MAX, State},
};

/// Part of the cold limit that is used while an upstream is known to be cold.
const COLD_MARGIN: f64 = 0.7;
/// Times its part of the limit that a host sends to an upstream that nobody has called
/// cold: it may have become cold without a word, but hosts do not burst all at once.
const WARM_MARGIN: f64 = 2.0;
/// Share of failures above which a failed request is given to another upstream.
const FAULTY_SHARE: f64 = 0.22;
/// Most of a service's upstreams, as one of so many, that may be out of use for failures
/// of requests they took.
const FAULTY_PART: usize = 3;
/// For so long after an upstream broke off, a row that says it is warm is not believed: it
/// may have been written before.
const DOUBT: Duration = Duration::from_millis(1500);
/// An upstream may have this times the mean of the tokens in flight before a session moves on
/// to its next choice.
const OVERFLOW: f64 = 1.2;
/// Part of an engine's memory that requests fill before a session moves on to its next choice.
const TOKENS_FREE: f64 = 0.15;
/// The same while only some upstreams have the newest weights, and nothing is cached there.
const TOKENS_ROLLING: f64 = 0.15;
/// Part of an engine's memory that requests fill at most; beyond that, runs would only put each
/// other back. What all engines bear together is for `admission`.
const TOKENS_MAX: f64 = 1.6;
/// How long an upstream gets no requests after the holder of the lease has told that it takes
/// new weights; told again several times meanwhile.
const LOADING: Duration = Duration::from_millis(350);
/// Part of an upstream's connections that requests use; kept ones wait beside them.
const CONNECTIONS_PART: f64 = 0.8;
/// How long what another host has told of its requests counts.
const TOLD: Duration = Duration::from_millis(700);
/// How long an upstream that turned a request away gets no other one while it lacks weights
/// that were named.
const ROLLING_REFUSAL: Duration = Duration::from_millis(1200);
pub use crate::upstream_state::{Entry, Outcome};

/// Tokens and requests in flight by a short hash of the upstream's id.
pub type Loads = HashMap<u32, (u64, u32)>;

/// What a request asks of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a Service,
    /// The model, for model engines.
    pub model: Option<&'a Model>,
    /// Key of the session whose cache would be of use.
    pub session: Option<u64>,
    /// The zone of the store that holds the session's cache.
    pub cache_zone: Option<&'a Zone>,
    /// Tokens of its prompt and of its longest answer.
    pub tokens: u32,
    /// Whether an upstream was chosen for it before.
    pub admitted: bool,
    /// Rank among the requests of the service, 0 first.
    pub priority: u8,
    /// A hash that differs from request to request.
    pub request_hash: u64,
    /// Upstreams that were tried.
    pub tried: &'a [Upstream],
}

/// The upstream that was chosen. The request counts as in flight there until
/// [`Fleet::record_outcome`] is told how it went.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub id: Upstream,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// The weight version that it is believed to have of the request's model.
    pub weight_version: Option<u32>,
    /// Tokens that count as in flight there.
    pub tokens: u32,
    /// The upstream where the session belongs, if that is another one with the same
    /// weights: its cache may hold what the session needs.
    pub cache_source: Option<SocketAddr>,
    /// Why this one.
    pub reason: &'static str,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Denial {
    /// None is known to be of use; one may be after this time.
    NoUpstream(Duration),
    /// Those that are cannot take more for this time.
    Full(Duration),
    /// All of them together have too much to do; it may come back after this time.
    Shed(Duration, Pressure),
}

/// The upstreams.
#[derive(Debug)]
pub struct Fleet {
    me: Host,
    zone: Zone,
    cold_overshoot: f64,
    cold_slack: f64,
    hosts: Vec<Host>,
    /// Requests in flight from other hosts, as they tell them.
    told: HashMap<Host, (Instant, Loads)>,
    states: HashMap<Upstream, State>,
    by_service: HashMap<Service, Vec<Upstream>>,
    evacuated: HashSet<Zone>,
    waits: HashMap<Service, Waits>,
    /// The weights that operators have named.
    pub target_weights: Targets,
}

impl Fleet {
    /// Creates a fleet without upstreams.
    pub fn new(host_config: &crate::host_config::Config) -> Self {
        Fleet {
            me: host_config.host.clone(),
            zone: host_config.zone.clone(),
            cold_overshoot: host_config.bounds.cold_overshoot,
            cold_slack: host_config.bounds.cold_slack,
            told: HashMap::new(),
            hosts: vec![host_config.host.clone()],
            states: HashMap::new(),
            by_service: HashMap::new(),
            evacuated: HashSet::new(),
            waits: HashMap::new(),
            target_weights: Targets::new(host_config.bounds),
        }
    }

    /// Takes the list of all hosts, which share what upstreams bear.
    pub fn set_hosts(&mut self, mut hosts: Vec<Host>) {
        if !hosts.contains(&self.me) {
            hosts.push(self.me.clone());
        }
        hosts.sort();
        self.hosts = hosts;
    }

    /// Returns how many hosts come before this one in the ranking for a task.
    pub fn hosts_ranked_before(&self, task: &str) -> usize {
        let key = rendezvous::hash_parts(&[task]);
        let me = rendezvous::weight(key, self.me.as_str());
        self.hosts.iter().filter(|it| rendezvous::weight(key, it.as_str()) > me).count()
    }

    /// Tells whether this host ranks first for a task.
    pub fn ranks_first(&self, task: &str) -> bool {
        self.hosts_ranked_before(task) == 0
    }

    /// Takes that the upstreams' rows are known as they were at a time.
    pub fn mark_synced_at(&mut self, at: Instant) {
        let oldest = self.oldest_weight_versions();
        self.target_weights.update_oldest(at, oldest);
    }

    /// Returns the oldest weights that an upstream has of each model.
    pub fn oldest_weight_versions(&self) -> Vec<(Model, u32)> {
        let mut oldest: SmallVec<[(Model, u32); 4]> = SmallVec::new();
        for (model, version) in self.states.values().flat_map(|it| &it.entry.models) {
            match oldest.iter_mut().find(|it| it.0 == *model) {
                Some(it) => it.1 = it.1.min(*version),
                None => oldest.push((model.clone(), *version)),
            }
        }
        oldest.into_vec()
    }

    /// Returns the newest weight version of a model that was named, or else one that an
    /// upstream has.
    pub fn newest_weight_version(&self, model: &Model) -> Option<u32> {
        let held = || self.states.values().find_map(|it| it.entry.weight_version(model));
        self.target_weights.newest(model).or_else(held)
    }

    /// Takes the upstreams that take new weights on another host's orders: they turn requests
    /// away meanwhile.
    pub fn mark_loading(&mut self, now: Instant, loading: &[u32]) {
        for state in self.states.values_mut().filter(|it| loading.contains(&it.short_id())) {
            state.backoff_until = state.backoff_until.max(now + LOADING);
        }
    }

    /// Returns the hash by which hosts name an upstream to each other.
    pub fn short_id(&self, id: &Upstream) -> Option<u32> {
        self.states.get(id).map(State::short_id)
    }

    /// Returns the requests in flight from this host.
    pub fn loads(&self) -> Loads {
        let busy = self.states.values().filter(|it| it.in_flight > 0);
        busy.map(|it| (it.short_id(), (it.tokens, it.in_flight))).collect()
    }

    /// Returns the requests in flight from this host and from those of the others that count.
    pub fn combined_loads<F>(&self, counts: F) -> Loads
    where
        F: Fn(&Host) -> bool,
    {
        let mut all = self.loads();
        let others = self.told.iter().filter(|it| counts(it.0));
        for (short, load) in others.flat_map(|it| &it.1.1) {
            let sum: &mut (u64, u32) = all.entry(*short).or_default();
            *sum = (sum.0 + load.0, sum.1 + load.1);
        }
        all
    }

    /// Takes the requests in flight from another host.
    pub fn record_peer_loads(&mut self, now: Instant, host: &Host, loads: Loads) {
        self.told.insert(host.clone(), (now, loads));
        self.sum_loads(now);
    }

    /// Adds up what other hosts have told a moment ago.
    fn sum_loads(&mut self, now: Instant) {
        self.told.retain(|_, (at, _)| now.since(*at) < TOLD);
        for state in self.states.values_mut() {
            let short = state.short_id();
            let others = self.told.values().filter_map(|(_, loads)| loads.get(&short));
            state.peer_load = others.fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
        }
    }

    /// Returns the number of upstreams that have some weights of a model.
    pub fn count_with_model(&self, model: &Model) -> usize {
        self.states.values().filter(|it| it.entry.weight_version(model).is_some()).count()
    }

    /// Returns the number of hosts, this one included.
    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Takes a row of the store.
    pub fn upsert(&mut self, now: Instant, entry: Entry) {
        let id = entry.id.clone();
        let previous = self.states.remove(&id);
        let restarted = previous.as_ref().is_some_and(|it| {
            it.entry.start_time_ms != entry.start_time_ms || it.entry.address != entry.address
        });
        let cold_until = now + entry.cold_remaining;
        let mut state = match previous {
            Some(state) if !restarted => state,
            // What was in flight at the former start is settled against a saturating count.
            _ => State::new(&entry, now),
        };
        let recently_disconnected =
            now.since(state.last_disconnect) < DOUBT && state.last_disconnect != Instant::default();
        if !recently_disconnected {
            state.cold_until = cold_until;
        } else {
            state.cold_until = state.cold_until.max(cold_until);
        }
        if state.entry.service != entry.service || !self.listed(&entry.service, &id) {
            self.unlist(&state.entry.service, &id);
            self.by_service.entry(entry.service.clone()).or_default().push(id.clone());
        }
        if state.entry.draining != entry.draining || restarted {
            log::info!(upstream = id.as_str(), draining = entry.draining, restarted = restarted;
                "upstream changed");
        }
        if state.entry.models != entry.models {
            state.backoff_until = now;
        }
        // A row may be older than what an answer has shown.
        let shown = if restarted { SmallVec::new() } else { state.entry.models };
        state.entry = entry;
        for (model, version) in &mut state.entry.models {
            let known = shown.iter().find(|it| it.0 == *model).map_or(0, |it| it.1);
            *version = known.max(*version);
        }
        self.states.insert(id, state);
    }

    /// Takes the removal of an upstream's row.
    pub fn remove(&mut self, id: &Upstream) {
        if let Some(state) = self.states.remove(id) {
            self.unlist(&state.entry.service, id);
            log::info!(upstream = id.as_str(); "upstream is gone");
        }
    }

    /// Takes a zone out, or back.
    pub fn set_evacuated(&mut self, zone: Zone, out: bool) {
        log::info!(zone = zone.as_str(), out = out; "zone is taken out or back");
        if out {
            self.evacuated.insert(zone);
        } else {
            self.evacuated.remove(&zone);
        }
    }

    /// Tells whether a zone is taken out.
    pub fn is_evacuated(&self, zone: &Zone) -> bool {
        self.evacuated.contains(zone)
    }

    /// Takes the weight version that an answer showed.
    pub fn record_weight_version(&mut self, id: &Upstream, model: &Model, version: u32) {
        let Some(state) = self.states.get_mut(id) else { return };
        for it in state.entry.models.iter_mut().filter(|it| it.0 == *model && it.1 < version) {
            it.1 = version;
            state.backoff_until = Instant::default();
        }
    }

    /// Returns the upstreams that have an older version of a model than was named.
    pub fn outdated(&self) -> Vec<(Entry, Model, u32)> {
        let mut outdated = Vec::new();
        for state in self.states.values() {
            for (model, version) in &state.entry.models {
                let Some(newest) = self.target_weights.newest(model) else { continue };
                if *version < newest && !state.entry.draining {
                    outdated.push((state.entry.clone(), model.clone(), newest));
                }
            }
        }
        // The oldest weights first: answers made on them count least.
        outdated.sort_by_key(|(entry, model, _)| (entry.weight_version(model), entry.id.clone()));
        outdated
    }

    /// Tells whether an upstream fails so often that the fault is likely its own, and not that
    /// of the request.
    pub fn is_faulty(&self, id: &Upstream) -> bool {
        self.states.get(id).is_some_and(|it| it.failure_share > FAULTY_SHARE)
    }

    /// Returns the mean time to the first byte of an upstream's answers.
    pub fn mean_ttfb(&self, id: &Upstream) -> Duration {
        let mean = self.states.get(id).map_or(0.0, |it| it.mean_ttfb);
        Duration::from_secs_f64(mean.max(0.0))
    }

    /// Returns an upstream's row.
    pub fn entry(&self, id: &Upstream) -> Option<&Entry> {
        self.states.get(id).map(|it| &it.entry)
    }

    /// Returns the number of upstreams that are not leaving.
    pub fn len(&self) -> usize {
        self.states.values().filter(|it| !it.entry.draining).count()
    }

    /// Tells whether no upstream is of use.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Chooses an upstream and counts the request as in flight there.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub fn choose(
        &mut self,
        now: Instant,
        deployment: &Deployment,
        query: &Query<'_>,
    ) -> Result<Choice, Denial> {
        let nothing = Denial::NoUpstream(REFUSAL_BACKOFF_MAX);
        let service = deployment.services.get(query.service).ok_or(nothing)?.clone();
        // What has begun is not given up for load.
        if let (Some(engine), false) = (&service.engine, query.admitted) {
            let pressure = self.pressure(now, engine, query);
            let admitted = pressure.admit(query.request_hash);
            admitted.map_err(|retry| Denial::Shed(retry, pressure))?;
        }
        let usable = self.usable(now, &service, query);
        if usable.is_empty() {
            return Err(self.denial(now, query));
        }
        let (id, reason) = self.best(now, &service, query, &usable);
        let cache_source = self.cache_source(now, query, &id);
        let state = self.states.get_mut(&id).ok_or(nothing)?;
        state.in_flight += 1;
        state.tokens += u64::from(query.tokens);
        state.sent.push(now);
        let weight_version = query.model.and_then(|model| state.entry.weight_version(model));
        Ok(Choice {
            tokens: query.tokens,
            cache_source,
            address: state.entry.address,
            zone: state.entry.zone.clone(),
            weight_version,
            id,
            reason,
        })
    }

    /// Takes how a request went that [`Fleet::choose`] placed.
    pub fn record_outcome(
        &mut self,
        now: Instant,
        service: &ServiceEntry,
        choice: &Choice,
        outcome: Outcome,
    ) {
        let faulty_allowed = self.faulty_allowed(now, &choice.id);
        let rolling = self.is_rolling(&choice.id);
        let Some(state) = self.states.get_mut(&choice.id) else { return };
        state.in_flight = state.in_flight.saturating_sub(1);
        state.tokens = state.tokens.saturating_sub(choice.tokens.into());
        if outcome == Outcome::Refused && rolling {
            // It is most likely taking new weights; its row will show when it has them.
            state.backoff_until = now + ROLLING_REFUSAL;
            return;
        }
        state.record_outcome(now, service, outcome, faulty_allowed);
    }

    /// Takes how long a request has waited for its first token, and the wait that its caller
    /// is promised.
    pub fn record_wait(
        &mut self,
        now: Instant,
        service: &Service,
        priority: u8,
        waited: Duration,
        promised: Duration,
    ) {
        self.waits.entry(service.clone()).or_default().record(now, priority, waited, promised);
    }

    /// Tells whether an upstream has older weights than were named.
    fn is_rolling(&self, id: &Upstream) -> bool {
        let Some(state) = self.states.get(id) else { return false };
        state.entry.models.iter().any(|(model, version)| {
            self.target_weights.newest(model).is_some_and(|it| *version < it)
        })
    }

    /// Takes that an upstream does not have the weights that its row shows: most likely it
    /// has the newest ones by now.
    pub fn assume_newest_weights(&mut self, id: &Upstream, model: &Model) {
        if let Some(version) = self.target_weights.newest(model) {
            self.record_weight_version(id, model, version);
        }
    }

    /// Returns the mean load of the engines that a request may go to now or in a moment.
    fn pressure(&self, now: Instant, engine: &EngineEntry, query: &Query<'_>) -> Pressure {
        let states = self.by_service.get(query.service).into_iter().flatten();
        let states = states.filter_map(|id| self.states.get(id)).filter(|it| {
            let out = it.entry.draining || self.evacuated.contains(&it.entry.zone);
            !out && it.ejected_until <= now
        });
        let loads = states.map(|it| (it.total_tokens(), it.total_requests()));
        Pressure::new(now, engine, loads, self.waits.get(query.service), query.priority)
    }

    fn usable(&mut self, now: Instant, service: &ServiceEntry, query: &Query<'_>) -> Vec<Upstream> {
        let Some(ids) = self.by_service.get(query.service) else { return Vec::new() };
        let bearable = service.cold_rate * self.cold_overshoot + self.cold_slack;
        let connections = match service.max_connections {
            0 => u32::MAX,
            most => (f64::from(most) * CONNECTIONS_PART / self.hosts.len() as f64).max(1.0) as u32,
        };
        let expired = query.model.map(|it| (it, self.target_weights.min_version(now, it)));
        let most = service
            .engine
            .as_ref()
            .map_or(u64::MAX, |it| (it.cache_tokens as f64 * TOKENS_MAX) as u64);
        let mut usable = Vec::with_capacity(ids.len());
        for id in ids {
            let Some(state) = self.states.get_mut(id) else { continue };
            if state.entry.draining
                || query.tried.contains(id)
                || self.evacuated.contains(&state.entry.zone)
                || state.ejected_until > now
                || state.backoff_until > now
                || state.in_flight >= connections
                || (state.half_open && state.in_flight > 0)
                || expired.is_some_and(|(model, newest)| {
                    state.entry.weight_version(model).is_some_and(|it| it < newest)
                })
                || (state.total_requests() > 0
                    && state.total_tokens() + u64::from(query.tokens) > most)
            {
                continue;
            }
            if service.cold_rate > 0.0 && state.cold_until > now {
                let limit = (bearable * COLD_MARGIN) as u32;
                let mine = share::host_share(limit, id.as_str(), &self.me, &self.hosts);
                if state.sent.count(now) as u32 >= mine {
                    continue;
                }
            }
            usable.push(id.clone());
        }
        usable
    }

    fn denial(&self, now: Instant, query: &Query<'_>) -> Denial {
        let states = self.by_service.get(query.service).into_iter().flatten();
        let states = states.filter_map(|id| self.states.get(id));
        let live =
            states.filter(|it| !it.entry.draining && !self.evacuated.contains(&it.entry.zone));
        let wait = live.map(|it| {
            let until = it.ejected_until.max(it.backoff_until);
            if until > now { until.since(now) } else { COLD_RATE_WINDOW / 2 }
        });
        match wait.min() {
            Some(wait) => Denial::Full(wait.max(REFUSAL_BACKOFF / 2)),
            None => Denial::NoUpstream(REFUSAL_BACKOFF_MAX),
        }
    }

    /// Chooses among those that may be used.
    fn best(
        &mut self,
        now: Instant,
        service: &ServiceEntry,
        query: &Query<'_>,
        usable: &[Upstream],
    ) -> (Upstream, &'static str) {
        let bearable = service.cold_rate * self.cold_overshoot + self.cold_slack;
        let ordinary = ((bearable * WARM_MARGIN) / self.hosts.len() as f64).max(1.0) as usize;
        let newest = query.model.and_then(|it| self.target_weights.newest(it));
        let states = || usable.iter().filter_map(|it| self.states.get(it));
        let total: u64 = states().map(State::total_tokens).sum();
        let requests: u32 = states().map(State::total_requests).sum();
        let capacity = service.engine.as_ref().map_or(f64::MAX, |it| it.cache_tokens as f64);
        // A session moves on when its upstream has clearly more to do than others have.
        let mean = total as f64 / usable.len() as f64;
        let room = (mean * OVERFLOW).max(capacity * TOKENS_FREE) as u64;
        let idle = requests < usable.len() as u32;
        let is_outdated = |state: &State| match (newest, query.model) {
            (Some(newest), Some(model)) => {
                state.entry.weight_version(model).is_some_and(|it| it < newest)
            }
            _ => false,
        };
        let rolling = usable.iter().filter_map(|it| self.states.get(it)).any(is_outdated);
        let mut best: Option<(Score, &Upstream)> = None;
        for id in usable {
            let Some(state) = self.states.get_mut(id) else { continue };
            let outdated = is_outdated(state);
            // The first upstreams with new weights cannot take the load of all.
            let rolled = (capacity * TOKENS_ROLLING) as u64;
            let room = if rolling && !outdated { room.min(rolled) } else { room };
            let crowded =
                state.total_requests() > 0 && state.total_tokens() + u64::from(query.tokens) > room;
            let bursting = service.cold_rate > 0.0 && state.sent.count(now) >= ordinary;
            let score = Score {
                bursting,
                crowded,
                outdated,
                far: query.session.is_none() && state.entry.zone != self.zone && idle,
                load: match query.session {
                    Some(_) if !crowded => 0,
                    Some(_) => state.total_tokens(),
                    None => state.total_requests().into(),
                },
                rank: match query.session {
                    Some(session) => u64::MAX - state.rank_weight(session, query.cache_zone),
                    None => (state.mean_ttfb * 1e6) as u64,
                },
            };
            if best.as_ref().is_none_or(|(it, _)| score < *it) {
                best = Some((score, id));
            }
        }
        match best {
            Some((score, id)) => (id.clone(), score.reason(query.session.is_some())),
            None => (usable[0].clone(), "only"),
        }
    }

    /// Finds the upstream that ranks first for a session among those with the same weights as
    /// the chosen one.
    fn cache_source(
        &self,
        now: Instant,
        query: &Query<'_>,
        chosen: &Upstream,
    ) -> Option<SocketAddr> {
        let (session, model) = (query.session?, query.model?);
        let weight_version = self.states.get(chosen)?.entry.weight_version(model);
        let states = self.by_service.get(query.service)?.iter();
        let states = states.filter_map(|id| self.states.get(id));
        let alike = states.filter(|it| {
            it.entry.weight_version(model) == weight_version
                && it.ejected_until <= now
                && !it.entry.draining
        });
        let first = alike.max_by_key(|it| it.rank_weight(session, query.cache_zone))?;
        (first.entry.id != *chosen).then_some(first.entry.address)
    }

    /// Tells whether one more upstream of the same service may be put out of use for
    /// failures of requests that it took.
    fn faulty_allowed(&self, now: Instant, id: &Upstream) -> bool {
        let Some(state) = self.states.get(id) else { return false };
        let Some(ids) = self.by_service.get(&state.entry.service) else { return false };
        let states = ids.iter().filter_map(|it| self.states.get(it));
        let out = states.filter(|it| it.ejected_until > now).count();
        (out + 1) * FAULTY_PART <= ids.len()
    }

    fn listed(&self, service: &Service, id: &Upstream) -> bool {
        self.by_service.get(service).is_some_and(|it| it.contains(id))
    }

    fn unlist(&mut self, service: &Service, id: &Upstream) {
        if let Some(ids) = self.by_service.get_mut(service) {
            ids.retain(|it| it != id);
        }
    }
}

/// How well an upstream suits a request; the least is best. The order of the fields is the
/// order in which they matter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Score {
    bursting: bool,
    crowded: bool,
    outdated: bool,
    far: bool,
    load: u64,
    rank: u64,
}

impl Score {
    fn reason(&self, session: bool) -> &'static str {
        match () {
            () if self.bursting => "bursting",
            () if self.crowded => "least_crowded",
            () if session => "session",
            () => "least_loaded",
        }
    }
}
