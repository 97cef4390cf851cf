//! Outcomes of callers' changes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The change is stored, by this call or an earlier one.
    Stored,
    /// The change isn't stored and won't be.
    NotStored,
    /// The change isn't stored, and the store will never accept it.
    Rejected,
    /// The job isn't stored and won't be, as those that the scheduler holds leave no memory for it.
    Unheld,
    /// The job isn't stored and won't be, as a request to cancel it came first.
    Cancelled,
    /// The change may be stored, or may still be stored later.
    Unknown,
    /// The change isn't stored and won't be, as more changes wait than the store carries in time.
    Busy {
        /// Time until these changes are written, in milliseconds.
        retry_after_ms: u64,
    },
}

impl Outcome {
    /// Returns the outcome of a change that isn't written because others take until `drain_time`.
    pub(super) fn busy(drain_time: Duration) -> Self {
        Self::Busy {
            retry_after_ms: u64::try_from(drain_time.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Returns the outcome of a change that is given up, and that an earlier attempt may have stored or
    /// certainly hasn't.
    pub(super) fn given_up(may_be_stored: bool) -> Self {
        if may_be_stored {
            Self::Unknown
        } else {
            Self::NotStored
        }
    }

    /// Returns whether the outcome states that a change isn't stored and won't be.
    pub(super) fn is_not_stored(self) -> bool {
        matches!(
            self,
            Self::NotStored | Self::Rejected | Self::Unheld | Self::Cancelled | Self::Busy { .. }
        )
    }
}
