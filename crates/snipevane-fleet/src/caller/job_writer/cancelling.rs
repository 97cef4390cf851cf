//! Requests to cancel jobs, and the tombstones of those that aren't stored.

use std::rc::Rc;

use smol_str::SmolStr;
use snipevane_core::jobs::{JobId, Progress};

use crate::caller::cancellation::Cancellation;
use crate::caller::outcome::Outcome;
use crate::caller::pending_change::{ChangeKind, WriteResult};
use crate::caller::stored_progress::StoredJob;
use crate::clock::Clock;
use crate::rows::{self, CancelRow, JOBS_TABLE, PROGRESS_TABLE};

use super::{JobWriter, WRITE_TIMEOUT};

impl<C: Clock> JobWriter<C> {
    /// Stores a request of a team to cancel a job, of which the store was seen to have `stored`.
    ///
    /// A job that isn't stored gets a tombstone, which a submission that is stored later conflicts with, wherever it
    /// is on its way: the store decides which of the two came first.
    pub(in crate::caller) async fn cancel(
        self: &Rc<Self>,
        id: JobId,
        mut stored: StoredJob,
        team: Option<&SmolStr>,
    ) -> Cancellation {
        let key = rows::job_key(id);
        let started = self.node.clock.now();
        let mut has_token = false;
        loop {
            let version = match stored {
                StoredJob::Tombstone => return Cancellation::NoSuchJob,
                StoredJob::Unreadable => return Cancellation::Unreadable,
                StoredJob::Present { state, .. } if state.is_final() => {
                    return Cancellation::Stored;
                }
                StoredJob::Present { version, .. } => version,
                StoredJob::Absent => 0,
            };
            if version == 0 && !has_token {
                let vms = self.node.entry_vms.get().unwrap_or(1);
                let taken = self.tombstones.borrow_mut().take(team, vms, started);
                if let Err(retry_after) = taken {
                    return Cancellation::OverBudget { retry_after };
                }
                has_token = true;
            }
            stored = match self.write_cancellation(id, version).await {
                WriteResult::Outcome(Outcome::Stored) if version == 0 => {
                    return Cancellation::NoSuchJob;
                }
                WriteResult::Outcome(Outcome::Stored) => return Cancellation::Stored,
                WriteResult::Outcome(outcome) => return Cancellation::Failed(outcome),
                // The row was deleted, which happens long after the job has ended.
                WriteResult::Conflict(StoredJob::Absent) => return Cancellation::Stored,
                // The job was stored or its progress changed in the meantime; try again with its new version.
                WriteResult::Conflict(newer) => newer,
            };
            if self.node.clock.now() > started + WRITE_TIMEOUT {
                // An earlier attempt without an answer may have stored the request.
                return Cancellation::Failed(Outcome::given_up(self.is_uncertain(&key)));
            }
        }
    }

    /// Writes a request to cancel a job whose progress row has this version, or a tombstone if that is 0.
    async fn write_cancellation(self: &Rc<Self>, id: JobId, version: u64) -> WriteResult {
        let key = rows::job_key(id);
        let condition = (PROGRESS_TABLE.into(), key.clone(), version);
        let unix_ms = self.node.clock.unix_ms();
        let request = CancelRow {
            tombstone_unix_ms: if version == 0 { unix_ms } else { 0 },
        };
        let mut writes = vec![(
            JOBS_TABLE.into(),
            rows::cancel_key(id),
            rows::encode(&request),
        )];
        if version > 0 {
            return self
                .write(condition, writes, ChangeKind::Cancellation)
                .await;
        }
        let tombstone = rows::encode(&Progress::tombstone(unix_ms));
        writes.push((PROGRESS_TABLE.into(), key, tombstone));
        self.write(condition, writes, ChangeKind::Tombstone).await
    }
}
