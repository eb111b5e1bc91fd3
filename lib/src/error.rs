//! Error kinds, and the table of how each kind is reported to the caller. Callers get no error that
//! is not in the table.

use std::time::Duration;

use crate::generated::openai::{ErrorBody, ErrorObject, ErrorObjectRun};

/// Whether a request that failed may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStatus {
    /// No byte of the request can have been acted on, and none will be.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// How a kind is reported to the caller: one row of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptor {
    /// HTTP status.
    pub status: u16,
    /// `type` of the error object.
    pub error_type: &'static str,
    /// `code` of the error object.
    pub code: &'static str,
    /// Whether the request may have run.
    pub run: RunStatus,
    /// Whether the response says when to retry.
    pub has_retry_after: bool,
}

/// Defines [`Kind`] and the descriptor of each kind.
macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident: $status:literal $error_type:ident $code:literal $run:ident $has_retry_after:literal;)*) => {
        /// What went wrong with a request.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Kind {
            $($(#[$doc])* $kind,)*
        }

        impl Kind {
            /// All kinds, in the order of the table.
            pub const ALL: &[Kind] = &[$(Kind::$kind,)*];

            /// Returns how the kind is reported.
            pub fn descriptor(self) -> Descriptor {
                match self {
                    $(Kind::$kind => Descriptor {
                        status: $status,
                        error_type: $error_type,
                        code: $code,
                        run: RunStatus::$run,
                        has_retry_after: $has_retry_after,
                    },)*
                }
            }
        }
    };
}

// Values of `type` in the error object.
const INVALID: &str = "invalid_request_error";
const DENIED: &str = "authentication_error";
const LIMITED: &str = "rate_limit_error";
const SERVER: &str = "server_error";

kinds! {
    /// The path is not served.
    NotFound: 404 INVALID "not_found" NotRun false;
    /// The path does not support the method.
    MethodNotAllowed: 405 INVALID "method_not_allowed" NotRun false;
    /// The header fields exceed the size limit.
    HeaderTooLarge: 431 INVALID "header_too_large" NotRun false;
    /// The body exceeds the size limit.
    BodyTooLarge: 413 INVALID "body_too_large" NotRun false;
    /// The body stopped arriving.
    BodyStalled: 408 INVALID "body_stalled" NotRun false;
    /// The connection broke before the body was complete.
    BodyBroken: 400 INVALID "body_broken" NotRun false;
    /// The body is not JSON, or does not match the schema of the call.
    BadJson: 400 INVALID "bad_json" NotRun false;
    /// A field has an unsupported value.
    BadValue: 400 INVALID "bad_value" NotRun false;
    /// The request has no API key.
    KeyMissing: 401 DENIED "key_missing" NotRun false;
    /// The API key belongs to no workspace.
    KeyUnknown: 401 DENIED "invalid_api_key" NotRun false;
    /// The model is not in the settings.
    ModelUnknown: 404 INVALID "model_not_found" NotRun false;
    /// The caller's workspace may not use the model. Reported like an unknown model, so that
    /// nobody learns what other workspaces use.
    ModelForbidden: 404 INVALID "model_not_found" NotRun false;
    /// The service is not in the settings, or the caller's workspace may not use it.
    ServiceUnknown: 404 INVALID "service_not_found" NotRun false;
    /// The workspace has reached its limit of requests in flight.
    WorkspaceBusy: 429 LIMITED "workspace_busy" NotRun true;
    /// No upstream has capacity for the request.
    Overloaded: 503 SERVER "overloaded" NotRun true;
    /// No upstream that serves the model is known to be up.
    NoUpstream: 503 SERVER "no_upstream" NotRun true;
    /// This host reaches no upstream of the service, as far as it knows; other hosts may.
    Unreachable: 503 SERVER "upstreams_unreachable" NotRun true;
    /// The stream cannot go on: no upstream of the build that began it is left, or the build is not known.
    StreamLost: 503 SERVER "stream_lost" NotRun true;
    /// The host is shutting down.
    ShuttingDown: 503 SERVER "shutting_down" NotRun true;
    /// Every attempt failed and no further one is allowed. A prompt has no side effects, so
    /// nothing of it remains, but an engine may have done work for it.
    UpstreamFailed: 502 SERVER "upstream_failed" Unknown true;
    /// The upstream violated the protocol.
    UpstreamInvalid: 502 SERVER "upstream_invalid" Unknown true;
    /// The request exceeded its time limit.
    TimedOut: 504 SERVER "timed_out" Unknown true;
    /// A request that is not idempotent came without a usable idempotency key.
    IdempotencyKeyMissing: 400 INVALID "idempotency_key_missing" NotRun false;
    /// The idempotency key was already used for a different request.
    IdempotencyKeyReused: 422 INVALID "idempotency_key_reused" NotRun false;
    /// A request with the same idempotency key is running.
    InProgress: 409 INVALID "in_progress" Unknown true;
    /// The table service does not respond, so a request that is not idempotent cannot be
    /// claimed.
    TableUnavailable: 503 SERVER "table_unavailable" NotRun true;
    /// No route matches the request's host name and path.
    RouteUnknown: 404 INVALID "route_not_found" NotRun false;
    /// This host has not received the configuration yet.
    NotConfigured: 503 SERVER "not_configured" NotRun true;
    /// Upstreams broke the connection each time they ran this request, or requests with the same
    /// prompt parts, so it is not sent to others.
    Quarantined: 503 SERVER "quarantined" NotRun true;
    /// The request was given up before it was sent; it will not be sent later either.
    NotRun: 503 SERVER "not_run" NotRun true;
    /// The request was sent, but its outcome is unknown.
    OutcomeUnknown: 502 SERVER "outcome_unknown" Unknown false;
    /// The fault lies in this program.
    Internal: 500 SERVER "internal" Unknown false;
}

/// An error that is reported to the caller.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{}: {message}", kind.descriptor().code)]
pub struct Error {
    /// The kind, which determines status, type and code.
    pub kind: Kind,
    /// Message for the caller.
    pub message: String,
    /// The request field that caused the error.
    pub param: Option<&'static str>,
    /// The time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl Error {
    /// Creates an error without a request field or retry time.
    pub fn new<S>(kind: Kind, message: S) -> Self
    where
        S: Into<String>,
    {
        Error { kind, message: message.into(), param: None, retry_after: None }
    }

    /// Sets the request field that caused the error.
    pub fn with_param(self, param: &'static str) -> Self {
        Error { param: Some(param), ..self }
    }

    /// Sets the time after which the caller may retry.
    pub fn with_retry_after(self, after: Duration) -> Self {
        Error { retry_after: Some(after), ..self }
    }

    /// Returns the `Retry-After` value in seconds, rounded up and at least 1, or `None` if the
    /// kind has none or no time is set.
    pub fn retry_seconds(&self) -> Option<u64> {
        let after = self.retry_after.filter(|_| self.kind.descriptor().has_retry_after)?;
        Some((after.as_millis().div_ceil(1000) as u64).max(1))
    }

    /// Returns the response body for the caller.
    pub fn body(&self, request_id: &str) -> ErrorBody {
        let descriptor = self.kind.descriptor();
        let run = match descriptor.run {
            RunStatus::NotRun => ErrorObjectRun::No,
            RunStatus::Unknown => ErrorObjectRun::Unknown,
        };
        ErrorBody {
            error: ErrorObject {
                message: self.message.clone(),
                type_: descriptor.error_type.into(),
                param: self.param.map(Into::into),
                code: descriptor.code.into(),
                run,
                request_id: request_id.into(),
                retry_after: self.retry_seconds(),
            },
        }
    }
}
