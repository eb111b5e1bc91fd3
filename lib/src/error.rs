//! The closed list of error kinds and the table from a kind to its answer.

use std::time::Duration;

use crate::generated::openai::{ErrorBody, ErrorObject, ErrorObjectRun};

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStatus {
    /// No byte of the request can have been acted on, and none will be.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// A kind's answer to the caller.
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
    /// Whether the answer tells when to come back.
    pub has_retry_after: bool,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident: $status:literal $error_type:ident $code:literal $run:ident $retry:literal;)*) => {
        /// What went wrong with a request.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Kind {
            $($(#[$doc])* $kind,)*
        }

        impl Kind {
            /// All kinds, in the order of the table.
            pub const ALL: &[Kind] = &[$(Kind::$kind,)*];

            /// Returns the kind's row of the table.
            pub fn descriptor(self) -> Descriptor {
                match self {
                    $(Kind::$kind => Descriptor {
                        status: $status,
                        error_type: $error_type,
                        code: $code,
                        run: RunStatus::$run,
                        has_retry_after: $retry,
                    },)*
                }
            }
        }
    };
}

const INVALID: &str = "invalid_request_error";
const DENIED: &str = "authentication_error";
const LIMITED: &str = "rate_limit_error";
const SERVER: &str = "server_error";

kinds! {
    /// The path is not served.
    NotFound: 404 INVALID "not_found" NotRun false;
    /// The path does not take the method.
    MethodNotAllowed: 405 INVALID "method_not_allowed" NotRun false;
    /// The header fields are larger than the limit.
    HeaderTooLarge: 431 INVALID "header_too_large" NotRun false;
    /// The body is larger than the limit.
    BodyTooLarge: 413 INVALID "body_too_large" NotRun false;
    /// The body stopped arriving.
    BodyStalled: 408 INVALID "body_stalled" NotRun false;
    /// The body broke off.
    BodyBroken: 400 INVALID "body_broken" NotRun false;
    /// The body is not JSON, or not the JSON of the call.
    BadJson: 400 INVALID "bad_json" NotRun false;
    /// A field's value is not served.
    BadValue: 400 INVALID "bad_value" NotRun false;
    /// No key was sent.
    KeyMissing: 401 DENIED "key_missing" NotRun false;
    /// The key is of no workspace.
    KeyUnknown: 401 DENIED "invalid_api_key" NotRun false;
    /// The model is not in the settings.
    ModelUnknown: 404 INVALID "model_not_found" NotRun false;
    /// The model is not of the caller's workspace. Answered as an unknown one, so that
    /// nobody learns what other workspaces use.
    ModelForbidden: 404 INVALID "model_not_found" NotRun false;
    /// The service is not in the settings, or not of the caller's workspace.
    ServiceUnknown: 404 INVALID "service_not_found" NotRun false;
    /// The workspace has as many requests in flight as it may.
    WorkspaceBusy: 429 LIMITED "workspace_busy" NotRun true;
    /// No upstream has room.
    Overloaded: 503 SERVER "overloaded" NotRun true;
    /// No upstream that serves the model is known to be up.
    NoUpstream: 503 SERVER "no_upstream" NotRun true;
    /// The host is shutting down.
    ShuttingDown: 503 SERVER "shutting_down" NotRun true;
    /// Every attempt failed and no further one is allowed; a prompt has no effects, so
    /// nothing of it remains, but work may have been done.
    UpstreamFailed: 502 SERVER "upstream_failed" Unknown true;
    /// The upstream broke the protocol.
    UpstreamInvalid: 502 SERVER "upstream_invalid" Unknown true;
    /// The request took longer than the limit.
    TimedOut: 504 SERVER "timed_out" Unknown true;
    /// A request that is not idempotent came without a usable idempotency key.
    IdempotencyKeyMissing: 400 INVALID "idempotency_key_missing" NotRun false;
    /// The idempotency key was used for another request.
    IdempotencyKeyReused: 422 INVALID "idempotency_key_reused" NotRun false;
    /// A request with the same idempotency key is running.
    InProgress: 409 INVALID "in_progress" Unknown true;
    /// The table service does not answer, so that a request that is not idempotent
    /// cannot be claimed.
    TableUnavailable: 503 SERVER "table_unavailable" NotRun true;
    /// No route has the request's host name and path.
    RouteUnknown: 404 INVALID "route_not_found" NotRun false;
    /// This host does not know the configuration yet.
    NotConfigured: 503 SERVER "not_configured" NotRun true;
    /// Upstreams broke off each time they ran this request; it is kept from others.
    Quarantined: 503 SERVER "quarantined" NotRun true;
    /// The request was given up before it was sent, and never will be.
    NotRun: 503 SERVER "not_run" NotRun true;
    /// The request was sent and its outcome was lost.
    OutcomeUnknown: 502 SERVER "outcome_unknown" Unknown false;
    /// The program is at fault.
    Internal: 500 SERVER "internal" Unknown false;
}

/// An error with what its answer needs.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{}: {message}", kind.descriptor().code)]
pub struct Error {
    /// The kind, which decides the answer.
    pub kind: Kind,
    /// Text for the caller.
    pub message: String,
    /// The field at fault.
    pub param: Option<&'static str>,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl Error {
    /// Creates an error.
    pub fn new<S>(kind: Kind, message: S) -> Self
    where
        S: Into<String>,
    {
        Error { kind, message: message.into(), param: None, retry_after: None }
    }

    /// Names the field at fault.
    pub fn param(self, param: &'static str) -> Self {
        Error { param: Some(param), ..self }
    }

    /// Tells when to come back.
    pub fn retry_after(self, after: Duration) -> Self {
        Error { retry_after: Some(after), ..self }
    }

    /// Returns the seconds of the `Retry-After` field, rounded up, where the kind has one.
    pub fn retry_seconds(&self) -> Option<u64> {
        let after = self.retry_after.filter(|_| self.kind.descriptor().has_retry_after)?;
        Some((after.as_millis().div_ceil(1000) as u64).max(1))
    }

    /// Returns the error object for the caller.
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
