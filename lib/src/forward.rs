//! Forwards one request to an upstream, with retries, and its response back to the caller.
//!
//! [`Forwarder`] holds the state of the request across attempts. An attempt sends the request to
//! an upstream once; it counts as a run if the upstream may have run the request. Responses that
//! are streams of events are forwarded by `stream`.

use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header, response::Parts};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{Instant as TokioInstant, timeout, timeout_at};

use crate::{
    admission::{self, Pressure},
    attempt_connection::MAX_CONNECT_FAILURES,
    body_buffer::{self, Buffer, ReadError},
    cache_index::{Plan, Prompt, Source},
    codec::{Codec, Metadata, Outgoing, ResponseMetadata},
    configuration::{Configuration, KeyHolder, RetryPolicy, Route},
    connection::Connection,
    detour_link::Terms,
    fatal_prompt::Signs,
    fault::{Cause, Delivery, is_final},
    fleet::{Choice, Denial, Outcome, Query},
    gateway::{Gateway, lock},
    hop_by_hop,
    memory_account::{Charge, Owner},
    poison::{self, Fingerprint, Proof},
    prelude::*,
    response_body::Body,
    salt,
    stream::BEGIN_ANEW_WAIT,
};

/// Refusals by upstreams after which a request is refused.
const MAX_REFUSALS: u32 = 3;
/// Timeout of an attempt that may be followed by another one, as a multiple of the route's
/// latency objective.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 2;
/// Fraction of the time left within the latency objective that fetches of cached parts may take.
const FETCH_BUDGET_FRACTION: f64 = 0.4;
/// How many times what responses of its route take on average a request needs that comes while the host closes its
/// connections.
const CLOSING_MARGIN: u32 = 4;
/// Longest time from the head of an error response to the end of its body. The caller can do without the body
/// sooner than without another attempt.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest timeout of an attempt, unless less of the request's time is left.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);

/// A caller's request, with the route and configuration by which it is handled.
#[derive(Debug)]
pub struct Job {
    /// Metadata read from the header fields.
    pub metadata: Metadata,
    /// The route that matches the request.
    pub route: Arc<Route>,
    /// The service whose upstreams may handle it.
    pub service: Service,
    /// The configuration in force when the request arrived.
    pub configuration: Arc<Configuration>,
    /// The holder of the request's API key, or `None` if the route requires no key.
    pub key_holder: Option<Arc<KeyHolder>>,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Header fields as received.
    pub headers: HeaderMap,
    /// Hash of path, API key and body, which a repeat of this request shares.
    pub fingerprint: Fingerprint,
    /// The body.
    pub body: Bytes,
    /// When the request head had been read.
    pub received: TokioInstant,
    /// When the request times out.
    pub deadline: TokioInstant,
    /// What another host has said about the request, if it comes from one.
    pub terms: Option<Terms>,
}

impl Job {
    /// Returns the priority to send to the upstream; only requests for a model have one.
    fn upstream_priority(&self, callers_compete: bool) -> Option<u8> {
        self.metadata.model.as_ref()?;
        Some(self.admission_rank(callers_compete))
    }

    /// Returns the priority of the key holder, or else of the route.
    fn priority(&self) -> u8 {
        let key_priority = self.key_holder.as_ref().and_then(|it| it.priority);
        key_priority.unwrap_or(self.route.priority)
    }

    /// Returns the order in which requests of the service are served when there is too little room: the
    /// priority or, where callers compete for room, the urgency.
    fn admission_rank(&self, callers_compete: bool) -> u8 {
        match callers_compete {
            true => admission::urgency(self.priority(), self.route.priority),
            false => self.priority(),
        }
    }

    /// Returns the cache salt, which limits the request to cached parts of the same model and
    /// weights, and of the same workspace if that is isolated.
    fn salt(&self, weight_version: Option<u32>) -> Option<String> {
        let model = self.metadata.model.as_ref()?;
        let isolated = self.key_holder.as_ref().filter(|it| it.isolated);
        Some(salt::build(model, weight_version?, isolated.map(|it| &it.workspace)))
    }

    /// Returns the session key: a hash of the last prompt part that other requests share. Requests
    /// with the same key belong to one session. The very last part is the caller's own; it is used
    /// only if there is no other.
    pub fn session_key(&self) -> Option<u64> {
        let parts = &self.metadata.parts;
        let shared = parts.len().checked_sub(2).and_then(|at| parts.get(at)).or(parts.last())?;
        Some(crate::rendezvous::hash_parts(&["session", &shared.id]))
    }

    /// Returns the keys of the prompt parts that other requests may share: all but the last one.
    pub fn shared_parts(&self) -> poison::Keys {
        let parts = self.metadata.parts.split_last().map_or(&[][..], |it| it.1);
        parts.iter().take(poison::MAX_REQUEST_PARTS).map(|it| poison::Key::new(&it.id)).collect()
    }

    /// Returns how long the request may wait at an upstream before it starts: its caller leaves then.
    fn max_wait(&self) -> Duration {
        match self.route.retry_policy {
            RetryPolicy::Stream { .. } => self.time_left().min(self.route.stream_patience()),
            RetryPolicy::Idempotent | RetryPolicy::AtMostOnce => self.time_left(),
        }
    }

    /// Returns the time until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(TokioInstant::now())
    }
}

/// An attempt that counts as in flight at its upstream until it is completed. Dropping it
/// earlier reports [`Outcome::Cancelled`].
pub(crate) struct InFlightAttempt<C>
where
    C: Codec,
{
    pub(crate) gateway: Arc<Gateway<C>>,
    pub(crate) job: Arc<Job>,
    pub(crate) choice: Choice,
    pub(crate) completed: bool,
}

impl<C> InFlightAttempt<C>
where
    C: Codec,
{
    /// Reports the outcome, which ends the attempt's count as in flight.
    pub(crate) fn complete(mut self, outcome: Outcome) {
        self.completed = true;
        self.report(outcome);
    }

    fn report(&self, outcome: Outcome) {
        let (service, route) = (&self.job.service, &self.job.route.name);
        self.gateway.record_build_outcome(service, route, &self.choice.build, outcome);
        self.gateway.record_outcome(
            &self.job.configuration,
            &self.job.service,
            &self.choice,
            outcome,
        );
    }
}

impl<C> Drop for InFlightAttempt<C>
where
    C: Codec,
{
    fn drop(&mut self) {
        if !self.completed {
            self.report(Outcome::Cancelled);
        }
    }
}

/// A response whose head was received and checked; its body is still to be read.
pub(crate) struct UpstreamResponse<C>
where
    C: Codec,
{
    pub(crate) attempt: InFlightAttempt<C>,
    pub(crate) connection: Connection,
    pub(crate) head: Parts,
    pub(crate) body: Incoming,
    pub(crate) started: TokioInstant,
    /// When the head was received.
    pub(crate) head_at: TokioInstant,
    /// Whether the upstream turned the request away and asked for a pause, without the statement that
    /// the request did not run.
    pub(crate) pause_requested: bool,
}

/// An attempt that gave no response for the caller.
pub(crate) enum AttemptError {
    /// Another attempt may follow.
    Retry,
    /// The request fails with this error.
    Fail(Error),
}

/// Forwards one request and holds its state across attempts.
pub struct Forwarder<C>
where
    C: Codec,
{
    pub(crate) gateway: Arc<Gateway<C>>,
    pub(crate) job: Arc<Job>,
    /// The request's body, empty once no attempt can follow.
    pub(crate) body: Bytes,
    /// Whether the body was let go although another attempt might have followed.
    pub(crate) is_body_released: bool,
    pub(crate) session_key: Option<u64>,
    /// The prompt parts that other requests may share.
    pub(crate) shared_parts: poison::Keys,
    /// Whether the current attempt is to show whether the request still crashes upstreams.
    pub(crate) is_trial: bool,
    /// Whether it was admitted as a trial and nothing was sent since.
    pub(crate) has_unsent_trial: bool,
    /// Upstreams that get no further attempt.
    pub(crate) tried: SmallVec<[Upstream; 4]>,
    /// Attempts that reached an upstream, whether it ran the request or not.
    pub(crate) times_sent: u32,
    /// Attempts in which an upstream may have run the request.
    pub(crate) runs: u32,
    /// Attempts that upstreams refused.
    pub(crate) refusals: u32,
    /// Attempts for which no usable connection was found.
    pub(crate) connect_failures: u32,
    /// Whether the last attempt ended because the service is out of this host's reach.
    pub(crate) out_of_reach: bool,
    /// Whether no other host takes the request, or it comes from another host.
    pub(crate) stays_here: bool,
    /// Whether the current attempt needs an open connection: new ones are known to fail.
    pub(crate) needs_open_connection: bool,
    /// The last error response of an upstream, returned to the caller if all retries fail.
    pub(crate) failure: Option<Response<Body>>,
    /// Where the last attempt was told to fetch prompt parts from and to save them.
    pub(crate) cache_plan: Option<Plan>,
    /// Whether an upstream has been chosen at least once.
    pub(crate) placed: bool,
    /// Whether the wait for the first token has been reported.
    pub(crate) wait_reported: bool,
    /// The build at which the stream began, once it has. Only upstreams of this build can go on with it.
    pub(crate) build: Option<Build>,
    /// Whether the stream began at an upstream whose build is not known, so that no other one can go on with it.
    pub(crate) is_build_unknown: bool,
    /// Whether the caller got an event without a numeric id. The stream is not resumed then: the next
    /// run might send that event again.
    pub(crate) unnumbered_sent: bool,
}

impl<C> Drop for Forwarder<C>
where
    C: Codec,
{
    fn drop(&mut self) {
        self.return_unsent_trial();
        // A request that ended within the latency objective without a first token, such as one
        // whose caller left early, says nothing about the load.
        if self.placed && self.job.received.elapsed() > self.job.route.latency_objective {
            self.report_wait();
        }
    }
}

impl<C> Forwarder<C>
where
    C: Codec,
{
    /// Creates the state of a request that has not been sent yet.
    pub fn new(gateway: Arc<Gateway<C>>, mut job: Job) -> Self {
        let body = std::mem::take(&mut job.body);
        let (session_key, shared_parts) = (job.session_key(), job.shared_parts());
        let (runs, times_sent) = job.terms.map_or((0, 0), |it| (it.runs, it.arrivals));
        Forwarder {
            gateway,
            body,
            is_body_released: false,
            session_key,
            shared_parts,
            is_trial: false,
            has_unsent_trial: false,
            tried: SmallVec::new(),
            times_sent,
            runs,
            refusals: 0,
            connect_failures: 0,
            out_of_reach: false,
            stays_here: job.terms.is_some(),
            needs_open_connection: false,
            failure: None,
            cache_plan: None,
            placed: false,
            wait_reported: false,
            build: None,
            is_build_unknown: false,
            unnumbered_sent: false,
            job: Arc::new(job),
        }
    }

    /// Reports the request's wait for its first token to the fleet. Later calls do nothing.
    pub(crate) fn report_wait(&mut self) {
        if std::mem::replace(&mut self.wait_reported, true) || self.job.metadata.model.is_none() {
            return;
        }
        let (job, now) = (&self.job, self.gateway.now());
        let waited = job.received.elapsed();
        let mut fleet = self.gateway.fleet();
        let rank = job.admission_rank(self.gateway.host_settings.callers_compete);
        fleet.record_wait(now, &job.service, rank, waited, job.route.latency_objective);
    }

    /// Sends the request, with retries, and returns the response for the caller.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller if no upstream gave a response.
    pub async fn run(mut self) -> Result<Response<Body>, Error> {
        match self.job.terms {
            Some(terms) => self.check_reach(terms)?,
            // The host that a request comes from has counted it.
            None => self.gateway.count_request(&self.job.service),
        }
        self.prepare_resumption().await?;
        loop {
            let upstream_response = match self.send_with_retries(None).await {
                Ok(upstream_response) => upstream_response,
                Err(_) if self.out_of_reach && !self.stays_here => match self.take_detour().await {
                    Ok(Some(response)) => return Ok(response),
                    Ok(None) => {
                        self.stays_here = true;
                        continue;
                    }
                    Err(err) => return self.failure.take().ok_or(err),
                },
                Err(err) => return self.failure.take().ok_or(err),
            };
            let streamed = matches!(self.job.route.retry_policy, RetryPolicy::Stream { .. });
            if streamed && upstream_response.head.status == StatusCode::OK {
                return Ok(self.forward_stream(upstream_response));
            }
            let charge = match body_buffer::large_length(&upstream_response.body) {
                None => None,
                Some(length) => match self.gateway.memory.try_charge(Owner::Responses, length) {
                    None if upstream_response.head.status.is_success() => {
                        return Ok(self.pass_through(upstream_response));
                    }
                    charge => charge,
                },
            };
            match self.buffer_response(upstream_response, charge).await {
                Ok(Some(response)) => return Ok(response),
                Ok(None) => {}
                Err(err) => return self.failure.take().ok_or(err),
            }
        }
    }

    /// Sends the request to one upstream after another until one returns a valid response
    /// head. A stream is resumed after the event `last_event_id`, if there is one.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller once no further attempt is allowed.
    pub(crate) async fn send_with_retries(
        &mut self,
        last_event_id: Option<u64>,
    ) -> Result<UpstreamResponse<C>, Error> {
        loop {
            self.gateway.wait_for_causes(&self.crash_keys()).await;
            if self.job.time_left().is_zero() {
                return Err(self.deadline_error());
            }
            // A caller that has part of the stream gets what there is time for.
            if last_event_id.is_none() {
                self.check_time_left()?;
            }
            self.check_admission()?;
            let allowed = self.allowed_upstreams();
            self.needs_open_connection = allowed.is_some();
            let choice = self.choose(allowed.as_deref());
            self.out_of_reach = matches!(choice, Err(Denial::Unreachable(_)));
            let choice = choice.map_err(|denial| self.denial_error(denial))?;
            self.placed = true;
            let attempt = InFlightAttempt {
                gateway: self.gateway.clone(),
                job: self.job.clone(),
                choice,
                completed: false,
            };
            match self.send_once(attempt, last_event_id).await {
                Ok(upstream_response) => return Ok(upstream_response),
                Err(AttemptError::Retry) => {}
                Err(AttemptError::Fail(err)) => return Err(err),
            }
        }
    }

    /// Checks that the response can end in the time that is left to the request, and to this host if it shuts
    /// down.
    fn check_time_left(&self) -> Result<(), Error> {
        let (left, route) = (self.job.time_left(), self.job.route.name.as_str());
        let shutdown_left = self.gateway.shutdown_left();
        let answer_times = lock(&self.gateway.answer_times);
        if self.runs > 0 {
            let left = shutdown_left.map_or(left, |it| it.min(left));
            return match answer_times.may_end_within(route, left) {
                true => Ok(()),
                false => Err(self.deadline_error()),
            };
        }
        let Some(shutdown_left) = shutdown_left.filter(|it| *it < left) else { return Ok(()) };
        // Few requests still come once the host closes its connections, and each of them can go elsewhere.
        let is_closing = self.gateway.closing.is_cancelled();
        let margin = if is_closing { CLOSING_MARGIN } else { 1 };
        let is_late = answer_times.mean(route).map_or(is_closing, |it| it * margin > shutdown_left);
        match is_late {
            true => Err(Error::new(Kind::ShuttingDown, "this host ends before the request may")
                .with_retry_after(BEGIN_ANEW_WAIT)),
            false => Ok(()),
        }
    }

    /// Chooses an upstream, with a preference for one whose zone holds cached parts of the prompt.
    fn choose(&self, allowed: Option<&[Upstream]>) -> Result<Choice, Denial> {
        let job = &self.job;
        let cached = self.cached_source();
        let query = Query {
            service: &job.service,
            model: job.metadata.model.as_ref(),
            session: self.session_key,
            cached: cached.as_ref(),
            tokens: job.metadata.prompt_tokens.saturating_add(job.metadata.max_answer_tokens),
            // What the caller has of a resumed stream would be lost.
            admitted: self.placed || self.build.is_some(),
            priority: job.admission_rank(self.gateway.host_settings.callers_compete),
            request_hash: crate::rendezvous::hash_parts(&["admission", &job.metadata.id]),
            max_wait: job.max_wait(),
            build: self.build.as_ref(),
            connected: allowed,
            tried: &self.tried,
        };
        self.gateway.choose(&job.configuration, &query)
    }

    /// Returns where the longest cached part of the prompt can be fetched from, for the weight version
    /// that most engines have or will have.
    fn cached_source(&self) -> Option<Source> {
        let job = &self.job;
        let engine = job.configuration.services.get(&job.service)?.engine.as_ref()?;
        let version = self.gateway.target_or_any_weight_version(job.metadata.model.as_ref())?;
        let salt = job.salt(Some(version))?;
        self.gateway.cache_index().longest_part_source(
            self.gateway.now(),
            &salt,
            &job.metadata.parts,
            engine.token_bytes,
        )
    }

    /// Sends the request to the chosen upstream and waits for the response head.
    async fn send_once(
        &mut self,
        attempt: InFlightAttempt<C>,
        last_event_id: Option<u64>,
    ) -> Result<UpstreamResponse<C>, AttemptError> {
        let choice = attempt.choice.clone();
        let (mut connection, pooled) = match self.connect(&choice).await {
            Ok(connection) => connection,
            Err(err) => return Err(self.handle_unreachable(attempt, err)),
        };
        if let Some(obstacle) = self.gateway.obstacle(&choice, self.job.metadata.model.as_ref()) {
            self.log_attempt(&choice, obstacle.name());
            if obstacle.keeps_connection() {
                let address = choice.incarnation.address;
                self.gateway.pool().put_back(&choice.id, address, connection);
            }
            attempt.complete(Outcome::Cancelled);
            return Err(AttemptError::Retry);
        }
        if self.is_fatal() {
            self.log_attempt(&choice, "not_sent_fatal");
            let address = choice.incarnation.address;
            self.gateway.pool().put_back(&choice.id, address, connection);
            attempt.complete(Outcome::Cancelled);
            return Err(AttemptError::Retry);
        }
        if self.times_sent > 0 && !self.gateway.try_acquire_retry(&self.job.service) {
            self.log_attempt(&choice, "resend_quota_used_up");
            return Err(AttemptError::Fail(self.exhausted_error(Kind::Overloaded)));
        }
        let (started, sent_at) = (TokioInstant::now(), self.gateway.now());
        let request = self.build_request(&choice, last_event_id).map_err(AttemptError::Fail)?;
        let limit = self.attempt_timeout();
        let idle_since = connection.idle_since();
        self.has_unsent_trial = false;
        let sent = tokio::select! {
            sent = timeout(limit, connection.send(request)) => sent,
            () = self.wait_fatal() => return Err(self.withdraw(attempt)),
        };
        let Ok(sent) = sent else {
            self.times_sent += 1;
            self.runs += 1;
            self.log_attempt(&choice, "silent");
            attempt.complete(Outcome::Failed);
            self.tried.push(choice.id);
            let retry = self.may_retry() && !self.job.time_left().is_zero();
            return Err(if retry {
                AttemptError::Retry
            } else {
                AttemptError::Fail(self.deadline_error())
            });
        };
        match sent {
            Ok(response) => self.check_head(attempt, connection, response, started, sent_at),
            Err(err) if err.0.delivery == Delivery::NotSent => {
                // The upstream had closed the pooled connection; nothing was written.
                self.connect_failures += 1;
                Err(self.retry_or_refuse(
                    self.connect_failures < MAX_CONNECT_FAILURES,
                    Kind::NoUpstream,
                ))
            }
            Err(err) => {
                let is_break = err.0.cause == Cause::Broken;
                let silence = Some(idle_since.elapsed());
                let signs = Signs { is_break, pooled, ran: None, silence };
                Err(self.handle_break(attempt, signs))
            }
        }
    }

    /// Checks a response head. After a refusal, another upstream may be tried. A response to
    /// another request, or a successful one without a signature, is treated like a broken
    /// connection.
    fn check_head(
        &mut self,
        attempt: InFlightAttempt<C>,
        connection: Connection,
        response: Response<Incoming>,
        started: TokioInstant,
        sent_at: Instant,
    ) -> Result<UpstreamResponse<C>, AttemptError> {
        self.times_sent += 1;
        self.gateway.record_heard();
        let (head, body) = response.into_parts();
        let metadata = self.gateway.codec.parse_response(head.status, &head.headers);
        let choice = attempt.choice.clone();
        let request = self.job.metadata.id.as_str();
        // What it says of the upstream holds in any case.
        let pause_requested = self.gateway.apply_notices(
            &choice.id,
            choice.incarnation,
            request,
            head.status,
            &metadata,
        );
        let answers = metadata.signed && metadata.id.as_ref() == Some(&self.job.metadata.id);
        let sent_at = answers.then_some(sent_at);
        let incarnation = choice.incarnation;
        self.gateway.apply_rate_limit(&choice.id, incarnation, request, sent_at, &metadata);
        // The rest of a response to another request does not concern this one, also not a refusal. Upstreams
        // repeat the id of each request that has one, so that a refusal without it may be of any request.
        let is_refusal = metadata.not_run || metadata.misdirected;
        let wrong_id = match &metadata.id {
            Some(id) => *id != self.job.metadata.id,
            None => is_refusal && !self.job.metadata.id.is_empty(),
        };
        if wrong_id || !is_final(head.status) {
            return Err(self.handle_invalid_head(attempt, head.status, wrong_id, metadata.signed));
        }
        self.record_weight_version(&choice, &metadata);
        // The chosen upstream itself also rejects a request as misdirected if it does not have
        // the requested weights.
        let same_upstream = metadata.upstream.as_deref() == Some(choice.id.as_str());
        if metadata.misdirected || (metadata.not_run && head.status != StatusCode::BAD_REQUEST) {
            let address_reused = metadata.misdirected && !same_upstream;
            let shows_weights = metadata.weight_version.is_some();
            if let (true, true, false, Some(model)) =
                (metadata.misdirected, same_upstream, shows_weights, &self.job.metadata.model)
            {
                self.gateway.fleet().assume_newest_weights(&choice.id, model);
            }
            let (name, outcome) = match () {
                () if address_reused => ("moved", Outcome::AddressReused),
                () if pause_requested => ("paused", Outcome::Paused),
                () => ("refused", Outcome::Refused),
            };
            self.log_attempt(&choice, name);
            attempt.complete(outcome);
            self.tried.push(choice.id);
            self.refusals += 1;
            return Err(self.retry_or_refuse(self.refusals < MAX_REFUSALS, Kind::Overloaded));
        }
        if head.status.is_success() && !metadata.signed {
            return Err(self.handle_invalid_head(attempt, head.status, wrong_id, metadata.signed));
        }
        self.runs += 1;
        if !self.may_retry() {
            self.body = Bytes::new();
        }
        let head_at = TokioInstant::now();
        Ok(UpstreamResponse { attempt, connection, head, body, started, head_at, pause_requested })
    }

    /// Handles a response head that is unsigned, for another request, or has a status that ends no exchange.
    fn handle_invalid_head(
        &mut self,
        attempt: InFlightAttempt<C>,
        status: StatusCode,
        wrong_id: bool,
        signed: bool,
    ) -> AttemptError {
        log::warn!(request = self.job.metadata.id.as_str(), upstream = attempt.choice.id.as_str(),
            status = status.as_u16(), strange = wrong_id, signed = signed;
            "response is unsigned or for another request");
        // Counted again in `handle_break`.
        self.times_sent -= 1;
        self.handle_break(attempt, Signs::INVALID_RESPONSE)
    }

    /// Handles a connection that broke, or gave no valid response, after the upstream may have run
    /// the request.
    fn handle_break(&mut self, attempt: InFlightAttempt<C>, signs: Signs) -> AttemptError {
        self.times_sent += 1;
        self.runs += 1;
        let id = attempt.choice.id.clone();
        self.log_attempt(&attempt.choice, "broken");
        self.report_break(&attempt.choice, signs);
        if signs.pooled {
            // Possibly only the pooled connection was closed, so this does not count against
            // the upstream. It stays eligible, and the next attempt opens a new connection.
            self.gateway.pool().remove(&id);
            attempt.complete(Outcome::Cancelled);
        } else {
            attempt.complete(Outcome::Broken);
            self.tried.push(id);
        }
        if self.may_retry() {
            return AttemptError::Retry;
        }
        let kind = match self.job.route.retry_policy {
            RetryPolicy::AtMostOnce => Kind::OutcomeUnknown,
            _ => Kind::UpstreamFailed,
        };
        AttemptError::Fail(Error::new(kind, "the upstream broke off"))
    }

    /// Reads a response body to its end. Returns `None` if another attempt should follow.
    async fn buffer_response(
        &mut self,
        upstream_response: UpstreamResponse<C>,
        charge: Option<Charge>,
    ) -> Result<Option<Response<Body>>, Error> {
        let UpstreamResponse { attempt, connection, head, body, started, head_at, pause_requested } =
            upstream_response;
        let mut buffer = Buffer::for_response(&self.gateway.memory, charge);
        let mut read_deadline = self.job.deadline;
        if !head.status.is_success() {
            buffer = buffer.with_error_limit(&body);
            read_deadline = read_deadline.min(head_at + ERROR_BODY_TIMEOUT);
        }
        let read = tokio::select! {
            read = timeout_at(read_deadline, buffer.read(body)) => read,
            () = self.wait_fatal() => {
                // Both are counted again in `withdraw`.
                self.times_sent -= 1;
                self.runs -= 1;
                let AttemptError::Fail(err) = self.withdraw(attempt) else { return Ok(None) };
                return Err(err);
            }
        };
        let read = match read {
            Err(_) if read_deadline == self.job.deadline => {
                attempt.complete(Outcome::Failed);
                return Err(self.deadline_error());
            }
            Err(_) => Err(ReadError::Stalled),
            Ok(read) => read,
        };
        let read = match read {
            Ok(read) => read,
            Err(err) => {
                log::info!(request = self.job.metadata.id.as_str(),
                    upstream = attempt.choice.id.as_str(), status = head.status.as_u16(),
                    error = err.to_string().as_str(); "response body cannot be read");
                // Both are counted again in `handle_break`.
                self.times_sent -= 1;
                self.runs -= 1;
                let silence = Some(head_at.elapsed());
                let is_break = matches!(err, ReadError::Broken);
                let signs = Signs { is_break, pooled: false, ran: None, silence };
                return match self.handle_break(attempt, signs) {
                    AttemptError::Retry => Ok(None),
                    AttemptError::Fail(err) => Err(err),
                };
            }
        };
        let choice = attempt.choice.clone();
        // With an error, the upstream may never have looked at the request.
        if head.status.is_success() {
            self.gateway.record_answer(&self.shared_parts, Proof::Whole);
        }
        if is_whole_answer(head.status) {
            self.gateway.record_whole_answer(self.job.fingerprint);
        }
        self.gateway.pool().put(&choice.id, choice.incarnation.address, connection, &head.headers);
        let response = self.build_response(&head, Body::Buffered(Full::new(read)));
        if !head.status.is_server_error() {
            if head.status.is_success() {
                self.record_answer_time(started.elapsed());
            }
            attempt.complete(Outcome::Served(started.elapsed()));
            return Ok(Some(response));
        }
        self.log_attempt(&choice, if pause_requested { "paused" } else { "failed" });
        attempt.complete(if pause_requested { Outcome::Paused } else { Outcome::Failed });
        let other_is_better = pause_requested || self.gateway.fleet().fails_often(&choice.id);
        self.tried.push(choice.id);
        if self.job.route.retry_policy == RetryPolicy::Idempotent
            && self.may_retry()
            && (other_is_better || self.may_retry_error(started))
        {
            self.failure = Some(response);
            return Ok(None);
        }
        Ok(Some(response))
    }

    /// Records how long the whole response of an attempt took.
    pub(crate) fn record_answer_time(&self, time: Duration) {
        lock(&self.gateway.answer_times).record(&self.job.route.name, time);
    }

    /// Returns whether an idempotent request that an upstream answered with an error may run at another
    /// one, which may know better: once, and only if the time left allows for as long an attempt.
    fn may_retry_error(&self, started: TokioInstant) -> bool {
        self.failure.is_none()
            && self.job.time_left() > started.elapsed()
            && self.gateway.has_retry_after_error(&self.job.service)
    }

    /// Builds the request for the upstream, with the headers that the gateway adds.
    fn build_request(
        &mut self,
        choice: &Choice,
        last_event_id: Option<u64>,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let salt = self.job.salt(choice.weight_version);
        self.cache_plan = salt.as_deref().and_then(|salt| self.plan_cache(choice, salt));
        let outgoing = Outgoing {
            time_left: self.job.time_left(),
            upstream: choice.id.as_str(),
            workspace: self.job.key_holder.as_ref().map(|it| it.workspace.as_str()),
            priority: self.job.upstream_priority(self.gateway.host_settings.callers_compete),
            salt: salt.as_deref(),
            cache_plan: self.cache_plan.as_ref(),
            weight_version: choice.weight_version,
            last_event_id,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.job.method.clone();
        *request.uri_mut() = self.job.uri.clone();
        *request.headers_mut() = self.gateway.codec.upstream_headers(&self.job.headers, &outgoing);
        Ok(request)
    }

    /// Plans where the upstream fetches prompt parts from and where it saves them. Returns `None`
    /// for services without engines and while the cache stores may not be used.
    fn plan_cache(&self, choice: &Choice, salt: &str) -> Option<Plan> {
        let engine = self.job.configuration.services.get(&self.job.service)?.engine.as_ref()?;
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
            token_bytes: engine.token_bytes,
            engines: self.gateway.fleet().count_in_service(&self.job.service),
            fetch_budget: self.fetch_budget(),
        };
        Some(self.gateway.cache_index().plan(now, &prompt))
    }

    /// Returns how long a fetch of cached prompt parts may take, so that a prompt whose fetch is too
    /// slow can still be prefilled within the latency objective.
    fn fetch_budget(&self) -> Duration {
        let left = self.job.route.latency_objective.saturating_sub(self.job.received.elapsed());
        left.mul_f64(FETCH_BUDGET_FRACTION)
    }

    /// Records the weight version that the upstream's response reports.
    fn record_weight_version(&self, choice: &Choice, metadata: &ResponseMetadata) {
        if let (Some(model), Some(weight_version)) =
            (&self.job.metadata.model, metadata.weight_version)
        {
            self.gateway.fleet().record_weight_version(&choice.id, model, weight_version);
        }
    }

    /// Builds the caller's response from the upstream's head, without hop-by-hop headers.
    pub(crate) fn build_response(&self, head: &Parts, body: Body) -> Response<Body> {
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = hop_by_hop::strip(&head.headers);
        if self.job.method == Method::HEAD {
            keep_length(head, &mut response);
        }
        response
    }

    /// Returns how long to wait for the response head of an attempt.
    fn attempt_timeout(&self) -> Duration {
        let left = self.job.time_left();
        let last = self.runs + 1 >= self.job.route.max_runs;
        // Less than the time that is left is given only to idempotent requests that may run again:
        // a silent engine may still be processing the prompt, and one that has died breaks the
        // connection.
        if last || self.job.route.retry_policy != RetryPolicy::Idempotent {
            return left;
        }
        (self.job.route.latency_objective * ATTEMPT_TIMEOUT_FACTOR)
            .min(left / 2)
            .max(MIN_ATTEMPT_TIMEOUT)
            .min(left)
    }

    /// Returns whether the request may run once more after an attempt that may have run.
    pub(crate) fn may_retry(&self) -> bool {
        self.job.route.retry_policy.allows_rerun() && self.runs < self.job.route.max_runs
    }

    /// Returns a retry if `allowed`, or else the refusal of the request with an error of `kind`.
    pub(crate) fn retry_or_refuse(&self, allowed: bool, kind: Kind) -> AttemptError {
        if allowed { AttemptError::Retry } else { AttemptError::Fail(self.exhausted_error(kind)) }
    }

    /// Returns the error of a request for which no upstream was chosen.
    fn denial_error(&self, denial: Denial) -> Error {
        match denial {
            Denial::OtherBuilds if self.runs == 0 => {
                let message = "no upstream of the build that began the stream is left; begin anew";
                Error::new(Kind::StreamLost, message).with_retry_after(BEGIN_ANEW_WAIT)
            }
            Denial::OtherBuilds => self.refusal_error(Kind::NoUpstream, BEGIN_ANEW_WAIT),
            Denial::NoUpstream(wait) => self.refusal_error(Kind::NoUpstream, wait),
            Denial::Unreachable(wait) => self.refusal_error(Kind::Unreachable, wait),
            Denial::Full(wait) => self.refusal_error(Kind::Overloaded, wait),
            Denial::Paused(wait) | Denial::Limited(wait) if self.runs > 0 => {
                self.refusal_error(Kind::Overloaded, wait)
            }
            Denial::Paused(wait) => self.wait_error("have asked for a pause", wait),
            Denial::Limited(wait) => self.wait_error("limit what they take", wait),
            Denial::Shed(retry, Pressure { load, wait, .. }) => {
                let message = format!(
                    "engines have too much to do: load {load:.2}, first tokens after {wait:.2} of \
                     the promised time"
                );
                Error::new(Kind::Overloaded, message).with_retry_after(retry)
            }
        }
    }

    /// Returns the error of a request that was not sent because of what all upstreams of its service do.
    fn wait_error(&self, cause: &str, wait: Duration) -> Error {
        let (service, wait_ms) = (&self.job.service, wait.as_millis());
        let message = format!("all upstreams of service {service} {cause}, retry in {wait_ms} ms");
        Error::new(Kind::Overloaded, message).with_retry_after(wait)
    }

    /// Returns the error of a request that gets no further attempt, because its attempts or the
    /// retry budget of its service are used up.
    fn exhausted_error(&self, kind: Kind) -> Error {
        self.refusal_error(kind, Duration::from_millis(300))
    }

    /// Returns the error of a refused request, which may be retried after `wait`. If an upstream
    /// may have run it, the kind becomes [`Kind::UpstreamFailed`], because the kinds passed here
    /// tell the caller that it did not run.
    fn refusal_error(&self, kind: Kind, wait: Duration) -> Error {
        let message = match self.runs {
            0 => "no upstream takes the request now",
            _ => "an attempt failed, and no upstream takes another one now",
        };
        let arrived_from_here = self.job.terms.is_some_and(|it| self.times_sent > it.arrivals);
        let kind = match kind {
            _ if self.runs > 0 => Kind::UpstreamFailed,
            // The first host would not know of these attempts if it asked another host.
            Kind::Unreachable if arrived_from_here => Kind::Overloaded,
            kind => kind,
        };
        Error::new(kind, message).with_retry_after(wait)
    }

    /// Returns the error of a request whose deadline has passed.
    pub(crate) fn deadline_error(&self) -> Error {
        let kind = if self.runs == 0 { Kind::NotRun } else { Kind::TimedOut };
        Error::new(kind, "the request's time is over").with_retry_after(Duration::from_millis(100))
    }

    /// Logs how an attempt ended.
    pub(crate) fn log_attempt(&self, choice: &Choice, outcome: &str) {
        log::info!(request = self.job.metadata.id.as_str(), route = self.job.route.name.as_str(),
            upstream = choice.id.as_str(), build = choice.build.as_str(), chosen = choice.reason,
            outcome = outcome,
            arrivals = self.times_sent, runs = self.runs,
            left_ms = self.job.time_left().as_millis() as u64; "attempt ended");
    }
}

/// Returns whether a status shows that the upstream has run the request to its end. An upstream that turns requests away
/// has not, and one that fails may not have.
fn is_whole_answer(status: StatusCode) -> bool {
    let turns_away = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    !status.is_server_error() && !turns_away.contains(&status)
}

/// Gives a response whose body is not at hand the length that the upstream has announced.
pub(crate) fn keep_length(head: &Parts, response: &mut Response<Body>) {
    if let Some(length) = head.headers.get(header::CONTENT_LENGTH) {
        response.headers_mut().insert(header::CONTENT_LENGTH, length.clone());
    }
}
