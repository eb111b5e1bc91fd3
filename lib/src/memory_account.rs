//! Memory that a host holds for others: bodies of callers' requests, and bodies of responses that are read
//! whole. What is charged is what was allocated; it is given back when the last copy is dropped, wherever that
//! is, so that a body which a caller reads slowly counts until it is read.
//!
//! Load pattern: a burst of large requests, or callers that read large responses slowly, on a small host.

use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::{
    sync::Notify,
    time::{Instant as TokioInstant, timeout_at},
};

use crate::prelude::*;

/// Part of the host's memory that bodies of requests may take, as a divisor.
const REQUESTS_DIVISOR: u64 = 3;
/// The same while the body is a small one.
const SMALL_REQUESTS_DIVISOR: u64 = 2;
/// The same for bodies of responses.
const RESPONSES_DIVISOR: u64 = 8;
/// Most that bodies of responses may take, in bytes.
const MAX_RESPONSES: u64 = 16 << 20;
/// Memory of a host that does not know how much it has, in bytes.
const ASSUMED_MEMORY: u64 = 256 << 20;
/// Size up to which a body is small, in bytes. Small bodies of responses always fit: their requests have run.
pub(crate) const SMALL_BODY_BYTES: usize = 64 << 10;

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// Bodies of callers' requests, until no attempt can follow.
    Requests,
    /// Bodies of upstreams' responses, until callers have read them.
    Responses,
}

/// How much one owner holds.
#[derive(Debug)]
struct Share {
    used: AtomicUsize,
    limit: usize,
    /// Limit for small bodies.
    small_limit: usize,
}

/// The memory that a host holds for others.
#[derive(Debug)]
pub struct Account {
    requests: Share,
    responses: Share,
    peak: AtomicUsize,
    freed: Notify,
}

impl Account {
    /// Creates the account of a host with this much memory, in bytes; 0 if that is not known.
    pub fn new(memory: u64) -> Self {
        let memory = if memory == 0 { ASSUMED_MEMORY } else { memory };
        let size = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
        let share = |limit: usize, small_limit: usize| Share {
            used: AtomicUsize::new(0),
            limit,
            small_limit,
        };
        let (requests, small_requests) =
            (size(memory / REQUESTS_DIVISOR), size(memory / SMALL_REQUESTS_DIVISOR));
        let responses = size((memory / RESPONSES_DIVISOR).min(MAX_RESPONSES));
        Account {
            requests: share(requests, small_requests),
            responses: share(responses, usize::MAX),
            peak: AtomicUsize::new(0),
            freed: Notify::new(),
        }
    }

    /// Returns the bytes that an owner holds now.
    pub fn used(&self, owner: Owner) -> usize {
        self.share(owner).used.load(Ordering::Acquire)
    }

    /// Returns whether an owner holds more than half of what it may.
    pub fn is_tight(&self, owner: Owner) -> bool {
        self.used(owner) > self.share(owner).limit / 2
    }

    /// Returns the most bytes that all owners have held together.
    pub fn peak(&self) -> usize {
        self.peak.load(Ordering::Acquire)
    }

    /// Charges bytes, unless they do not fit.
    pub fn try_charge(self: &Arc<Self>, owner: Owner, bytes: usize) -> Option<Charge> {
        let mut charge = Charge { account: self.clone(), owner, bytes: 0 };
        charge.try_grow(bytes).then_some(charge)
    }

    /// Charges bytes; waits until `deadline` while they do not fit.
    pub async fn charge(
        self: &Arc<Self>,
        owner: Owner,
        bytes: usize,
        deadline: TokioInstant,
    ) -> Option<Charge> {
        loop {
            let freed = self.freed.notified();
            tokio::pin!(freed);
            // Enabled before the check, so that nothing that is freed meanwhile is missed.
            freed.as_mut().enable();
            if let Some(charge) = self.try_charge(owner, bytes) {
                return Some(charge);
            }
            timeout_at(deadline, freed).await.ok()?;
        }
    }

    fn share(&self, owner: Owner) -> &Share {
        match owner {
            Owner::Requests => &self.requests,
            Owner::Responses => &self.responses,
        }
    }
}

/// Bytes that are charged until this is dropped.
#[derive(Debug)]
pub struct Charge {
    account: Arc<Account>,
    owner: Owner,
    bytes: usize,
}

impl Charge {
    /// Raises the charge to `bytes`. Returns false, and changes nothing, if they do not fit.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let share = self.account.share(self.owner);
        let limit = if bytes <= SMALL_BODY_BYTES { share.small_limit } else { share.limit };
        let fits = |used: usize| used.saturating_add(more) <= limit;
        let grown = share.used.fetch_update(Ordering::AcqRel, Ordering::Acquire, |used| {
            fits(used).then_some(used + more)
        });
        if grown.is_ok() {
            self.bytes += more;
            let all = self.account.used(Owner::Requests) + self.account.used(Owner::Responses);
            self.account.peak.fetch_max(all, Ordering::AcqRel);
        }
        grown.is_ok()
    }

    /// Lowers the charge to `bytes`, if it is higher.
    pub fn shrink(&mut self, bytes: usize) {
        let less = self.bytes.saturating_sub(bytes);
        if less == 0 {
            return;
        }
        self.bytes -= less;
        self.account.share(self.owner).used.fetch_sub(less, Ordering::AcqRel);
        self.account.freed.notify_waiters();
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.shrink(0);
    }
}
