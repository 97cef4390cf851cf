//! Jobs that have ended, until nobody asks for their state any more.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::id::JobId;
use super::minion::millis;
use super::progress::JobState;

/// Jobs that have ended and whose state is still told.
#[derive(Clone, Debug, Default)]
pub(super) struct EndedJobs {
    states: FxHashMap<JobId, JobState>,
    /// Jobs with the times of their ends, in Unix milliseconds, about in order.
    by_end: VecDeque<(JobId, u64)>,
}

impl EndedJobs {
    /// Adds a job that ended at a time, in Unix milliseconds.
    pub(super) fn insert(&mut self, id: JobId, state: JobState, ended_unix_ms: u64) {
        if self.states.insert(id, state).is_none() {
            self.by_end.push_back((id, ended_unix_ms));
        }
    }

    /// Returns whether a job has ended.
    pub(super) fn contains(&self, id: JobId) -> bool {
        self.states.contains_key(&id)
    }

    /// Returns the state in which a job ended.
    pub(super) fn state(&self, id: JobId) -> Option<JobState> {
        self.states.get(&id).copied()
    }

    /// Takes out up to `limit` jobs that ended longer ago than `retention`.
    pub(super) fn take_expired(
        &mut self,
        retention: Duration,
        unix_ms: u64,
        limit: usize,
    ) -> Vec<JobId> {
        let mut expired = Vec::new();
        while let Some(&(id, ended)) = self.by_end.front() {
            if expired.len() == limit || unix_ms <= ended.saturating_add(millis(retention)) {
                break;
            }
            self.by_end.pop_front();
            self.states.remove(&id);
            expired.push(id);
        }
        expired
    }
}
