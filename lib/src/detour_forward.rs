//! Sends a request over another host when this one reaches no upstream of its service.

use http::{HeaderMap, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::{Instant as TokioInstant, timeout, timeout_at};

use crate::{
    body_buffer::{self, Buffer},
    codec::Codec,
    configuration::RetryPolicy,
    connection::Connection,
    detour::{Asked, Candidate},
    detour_link::{self, Link, Terms},
    fault::Delivery,
    forward::{Forwarder, keep_length},
    gateway::{Gateway, RequestGuard},
    hop_by_hop,
    memory_account::Owner,
    prelude::*,
    response_body::{Body, Truncated},
    unread::Sender,
};

/// How much later than the request's deadline the other host's last bytes may arrive.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);

/// What is logged of a host that says that it does not take the request.
const REFUSED: &str = "refused";

/// A request that is under way at another host until this is dropped.
struct UnderWay<C>
where
    C: Codec,
{
    gateway: Arc<Gateway<C>>,
    host: Host,
}

impl<C> Drop for UnderWay<C>
where
    C: Codec,
{
    fn drop(&mut self) {
        self.gateway.detours().finish(&self.host);
    }
}

/// What became of a request at one other host.
enum Outcome {
    /// The host took it and responded.
    Response(Response<Body>),
    /// The host did not take it, and it has not run there.
    NotTaken(&'static str),
    /// It may have run there, and no whole response arrived.
    Unknown(&'static str),
}

impl<C> Forwarder<C>
where
    C: Codec,
{
    /// Sends the request to other hosts, one after the other, until one takes it. Returns `None` if none
    /// does.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller if the request may have run and cannot be sent again.
    pub(crate) async fn take_detour(&mut self) -> Result<Option<Response<Body>>, Error> {
        let Some(link) = self.gateway.detour_link() else { return Ok(None) };
        let mut asked = Asked::default();
        while let Some(candidate) = self.choose_host(&asked) {
            let host = candidate.host.clone();
            let under_way = UnderWay { gateway: self.gateway.clone(), host: host.clone() };
            let outcome = self.send_over(&link, &candidate, under_way).await;
            let name = match &outcome {
                Outcome::Response(_) => "taken",
                Outcome::NotTaken(reason) | Outcome::Unknown(reason) => reason,
            };
            self.log_detour(&host, name);
            let (now, service) = (self.gateway.now(), &self.job.service);
            match outcome {
                Outcome::Response(response) => {
                    self.gateway.detours().record_taken(now, &host, service);
                    return Ok(Some(response));
                }
                Outcome::NotTaken(_) => {}
                Outcome::Unknown(_) => {
                    self.times_sent += 1;
                    self.runs += 1;
                }
            }
            self.gateway.detours().avoid(now, &host, service);
            asked.push(host, !matches!(outcome, Outcome::NotTaken(REFUSED)));
            if self.job.time_left().is_zero() {
                return Err(self.deadline_error());
            }
            if matches!(outcome, Outcome::Unknown(_)) && !self.may_retry() {
                return Err(self.lost_error());
            }
        }
        self.log_no_detour(&asked);
        Ok(None)
    }

    fn choose_host(&self, asked: &Asked) -> Option<Candidate> {
        let zone = &self.gateway.host_settings.zone;
        let request_hash = crate::rendezvous::hash_parts(&["detour", &self.job.metadata.id]);
        let now = self.gateway.now();
        self.gateway.detours().choose(now, &self.job.service, zone, request_hash, asked)
    }

    /// Sends the request to another host and waits for the response head, or for the whole response if its
    /// length is known.
    async fn send_over(
        &self,
        link: &Link,
        candidate: &Candidate,
        under_way: UnderWay<C>,
    ) -> Outcome {
        let now = self.gateway.now();
        let opened = timeout(self.job.time_left(), link.open(now, candidate)).await;
        let Ok(Some(mut connection)) = opened else { return Outcome::NotTaken("host_unreachable") };
        let sent = timeout(self.detour_timeout(), connection.send(self.detour_request())).await;
        let response = match sent {
            Err(_) => return Outcome::Unknown("host_silent"),
            Ok(Err(err)) if err.0.delivery == Delivery::NotSent => {
                return Outcome::NotTaken("host_unreachable");
            }
            Ok(Err(_)) => return Outcome::Unknown("host_broke_off"),
            Ok(Ok(response)) => response,
        };
        if detour_link::refusal(response.headers()).is_some() {
            return Outcome::NotTaken(REFUSED);
        }
        let (head, body) = response.into_parts();
        let memory = &self.gateway.memory;
        let large_length = body_buffer::large_length(&body);
        let charge = large_length.and_then(|it| memory.try_charge(Owner::Responses, it));
        let has_no_memory = large_length.is_some() && charge.is_none();
        if has_no_memory || !head.headers.contains_key(header::CONTENT_LENGTH) {
            let (sender, receiver) = match has_no_memory {
                true => self.gateway.unread.narrow_channel(),
                false => self.gateway.unread.channel(),
            };
            let mut response = self.build_response(&head, Body::Stream(receiver));
            keep_length(&head, &mut response);
            let passing = Passing {
                gateway: self.gateway.clone(),
                request: self.job.metadata.id.clone(),
                deadline: self.job.deadline + DEADLINE_MARGIN,
                under_way,
                _connection: connection,
                _active: self.gateway.track_request(),
            };
            tokio::spawn(passing.pass_on(body, sender));
            return Outcome::Response(response);
        }
        let read = Buffer::for_response(memory, charge).read(body);
        match timeout_at(self.job.deadline + DEADLINE_MARGIN, read).await {
            Ok(Ok(bytes)) => {
                Outcome::Response(self.build_response(&head, Body::Buffered(Full::new(bytes))))
            }
            Ok(Err(_)) => Outcome::Unknown("host_broke_off"),
            Err(_) => Outcome::Unknown("host_silent"),
        }
    }

    /// Builds the request for another host: the caller's own, with what this host knows of it.
    fn detour_request(&self) -> Request<Full<Bytes>> {
        let mut headers: HeaderMap = hop_by_hop::strip(&self.job.headers);
        let terms = Terms {
            left: self.job.time_left(),
            runs: self.runs,
            arrivals: self.times_sent,
            configuration: self.job.configuration.version,
            reached_part: self.gateway.reached_part(&self.job.service).unwrap_or(1.0),
        };
        terms.write(&mut headers);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.job.method.clone();
        *request.uri_mut() = self.job.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Returns how long to wait for the response of another host. It makes its own attempts meanwhile.
    fn detour_timeout(&self) -> Duration {
        let left = self.job.time_left();
        let may_follow = self.job.route.retry_policy == RetryPolicy::Idempotent
            && self.runs + 1 < self.job.route.max_runs;
        if may_follow { left / 2 } else { left + DEADLINE_MARGIN }
    }

    /// Returns the error of a request that another host may have run.
    fn lost_error(&self) -> Error {
        let kind = match self.job.route.retry_policy {
            RetryPolicy::AtMostOnce => Kind::OutcomeUnknown,
            RetryPolicy::Idempotent | RetryPolicy::Stream { .. } => Kind::UpstreamFailed,
        };
        Error::new(kind, "the host that took the request broke off")
    }

    fn log_no_detour(&self, asked: &Asked) {
        let (now, service) = (self.gateway.now(), &self.job.service);
        let detours = self.gateway.detours();
        let zone = &self.gateway.host_settings.zone;
        let near = detours.candidates().iter().filter(|it| it.zone == *zone);
        log::info!(request = self.job.metadata.id.as_str(), service = service.as_str(),
            asked = asked.hosts().len(),
            asked_in_zone = near.filter(|it| asked.hosts().contains(&it.host)).count(),
            avoided = detours.avoided_count(now, service), hosts = detours.candidates().len();
            "no other host takes the request");
    }

    fn log_detour(&self, host: &Host, outcome: &str) {
        let (now, service) = (self.gateway.now(), &self.job.service);
        let lost_since = self.gateway.fleet().reach.lost_since(service);
        self.gateway.metrics.detours.with_label_values(&[outcome]).inc();
        log::info!(request = self.job.metadata.id.as_str(), peer = host.as_str(),
            service = service.as_str(), outcome = outcome, runs = self.runs,
            lost_ms = lost_since.map(|it| now.since(it).as_millis() as u64),
            left_ms = self.job.time_left().as_millis() as u64; "request sent over another host");
    }
}

/// A response of another host while it is passed on to the caller.
struct Passing<C>
where
    C: Codec,
{
    gateway: Arc<Gateway<C>>,
    request: FastStr,
    deadline: TokioInstant,
    under_way: UnderWay<C>,
    /// Ends the request at the other host when it is dropped.
    _connection: Connection,
    /// Counts the response, also before its task first runs.
    _active: RequestGuard<C>,
}

impl<C> Passing<C>
where
    C: Codec,
{
    /// Passes on the chunks of the response until its end, or until the caller leaves.
    async fn pass_on(self, mut body: Incoming, chunks: Sender<Result<Bytes, Truncated>>) {
        let reason = loop {
            let frame = tokio::select! {
                () = chunks.closed() => return,
                () = self.gateway.ending.cancelled() => break "host_ends",
                frame = timeout_at(self.deadline, body.frame()) => frame,
            };
            let data = match frame {
                Ok(None) => return,
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(_))) => break "host_broke_off",
                Err(_) => break "deadline",
            };
            let bytes = data.len();
            match timeout_at(self.deadline, chunks.send(Ok(data), bytes)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return,
                Err(_) => break "deadline",
            }
        };
        log::info!(request = self.request.as_str(), peer = self.under_way.host.as_str(),
            reason = reason; "response over another host was cut off");
        self.gateway.metrics.count_outcome("stream_cut");
        // As for a stream that was cut off, the caller must not take the response for complete.
        let _ = chunks.send(Err(Truncated), 0).await;
    }
}
