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
use crate::peers::scheduler_client;
use crate::rows::{self, JOBS_TABLE, PROGRESS_TABLE};
use crate::store::{CommitOutcome, StoreError};

/// Changes that one transaction holds at most; each takes up to three entries.
const MAX_BATCH: usize = 30;

/// Time for which a change is tried.
const TRIED_FOR: Duration = Duration::from_millis(2_200);

/// Pause after a call that did nothing.
const RETRY: Duration = Duration::from_millis(60);

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
struct Change {
    /// Row that must have a version: table, key, version.
    condition: (SmolStr, SmolStr, u64),
    /// Rows to write.
    writes: Vec<(SmolStr, SmolStr, Vec<u8>)>,
    /// Whether the change is void, rather than done before, if the condition doesn't hold.
    void_on_conflict: bool,
    since: Duration,
    /// Whether a write of it had no answer.
    uncertain: bool,
    done: oneshot::Sender<Answer>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Answer {
    Outcome(Outcome),
    Conflict { version: u64 },
}

/// Writes changes of callers.
pub struct Acceptor<C> {
    node: Rc<Node<C>>,
    waiting: RefCell<Vec<Change>>,
    writing: Cell<bool>,
}

impl<C: Clock> Acceptor<C> {
    /// Creates the writer.
    pub fn new(node: Rc<Node<C>>) -> Rc<Self> {
        Rc::new(Self {
            node,
            waiting: RefCell::default(),
            writing: Cell::new(false),
        })
    }

    /// Stores a job, unless it is there already: through the scheduler if that can be reached,
    /// which then needn't read it from the store.
    pub async fn accept(self: &Rc<Self>, id: JobId, spec: &JobSpec) -> Outcome {
        if self.node.lead().is_some() {
            return self.accept_here(id, spec).await;
        }
        match scheduler_client::submit_job(&self.node, id, spec).await {
            Some(Outcome::Stored) => Outcome::Stored,
            Some(Outcome::NotStored) | None => self.accept_here(id, spec).await,
            Some(Outcome::Unknown) => match self.accept_here(id, spec).await {
                Outcome::NotStored => Outcome::Unknown,
                outcome => outcome,
            },
        }
    }

    /// Stores a job by this process's own write, unless it is there already.
    pub async fn accept_here(self: &Rc<Self>, id: JobId, spec: &JobSpec) -> Outcome {
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
            Answer::Outcome(outcome) => {
                let lead = self.node.lead().filter(|_| outcome == Outcome::Stored);
                if let Some(lead) = lead {
                    lead.job_stored(id, spec.clone());
                }
                outcome
            }
            Answer::Conflict { .. } => Outcome::Stored,
        }
    }

    /// Stores the request to cancel a job whose progress has a version.
    pub async fn cancel(self: &Rc<Self>, id: JobId, mut version: u64) -> Outcome {
        let key = rows::job_key(id);
        let started = self.node.clock.now();
        loop {
            let writes = vec![(JOBS_TABLE.into(), rows::cancel_key(id), rows::encode(&()))];
            let condition = (PROGRESS_TABLE.into(), key.clone(), version);
            match self.write(condition, writes, true).await {
                Answer::Outcome(outcome) => return outcome,
                // The row was cleared away long after the job's end.
                Answer::Conflict { version: 0 } => return Outcome::Stored,
                // The job went on meanwhile.
                Answer::Conflict { version: newer } => version = newer,
            }
            if self.node.clock.now() > started + TRIED_FOR {
                return Outcome::NotStored;
            }
        }
    }

    async fn write(
        self: &Rc<Self>,
        condition: (SmolStr, SmolStr, u64),
        writes: Vec<(SmolStr, SmolStr, Vec<u8>)>,
        void_on_conflict: bool,
    ) -> Answer {
        if self.node.store.is_unreachable() {
            return Answer::Outcome(Outcome::NotStored);
        }
        let (done, answer) = oneshot::channel();
        self.waiting.borrow_mut().push(Change {
            condition,
            writes,
            void_on_conflict,
            since: self.node.clock.now(),
            uncertain: false,
            done,
        });
        if !self.writing.replace(true) {
            let acceptor = self.clone();
            tokio::task::spawn_local(async move { acceptor.write_waiting().await });
        }
        answer.await.unwrap_or(Answer::Outcome(Outcome::Unknown))
    }

    /// Writes batches until nothing waits.
    async fn write_waiting(&self) {
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

    fn take_batch(&self) -> Vec<Change> {
        let mut waiting = self.waiting.borrow_mut();
        let count = waiting.len().min(MAX_BATCH);
        let mut batch: Vec<Change> = waiting.drain(..count).collect();
        // A row stands only once in a transaction.
        let mut index = 1;
        while index < batch.len() {
            let (earlier, rest) = batch.split_at(index);
            if earlier
                .iter()
                .any(|change| change.condition.1 == rest[0].condition.1)
            {
                waiting.push(batch.remove(index));
            } else {
                index += 1;
            }
        }
        batch
    }

    async fn write_batch(&self, mut batch: Vec<Change>) {
        let mut transaction = Transaction::default();
        for change in &batch {
            transaction.conditions.push(change.condition.clone());
            transaction.writes.extend(change.writes.iter().cloned());
        }
        match self.node.store.commit(&transaction).await {
            Ok(CommitOutcome::Committed(_)) => {
                for change in batch {
                    answer(change, Answer::Outcome(Outcome::Stored));
                }
            }
            Ok(CommitOutcome::Conflict(present)) => self.split(batch, &present),
            Err(error) => {
                for change in &mut batch {
                    change.uncertain |= error != StoreError::NotApplied;
                }
                self.retry(batch).await;
            }
        }
    }

    /// Answers the changes whose condition doesn't hold; the others wait for the next batch.
    fn split(&self, batch: Vec<Change>, present: &[Row]) {
        let mut rest = Vec::new();
        for change in batch {
            let (table, key, expected) = &change.condition;
            let row = present
                .iter()
                .find(|row| row.table == *table && row.key == *key);
            let version = row.map_or(0, |row| row.version);
            if version == *expected {
                rest.push(change);
            } else if change.void_on_conflict || version != 0 {
                answer(change, Answer::Conflict { version });
            }
        }
        self.put_first(rest);
    }

    fn put_first(&self, mut changes: Vec<Change>) {
        let mut waiting = self.waiting.borrow_mut();
        changes.append(&mut waiting);
        *waiting = changes;
    }

    async fn retry(&self, batch: Vec<Change>) {
        let now = self.node.clock.now();
        let away = self.node.store.is_unreachable();
        let (expired, rest): (Vec<Change>, Vec<Change>) = batch.into_iter().partition(|change| {
            // What surely hasn't been stored needs no patience: the caller can come back.
            now > change.since + TRIED_FOR || (away && !change.uncertain)
        });
        for change in expired {
            let outcome = if change.uncertain {
                Outcome::Unknown
            } else {
                Outcome::NotStored
            };
            answer(change, Answer::Outcome(outcome));
        }
        if rest.is_empty() {
            return;
        }
        self.put_first(rest);
        sleep(RETRY).await;
    }
}

/// Answers a change; the caller may have left.
fn answer(change: Change, answer: Answer) {
    let _ = change.done.send(answer);
}
