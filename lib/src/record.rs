//! Records of how recent requests were handled, in a ring buffer. Operators read them through the
//! admin API.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
};

use serde::Serialize;

use crate::{clock::unix_millis, key::Caller, prelude::*, upstream_choice::Candidate};

/// Most records that one host keeps.
const MAX_RECORDS: usize = 4096;

/// How one request was handled.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Record {
    /// The request's id.
    pub request: FastStr,
    /// The host that handled it.
    pub host: FastStr,
    /// The workspace of the caller.
    pub workspace: FastStr,
    /// The priority class of the caller.
    pub class: FastStr,
    /// The requested model or plain service.
    pub target: FastStr,
    /// When the request arrived, in milliseconds since the Unix epoch.
    pub received_ms: u64,
    /// The attempts, in order.
    pub attempts: SmallVec<[Attempt; 2]>,
    /// Time from arrival to the first chunk of a model's answer, in milliseconds; `None` if there
    /// was none.
    pub first_token_ms: Option<u64>,
    /// Time from arrival to the end of the answer, in milliseconds.
    pub total_ms: u64,
    /// Frames dropped because they were repeated, belonged to another run, or followed the end.
    pub dropped_frames: u32,
    /// How the request ended: `ok`, an error code, or how the connection to the caller ended.
    pub outcome: FastStr,
}

impl Record {
    /// Creates the record of a request that has just arrived at this host.
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

/// One attempt to run a request on an upstream.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Attempt {
    /// The attempt's id.
    pub id: FastStr,
    /// The chosen upstream.
    pub upstream: FastStr,
    /// The candidates with the shortest predicted times to the first token.
    pub candidates: SmallVec<[Candidate; 8]>,
    /// Why the attempt failed; `None` if it did not.
    pub fault: Option<String>,
}

/// The newest records of this host, oldest first.
#[derive(Debug, Default)]
pub struct RingBuffer {
    records: Mutex<VecDeque<Arc<Record>>>,
}

impl RingBuffer {
    /// Adds a record, and drops the oldest one if the buffer is full.
    pub fn push(&self, record: Record) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        if records.len() == MAX_RECORDS {
            records.pop_front();
        }
        records.push_back(Arc::new(record));
    }

    /// Returns the newest record of a request.
    pub fn find(&self, request: &str) -> Option<Arc<Record>> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.iter().rev().find(|it| it.request == request).cloned()
    }
}
