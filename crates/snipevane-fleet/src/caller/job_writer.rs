//! Writes accepted jobs and cancellations to the store, many in one transaction.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snipevane_adapter::rows::{Row, Transaction};
use snipevane_core::jobs::{JobId, JobSpec, Progress};
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::node::Node;
use crate::peers::link;
use crate::rows::{self, INBOX, PROGRESS};
use crate::store::{Commit, StoreError};

/// Changes that one transaction holds at most; each takes up to three entries.
const MAX_BATCH: usize = 30;

/// Time for which a change is tried.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_200);

/// Pause after a call that did nothing.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// What came of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It is stored, now or before.
    Stored,
    /// It is not and won't be stored.
    NotStored,
    /// It may be stored, or may be later.
    Unknown,
}

/// A change of one job that waits to be written.
struct PendingChange {
    /// Row that must have a version: table, key, version.
    condition: (SmolStr, SmolStr, u64),
    /// Rows to write.
    writes: Vec<(SmolStr, SmolStr, Vec<u8>)>,
    /// Whether the change is void, rather than done before, if the condition doesn't hold.
    conflict_if_absent: bool,
    queued_at: Duration,
    /// Whether a write of it had no answer.
    outcome_unknown: bool,
    result_tx: oneshot::Sender<WriteResult>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum WriteResult {
    Outcome(Outcome),
    Conflict { version: u64 },
}

/// Writes changes of callers.
pub struct JobWriter<C> {
    node: Rc<Node<C>>,
    pending: RefCell<Vec<PendingChange>>,
    writing: Cell<bool>,
}

impl<C: Clock> JobWriter<C> {
    /// Creates the writer.
    pub fn new(node: Rc<Node<C>>) -> Rc<Self> {
        Rc::new(Self {
            node,
            pending: RefCell::default(),
            writing: Cell::new(false),
        })
    }

    /// Stores a job, unless it is there already: through the scheduler if that can be reached,
    /// which then needn't read it from the store.
    pub async fn accept(self: &Rc<Self>, id: JobId, spec: &JobSpec) -> Outcome {
        if self.node.leader().is_some() {
            return self.accept_locally(id, spec).await;
        }
        match link::accept(&self.node, id, spec).await {
            Some(Outcome::Stored) => Outcome::Stored,
            Some(Outcome::NotStored) | None => self.accept_locally(id, spec).await,
            Some(Outcome::Unknown) => match self.accept_locally(id, spec).await {
                Outcome::NotStored => Outcome::Unknown,
                outcome => outcome,
            },
        }
    }

    /// Stores a job by this process's own write, unless it is there already.
    pub async fn accept_locally(self: &Rc<Self>, id: JobId, spec: &JobSpec) -> Outcome {
        let key = rows::job_key(id);
        let writes = vec![
            (INBOX.into(), key.clone(), rows::encode(spec)),
            (
                PROGRESS.into(),
                key.clone(),
                rows::encode(&Progress::default()),
            ),
        ];
        match self.write((PROGRESS.into(), key, 0), writes, false).await {
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

    /// Stores the request to cancel a job whose progress has a version.
    pub async fn cancel(self: &Rc<Self>, id: JobId, mut version: u64) -> Outcome {
        let key = rows::job_key(id);
        let started = self.node.clock.now();
        loop {
            let writes = vec![(INBOX.into(), rows::cancel_key(id), rows::encode(&()))];
            let condition = (PROGRESS.into(), key.clone(), version);
            match self.write(condition, writes, true).await {
                WriteResult::Outcome(outcome) => return outcome,
                // The row was cleared away long after the job's end.
                WriteResult::Conflict { version: 0 } => return Outcome::Stored,
                // The job went on meanwhile.
                WriteResult::Conflict { version: newer } => version = newer,
            }
            if self.node.clock.now() > started + WRITE_TIMEOUT {
                return Outcome::NotStored;
            }
        }
    }

    async fn write(
        self: &Rc<Self>,
        condition: (SmolStr, SmolStr, u64),
        writes: Vec<(SmolStr, SmolStr, Vec<u8>)>,
        conflict_if_absent: bool,
    ) -> WriteResult {
        if self.node.store.is_away() {
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

    /// Writes batches until nothing waits.
    async fn write_pending(&self) {
        // Lets requests that were read together share a transaction.
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

    fn take_batch(&self) -> Vec<PendingChange> {
        let mut pending = self.pending.borrow_mut();
        let count = pending.len().min(MAX_BATCH);
        let mut batch: Vec<PendingChange> = pending.drain(..count).collect();
        // A row stands only once in a transaction.
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
        match self.node.store.commit(&transaction).await {
            Ok(Commit::Done(_)) => {
                for change in batch {
                    send_result(change, WriteResult::Outcome(Outcome::Stored));
                }
            }
            Ok(Commit::Conflict(current_rows)) => self.report_conflicts(batch, &current_rows),
            Err(error) => {
                for change in &mut batch {
                    change.outcome_unknown |= error != StoreError::NothingDone;
                }
                self.retry(batch).await;
            }
        }
    }

    /// Answers the changes whose condition doesn't hold; the others wait for the next batch.
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

    fn requeue(&self, mut changes: Vec<PendingChange>) {
        let mut pending = self.pending.borrow_mut();
        changes.append(&mut pending);
        *pending = changes;
    }

    async fn retry(&self, batch: Vec<PendingChange>) {
        let now = self.node.clock.now();
        let unreachable = self.node.store.is_away();
        let (expired, rest): (Vec<PendingChange>, Vec<PendingChange>) =
            batch.into_iter().partition(|change| {
                // What surely hasn't been stored needs no patience: the caller can come back.
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

/// Answers a change; the caller may have left.
fn send_result(change: PendingChange, result: WriteResult) {
    let _ = change.result_tx.send(result);
}
