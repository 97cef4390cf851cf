//! Writes accepted jobs and cancellations to the store, batched into transactions.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snipevane_adapter::rows::{Row, Transaction};
use snipevane_core::jobs::{JobId, JobSpec, Progress};
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::node::Node;
use crate::peers::scheduler_client;
use crate::rows::{self, JOBS_TABLE, PROGRESS_TABLE};
use crate::store::{CommitOutcome, StoreError};

/// Maximum number of changes in one transaction. Each change takes up to three entries.
const MAX_BATCH: usize = 30;

/// Time after which a change is no longer retried.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_200);

/// Time after which the write of a job that was submitted here has been carried out or given up: the write is
/// retried for [`WRITE_TIMEOUT`], its last attempt waits up to 0.8 s for its turn and 1.5 s for the store, and
/// the rest is a margin for a store that carries out a call after its timeout.
const SUBMISSION_SETTLED: Duration = Duration::from_secs(10);

/// Delay before a failed batch is written again.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The change is stored, by this call or an earlier one.
    Stored,
    /// The change isn't stored and won't be.
    NotStored,
    /// The change may be stored, or may still be stored later.
    Unknown,
}

/// A change to one job that is queued to be written.
struct PendingChange {
    /// Table, key and expected version of the row on which the change is conditional.
    condition: (SmolStr, SmolStr, u64),
    /// Rows to write.
    writes: Vec<(SmolStr, SmolStr, Vec<u8>)>,
    /// Whether a conflict is also reported if the row is absent, which has version 0.
    conflict_if_absent: bool,
    /// Time on the monotonic clock at which the change was queued.
    queued_at: Duration,
    /// Whether an earlier write of the change may have been applied although it failed.
    outcome_unknown: bool,
    result_tx: oneshot::Sender<WriteResult>,
}

/// Result of a conditional write.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WriteResult {
    Outcome(Outcome),
    /// The condition didn't hold; the row has this version, or 0 if it is absent.
    Conflict {
        version: u64,
    },
}

/// Writes callers' jobs and cancellations to the store.
pub struct JobWriter<C> {
    node: Rc<Node<C>>,
    pending: RefCell<Vec<PendingChange>>,
    writing: Cell<bool>,
    /// Jobs that were submitted lately, with the times of their last submissions.
    submitted: RefCell<FxHashMap<JobId, Duration>>,
    /// Time at which the settled ones of these were last removed.
    submitted_pruned_at: Cell<Duration>,
}

impl<C: Clock> JobWriter<C> {
    /// Creates the writer.
    pub fn new(node: Rc<Node<C>>) -> Rc<Self> {
        Rc::new(Self {
            node,
            pending: RefCell::default(),
            writing: Cell::new(false),
            submitted: RefCell::default(),
            submitted_pruned_at: Cell::new(Duration::ZERO),
        })
    }

    /// Returns whether a job was submitted to this process lately, so that it may be stored or may still be.
    pub(crate) fn may_be_stored(&self, id: JobId) -> bool {
        let now = self.node.clock.now();
        let submitted = self.submitted.borrow();
        submitted
            .get(&id)
            .is_some_and(|at| now < *at + SUBMISSION_SETTLED)
    }

    /// Records that a job is being submitted.
    fn record_submission(&self, id: JobId) {
        let now = self.node.clock.now();
        let mut submitted = self.submitted.borrow_mut();
        submitted.insert(id, now);
        if now >= self.submitted_pruned_at.get() + SUBMISSION_SETTLED {
            self.submitted_pruned_at.set(now);
            submitted.retain(|_, at| now < *at + SUBMISSION_SETTLED);
        }
    }

    /// Stores a job, unless it is already stored.
    ///
    /// The job goes through the scheduler if that is reachable: the scheduler then needn't read it
    /// from the store.
    pub async fn accept(self: &Rc<Self>, id: JobId, spec: &JobSpec) -> Outcome {
        self.record_submission(id);
        if self.node.leader().is_some() {
            return self.accept_locally(id, spec).await;
        }
        match scheduler_client::submit_job(&self.node, id, spec).await {
            Some(Outcome::Stored) => Outcome::Stored,
            Some(Outcome::NotStored) | None => self.accept_locally(id, spec).await,
            Some(Outcome::Unknown) => match self.accept_locally(id, spec).await {
                Outcome::NotStored => Outcome::Unknown,
                outcome => outcome,
            },
        }
    }

    /// Stores a job with a write of this process, unless it is already stored.
    pub async fn accept_locally(self: &Rc<Self>, id: JobId, spec: &JobSpec) -> Outcome {
        self.record_submission(id);
        let key = rows::job_key(id);
        let writes = vec![
            (JOBS_TABLE.into(), key.clone(), rows::encode(spec)),
            (
                PROGRESS_TABLE.into(),
                key.clone(),
                rows::encode(&Progress::default()),
            ),
        ];
        match self
            .write((PROGRESS_TABLE.into(), key, 0), writes, false)
            .await
        {
            WriteResult::Outcome(outcome) => {
                let leader = self.node.leader().filter(|_| outcome == Outcome::Stored);
                if let Some(leader) = leader {
                    leader.job_stored(id, spec.clone());
                }
                outcome
            }
            WriteResult::Conflict { .. } => Outcome::Stored,
        }
    }

    /// Stores a request to cancel a job, given the version of its progress row.
    pub async fn cancel(self: &Rc<Self>, id: JobId, mut version: u64) -> Outcome {
        let key = rows::job_key(id);
        let started = self.node.clock.now();
        loop {
            let writes = vec![(JOBS_TABLE.into(), rows::cancel_key(id), rows::encode(&()))];
            let condition = (PROGRESS_TABLE.into(), key.clone(), version);
            match self.write(condition, writes, true).await {
                WriteResult::Outcome(outcome) => return outcome,
                // The row was deleted, which happens long after the job has ended.
                WriteResult::Conflict { version: 0 } => return Outcome::Stored,
                // The job's progress changed in the meantime; try again with its new version.
                WriteResult::Conflict { version: newer } => version = newer,
            }
            if self.node.clock.now() > started + WRITE_TIMEOUT {
                return Outcome::NotStored;
            }
        }
    }

    /// Queues a conditional write and waits for its result.
    async fn write(
        self: &Rc<Self>,
        condition: (SmolStr, SmolStr, u64),
        writes: Vec<(SmolStr, SmolStr, Vec<u8>)>,
        conflict_if_absent: bool,
    ) -> WriteResult {
        if self.node.store.is_unreachable() {
            return WriteResult::Outcome(Outcome::NotStored);
        }
        let (result_tx, result_rx) = oneshot::channel();
        self.pending.borrow_mut().push(PendingChange {
            condition,
            writes,
            conflict_if_absent,
            queued_at: self.node.clock.now(),
            outcome_unknown: false,
            result_tx,
        });
        if !self.writing.replace(true) {
            let job_writer = self.clone();
            tokio::task::spawn_local(async move { job_writer.write_pending().await });
        }
        result_rx
            .await
            .unwrap_or(WriteResult::Outcome(Outcome::Unknown))
    }

    /// Writes batches until no change is queued.
    async fn write_pending(&self) {
        // Lets requests that were read in the same turn of the runtime share a transaction.
        tokio::task::yield_now().await;
        loop {
            let batch = self.take_batch();
            if batch.is_empty() {
                self.writing.set(false);
                return;
            }
            self.write_batch(batch).await;
        }
    }

    /// Removes the next batch from the queue.
    fn take_batch(&self) -> Vec<PendingChange> {
        let mut pending = self.pending.borrow_mut();
        let count = pending.len().min(MAX_BATCH);
        let mut batch: Vec<PendingChange> = pending.drain(..count).collect();
        // A transaction may contain a row only once, so later changes of a row are queued again.
        let mut index = 1;
        while index < batch.len() {
            let (earlier, rest) = batch.split_at(index);
            if earlier
                .iter()
                .any(|change| change.condition.1 == rest[0].condition.1)
            {
                pending.push(batch.remove(index));
            } else {
                index += 1;
            }
        }
        batch
    }

    async fn write_batch(&self, mut batch: Vec<PendingChange>) {
        let mut transaction = Transaction::default();
        for change in &batch {
            transaction.conditions.push(change.condition.clone());
            transaction.writes.extend(change.writes.iter().cloned());
        }
        let result = match self.node.leader() {
            Some(leader) => leader.commit_for_callers(&transaction).await,
            None => self.node.store.commit(&transaction).await,
        };
        match result {
            Ok(CommitOutcome::Committed(_)) => {
                for change in batch {
                    send_result(change, WriteResult::Outcome(Outcome::Stored));
                }
            }
            Ok(CommitOutcome::Conflict(current_rows)) => {
                self.report_conflicts(batch, &current_rows)
            }
            Err(error) => {
                for change in &mut batch {
                    change.outcome_unknown |= error != StoreError::NotApplied;
                }
                self.retry(batch).await;
            }
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
            } else if change.conflict_if_absent || version != 0 {
                send_result(change, WriteResult::Conflict { version });
            }
        }
        self.requeue(rest);
    }

    /// Puts changes at the front of the queue.
    fn requeue(&self, mut changes: Vec<PendingChange>) {
        let mut pending = self.pending.borrow_mut();
        changes.append(&mut pending);
        *pending = changes;
    }

    /// Queues a failed batch again after a delay, without the changes that have expired.
    async fn retry(&self, batch: Vec<PendingChange>) {
        let now = self.node.clock.now();
        let unreachable = self.node.store.is_unreachable();
        let (expired, rest): (Vec<PendingChange>, Vec<PendingChange>) =
            batch.into_iter().partition(|change| {
                // A change that certainly isn't stored isn't retried while the store is
                // unreachable: the caller can send its request again.
                now > change.queued_at + WRITE_TIMEOUT || (unreachable && !change.outcome_unknown)
            });
        for change in expired {
            let outcome = if change.outcome_unknown {
                Outcome::Unknown
            } else {
                Outcome::NotStored
            };
            send_result(change, WriteResult::Outcome(outcome));
        }
        if rest.is_empty() {
            return;
        }
        self.requeue(rest);
        sleep(RETRY_DELAY).await;
    }
}

/// Sends the result of a change to its caller, which may have disconnected.
fn send_result(change: PendingChange, result: WriteResult) {
    let _ = change.result_tx.send(result);
}
