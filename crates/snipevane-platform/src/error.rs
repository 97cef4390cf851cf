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
    /// The connection broke before the whole answer arrived.
    #[error("the connection to the platform broke: {0}")]
    ConnectionLost(SmolStr),
    /// The answer didn't arrive before the call's deadline.
    #[error("the platform didn't answer before the deadline")]
    DeadlineExceeded,
    /// The client has as many calls in flight as its settings allow.
    #[error("too many calls to the platform are in flight")]
    TooManyInFlight,
    /// The platform refused the call over its rate.
    #[error("the platform refuses calls over its rate")]
    RateLimited {
        /// Time that the platform asks the client to wait.
        retry_after: Duration,
    },
    /// The platform refused the call.
    #[error("the platform refused the call with status {0}")]
    Refused(u16),
    /// The answer wasn't understood.
    #[error("the platform's answer isn't understood: {0}")]
    Malformed(SmolStr),
}

impl PlatformError {
    /// Returns whether the call can't have had an effect on the platform.
    ///
    /// A status of 503 or of the class 4xx is the platform's own statement that it did nothing.
    pub fn is_without_effect(&self) -> bool {
        match self {
            Self::Unreachable(_) | Self::TooManyInFlight | Self::RateLimited { .. } => true,
            Self::Refused(status) => *status == 503 || (400..500).contains(status),
            Self::ConnectionLost(_) | Self::DeadlineExceeded | Self::Malformed(_) => false,
        }
    }

    /// Returns whether the same read may succeed if it's sent again.
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
    /// A check failed; the transaction had no effect.
    #[error("the transaction conflicts on {}", .keys.join(", "))]
    Conflict {
        /// Rows whose checks failed.
        keys: Vec<SmolStr>,
    },
    /// The transaction had no effect.
    #[error("the transaction was not applied: {0}")]
    NotApplied(PlatformError),
    /// The transaction may have taken effect, or may yet do so.
    #[error("it is unknown whether the transaction was applied: {0}")]
    Unknown(PlatformError),
}
