//! HTTP API for callers: OpenAI's endpoints for prompts, and plain services. It authenticates each
//! request, checks the limits, dispatches by path, and writes responses and errors.

use std::convert::Infallible;

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header, request::Parts};
use http_body::Frame;
use http_body_util::BodyExt;
use serde::Serialize;
use tokio::{sync::mpsc, time::timeout};
use volo::Service as VoloService;
use volo_http::{
    body::Body, context::ServerContext, error::BoxError, request::Request, response::Response,
};

use crate::{
    backend::{Message, PlainService},
    claim::Reply,
    clock::unix_millis,
    engine::Engine,
    inflight::WorkspacePermit,
    key::Caller,
    openai,
    prelude::*,
    prompt::{self, Api},
    relay::{self, Chunk, Job},
    services,
    settings::WorkspaceEntry,
    shared::Shared,
    table::Table,
};

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const REPLAYED: HeaderName = HeaderName::from_static("x-idempotent-replayed");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Outcome of a successful request in the metrics.
const OUTCOME_OK: &str = "ok";
/// Path prefix of plain services; the name of the service follows.
const SERVICES_PATH: &str = "/v1/services/";
/// Header fields that concern one connection or are meant for this host, and are not forwarded to
/// plain services.
const UNFORWARDED_FIELDS: [HeaderName; 8] = [
    header::AUTHORIZATION,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::HOST,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    IDEMPOTENCY_KEY,
];

/// The HTTP service that answers callers.
pub struct PublicApi<E, B, T> {
    shared: Arc<Shared<E, B, T>>,
}

/// An authenticated caller whose request counts as in flight.
struct AdmittedCaller {
    caller: Caller,
    workspace: Arc<WorkspaceEntry>,
    workspace_permit: WorkspacePermit,
}

impl<E, B, T> PublicApi<E, B, T>
where
    E: Engine,
    B: PlainService,
    T: Table,
{
    /// Creates the service from the state that the host's threads share.
    pub fn new(shared: Arc<Shared<E, B, T>>) -> Self {
        PublicApi { shared }
    }

    /// Answers a request: adds the request id to its response and, while the host drains, asks the
    /// client to close the connection.
    async fn handle(&self, request: Request) -> Response {
        let id = self.shared.new_request_id();
        let (head, body) = request.into_parts();
        let mut response = match self.dispatch(&head, body, &id).await {
            Ok(response) => response,
            Err(err) => self.error_response(&head, &err, &id),
        };
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(REQUEST_ID, id);
        }
        if self.shared.is_draining() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    /// Logs and counts an error, and builds its response. The log message is the same for requests
    /// that failed after a run.
    fn error_response(&self, head: &Parts, err: &Error, id: &str) -> Response {
        log::info!(request = id, path = head.uri.path(), outcome = err.kind.descriptor().code;
            "request refused");
        self.shared.metrics.count_outcome(err.kind.descriptor().code);
        let status = StatusCode::from_u16(err.kind.descriptor().status);
        let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = json_response(status, &err.body(id));
        if let Some(seconds) = err.retry_seconds() {
            response.headers_mut().insert(header::RETRY_AFTER, seconds.into());
        }
        response
    }

    /// Runs the handler of the request's path and method.
    async fn dispatch(&self, head: &Parts, body: Body, id: &FastStr) -> Result<Response, Error> {
        self.check_header_size(&head.headers)?;
        let path = head.uri.path();
        // `None` if the method is not POST.
        let post = |api| (head.method == Method::POST).then_some(api);
        let api = match path {
            "/v1/chat/completions" => post(Api::Chat),
            "/v1/completions" => post(Api::Completion),
            "/v1/models" if head.method == Method::GET => return self.list_models(head),
            "/v1/models" => None,
            _ if path.starts_with(SERVICES_PATH) => return self.call_service(head, body, id).await,
            _ => return Err(Error::new(Kind::NotFound, format!("no such path: {path}"))),
        };
        let Some(api) = api else {
            let message = format!("{path} does not take {}", head.method);
            return Err(Error::new(Kind::MethodNotAllowed, message));
        };
        self.run_prompt(api, head, body, id).await
    }

    /// Checks the total size of the header names and values.
    fn check_header_size(&self, headers: &HeaderMap) -> Result<(), Error> {
        let limit = self.shared.settings.catalog.limits.header;
        let size: usize = headers.iter().map(|(name, it)| name.as_str().len() + it.len()).sum();
        if size > limit {
            let message = format!("the header has {size} bytes, at most {limit}");
            return Err(Error::new(Kind::HeaderTooLarge, message));
        }
        Ok(())
    }

    /// Returns the caller that the request's API key identifies, and its workspace.
    fn authenticate(&self, headers: &HeaderMap) -> Result<(Caller, Arc<WorkspaceEntry>), Error> {
        let field = headers.get(header::AUTHORIZATION).and_then(|it| it.to_str().ok());
        let Some(key) = field.and_then(|it| it.strip_prefix("Bearer ")) else {
            return Err(Error::new(Kind::KeyMissing, "send your key as `Authorization: Bearer`"));
        };
        let catalog = &self.shared.settings.catalog;
        let unknown = || Error::new(Kind::KeyUnknown, "the key is not known");
        let caller = catalog.keys.find(key.trim()).ok_or_else(unknown)?;
        let workspace = catalog.workspaces.get(&caller.workspace).ok_or_else(unknown)?;
        Ok((caller.clone(), workspace.clone()))
    }

    /// Authenticates the caller and counts the request as in flight in its workspace.
    fn admit(&self, headers: &HeaderMap) -> Result<AdmittedCaller, Error> {
        let (caller, workspace) = self.authenticate(headers)?;
        if self.shared.stop.is_cancelled() {
            let err = Error::new(Kind::ShuttingDown, "this host is shutting down");
            return Err(err.with_retry_after(Duration::from_secs(1)));
        }
        let limit = workspace.max_in_flight;
        let Some(workspace_permit) = self.shared.workspaces.try_acquire(&workspace.name, limit)
        else {
            let message = format!("the workspace has {limit} requests in flight, its limit");
            let err = Error::new(Kind::WorkspaceBusy, message);
            return Err(err.with_retry_after(Duration::from_secs(1)));
        };
        Ok(AdmittedCaller { caller, workspace, workspace_permit })
    }

    /// Returns the models that the caller's workspace may use.
    fn list_models(&self, head: &Parts) -> Result<Response, Error> {
        let (_, workspace) = self.authenticate(&head.headers)?;
        self.shared.metrics.count_outcome(OUTCOME_OK);
        Ok(json_response(StatusCode::OK, &openai::models(&workspace.models)))
    }

    /// Reads the body within the limits of size and time.
    async fn read_body(&self, head: &Parts, mut body: Body) -> Result<Bytes, Error> {
        let limits = &self.shared.settings.catalog.limits;
        let too_large = || {
            let message = format!("the body is larger than {} bytes", limits.body);
            Error::new(Kind::BodyTooLarge, message)
        };
        let content_length = head.headers.get(header::CONTENT_LENGTH);
        let content_length = content_length.and_then(|it| it.to_str().ok()?.parse::<usize>().ok());
        if content_length.is_some_and(|it| it > limits.body) {
            return Err(too_large());
        }
        let mut bytes = Vec::with_capacity(content_length.unwrap_or(0));
        loop {
            match timeout(limits.body_stall, body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if bytes.len() + data.len() > limits.body {
                        return Err(too_large());
                    }
                    bytes.extend_from_slice(&data);
                }
                Ok(Some(Err(_))) => {
                    return Err(Error::new(Kind::BodyBroken, "the body broke off"));
                }
                Ok(None) => return Ok(bytes.into()),
                Err(_) => return Err(Error::new(Kind::BodyStalled, "the body stopped arriving")),
            }
        }
    }

    /// Admits and parses a chat or completion request, runs it, and returns the answer.
    async fn run_prompt(
        &self,
        api: Api,
        head: &Parts,
        body: Body,
        id: &FastStr,
    ) -> Result<Response, Error> {
        let admitted = self.admit(&head.headers)?;
        let request = prompt::parse(api, &self.read_body(head, body).await?)?;
        request.check_allowed(&admitted.workspace, &self.shared.settings.catalog)?;
        let writer = openai::Writer::new(&request, id, unix_millis() / 1000);
        let stream = request.stream;
        let job = Job {
            id: id.clone(),
            caller: admitted.caller,
            request,
            workspace_permit: admitted.workspace_permit,
        };
        let mut chunks = relay::start(&self.shared, job);
        if !stream {
            return buffered_response(&writer, chunks).await;
        }
        // The response headers wait for the first chunk, so that an error before it is sent with
        // its own status.
        match chunks.recv().await {
            Some(Chunk::Fail(err)) => Err(err),
            Some(first) => Ok(streamed_response(writer, first, chunks)),
            None => Err(Error::new(Kind::Internal, "the answer broke off")),
        }
    }

    /// Admits a call to a plain service and returns the reply of the service.
    async fn call_service(
        &self,
        head: &Parts,
        body: Body,
        id: &FastStr,
    ) -> Result<Response, Error> {
        let admitted = self.admit(&head.headers)?;
        let rest = &head.uri.path()[SERVICES_PATH.len()..];
        let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
        let allowed = admitted.workspace.services.iter().any(|it| it.as_str() == name);
        let service = self.shared.settings.catalog.services.get(name).filter(|_| allowed);
        let Some(service) = service else {
            let message = format!("the service `{name}` does not exist");
            return Err(Error::new(Kind::ServiceUnknown, message));
        };
        let query = head.uri.query().map(|it| format!("?{it}")).unwrap_or_default();
        let key = head.headers.get(IDEMPOTENCY_KEY);
        let call = services::Call {
            id: id.clone(),
            caller: admitted.caller,
            service: service.clone(),
            message: Message {
                method: head.method.clone(),
                path: format!("/{path}{query}"),
                headers: forwarded_headers(&head.headers),
                body: self.read_body(head, body).await?,
            },
            idempotency_key: key.and_then(|it| it.to_str().ok()).map(Into::into),
        };
        let reply = self.forward_call(call, admitted.workspace_permit).await?;
        self.shared.metrics.count_outcome(OUTCOME_OK);
        Ok(service_response(reply))
    }

    /// Forwards a call in a task of its own, so that a caller that disconnects does not interrupt
    /// a claim half way.
    async fn forward_call(
        &self,
        call: services::Call,
        workspace_permit: WorkspacePermit,
    ) -> Result<Reply, Error> {
        let shared = self.shared.clone();
        let task = self.shared.tasks.spawn(async move {
            let result = services::forward(&shared, &call).await;
            drop(workspace_permit);
            result
        });
        let no_result = |_| Error::new(Kind::Internal, "the call broke off");
        task.await.map_err(no_result)?
    }
}

impl<E, B, T> VoloService<ServerContext, Request> for PublicApi<E, B, T>
where
    E: Engine,
    B: PlainService,
    T: Table,
{
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, request: Request) -> Result<Response, Infallible> {
        Ok(self.handle(request).await)
    }
}

/// Collects a complete answer and builds one response from it.
async fn buffered_response(
    writer: &openai::Writer,
    mut chunks: mpsc::Receiver<Chunk>,
) -> Result<Response, Error> {
    let mut text = String::new();
    while let Some(chunk) = chunks.recv().await {
        match chunk {
            Chunk::Text(more) => text.push_str(&more),
            Chunk::End(more, ending) => {
                text.push_str(&more);
                return Ok(body_response("application/json", writer.response_body(text, &ending)));
            }
            Chunk::Fail(err) => return Err(err),
        }
    }
    Err(Error::new(Kind::Internal, "the answer broke off"))
}

/// Returns the header fields that are forwarded to a plain service.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let forwarded = headers.iter().filter(|(name, _)| !UNFORWARDED_FIELDS.contains(name));
    forwarded.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Builds a response of server-sent events, which starts with the chunk that was received already.
fn streamed_response(
    writer: openai::Writer,
    first: Chunk,
    chunks: mpsc::Receiver<Chunk>,
) -> Response {
    let first_event = writer.first_event();
    let state = EventStream { writer, first: Some(first), chunks, ended: false };
    let events = futures_util::stream::unfold(state, EventStream::next);
    let opening =
        futures_util::stream::iter((!first_event.is_empty()).then(|| Ok(Frame::data(first_event))));
    let body = Body::from_stream(futures_util::StreamExt::chain(opening, events));
    let mut response = Response::new(body);
    let fields = response.headers_mut();
    fields.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    fields.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

/// State of a streamed response.
struct EventStream {
    writer: openai::Writer,
    /// The chunk that was received before the response began, until it is sent.
    first: Option<Chunk>,
    chunks: mpsc::Receiver<Chunk>,
    /// Whether the last item was returned.
    ended: bool,
}

impl EventStream {
    /// Returns the next part of the body and the remaining stream, or `None` at the end.
    async fn next(mut self) -> Option<(Result<Frame<Bytes>, BoxError>, Self)> {
        if self.ended {
            return None;
        }
        let chunk = match self.first.take() {
            Some(chunk) => Some(chunk),
            None => self.chunks.recv().await,
        };
        let bytes = match chunk {
            Some(Chunk::Text(text)) => self.writer.text(&text),
            Some(Chunk::End(text, ending)) => {
                self.ended = true;
                self.writer.end(&text, &ending)
            }
            Some(Chunk::Fail(err)) => {
                self.ended = true;
                self.writer.failure(&err)
            }
            // The sender ends with `End` or `Fail` unless the caller stopped reading. The error
            // breaks the connection, so that no client takes the answer for complete.
            None => return Some((Err("the answer broke off".into()), EventStream::ended(self))),
        };
        Some((Ok(Frame::data(bytes)), self))
    }

    /// Returns the stream marked as ended.
    fn ended(mut self) -> Self {
        self.ended = true;
        self
    }
}

/// Builds the caller's response from the reply of a plain service.
fn service_response(reply: Reply) -> Response {
    let mut response = Response::new(Body::from(reply.body));
    *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::OK);
    let content_type = reply.content_type.and_then(|it| HeaderValue::from_str(&it).ok());
    if let Some(value) = content_type {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    if reply.replayed {
        response.headers_mut().insert(REPLAYED, HeaderValue::from_static("true"));
    }
    response
}

/// Builds a response with a JSON body.
pub fn json_response<V>(status: StatusCode, value: &V) -> Response
where
    V: Serialize,
{
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = body_response("application/json", bytes.into());
    *response.status_mut() = status;
    response
}

/// Builds a successful response with the given media type and body.
pub fn body_response(content_type: &'static str, bytes: Bytes) -> Response {
    let mut response = Response::new(Body::from(bytes));
    let value = HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
