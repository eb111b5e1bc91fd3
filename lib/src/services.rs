//! Forwards calls to plain services, which are HTTP services beside the model engines.
//!
//! Idempotent calls are retried on other instances. All other calls are sent at most once,
//! under a claim (see [`crate::claim`]) that is keyed by the caller's idempotency key.

use std::net::SocketAddr;

use http::Response;
use sha2::{Digest, Sha256};

use crate::{
    backend::{Message, PlainService},
    claim::{Input, Reply, Request, StateMachine, Step, Time},
    clock::unix_millis,
    engine::Engine,
    fault::{Delivery, Fault},
    generated::wire::{Outcome, Row, Transaction, Write},
    key::Caller,
    prelude::*,
    record::{Attempt, Record},
    rendezvous,
    retry::Scope,
    settings::ServiceEntry,
    shared::Shared,
    table::Table,
};

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Attempts to store an outcome after the caller has been answered.
const MAX_STORE_ATTEMPTS: u32 = 120;
/// Pause before each attempt to store an outcome.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Retry delay suggested to a caller when no instance answered.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// An authenticated and admitted call to a plain service.
#[derive(Debug)]
pub struct Call {
    /// Id of the request.
    pub id: FastStr,
    /// The caller, as identified by its API key.
    pub caller: Caller,
    /// Settings of the called service.
    pub service: Arc<ServiceEntry>,
    /// The HTTP request to send to the service.
    pub message: Message,
    /// The caller's idempotency key, if it sent one.
    pub idempotency_key: Option<String>,
}

/// Forwards a call to its service, records the outcome and returns the reply.
///
/// # Errors
///
/// Returns an error whose kind tells whether the call may have run.
pub async fn forward<E, B, T>(shared: &Arc<Shared<E, B, T>>, call: &Call) -> Result<Reply, Error>
where
    E: Engine,
    B: PlainService,
    T: Table,
{
    let started = shared.now();
    let path = call.message.path.split('?').next().unwrap_or_default();
    let host = &shared.settings.host;
    let mut record = Record::new(host, &call.id, &call.caller, call.service.name.as_str());
    let result = if call.service.is_idempotent(call.message.method.as_str(), path) {
        send_idempotent(shared, call, &mut record).await
    } else {
        send_claimed(shared, call, &mut record).await
    };
    let outcome = result.as_ref().map_or_else(|err| err.kind.descriptor().code, |_| "ok");
    record.outcome = FastStr::from_static_str(outcome);
    record.total_ms = shared.now().since(started).as_millis() as u64;
    log::info!(request = call.id.as_str(), workspace = call.caller.workspace.as_str(),
        service = call.service.name.as_str(), outcome = outcome,
        attempts = record.attempts.len(), total_ms = record.total_ms; "call ended");
    shared.records.push(record);
    result
}

/// Sends an idempotent call. After each failure, tries the next instance as long as the retry
/// budget allows.
async fn send_idempotent<E, B, T>(
    shared: &Shared<E, B, T>,
    call: &Call,
    record: &mut Record,
) -> Result<Reply, Error>
where
    B: PlainService,
{
    let scope = Scope::Service(call.service.name.clone());
    shared.budgets.deposit(&call.caller.workspace, &scope);
    let mut may_have_run = false;
    for (index, (name, address)) in ranked_instances(shared, call).into_iter().enumerate() {
        if index > 0 && !shared.budgets.try_withdraw(&call.caller.workspace, &scope) {
            break;
        }
        match send_to_instance(shared, call, &name, address, record).await {
            Ok(response) => return Ok(Reply::from(&response)),
            Err(fault) => may_have_run |= fault.delivery == Delivery::Unknown,
        }
    }
    let kind = if may_have_run { Kind::UpstreamFailed } else { Kind::NoUpstream };
    Err(Error::new(kind, "no instance of the service answered").with_retry_after(RETRY_AFTER))
}

/// Sends a call that is not idempotent, by driving a claim [`StateMachine`].
async fn send_claimed<E, B, T>(
    shared: &Arc<Shared<E, B, T>>,
    call: &Call,
    record: &mut Record,
) -> Result<Reply, Error>
where
    E: Engine,
    B: PlainService,
    T: Table,
{
    let request = claim_request(shared, call)?;
    let key = request.key.clone();
    let (mut machine, mut step) = StateMachine::start(request, current_time(shared));
    let mut failed_write = None;
    loop {
        let input = match step {
            Step::Read => Input::Row(read_row(shared, &key).await),
            Step::Write(write) => {
                let result = commit_write(shared, write.clone()).await;
                failed_write = result.is_err().then_some(write);
                Input::Written(result)
            }
            Step::Send => Input::Sent(send_once(shared, call, record).await),
            Step::Answer(result) => {
                if let Some(write) = failed_write.filter(|_| machine.send_count() > 0) {
                    shared.tasks.spawn(store_later(shared.clone(), write));
                }
                return result;
            }
        };
        step = machine.next(current_time(shared), input);
    }
}

/// Retries the write of an outcome that the table service did not accept before the caller
/// was answered, so that the outcome can be replayed. Repeating the write is safe, because
/// both writes expect the same row version.
async fn store_later<E, B, T>(shared: Arc<Shared<E, B, T>>, write: Write)
where
    T: Table,
{
    for _ in 0..MAX_STORE_ATTEMPTS {
        if shared.stop.is_cancelled() {
            break;
        }
        tokio::time::sleep(STORE_RETRY_PAUSE).await;
        if commit_write(&shared, write.clone()).await.is_ok() {
            return;
        }
    }
    log::warn!(row = write.key.as_str(); "request outcome was not stored in the table");
}

/// Returns the current time by both clocks.
fn current_time<E, B, T>(shared: &Shared<E, B, T>) -> Time {
    Time { now: shared.now(), unix_ms: unix_millis() }
}

/// Returns the identity of a call for its claim, or an error if its idempotency key is missing or
/// unusable.
fn claim_request<E, B, T>(shared: &Shared<E, B, T>, call: &Call) -> Result<Request, Error> {
    let missing = |message: &str| Err(Error::new(Kind::IdempotencyKeyMissing, message));
    let Some(key) = &call.idempotency_key else {
        return missing("a request that is not idempotent needs the field Idempotency-Key");
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return missing("the idempotency key must have 1 to 255 bytes");
    }
    let (workspace, service) = (&call.caller.workspace, &call.service.name);
    let digest = sha256_hex(&[key.as_bytes()]);
    Ok(Request {
        // The prefix of two hex digits partitions the rows, so that hosts can divide the
        // removal of old ones among them.
        key: format!("claims/{}/{workspace}.{service}.{digest}", &digest[..2]),
        hash: message_digest(&call.message),
        attempt: uuid::Uuid::now_v7().simple().to_string(),
        host: shared.settings.host.clone(),
        timeout: call.service.timeout,
    })
}

/// Returns the hash by which a repeated call is told from another one with the same key.
fn message_digest(message: &Message) -> String {
    sha256_hex(&[message.method.as_str().as_bytes(), message.path.as_bytes(), &message.body])
}

/// Returns the SHA-256 of the parts, in hexadecimal digits. Each part is prefixed with its length,
/// so that parts that are split differently have different hashes.
fn sha256_hex(parts: &[&[u8]]) -> String {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hex::encode(hash.finalize())
}

/// Sends to the first instance that can be reached. Moves on to the next one only when no
/// connection was established, because any other failure leaves open whether the call ran.
async fn send_once<E, B, T>(
    shared: &Shared<E, B, T>,
    call: &Call,
    record: &mut Record,
) -> Result<Response<Bytes>, Fault>
where
    B: PlainService,
{
    for (name, address) in ranked_instances(shared, call) {
        match send_to_instance(shared, call, &name, address, record).await {
            Err(Fault::CONNECT) => {}
            other => return other,
        }
    }
    Err(Fault::CONNECT)
}

/// Sends to one instance and adds the attempt to the record.
async fn send_to_instance<E, B, T>(
    shared: &Shared<E, B, T>,
    call: &Call,
    name: &Upstream,
    address: SocketAddr,
    record: &mut Record,
) -> Result<Response<Bytes>, Fault>
where
    B: PlainService,
{
    shared.metrics.attempts.inc();
    let result = shared.backend.call(address, &call.message, call.service.timeout).await;
    if let Err(fault) = &result {
        log::warn!(request = call.id.as_str(), workspace = call.caller.workspace.as_str(),
            upstream = name.as_str(), fault = fault.to_string().as_str(); "call failed");
    }
    record.attempts.push(Attempt {
        upstream: FastStr::new(name.as_str()),
        fault: result.as_ref().err().map(ToString::to_string),
        ..Attempt::default()
    });
    result
}

/// Returns the service's instances in the order to try them: those in this host's
/// availability zone first, then the others. The request's id sets the order within both
/// groups, which spreads calls over the instances.
fn ranked_instances<E, B, T>(shared: &Shared<E, B, T>, call: &Call) -> Vec<(Upstream, SocketAddr)> {
    let key = rendezvous::hash_parts(&[&call.id]);
    let mut list: Vec<_> = call.service.upstreams.iter().collect();
    list.sort_by_key(|it| {
        let in_other_zone = it.zone != shared.settings.zone;
        (in_other_zone, std::cmp::Reverse(rendezvous::weight(key, it.name.as_str())))
    });
    list.into_iter().map(|it| (it.name.clone(), it.address)).collect()
}

/// Reads a row of the table service and counts the call.
async fn read_row<E, B, T>(shared: &Shared<E, B, T>, key: &str) -> Result<Option<Row>, Fault>
where
    T: Table,
{
    let result = shared.table.read(key).await;
    count_table_call(shared, result.is_ok());
    result
}

/// Commits one write to the table service and counts the call.
async fn commit_write<E, B, T>(shared: &Shared<E, B, T>, write: Write) -> Result<Outcome, Fault>
where
    T: Table,
{
    let result = shared.table.commit(&Transaction { writes: vec![write] }).await;
    count_table_call(shared, result.is_ok());
    result
}

fn count_table_call<E, B, T>(shared: &Shared<E, B, T>, ok: bool) {
    let outcome = if ok { "ok" } else { "failed" };
    shared.metrics.table_calls.with_label_values(&[outcome]).inc();
}
