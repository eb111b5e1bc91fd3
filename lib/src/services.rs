//! Carries calls to plain services: idempotent ones with retries, others under a claim.

use std::net::SocketAddr;

use http::Response;
use sha2::{Digest, Sha256};

use crate::{
    backend::{Backend, Message},
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

/// Longest idempotency key, in bytes.
const KEY_BYTES: usize = 255;
/// Tries to store an outcome after its caller has been answered.
const STORE_TRIES: u32 = 120;
const STORE_PAUSE: Duration = Duration::from_millis(500);
const COME_BACK: Duration = Duration::from_secs(1);

/// A call that was let in.
#[derive(Debug)]
pub struct Call {
    /// The request's id.
    pub id: FastStr,
    /// Who sent it.
    pub caller: Caller,
    /// The service.
    pub service: Arc<ServiceEntry>,
    /// What is sent to the service.
    pub message: Message,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
}

/// Carries a call to its service and returns the answer.
///
/// # Errors
///
/// Returns an error that tells whether the call may have run.
pub async fn forward<E, B, T>(shared: &Arc<Shared<E, B, T>>, call: &Call) -> Result<Reply, Error>
where
    E: Engine,
    B: Backend,
    T: Table,
{
    let started = shared.now();
    let path = call.message.path.split('?').next().unwrap_or_default();
    let host = &shared.settings.host;
    let mut record = Record::new(host, &call.id, &call.caller, call.service.name.as_str());
    let result = if call.service.is_idempotent(call.message.method.as_str(), path) {
        repeatable(shared, call, &mut record).await
    } else {
        claimed(shared, call, &mut record).await
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

/// Sends a call that may be repeated, to another instance after each failure.
async fn repeatable<E, B, T>(
    shared: &Shared<E, B, T>,
    call: &Call,
    record: &mut Record,
) -> Result<Reply, Error>
where
    B: Backend,
{
    let scope = Scope::Service(call.service.name.clone());
    shared.budgets.deposit(&call.caller.workspace, &scope);
    let mut unknown = false;
    for (index, (name, address)) in instances(shared, call).into_iter().enumerate() {
        if index > 0 && !shared.budgets.try_withdraw(&call.caller.workspace, &scope) {
            break;
        }
        match send(shared, call, &name, address, record).await {
            Ok(response) => return Ok(Reply::from(&response)),
            Err(fault) => unknown |= fault.delivery == Delivery::Unknown,
        }
    }
    let kind = if unknown { Kind::UpstreamFailed } else { Kind::NoUpstream };
    Err(Error::new(kind, "no instance of the service answered").retry_after(COME_BACK))
}

/// Sends a call that may not be repeated, under a claim.
async fn claimed<E, B, T>(
    shared: &Arc<Shared<E, B, T>>,
    call: &Call,
    record: &mut Record,
) -> Result<Reply, Error>
where
    E: Engine,
    B: Backend,
    T: Table,
{
    let request = claim_request(shared, call)?;
    let key = request.key.clone();
    let (mut machine, mut step) = StateMachine::start(request, time(shared));
    let mut failed = None;
    loop {
        let input = match step {
            Step::Read => Input::Row(read(shared, &key).await),
            Step::Write(write) => {
                let result = commit(shared, write.clone()).await;
                failed = result.is_err().then_some(write);
                Input::Written(result)
            }
            Step::Send => Input::Sent(send_once(shared, call, record).await),
            Step::Answer(result) => {
                if let Some(write) = failed.filter(|_| machine.send_count() > 0) {
                    shared.tasks.spawn(store_later(shared.clone(), write));
                }
                return result;
            }
        };
        step = machine.next(time(shared), input);
    }
}

/// Stores an outcome that the table service did not take in time. The caller has its
/// answer; the row lets it be replayed. Writing the same twice is safe, because both
/// writes expect the same version.
async fn store_later<E, B, T>(shared: Arc<Shared<E, B, T>>, write: Write)
where
    T: Table,
{
    for _ in 0..STORE_TRIES {
        if shared.stop.is_cancelled() {
            break;
        }
        tokio::time::sleep(STORE_PAUSE).await;
        if commit(&shared, write.clone()).await.is_ok() {
            return;
        }
    }
    log::warn!(row = write.key.as_str(); "an outcome was not stored");
}

fn time<E, B, T>(shared: &Shared<E, B, T>) -> Time {
    Time { now: shared.now(), unix_ms: unix_millis() }
}

fn claim_request<E, B, T>(shared: &Shared<E, B, T>, call: &Call) -> Result<Request, Error> {
    let missing = |message: &str| Err(Error::new(Kind::IdempotencyKeyMissing, message));
    let Some(key) = &call.idempotency_key else {
        return missing("a request that is not idempotent needs the field Idempotency-Key");
    };
    if key.is_empty() || key.len() > KEY_BYTES {
        return missing("the idempotency key must have 1 to 255 bytes");
    }
    let (workspace, service) = (&call.caller.workspace, &call.service.name);
    let digest = digest(&[key.as_bytes()]);
    Ok(Request {
        // The first digits spread the rows, so that hosts can share their removal.
        key: format!("claims/{}/{workspace}.{service}.{digest}", &digest[..2]),
        hash: digest_message(&call.message),
        attempt: uuid::Uuid::now_v7().simple().to_string(),
        host: shared.settings.host.clone(),
        timeout: call.service.timeout,
    })
}

fn digest_message(message: &Message) -> String {
    digest(&[message.method.as_str().as_bytes(), message.path.as_bytes(), &message.body])
}

fn digest(parts: &[&[u8]]) -> String {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hex::encode(hash.finalize())
}

/// Sends to the first instance that can be reached. Only an instance to which no
/// connection came about is passed over.
async fn send_once<E, B, T>(
    shared: &Shared<E, B, T>,
    call: &Call,
    record: &mut Record,
) -> Result<Response<Bytes>, Fault>
where
    B: Backend,
{
    for (name, address) in instances(shared, call) {
        match send(shared, call, &name, address, record).await {
            Err(Fault::CONNECT) => {}
            other => return other,
        }
    }
    Err(Fault::CONNECT)
}

async fn send<E, B, T>(
    shared: &Shared<E, B, T>,
    call: &Call,
    name: &Upstream,
    address: SocketAddr,
    record: &mut Record,
) -> Result<Response<Bytes>, Fault>
where
    B: Backend,
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
/// availability zone first, and spread by the request's id.
fn instances<E, B, T>(shared: &Shared<E, B, T>, call: &Call) -> Vec<(Upstream, SocketAddr)> {
    let key = rendezvous::hash_parts(&[&call.id]);
    let mut list: Vec<_> = call.service.upstreams.iter().collect();
    list.sort_by_key(|it| {
        let elsewhere = it.zone != shared.settings.zone;
        (elsewhere, std::cmp::Reverse(rendezvous::weight(key, it.name.as_str())))
    });
    list.into_iter().map(|it| (it.name.clone(), it.address)).collect()
}

async fn read<E, B, T>(shared: &Shared<E, B, T>, key: &str) -> Result<Option<Row>, Fault>
where
    T: Table,
{
    let result = shared.table.read(key).await;
    count(shared, result.is_ok());
    result
}

async fn commit<E, B, T>(shared: &Shared<E, B, T>, write: Write) -> Result<Outcome, Fault>
where
    T: Table,
{
    let result = shared.table.commit(&Transaction { writes: vec![write] }).await;
    count(shared, result.is_ok());
    result
}

fn count<E, B, T>(shared: &Shared<E, B, T>, ok: bool) {
    let outcome = if ok { "ok" } else { "failed" };
    shared.metrics.table_calls.with_label_values(&[outcome]).inc();
}
