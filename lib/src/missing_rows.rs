//! Upstreams whose rows are gone. A row may be missing for a moment only, because the row store lost it or an
//! upstream could not renew it, while the process serves on. What this host knows of the process is kept until
//! the row is back: its requests in flight, its limits, and how it has behaved.
//!
//! Does no I/O.

use std::collections::HashMap;

use crate::{prelude::*, upstream_state::State};

/// How long the state of an upstream without a row is kept after its last request has ended.
const RETENTION: Duration = Duration::from_secs(30);

/// The states of upstreams that have no row.
#[derive(Debug, Default)]
pub(crate) struct MissingRows {
    states: HashMap<Upstream, Entry>,
}

#[derive(Debug)]
struct Entry {
    state: State,
    /// When the row was removed, or when the upstream last had a request in flight.
    used_at: Instant,
}

impl MissingRows {
    /// Keeps the state of an upstream whose row was removed.
    pub(crate) fn insert(&mut self, now: Instant, state: State) {
        self.states.insert(state.row.id.clone(), Entry { state, used_at: now });
    }

    /// Takes the state of an upstream whose row is back.
    pub(crate) fn take(&mut self, id: &Upstream) -> Option<State> {
        self.states.remove(id).map(|it| it.state)
    }

    /// Returns the state of an upstream.
    pub(crate) fn get(&self, id: &Upstream) -> Option<&State> {
        self.states.get(id).map(|it| &it.state)
    }

    /// Returns the state of an upstream, to record the outcome of a request.
    pub(crate) fn get_mut(&mut self, id: &Upstream) -> Option<&mut State> {
        self.states.get_mut(id).map(|it| &mut it.state)
    }

    /// Returns all states.
    pub(crate) fn states(&self) -> impl Iterator<Item = &State> {
        self.states.values().map(|it| &it.state)
    }

    /// Drops the states of upstreams that have had no row and no request for long.
    pub(crate) fn purge(&mut self, now: Instant) {
        for entry in self.states.values_mut().filter(|it| it.state.in_flight > 0) {
            entry.used_at = now;
        }
        self.states.retain(|_, it| now.since(it.used_at) < RETENTION);
    }
}
