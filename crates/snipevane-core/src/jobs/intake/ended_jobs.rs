//! Final states of ended jobs, kept until their retention time is over.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::jobs::minions::minion::millis;
use crate::jobs::model::id::JobId;
use crate::jobs::model::progress::JobState;

/// Ended jobs whose final state callers can still query.
#[derive(Clone, Debug, Default)]
pub(in crate::jobs) struct EndedJobs {
    states: FxHashMap<JobId, JobState>,
    /// Jobs with the times at which they ended, in Unix milliseconds, approximately in order of
    /// time.
    by_end: VecDeque<(JobId, u64)>,
}

impl EndedJobs {
    /// Adds a job that ended at `ended_unix_ms`, in Unix milliseconds.
    ///
    /// If the job is already known, only its state is updated.
    pub(in crate::jobs) fn insert(&mut self, id: JobId, state: JobState, ended_unix_ms: u64) {
        if self.states.insert(id, state).is_none() {
            self.by_end.push_back((id, ended_unix_ms));
        }
    }

    /// Returns whether a job is among the ended jobs.
    pub(in crate::jobs) fn contains(&self, id: JobId) -> bool {
        self.states.contains_key(&id)
    }

    /// Returns the final state of a job; `None` if the job isn't among the ended jobs.
    pub(in crate::jobs) fn state(&self, id: JobId) -> Option<JobState> {
        self.states.get(&id).copied()
    }

    /// Returns the job that ended longest ago, if that is longer than `retention`. `unix_ms` is the time of
    /// day in Unix milliseconds.
    pub(in crate::jobs) fn next_expired(&self, retention: Duration, unix_ms: u64) -> Option<JobId> {
        let &(id, ended) = self.by_end.front()?;
        (unix_ms > ended.saturating_add(millis(retention))).then_some(id)
    }

    /// Removes a job that [`Self::next_expired`] has returned.
    pub(in crate::jobs) fn remove(&mut self, id: JobId) {
        self.by_end.pop_front_if(|(first, _)| *first == id);
        self.states.remove(&id);
    }
}
