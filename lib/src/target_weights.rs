//! The weights that operators have named, and what follows for those that upstreams have. No I/O.

use std::collections::HashMap;

use crate::{host_config::Bounds, prelude::*};

/// How long a request may wait at an upstream before it begins: upstreams with older weights
/// get no more requests that much before the rollout's bound.
const WAIT_MAX: Duration = Duration::from_millis(3500);
/// Part of the contact bound after which a host that has started keeps to the weights named.
const START_PART: f64 = 0.9;

/// What was named for one model.
#[derive(Clone, Debug, Default)]
struct Named {
    version: u32,
    /// Versions with the time up to which requests may begin on older ones, where it is known
    /// when they were named.
    due: SmallVec<[(u32, Option<Instant>); 4]>,
    /// Whether this host found the newest one when it started, or missed rows since.
    found: bool,
}

impl Named {
    /// Takes a version and when it is due; a time that is known stays.
    fn add(&mut self, version: u32, due: Option<Instant>) {
        self.version = self.version.max(version);
        match self.due.iter_mut().find(|it| it.0 == version) {
            Some((_, known)) => *known = known.or(due),
            None => self.due.push((version, due)),
        }
    }

    /// Returns the version below which no request may begin. Those of which it is not known
    /// when they were named are due at `unknown`.
    fn min_version(&self, now: Instant, unknown: Instant) -> u32 {
        let due = self.due.iter().filter(|it| it.1.unwrap_or(unknown) <= now);
        due.map(|it| it.0).max().unwrap_or(0)
    }
}

/// What was named for all models.
#[derive(Clone, Debug)]
pub struct Targets {
    named: HashMap<Model, Named>,
    /// Oldest weights of each model that upstreams had when rows were read; never goes back.
    floors: HashMap<Model, u32>,
    /// When the upstreams' rows were as they are known.
    rows_as_of: Instant,
    bounds: Bounds,
}

impl Targets {
    /// Creates what a host knows that has just started.
    pub fn new(bounds: Bounds) -> Self {
        let (named, floors) = (HashMap::new(), HashMap::new());
        Targets { named, floors, rows_as_of: Instant::ZERO, bounds }
    }

    /// Takes the newest weight version of a model and when it was named, where that is known.
    pub fn set(&mut self, since: Option<Instant>, model: Model, version: u32) {
        if version <= self.newest(&model).unwrap_or(0) {
            return;
        }
        log::info!(model = model.as_str(), version = version; "weights are named");
        let due = since.map(|it| it + self.bound());
        let named = self.named.entry(model).or_default();
        named.add(version, due);
        named.found = since.is_none();
    }

    /// Takes for how long a version has been named that this host found when it started, or an
    /// older one whose bound may still run.
    pub fn set_age(&mut self, now: Instant, model: &Model, version: u32, age: Duration) {
        let left = self.bound().saturating_sub(age);
        if let Some(named) = self.named.get_mut(model)
            && version <= named.version
        {
            log::info!(model = model.as_str(), version = version, age_ms = age.as_millis() as u64,
                left_ms = left.as_millis() as u64; "time of the naming is known");
            named.add(version, Some(now + left));
        }
    }

    /// Returns the versions whose naming this host has seen or recalled, with the time.
    pub fn known_times(&self) -> Vec<(Model, u32, Instant)> {
        let bound = self.bound();
        let named = self.named.iter();
        let targets = named.flat_map(|(model, it)| it.due.iter().map(move |at| (model, at)));
        let known = targets.filter_map(|(model, (version, due))| {
            Some((model.clone(), *version, (*due)?.saturating_sub(bound)))
        });
        known.collect()
    }

    /// Tells whether this host does not know when some newest version was named.
    pub fn has_unknown_time(&self) -> bool {
        let unknown = |it: &Named| it.due.iter().any(|due| due.0 == it.version && due.1.is_none());
        self.named.values().any(unknown)
    }

    /// Returns the newest version of a model that was named.
    pub fn newest(&self, model: &Model) -> Option<u32> {
        self.named.get(model).map(|it| it.version)
    }

    /// Returns the version of a model below which no request may begin.
    pub fn min_version(&self, now: Instant, model: &Model) -> u32 {
        // A host that has just started may not know for how long weights have been named. It may
        // go on for as long as it takes to be counted on again.
        let unknown = Instant::ZERO + self.bounds.max_staleness.mul_f64(START_PART);
        self.named.get(model).map_or(0, |it| it.min_version(now, unknown))
    }

    /// Takes the oldest weights of each model by the upstreams' rows as they were at a time.
    pub fn update_oldest(&mut self, at: Instant, oldest: Vec<(Model, u32)>) {
        if at.since(self.rows_as_of) > self.bounds.drain {
            // What upstreams had in between is not known, as after a start.
            self.named.values_mut().for_each(|it| it.found = true);
        }
        self.rows_as_of = self.rows_as_of.max(at);
        for (model, oldest) in oldest {
            let floor = self.floors.entry(model).or_default();
            *floor = oldest.max(*floor);
        }
    }

    /// Returns when the upstreams' rows were as they are known.
    pub fn rows_as_of(&self) -> Instant {
        self.rows_as_of
    }

    /// Tells whether what stores hold for a model's weights may be used: another host frees it
    /// once fresh rows show that no upstream has them any more.
    pub fn may_use_cache_stores(&self, now: Instant, model: &Model, weight_version: u32) -> bool {
        if self.floors.get(model).is_some_and(|it| weight_version < *it) {
            return false;
        }
        let Some(named) = self.named.get(model) else { return true };
        let fresh = now.since(self.rows_as_of) < self.bounds.drain;
        weight_version >= named.version || (!named.found && fresh)
    }

    /// Returns how long after a version was named requests may be sent to older ones.
    fn bound(&self) -> Duration {
        self.bounds.rollout.saturating_sub(WAIT_MAX)
    }
}
