//! A change of a caller that is queued to be written.

use std::time::Duration;

use smol_str::SmolStr;
use snipevane_adapter::rows::Transaction;
use tokio::sync::oneshot;

use super::outcome::Outcome;
use super::stored_progress::StoredJob;

/// Result of a conditional write.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteResult {
    Outcome(Outcome),
    /// The condition didn't hold: the store has this of the job.
    Conflict(StoredJob),
}

/// What a change does to its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChangeKind {
    /// Stores the job, on condition that the store has nothing of it.
    Submission,
    /// Leaves a tombstone, on the same condition.
    Tombstone,
    /// Stores a request to cancel the job, on condition that its progress is the one that was read.
    Cancellation,
}

/// A change to one job that is queued to be written.
pub(super) struct PendingChange {
    /// Number that identifies the change in this process.
    pub(super) number: u64,
    /// Table, key and expected version of the row on which the change is conditional.
    pub(super) condition: (SmolStr, SmolStr, u64),
    /// Rows to write.
    pub(super) writes: Vec<(SmolStr, SmolStr, Vec<u8>)>,
    pub(super) kind: ChangeKind,
    /// Time on the monotonic clock at which the change was queued.
    pub(super) queued_at: Duration,
    /// Whether an earlier write of the change may have been applied although it failed.
    pub(super) outcome_unknown: bool,
    pub(super) result_tx: oneshot::Sender<WriteResult>,
}

impl PendingChange {
    /// Returns the key of the job.
    pub(super) fn key(&self) -> &SmolStr {
        &self.condition.1
    }

    /// Returns the entries of the change.
    pub(super) fn entries(&self) -> Transaction {
        Transaction {
            conditions: vec![self.condition.clone()],
            writes: self.writes.clone(),
            ..Transaction::default()
        }
    }

    /// Sends the result to the caller, which may have disconnected.
    pub(super) fn finish(self, result: WriteResult) {
        let _ = self.result_tx.send(result);
    }
}
