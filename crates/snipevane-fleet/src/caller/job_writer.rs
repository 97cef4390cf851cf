//! Writes accepted jobs and cancellations to the store, batched into transactions.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snipevane_adapter::rows::{Row, Transaction};
use snipevane_core::batch_limit::{BatchLimit, Fault};
use snipevane_core::jobs::{JobId, JobSpec, Progress};
use snipevane_core::write_queue::WriteQueue;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use crate::clock::Clock;
use crate::events;
use crate::metrics;
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
    /// The change isn't stored, and the store will never accept it.
    Rejected,
    /// The change may be stored, or may still be stored later.
    Unknown,
    /// The change isn't stored and won't be, as more changes wait than the store carries in time.
    Busy {
        /// Time until these changes are written, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Time within which a change must be written so that its caller is still answered. Callers usually wait
/// 3 s, and an answer through another entry VM takes part of that.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Longest measured time of a write that is taken into account when a change is written or refused: a
/// longer one shows a lost answer rather than a slow store.
const MAX_EXPECTED_COMMIT_TIME: Duration = Duration::from_millis(1_000);

/// Maximum size of the values in one transaction, in bytes. In Base64, with the entries' names and changes
/// of the scheduler, they stay within the platform's limit of 1 MB.
const MAX_BATCH_BYTES: usize = 500_000;

/// Time for which a write of unknown outcome is remembered. A caller repeats a submission up to four times
/// and waits 3 s each time.
const UNCERTAIN_RETENTION: Duration = Duration::from_secs(60);

/// Number of remembered writes above which expired ones are removed.
const MAX_UNCERTAIN: usize = 1_000;

/// A change to one job that is queued to be written.
struct PendingChange {
    /// Number that identifies the change in this process.
    number: u64,
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
    next_number: Cell<u64>,
    writing: Cell<bool>,
    /// Jobs that were submitted lately, with the times of their last submissions.
    submitted: RefCell<FxHashMap<JobId, Duration>>,
    /// Time at which the settled ones of these were last removed.
    submitted_pruned_at: Cell<Duration>,
    /// Whether a transaction is under way.
    committing: Cell<bool>,
    /// Limit of the changes in a transaction, while the store rejects some for good.
    batch_limit: Cell<BatchLimit>,
    /// Keys of jobs whose submission may be stored without the scheduler knowing of it, with the time of the
    /// attempt. A repeat of the submission must not be answered that nothing was done.
    uncertain: RefCell<FxHashMap<SmolStr, Duration>>,
}

impl<C: Clock> JobWriter<C> {
    /// Creates the writer.
    pub fn new(node: Rc<Node<C>>) -> Rc<Self> {
        Rc::new(Self {
            node,
            pending: RefCell::default(),
            next_number: Cell::new(0),
            writing: Cell::new(false),
            submitted: RefCell::default(),
            submitted_pruned_at: Cell::new(Duration::ZERO),
            committing: Cell::new(false),
            batch_limit: Cell::default(),
            uncertain: RefCell::default(),
        })
    }

    /// Returns whether a job was submitted to this process lately, so that it may be stored or may still be.
    pub(crate) fn was_submitted_lately(&self, id: JobId) -> bool {
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
        let key = rows::job_key(id);
        // A change of an earlier attempt that still waits may be written while this call is under way.
        let was_uncertain = self.may_be_stored(&key, None);
        // Remembered first, as the caller's wait may end this call at any time.
        self.mark_uncertain(&key);
        let outcome = match scheduler_client::submit_job(&self.node, id, spec).await {
            Some(outcome @ (Outcome::Stored | Outcome::Rejected | Outcome::Busy { .. })) => outcome,
            Some(Outcome::Unknown) if self.leaves_writes_to_scheduler() => Outcome::Unknown,
            // The mark stays, as the scheduler learns only later of a job that is stored from here.
            Some(Outcome::Unknown) => return self.accept_locally(id, spec).await,
            Some(Outcome::NotStored) | None => {
                if !was_uncertain {
                    self.uncertain.borrow_mut().remove(&key);
                }
                return self.accept_locally(id, spec).await;
            }
        };
        if outcome == Outcome::Stored || (!was_uncertain && is_not_stored(outcome)) {
            self.uncertain.borrow_mut().remove(&key);
        }
        if was_uncertain && is_not_stored(outcome) {
            return Outcome::Unknown;
        }
        outcome
    }

    /// Returns whether the scheduler is heard and has found the store slow, so that a write of this process
    /// would only delay those of the scheduler.
    fn leaves_writes_to_scheduler(&self) -> bool {
        let view = self.node.scheduler_view.borrow();
        view.is_store_slow() && view.reachable_address(self.node.clock.now()).is_some()
    }

    fn is_uncertain(&self, key: &SmolStr) -> bool {
        let now = self.node.clock.now();
        let marked_at = self.uncertain.borrow().get(key).copied();
        marked_at.is_some_and(|at| now < at + UNCERTAIN_RETENTION)
    }

    /// Returns whether another change of the same job waits, is being written or may have been written.
    fn may_be_stored(&self, key: &SmolStr, number: Option<u64>) -> bool {
        let pending = self.pending.borrow();
        let mut others = pending
            .iter()
            .filter(|change| Some(change.number) != number);
        self.is_uncertain(key) || others.any(|change| change.condition.1 == *key)
    }

    fn mark_uncertain(&self, key: &SmolStr) {
        let now = self.node.clock.now();
        let mut uncertain = self.uncertain.borrow_mut();
        if uncertain.len() >= MAX_UNCERTAIN {
            uncertain.retain(|_, at| now < *at + UNCERTAIN_RETENTION);
        }
        uncertain.insert(key.clone(), now);
    }

    /// Stores a job with a write of this process, unless it is already stored.
    pub async fn accept_locally(self: &Rc<Self>, id: JobId, spec: &JobSpec) -> Outcome {
        self.record_submission(id);
        let key = rows::job_key(id);
        let leader = self.node.leader();
        if leader.is_some_and(|leader| leader.visible_state(id).is_some()) {
            return Outcome::Stored;
        }
        let writes = vec![
            (JOBS_TABLE.into(), key.clone(), rows::encode(spec)),
            (
                PROGRESS_TABLE.into(),
                key.clone(),
                rows::encode(&Progress::default()),
            ),
        ];
        match self
            .write((PROGRESS_TABLE.into(), key.clone(), 0), writes, false)
            .await
        {
            WriteResult::Outcome(outcome) => {
                let leader = self.node.leader().filter(|_| outcome == Outcome::Stored);
                if let Some(leader) = leader {
                    leader.job_stored(id, spec.clone());
                    self.uncertain.borrow_mut().remove(&key);
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
                // An earlier attempt without an answer may have stored the request.
                return if self.is_uncertain(&key) {
                    Outcome::Unknown
                } else {
                    Outcome::NotStored
                };
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
        let may_be_stored = self.may_be_stored(&condition.1, None);
        if self.node.store.is_unreachable() {
            let outcome = if may_be_stored {
                Outcome::Unknown
            } else {
                Outcome::NotStored
            };
            return WriteResult::Outcome(outcome);
        }
        let outcome_unknown = self.is_uncertain(&condition.1);
        if let Some(refusal) = self.refusal().filter(|_| !may_be_stored) {
            return WriteResult::Outcome(refusal);
        }
        let (result_tx, mut result_rx) = oneshot::channel();
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.pending.borrow_mut().push(PendingChange {
            number,
            condition,
            writes,
            conflict_if_absent,
            queued_at: self.node.clock.now(),
            outcome_unknown,
            result_tx,
        });
        if !self.writing.replace(true) {
            let job_writer = self.clone();
            tokio::task::spawn_local(async move { job_writer.write_pending().await });
        }
        let unknown = WriteResult::Outcome(Outcome::Unknown);
        match timeout(WRITE_TIMEOUT, &mut result_rx).await {
            Ok(result) => result.unwrap_or(unknown),
            Err(_) if self.withdraw(number).is_some() => {
                WriteResult::Outcome(busy(self.queue().drain_time()))
            }
            Err(_) => result_rx.await.unwrap_or(unknown),
        }
    }

    /// Returns the refusal of a change that the store wouldn't carry in time, if it is slow.
    ///
    /// Only a scheduler that knows the stored jobs refuses: another process may have stored the change
    /// in an earlier attempt.
    fn refusal(&self) -> Option<Outcome> {
        let leader = self.node.leader()?;
        if !leader.knows_stored_jobs() {
            return None;
        }
        let delay = self.queue().retry_delay(ANSWER_TIMEOUT)?;
        Some(busy(delay))
    }

    /// Returns the queue of changes that wait, with the time that a write takes.
    fn queue(&self) -> WriteQueue {
        WriteQueue {
            waiting: self.pending.borrow().len(),
            max_batch: MAX_BATCH,
            is_writing: self.committing.get(),
            commit_time: self.expected_commit_time(),
        }
    }

    /// Returns the time that the next write is expected to take; zero if this process doesn't schedule.
    fn expected_commit_time(&self) -> Duration {
        let leader = self.node.leader();
        let commit_time = leader.map(|leader| leader.commit_time());
        commit_time
            .unwrap_or_default()
            .min(MAX_EXPECTED_COMMIT_TIME)
    }

    /// Removes and returns a change that waits, if it was certainly never sent, also not by a process that
    /// held the term before.
    fn withdraw(&self, number: u64) -> Option<PendingChange> {
        let leader = self.node.leader();
        if leader
            .as_ref()
            .is_some_and(|leader| !leader.knows_stored_jobs())
        {
            return None;
        }
        let index = {
            let pending = self.pending.borrow();
            let index = pending.iter().position(|change| change.number == number)?;
            let change = &pending[index];
            if change.outcome_unknown || self.may_be_stored(&change.condition.1, Some(number)) {
                return None;
            }
            // The job may have been read from the store since its submission was queued.
            let is_known = leader.is_some_and(|leader| {
                let id = change.condition.1.parse::<JobId>();
                id.is_ok_and(|id| leader.visible_state(id).is_some())
            });
            if is_known && !change.conflict_if_absent {
                return None;
            }
            index
        };
        Some(self.pending.borrow_mut().remove(index))
    }

    /// Writes batches until no change is queued.
    async fn write_pending(&self) {
        // Lets requests that were read in the same turn of the runtime share a transaction.
        tokio::task::yield_now().await;
        while !self.pending.borrow().is_empty() {
            let Some(leader) = self.node.leader() else {
                let batch = self.take_batch();
                if batch.is_empty() {
                    continue;
                }
                let transaction = build_transaction(&batch);
                let result = self.node.store.commit(&transaction).await;
                self.settle_batch(batch, result).await;
                continue;
            };
            // The batch is taken when it can be sent, so that it contains all changes that wait by then.
            let Some(turn) = leader.callers_turn().await else {
                let waiting = std::mem::take(&mut *self.pending.borrow_mut());
                self.retry(waiting).await;
                continue;
            };
            let batch = self.take_batch();
            if batch.is_empty() {
                continue;
            }
            let transaction = build_transaction(&batch);
            self.committing.set(true);
            let result = leader.commit_for_callers(turn, &transaction).await;
            self.committing.set(false);
            self.settle_batch(batch, result).await;
        }
        self.writing.set(false);
    }

    /// Removes the next batch from the queue.
    fn take_batch(&self) -> Vec<PendingChange> {
        self.refuse_late_changes();
        let mut pending = self.pending.borrow_mut();
        let mut bytes = 0;
        if pending.is_empty() {
            return Vec::new();
        }
        let max_changes = self.batch_limit.get().max_changes().clamp(1, MAX_BATCH);
        let within_limit = pending.iter().take(max_changes).take_while(|change| {
            bytes += change.size();
            bytes <= MAX_BATCH_BYTES
        });
        let count = within_limit.count().max(1).min(pending.len());
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
        drop(pending);
        // A repeat that arrives while the batch is being written must not be refused as not run.
        for change in &mut batch {
            // Another change of the job may have been written since this one was queued.
            change.outcome_unknown |= self.is_uncertain(&change.condition.1);
            self.mark_uncertain(&change.condition.1);
        }
        batch
    }

    /// Refuses changes that were never sent and wouldn't be written while their callers wait.
    fn refuse_late_changes(&self) {
        let answered_at = self.node.clock.now() + self.expected_commit_time();
        let late: Vec<u64> = {
            let pending = self.pending.borrow();
            let late = pending
                .iter()
                .filter(|change| answered_at > change.queued_at + ANSWER_TIMEOUT);
            late.map(|change| change.number).collect()
        };
        for number in late {
            let outcome = busy(self.queue().drain_time());
            if let Some(change) = self.withdraw(number) {
                send_result(change, WriteResult::Outcome(outcome));
            }
        }
    }

    /// Reports the result of a transaction to the callers of its changes, and queues those again that
    /// are to be written again.
    async fn settle_batch(
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
            if is_not_applied && !change.outcome_unknown {
                self.uncertain.borrow_mut().remove(&change.condition.1);
            }
        }
        match result {
            Ok(CommitOutcome::Committed(_)) => {
                let mut limit = self.batch_limit.get();
                limit.record_accepted();
                self.batch_limit.set(limit);
                for change in batch {
                    send_result(change, WriteResult::Outcome(Outcome::Stored));
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
            self.requeue(batch);
            return;
        }
        for change in batch.drain(..) {
            metrics::record_rejected_change("submission");
            let key = &change.condition.1;
            events::record(&events::CHANGE_REJECTED, &[&"submission", key, &0]);
            let outcome = if change.outcome_unknown {
                Outcome::Unknown
            } else {
                Outcome::Rejected
            };
            send_result(change, WriteResult::Outcome(outcome));
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
                if !change.conflict_if_absent {
                    // A submission conflicts with a job that is stored already.
                    self.mark_uncertain(&change.condition.1);
                }
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
            let is_uncertain = change.outcome_unknown
                || self.may_be_stored(&change.condition.1, Some(change.number));
            let outcome = if is_uncertain {
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

impl PendingChange {
    /// Returns the size of the values that the change writes, in bytes.
    fn size(&self) -> usize {
        self.writes.iter().map(|(_, _, value)| value.len()).sum()
    }
}

/// Returns a transaction with changes.
fn build_transaction(batch: &[PendingChange]) -> Transaction {
    let mut transaction = Transaction::default();
    for change in batch {
        transaction.conditions.push(change.condition.clone());
        transaction.writes.extend(change.writes.iter().cloned());
    }
    transaction
}

/// Returns the outcome of a change that isn't written because others take until `drain_time`.
fn busy(drain_time: Duration) -> Outcome {
    Outcome::Busy {
        retry_after_ms: u64::try_from(drain_time.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Returns whether an outcome states that a change isn't stored and won't be.
fn is_not_stored(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::NotStored | Outcome::Rejected | Outcome::Busy { .. }
    )
}

/// Sends the result of a change to its caller, which may have disconnected.
fn send_result(change: PendingChange, result: WriteResult) {
    let _ = change.result_tx.send(result);
}
