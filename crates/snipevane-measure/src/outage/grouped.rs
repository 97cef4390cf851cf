//! A node that commits its rows in groups.

use std::time::{Duration, Instant};

use serde_json::Value;
use snipevane_platform::{
    Condition, Importance, NextBatch, RowWrite, WriteQueue, WriteQueueSettings,
};

use super::Node;
use super::demand::DueRow;
use super::platform_model::PlatformModel;
use super::report::Log;

/// Time after which an essential row is given up.
const ESSENTIAL_EXPIRY: Duration = Duration::from_secs(10);

/// A node with a [`WriteQueue`].
pub(super) struct GroupedNode {
    queue: WriteQueue<DueRow>,
    wake: Instant,
}

impl GroupedNode {
    /// Creates a node with nothing to write.
    pub(super) fn new(seed: u64, now: Instant) -> Self {
        Self {
            queue: WriteQueue::new(WriteQueueSettings::default(), seed, now),
            wake: now,
        }
    }
}

impl Node for GroupedNode {
    fn submit(&mut self, row: DueRow, now: Instant) {
        let expires = (row.importance == Importance::Essential).then(|| now + ESSENTIAL_EXPIRY);
        let write = RowWrite {
            key: row.key.clone(),
            value: Value::Null,
            condition: Condition::Any,
            importance: row.importance,
            expires,
        };
        self.queue.submit(write, row, now);
        self.wake = now;
    }

    fn step(&mut self, now: Instant, platform: &mut PlatformModel, log: &mut Log) {
        if now < self.wake {
            return;
        }
        self.queue.expire(now);
        loop {
            match self.queue.next_batch(now) {
                NextBatch::Commit(batch) => {
                    let result = platform.commit(now);
                    log.attempt(now, result.is_ok());
                    for (row, outcome) in self.queue.finish(batch, result, now) {
                        if outcome.is_ok() {
                            log.written(&row, now);
                        }
                    }
                }
                NextBatch::Wait(until) => {
                    self.wake = until;
                    return;
                }
                NextBatch::Idle => return,
            }
        }
    }
}
