//! Target weight versions: the version of each model that operators want all upstreams to serve.
//!
//! Tracks when each target was set, from when on requests must no longer start on older versions,
//! and whether KV cache made by older versions may still be fetched. No I/O.

use std::collections::HashMap;

use crate::{host_settings::Bounds, prelude::*};

/// Time for which a request may wait at an upstream beyond its caller's patience: until the upstream
/// has it, and until it notices that the caller has left.
const WAIT_MARGIN: Duration = Duration::from_millis(300);
/// Targets that were set at an unknown time apply once this fraction of the staleness bound has
/// passed since the host's start.
const STARTUP_STALENESS_FRACTION: f64 = 0.9;

/// Target versions of one model.
#[derive(Clone, Debug, Default)]
struct ModelTarget {
    version: u32,
    /// Versions with their deadlines: the time when the version was set plus the rollout bound, from
    /// which on no request may start on an older one. `None` if it is unknown when the version was set.
    deadlines: SmallVec<[(u32, Option<Instant>); 4]>,
    /// Whether this host found the newest target already set when it started, or has missed rows
    /// since: it cannot tell which versions upstreams had in the meantime.
    missed_rows: bool,
    /// Lowest version on which a request may start, as [`Targets::take_expired`] last returned it.
    reported_min: u32,
}

impl ModelTarget {
    /// Adds a version and its deadline. A deadline that is already known is kept.
    fn add(&mut self, version: u32, deadline: Option<Instant>) {
        self.version = self.version.max(version);
        match self.deadlines.iter_mut().find(|it| it.0 == version) {
            Some((_, known)) => *known = known.or(deadline),
            None => self.deadlines.push((version, deadline)),
        }
    }

    /// Returns the lowest version that an upstream must have for a request that may start there up to
    /// `latest_start`. Versions whose deadline is unknown are required if `unknown_apply`.
    fn min_version(&self, latest_start: Instant, unknown_apply: bool) -> u32 {
        let required = self
            .deadlines
            .iter()
            .filter(|it| it.1.map_or(unknown_apply, |deadline| deadline <= latest_start));
        required.map(|it| it.0).max().unwrap_or(0)
    }
}

/// Target weight versions of all models.
#[derive(Clone, Debug)]
pub struct Targets {
    by_model: HashMap<Model, ModelTarget>,
    /// Oldest weight version of each model that upstreams had when their rows were read. Never
    /// decreases.
    oldest: HashMap<Model, u32>,
    /// Time as of which the upstreams' rows are known.
    rows_as_of: Instant,
    bounds: Bounds,
}

impl Targets {
    /// Creates the state of a host that has just started: no targets are known.
    pub fn new(bounds: Bounds) -> Self {
        let (by_model, oldest) = (HashMap::new(), HashMap::new());
        Targets { by_model, oldest, rows_as_of: Instant::ZERO, bounds }
    }

    /// Sets the target version of a model. `set_after` is the latest known time at which it had not
    /// been set yet; its deadline counts from there, because this host may learn of it late. Ignores
    /// versions that are not newer than the present target; returns whether the target changed.
    pub fn set(&mut self, set_after: Option<Instant>, model: Model, version: u32) -> bool {
        if version <= self.newest(&model).unwrap_or(0) {
            return false;
        }
        let deadline = set_after.map(|it| it + self.bounds.rollout);
        let missed_rows = set_after.is_none_or(|it| self.rows_as_of.since(it) > self.bounds.drain);
        let target = self.by_model.entry(model).or_default();
        target.add(version, deadline);
        target.missed_rows = missed_rows;
        true
    }

    /// Records how long ago a version was set: the target that this host found when it started,
    /// or an older one whose transition period may not have ended.
    pub fn record_age(&mut self, now: Instant, model: &Model, version: u32, age: Duration) {
        let left = self.bounds.rollout.saturating_sub(age);
        if let Some(target) = self.by_model.get_mut(model)
            && version <= target.version
        {
            log::info!(model = model.as_str(), version = version, age_ms = age.as_millis() as u64,
                left_ms = left.as_millis() as u64;
                "learned when the target weight version was set");
            target.add(version, Some(now + left));
        }
    }

    /// Returns the versions for which this host knows when they were set, with that time.
    pub fn known_times(&self) -> Vec<(Model, u32, Instant)> {
        let rollout = self.bounds.rollout;
        let targets = self.by_model.iter();
        let versions =
            targets.flat_map(|(model, it)| it.deadlines.iter().map(move |at| (model, at)));
        let known = versions.filter_map(|(model, (version, deadline))| {
            Some((model.clone(), *version, (*deadline)?.saturating_sub(rollout)))
        });
        known.collect()
    }

    /// Returns whether the newest target of any model was set at a time unknown to this host.
    pub fn has_unknown_time(&self) -> bool {
        let unknown = |it: &ModelTarget| {
            it.deadlines.iter().any(|deadline| deadline.0 == it.version && deadline.1.is_none())
        };
        self.by_model.values().any(unknown)
    }

    /// Returns the newest target version of a model.
    pub fn newest(&self, model: &Model) -> Option<u32> {
        self.by_model.get(model).map(|it| it.version)
    }

    /// Returns the lowest weight version of a model that an upstream must have for a request that is
    /// sent now, and that may wait there for up to `max_wait` before it starts.
    pub fn min_version(&self, now: Instant, max_wait: Duration, model: &Model) -> u32 {
        // A host that has just started may not know when a target was set. It may keep to older
        // versions until the staleness bound, counted from its start, has nearly passed: only
        // from then on must it know the state of the platform. The clock starts at
        // `Instant::ZERO` when the gateway starts.
        let default_deadline =
            Instant::ZERO + self.bounds.max_staleness.mul_f64(STARTUP_STALENESS_FRACTION);
        let latest_start = now + max_wait + WAIT_MARGIN;
        let target = self.by_model.get(model);
        target.map_or(0, |it| it.min_version(latest_start, default_deadline <= now))
    }

    /// Returns the models whose lowest version for any request has risen since the last call, with
    /// that version.
    pub fn take_expired(&mut self, now: Instant) -> Vec<(Model, u32)> {
        let models: Vec<_> = self.by_model.keys().cloned().collect();
        let risen = models.into_iter().filter_map(|model| {
            let min_version = self.min_version(now, Duration::ZERO, &model);
            let target = self.by_model.get_mut(&model)?;
            let before = std::mem::replace(&mut target.reported_min, min_version);
            (before < min_version).then_some((model, min_version))
        });
        risen.collect()
    }

    /// Records the oldest weight version of each model by the upstreams' rows as of `at`.
    pub fn update_oldest(&mut self, at: Instant, oldest: Vec<(Model, u32)>) {
        if at.since(self.rows_as_of) > self.bounds.drain {
            // Rows count as fresh only up to the drain bound. After a longer gap, as after a start,
            // it is unknown which versions upstreams had in between.
            self.by_model.values_mut().for_each(|it| it.missed_rows = true);
        }
        self.rows_as_of = self.rows_as_of.max(at);
        for (model, version) in oldest {
            let oldest_known = self.oldest.entry(model).or_default();
            *oldest_known = version.max(*oldest_known);
        }
    }

    /// Returns the time as of which the upstreams' rows are known.
    pub fn rows_as_of(&self) -> Instant {
        self.rows_as_of
    }

    /// Returns whether KV cache that stores hold of a weight version may be used. Another host
    /// frees it once fresh rows show that no upstream has that version any more, so cache of
    /// versions older than the target may be used only while this host's own rows are fresh: not
    /// older than the drain bound.
    pub fn may_use_cache_stores(&self, now: Instant, model: &Model, weight_version: u32) -> bool {
        if self.oldest.get(model).is_some_and(|it| weight_version < *it) {
            return false;
        }
        let Some(target) = self.by_model.get(model) else { return true };
        let fresh = now.since(self.rows_as_of) < self.bounds.drain;
        weight_version >= target.version || (!target.missed_rows && fresh)
    }
}
