//! Forwards responses that are streams of server-sent events: complete events are passed on as
//! they arrive, and a broken stream is resumed at another upstream if the route allows it. Also finds
//! out where a stream can go on that the caller resumes.

use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::BodyExt;
use tokio::time::{Instant as TokioInstant, timeout_at};

use crate::{
    cache_index::Plan,
    codec::{Codec, Metadata},
    configuration::RetryPolicy,
    fatal_prompt::Signs,
    fleet::{Choice, Outcome},
    forward::{Forwarder, InFlightAttempt, UpstreamResponse},
    gateway::{Gateway, RequestGuard},
    memory_account::{Owner, SMALL_BODY_BYTES},
    poison::{Proof, RUN_STEP},
    prelude::*,
    response_body::{Body, Truncated},
    sse::Decoder,
    stream_origin::Attempt,
    stream_resumption::Destination,
    unread::Sender,
};

/// Time after which the caller of a stream that cannot go on may begin it anew.
pub(crate) const BEGIN_ANEW_WAIT: Duration = Duration::from_millis(20);

impl<C> Forwarder<C>
where
    C: Codec,
{
    /// Finds out where the stream began that the request resumes, if it does.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream can go on nowhere.
    pub(crate) async fn prepare_resumption(&mut self) -> Result<(), Error> {
        let Metadata { id, stream_origin, last_event_id, .. } = &self.job.metadata;
        let is_stream = matches!(self.job.route.retry_policy, RetryPolicy::Stream { .. });
        if !is_stream || stream_origin.is_none() && last_event_id.is_none() {
            return Ok(());
        }
        let started = TokioInstant::now();
        let service = &self.job.service;
        let attempt = stream_origin.as_deref().map(Attempt::new);
        let destination = self.gateway.find_destination(service, attempt).await;
        let (outcome, build) = match &destination {
            Destination::Known(place) => ("origin_known", Some(&place.build)),
            Destination::Only(build) => ("one_build", Some(build)),
            Destination::Any => ("no_build", None),
            Destination::Unknown => ("origin_unknown", None),
        };
        self.gateway.metrics.resumed_streams.with_label_values(&[outcome]).inc();
        let rows_as_of = self.gateway.fleet().builds.rows_as_of();
        let rows_age = rows_as_of.map(|it| self.gateway.now().since(it));
        log::info!(request = id.as_str(), stream_origin = stream_origin.as_deref(),
            last_event = last_event_id.as_deref(), service = service.as_str(), outcome = outcome,
            build = build.map(Build::as_str), asked_ms = started.elapsed().as_millis() as u64,
            rows_age_ms = rows_age.map(|it| it.as_millis() as u64);
            "caller resumes a stream");
        let lost =
            |message| Err(Error::new(Kind::StreamLost, message).with_retry_after(BEGIN_ANEW_WAIT));
        match destination {
            Destination::Known(place) if place.service == *service => {
                self.build = Some(place.build);
            }
            // The route's weights have led the session to another service since.
            Destination::Known(place) => {
                let still_there = self.job.route.services.iter().any(|it| it.0 == place.service);
                let job = Arc::get_mut(&mut self.job).filter(|_| still_there);
                let Some(job) = job else {
                    return lost("the route does not lead to the stream's service; begin anew");
                };
                job.service = place.service;
                self.build = Some(place.build);
            }
            Destination::Only(build) => self.build = Some(build),
            Destination::Any => {}
            Destination::Unknown => {
                return lost("the stream cannot go on, its origin is not known; begin anew");
            }
        }
        Ok(())
    }

    /// Returns the request that brought the first event of the stream, or will.
    fn stream_attempt(&self) -> Attempt {
        let Metadata { id, stream_origin, .. } = &self.job.metadata;
        Attempt::new(stream_origin.as_deref().unwrap_or(id))
    }

    /// Returns a streamed response and forwards its events in a separate task.
    pub(crate) fn forward_stream(self, upstream_response: UpstreamResponse<C>) -> Response<Body> {
        let (sender, receiver) = self.gateway.unread.channel();
        let response = self.build_response(&upstream_response.head, Body::Stream(receiver));
        // The task may first run after the request itself is no longer counted.
        let active = self.gateway.track_request();
        tokio::spawn(self.forward_events(upstream_response, sender, active));
        response
    }

    /// Forwards the events of one run after another until the stream is complete, the caller
    /// disconnects or no further run is allowed.
    async fn forward_events(
        mut self,
        mut upstream_response: UpstreamResponse<C>,
        chunks: Sender<Result<Bytes, Truncated>>,
        _active: RequestGuard<C>,
    ) {
        let _running =
            RunningStream { gateway: self.gateway.clone(), attempt: self.stream_attempt() };
        // A caller that resumes a stream has the events up to this one.
        let mut last_event_id =
            self.job.metadata.last_event_id.as_deref().and_then(|it| it.parse().ok());
        let ending = self.gateway.ending.clone();
        let content_type = upstream_response.head.headers.get(header::CONTENT_TYPE).cloned();
        let mut is_first_run = true;
        loop {
            let end = self
                .forward_run(upstream_response, &chunks, &mut last_event_id, is_first_run)
                .await;
            is_first_run = false;
            let retry = match end {
                RunEnd::Completed | RunEnd::CallerLeft => return,
                RunEnd::TimedOut | RunEnd::Withdrawn | RunEnd::HostEnds => false,
                RunEnd::Broken => {
                    let may_go_on = !self.unnumbered_sent && !self.is_build_unknown;
                    may_go_on && !self.is_body_released && self.may_retry()
                }
            };
            if !retry {
                break;
            }
            let resumed = tokio::select! {
                () = chunks.closed() => return,
                () = ending.cancelled() => break,
                resumed = self.resume(last_event_id, content_type.as_ref()) => resumed,
            };
            match resumed {
                Some(next) => upstream_response = next,
                None => break,
            }
        }
        log::info!(request = self.job.metadata.id.as_str(), route = self.job.route.name.as_str(),
            last_event = last_event_id.unwrap_or_default(), runs = self.runs;
            "stream was cut off and cannot be resumed");
        self.gateway.metrics.count_outcome("stream_cut");
        // Sending fails only if the caller has disconnected and needs no error. To one that reads nothing
        // the response must not look complete later, so this waits for as long as it is connected.
        let _ = chunks.send(Err(Truncated), 0).await;
    }

    /// Sends the request to other upstreams until one goes on with the stream after an event. What an upstream
    /// responds that does not go on with it must not reach the caller, who has the head of the first run.
    async fn resume(
        &mut self,
        last_event_id: Option<u64>,
        content_type: Option<&HeaderValue>,
    ) -> Option<UpstreamResponse<C>> {
        self.gateway.wait_for_restarts().await;
        loop {
            let next = self.send_with_retries(last_event_id).await.ok()?;
            let head = &next.head;
            let is_alike = head.headers.get(header::CONTENT_TYPE) == content_type;
            if head.status == StatusCode::OK && is_alike {
                return Some(next);
            }
            log::info!(request = self.job.metadata.id.as_str(),
                upstream = next.attempt.choice.id.as_str(), status = head.status.as_u16(),
                same_content_type = is_alike; "upstream does not go on with the stream");
            self.tried.push(next.attempt.choice.id.clone());
            let outcome = if next.pause_requested { Outcome::Paused } else { Outcome::Failed };
            next.attempt.complete(outcome);
            if !self.may_retry() {
                return None;
            }
        }
    }

    /// Forwards the events of one run, except those that the caller already has, and returns how
    /// the run ended. `last_event_id` is that of the last forwarded event. `is_first` is whether this is the
    /// run whose head the caller got.
    async fn forward_run(
        &mut self,
        upstream_response: UpstreamResponse<C>,
        chunks: &Sender<Result<Bytes, Truncated>>,
        last_event_id: &mut Option<u64>,
        is_first: bool,
    ) -> RunEnd {
        let UpstreamResponse { attempt, connection, head, mut body, started, head_at, .. } =
            upstream_response;
        let mut decoder = Decoder::default();
        let mut first_event_time = None;
        let mut first_event_at = None;
        // Time from the first event to the last one so far.
        let mut ran = None;
        let mut next_proof = RUN_STEP;
        let fatal = self.wait_fatal();
        tokio::pin!(fatal);
        loop {
            let frame = tokio::select! {
                () = chunks.closed() => return RunEnd::CallerLeft,
                () = self.gateway.ending.cancelled() => return RunEnd::HostEnds,
                () = &mut fatal, if ran < Some(RUN_STEP) => {
                    self.count_withdrawal(&attempt.choice);
                    return RunEnd::Withdrawn;
                }
                frame = timeout_at(self.job.deadline, body.frame()) => frame,
            };
            let data = match frame {
                Err(_) => return RunEnd::TimedOut,
                Ok(Some(Ok(frame))) => {
                    self.gateway.record_heard();
                    frame.into_data().unwrap_or_default()
                }
                // A run that goes on with a stream and has no event does not show that the stream is complete.
                Ok(None) if decoder.is_empty() && (is_first || first_event_time.is_some()) => {
                    break;
                }
                Ok(end @ (None | Some(Err(_)))) => {
                    let signs = Signs {
                        // A run without events ends as it should.
                        is_break: end.is_some() || !decoder.is_empty(),
                        pooled: false,
                        ran,
                        silence: Some(head_at.elapsed()),
                    };
                    return self.handle_broken_stream(attempt, signs);
                }
            };
            if !decoder.push(&data) {
                return self.handle_broken_stream(attempt, Signs::INVALID_RESPONSE);
            }
            let events = self.drain_events(&mut decoder, last_event_id);
            if events.is_empty() {
                continue;
            }
            if first_event_time.is_none() {
                let elapsed = started.elapsed();
                first_event_time = Some(elapsed);
                self.report_wait();
                self.record_origin(&attempt.choice);
                self.release_large_body();
                self.gateway.record_first_event();
                if let Some(plan) = &self.cache_plan {
                    let mean_latency = self.gateway.fleet().mean_latency(&attempt.choice.id);
                    self.gateway.cache_index().record_first_token(
                        self.gateway.now(),
                        plan,
                        elapsed,
                        mean_latency,
                    );
                }
            }
            let time = first_event_at.get_or_insert_with(TokioInstant::now).elapsed();
            ran = Some(time);
            if time >= next_proof {
                next_proof = time + RUN_STEP;
                self.gateway.record_answer(&self.shared_parts, Proof::Ran(time));
            }
            // A caller that stops reading holds the upstream no longer than the request may take.
            let bytes = events.len();
            match timeout_at(self.job.deadline, chunks.send(Ok(events), bytes)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return RunEnd::CallerLeft,
                Err(_) => return RunEnd::TimedOut,
            }
        }
        let choice = attempt.choice.clone();
        self.gateway.record_answer(&self.shared_parts, Proof::Whole);
        self.gateway.record_whole_answer(self.job.fingerprint);
        self.gateway.pool().put(&choice.id, choice.incarnation.address, connection, &head.headers);
        let first_event_time = first_event_time.unwrap_or_else(|| started.elapsed());
        let route = self.job.route.name.as_str();
        let total = self.job.received.elapsed();
        self.gateway
            .metrics
            .first_token
            .with_label_values(&[route])
            .observe(first_event_time.as_secs_f64());
        attempt.complete(Outcome::Served(first_event_time));
        if is_first && self.job.metadata.last_event_id.is_none() {
            self.record_answer_time(started.elapsed());
        }
        let parts = self.cache_plan.as_ref().map(Plan::summary).unwrap_or_default();
        log::info!(request = self.job.metadata.id.as_str(), route = self.job.route.name.as_str(),
            upstream = choice.id.as_str(), build = choice.build.as_str(), chosen = choice.reason,
            weights = choice.weight_version.unwrap_or_default(), tokens = choice.tokens,
            session = format!("{:x}", self.session_key.unwrap_or_default()).as_str(),
            parts = parts.as_str(), origin = choice.cache_source.is_some(), runs = self.runs,
            first_ms = first_event_time.as_millis() as u64,
            total_ms = total.as_millis() as u64; "stream ended");
        RunEnd::Completed
    }

    /// Records the build of the upstream that brought the stream's first event, which binds the next runs.
    fn record_origin(&mut self, choice: &Choice) {
        if self.build.is_none() {
            if !self.gateway.fleet().knows_build(choice) {
                log::info!(request = self.job.metadata.id.as_str(), upstream = choice.id.as_str();
                    "build of the upstream that began a stream is not known");
                self.is_build_unknown = true;
                return;
            }
            self.build = Some(choice.build.clone());
        }
        if self.job.route.retry_policy.allows_rerun() {
            let attempt = self.stream_attempt();
            self.gateway.record_stream(attempt, &self.job.service, &choice.build);
        }
    }

    /// Lets go of a large body while the host has little memory for more. If the stream breaks, its caller has
    /// to resume it.
    fn release_large_body(&mut self) {
        let is_large = self.body.len() > SMALL_BODY_BYTES;
        if is_large && self.gateway.memory.is_tight(Owner::Requests) {
            self.body = Bytes::new();
            self.is_body_released = true;
        }
    }

    /// Takes the complete events from the decoder and joins them, without those that the caller
    /// already has.
    fn drain_events(&mut self, decoder: &mut Decoder, last_event_id: &mut Option<u64>) -> Bytes {
        let mut joined: SmallVec<[Bytes; 4]> = SmallVec::new();
        while let Some(event) = decoder.next_event() {
            let repeated =
                matches!((event.id, *last_event_id), (Some(id), Some(last)) if id <= last);
            if repeated {
                continue;
            }
            self.unnumbered_sent |= event.id.is_none();
            *last_event_id = event.id.or(*last_event_id);
            joined.push(event.bytes);
        }
        match joined.len() {
            1 => joined.remove(0),
            _ => joined.concat().into(),
        }
    }

    /// Records that a run ended without a whole response, and excludes its upstream from further
    /// attempts.
    fn handle_broken_stream(&mut self, attempt: InFlightAttempt<C>, signs: Signs) -> RunEnd {
        self.log_attempt(&attempt.choice, "stream_broken");
        self.report_break(&attempt.choice, signs);
        self.tried.push(attempt.choice.id.clone());
        attempt.complete(Outcome::Broken);
        RunEnd::Broken
    }
}

/// Counts a stream as going through this host until it is dropped.
struct RunningStream<C>
where
    C: Codec,
{
    gateway: Arc<Gateway<C>>,
    attempt: Attempt,
}

impl<C> Drop for RunningStream<C>
where
    C: Codec,
{
    fn drop(&mut self) {
        self.gateway.finish_stream(self.attempt);
    }
}

/// How one run of a stream ended.
enum RunEnd {
    /// The stream is complete.
    Completed,
    /// The caller has disconnected.
    CallerLeft,
    /// The request's deadline has passed.
    TimedOut,
    /// The request is known to crash upstreams.
    Withdrawn,
    /// This process ends.
    HostEnds,
    /// The connection broke, or the stream was not valid.
    Broken,
}
