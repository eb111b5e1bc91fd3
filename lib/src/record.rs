//! Decision records of recent requests, in a bounded ring.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
};

use serde::Serialize;

use crate::{clock::unix_millis, key::Caller, prelude::*, route::Candidate};

/// Records kept on one host.
const KEPT: usize = 4096;

/// How one request was handled.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Record {
    /// The request's id.
    pub request: FastStr,
    /// The host that handled it.
    pub host: FastStr,
    /// The workspace.
    pub workspace: FastStr,
    /// The priority class.
    pub class: FastStr,
    /// The model or plain service.
    pub target: FastStr,
    /// When it came, in milliseconds since the Unix epoch.
    pub received_ms: u64,
    /// The attempts, in order.
    pub attempts: SmallVec<[Attempt; 2]>,
    /// Time to the first token or the answer, in milliseconds.
    pub first_token_ms: Option<u64>,
    /// Time to the end, in milliseconds.
    pub total_ms: u64,
    /// Frames dropped because they were late or of another run.
    pub dropped_frames: u32,
    /// What the caller was told.
    pub outcome: FastStr,
}

impl Record {
    /// Creates the record of a request that has just come to this host.
    pub fn new(host: &Host, request: &FastStr, caller: &Caller, target: &str) -> Self {
        Record {
            request: request.clone(),
            host: FastStr::new(host.as_str()),
            workspace: FastStr::new(caller.workspace.as_str()),
            class: FastStr::new(caller.class.as_str()),
            target: FastStr::new(target),
            received_ms: unix_millis(),
            ..Record::default()
        }
    }
}

/// One attempt of a request.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Attempt {
    /// The attempt's id.
    pub id: FastStr,
    /// The chosen upstream.
    pub upstream: FastStr,
    /// The cheapest candidates with their predicted costs.
    pub candidates: SmallVec<[Candidate; 8]>,
    /// How it failed, where it did.
    pub fault: Option<String>,
}

/// The newest records.
#[derive(Debug, Default)]
pub struct RingBuffer {
    records: Mutex<VecDeque<Arc<Record>>>,
}

impl RingBuffer {
    /// Adds a record, dropping the oldest when full.
    pub fn push(&self, record: Record) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        if records.len() == KEPT {
            records.pop_front();
        }
        records.push_back(Arc::new(record));
    }

    /// Finds the record of a request.
    pub fn find(&self, request: &str) -> Option<Arc<Record>> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.iter().rev().find(|it| it.request == request).cloned()
    }
}
