//! Error of a call, which tells whether the request may be executed.

use thiserror::Error;

/// Error of a call that got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// The request was not sent, so it has no effect.
    #[error("request not sent")]
    NotSent,
    /// The request was sent; it may have been executed, or may still be.
    #[error("no response")]
    NoAnswer,
}

impl CallError {
    /// Returns the error of a call that timed out.
    pub(super) fn timed_out(sent: bool) -> Self {
        if sent { Self::NoAnswer } else { Self::NotSent }
    }

    /// Maps an HTTP error to whether the request may have been written before it occurred.
    pub(super) fn from_http(error: &hyper::Error) -> Self {
        if error.is_canceled() {
            Self::NotSent
        } else {
            Self::NoAnswer
        }
    }
}
