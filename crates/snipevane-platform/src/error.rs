//! Errors of calls to the platform.

use std::time::Duration;

use smol_str::SmolStr;
use thiserror::Error;

/// Why a call to the platform failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// No connection could be made, so nothing was sent.
    #[error("the platform can't be reached: {0}")]
    Unreachable(SmolStr),
    /// The connection failed before the whole response arrived.
    #[error("the connection to the platform broke: {0}")]
    ConnectionLost(SmolStr),
    /// No response arrived before the deadline of the call.
    #[error("the platform didn't answer before the deadline")]
    DeadlineExceeded,
    /// The call wasn't sent, since as many calls were in flight as the settings allow.
    #[error("too many calls to the platform are in flight")]
    TooManyInFlight,
    /// The platform refused the call because its rate limit was exceeded (status 429).
    #[error("the platform refuses calls over its rate")]
    RateLimited {
        /// Time after which the platform lets the client retry.
        retry_after: Duration,
    },
    /// The platform refused the call with this HTTP status.
    #[error("the platform refused the call with status {0}")]
    Refused(u16),
    /// The request couldn't be encoded, or the response couldn't be decoded.
    #[error("the platform's answer isn't understood: {0}")]
    Malformed(SmolStr),
}

impl PlatformError {
    /// Returns whether it's certain that the call had no effect on the platform.
    ///
    /// With a status of 503 or 4xx the platform states that it did nothing.
    pub fn is_without_effect(&self) -> bool {
        match self {
            Self::Unreachable(_) | Self::TooManyInFlight | Self::RateLimited { .. } => true,
            Self::Refused(status) => *status == 503 || (400..500).contains(status),
            Self::ConnectionLost(_) | Self::DeadlineExceeded | Self::Malformed(_) => false,
        }
    }

    /// Returns whether a retry of the same read may succeed.
    pub fn is_transient(&self) -> bool {
        match self {
            Self::Unreachable(_) | Self::ConnectionLost(_) | Self::RateLimited { .. } => true,
            Self::Refused(status) => *status >= 500,
            Self::DeadlineExceeded | Self::TooManyInFlight | Self::Malformed(_) => false,
        }
    }
}

/// Why a transaction isn't known to have taken effect.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CommitError {
    /// A check failed, so the transaction had no effect.
    #[error("the transaction conflicts on {}", .keys.join(", "))]
    Conflict {
        /// Keys of the rows whose checks failed.
        keys: Vec<SmolStr>,
    },
    /// The transaction failed before it had any effect.
    #[error("the transaction was not applied: {0}")]
    NotApplied(PlatformError),
    /// The transaction may have taken effect, or may still do so.
    #[error("it is unknown whether the transaction was applied: {0}")]
    Unknown(PlatformError),
}
