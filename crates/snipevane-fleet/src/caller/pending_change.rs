//! A change of a caller that is queued to be written.

use std::time::Duration;

use smol_str::SmolStr;
use snipevane_adapter::rows::Transaction;
use tokio::sync::oneshot;

use super::outcome::Outcome;

/// Result of a conditional write.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteResult {
    Outcome(Outcome),
    /// The condition didn't hold; the row has this version, or 0 if it is absent.
    Conflict {
        version: u64,
    },
}

/// A change to one job that is queued to be written.
pub(super) struct PendingChange {
    /// Number that identifies the change in this process.
    pub(super) number: u64,
    /// Table, key and expected version of the row on which the change is conditional.
    pub(super) condition: (SmolStr, SmolStr, u64),
    /// Rows to write.
    pub(super) writes: Vec<(SmolStr, SmolStr, Vec<u8>)>,
    /// Whether a conflict is also reported if the row is absent, which has version 0.
    pub(super) conflict_if_absent: bool,
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
