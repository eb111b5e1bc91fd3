//! Why a call failed and whether the other side may have acted on it. Every client reports its
//! failures as a [`Fault`], and retry decisions rest on it.

use http::StatusCode;
use thiserror::Error;

/// Whether a failed call can have reached the other side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// No byte of the call can have been acted on.
    NotSent,
    /// The call may have been acted on, in whole or in part.
    Unknown,
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No connection could be established.
    Connect,
    /// No response arrived in time.
    Timeout,
    /// The connection broke.
    Broken,
    /// The other side responded with this HTTP status, which is not a success.
    Refused(u16),
    /// The response violated the protocol.
    Protocol,
}

/// The failure of a call.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("{cause:?}, reach {delivery:?}")]
pub struct Fault {
    /// Whether the other side can have acted on the call.
    pub delivery: Delivery,
    /// Why the call failed.
    pub cause: Cause,
}

/// Returns whether a status exists and ends an exchange. HTTP libraries read any three digits.
pub(crate) fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

impl Fault {
    /// No connection could be established, so nothing was sent.
    pub const CONNECT: Fault = Fault { delivery: Delivery::NotSent, cause: Cause::Connect };
    /// No response arrived in time; the call may have been acted on.
    pub const TIMEOUT: Fault = Fault { delivery: Delivery::Unknown, cause: Cause::Timeout };
    /// The connection broke after bytes may have been sent.
    pub const BROKEN: Fault = Fault { delivery: Delivery::Unknown, cause: Cause::Broken };
    /// The response violated the protocol; the call may have been acted on.
    pub const PROTOCOL: Fault = Fault { delivery: Delivery::Unknown, cause: Cause::Protocol };

    /// Returns the fault for an HTTP status that is not a success.
    pub fn refused(status: u16) -> Self {
        Fault { delivery: Delivery::Unknown, cause: Cause::Refused(status) }
    }
}
