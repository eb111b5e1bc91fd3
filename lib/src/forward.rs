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
    pub ask: Metadata,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that it goes to.
    pub service: Service,
    /// The configuration by which it is handled.
    pub deployment: Arc<Deployment>,
    /// The holder of its key.
    pub tenancy: Option<Arc<KeyHolder>>,
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
        Fingerprint::new(self.uri.path(), self.ask.key.as_deref(), &self.body)
    }

    fn urgency(&self) -> Option<u8> {
        self.ask.model.as_ref()?;
        Some(self.priority())
    }

    fn priority(&self) -> u8 {
        let own = self.tenancy.as_ref().and_then(|it| it.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Names the cache parts that this request may use: of its model and weights, and of its
    /// workspace alone where that is isolated.
    fn salt(&self, weights: Option<u32>) -> Option<String> {
        let model = self.ask.model.as_ref()?;
        let isolated = self.tenancy.as_ref().filter(|it| it.isolated);
        Some(salt::write(model, weights?, isolated.map(|it| &it.workspace)))
    }

    /// Returns the key of the session: of the last part that other requests share.
    pub fn session(&self) -> Option<u64> {
        let parts = &self.ask.parts;
        let shared = parts.len().checked_sub(2).and_then(|at| parts.get(at)).or(parts.last())?;
        Some(crate::rendezvous::key(&["session", &shared.id]))
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
            Body::Stream(pieces) => pieces.poll_recv(cx).map(|it| it.map(|it| it.map(Frame::data))),
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
    pub(crate) settled: bool,
}

impl<D> Placement<D>
where
    D: Codec,
{
    pub(crate) fn settle(mut self, outcome: Outcome) {
        self.settled = true;
        self.tell(outcome);
    }

    fn tell(&self, outcome: Outcome) {
        self.gateway.settle(&self.job.deployment, &self.job.service, &self.choice, outcome);
    }
}

impl<D> Drop for Placement<D>
where
    D: Codec,
{
    fn drop(&mut self) {
        if !self.settled {
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
    pub(crate) link: Connection,
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
    pub(crate) session: Option<u64>,
    pub(crate) tried: SmallVec<[Upstream; 4]>,
    /// Times it reached an upstream.
    pub(crate) arrivals: u32,
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
    pub(crate) waited: bool,
}

impl<D> Drop for Forwarder<D>
where
    D: Codec,
{
    fn drop(&mut self) {
        // A caller that left before it had waited for long says nothing.
        if self.placed && self.job.received.elapsed() > self.job.route.target {
            self.tell_wait();
        }
    }
}

impl<D> Forwarder<D>
where
    D: Codec,
{
    /// Starts the way of a request.
    pub fn new(gateway: Arc<Gateway<D>>, job: Job) -> Self {
        let session = job.session();
        Forwarder {
            gateway,
            job: Arc::new(job),
            session,
            tried: SmallVec::new(),
            arrivals: 0,
            runs: 0,
            refusals: 0,
            unreachable: 0,
            failure: None,
            plan: None,
            placed: false,
            waited: false,
        }
    }

    /// Tells how long the request has waited for its first token, once.
    pub(crate) fn tell_wait(&mut self) {
        if std::mem::replace(&mut self.waited, true) || self.job.ask.model.is_none() {
            return;
        }
        let (job, now) = (&self.job, self.gateway.now());
        let waited = job.received.elapsed();
        let mut fleet = self.gateway.fleet();
        fleet.waited(now, &job.service, job.priority(), waited, job.route.target);
    }

    /// Sends the request until an answer comes that the caller is to get.
    ///
    /// # Errors
    ///
    /// Returns what the caller is told where there is none.
    pub async fn run(mut self) -> Result<Response<Body>, Error> {
        self.gateway.count_request(&self.job.service);
        loop {
            let opened = match self.open(None).await {
                Ok(opened) => opened,
                Err(err) => return self.failure.take().ok_or(err),
            };
            let streamed = matches!(self.job.route.repeat, RetryPolicy::Stream { .. });
            if streamed && opened.head.status == StatusCode::OK {
                return Ok(self.stream(opened));
            }
            match self.whole(opened).await {
                Ok(Some(response)) => return Ok(response),
                Ok(None) => {}
                Err(err) => return self.failure.take().ok_or(err),
            }
        }
    }

    /// Sends the request until the head of an answer comes that is believed.
    pub(crate) async fn open(
        &mut self,
        last_event: Option<u64>,
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
                settled: false,
            };
            match self.attempt(placement, last_event).await {
                Ok(opened) => return Ok(opened),
                Err(Next::Again) => {}
                Err(Next::Over(err)) => return Err(err),
            }
        }
    }

    fn choose(&self) -> Result<Choice, Denial> {
        let job = &self.job;
        let near = self.gateway.newest_weights(job.ask.model.as_ref()).and_then(|weights| {
            let salt = job.salt(Some(weights))?;
            self.gateway.cache().zone(self.gateway.now(), &salt, &job.ask.parts)
        });
        let query = Query {
            service: &job.service,
            model: job.ask.model.as_ref(),
            session: self.session,
            near: near.as_ref(),
            tokens: job.ask.prompt_tokens.saturating_add(job.ask.answer_tokens),
            admitted: self.placed,
            priority: job.priority(),
            draw: crate::rendezvous::key(&["admission", &job.ask.id]),
            tried: &self.tried,
        };
        self.gateway.choose(&job.deployment, &query)
    }

    async fn attempt(
        &mut self,
        placement: Placement<D>,
        last_event: Option<u64>,
    ) -> Result<UpstreamResponse<D>, Next> {
        let choice = placement.choice.clone();
        let (mut link, kept) = match self.connect(&choice).await {
            Some(link) => link,
            None => {
                self.note(&choice, "unreachable");
                placement.settle(Outcome::Unreachable);
                self.tried.push(choice.id);
                self.unreachable += 1;
                return Err(self.after(self.unreachable < UNREACHABLE, Kind::NoUpstream));
            }
        };
        if self.arrivals > 0 && !self.gateway.may_resend(&self.job.service) {
            self.note(&choice, "resend_quota_used_up");
            return Err(Next::Over(self.exhausted(Kind::Overloaded)));
        }
        let started = Moment::now();
        let request = self.request(&choice, last_event).map_err(Next::Over)?;
        let wait = self.attempt_time();
        let sent = timeout(wait, link.send(request)).await;
        let Ok(sent) = sent else {
            self.arrivals += 1;
            self.runs += 1;
            self.note(&choice, "silent");
            placement.settle(Outcome::Failed);
            self.tried.push(choice.id);
            let again = self.may_run_again() && !self.job.left().is_zero();
            return Err(if again { Next::Again } else { Next::Over(self.late()) });
        };
        match sent {
            Ok(response) => self.judge(placement, link, response, started),
            Err(err) if err.0.reach == Delivery::NotSent => {
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
        link: Connection,
        response: Response<Incoming>,
        started: Moment,
    ) -> Result<UpstreamResponse<D>, Next> {
        self.arrivals += 1;
        let (head, body) = response.into_parts();
        let reply = self.gateway.dialect.reply(head.status, &head.headers);
        let choice = placement.choice.clone();
        self.learn(&choice, &reply);
        // The upstream that was meant turns away a request for weights that it does not have.
        let present = reply.upstream.as_deref() == Some(choice.id.as_str());
        if reply.moved || (reply.not_run && head.status != StatusCode::BAD_REQUEST) {
            let moved = reply.moved && !present;
            if let (true, true, Some(model)) = (reply.moved, present, &self.job.ask.model) {
                self.gateway.fleet().weights_differ(&choice.id, model);
            }
            self.note(&choice, if moved { "moved" } else { "refused" });
            placement.settle(if moved { Outcome::AddressReused } else { Outcome::Refused });
            self.tried.push(choice.id);
            self.refusals += 1;
            return Err(self.after(self.refusals < REFUSALS, Kind::Overloaded));
        }
        let strange = reply.id.as_ref().is_some_and(|it| *it != self.job.ask.id);
        if strange || (head.status.is_success() && !reply.signed) {
            log::warn!(request = self.job.ask.id.as_str(), upstream = choice.id.as_str(),
                strange = strange, signed = reply.signed; "answer is not believed");
            self.arrivals -= 1;
            return Err(self.broken(placement, false));
        }
        self.runs += 1;
        Ok(UpstreamResponse { placement, link, head, body, started })
    }

    /// Takes that a connection broke after the request may have been read.
    fn broken(&mut self, placement: Placement<D>, kept: bool) -> Next {
        self.arrivals += 1;
        self.runs += 1;
        let id = placement.choice.id.clone();
        self.note(&placement.choice, "broken");
        self.gateway.crashed(self.job.fingerprint(), &id);
        if kept {
            // It may only be the connection that was dropped, so the upstream is not blamed;
            // a new connection will show.
            self.gateway.pool().forget(&id);
            placement.settle(Outcome::Cancelled);
        } else {
            placement.settle(Outcome::Broken);
            self.tried.push(id);
        }
        if self.may_run_again() {
            return Next::Again;
        }
        let kind = match self.job.route.repeat {
            RetryPolicy::AtMostOnce => Kind::OutcomeUnknown,
            _ => Kind::UpstreamFailed,
        };
        Next::Over(Error::new(kind, "the upstream broke off"))
    }

    /// Reads an answer to its end; none where another attempt is to follow.
    async fn whole(
        &mut self,
        opened: UpstreamResponse<D>,
    ) -> Result<Option<Response<Body>>, Error> {
        let UpstreamResponse { placement, link, head, body, started } = opened;
        let read = Limited::new(body, ANSWER_BYTES).collect();
        let read = match timeout_at(self.job.deadline, read).await {
            Err(_) => {
                placement.settle(Outcome::Failed);
                return Err(self.late());
            }
            Ok(read) => read,
        };
        let Ok(read) = read else {
            self.arrivals -= 1;
            self.runs -= 1;
            return match self.broken(placement, false) {
                Next::Again => Ok(None),
                Next::Over(err) => Err(err),
            };
        };
        let choice = placement.choice.clone();
        self.gateway.cleared(self.job.fingerprint());
        self.gateway.pool().put(&choice.id, choice.address, link, &head.headers);
        let response = self.answer(&head, Body::Buffered(Full::new(read.to_bytes())));
        if !head.status.is_server_error() {
            placement.settle(Outcome::Served(started.elapsed()));
            return Ok(Some(response));
        }
        self.note(&choice, "failed");
        placement.settle(Outcome::Failed);
        let faulty = self.gateway.fleet().is_faulty(&choice.id);
        self.tried.push(choice.id);
        if faulty && self.job.route.repeat == RetryPolicy::Idempotent && self.may_run_again() {
            self.failure = Some(response);
            return Ok(None);
        }
        Ok(Some(response))
    }

    /// Finds a kept connection or makes a new one; tells whether it was kept.
    async fn connect(&self, choice: &Choice) -> Option<(Connection, bool)> {
        let most = match self.job.route.repeat.allowed() {
            true => Duration::MAX,
            false => ONCE_IDLE,
        };
        loop {
            let kept = self.gateway.pool().take(&choice.id, choice.address, most);
            let Some(mut kept) = kept else { break };
            if connection::is_ready(&mut kept).await {
                return Some((kept, true));
            }
        }
        let dialled = timeout(self.job.left(), Connection::dial(choice.address)).await;
        Some((dialled.ok()?.ok()?, false))
    }

    fn request(
        &mut self,
        choice: &Choice,
        last_event: Option<u64>,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let salt = self.job.salt(choice.weights);
        self.plan = salt.as_deref().and_then(|salt| self.plan(choice, salt));
        let outgoing = Outgoing {
            deadline: self.job.left(),
            upstream: choice.id.as_str(),
            workspace: self.job.tenancy.as_ref().map(|it| it.workspace.as_str()),
            urgency: self.job.urgency(),
            salt: salt.as_deref(),
            plan: self.plan.as_ref(),
            weights: choice.weights,
            last_event,
        };
        let mut request = Request::new(Full::new(self.job.body.clone()));
        *request.method_mut() = self.job.method.clone();
        *request.uri_mut() = self.job.uri.clone();
        *request.headers_mut() = self.gateway.dialect.outgoing(&self.job.headers, &outgoing);
        Ok(request)
    }

    /// Plans where the parts of the prompt come from and go to.
    fn plan(&self, choice: &Choice, salt: &str) -> Option<Plan> {
        self.job.deployment.services.get(&self.job.service)?.engine.as_ref()?;
        let (model, weights) = (self.job.ask.model.as_ref()?, choice.weights?);
        let now = self.gateway.now();
        self.gateway.fleet().namings.may_use_stores(now, model, weights).then_some(())?;
        let need =
            Prompt { salt, parts: &self.job.ask.parts, zone: &choice.zone, origin: choice.origin };
        Some(self.gateway.cache().plan(now, &need))
    }

    fn learn(&self, choice: &Choice, reply: &Reply) {
        if let (Some(model), Some(weights)) = (&self.job.ask.model, reply.weights) {
            self.gateway.fleet().weights_seen(&choice.id, model, weights);
        }
    }

    pub(crate) fn answer(&self, head: &Parts, body: Body) -> Response<Body> {
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
        if last || self.job.route.repeat != RetryPolicy::Idempotent {
            return left;
        }
        (self.job.route.target * PATIENCE).min(left / 2).max(ATTEMPT_MIN).min(left)
    }

    pub(crate) fn may_run_again(&self) -> bool {
        self.job.route.repeat.allowed() && self.runs < self.job.route.max_attempts
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

    pub(crate) fn note(&self, choice: &Choice, what: &str) {
        log::info!(request = self.job.ask.id.as_str(), route = self.job.route.name.as_str(),
            upstream = choice.id.as_str(), chosen = choice.reason, outcome = what,
            arrivals = self.arrivals, runs = self.runs,
            left_ms = self.job.left().as_millis() as u64; "attempt ended");
    }
}
