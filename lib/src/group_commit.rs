//! Group commit: batches single conditional writes into transactions of the table service.
//!
//! All hosts together start at most [`TOTAL_TRANSACTIONS_PER_SECOND`] transactions a second,
//! split evenly between them. Each host's share is a token bucket that allows a burst after a
//! quiet time: a single write is sent at once, while many concurrent writes share transactions.

use std::{collections::VecDeque, future::Future};

use tokio::{
    sync::{mpsc, oneshot},
    task::JoinSet,
    time::sleep,
};

use crate::{
    clock::Clock,
    fault::Fault,
    generated::wire::{Outcome, Row, Transaction, Write},
    prelude::*,
    table::Table,
};

/// Long-run limit on the transactions that all hosts together start in a second. The table
/// service accepts several hundred a second from all its clients.
pub const TOTAL_TRANSACTIONS_PER_SECOND: f64 = 270.0;
/// Transactions that one host may start at once after a quiet time.
pub const BURST_TRANSACTIONS: f64 = 15.0;
/// Most writes in one transaction.
pub const MAX_BATCH_WRITES: usize = 64;
/// Transactions of one host that may be in flight at the same time.
const MAX_IN_FLIGHT: usize = 16;
/// Bound of the queue and of the channel that feeds it. Writes over it fail as not sent.
const MAX_QUEUED: usize = 1024;

/// A queued write and the id that its sender gave it.
pub type QueuedWrite = (u64, Write);

/// The id and the result of a write.
pub type CompletedWrite = (u64, Result<Outcome, Fault>);

/// The next action of whoever drives a [`Queue`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send these writes as one transaction.
    Send(Vec<QueuedWrite>),
    /// Ask again after this time; the rate limit is reached.
    Wait(Duration),
    /// Do nothing; the queue is empty.
    Idle,
}

/// Queued writes and the token bucket that limits the transactions of this host.
#[derive(Debug)]
pub struct Queue {
    waiting: VecDeque<QueuedWrite>,
    /// Tokens that are added to the bucket per second; one is taken for each transaction.
    tokens_per_second: f64,
    /// Transactions that may start now.
    tokens: f64,
    /// When tokens were last added.
    refilled_at: Instant,
}

impl Queue {
    /// Creates an empty queue for one of `hosts` hosts, which share the limit evenly.
    pub fn new(now: Instant, hosts: usize) -> Self {
        let tokens_per_second = TOTAL_TRANSACTIONS_PER_SECOND / hosts.max(1) as f64;
        Queue {
            waiting: VecDeque::new(),
            tokens_per_second,
            tokens: BURST_TRANSACTIONS,
            refilled_at: now,
        }
    }

    /// Adds a write under an id, which must be unique among the uncompleted writes.
    pub fn push(&mut self, id: u64, write: Write) {
        self.waiting.push_back((id, write));
    }

    /// Returns the number of queued writes.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no write is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the next action, and takes the writes that it sends out of the queue.
    pub fn next_action(&mut self, now: Instant) -> Action {
        if self.waiting.is_empty() {
            return Action::Idle;
        }
        let added = now.since(self.refilled_at).as_secs_f64() * self.tokens_per_second;
        self.tokens = (self.tokens + added).min(BURST_TRANSACTIONS);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return Action::Wait(Duration::from_secs_f64(
                (1.0 - self.tokens) / self.tokens_per_second,
            ));
        }
        self.tokens -= 1.0;
        Action::Send(self.take_batch())
    }

    /// Takes the first writes with distinct keys. A second write to the same key stays queued,
    /// because one transaction cannot meet the conditions of both.
    fn take_batch(&mut self) -> Vec<QueuedWrite> {
        let mut batch: Vec<QueuedWrite> = Vec::new();
        let mut remaining = VecDeque::new();
        for (id, write) in self.waiting.drain(..) {
            if batch.len() < MAX_BATCH_WRITES && batch.iter().all(|it| it.1.key != write.key) {
                batch.push((id, write));
            } else {
                remaining.push_back((id, write));
            }
        }
        self.waiting = remaining;
        batch
    }

    /// Applies the result of a transaction and returns the completed writes. A conflict
    /// completes only the write that caused it; the others took no effect and go back to the
    /// front of the queue.
    pub fn complete(
        &mut self,
        batch: Vec<QueuedWrite>,
        result: Result<Outcome, Fault>,
    ) -> Vec<CompletedWrite> {
        let conflict = match &result {
            Ok(outcome) if !outcome.committed => outcome.conflict.as_deref(),
            _ => None,
        };
        let Some(conflict_index) = batch.iter().position(|it| Some(it.1.key.as_str()) == conflict)
        else {
            // A refusal that names no write of the batch breaks the protocol.
            let refused = matches!(&result, Ok(outcome) if !outcome.committed);
            let result = if refused { Err(Fault::PROTOCOL) } else { result };
            return batch.into_iter().map(|(id, _)| (id, result.clone())).collect();
        };
        let mut unaffected = batch;
        let (id, _) = unaffected.remove(conflict_index);
        for it in unaffected.into_iter().rev() {
            self.waiting.push_front(it);
        }
        vec![(id, result)]
    }
}

/// A [`Table`] that batches single writes. Larger transactions and reads go directly to the
/// inner table.
#[derive(Clone)]
pub struct GroupCommitTable<T> {
    inner: T,
    requests: mpsc::Sender<Request>,
}

/// A single write for the batching task.
struct Request {
    write: Write,
    reply_sender: oneshot::Sender<Result<Outcome, Fault>>,
}

impl<T> GroupCommitTable<T>
where
    T: Table,
{
    /// Starts the batching task of one of `hosts` hosts, which share the limit evenly. The task
    /// ends after the last clone of the table is dropped.
    ///
    /// # Panics
    ///
    /// Panics when called outside of a Tokio runtime.
    pub fn start(inner: T, hosts: usize) -> Self {
        let (requests, receiver) = mpsc::channel(MAX_QUEUED);
        tokio::spawn(run_batches(inner.clone(), hosts, receiver));
        GroupCommitTable { inner, requests }
    }
}

impl<T> Table for GroupCommitTable<T>
where
    T: Table,
{
    async fn commit(&self, transaction: &Transaction) -> Result<Outcome, Fault> {
        let [write] = transaction.writes.as_slice() else {
            return self.inner.commit(transaction).await;
        };
        let (reply_sender, reply_receiver) = oneshot::channel();
        let request = Request { write: write.clone(), reply_sender };
        // A full channel means that the table service does not keep up; nothing was sent.
        self.requests.try_send(request).map_err(|_| Fault::CONNECT)?;
        reply_receiver.await.unwrap_or(Err(Fault::BROKEN))
    }

    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Row>, Fault>> + Send {
        self.inner.read(key)
    }

    fn scan(&self, prefix: &str) -> impl Future<Output = Result<Vec<Row>, Fault>> + Send {
        self.inner.scan(prefix)
    }
}

/// The writes of a transaction and its result.
type FinishedTransaction = (Vec<QueuedWrite>, Result<Outcome, Fault>);

/// Batches requests and answers them, until all senders of `requests` are dropped.
async fn run_batches<T>(table: T, hosts: usize, mut requests: mpsc::Receiver<Request>)
where
    T: Table,
{
    let clock = Clock::start();
    let mut queue = Queue::new(clock.now(), hosts);
    let mut reply_senders: BTreeMap<u64, oneshot::Sender<_>> = BTreeMap::new();
    let mut in_flight: JoinSet<FinishedTransaction> = JoinSet::new();
    let mut ids = 0_u64..;
    loop {
        let mut wait = None;
        while in_flight.len() < MAX_IN_FLIGHT {
            match queue.next_action(clock.now()) {
                Action::Send(batch) => drop(in_flight.spawn(commit(table.clone(), batch))),
                Action::Wait(time) => {
                    wait = Some(time);
                    break;
                }
                Action::Idle => break,
            }
        }
        tokio::select! {
            request = requests.recv(), if queue.len() < MAX_QUEUED => {
                let (Some(request), Some(id)) = (request, ids.next()) else { return };
                queue.push(id, request.write);
                reply_senders.insert(id, request.reply_sender);
            }
            Some(Ok((batch, result))) = in_flight.join_next() => {
                for (id, result) in queue.complete(batch, result) {
                    if let Some(reply_sender) = reply_senders.remove(&id) {
                        // The receiver is gone if the caller stopped waiting.
                        let _ = reply_sender.send(result);
                    }
                }
            }
            () = sleep(wait.unwrap_or_default()), if wait.is_some() => {}
        }
    }
}

/// Commits a batch as one transaction and returns both.
async fn commit<T>(table: T, batch: Vec<QueuedWrite>) -> FinishedTransaction
where
    T: Table,
{
    let writes = batch.iter().map(|(_, write)| write.clone()).collect();
    let result = table.commit(&Transaction { writes }).await;
    (batch, result)
}
