//! Drives a write queue against a table.

use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use snipevane_core::clock::Clock;
use tokio::sync::{Notify, oneshot};

use super::queue::{NextBatch, Settled, WriteQueue, WriteQueueSettings};
use super::row_write::{RowWrite, WriteError};
use crate::resolve::commit_resolved;
use crate::table::Table;

type Ticket = oneshot::Sender<Result<Option<u64>, WriteError>>;

struct Shared {
    queue: Mutex<WriteQueue<Ticket>>,
    submitted: Notify,
}

/// Commits the rows that its handles submit, many at a time.
pub struct Writer<T, C> {
    table: Arc<T>,
    clock: C,
    shared: Arc<Shared>,
}

/// Submits rows to a [`Writer`].
#[derive(Clone)]
pub struct WriterHandle<C> {
    clock: C,
    shared: Arc<Shared>,
}

impl<T: Table, C: Clock + Clone> Writer<T, C> {
    /// Creates a writer; processes that start together need different seeds.
    pub fn new(table: Arc<T>, clock: C, settings: WriteQueueSettings, seed: u64) -> Self {
        let queue = WriteQueue::new(settings, seed, clock.now());
        let shared = Shared {
            queue: Mutex::new(queue),
            submitted: Notify::new(),
        };
        Self {
            table,
            clock,
            shared: Arc::new(shared),
        }
    }

    /// Returns a handle that submits rows.
    pub fn handle(&self) -> WriterHandle<C> {
        WriterHandle {
            clock: self.clock.clone(),
            shared: Arc::clone(&self.shared),
        }
    }

    /// Commits what is submitted, until the future is dropped.
    pub async fn run(self) {
        loop {
            let now = self.clock.now();
            let next = {
                let mut queue = self.shared.queue.lock();
                answer(queue.expire(now));
                queue.next_batch(now)
            };
            match next {
                NextBatch::Idle => self.shared.submitted.notified().await,
                NextBatch::Wait(until) => self.wait(until, now).await,
                NextBatch::Commit(batch) => {
                    let tx = batch.transaction.clone();
                    let result = commit_resolved(&*self.table, tx).await;
                    let mut queue = self.shared.queue.lock();
                    answer(queue.finish(batch, result, self.clock.now()));
                }
            }
        }
    }

    async fn wait(&self, until: Instant, now: Instant) {
        let pause = until.saturating_duration_since(now);
        // A more important write may be due sooner.
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = self.shared.submitted.notified() => {}
        }
    }
}

impl<C: Clock> WriterHandle<C> {
    /// Submits a row, waits for its commit and returns its new version where the table tells it.
    ///
    /// # Errors
    ///
    /// Returns why the row isn't known to have been written.
    pub async fn write(&self, write: RowWrite) -> Result<Option<u64>, WriteError> {
        let (tx, rx) = oneshot::channel();
        let now = self.clock.now();
        answer(self.shared.queue.lock().submit(write, tx, now));
        self.shared.submitted.notify_one();
        // The writer was dropped, so nothing is known of a batch that was out.
        let stopped = crate::error::PlatformError::Broken("the writer has stopped".into());
        rx.await.unwrap_or(Err(WriteError::Unknown(stopped)))
    }
}

fn answer(settled: Vec<Settled<Ticket>>) {
    for (ticket, result) in settled {
        // The submitter may have given up.
        let _ = ticket.send(result);
    }
}
