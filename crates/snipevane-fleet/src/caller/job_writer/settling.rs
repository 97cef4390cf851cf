//! What becomes of the changes of a batch once the result of its transaction is known.

use std::time::Duration;

use smol_str::SmolStr;
use snipevane_adapter::rows::Row;
use snipevane_core::batch_limit::Fault;
use tokio::time::sleep;

use crate::caller::outcome::Outcome;
use crate::caller::pending_change::{ChangeKind, PendingChange, WriteResult};
use crate::caller::stored_progress::StoredJob;
use crate::clock::Clock;
use crate::events;
use crate::metrics;
use crate::store::{CommitOutcome, StoreError};

use super::{JobWriter, WRITE_TIMEOUT};

/// Delay before a failed batch is written again.
const RETRY_DELAY: Duration = Duration::from_millis(60);

impl<C: Clock> JobWriter<C> {
    /// Reports the result of a transaction to the callers of its changes, and queues those again that
    /// are to be written again.
    pub(super) async fn settle_batch(
        &self,
        mut batch: Vec<PendingChange>,
        result: Result<CommitOutcome, StoreError>,
    ) {
        // The mark of a stored job stays until the scheduler knows the job: the caller may have gone, and a
        // repeat may arrive before the scheduler has read the row.
        let is_not_applied = matches!(
            result,
            Ok(CommitOutcome::Conflict(_)) | Err(StoreError::NotApplied | StoreError::Rejected)
        );
        for change in &batch {
            let is_stored_tombstone = change.kind == ChangeKind::Tombstone
                && matches!(result, Ok(CommitOutcome::Committed(_)));
            if is_stored_tombstone || is_not_applied && !change.outcome_unknown {
                self.uncertain.clear(change.key());
            }
        }
        match result {
            Ok(CommitOutcome::Committed(_)) => {
                let mut limit = self.batch_limit.get();
                limit.record_accepted();
                self.batch_limit.set(limit);
                for change in batch {
                    change.finish(WriteResult::Outcome(Outcome::Stored));
                }
            }
            Ok(CommitOutcome::Conflict(current_rows)) => {
                self.report_conflicts(batch, &current_rows)
            }
            Err(StoreError::Rejected) => self.split_rejected(batch),
            Err(error) => {
                for change in &mut batch {
                    change.outcome_unknown |= error != StoreError::NotApplied;
                }
                self.retry(batch).await;
            }
        }
    }

    /// Queues a batch that the store rejects for good again, to be written in smaller ones, or reports the
    /// rejection if it is due to the only change.
    fn split_rejected(&self, mut batch: Vec<PendingChange>) {
        let mut limit = self.batch_limit.get();
        let fault = limit.record_rejected(batch.len());
        limit.skip_renewal();
        self.batch_limit.set(limit);
        if fault == Fault::SomeChange {
            self.pending.requeue(batch);
            return;
        }
        for change in batch.drain(..) {
            metrics::record_rejected_change("submission");
            let key = change.key();
            events::record(&events::CHANGE_REJECTED, &[&"submission", key, &0]);
            let outcome = if change.outcome_unknown {
                Outcome::Unknown
            } else {
                Outcome::Rejected
            };
            change.finish(WriteResult::Outcome(outcome));
        }
    }

    /// Reports a conflict for each change whose condition doesn't hold, and queues the others for
    /// the next batch.
    fn report_conflicts(&self, batch: Vec<PendingChange>, current_rows: &[Row]) {
        let mut rest = Vec::new();
        for change in batch {
            let (table, key, expected) = &change.condition;
            let row = current_rows
                .iter()
                .find(|row| row.table == *table && row.key == *key);
            let version = row.map_or(0, |row| row.version);
            if version == *expected {
                rest.push(change);
                continue;
            }
            let stored = stored_job(change.key(), row);
            match stored {
                // No submission that is still under way is stored any more.
                StoredJob::Tombstone => self.uncertain.clear(change.key()),
                _ if change.kind == ChangeKind::Submission => self.mark_uncertain(change.key()),
                _ => {}
            }
            change.finish(WriteResult::Conflict(stored));
        }
        self.pending.requeue(rest);
    }

    /// Queues a failed batch again after a delay, without the changes that have expired.
    pub(super) async fn retry(&self, batch: Vec<PendingChange>) {
        let now = self.node.clock.now();
        let unreachable = self.node.store.is_unreachable();
        let (expired, rest): (Vec<PendingChange>, Vec<PendingChange>) =
            batch.into_iter().partition(|change| {
                // A change that certainly isn't stored isn't retried while the store is
                // unreachable: the caller can send its request again.
                now > change.queued_at + WRITE_TIMEOUT || (unreachable && !change.outcome_unknown)
            });
        for change in expired {
            let is_uncertain =
                change.outcome_unknown || self.may_be_stored(change.key(), Some(change.number));
            change.finish(WriteResult::Outcome(Outcome::given_up(is_uncertain)));
        }
        if rest.is_empty() {
            return;
        }
        self.pending.requeue(rest);
        sleep(RETRY_DELAY).await;
    }
}

/// Returns what the store has of the job with a key, given the row of its progress.
fn stored_job(key: &SmolStr, row: Option<&Row>) -> StoredJob {
    match (key.parse(), row) {
        (Ok(id), Some(row)) => StoredJob::decode(id, row.version, row.value.as_deref()),
        _ => StoredJob::Absent,
    }
}
