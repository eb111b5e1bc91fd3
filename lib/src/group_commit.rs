//! Group commit: single conditional writes share transactions of the table service.
//!
//! The fleet starts at most [`FLEET_TRANSACTIONS_PER_SECOND`] transactions a second, split evenly over its
//! hosts, with a burst for quiet times: a lone booking waits for nothing, many share.

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

/// Transactions that all hosts together start in a second, in the long run; the table
/// service takes several hundred from everyone.
pub const FLEET_TRANSACTIONS_PER_SECOND: f64 = 270.0;
/// Transactions that may start at once after a quiet time.
pub const BURST_TRANSACTIONS: f64 = 15.0;
/// Writes of one transaction.
pub const MAX_BATCH_WRITES: usize = 64;
/// Transactions that may be under way together.
const IN_FLIGHT: usize = 16;
/// Writes that may wait; more are refused as not sent.
const WAITING: usize = 1024;

/// A write that waits, with the number by which its sender knows it.
pub type QueuedWrite = (u64, Write);

/// What became of a write.
pub type CompletedWrite = (u64, Result<Outcome, Fault>);

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send these writes as one transaction.
    Send(Vec<QueuedWrite>),
    /// Come back after this time.
    Wait(Duration),
    /// Nothing waits.
    Idle,
}

/// The writes that wait, and how many transactions may start.
#[derive(Debug)]
pub struct Queue {
    waiting: VecDeque<QueuedWrite>,
    rate: f64,
    allowed: f64,
    counted: Instant,
}

impl Queue {
    /// Creates an empty queue on one of `hosts` hosts.
    pub fn new(now: Instant, hosts: usize) -> Self {
        let rate = FLEET_TRANSACTIONS_PER_SECOND / hosts.max(1) as f64;
        Queue { waiting: VecDeque::new(), rate, allowed: BURST_TRANSACTIONS, counted: now }
    }

    /// Adds a write.
    pub fn push(&mut self, number: u64, write: Write) {
        self.waiting.push_back((number, write));
    }

    /// Returns how many writes wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no write waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Decides what to do next.
    pub fn next_action(&mut self, now: Instant) -> Action {
        if self.waiting.is_empty() {
            return Action::Idle;
        }
        let earned = now.since(self.counted).as_secs_f64() * self.rate;
        self.allowed = (self.allowed + earned).min(BURST_TRANSACTIONS);
        self.counted = now;
        if self.allowed < 1.0 {
            return Action::Wait(Duration::from_secs_f64((1.0 - self.allowed) / self.rate));
        }
        self.allowed -= 1.0;
        Action::Send(self.take())
    }

    /// Takes the first writes with different keys. A second write to a key stays, because
    /// one transaction cannot meet both conditions.
    fn take(&mut self) -> Vec<QueuedWrite> {
        let mut batch: Vec<QueuedWrite> = Vec::new();
        let mut rest = VecDeque::new();
        for (number, write) in self.waiting.drain(..) {
            if batch.len() < MAX_BATCH_WRITES && batch.iter().all(|it| it.1.key != write.key) {
                batch.push((number, write));
            } else {
                rest.push_back((number, write));
            }
        }
        self.waiting = rest;
        batch
    }

    /// Takes what became of a transaction and returns the writes that are settled. A
    /// conflict settles only the write that met it; the others took no effect and wait
    /// again, before all that came later.
    pub fn complete(
        &mut self,
        batch: Vec<QueuedWrite>,
        result: Result<Outcome, Fault>,
    ) -> Vec<CompletedWrite> {
        let conflict = match &result {
            Ok(outcome) if !outcome.committed => outcome.conflict.as_deref(),
            _ => None,
        };
        let Some(at) = batch.iter().position(|it| Some(it.1.key.as_str()) == conflict) else {
            let refused = matches!(&result, Ok(outcome) if !outcome.committed);
            let result = if refused { Err(Fault::PROTOCOL) } else { result };
            return batch.into_iter().map(|(number, _)| (number, result.clone())).collect();
        };
        let mut others = batch;
        let (number, _) = others.remove(at);
        for it in others.into_iter().rev() {
            self.waiting.push_front(it);
        }
        vec![(number, result)]
    }
}

/// A table whose single writes share transactions.
#[derive(Clone)]
pub struct GroupCommitTable<T> {
    inner: T,
    requests: mpsc::Sender<Request>,
}

struct Request {
    write: Write,
    answer: oneshot::Sender<Result<Outcome, Fault>>,
}

impl<T> GroupCommitTable<T>
where
    T: Table,
{
    /// Starts to share transactions on the current runtime, until the last clone is gone.
    /// The fleet has `hosts` hosts.
    pub fn start(inner: T, hosts: usize) -> Self {
        let (requests, queue) = mpsc::channel(WAITING);
        tokio::spawn(drive(inner.clone(), hosts, queue));
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
        let (answer, answered) = oneshot::channel();
        let request = Request { write: write.clone(), answer };
        // A full queue means that the table service does not keep up; nothing was sent.
        self.requests.try_send(request).map_err(|_| Fault::CONNECT)?;
        answered.await.unwrap_or(Err(Fault::BROKEN))
    }

    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Row>, Fault>> + Send {
        self.inner.read(key)
    }

    fn scan(&self, prefix: &str) -> impl Future<Output = Result<Vec<Row>, Fault>> + Send {
        self.inner.scan(prefix)
    }
}

type Ended = (Vec<QueuedWrite>, Result<Outcome, Fault>);

async fn drive<T>(table: T, hosts: usize, mut requests: mpsc::Receiver<Request>)
where
    T: Table,
{
    let clock = Clock::start();
    let mut queue = Queue::new(clock.now(), hosts);
    let mut answers: BTreeMap<u64, oneshot::Sender<_>> = BTreeMap::new();
    let mut under_way: JoinSet<Ended> = JoinSet::new();
    let mut numbers = 0_u64..;
    loop {
        let mut wait = None;
        while under_way.len() < IN_FLIGHT {
            match queue.next_action(clock.now()) {
                Action::Send(batch) => drop(under_way.spawn(commit(table.clone(), batch))),
                Action::Wait(time) => {
                    wait = Some(time);
                    break;
                }
                Action::Idle => break,
            }
        }
        tokio::select! {
            request = requests.recv(), if queue.len() < WAITING => {
                let (Some(request), Some(number)) = (request, numbers.next()) else { return };
                queue.push(number, request.write);
                answers.insert(number, request.answer);
            }
            Some(Ok((batch, result))) = under_way.join_next() => {
                for (number, result) in queue.complete(batch, result) {
                    if let Some(answer) = answers.remove(&number) {
                        // An attempt that has gone reads nothing.
                        let _ = answer.send(result);
                    }
                }
            }
            () = sleep(wait.unwrap_or_default()), if wait.is_some() => {}
        }
    }
}

async fn commit<T>(table: T, batch: Vec<QueuedWrite>) -> Ended
where
    T: Table,
{
    let writes = batch.iter().map(|(_, write)| write.clone()).collect();
    let result = table.commit(&Transaction { writes }).await;
    (batch, result)
}
