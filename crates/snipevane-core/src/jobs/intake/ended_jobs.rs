//! Final states of ended jobs, kept until their retention time is over.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::jobs::minions::minion::millis;
use crate::jobs::model::id::JobId;
use crate::jobs::model::progress::JobState;

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It was stored and has reached this final state.
    State(JobState),
    /// It was cancelled before it was stored, so that it doesn't exist.
    Tombstone,
}

/// Ended jobs whose final state callers can still query, and tombstones of jobs that were never stored.
#[derive(Clone, Debug, Default)]
pub(in crate::jobs) struct EndedJobs {
    ends: FxHashMap<JobId, End>,
    /// Jobs with the times at which they ended, in Unix milliseconds, approximately in order of
    /// time.
    by_end: VecDeque<(JobId, u64)>,
}

impl EndedJobs {
    /// Adds a job that ended at `ended_unix_ms`, in Unix milliseconds.
    ///
    /// If the job is already known, only its state is updated.
    pub(in crate::jobs) fn insert(&mut self, id: JobId, state: JobState, ended_unix_ms: u64) {
        self.insert_end(id, End::State(state), ended_unix_ms);
    }

    /// Adds the tombstone of a job that was cancelled at `unix_ms`, in Unix milliseconds, unless the job has ended.
    pub(in crate::jobs) fn insert_tombstone(&mut self, id: JobId, unix_ms: u64) {
        if !self.contains(id) {
            self.insert_end(id, End::Tombstone, unix_ms);
        }
    }

    fn insert_end(&mut self, id: JobId, end: End, unix_ms: u64) {
        if self.ends.insert(id, end).is_none() {
            self.by_end.push_back((id, unix_ms));
        }
    }

    /// Returns whether a job is among the ended jobs or has a tombstone.
    pub(in crate::jobs) fn contains(&self, id: JobId) -> bool {
        self.ends.contains_key(&id)
    }

    /// Returns the final state of a job; `None` if the job isn't among the ended jobs.
    pub(in crate::jobs) fn state(&self, id: JobId) -> Option<JobState> {
        match self.ends.get(&id)? {
            End::State(state) => Some(*state),
            End::Tombstone => None,
        }
    }

    /// Returns whether a job has a tombstone.
    pub(in crate::jobs) fn is_tombstone(&self, id: JobId) -> bool {
        self.ends.get(&id) == Some(&End::Tombstone)
    }

    /// Returns up to `max` of the jobs that ended longest ago, if that is longer than `retention`. `unix_ms` is the
    /// time of day in Unix milliseconds.
    pub(in crate::jobs) fn expired(
        &self,
        retention: Duration,
        unix_ms: u64,
        max: usize,
    ) -> Vec<JobId> {
        let is_expired = |ended: u64| unix_ms > ended.saturating_add(millis(retention));
        let oldest = self.by_end.iter().take(max);
        let expired = oldest.take_while(|(_, ended)| is_expired(*ended));
        expired.map(|(id, _)| *id).collect()
    }

    /// Removes a job, if it is there.
    pub(in crate::jobs) fn remove(&mut self, id: JobId) {
        if let Some(place) = self.by_end.iter().position(|(ended, _)| *ended == id) {
            self.by_end.remove(place);
        }
        self.ends.remove(&id);
    }
}
