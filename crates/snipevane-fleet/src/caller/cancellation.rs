//! Outcomes of requests to cancel a job.

use std::time::Duration;

use super::outcome::Outcome;

/// Outcome of a request to cancel a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cancellation {
    /// The request is stored, or the job has ended.
    Stored,
    /// No such job is stored, and the store accepts no submission of it any more.
    NoSuchJob,
    /// The request isn't stored, as the job's progress can't be read.
    Unreadable,
    /// The request isn't stored, or it isn't known whether it is.
    Failed(Outcome),
    /// No such job is stored at present, but a submission under way may still be, as the budget of tombstones is used
    /// up.
    OverBudget {
        /// Time until the next one.
        retry_after: Duration,
    },
}
