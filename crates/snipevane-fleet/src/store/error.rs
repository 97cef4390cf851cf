//! Error of a call to the store, which tells whether it may be carried out.

use thiserror::Error;

use crate::client::CallError;

/// A call to the store that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The call wasn't carried out, and may be sent again.
    #[error("the store did not carry out the call")]
    NotApplied,
    /// The call wasn't carried out, and never will be however often it is sent.
    #[error("the store rejects the call for good")]
    Rejected,
    /// The call may have been carried out, or may be later.
    #[error("the store did not answer")]
    NoAnswer,
    /// The store no longer has the requested changes.
    #[error("the store no longer has the requested changes")]
    HistoryGone,
}

impl From<CallError> for StoreError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent => Self::NotApplied,
            CallError::NoAnswer => Self::NoAnswer,
        }
    }
}
