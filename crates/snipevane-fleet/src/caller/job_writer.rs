//! Writes accepted jobs and cancellations to the store, batched into transactions.

mod cancelling;
mod settling;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use snipevane_adapter::rows::Transaction;
use snipevane_core::batch_limit::BatchLimit;
use snipevane_core::jobs::{JobId, JobSpec, Progress};
use snipevane_core::tombstone_budget::TombstoneBudget;
use snipevane_core::write_queue::WriteQueue;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use crate::clock::Clock;
use crate::events;
use crate::job_rows::{self, JobRows};
use crate::metrics;
use crate::node::Node;
use crate::peers::scheduler_client;
use crate::rows::{self, PROGRESS_TABLE};
use crate::scheduling::Leader;
use crate::store::TransactionBuilder;

use super::change_queue::{Batch, ChangeQueue};
use super::outcome::Outcome;
use super::paced_writes::PacedWrites;
use super::pending_change::{ChangeKind, PendingChange, WriteResult};
use super::recent_submissions::RecentSubmissions;
use super::stored_progress::StoredJob;
use super::uncertain_writes::UncertainWrites;

/// Maximum number of changes in one transaction. Each change takes up to three entries.
const MAX_BATCH: usize = 30;

/// Time after which a change is no longer retried.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_200);

/// Time within which a change must be written so that its caller is still answered. Callers usually wait
/// 3 s, and an answer through another entry VM takes part of that.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Interval at which a change that waits for its turn checks whether a scheduler can be asked.
const SCHEDULER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Longest measured time of a write that is taken into account when a change is written or refused: a
/// longer one shows a lost answer rather than a slow store.
const MAX_EXPECTED_COMMIT_TIME: Duration = Duration::from_millis(1_000);

/// Writes callers' jobs and cancellations to the store.
pub struct JobWriter<C> {
    node: Rc<Node<C>>,
    pending: ChangeQueue,
    /// Whether a task writes the queued changes.
    writing: Cell<bool>,
    submitted: RecentSubmissions,
    tombstones: RefCell<TombstoneBudget>,
    /// Whether a transaction is under way.
    committing: Cell<bool>,
    /// Limit of the changes in a transaction, while the store rejects some for good.
    batch_limit: Cell<BatchLimit>,
    uncertain: UncertainWrites,
    /// Writes while this process doesn't schedule.
    paced_writes: PacedWrites<C>,
}

impl<C: Clock> JobWriter<C> {
    /// Creates the writer.
    pub fn new(node: Rc<Node<C>>) -> Rc<Self> {
        Rc::new(Self {
            paced_writes: PacedWrites::new(node.clone()),
            node,
            pending: ChangeQueue::default(),
            writing: Cell::new(false),
            submitted: RecentSubmissions::default(),
            tombstones: RefCell::default(),
            committing: Cell::new(false),
            batch_limit: Cell::default(),
            uncertain: UncertainWrites::default(),
        })
    }

    /// Returns whether a job was submitted to this process lately, so that it may be stored or may still be.
    pub(crate) fn was_submitted_lately(&self, id: JobId) -> bool {
        self.submitted.contains(id, self.node.clock.now())
    }

    /// Records that a job is being submitted.
    fn record_submission(&self, id: JobId) {
        self.submitted.record(id, self.node.clock.now());
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
        self.await_scheduler_or_turn().await;
        let key = rows::job_key(id);
        // A change of an earlier attempt that still waits may be written while this call is under way.
        let was_uncertain = self.may_be_stored(&key, None);
        // Remembered first, as the caller's wait may end this call at any time.
        self.mark_uncertain(&key);
        let outcome = match scheduler_client::submit_job(&self.node, id, spec).await {
            Some(
                outcome @ (Outcome::Stored
                | Outcome::Rejected
                | Outcome::Unheld
                | Outcome::Cancelled
                | Outcome::Busy { .. }),
            ) => outcome,
            Some(Outcome::Unknown) if self.leaves_writes_to_scheduler() => Outcome::Unknown,
            // The mark stays, as the scheduler learns only later of a job that is stored from here.
            Some(Outcome::Unknown) => return self.accept_locally(id, spec).await,
            Some(Outcome::NotStored) | None => {
                if !was_uncertain {
                    self.uncertain.clear(&key);
                }
                return self.accept_locally(id, spec).await;
            }
        };
        // A job that was cancelled before it was stored won't be, whatever earlier attempts did.
        let is_settled = matches!(outcome, Outcome::Stored | Outcome::Cancelled);
        if is_settled || (!was_uncertain && outcome.is_not_stored()) {
            self.uncertain.clear(&key);
        }
        if is_settled {
            return outcome;
        }
        if was_uncertain && outcome.is_not_stored() {
            return Outcome::Unknown;
        }
        outcome
    }

    /// Waits until a scheduler can be asked, or until this process may write without one.
    ///
    /// A change that waited in the queue would be written from here also if another process wins the term
    /// meanwhile.
    async fn await_scheduler_or_turn(&self) {
        loop {
            let delay = self.paced_writes.delay();
            if self.hears_scheduler() || delay.is_zero() || self.refusal().is_some() {
                return;
            }
            sleep(delay.min(SCHEDULER_CHECK_INTERVAL)).await;
        }
    }

    fn hears_scheduler(&self) -> bool {
        let view = self.node.scheduler_view.borrow();
        view.reachable_address(self.node.clock.now()).is_some()
    }

    /// Returns whether the scheduler is heard and has found the store slow, so that a write of this process
    /// would only delay those of the scheduler.
    fn leaves_writes_to_scheduler(&self) -> bool {
        self.hears_scheduler() && self.node.scheduler_view.borrow().is_store_slow()
    }

    fn is_uncertain(&self, key: &SmolStr) -> bool {
        self.uncertain.contains(key, self.node.clock.now())
    }

    /// Returns whether a submission of a job waits here, is being written or may have been written.
    pub(crate) fn has_submission_in_doubt(&self, id: JobId) -> bool {
        self.may_be_stored(&rows::job_key(id), None)
    }

    /// Returns whether another change of the same job waits, is being written or may have been written.
    fn may_be_stored(&self, key: &SmolStr, number: Option<u64>) -> bool {
        self.is_uncertain(key) || self.pending.has_other(key, number)
    }

    fn mark_uncertain(&self, key: &SmolStr) {
        self.uncertain.mark(key, self.node.clock.now());
    }

    /// Stores a job with a write of this process, unless it is already stored.
    pub async fn accept_locally(self: &Rc<Self>, id: JobId, spec: &JobSpec) -> Outcome {
        self.record_submission(id);
        let key = rows::job_key(id);
        let leader = self.node.leader();
        if let Some(leader) = leader {
            if leader.visible_state(id).is_some() {
                return Outcome::Stored;
            }
            if leader.has_tombstone(id) {
                return Outcome::Cancelled;
            }
            if !self.may_be_stored(&key, None) && !reserve_memory(&leader, id, spec) {
                return Outcome::Unheld;
            }
        }
        let JobRows { mut writes, chunks } =
            job_rows::encode(id, spec, self.node.settings.max_row_bytes);
        writes.append(&mut acceptance(id).writes);
        match self
            .write(
                (PROGRESS_TABLE.into(), key.clone(), 0),
                writes,
                ChangeKind::Submission,
            )
            .await
        {
            WriteResult::Outcome(outcome) => {
                let leader = self.node.leader().filter(|_| outcome == Outcome::Stored);
                if let Some(leader) = leader {
                    leader.job_stored(id, spec.clone(), chunks);
                    self.uncertain.clear(&key);
                }
                outcome
            }
            WriteResult::Conflict(StoredJob::Tombstone) => Outcome::Cancelled,
            WriteResult::Conflict(_) => Outcome::Stored,
        }
    }

    /// Queues a conditional write and waits for its result.
    async fn write(
        self: &Rc<Self>,
        condition: (SmolStr, SmolStr, u64),
        writes: Vec<(SmolStr, SmolStr, Vec<u8>)>,
        kind: ChangeKind,
    ) -> WriteResult {
        let may_be_stored = self.may_be_stored(&condition.1, None);
        if self.node.store.is_unreachable() {
            return WriteResult::Outcome(Outcome::given_up(may_be_stored));
        }
        let outcome_unknown = self.is_uncertain(&condition.1);
        if let Some(refusal) = self.refusal().filter(|_| !may_be_stored) {
            return WriteResult::Outcome(refusal);
        }
        let (result_tx, mut result_rx) = oneshot::channel();
        let number = self.pending.next_number();
        self.pending.push(PendingChange {
            number,
            condition,
            writes,
            kind,
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
                WriteResult::Outcome(Outcome::busy(self.retry_delay()))
            }
            Err(_) => result_rx.await.unwrap_or(unknown),
        }
    }

    /// Returns the refusal of a change that the store wouldn't carry in time, if it is slow.
    ///
    /// A scheduler refuses only if it knows the stored jobs: another process may have stored the change
    /// in an earlier attempt. Without a scheduler, a change is refused if it would be withdrawn unsent.
    fn refusal(&self) -> Option<Outcome> {
        let Some(leader) = self.node.leader() else {
            let delay = self.paced_writes.delay();
            return (delay > WRITE_TIMEOUT).then(|| Outcome::busy(delay));
        };
        if !leader.knows_stored_jobs() {
            return None;
        }
        let delay = self.queue().retry_delay(ANSWER_TIMEOUT)?;
        Some(Outcome::busy(delay))
    }

    /// Returns the time until a change that is refused could be written.
    fn retry_delay(&self) -> Duration {
        self.queue().drain_time().max(self.paced_writes.delay())
    }

    /// Returns the queue of changes that wait, with the time that a write takes.
    fn queue(&self) -> WriteQueue {
        WriteQueue {
            waiting: self.pending.len(),
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
        self.pending.remove_if(number, |change| {
            if change.outcome_unknown || self.may_be_stored(change.key(), Some(number)) {
                return false;
            }
            // The job may have been read from the store since its submission was queued.
            let is_known = leader.is_some_and(|leader| {
                let id = change.key().parse::<JobId>();
                id.is_ok_and(|id| leader.visible_state(id).is_some())
            });
            !is_known || change.kind != ChangeKind::Submission
        })
    }

    /// Writes batches until no change is queued.
    async fn write_pending(&self) {
        // Lets requests that were read in the same turn of the runtime share a transaction.
        tokio::task::yield_now().await;
        while !self.pending.is_empty() {
            let Some(leader) = self.node.leader() else {
                self.write_without_scheduler().await;
                continue;
            };
            // The batch is taken when it can be sent, so that it contains all changes that wait by then.
            let Some(turn) = leader.callers_turn().await else {
                self.retry(self.pending.take_all()).await;
                continue;
            };
            let batch = self.take_batch();
            if batch.changes.is_empty() {
                continue;
            }
            self.committing.set(true);
            let result = leader.commit_for_callers(turn, &batch.transaction).await;
            self.committing.set(false);
            self.settle_batch(batch.changes, result).await;
        }
        self.writing.set(false);
    }

    /// Writes a batch, when it may be sent, unless this process schedules by then.
    async fn write_without_scheduler(&self) {
        self.paced_writes.wait_for_turn().await;
        if self.node.leader().is_some() {
            return;
        }
        let batch = self.take_batch();
        if batch.changes.is_empty() {
            return;
        }
        let result = self.paced_writes.commit(&batch.transaction).await;
        self.settle_batch(batch.changes, result).await;
    }

    /// Removes the next batch from the queue: the oldest changes that a transaction has room for.
    fn take_batch(&self) -> Batch {
        self.refuse_late_changes();
        let max_changes = self.batch_limit.get().max_changes().clamp(1, MAX_BATCH);
        let builder = TransactionBuilder::with_room_for_row(self.node.settings.max_row_bytes);
        let mut batch = self.pending.take_batch(max_changes, builder);
        // A repeat that arrives while the batch is being written must not be refused as not run.
        for change in &mut batch.changes {
            // Another change of the job may have been written since this one was queued.
            change.outcome_unknown |= self.is_uncertain(change.key());
            self.mark_uncertain(change.key());
        }
        batch
    }

    /// Refuses changes that were never sent and wouldn't be written while their callers wait.
    fn refuse_late_changes(&self) {
        let answered_at = self.node.clock.now() + self.expected_commit_time();
        let oldest_in_time = answered_at.saturating_sub(ANSWER_TIMEOUT);
        for number in self.pending.queued_before(oldest_in_time) {
            let outcome = Outcome::busy(self.retry_delay());
            if let Some(change) = self.withdraw(number) {
                change.finish(WriteResult::Outcome(outcome));
            }
        }
    }
}

/// Reserves memory for a job that isn't stored; returns whether there is enough.
///
/// Until the scheduler knows the stored jobs, the job may be one of them.
fn reserve_memory<C: Clock>(leader: &Leader<C>, id: JobId, spec: &JobSpec) -> bool {
    if !leader.knows_stored_jobs() {
        return true;
    }
    let Err(refusal) = leader.reserve_memory(spec) else {
        return true;
    };
    metrics::record_rejected_job(&spec.pool, "memory");
    events::record(
        &events::JOB_UNHELD,
        &[
            &id,
            &spec.queue,
            &refusal.bytes,
            &refusal.held_bytes,
            &refusal.max_bytes,
        ],
    );
    false
}

/// Returns the entries of each submission, besides the rows of the job: the first row of its progress, on condition
/// that there is none.
pub(super) fn acceptance(id: JobId) -> Transaction {
    let key = rows::job_key(id);
    Transaction {
        conditions: vec![(PROGRESS_TABLE.into(), key.clone(), 0)],
        writes: vec![(
            PROGRESS_TABLE.into(),
            key,
            rows::encode(&Progress::default()),
        )],
        ..Transaction::default()
    }
}
