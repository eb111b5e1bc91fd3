//! Chooses the upstream for a run of `mothvale serve`, from the published view and this host's
//! requests in flight. The gateway uses [`Fleet::choose`](crate::fleet::Fleet::choose) instead.

use crate::{
    inflight::{Counters, Permit},
    invariant::{Invariant, check},
    prelude::*,
    rendezvous,
    view::{State, UpstreamView, View},
};

/// Assumed time for which one run holds a slot, to predict the wait.
const RUN_TIME: Duration = Duration::from_secs(2);
/// Assumed prefill throughput of an engine.
const PREFILL_TOKENS_PER_SECOND: f64 = 8000.0;
/// Latency that is added for an upstream in another availability zone.
const OTHER_ZONE_LATENCY: Duration = Duration::from_millis(2);
/// Age at which the load that a report shows for other hosts counts half.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(10);
/// Runs that may wait at an upstream for each slot it has.
const QUEUE_PER_SLOT: u32 = 2;
/// Maximum number of candidates in a decision record.
const RECORDED_CANDIDATES: usize = 8;

/// A run for which an upstream is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The model.
    pub model: &'a Model,
    /// Key of the prompt's prefix, see [`prompt::Request::prefix_key`]; it ranks the upstreams for
    /// cache affinity.
    ///
    /// [`prompt::Request::prefix_key`]: crate::prompt::Request::prefix_key
    pub prefix_key: u64,
    /// Estimated number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Indexes of the upstreams that this run has tried.
    pub tried: &'a [usize],
    /// This host's availability zone.
    pub zone: &'a Zone,
}

/// An upstream that could take the run, as listed in decision records.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Candidate {
    /// The upstream's name.
    pub upstream: FastStr,
    /// Name of its [`State`].
    pub state: &'static str,
    /// Predicted time to the first token, in milliseconds.
    pub cost_ms: u64,
    /// Whether it ranks first for the prompt's prefix, so that its cache may hold the prompt.
    pub affine: bool,
}

/// The chosen upstream.
#[derive(Debug)]
pub struct Pick {
    /// Its index in the view.
    pub index: usize,
    /// Counts the run as in flight until it is dropped.
    pub permit: Permit,
    /// The candidates with the shortest predicted times to the first token, shortest first.
    pub candidates: SmallVec<[Candidate; RECORDED_CANDIDATES]>,
}

/// A usable upstream with the values by which it is chosen.
struct Scored<'a> {
    /// Its index in the view.
    index: usize,
    upstream: &'a UpstreamView,
    /// Predicted time to the first token.
    first_token_time: Duration,
    /// See [`Candidate::affine`].
    affine: bool,
    /// How many runs from this host may be in flight there.
    max_in_flight: u32,
}

/// Chooses the upstream with the lowest predicted time to the first token.
///
/// # Errors
///
/// Returns an error of kind `NoUpstream` if no usable upstream serves the model, or of kind
/// `Overloaded`, with the predicted wait as the time to retry after, if all of them are full.
pub fn pick(
    view: &View,
    counters: &Counters,
    query: &Query<'_>,
    now: Instant,
) -> Result<Pick, Error> {
    let mut scored = score_candidates(view, counters, query, now);
    scored.sort_by_key(|it| it.first_token_time);
    let Some(best) = scored.first() else {
        let message = "no upstream that serves the model is known to be up";
        return Err(Error::new(Kind::NoUpstream, message).with_retry_after(Duration::from_secs(1)));
    };
    let wait = best.first_token_time;
    for it in &scored {
        let Some(permit) = counters.reserve(it.index, it.max_in_flight) else { continue };
        if !invariants_hold(it.upstream, &permit, query) {
            continue;
        }
        let candidates = scored.iter().take(RECORDED_CANDIDATES).map(candidate).collect();
        return Ok(Pick { index: it.index, permit, candidates });
    }
    let message = "every upstream that serves the model is full";
    Err(Error::new(Kind::Overloaded, message).with_retry_after(wait))
}

/// Returns the usable upstreams, each with its predicted time to the first token and its limit of
/// runs.
fn score_candidates<'a>(
    view: &'a View,
    counters: &Counters,
    query: &Query<'_>,
    now: Instant,
) -> Vec<Scored<'a>> {
    let usable = view.upstreams.iter().enumerate().filter(|(index, it)| {
        !matches!(it.state, State::Down | State::Suspended)
            && it.confirmed_models.contains(query.model)
            && !query.tried.contains(index)
    });
    let usable: SmallVec<[_; 32]> = usable.collect();
    let weight = |it: &UpstreamView| rendezvous::weight(query.prefix_key, it.entry.name.as_str());
    let first = usable.iter().max_by_key(|(_, it)| weight(it)).map(|(index, _)| *index);
    let scored = usable.iter().map(|&(index, upstream)| {
        let affine = Some(index) == first;
        let backlog = backlog(upstream, counters.get(index), now);
        Scored {
            index,
            upstream,
            first_token_time: predict_first_token_time(upstream, query, backlog, affine),
            affine,
            max_in_flight: max_in_flight(upstream, counters.get(index), backlog),
        }
    });
    scored.collect()
}

/// Estimates the number of runs at an upstream: those of other hosts by its last report, discounted
/// by the age of the report, and this host's own.
fn backlog(upstream: &UpstreamView, own_in_flight: u32, now: Instant) -> f64 {
    let report = upstream.report;
    let age = now.since(report.requested_at).as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
    let others = (report.running + report.waiting).saturating_sub(report.own_in_flight);
    f64::from(others) * 0.5_f64.powf(age) + f64::from(own_in_flight)
}

/// Predicts the time to the first token of a run on an upstream.
fn predict_first_token_time(
    upstream: &UpstreamView,
    query: &Query<'_>,
    backlog: f64,
    affine: bool,
) -> Duration {
    let slots = f64::from(upstream.report.slots.max(1));
    // A run that gets a slot still shares the engine's batch with the other runs.
    let wait = RUN_TIME.mul_f64((backlog + 1.0 - slots).max(0.0) / slots);
    let batching = Duration::from_millis(20).mul_f64(backlog.min(slots) / slots);
    let prefill = f64::from(query.prompt_tokens) / PREFILL_TOKENS_PER_SECOND;
    let prefill = if affine { Duration::ZERO } else { Duration::from_secs_f64(prefill) };
    let zone_latency =
        if upstream.entry.zone == *query.zone { Duration::ZERO } else { OTHER_ZONE_LATENCY };
    wait + batching + prefill + zone_latency
}

/// Returns how many runs from this host may be in flight at an upstream.
fn max_in_flight(upstream: &UpstreamView, own_in_flight: u32, backlog: f64) -> u32 {
    if upstream.state != State::Warm {
        return upstream.cold_share;
    }
    let max_runs = upstream.report.slots * (1 + QUEUE_PER_SLOT);
    let remaining = (f64::from(max_runs) - backlog).max(0.0) as u32;
    own_in_flight + remaining
}

/// Checks the invariants of a choice for which a permit was taken.
fn invariants_hold(upstream: &UpstreamView, permit: &Permit, query: &Query<'_>) -> bool {
    let within_share = upstream.state == State::Warm || permit.ordinal() <= upstream.cold_share;
    check(Invariant::ColdShare, within_share)
        && check(Invariant::ModelConfirmed, upstream.confirmed_models.contains(query.model))
}

/// Describes an upstream for a decision record.
fn candidate(scored: &Scored<'_>) -> Candidate {
    Candidate {
        upstream: FastStr::new(scored.upstream.entry.name.as_str()),
        state: scored.upstream.state.name(),
        cost_ms: u64::try_from(scored.first_token_time.as_millis()).unwrap_or(u64::MAX),
        affine: scored.affine,
    }
}
