//! Estimate of when a change that is queued behind others is written.

use std::time::Duration;

/// Changes that wait to be written in batches, one batch after another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteQueue {
    /// Number of changes that wait.
    pub waiting: usize,
    /// Largest number of changes in a batch.
    pub max_batch: usize,
    /// Whether a batch is being written.
    pub is_writing: bool,
    /// Time that a batch takes to be written, as measured.
    pub commit_time: Duration,
}

impl WriteQueue {
    /// Returns the time until the changes that wait are written.
    pub fn drain_time(&self) -> Duration {
        let batches = self.waiting.div_ceil(self.max_batch.max(1)) + usize::from(self.is_writing);
        self.commit_time * u32::try_from(batches).unwrap_or(u32::MAX)
    }

    /// Returns the time until a change that joins the queue is written.
    pub fn answer_time(&self) -> Duration {
        let with_change = Self {
            waiting: self.waiting + 1,
            ..*self
        };
        with_change.drain_time()
    }

    /// Returns how long a caller should wait before it tries again, if a change that joins the queue isn't
    /// written within `limit`.
    pub fn retry_delay(&self, limit: Duration) -> Option<Duration> {
        (self.answer_time() > limit).then(|| self.drain_time())
    }
}
