//! Retry budgets of `mothvale serve`: limit retries to a share of the requests, so that retries do
//! not multiply the load during an outage. The gateway has
//! [`RetryBudget`](crate::retry_budget::RetryBudget) instead.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use crate::prelude::*;

/// Retries that one request adds to its budgets.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Largest balance of a budget, in retries; also its initial balance.
const MAX_BALANCE: f64 = 10.0;

/// The set of upstreams that a budget covers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Scope {
    /// All engines of a model.
    Model(Model),
    /// All instances of a plain service.
    Service(Service),
}

/// Retry budgets: one for each scope, and one for each workspace within a scope.
///
/// Each request adds a tenth of a retry to both, so that attempts stay near 1.1 times the
/// requests however many attempts fail and however many workspaces there are. Full budgets are
/// not stored.
#[derive(Debug, Default)]
pub struct Budgets {
    balances: Mutex<HashMap<BudgetKey, f64>>,
}

/// Scope and workspace of a budget; without a workspace, it is the budget of the whole scope.
type BudgetKey = (Scope, Option<Workspace>);

impl Budgets {
    /// Adds a request's share of a retry to both of its budgets.
    pub fn deposit(&self, workspace: &Workspace, scope: &Scope) {
        let mut balances = self.lock();
        // The usual case: nothing has failed lately, so all budgets are full.
        if balances.is_empty() {
            return;
        }
        for key in keys(workspace, scope) {
            if let Some(balance) = balances.get_mut(&key) {
                *balance += RETRIES_PER_REQUEST;
                if *balance >= MAX_BALANCE {
                    balances.remove(&key);
                }
            }
        }
    }

    /// Takes one retry from both budgets of a request. Returns false, and takes nothing, if either
    /// has less than one retry left.
    pub fn try_withdraw(&self, workspace: &Workspace, scope: &Scope) -> bool {
        let mut balances = self.lock();
        let keys = keys(workspace, scope);
        let has_retry = |key| balances.get(key).is_none_or(|balance| *balance >= 1.0);
        if !keys.iter().all(has_retry) {
            return false;
        }
        for key in keys {
            *balances.entry(key).or_insert(MAX_BALANCE) -= 1.0;
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<BudgetKey, f64>> {
        self.balances.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the keys of the scope's own budget and of the workspace's budget in it.
fn keys(workspace: &Workspace, scope: &Scope) -> [BudgetKey; 2] {
    [(scope.clone(), None), (scope.clone(), Some(workspace.clone()))]
}
