//! Budgets that keep retries from multiplying an outage.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use crate::prelude::*;

/// Retries that one request earns for its group.
const EARNED: f64 = 0.1;
/// Most retries that a group can save up.
const SAVED: f64 = 10.0;

/// The upstreams that a budget is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Scope {
    /// All engines of a model.
    Model(Model),
    /// All instances of a plain service.
    Service(Service),
}

/// Retry budgets, for each group of upstreams and for each workspace in it.
///
/// Each request earns a tenth of a retry, so that attempts stay near 1.1 times the
/// requests however much fails and however many workspaces there are. A budget that is
/// full has no entry.
#[derive(Debug, Default)]
pub struct Budgets {
    budgets: Mutex<HashMap<Key, f64>>,
}

/// Whose budget it is; no workspace means the group's own.
type Key = (Scope, Option<Workspace>);

impl Budgets {
    /// Counts a request towards its budgets.
    pub fn deposit(&self, workspace: &Workspace, scope: &Scope) {
        let mut budgets = self.lock();
        // Where nothing fails, all budgets are full.
        if budgets.is_empty() {
            return;
        }
        for key in keys(workspace, scope) {
            if let Some(saved) = budgets.get_mut(&key) {
                *saved += EARNED;
                if *saved >= SAVED {
                    budgets.remove(&key);
                }
            }
        }
    }

    /// Takes one retry out of a request's budgets; returns false when one has none left.
    pub fn try_withdraw(&self, workspace: &Workspace, scope: &Scope) -> bool {
        let mut budgets = self.lock();
        let keys = keys(workspace, scope);
        let left = |key| budgets.get(key).is_none_or(|saved| *saved >= 1.0);
        if !keys.iter().all(left) {
            return false;
        }
        for key in keys {
            *budgets.entry(key).or_insert(SAVED) -= 1.0;
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Key, f64>> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn keys(workspace: &Workspace, scope: &Scope) -> [Key; 2] {
    [(scope.clone(), None), (scope.clone(), Some(workspace.clone()))]
}
