//! HTTP server of the gateway. It accepts the callers' connections, resolves route, key and
//! service of each request, reads its body and hands it to a [`Forwarder`]. It also serves
//! readiness and metrics.

use std::{
    convert::Infallible,
    sync::{
        OnceLock,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
};

use http::{HeaderValue, Request, Response, StatusCode, Uri, header, uri::PathAndQuery};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    task::yield_now,
    time::{Instant as TokioInstant, sleep, sleep_until, timeout_at},
};

use crate::{
    body_buffer::{self, Buffer, ReadError},
    codec::{Codec, Metadata},
    configuration::Configuration,
    detour_link::{self, Terms},
    forward::{Forwarder, Job},
    gateway::{ConnectionGuard, Gateway},
    memory_account::Owner,
    poison::Fingerprint,
    prelude::*,
    response_body::Body,
};

/// Pause after a failed accept, for example when the process has no file descriptors left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Buffer for the request line and headers while there is no configuration.
const DEFAULT_HEADER_BYTES: usize = 16 << 10;
/// Smallest read buffer that hyper accepts.
const MIN_HEADER_BYTES: usize = 8 << 10;
/// Kernel send buffer of one connection.
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// How long a connection may be idle while there is no configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Added to the idle timeout, so that callers stop reusing a connection before it is closed here.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Longest wait of a large body for memory, unless less of the request's time is left. Later it is refused.
const MEMORY_WAIT: Duration = Duration::from_millis(500);
/// Time that a request may take when the caller gives no timeout; the route may allow less.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Activity of one connection, from which its idle time follows.
struct Activity<C> {
    /// Counts the connection as unfinished, from its first request on.
    guard: OnceLock<ConnectionGuard<C>>,
    /// Requests in progress.
    active_requests: AtomicU32,
    /// Milliseconds from the connection's start to the end of its last request.
    last_ended_ms: AtomicU64,
}

/// Accepts callers' connections and serves each in a task of its own, until the host closes its
/// connections. Those that the kernel has accepted by then are served as well: their requests may have
/// arrived. The connections themselves go on.
pub async fn accept<C>(gateway: Arc<Gateway<C>>, listener: TcpListener)
where
    C: Codec,
{
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = gateway.closing.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(gateway.clone(), stream));
            }
            Err(err) => {
                log::warn!(error = err.to_string().as_str(); "accept failed");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(err) => {
            log::warn!(error = err.to_string().as_str(); "waiting connections cannot be accepted");
            return;
        }
    };
    let mut count = 0;
    // It does not block, so it ends with an error once no connection waits.
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        match stream {
            Ok(stream) => {
                tokio::spawn(serve_connection(gateway.clone(), stream));
                count += 1;
            }
            Err(err) => log::warn!(error = err.to_string().as_str();
                "connection that waited to be accepted is lost"),
        }
    }
    log::info!(waiting = count; "no longer accepting connections");
}

/// Serves the requests of one connection until it ends, has been idle for too long, or the host
/// closes its connections.
async fn serve_connection<C>(gateway: Arc<Gateway<C>>, stream: TcpStream)
where
    C: Codec,
{
    let result = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES));
    if let Err(err) = result {
        log::debug!(error = err.to_string().as_str(); "socket options cannot be set");
    }
    let limits = gateway.configuration().map(|it| it.limits);
    let header_bytes =
        limits.map_or(DEFAULT_HEADER_BYTES, |it| it.header_bytes).max(MIN_HEADER_BYTES);
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |it| it.idle_timeout) + IDLE_MARGIN;
    let start = TokioInstant::now();
    let activity = Arc::new(Activity {
        guard: OnceLock::new(),
        active_requests: AtomicU32::new(0),
        last_ended_ms: AtomicU64::new(0),
    });
    let service = {
        let (gateway, activity) = (gateway.clone(), activity.clone());
        service_fn(move |request| {
            let (gateway, activity) = (gateway.clone(), activity.clone());
            activity.guard.get_or_init(|| gateway.track_connection());
            async move {
                let _connection_guard = ConnectionRequestGuard::new(activity, start);
                Ok::<_, Infallible>(handle(gateway, request).await)
            }
        })
    };
    let connection = http1::Builder::new()
        .max_buf_size(header_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let (mut closing, mut shutting_down) = (false, false);
    loop {
        let ended = Duration::from_millis(activity.last_ended_ms.load(Ordering::Acquire));
        let expiry = start + ended + idle;
        tokio::select! {
            biased;
            end = connection.as_mut() => {
                if let Err(err) = end {
                    log::debug!(error = err.to_string().as_str();
                        "caller's connection ended with an error");
                }
                return;
            }
            () = sleep_until(expiry), if activity.active_requests.load(Ordering::Acquire) == 0 => {
                // Another request may have come and gone during the sleep.
                let ended = Duration::from_millis(activity.last_ended_ms.load(Ordering::Acquire));
                if TokioInstant::now() >= start + ended + idle {
                    connection.as_mut().graceful_shutdown();
                }
            }
            // Does not expire while a request is running. Checks again after an idle period.
            () = sleep(idle), if activity.active_requests.load(Ordering::Acquire) > 0 => {}
            // Lets the runtime look at the socket first: the next request may have arrived on it.
            () = yield_now(), if closing && !shutting_down => {
                shutting_down = true;
                connection.as_mut().graceful_shutdown();
            }
            () = gateway.closing.cancelled(), if !closing => closing = true,
        }
    }
}

/// Counts one request of a connection as active until it is dropped. Unlike the host's
/// [`RequestGuard`](crate::gateway::RequestGuard), it serves to find idle connections.
struct ConnectionRequestGuard<C> {
    activity: Arc<Activity<C>>,
    start: TokioInstant,
}

impl<C> ConnectionRequestGuard<C> {
    fn new(activity: Arc<Activity<C>>, start: TokioInstant) -> Self {
        activity.active_requests.fetch_add(1, Ordering::AcqRel);
        ConnectionRequestGuard { activity, start }
    }
}

impl<C> Drop for ConnectionRequestGuard<C> {
    fn drop(&mut self) {
        let elapsed = self.start.elapsed().as_millis() as u64;
        self.activity.last_ended_ms.store(elapsed, Ordering::Release);
        self.activity.active_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Responds to one request; an error becomes an error response.
async fn handle<C>(gateway: Arc<Gateway<C>>, request: Request<Incoming>) -> Response<Body>
where
    C: Codec,
{
    let received = TokioInstant::now();
    let _request_guard = gateway.track_request();
    let metadata = gateway.codec.parse_request(request.headers());
    let id = metadata.id.clone();
    let path = FastStr::new(request.uri().path());
    let mut response = match respond(&gateway, request, metadata, None, received).await {
        Ok(response) => response,
        Err(err) => error_response(&gateway, &err, &id, &path, received),
    };
    gateway.metrics.count_outcome(response.status().as_str());
    if gateway.draining.is_cancelled() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Responds to a request that another host sends because it reaches no upstream of the service. A request
/// that this host cannot serve either is refused, so that the other host can ask the next one.
pub(crate) async fn handle_detour<C>(
    gateway: Arc<Gateway<C>>,
    peer: &Host,
    request: Request<Incoming>,
    terms: Terms,
) -> Response<Body>
where
    C: Codec,
{
    let received = TokioInstant::now();
    let _request_guard = gateway.track_request();
    let metadata = gateway.codec.parse_request(request.headers());
    let id = metadata.id.clone();
    let path = FastStr::new(request.uri().path());
    log::info!(request = id.as_str(), peer = peer.as_str(),
        left_ms = terms.left.as_millis() as u64, runs = terms.runs; "request of another host");
    let result = match unfit_for_detours(&gateway, terms) {
        Some(reason) => Err((Error::new(Kind::ShuttingDown, reason), Some(reason))),
        None => respond(&gateway, request, metadata, Some(terms), received).await.map_err(|err| {
            let is_lost = err.kind == Kind::Unreachable;
            (err, is_lost.then_some("unreachable"))
        }),
    };
    let (err, refusal) = match result {
        Ok(response) => return response,
        Err(it) => it,
    };
    let mut response = error_response(&gateway, &err, &id, &path, received);
    if let Some(reason) = refusal {
        detour_link::mark_refused(response.headers_mut(), reason);
    }
    response
}

/// Returns why this host takes no request of another host with these terms, if it does not.
fn unfit_for_detours<C>(gateway: &Gateway<C>, terms: Terms) -> Option<&'static str>
where
    C: Codec,
{
    let version = gateway.configuration().map_or(0, |it| it.version);
    match () {
        () if gateway.draining.is_cancelled() => Some("shutting_down"),
        // What the caller may do by the newer configuration may be unknown here.
        () if version < terms.configuration => Some("older_configuration"),
        () => None,
    }
}

/// Forwards one request to an upstream and returns the response for the caller. `terms` are set for a
/// request of another host.
async fn respond<C>(
    gateway: &Arc<Gateway<C>>,
    request: Request<Incoming>,
    metadata: Metadata,
    terms: Option<Terms>,
    received: TokioInstant,
) -> Result<Response<Body>, Error>
where
    C: Codec,
{
    let job = build_job(gateway, request, metadata, terms, received).await?;
    tokio::select! {
        biased;
        response = Box::pin(Forwarder::new(gateway.clone(), job).run()) => response,
        () = gateway.ending.cancelled() => {
            Err(Error::new(Kind::TimedOut, "the host ends before the request does"))
        }
    }
}

/// Resolves route, key holder and service of a request, and reads its body.
///
/// # Errors
///
/// Returns an error when this host has no configuration yet, no route matches or the route has no
/// service, the key is missing or unknown, or the body cannot be read.
async fn build_job<C>(
    gateway: &Gateway<C>,
    request: Request<Incoming>,
    metadata: Metadata,
    terms: Option<Terms>,
    received: TokioInstant,
) -> Result<Job, Error>
where
    C: Codec,
{
    let Some(configuration) = gateway.configuration() else {
        let err = Error::new(Kind::NotConfigured, "this host does not know the configuration yet");
        return Err(err.with_retry_after(Duration::from_millis(500)));
    };
    let (head, body) = request.into_parts();
    let is_sent = !head.headers.contains_key(header::EXPECT);
    let host = head.headers.get(header::HOST).and_then(|it| it.to_str().ok()).unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let route = configuration.route(host, head.uri.path()).cloned();
    let route = route.ok_or_else(|| Error::new(Kind::RouteUnknown, "no route has this path"))?;
    let mut key_holder = None;
    if configuration.requires_key && !route.public {
        let key = metadata.key.as_deref();
        let key = key.ok_or_else(|| Error::new(Kind::KeyMissing, "the request has no key"))?;
        let holder = configuration.key_holder(key).cloned();
        key_holder =
            Some(holder.ok_or_else(|| Error::new(Kind::KeyUnknown, "the key is unknown"))?);
    }
    let limit = metadata.timeout.unwrap_or(DEFAULT_REQUEST_TIMEOUT).min(route.timeout);
    let limit = terms.map_or(limit, |it| it.left.min(limit));
    let deadline = received + limit;
    let body = read_body(gateway, body, is_sent, &configuration, deadline).await?;
    let fingerprint = Fingerprint::new(head.uri.path(), metadata.key.as_deref(), &body);
    let path = head.uri.path_and_query().cloned();
    let mut job = Job {
        service: Service::new(FastStr::default()),
        metadata,
        route,
        configuration,
        key_holder,
        method: head.method,
        uri: Uri::from(path.unwrap_or_else(|| PathAndQuery::from_static("/"))),
        fingerprint,
        headers: head.headers,
        body,
        received,
        deadline,
        terms,
    };
    let key = job
        .session_key()
        .unwrap_or_else(|| crate::rendezvous::hash_parts(&["request", &job.metadata.id]));
    let service = job.route.choose_service(key).cloned();
    job.service =
        service.ok_or_else(|| Error::new(Kind::RouteUnknown, "the route has no service"))?;
    Ok(job)
}

/// Reads the body up to the configured limit, until `deadline`. A large body waits for memory before it is read.
/// `is_sent` is whether the caller sends it without being asked to go on.
async fn read_body<C>(
    gateway: &Gateway<C>,
    mut body: Incoming,
    is_sent: bool,
    configuration: &Configuration,
    deadline: TokioInstant,
) -> Result<Bytes, Error>
where
    C: Codec,
{
    let max_bytes = configuration.limits.body_bytes;
    let too_large = || Error::new(Kind::BodyTooLarge, "the body is larger than the limit");
    let no_memory = || {
        gateway.metrics.memory_refusals.with_label_values(&["requests"]).inc();
        let message = "this host has no memory left for the body";
        Error::new(Kind::Overloaded, message).with_retry_after(MEMORY_WAIT)
    };
    let mut charge = None;
    if let Some(length) = body_buffer::large_length(&body) {
        if length > max_bytes {
            return Err(too_large());
        }
        let now = TokioInstant::now();
        let wait = MEMORY_WAIT.min(deadline.saturating_duration_since(now) / 4);
        charge = gateway.memory.charge(Owner::Requests, length, now + wait).await;
        if charge.is_none() {
            if is_sent {
                discard(body, deadline).await;
            }
            return Err(no_memory());
        }
    }
    let read = Buffer::for_request(&gateway.memory, max_bytes, charge).read(&mut body);
    match timeout_at(deadline, read).await {
        Err(_) | Ok(Err(ReadError::Stalled)) => {
            Err(Error::new(Kind::BodyStalled, "the body stopped arriving"))
        }
        Ok(Ok(body)) => Ok(body),
        Ok(Err(ReadError::TooLarge { .. })) => Err(too_large()),
        Ok(Err(ReadError::NoMemory { .. })) => {
            discard(body, deadline).await;
            Err(no_memory())
        }
        Ok(Err(ReadError::Broken | ReadError::TinyFrames { .. })) => {
            Err(Error::new(Kind::BodyBroken, "the body broke off"))
        }
    }
}

/// Reads a body and drops it: a caller that is still sending when its connection closes does not see the response.
async fn discard(mut body: Incoming, deadline: TokioInstant) {
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    // A body that takes too long ends with its connection.
    let _ = timeout_at(deadline, read).await;
}

/// Logs an error and builds its response.
fn error_response<C>(
    gateway: &Gateway<C>,
    err: &Error,
    id: &str,
    path: &str,
    received: TokioInstant,
) -> Response<Body>
where
    C: Codec,
{
    let descriptor = err.kind.descriptor();
    log::info!(request = id, path = path, outcome = descriptor.code, reason = err.message.as_str(),
        held_ms = received.elapsed().as_millis() as u64; "request refused");
    let body = serde_json::to_vec(&err.body(id)).unwrap_or_default();
    let mut response = Response::new(Body::Buffered(Full::new(body.into())));
    *response.status_mut() =
        StatusCode::from_u16(descriptor.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let retry = err.retry_after.filter(|_| descriptor.has_retry_after);
    *response.headers_mut() = gateway.codec.error_headers(id, retry);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Serves the load balancer's readiness probes and the metrics on a listener of their own.
pub async fn serve_monitoring<C>(gateway: Arc<Gateway<C>>, listener: TcpListener)
where
    C: Codec,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let gateway = gateway.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let response = monitoring_response(&gateway, request.uri().path());
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(async move {
            let connection =
                http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            if let Err(err) = connection {
                log::debug!(error = err.to_string().as_str();
                    "monitoring connection ended with an error");
            }
        });
    }
}

fn monitoring_response<C>(gateway: &Gateway<C>, path: &str) -> Response<Full<Bytes>>
where
    C: Codec,
{
    let (status, text) = match path {
        "/metrics" => (StatusCode::OK, gateway.metrics.text()),
        path if path == C::READINESS_PATH => match gateway.is_ready() {
            true if gateway.has_joined_mesh() => (StatusCode::OK, "ready\n".into()),
            true => (StatusCode::OK, "ready, without the other hosts\n".into()),
            false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
        },
        _ => (StatusCode::NOT_FOUND, "no such path\n".into()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
