//! What may have happened to a call that failed, from the socket upwards.

use thiserror::Error;

/// How far a failed call can have come.
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
    /// No connection came about.
    Connect,
    /// No answer came in time.
    Timeout,
    /// The connection broke.
    Broken,
    /// The other side answered with this HTTP status.
    Refused(u16),
    /// The answer broke the protocol.
    Protocol,
}

/// A call that failed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("{cause:?}, reach {delivery:?}")]
pub struct Fault {
    /// How far the call can have come.
    pub delivery: Delivery,
    /// Why it failed.
    pub cause: Cause,
}

impl Fault {
    /// A call for which no connection came about.
    pub const CONNECT: Fault = Fault { delivery: Delivery::NotSent, cause: Cause::Connect };
    /// A call that may have been acted on but whose answer did not come in time.
    pub const TIMEOUT: Fault = Fault { delivery: Delivery::Unknown, cause: Cause::Timeout };
    /// A call whose connection broke after bytes may have been sent.
    pub const BROKEN: Fault = Fault { delivery: Delivery::Unknown, cause: Cause::Broken };
    /// A call whose answer broke the protocol.
    pub const PROTOCOL: Fault = Fault { delivery: Delivery::Unknown, cause: Cause::Protocol };

    /// Returns the fault of an HTTP status that is not a success.
    pub fn refused(status: u16) -> Self {
        Fault { delivery: Delivery::Unknown, cause: Cause::Refused(status) }
    }
}
