//! Load balancing: tracks the state of all upstreams and chooses one for each request.
//!
//! Does no I/O. The inputs are rows of the row store, request outcomes and the current time.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
};

use crate::{
    admission::{Pressure, Waits},
    build_share::Shares,
    configuration::{Configuration, EngineEntry, ServiceEntry},
    departure::Departures,
    holdover::REWRITE_HEARTBEATS,
    missing_rows::MissingRows,
    obstacle::Obstacle,
    pause::{self, Pauses},
    prelude::*,
    rate_limit::{self, Hosts, Limits, Statement},
    reach::{Change, Reach},
    refusal_limit::{self, RefusalLimits},
    rendezvous,
    retry_budget::Allowance,
    share,
    stream_origin::Builds,
    target_weights::Targets,
    upstream_state::{COLD_RATE_WINDOW, REFUSAL_BACKOFF, REFUSAL_BACKOFF_MAX, State},
};

/// Fraction of the cold rate limit that is used while an upstream is known to be cold. The rest is
/// a margin: the shares of the hosts add up to the limit only if all have the same list of hosts.
const COLD_LIMIT_FRACTION: f64 = 0.7;
/// A host prefers other upstreams once it has sent an upstream this multiple of the host's share of
/// the cold rate limit within a second. The upstream may have restarted cold without notice; the
/// factor is above 1 because not all hosts send bursts at the same time.
const WARM_BURST_FACTOR: f64 = 2.0;
/// Failure rate above which a failed request is retried on another upstream.
const FAILS_OFTEN_LIMIT: f64 = 0.22;
/// Failed requests eject an upstream only while at most one in this many upstreams of its service
/// would then be ejected.
const EJECTED_ONE_IN: usize = 3;
/// Time after a disconnect, or after the end of an evacuation, in which a row cannot end the assumed cold
/// phase of an upstream: the row may have been written before.
const STALE_ROW_WINDOW: Duration = Duration::from_millis(1500);
/// Multiple of the mean tokens in flight per upstream above which a session moves on to the
/// upstream that ranks next.
const SESSION_LOAD_FACTOR: f64 = 1.2;
/// Upstreams among which a session goes to the one with the fewest tokens in flight. Hosts learn late
/// what others send; with few candidates for each session, they do not all choose the same idle one.
const SESSION_CANDIDATES: usize = 4;
/// Fraction of an engine's KV cache that may be in use before a session moves on to the upstream
/// that ranks next.
const SESSION_FILL: f64 = 0.15;
/// Fraction of an engine's KV cache that an upstream with the newest weights must have more in flight
/// before one that lacks them is preferred.
const OUTDATED_FILL: f64 = 0.3;
/// Multiple of an engine's KV cache that requests may need at most; beyond it, runs would only
/// preempt each other. The load of all engines together is limited by `admission`.
const MAX_FILL: f64 = 1.6;
/// The same for a stream that goes on at one of several builds: upstreams of other builds cannot take it.
const BOUND_MAX_FILL: f64 = 4.0;
/// How long an upstream gets no requests after the holder of the rollout lease has announced that
/// the upstream loads new weights. The announcement is repeated several times within this time.
const LOADING_BACKOFF: Duration = Duration::from_millis(350);
/// The same while a service bears few refusals: what does not fit into the KV cache waits, and little may.
const LIMITED_MAX_FILL: f64 = 1.1;
/// Fraction of an upstream's connections that requests may use; the rest is left for idle
/// keep-alive connections.
const CONNECTION_FRACTION: f64 = 0.8;
/// How long the loads reported by another host count.
const PEER_LOADS_TTL: Duration = Duration::from_millis(700);
/// Weight of the newest sample in the mean time to the first token for each token in flight.
const TOKEN_TIME_WEIGHT: f64 = 0.05;
/// Age of the known rows up to which this host keeps up with the row store, as a fraction of the drain bound:
/// two intervals between reads, less one failed read.
const MAX_ROWS_AGE_FRACTION: f64 = 0.75;
/// Time after which a caller should retry whose request needs upstreams that this host does not reach.
const UNREACHABLE_WAIT: Duration = Duration::from_millis(500);
/// Back-off after a refusal by an upstream that does not have the target weights yet.
const ROLLOUT_REFUSAL_BACKOFF: Duration = Duration::from_millis(1200);
pub use crate::{
    choice::{Choice, Denial, Query},
    upstream_state::{Incarnation, Outcome, UpstreamRow},
};

/// Tokens and requests in flight, in this order, by the short id of the upstream.
pub type Loads = HashMap<u32, (u64, u32)>;

/// The state of all upstreams that this host knows.
#[derive(Debug)]
pub struct Fleet {
    /// This host.
    me: Host,
    /// This host's availability zone.
    zone: Zone,
    /// Whether urgent requests come first when callers want more than the engines have room for.
    callers_compete: bool,
    /// Factor on [`ServiceEntry::cold_rate`] in the cold rate limit.
    cold_overshoot: f64,
    /// Requests per second that the cold rate limit allows in addition.
    cold_slack: f64,
    /// All hosts, this one included, in order of their names.
    hosts: Vec<Host>,
    /// The loads that other hosts last reported, with the time of the report.
    peer_loads: HashMap<Host, (Instant, Loads)>,
    states: HashMap<Upstream, State>,
    /// What is known of upstreams whose rows are gone.
    missing_rows: MissingRows,
    by_service: HashMap<Service, Vec<Upstream>>,
    /// Zones whose upstreams get no requests.
    evacuated: HashSet<Zone>,
    /// Mean waits for first tokens.
    waits: HashMap<Service, Waits>,
    /// Mean time to the first token for each token in flight at the engine, in seconds.
    token_times: HashMap<Service, f64>,
    /// The weight versions that operators have set as targets.
    pub target_weights: Targets,
    /// Upstreams that have said in a response that they are shutting down.
    pub departures: Departures,
    /// Upstreams that have asked this host for a pause.
    pub pauses: Pauses,
    /// Upstreams that have named a limit on their requests.
    pub limits: Limits,
    /// The builds that services have had lately.
    pub builds: Builds,
    /// Time within which upstreams write their rows once the row store is back.
    rewrite_time: Duration,
    /// The services whose upstreams this host reaches.
    pub reach: Reach,
    /// The services whose upstreams bear few refusals.
    pub refusal_limits: RefusalLimits,
    /// The shares of builds in the traffic of services that move to another build.
    pub build_shares: Shares,
    /// This host's part of the retries that all hosts share, for each service.
    pub retry_allowance: Allowance,
}

impl Fleet {
    /// Creates a fleet without upstreams.
    pub fn new(host_settings: &crate::host_settings::HostSettings) -> Self {
        Fleet {
            me: host_settings.host.clone(),
            zone: host_settings.zone.clone(),
            callers_compete: host_settings.callers_compete,
            cold_overshoot: host_settings.bounds.cold_overshoot,
            cold_slack: host_settings.bounds.cold_slack,
            peer_loads: HashMap::new(),
            hosts: vec![host_settings.host.clone()],
            states: HashMap::new(),
            missing_rows: MissingRows::default(),
            by_service: HashMap::new(),
            evacuated: HashSet::new(),
            waits: HashMap::new(),
            token_times: HashMap::new(),
            target_weights: Targets::new(host_settings.bounds),
            departures: Departures::default(),
            pauses: Pauses::default(),
            limits: Limits::default(),
            builds: Builds::new(host_settings.bounds.drain.mul_f64(MAX_ROWS_AGE_FRACTION)),
            reach: Reach::default(),
            refusal_limits: RefusalLimits::default(),
            rewrite_time: host_settings.heartbeat.saturating_mul(REWRITE_HEARTBEATS),
            build_shares: Shares::new(host_settings.bounds.exposure),
            retry_allowance: Allowance::new(
                host_settings.bounds.retry_slack,
                host_settings.bounds.retry_window,
            ),
        }
    }

    /// Sets the list of hosts that share the capacity of the upstreams, their limits and the retries.
    pub fn set_hosts(&mut self, now: Instant, mut hosts: Vec<Host>) {
        if !hosts.contains(&self.me) {
            hosts.push(self.me.clone());
        }
        hosts.sort();
        self.hosts = hosts;
        self.retry_allowance.set_host_count(now, self.hosts.len());
        let hosts = Hosts { me: &self.me, all: &self.hosts };
        self.limits.set_hosts(now, hosts);
    }

    /// Returns whether the list of hosts was set.
    pub fn knows_hosts(&self) -> bool {
        self.retry_allowance.knows_hosts()
    }

    /// Records what an upstream has said about a limit on its requests.
    pub fn record_limit(&mut self, now: Instant, statement: &Statement) -> rate_limit::Change {
        let all: &[Host] = if self.knows_hosts() { &self.hosts } else { &[] };
        self.limits.record(now, statement, Hosts { me: &self.me, all })
    }

    /// Counts calls of the host's own to an upstream. Returns false, and counts nothing, if they may not
    /// be made: the upstream is shutting down, has asked for a pause, or its limit leaves no room.
    pub fn take_calls(&mut self, now: Instant, row: &UpstreamRow, count: u32) -> bool {
        self.may_call(now, row) && self.limits.take_calls(now, row, count)
    }

    /// Returns how many hosts precede this one in the rendezvous ranking for a task.
    pub fn hosts_ranked_before(&self, task: &str) -> usize {
        let key = rendezvous::hash_parts(&[task]);
        let me = rendezvous::weight(key, self.me.as_str());
        self.hosts.iter().filter(|it| rendezvous::weight(key, it.as_str()) > me).count()
    }

    /// Returns whether this host ranks first for a task.
    pub fn ranks_first(&self, task: &str) -> bool {
        self.hosts_ranked_before(task) == 0
    }

    /// Records that the known rows of the upstreams are those of the time `at`.
    pub fn set_rows_as_of(&mut self, at: Instant) {
        self.builds.record_rows(at);
        for state in self.states.values_mut() {
            let is_told = |it: &Instant| self.builds.tell_restart_since(*it, self.rewrite_time);
            state.ended_at = state.ended_at.filter(|it| !is_told(it));
        }
        let oldest = self.oldest_weight_versions();
        self.target_weights.update_oldest(at, oldest);
    }

    /// Returns, for each model, the oldest weight version that an upstream has.
    pub fn oldest_weight_versions(&self) -> Vec<(Model, u32)> {
        let mut oldest: SmallVec<[(Model, u32); 4]> = SmallVec::new();
        for (model, version) in self.states.values().flat_map(|it| &it.row.models) {
            match oldest.iter_mut().find(|it| it.0 == *model) {
                Some(it) => it.1 = it.1.min(*version),
                None => oldest.push((model.clone(), *version)),
            }
        }
        oldest.into_vec()
    }

    /// Returns the newest target version of a model or, without a target, a version that some
    /// upstream has.
    pub fn target_or_any_weight_version(&self, model: &Model) -> Option<u32> {
        let held = || self.states.values().find_map(|it| it.row.weight_version(model));
        self.target_weights.newest(model).or_else(held)
    }

    /// Backs off from upstreams, given by their short ids, that are loading new weights and refuse
    /// requests meanwhile.
    pub fn mark_loading(&mut self, now: Instant, loading: &[u32]) {
        for state in self.states.values_mut().filter(|it| loading.contains(&it.short_id())) {
            state.backoff_until = state.backoff_until.max(now + LOADING_BACKOFF);
        }
    }

    /// Returns the hash that identifies an upstream in messages between hosts.
    pub fn short_id(&self, id: &Upstream) -> Option<u32> {
        self.states.get(id).map(State::short_id)
    }

    /// Returns the loads of the upstreams that have requests in flight from this host.
    pub fn loads(&self) -> Loads {
        let busy = self.states.values().filter(|it| it.in_flight > 0);
        busy.map(|it| (it.short_id(), (it.tokens, it.in_flight))).collect()
    }

    /// Returns the loads from this host plus those from the other hosts that `include` accepts.
    pub fn combined_loads<F>(&self, include: F) -> Loads
    where
        F: Fn(&Host) -> bool,
    {
        let mut all = self.loads();
        let others = self.peer_loads.iter().filter(|it| include(it.0));
        for (short_id, load) in others.flat_map(|it| &it.1.1) {
            let sum: &mut (u64, u32) = all.entry(*short_id).or_default();
            *sum = (sum.0 + load.0, sum.1 + load.1);
        }
        all
    }

    /// Records the loads that another host has reported.
    pub fn record_peer_loads(&mut self, now: Instant, host: &Host, loads: Loads) {
        self.peer_loads.insert(host.clone(), (now, loads));
        self.sum_loads(now);
    }

    /// Drops expired reports of other hosts and sums up the rest for each upstream.
    fn sum_loads(&mut self, now: Instant) {
        self.peer_loads.retain(|_, (at, _)| now.since(*at) < PEER_LOADS_TTL);
        for state in self.states.values_mut() {
            let short_id = state.short_id();
            let others = self.peer_loads.values().filter_map(|(_, loads)| loads.get(&short_id));
            state.peer_load = others.fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
        }
    }

    /// Returns the number of upstreams that have a model, in any weight version.
    pub fn count_with_model(&self, model: &Model) -> usize {
        self.states.values().filter(|it| it.row.weight_version(model).is_some()).count()
    }

    /// Returns the number of upstreams of a service.
    pub fn count_in_service(&self, service: &Service) -> usize {
        self.by_service.get(service).map_or(0, Vec::len)
    }

    /// Returns the number of hosts, this one included.
    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Adds or updates an upstream from its row in the row store.
    pub fn upsert(&mut self, now: Instant, row: UpstreamRow) {
        let id = row.id.clone();
        self.builds.see(now, &row.service, &row.build);
        let previous = self.states.remove(&id).or_else(|| self.missing_rows.take(&id));
        let restarted =
            previous.as_ref().is_some_and(|it| it.row.incarnation() != row.incarnation());
        let cold_until = now + row.cold_remaining;
        let mut state = match previous {
            Some(state) if !restarted => state,
            // Requests still in flight to the previous process end later, and are not counted any more.
            _ => State::new(&row, now),
        };
        let recently_disconnected = now.since(state.last_disconnect) < STALE_ROW_WINDOW
            && state.last_disconnect != Instant::default();
        state.reopened_at = state.reopened_at.filter(|it| now.since(*it) < STALE_ROW_WINDOW);
        if !recently_disconnected {
            state.cold_until = cold_until;
        } else {
            state.cold_until = state.cold_until.max(cold_until);
        }
        if state.row.service != row.service || !self.is_listed(&row.service, &id) {
            self.unlist(&state.row.service, &id);
            self.by_service.entry(row.service.clone()).or_default().push(id.clone());
        }
        if state.row.draining != row.draining || restarted {
            log::info!(upstream = id.as_str(), draining = row.draining, restarted = restarted;
                "upstream changed");
        }
        if state.row.models != row.models {
            // The upstream has loaded weights and accepts requests again.
            state.backoff_until = now;
            state.assumed_weights.clear();
        }
        // The row may be older than the last version that a response has shown.
        let shown = if restarted { SmallVec::new() } else { state.row.models };
        state.row = row;
        for (model, version) in &mut state.row.models {
            let known = shown.iter().find(|it| it.0 == *model).map_or(0, |it| it.1);
            *version = known.max(*version);
        }
        self.states.insert(id, state);
    }

    /// Removes an upstream whose row was deleted or is invalid.
    pub fn remove(&mut self, now: Instant, id: &Upstream) {
        if let Some(state) = self.states.remove(id) {
            self.unlist(&state.row.service, id);
            self.missing_rows.insert(now, state);
            log::info!(upstream = id.as_str(); "upstream is removed");
        }
    }

    /// Marks a zone as evacuated, so that its upstreams get no requests, or ends the evacuation. They may have
    /// become cold meanwhile, of which their rows may not tell yet.
    pub fn set_evacuated(&mut self, now: Instant, zone: Zone, evacuated: bool) {
        log::info!(zone = zone.as_str(), out = evacuated; "zone evacuation state changed");
        if evacuated {
            self.evacuated.insert(zone);
        } else if self.evacuated.remove(&zone) {
            let states = self.states.values_mut().filter(|it| it.row.zone == zone);
            states.for_each(|it| it.reopened_at = Some(now));
        }
    }

    /// Returns whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &Zone) -> bool {
        self.evacuated.contains(zone)
    }

    /// Records the weight version that a response has shown; an older one changes nothing.
    pub fn record_weight_version(&mut self, id: &Upstream, model: &Model, version: u32) {
        let Some(state) = self.states.get_mut(id) else { return };
        state.assumed_weights.retain(|it| it.0 != *model);
        for it in state.row.models.iter_mut().filter(|it| it.0 == *model && it.1 < version) {
            it.1 = version;
            state.backoff_until = Instant::default();
        }
    }

    /// Returns the upstreams that are behind the newest target version of a model, with the model
    /// and that version, oldest weights first.
    pub fn outdated(&self) -> Vec<(UpstreamRow, Model, u32)> {
        let mut outdated = Vec::new();
        for state in self.states.values() {
            for (model, version) in &state.row.models {
                let Some(newest) = self.target_weights.newest(model) else { continue };
                if *version < newest && !self.is_leaving(&state.row) {
                    outdated.push((state.row.clone(), model.clone(), newest));
                }
            }
        }
        // The oldest weights are replaced first: their answers are worth least.
        outdated.sort_by_key(|(row, model, _)| (row.weight_version(model), row.id.clone()));
        outdated
    }

    /// Returns whether this host reaches some upstream of a service that has upstreams behind their targets.
    pub fn reaches_outdated(&self) -> bool {
        let outdated = self.outdated();
        outdated.iter().any(|it| self.reach.reached_part(&it.0.service) != Some(0.0))
    }

    /// Returns whether an upstream fails so often that it is likely to blame, and not the request.
    pub fn fails_often(&self, id: &Upstream) -> bool {
        self.states.get(id).is_some_and(|it| it.failure_rate > FAILS_OFTEN_LIMIT)
    }

    /// Returns the mean latency of an upstream: the time to the first event of a stream, or to the
    /// end of any other response.
    pub fn mean_latency(&self, id: &Upstream) -> Duration {
        let mean = self.states.get(id).map_or(0.0, |it| it.mean_latency);
        Duration::from_secs_f64(mean.max(0.0))
    }

    /// Returns the last known row of an upstream.
    pub fn row(&self, id: &Upstream) -> Option<&UpstreamRow> {
        self.states.get(id).map(|it| &it.row)
    }

    /// Returns whether an upstream is shutting down, by its row or by one of its responses.
    pub fn is_leaving(&self, row: &UpstreamRow) -> bool {
        row.draining || self.departures.contains(row)
    }

    /// Returns whether anything new may be sent to an upstream, as far as the upstream itself says.
    pub fn may_call(&self, now: Instant, row: &UpstreamRow) -> bool {
        !self.is_leaving(row) && self.pauses.until(now, row).is_none()
    }

    /// Returns the number of upstreams that are not shutting down.
    pub fn active_count(&self) -> usize {
        self.states.values().filter(|it| !self.is_leaving(&it.row)).count()
    }

    /// Returns whether there is no upstream that is not shutting down.
    pub fn has_no_active(&self) -> bool {
        self.active_count() == 0
    }

    /// Chooses an upstream and counts the request as in flight there.
    ///
    /// # Errors
    ///
    /// Returns why no upstream can take the request.
    pub fn choose(
        &mut self,
        now: Instant,
        configuration: &Configuration,
        query: &Query<'_>,
    ) -> Result<Choice, Denial> {
        let no_upstream = Denial::NoUpstream(REFUSAL_BACKOFF_MAX);
        let service = configuration.services.get(query.service).ok_or(no_upstream)?.clone();
        if query.connected.is_some_and(<[_]>::is_empty) {
            return Err(Denial::Unreachable(UNREACHABLE_WAIT));
        }
        // A retry of an admitted request is not shed.
        if let (Some(engine), false) = (&service.engine, query.admitted) {
            let pressure = self.pressure(now, engine, query);
            let admitted = pressure.admit(query.request_hash);
            admitted.map_err(|retry| Denial::Shed(retry, pressure))?;
        }
        let mut usable = self.usable(now, &service, query);
        self.retain_allowed_builds(query, &mut usable);
        if usable.is_empty() {
            return Err(self.denial(now, query));
        }
        let (id, reason) = self.best(now, &service, query, &usable);
        let cache_source = self.cache_source(now, query, &id);
        let state = self.states.get_mut(&id).ok_or(no_upstream)?;
        state.in_flight += 1;
        state.tokens += u64::from(query.tokens);
        state.sent.push(now);
        self.build_shares.count(query.service, &state.row.build, !query.admitted);
        let weight_version = query.model.and_then(|model| state.weight_version(model));
        Ok(Choice {
            within_limit: self.limits.take(now, &state.row),
            max_wait: query.max_wait,
            tokens: query.tokens,
            load: state.total_tokens(),
            cache_source,
            incarnation: state.row.incarnation(),
            zone: state.row.zone.clone(),
            build: state.row.build.clone(),
            is_bound: query.build.is_some(),
            weight_version,
            id,
            reason,
        })
    }

    /// Returns why a request for `model` must not be sent any more to the upstream that was chosen
    /// for it, or `None` if it may be sent now.
    pub fn obstacle(
        &self,
        now: Instant,
        choice: &Choice,
        model: Option<&Model>,
    ) -> Option<Obstacle> {
        let Some(State { row, ended_at, .. }) = self.states.get(&choice.id) else {
            return Some(Obstacle::Removed);
        };
        let min_version =
            model.map_or(0, |it| self.target_weights.min_version(now, choice.max_wait, it));
        match () {
            () if row.incarnation() != choice.incarnation => Some(Obstacle::Restarted),
            () if choice.is_bound && ended_at.is_some() => Some(Obstacle::BuildUnknown),
            () if row.draining => Some(Obstacle::Draining),
            () if self.departures.contains(row) => Some(Obstacle::Leaving),
            () if self.pauses.until(now, row).is_some() => Some(Obstacle::Paused),
            () if self.evacuated.contains(&row.zone) => Some(Obstacle::Evacuated),
            () if self.build_shares.is_stopped(&row.service, &row.build) => Some(Obstacle::Stopped),
            () if !choice.within_limit && self.limits.is_limited(row) => Some(Obstacle::Limited),
            () if choice.weight_version.is_some_and(|it| it < min_version) => {
                Some(Obstacle::OutdatedWeights)
            }
            () => None,
        }
    }

    /// Records the outcome of a request for which [`Fleet::choose`] chose an upstream.
    pub fn record_outcome(
        &mut self,
        now: Instant,
        service: &ServiceEntry,
        choice: &Choice,
        outcome: Outcome,
    ) {
        let may_eject_faulty = self.may_eject_faulty(now, &choice.id);
        let behind_target = self.is_behind_target(&choice.id);
        self.record_token_time(choice, outcome);
        if outcome == Outcome::Unreachable {
            self.record_connection(now, &choice.id, false);
        }
        let state = self.states.get_mut(&choice.id);
        let Some(state) = state.or_else(|| self.missing_rows.get_mut(&choice.id)) else { return };
        if state.row.incarnation() == choice.incarnation {
            state.in_flight = state.in_flight.saturating_sub(1);
            state.tokens = state.tokens.saturating_sub(choice.tokens.into());
        }
        if matches!(outcome, Outcome::Refused | Outcome::Paused)
            && let Some(room) = self.refusal_limits.room(now, &state.row.service)
        {
            log::info!(upstream = choice.id.as_str(), service = state.row.service.as_str(),
                room = room; "upstream of a service that bears few refusals has refused a request");
            self.refusal_limits.record_refusal(now, &state.row.service);
            state.backoff_until = state.backoff_until.max(now + refusal_limit::REFUSAL_BACKOFF);
            return;
        }
        if outcome == Outcome::Refused && behind_target {
            // The upstream is most likely loading new weights; its row shows when it has them.
            state.backoff_until = now + ROLLOUT_REFUSAL_BACKOFF;
            return;
        }
        state.record_outcome(now, service, outcome, may_eject_faulty);
    }

    /// Records that a process of an upstream ended at `at`, by a sign for the log; `start_time_ms` is its start, 0 if not
    /// known.
    pub fn record_end(&mut self, at: Instant, id: &Upstream, start_time_ms: u64, sign: &str) {
        let state = self.states.get_mut(id);
        let Some(state) = state.or_else(|| self.missing_rows.get_mut(id)) else { return };
        let known = state.row.start_time_ms;
        let is_same = known == start_time_ms || known == 0 || start_time_ms == 0;
        if is_same && !self.builds.tell_restart_since(at, self.rewrite_time) {
            state.record_end(at, sign);
        }
    }

    /// Returns whether the build of the process that was chosen is known.
    pub fn knows_build(&self, choice: &Choice) -> bool {
        self.states
            .get(&choice.id)
            .is_some_and(|it| it.ended_at.is_none() && it.row.incarnation() == choice.incarnation)
    }

    /// Returns whether the builds are known that the upstreams of a service had at a time.
    pub fn knows_builds_of(&self, at: Instant, service: &Service) -> bool {
        self.live(service).all(|it| it.ended_at.is_none_or(|ended_at| ended_at > at))
    }

    /// Records whether a connection to an upstream could be established.
    pub fn record_connection(&mut self, now: Instant, id: &Upstream, succeeded: bool) {
        let Some(service) = self.states.get(id).map(|it| it.row.service.clone()) else { return };
        let upstreams = self.live(&service).count();
        match self.reach.record(now, &service, id, upstreams, succeeded) {
            None => {}
            Some(Change::Lost(failed)) => {
                log::warn!(service = service.as_str(), failed = failed, upstreams = upstreams;
                    "service is out of reach from this host");
            }
            Some(Change::Restored(lost)) => {
                log::warn!(service = service.as_str(), upstream = id.as_str(),
                    lost_ms = lost.as_millis() as u64; "service is within reach again");
                for id in self.by_service.get(&service).into_iter().flatten() {
                    if let Some(state) = self.states.get_mut(id) {
                        state.forgive_unreachable(now);
                    }
                }
            }
        }
    }

    /// Returns the upstreams to which a connection should be tried now, with their addresses. `heard_at` is
    /// when bytes of any upstream last arrived.
    pub fn due_probes(&mut self, now: Instant, heard_at: Instant) -> Vec<(Upstream, SocketAddr)> {
        let services: Vec<_> = self.by_service.keys().cloned().collect();
        let mut due = Vec::new();
        for service in services {
            // Taken out because the upstreams are borrowed from the same fleet.
            let mut reach = std::mem::take(&mut self.reach);
            {
                let upstreams = self.live(&service).map(|it| (&it.row, it.in_flight > 0));
                let rows = reach.due_probes(now, &service, heard_at, upstreams);
                due.extend(rows.iter().map(|it| (it.id.clone(), it.address)));
            }
            self.reach = reach;
        }
        due
    }

    /// Returns the upstreams of a service that requests may go to, whatever state they are in.
    fn live(&self, service: &Service) -> impl Iterator<Item = &State> {
        let states = self.by_service.get(service).into_iter().flatten();
        let states = states.filter_map(|id| self.states.get(id));
        states.filter(|it| !self.is_leaving(&it.row) && !self.evacuated.contains(&it.row.zone))
    }

    /// Updates the mean time to the first token for each token in flight.
    fn record_token_time(&mut self, choice: &Choice, outcome: Outcome) {
        let (Outcome::Served(latency), Some(state)) = (outcome, self.states.get(&choice.id)) else {
            return;
        };
        let sample = latency.as_secs_f64() / choice.load.max(1) as f64;
        let mean = self.token_times.entry(state.row.service.clone()).or_insert(sample);
        *mean += TOKEN_TIME_WEIGHT * (sample - *mean);
    }

    /// Returns the tokens in flight that delay a request by as much as fetching its cached parts from
    /// another zone does.
    fn other_zone_cost(&self, query: &Query<'_>) -> u64 {
        let (Some(source), Some(token_time)) = (query.cached, self.token_times.get(query.service))
        else {
            return 0;
        };
        (source.other_zone_delay.as_secs_f64() / token_time.max(f64::EPSILON)) as u64
    }

    /// Records how long a request waited for its first token, and the latency objective of its
    /// route.
    pub fn record_wait(
        &mut self,
        now: Instant,
        service: &Service,
        priority: u8,
        waited: Duration,
        latency_objective: Duration,
    ) {
        self.waits.entry(service.clone()).or_default().record(
            now,
            priority,
            waited,
            latency_objective,
        );
    }

    /// Returns whether an upstream has an older version of some model than the newest target.
    fn is_behind_target(&self, id: &Upstream) -> bool {
        let Some(state) = self.states.get(id) else { return false };
        state.row.models.iter().any(|(model, _)| {
            let version = state.weight_version(model);
            self.target_weights.newest(model).is_some_and(|it| version.is_some_and(|has| has < it))
        })
    }

    /// Assumes the newest target version for an upstream that no longer has the weights in its row:
    /// most likely it has loaded the newest ones since. Any version that the upstream shows replaces the
    /// assumption.
    pub fn assume_newest_weights(&mut self, id: &Upstream, model: &Model) {
        let newest = self.target_weights.newest(model);
        if let (Some(version), Some(state)) = (newest, self.states.get_mut(id)) {
            state.assumed_weights.retain(|it| it.0 != *model);
            state.assumed_weights.push((model.clone(), version));
            state.backoff_until = Instant::default();
        }
    }

    /// Returns the mean load of the engines that can take the request now or soon, with the mean
    /// wait for first tokens: engines in back-off count; ejected, paused and limited ones do not.
    fn pressure(&self, now: Instant, engine: &EngineEntry, query: &Query<'_>) -> Pressure {
        let states = self.by_service.get(query.service).into_iter().flatten();
        let states = states.filter_map(|id| self.states.get(id)).filter(|it| {
            let excluded = self.is_leaving(&it.row) || self.evacuated.contains(&it.row.zone);
            !excluded
                && self.build_shares.bears_load(query.service, &it.row.build)
                && it.ejected_until <= now
                && self.pauses.until(now, &it.row).is_none()
                && !self.limits.is_limited(&it.row)
        });
        let loads = states.map(|it| (it.total_tokens(), it.total_requests()));
        let waits = self.waits.get(query.service);
        let pressure = Pressure::new(now, engine, loads, waits, query.priority);
        if self.callers_compete { pressure.by_urgency() } else { pressure }
    }

    /// Returns the upstreams that can take the request now.
    fn usable(&mut self, now: Instant, service: &ServiceEntry, query: &Query<'_>) -> Vec<Upstream> {
        let Some(ids) = self.by_service.get(query.service) else { return Vec::new() };
        let cold_rate_limit = service.cold_rate * self.cold_overshoot + self.cold_slack;
        let max_in_flight = match service.max_connections {
            0 => u32::MAX,
            max => (f64::from(max) * CONNECTION_FRACTION / self.hosts.len() as f64).max(1.0) as u32,
        };
        let min_version =
            query.model.map(|it| (it, self.target_weights.min_version(now, query.max_wait, it)));
        let part = self.refusal_limits.room(now, query.service);
        let is_bound = query.build.is_some() && self.builds.is_mixed(now, query.service);
        let max_fill = match part {
            Some(part) => part * LIMITED_MAX_FILL,
            None if is_bound => BOUND_MAX_FILL,
            None => MAX_FILL,
        };
        let max_tokens = service
            .engine
            .as_ref()
            .map_or(u64::MAX, |it| (it.cache_tokens as f64 * max_fill) as u64);
        // The upstreams at which this host may send single requests if it has no share of any one's room.
        let single_places = part.map_or_else(SmallVec::new, |part| {
            let mut states = ids.iter().filter_map(|it| self.states.get(it));
            if states.any(|it| it.room(service, part).has_share(&self.me, &self.hosts)) {
                return SmallVec::new();
            }
            refusal_limit::single_places(&self.me, ids)
        });
        let knows_hosts = self.knows_hosts();
        let mut usable = Vec::with_capacity(ids.len());
        for id in ids {
            let Some(state) = self.states.get_mut(id) else { continue };
            if state.row.draining
                || self.departures.contains(&state.row)
                || self.pauses.until(now, &state.row).is_some()
                || self.limits.wait(now, &state.row).is_some()
                || query.tried.contains(id)
                || query.connected.is_some_and(|it| !it.contains(id))
                || query.build.is_some_and(|it| !state.has_build(it))
                || self.evacuated.contains(&state.row.zone)
                || state.ejected_until > now
                || state.backoff_until > now
                || state.in_flight >= max_in_flight
                || (state.half_open && state.in_flight > 0)
                || min_version.is_some_and(|(model, min)| {
                    // Weights of an engine that are unknown may be too old.
                    let known = state.weight_version(model);
                    known.map_or(service.engine.is_some(), |it| it < min)
                })
                || (state.total_requests() > 0
                    && state.total_tokens() + u64::from(query.tokens) > max_tokens)
            {
                continue;
            }
            if let Some(part) = part {
                let room = state.room(service, part);
                if !room.has_place(&self.me, &self.hosts, single_places.contains(id)) {
                    continue;
                }
            }
            if state.is_cold(now, service) {
                let limit = (cold_rate_limit * COLD_LIMIT_FRACTION) as u32;
                // This host is one of many, as far as it knows, until it knows how many.
                let host_limit = match knows_hosts {
                    true => share::host_share(limit, id.as_str(), &self.me, &self.hosts),
                    false => 0,
                };
                if state.sent.count(now) as u32 >= host_limit {
                    continue;
                }
            }
            usable.push(id.clone());
        }
        usable
    }

    /// Keeps those of the usable upstreams whose build the request may go to, and of these the builds that
    /// it should go to if there are any.
    fn retain_allowed_builds(&self, query: &Query<'_>, usable: &mut Vec<Upstream>) {
        let key = query.session.unwrap_or(query.request_hash);
        let has_other =
            |builds: &[Build]| self.live(query.service).any(|it| !builds.contains(&it.row.build));
        let hosts = self.hosts.len();
        let gate = self.build_shares.gate(query.service, key, query.build, hosts, has_other);
        let Some(gate) = gate else { return };
        let rank = |id: &Upstream| gate.rank(&self.states.get(id)?.row.build);
        let best = usable.iter().filter_map(rank).min();
        usable.retain(|it| best.is_some() && rank(it) == best);
    }

    /// Returns the hosts, this one included.
    pub fn hosts(&self) -> &[Host] {
        &self.hosts
    }

    /// Returns whether other hosts are registered.
    pub fn has_other_hosts(&self) -> bool {
        self.hosts.iter().any(|it| *it != self.me)
    }

    /// Returns the requests in flight from this host at upstreams of a service that have another build, with
    /// a row or without one.
    pub fn in_flight_beside(&self, service: &Service, build: &Build) -> u32 {
        let states = self.by_service.get(service).into_iter().flatten();
        let states = states.filter_map(|it| self.states.get(it));
        let missing = self.missing_rows.states().filter(|it| it.row.service == *service);
        let states = states.chain(missing);
        states.filter(|it| it.row.build != *build).map(|it| it.in_flight).sum()
    }

    /// Returns the number of a service's upstreams with a build that are warm, and of those with others.
    pub fn count_builds(&self, now: Instant, service: &Service, build: &Build) -> (usize, usize) {
        let (new, others): (Vec<_>, Vec<_>) =
            self.live(service).partition(|it| it.row.build == *build);
        (new.iter().filter(|it| it.cold_until <= now).count(), others.len())
    }

    /// Returns the builds of a service's upstreams.
    pub fn builds_of(&self, service: &Service) -> Vec<Build> {
        let mut builds: Vec<Build> = Vec::new();
        let ids = self.by_service.get(service).into_iter().flatten();
        for state in ids.filter_map(|it| self.states.get(it)) {
            if !builds.contains(&state.row.build) {
                builds.push(state.row.build.clone());
            }
        }
        builds
    }

    /// Returns why no upstream is usable, with the time until one may be.
    fn denial(&self, now: Instant, query: &Query<'_>) -> Denial {
        let mut has_other_builds = false;
        let live = self.live(query.service).filter(|it| {
            let fits = query.build.is_none_or(|build| it.has_build(build));
            has_other_builds |= !fits;
            fits
        });
        let (mut all_paused, mut all_held_off) = (true, true);
        let wait = live.map(|it| {
            let paused_until = self.pauses.until(now, &it.row);
            let limited_until = self.limits.wait(now, &it.row).map(|wait| now + wait);
            all_paused &= paused_until.is_some();
            all_held_off &= paused_until.is_some() || limited_until.is_some();
            let until = it
                .ejected_until
                .max(it.backoff_until)
                .max(paused_until.unwrap_or_default())
                .max(limited_until.unwrap_or_default());
            // Other upstreams are at one of their limits, for example the cold rate limit.
            if until > now { until.since(now) } else { COLD_RATE_WINDOW / 2 }
        });
        match wait.min() {
            Some(wait) if all_held_off => {
                // Unrelated to the sample by which admission has let the request through.
                let sample = query.request_hash.rotate_left(32);
                let wait = wait + pause::spread(wait, sample);
                if all_paused { Denial::Paused(wait) } else { Denial::Limited(wait) }
            }
            Some(_) if query.connected.is_some() => Denial::Unreachable(UNREACHABLE_WAIT),
            Some(wait) => Denial::Full(wait.max(REFUSAL_BACKOFF / 2)),
            None if has_other_builds => Denial::OtherBuilds,
            None => Denial::NoUpstream(REFUSAL_BACKOFF_MAX),
        }
    }

    /// Returns the usable upstream with the lowest score, and the reason for the choice.
    fn best(
        &mut self,
        now: Instant,
        service: &ServiceEntry,
        query: &Query<'_>,
        usable: &[Upstream],
    ) -> (Upstream, &'static str) {
        let cold_rate_limit = service.cold_rate * self.cold_overshoot + self.cold_slack;
        let burst_limit =
            ((cold_rate_limit * WARM_BURST_FACTOR) / self.hosts.len() as f64).max(1.0) as usize;
        let newest = query.model.and_then(|it| self.target_weights.newest(it));
        let states = || usable.iter().filter_map(|it| self.states.get(it));
        let total: u64 = states().map(State::total_tokens).sum();
        let requests: u32 = states().map(State::total_requests).sum();
        let capacity = service.engine.as_ref().map_or(f64::MAX, |it| it.cache_tokens as f64);
        // A session moves on when its upstream is clearly busier than the others.
        let mean = total as f64 / usable.len() as f64;
        let session_tokens_limit = (mean * SESSION_LOAD_FACTOR).max(capacity * SESSION_FILL) as u64;
        let idle = requests < usable.len() as u32;
        let is_outdated = |state: &State| match (newest, query.model) {
            (Some(newest), Some(model)) => {
                state.weight_version(model).is_some_and(|it| it < newest)
            }
            _ => false,
        };
        let other_zone_cost = self.other_zone_cost(query);
        let cache_zone = query.cached.map(|it| &it.zone);
        let candidate_rank = self.lowest_candidate_rank(query, usable);
        let mut best: Option<(Score, &Upstream)> = None;
        for id in usable {
            let Some(state) = self.states.get_mut(id) else { continue };
            // The first upstreams that have the new weights cannot take the load of all others.
            let outdated_cost =
                if is_outdated(state) { (capacity * OUTDATED_FILL) as u64 } else { 0 };
            let needed = state.total_tokens() + u64::from(query.tokens);
            let crowded = state.total_requests() > 0 && needed > session_tokens_limit;
            let bursting = service.cold_rate > 0.0 && state.sent.count(now) >= burst_limit;
            let fetch_cost = match query.cached {
                Some(source) if source.zone != state.row.zone => other_zone_cost,
                _ => 0,
            };
            let rank = query.session.map(|it| state.session_rank(it, cache_zone));
            // An upstream that is no candidate of the session must have clearly less to do.
            let spill_cost = match rank {
                Some(rank) if rank < candidate_rank => session_tokens_limit / 2,
                _ => 0,
            };
            let score = Score {
                bursting,
                overfull: crowded && needed as f64 > capacity,
                other_zone: query.session.is_none() && state.row.zone != self.zone && idle,
                load: match query.session {
                    // Without engines, there is no capacity by which costs are bounded.
                    Some(_) => [fetch_cost, spill_cost, outdated_cost]
                        .iter()
                        .fold(state.total_tokens(), |sum, it| sum.saturating_add(*it)),
                    None => state.total_requests().into(),
                },
                crowded,
                rank: match rank {
                    Some(rank) => u64::MAX - rank,
                    None => (state.mean_latency * 1e6) as u64,
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

    /// Returns the rank of the last of the session's [`SESSION_CANDIDATES`], or 0 without a session.
    fn lowest_candidate_rank(&self, query: &Query<'_>, usable: &[Upstream]) -> u64 {
        let Some(session) = query.session else { return 0 };
        let cache_zone = query.cached.map(|it| &it.zone);
        let states = usable.iter().filter_map(|it| self.states.get(it));
        let mut ranks: Vec<_> = states.map(|it| it.session_rank(session, cache_zone)).collect();
        let last = SESSION_CANDIDATES.min(ranks.len());
        if last == 0 {
            return 0;
        }
        *ranks.select_nth_unstable_by(last - 1, |a, b| b.cmp(a)).1
    }

    /// Returns the address of the upstream that ranks first for the session among those with the
    /// same weights as the chosen one, or `None` if that is the chosen one.
    fn cache_source(
        &self,
        now: Instant,
        query: &Query<'_>,
        chosen: &Upstream,
    ) -> Option<SocketAddr> {
        let (session, model) = (query.session?, query.model?);
        let weight_version = self.states.get(chosen)?.weight_version(model);
        let states = self.by_service.get(query.service)?.iter();
        let states = states.filter_map(|id| self.states.get(id));
        // An old build's upstreams stop as soon as the new one has taken over.
        let same_build = self.build_shares.divides(query.service);
        let build = &self.states.get(chosen)?.row.build;
        let alike = states.filter(|it| {
            it.weight_version(model) == weight_version
                && (!same_build || it.row.build == *build)
                && it.ejected_until <= now
                && self.may_call(now, &it.row)
        });
        let cache_zone = query.cached.map(|it| &it.zone);
        let first = alike.max_by_key(|it| it.session_rank(session, cache_zone))?;
        (first.row.id != *chosen).then_some(first.row.address)
    }

    /// Returns whether one more upstream of the same service may be ejected for failed requests.
    fn may_eject_faulty(&self, now: Instant, id: &Upstream) -> bool {
        let Some(state) = self.states.get(id) else { return false };
        let Some(ids) = self.by_service.get(&state.row.service) else { return false };
        let states = ids.iter().filter_map(|it| self.states.get(it));
        let ejected = states.filter(|it| it.faulty_until > now).count();
        (ejected + 1) * EJECTED_ONE_IN <= ids.len()
    }

    /// Drops what upstreams have said, and the builds that they have had, where it no longer matters.
    pub fn purge(&mut self, now: Instant) {
        // Rows are not written while the row store is down.
        for state in self.states.values() {
            self.builds.see(now, &state.row.service, &state.row.build);
        }
        self.builds.purge(now);
        for service in self.refusal_limits.take_ended(now) {
            log::info!(service = service.as_str(); "service no longer limits refusals");
        }
        self.pauses.purge(now);
        self.missing_rows.purge(now);
        let (states, missing_rows) = (&self.states, &self.missing_rows);
        self.build_shares.purge(now, |service, build| {
            states.values().any(|it| it.row.service == *service && it.row.build == *build)
        });
        let is_listed = |id: &Upstream, incarnation| {
            let state = states.get(id).or_else(|| missing_rows.get(id));
            state.is_some_and(|it| it.row.incarnation().may_be(incarnation))
        };
        self.departures.purge(now, is_listed);
        self.limits.purge(now, is_listed);
    }

    /// Returns whether an upstream is in the list of a service.
    fn is_listed(&self, service: &Service, id: &Upstream) -> bool {
        self.by_service.get(service).is_some_and(|it| it.contains(id))
    }

    /// Removes an upstream from the list of a service.
    fn unlist(&mut self, service: &Service, id: &Upstream) {
        if let Some(ids) = self.by_service.get_mut(service) {
            ids.retain(|it| it != id);
        }
    }
}

/// How well an upstream suits a request; the lowest score is best. The derived order compares the
/// fields in their order of declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Score {
    /// Whether this host has used up the burst limit of the upstream within the last second.
    bursting: bool,
    /// Whether its KV cache has no room for the request beside those in flight.
    overfull: bool,
    /// Whether it is in another zone. Counts only without a session, and while fewer requests are
    /// in flight than there are usable upstreams.
    other_zone: bool,
    /// With a session, the tokens in flight if the upstream is crowded, and those that delay a request
    /// by as much as fetching its cached parts from another zone. Without one, the requests in flight.
    load: u64,
    /// Whether it has requests in flight and would, with this one, have more tokens in flight than
    /// a session tolerates.
    crowded: bool,
    /// Inverse rank for the session; without one, the mean latency in microseconds.
    rank: u64,
}

impl Score {
    /// Returns the reason of the choice for logs; `session` tells whether the request has one.
    fn reason(&self, session: bool) -> &'static str {
        match () {
            () if self.bursting => "bursting",
            () if self.crowded => "least_crowded",
            () if session => "session",
            () => "least_loaded",
        }
    }
}
