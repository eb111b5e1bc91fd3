//! One request's way to an upstream and its answer's way back.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header, response::Parts};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use thiserror::Error as ThisError;
use tokio::{
    sync::mpsc,
    time::{Instant as Moment, timeout, timeout_at},
};

use crate::{
    admission::Pressure,
    cache_index::{Plan, Prompt},
    codec::{Codec, Metadata, Outgoing, Reply},
    connection::{self, Connection},
    deployment::{Deployment, KeyHolder, RetryPolicy, Route},
    fault::Delivery,
    fleet::{Choice, Denial, Outcome, Query},
    gateway::Gateway,
    hop_by_hop,
    prelude::*,
    quarantine::Fingerprint,
    salt,
};

/// Idle time after which a kept connection carries no request that may run only once: the
/// other side may just be closing it.
const ONCE_IDLE: Duration = Duration::from_secs(2);
/// Upstreams that may turn one request away before it is refused.
const REFUSALS: u32 = 3;
/// Upstreams that may be unreachable before a request is refused.
const UNREACHABLE: u32 = 5;
/// Bytes of an answer that is not a stream.
const ANSWER_BYTES: usize = 8 << 20;
/// Times the target after which a silent attempt is given up where another may follow.
const PATIENCE: u32 = 2;
/// Least time for an attempt.
const ATTEMPT_MIN: Duration = Duration::from_millis(250);

/// A request as it came from the caller.
#[derive(Debug)]
pub struct Job {
    /// What its head says.
    pub metadata: Metadata,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that it goes to.
    pub service: Service,
    /// The configuration by which it is handled.
    pub deployment: Arc<Deployment>,
    /// The holder of its key.
    pub key_holder: Option<Arc<KeyHolder>>,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Header fields as they came.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When its head had been read.
    pub received: Moment,
    /// When it is given up.
    pub deadline: Moment,
}

impl Job {
    /// Returns what a repeat of this request has in common with it.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::new(self.uri.path(), self.metadata.key.as_deref(), &self.body)
    }

    fn urgency(&self) -> Option<u8> {
        self.metadata.model.as_ref()?;
        Some(self.priority())
    }

    fn priority(&self) -> u8 {
        let own = self.key_holder.as_ref().and_then(|it| it.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Names the cache parts that this request may use: of its model and weights, and of its
    /// workspace alone where that is isolated.
    fn salt(&self, weight_version: Option<u32>) -> Option<String> {
        let model = self.metadata.model.as_ref()?;
        let isolated = self.key_holder.as_ref().filter(|it| it.isolated);
        Some(salt::build(model, weight_version?, isolated.map(|it| &it.workspace)))
    }

    /// Returns the key of the session: of the last part that other requests share.
    pub fn session_key(&self) -> Option<u64> {
        let parts = &self.metadata.parts;
        let shared = parts.len().checked_sub(2).and_then(|at| parts.get(at)).or(parts.last())?;
        Some(crate::rendezvous::hash_parts(&["session", &shared.id]))
    }

    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Moment::now())
    }
}

/// An answer that was cut off; the connection to the caller ends with it.
#[derive(Clone, Copy, Debug, ThisError)]
#[error("the answer was cut off")]
pub struct Truncated;

/// Body of an answer to a caller.
#[derive(Debug)]
pub enum Body {
    /// All of it.
    Buffered(Full<Bytes>),
    /// Pieces as they come.
    Stream(mpsc::Receiver<Result<Bytes, Truncated>>),
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Body::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|_| Truncated),
            Body::Stream(chunks) => chunks.poll_recv(cx).map(|it| it.map(|it| it.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Buffered(body) if body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Buffered(body) => body.size_hint(),
            Body::Stream(_) => SizeHint::default(),
        }
    }
}

/// A request that counts as in flight at an upstream until it is settled.
pub(crate) struct Placement<D>
where
    D: Codec,
{
    pub(crate) gateway: Arc<Gateway<D>>,
    pub(crate) job: Arc<Job>,
    pub(crate) choice: Choice,
    pub(crate) completed: bool,
}

impl<D> Placement<D>
where
    D: Codec,
{
    pub(crate) fn complete(mut self, outcome: Outcome) {
        self.completed = true;
        self.tell(outcome);
    }

    fn tell(&self, outcome: Outcome) {
        self.gateway.record_outcome(&self.job.deployment, &self.job.service, &self.choice, outcome);
    }
}

impl<D> Drop for Placement<D>
where
    D: Codec,
{
    fn drop(&mut self) {
        if !self.completed {
            self.tell(Outcome::Cancelled);
        }
    }
}

/// An upstream's answer whose head has come and is believed.
pub(crate) struct UpstreamResponse<D>
where
    D: Codec,
{
    pub(crate) placement: Placement<D>,
    pub(crate) connection: Connection,
    pub(crate) head: Parts,
    pub(crate) body: Incoming,
    pub(crate) started: Moment,
}

/// What follows an attempt without an answer for the caller.
enum Next {
    /// Another attempt, if one is allowed.
    Again,
    /// None.
    Over(Error),
}

/// One request on its way.
pub struct Forwarder<D>
where
    D: Codec,
{
    pub(crate) gateway: Arc<Gateway<D>>,
    pub(crate) job: Arc<Job>,
    pub(crate) session_key: Option<u64>,
    pub(crate) tried: SmallVec<[Upstream; 4]>,
    /// Times it reached an upstream.
    pub(crate) times_sent: u32,
    /// Attempts that may have run.
    pub(crate) runs: u32,
    pub(crate) refusals: u32,
    pub(crate) unreachable: u32,
    /// The upstream's own failure, told when nothing better follows.
    pub(crate) failure: Option<Response<Body>>,
    /// Where the last attempt was to fetch and save parts of the prompt.
    pub(crate) plan: Option<Plan>,
    /// Whether an upstream was chosen for it.
    pub(crate) placed: bool,
    /// Whether its wait for the first token has been told.
    pub(crate) wait_reported: bool,
}

impl<D> Drop for Forwarder<D>
where
    D: Codec,
{
    fn drop(&mut self) {
        // A caller that left before it had waited for long says nothing.
        if self.placed && self.job.received.elapsed() > self.job.route.latency_target {
            self.report_wait();
        }
    }
}

impl<D> Forwarder<D>
where
    D: Codec,
{
    /// Starts the way of a request.
    pub fn new(gateway: Arc<Gateway<D>>, job: Job) -> Self {
        let session_key = job.session_key();
        Forwarder {
            gateway,
            job: Arc::new(job),
            session_key,
            tried: SmallVec::new(),
            times_sent: 0,
            runs: 0,
            refusals: 0,
            unreachable: 0,
            failure: None,
            plan: None,
            placed: false,
            wait_reported: false,
        }
    }

    /// Tells how long the request has waited for its first token, once.
    pub(crate) fn report_wait(&mut self) {
        if std::mem::replace(&mut self.wait_reported, true) || self.job.metadata.model.is_none() {
            return;
        }
        let (job, now) = (&self.job, self.gateway.now());
        let waited = job.received.elapsed();
        let mut fleet = self.gateway.fleet();
        fleet.record_wait(now, &job.service, job.priority(), waited, job.route.latency_target);
    }

    /// Sends the request until an answer comes that the caller is to get.
    ///
    /// # Errors
    ///
    /// Returns what the caller is told where there is none.
    pub async fn run(mut self) -> Result<Response<Body>, Error> {
        self.gateway.count_request(&self.job.service);
        loop {
            let upstream_response = match self.send_with_retries(None).await {
                Ok(upstream_response) => upstream_response,
                Err(err) => return self.failure.take().ok_or(err),
            };
            let streamed = matches!(self.job.route.retry_policy, RetryPolicy::Stream { .. });
            if streamed && upstream_response.head.status == StatusCode::OK {
                return Ok(self.forward_stream(upstream_response));
            }
            match self.whole(upstream_response).await {
                Ok(Some(response)) => return Ok(response),
                Ok(None) => {}
                Err(err) => return self.failure.take().ok_or(err),
            }
        }
    }

    /// Sends the request until the head of an answer comes that is believed.
    pub(crate) async fn send_with_retries(
        &mut self,
        last_event_id: Option<u64>,
    ) -> Result<UpstreamResponse<D>, Error> {
        loop {
            if self.job.left().is_zero() {
                return Err(self.late());
            }
            if self.gateway.is_quarantined(self.job.fingerprint()) {
                return Err(self.refused(Kind::Quarantined, Duration::from_secs(60)));
            }
            let choice = self.choose();
            let choice = choice.map_err(|denial| self.denied(denial))?;
            self.placed = true;
            let placement = Placement {
                gateway: self.gateway.clone(),
                job: self.job.clone(),
                choice,
                completed: false,
            };
            match self.attempt(placement, last_event_id).await {
                Ok(upstream_response) => return Ok(upstream_response),
                Err(Next::Again) => {}
                Err(Next::Over(err)) => return Err(err),
            }
        }
    }

    fn choose(&self) -> Result<Choice, Denial> {
        let job = &self.job;
        let cache_zone = self.gateway.newest_weight_version(job.metadata.model.as_ref()).and_then(
            |weight_version| {
                let salt = job.salt(Some(weight_version))?;
                self.gateway.cache_index().longest_part_zone(
                    self.gateway.now(),
                    &salt,
                    &job.metadata.parts,
                )
            },
        );
        let query = Query {
            service: &job.service,
            model: job.metadata.model.as_ref(),
            session: self.session_key,
            cache_zone: cache_zone.as_ref(),
            tokens: job.metadata.prompt_tokens.saturating_add(job.metadata.max_answer_tokens),
            admitted: self.placed,
            priority: job.priority(),
            request_hash: crate::rendezvous::hash_parts(&["admission", &job.metadata.id]),
            tried: &self.tried,
        };
        self.gateway.choose(&job.deployment, &query)
    }

    async fn attempt(
        &mut self,
        placement: Placement<D>,
        last_event_id: Option<u64>,
    ) -> Result<UpstreamResponse<D>, Next> {
        let choice = placement.choice.clone();
        let (mut connection, kept) = match self.connect(&choice).await {
            Some(connection) => connection,
            None => {
                self.log_attempt(&choice, "unreachable");
                placement.complete(Outcome::Unreachable);
                self.tried.push(choice.id);
                self.unreachable += 1;
                return Err(self.after(self.unreachable < UNREACHABLE, Kind::NoUpstream));
            }
        };
        if self.times_sent > 0 && !self.gateway.try_acquire_retry(&self.job.service) {
            self.log_attempt(&choice, "resend_quota_used_up");
            return Err(Next::Over(self.exhausted(Kind::Overloaded)));
        }
        let started = Moment::now();
        let request = self.request(&choice, last_event_id).map_err(Next::Over)?;
        let wait = self.attempt_time();
        let sent = timeout(wait, connection.send(request)).await;
        let Ok(sent) = sent else {
            self.times_sent += 1;
            self.runs += 1;
            self.log_attempt(&choice, "silent");
            placement.complete(Outcome::Failed);
            self.tried.push(choice.id);
            let again = self.may_retry() && !self.job.left().is_zero();
            return Err(if again { Next::Again } else { Next::Over(self.late()) });
        };
        match sent {
            Ok(response) => self.judge(placement, connection, response, started),
            Err(err) if err.0.delivery == Delivery::NotSent => {
                // The kept connection had been closed; nothing was written.
                self.unreachable += 1;
                Err(self.after(self.unreachable < UNREACHABLE, Kind::NoUpstream))
            }
            Err(_) => Err(self.broken(placement, kept)),
        }
    }

    /// Decides whether the head of an answer is believed.
    fn judge(
        &mut self,
        placement: Placement<D>,
        connection: Connection,
        response: Response<Incoming>,
        started: Moment,
    ) -> Result<UpstreamResponse<D>, Next> {
        self.times_sent += 1;
        let (head, body) = response.into_parts();
        let reply = self.gateway.codec.parse_reply(head.status, &head.headers);
        let choice = placement.choice.clone();
        self.learn(&choice, &reply);
        // The upstream that was meant turns away a request for weights that it does not have.
        let present = reply.upstream.as_deref() == Some(choice.id.as_str());
        if reply.misdirected || (reply.not_run && head.status != StatusCode::BAD_REQUEST) {
            let moved = reply.misdirected && !present;
            if let (true, true, Some(model)) =
                (reply.misdirected, present, &self.job.metadata.model)
            {
                self.gateway.fleet().assume_newest_weights(&choice.id, model);
            }
            self.log_attempt(&choice, if moved { "moved" } else { "refused" });
            placement.complete(if moved { Outcome::AddressReused } else { Outcome::Refused });
            self.tried.push(choice.id);
            self.refusals += 1;
            return Err(self.after(self.refusals < REFUSALS, Kind::Overloaded));
        }
        let strange = reply.id.as_ref().is_some_and(|it| *it != self.job.metadata.id);
        if strange || (head.status.is_success() && !reply.signed) {
            log::warn!(request = self.job.metadata.id.as_str(), upstream = choice.id.as_str(),
                strange = strange, signed = reply.signed; "answer is not believed");
            self.times_sent -= 1;
            return Err(self.broken(placement, false));
        }
        self.runs += 1;
        Ok(UpstreamResponse { placement, connection, head, body, started })
    }

    /// Takes that a connection broke after the request may have been read.
    fn broken(&mut self, placement: Placement<D>, kept: bool) -> Next {
        self.times_sent += 1;
        self.runs += 1;
        let id = placement.choice.id.clone();
        self.log_attempt(&placement.choice, "broken");
        self.gateway.record_crash(self.job.fingerprint(), &id);
        if kept {
            // It may only be the connection that was dropped, so the upstream is not blamed;
            // a new connection will show.
            self.gateway.pool().remove(&id);
            placement.complete(Outcome::Cancelled);
        } else {
            placement.complete(Outcome::Broken);
            self.tried.push(id);
        }
        if self.may_retry() {
            return Next::Again;
        }
        let kind = match self.job.route.retry_policy {
            RetryPolicy::AtMostOnce => Kind::OutcomeUnknown,
            _ => Kind::UpstreamFailed,
        };
        Next::Over(Error::new(kind, "the upstream broke off"))
    }

    /// Reads an answer to its end; none where another attempt is to follow.
    async fn whole(
        &mut self,
        upstream_response: UpstreamResponse<D>,
    ) -> Result<Option<Response<Body>>, Error> {
        let UpstreamResponse { placement, connection, head, body, started } = upstream_response;
        let read = Limited::new(body, ANSWER_BYTES).collect();
        let read = match timeout_at(self.job.deadline, read).await {
            Err(_) => {
                placement.complete(Outcome::Failed);
                return Err(self.late());
            }
            Ok(read) => read,
        };
        let Ok(read) = read else {
            self.times_sent -= 1;
            self.runs -= 1;
            return match self.broken(placement, false) {
                Next::Again => Ok(None),
                Next::Over(err) => Err(err),
            };
        };
        let choice = placement.choice.clone();
        self.gateway.clear_suspect(self.job.fingerprint());
        self.gateway.pool().put(&choice.id, choice.address, connection, &head.headers);
        let response = self.build_response(&head, Body::Buffered(Full::new(read.to_bytes())));
        if !head.status.is_server_error() {
            placement.complete(Outcome::Served(started.elapsed()));
            return Ok(Some(response));
        }
        self.log_attempt(&choice, "failed");
        placement.complete(Outcome::Failed);
        let faulty = self.gateway.fleet().is_faulty(&choice.id);
        self.tried.push(choice.id);
        if faulty && self.job.route.retry_policy == RetryPolicy::Idempotent && self.may_retry() {
            self.failure = Some(response);
            return Ok(None);
        }
        Ok(Some(response))
    }

    /// Finds a kept connection or makes a new one; tells whether it was kept.
    async fn connect(&self, choice: &Choice) -> Option<(Connection, bool)> {
        let most = match self.job.route.retry_policy.allows_rerun() {
            true => Duration::MAX,
            false => ONCE_IDLE,
        };
        loop {
            let kept = self.gateway.pool().take(&choice.id, choice.address, most);
            let Some(mut kept) = kept else { break };
            if connection::wait_ready(&mut kept).await {
                return Some((kept, true));
            }
        }
        let dialled = timeout(self.job.left(), Connection::connect(choice.address)).await;
        Some((dialled.ok()?.ok()?, false))
    }

    fn request(
        &mut self,
        choice: &Choice,
        last_event_id: Option<u64>,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let salt = self.job.salt(choice.weight_version);
        self.plan = salt.as_deref().and_then(|salt| self.plan(choice, salt));
        let outgoing = Outgoing {
            deadline: self.job.left(),
            upstream: choice.id.as_str(),
            workspace: self.job.key_holder.as_ref().map(|it| it.workspace.as_str()),
            urgency: self.job.urgency(),
            salt: salt.as_deref(),
            plan: self.plan.as_ref(),
            weight_version: choice.weight_version,
            last_event_id,
        };
        let mut request = Request::new(Full::new(self.job.body.clone()));
        *request.method_mut() = self.job.method.clone();
        *request.uri_mut() = self.job.uri.clone();
        *request.headers_mut() = self.gateway.codec.upstream_headers(&self.job.headers, &outgoing);
        Ok(request)
    }

    /// Plans where the parts of the prompt come from and go to.
    fn plan(&self, choice: &Choice, salt: &str) -> Option<Plan> {
        self.job.deployment.services.get(&self.job.service)?.engine.as_ref()?;
        let (model, weight_version) = (self.job.metadata.model.as_ref()?, choice.weight_version?);
        let now = self.gateway.now();
        self.gateway
            .fleet()
            .target_weights
            .may_use_cache_stores(now, model, weight_version)
            .then_some(())?;
        let prompt = Prompt {
            salt,
            parts: &self.job.metadata.parts,
            zone: &choice.zone,
            cache_source: choice.cache_source,
        };
        Some(self.gateway.cache_index().plan(now, &prompt))
    }

    fn learn(&self, choice: &Choice, reply: &Reply) {
        if let (Some(model), Some(weight_version)) =
            (&self.job.metadata.model, reply.weight_version)
        {
            self.gateway.fleet().record_weight_version(&choice.id, model, weight_version);
        }
    }

    pub(crate) fn build_response(&self, head: &Parts, body: Body) -> Response<Body> {
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = hop_by_hop::strip(&head.headers);
        if self.job.method == Method::HEAD
            && let Some(length) = head.headers.get(header::CONTENT_LENGTH)
        {
            response.headers_mut().insert(header::CONTENT_LENGTH, length.clone());
        }
        response
    }

    /// Returns how long an attempt may be silent.
    fn attempt_time(&self) -> Duration {
        let left = self.job.left();
        let last = self.runs + 1 >= self.job.route.max_attempts;
        // An engine that is silent may still be reading the prompt; one that is not there
        // breaks the connection.
        if last || self.job.route.retry_policy != RetryPolicy::Idempotent {
            return left;
        }
        (self.job.route.latency_target * PATIENCE).min(left / 2).max(ATTEMPT_MIN).min(left)
    }

    pub(crate) fn may_retry(&self) -> bool {
        self.job.route.retry_policy.allows_rerun() && self.runs < self.job.route.max_attempts
    }

    fn after(&self, allowed: bool, kind: Kind) -> Next {
        if allowed { Next::Again } else { Next::Over(self.exhausted(kind)) }
    }

    fn denied(&self, denial: Denial) -> Error {
        match denial {
            Denial::NoUpstream(wait) => self.refused(Kind::NoUpstream, wait),
            Denial::Full(wait) => self.refused(Kind::Overloaded, wait),
            Denial::Shed(retry, Pressure { load, wait, .. }) => {
                let message = format!(
                    "engines have too much to do: load {load:.2}, first tokens after {wait:.2} of \
                     the promised time"
                );
                Error::new(Kind::Overloaded, message).retry_after(retry)
            }
        }
    }

    fn exhausted(&self, kind: Kind) -> Error {
        self.refused(kind, Duration::from_millis(300))
    }

    /// Refuses the request; only one that cannot have run is told so.
    fn refused(&self, kind: Kind, wait: Duration) -> Error {
        let message = match self.runs {
            0 => "no upstream takes the request now",
            _ => "an attempt failed, and no upstream takes another one now",
        };
        let kind = if self.runs == 0 { kind } else { Kind::UpstreamFailed };
        Error::new(kind, message).retry_after(wait)
    }

    fn late(&self) -> Error {
        let kind = if self.runs == 0 { Kind::NotRun } else { Kind::TimedOut };
        Error::new(kind, "the request's time is over").retry_after(Duration::from_millis(100))
    }

    pub(crate) fn log_attempt(&self, choice: &Choice, what: &str) {
        log::info!(request = self.job.metadata.id.as_str(), route = self.job.route.name.as_str(),
            upstream = choice.id.as_str(), chosen = choice.reason, outcome = what,
            arrivals = self.times_sent, runs = self.runs,
            left_ms = self.job.left().as_millis() as u64; "attempt ended");
    }
}
