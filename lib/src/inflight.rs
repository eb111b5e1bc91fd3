//! Counts of requests in flight from one host of `mothvale serve`, per upstream and per workspace.

use std::{
    collections::HashMap,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

use crate::prelude::*;

/// Counts requests in flight to each upstream, by the upstream's index in the catalog of the
/// settings.
#[derive(Clone, Debug)]
pub struct Counters {
    counts: Arc<[AtomicU32]>,
}

impl Counters {
    /// Creates counters for `len` upstreams.
    pub fn new(len: usize) -> Self {
        Counters { counts: (0..len).map(|_| AtomicU32::new(0)).collect() }
    }

    /// Returns the number of requests in flight to an upstream.
    pub fn get(&self, index: usize) -> u32 {
        self.counts[index].load(Ordering::Acquire)
    }

    /// Counts a request to an upstream; returns `None` if `limit` requests are in flight already.
    pub fn reserve(&self, index: usize, limit: u32) -> Option<Permit> {
        let increment = |count: u32| (count < limit).then_some(count + 1);
        let before =
            self.counts[index].fetch_update(Ordering::AcqRel, Ordering::Acquire, increment);
        Some(Permit { counters: self.clone(), index, ordinal: before.ok()? + 1 })
    }
}

/// A request in flight to an upstream; it is counted until the permit is dropped.
#[derive(Debug)]
pub struct Permit {
    counters: Counters,
    index: usize,
    ordinal: u32,
}

impl Permit {
    /// Returns how many requests were in flight when this one was counted, itself included.
    pub fn ordinal(&self) -> u32 {
        self.ordinal
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.counters.counts[self.index].fetch_sub(1, Ordering::AcqRel);
    }
}

/// Counts requests in flight for each workspace; idle workspaces take no memory.
#[derive(Clone, Debug, Default)]
pub struct Workspaces {
    counts: Arc<Mutex<HashMap<Workspace, u32>>>,
}

impl Workspaces {
    /// Counts a request of a workspace; returns `None` if `limit` requests are in flight already.
    pub fn try_acquire(&self, workspace: &Workspace, limit: u32) -> Option<WorkspacePermit> {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(workspace.clone()).or_default();
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(WorkspacePermit { workspaces: self.clone(), workspace: workspace.clone() })
    }

    /// Returns the number of requests in flight over all workspaces.
    pub fn total(&self) -> u32 {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).values().sum()
    }
}

/// A request of a workspace; it is counted until the permit is dropped.
#[derive(Debug)]
pub struct WorkspacePermit {
    workspaces: Workspaces,
    workspace: Workspace,
}

impl Drop for WorkspacePermit {
    fn drop(&mut self) {
        let mut counts = self.workspaces.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = counts.get_mut(&self.workspace) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.workspace);
            }
        }
    }
}
