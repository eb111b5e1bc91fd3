//! Choice of the upstream for a run, from a view and this host's requests in flight.

use crate::{
    inflight::{Counters, Permit},
    invariant::{Invariant, check},
    prelude::*,
    rendezvous,
    view::{State, UpstreamView, View},
};

/// Time that one run holds a slot, for predictions of the wait.
const RUN_TIME: Duration = Duration::from_secs(2);
/// Prompt tokens that an engine takes in a second.
const PREFILL_TOKENS_PER_SECOND: f64 = 8000.0;
/// Added for an upstream in another availability zone.
const OTHER_ZONE: Duration = Duration::from_millis(2);
/// Time after which a load figure counts half.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(10);
/// Runs that may wait at an upstream for each slot it has.
const QUEUE_PER_SLOT: u32 = 2;
/// Candidates that a decision record lists.
const LISTED: usize = 8;

/// What a run asks of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The model.
    pub model: &'a Model,
    /// Key of the prompt's first piece.
    pub affinity_key: u64,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Upstreams that this run has tried.
    pub tried: &'a [usize],
    /// This host's availability zone.
    pub zone: &'a Zone,
}

/// An upstream that could take the run.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Candidate {
    /// The upstream's name.
    pub upstream: FastStr,
    /// What is believed of it.
    pub state: &'static str,
    /// Predicted time to the first token, in milliseconds.
    pub cost_ms: u64,
    /// Whether the prompt's first piece ranks it first.
    pub affine: bool,
}

/// The chosen upstream.
#[derive(Debug)]
pub struct Pick {
    /// Its index in the view.
    pub index: usize,
    /// Counts the run as in flight.
    pub permit: Permit,
    /// The cheapest candidates, the chosen one among them.
    pub candidates: SmallVec<[Candidate; LISTED]>,
}

struct Scored<'a> {
    index: usize,
    upstream: &'a UpstreamView,
    cost: Duration,
    affine: bool,
    limit: u32,
}

/// Chooses the upstream with the lowest predicted time to the first token.
///
/// # Errors
///
/// Returns an error of kind `NoUpstream` when none is known to serve the model, or
/// `Overloaded`, with the predicted wait, when none has room.
pub fn pick(
    view: &View,
    counters: &Counters,
    query: &Query<'_>,
    now: Instant,
) -> Result<Pick, Error> {
    let mut scored = score(view, counters, query, now);
    scored.sort_by_key(|it| it.cost);
    let Some(best) = scored.first() else {
        let message = "no upstream that serves the model is known to be up";
        return Err(Error::new(Kind::NoUpstream, message).retry_after(Duration::from_secs(1)));
    };
    let wait = best.cost;
    for it in &scored {
        let Some(permit) = counters.reserve(it.index, it.limit) else { continue };
        if !checked(it.upstream, &permit, query) {
            continue;
        }
        let candidates = scored.iter().take(LISTED).map(candidate).collect();
        return Ok(Pick { index: it.index, permit, candidates });
    }
    let message = "every upstream that serves the model is full";
    Err(Error::new(Kind::Overloaded, message).retry_after(wait))
}

fn score<'a>(
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
    let weight = |it: &UpstreamView| rendezvous::weight(query.affinity_key, it.entry.name.as_str());
    let first = usable.iter().max_by_key(|(_, it)| weight(it)).map(|(index, _)| *index);
    let scored = usable.iter().map(|&(index, upstream)| {
        let affine = Some(index) == first;
        let backlog = backlog(upstream, counters.get(index), now);
        Scored {
            index,
            upstream,
            cost: cost(upstream, query, backlog, affine),
            affine,
            limit: limit(upstream, counters.get(index), backlog),
        }
    });
    scored.collect()
}

/// Estimates the runs at an upstream: those reported, discounted by the report's age, and
/// those sent since.
fn backlog(upstream: &UpstreamView, own: u32, now: Instant) -> f64 {
    let report = upstream.report;
    let age = now.since(report.requested_at).as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
    let others = (report.running + report.waiting).saturating_sub(report.own_in_flight);
    f64::from(others) * 0.5_f64.powf(age) + f64::from(own)
}

fn cost(upstream: &UpstreamView, query: &Query<'_>, backlog: f64, affine: bool) -> Duration {
    let slots = f64::from(upstream.report.slots.max(1));
    // A run that finds a slot still shares the engine's batch with the others.
    let wait = RUN_TIME.mul_f64((backlog + 1.0 - slots).max(0.0) / slots);
    let shared = Duration::from_millis(20).mul_f64(backlog.min(slots) / slots);
    let prefill = f64::from(query.prompt_tokens) / PREFILL_TOKENS_PER_SECOND;
    let prefill = if affine { Duration::ZERO } else { Duration::from_secs_f64(prefill) };
    let hop = if upstream.entry.zone == *query.zone { Duration::ZERO } else { OTHER_ZONE };
    wait + shared + prefill + hop
}

/// Returns how many runs from this host the upstream may have in flight.
fn limit(upstream: &UpstreamView, own: u32, backlog: f64) -> u32 {
    if upstream.state != State::Warm {
        return upstream.cold_share;
    }
    let most = upstream.report.slots * (1 + QUEUE_PER_SLOT);
    let room = (f64::from(most) - backlog).max(0.0) as u32;
    own + room
}

/// Checks the invariants of a choice whose permit is already taken.
fn checked(upstream: &UpstreamView, permit: &Permit, query: &Query<'_>) -> bool {
    let within = upstream.state == State::Warm || permit.ordinal() <= upstream.cold_share;
    check(Invariant::ColdShare, within)
        && check(Invariant::ModelConfirmed, upstream.confirmed_models.contains(query.model))
}

fn candidate(scored: &Scored<'_>) -> Candidate {
    Candidate {
        upstream: FastStr::new(scored.upstream.entry.name.as_str()),
        state: scored.upstream.state.name(),
        cost_ms: u64::try_from(scored.cost.as_millis()).unwrap_or(u64::MAX),
        affine: scored.affine,
    }
}
