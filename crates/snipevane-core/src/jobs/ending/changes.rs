//! Changes that the scheduler hands out to be written to the store.

use std::time::Duration;

use crate::jobs::model::id::JobId;
use crate::jobs::model::keys::{JobKey, MinionKey};
use crate::jobs::model::progress::{JobState, Progress};
use crate::jobs::scheduler::Scheduler;

/// Change of a job whose row in the store is out of date.
#[derive(Clone, Debug)]
pub struct JobChange {
    /// Identifier of the job.
    pub id: JobId,
    /// Progress to store.
    pub progress: Progress,
    /// Number of further rows in which parts of the progress may be stored.
    pub stored_parts: u32,
    key: JobKey,
    /// Place of the job among those whose row is out of date.
    place: u64,
    /// Number of changes to the record of crashes that the progress contains.
    crash_changes: u32,
}

/// Ends that had been received from a minion when changes were taken.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedEnds {
    minion: MinionKey,
    incarnation: Option<u64>,
    last_number: u64,
}

/// Changes to store together.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// Jobs whose progress changed.
    pub jobs: Vec<JobChange>,
    /// Ends that are stored once these changes are.
    received: Vec<ReceivedEnds>,
}

impl Changes {
    /// Returns the changes of jobs that have ended.
    pub fn ended(&self) -> impl Iterator<Item = &JobChange> {
        let jobs = self.jobs.iter();
        jobs.filter(|change| change.progress.state.is_final())
    }
}

impl Scheduler {
    /// Returns whether any changes are to be stored.
    pub fn has_changes(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Returns whether a change of a job is to be stored.
    pub fn has_change_of(&self, id: JobId) -> bool {
        let key = self.job_ids.get(&id);
        key.is_some_and(|key| self.dirty.contains(*key))
    }

    /// Returns whether a caller, or a task to be started again, may be waiting for a change to be
    /// stored.
    pub fn has_urgent_changes(&self) -> bool {
        self.has_urgent_change
    }

    /// Takes changes for as long as `admit` returns that a further one has room. Behind a few of the oldest
    /// changes, jobs that have ended come first, as callers may be waiting for them; otherwise the oldest
    /// changes come first.
    pub fn take_changes(&mut self, mut admit: impl FnMut(&JobChange) -> bool) -> Changes {
        let mut changes = Changes::default();
        for key in self.dirty.in_order(|key| self.has_ended(key)) {
            if let Some(job) = self.jobs.get(key) {
                let change = JobChange {
                    id: job.id,
                    progress: job.progress(),
                    stored_parts: job.stored_parts,
                    key,
                    place: self.dirty.place(key),
                    crash_changes: job.crash_changes,
                };
                if !admit(&change) {
                    break;
                }
                changes.jobs.push(change);
            }
            self.dirty.remove(key);
            self.storing.insert(key);
        }
        if self.dirty.is_empty() {
            self.has_urgent_change = false;
        }
        changes.received = self.received_ends();
        changes
    }

    fn has_ended(&self, key: JobKey) -> bool {
        let job = self.jobs.get(key);
        job.is_some_and(|job| job.state.is_final())
    }

    /// Returns for each minion the ends that are stored once all jobs are that aren't dirty.
    fn received_ends(&self) -> Vec<ReceivedEnds> {
        let received = self.minions.iter().map(|(minion, state)| {
            let mut unstored = state.unstored_ends.iter();
            let first_dirty = unstored.find(|end| self.dirty.contains(end.job));
            ReceivedEnds {
                minion,
                incarnation: state.incarnation(),
                last_number: first_dirty.map_or(state.received_seq, |end| end.number - 1),
            }
        });
        received.collect()
    }

    /// Returns up to `max` jobs that ended longer ago than `retention`, so that their rows can be deleted. `unix_ms`
    /// is the time of day in Unix milliseconds.
    pub fn expired_jobs(&self, retention: Duration, unix_ms: u64, max: usize) -> Vec<JobId> {
        self.ended.expired(retention, unix_ms, max)
    }

    /// Returns whether a job was cancelled before it was stored, so that no submission of it is stored any more.
    pub fn has_tombstone(&self, id: JobId) -> bool {
        self.ended.is_tombstone(id)
    }

    /// Forgets a job that [`Self::expired_jobs`] has returned, as its rows are deleted.
    pub fn forget_ended_job(&mut self, id: JobId) {
        self.ended.remove(id);
    }

    /// Records that the progress of a job is being written to this number of further rows.
    pub fn record_progress_parts(&mut self, id: JobId, parts: u32) {
        let key = self.job_ids.get(&id);
        if let Some(job) = key.and_then(|&key| self.jobs.get_mut(key)) {
            job.stored_parts = job.stored_parts.max(parts);
        }
    }

    /// Records that changes were stored, so that the ends in them can be acknowledged to the
    /// minions.
    pub fn changes_stored(&mut self, changes: &Changes) {
        for change in &changes.jobs {
            self.storing.remove(&change.key);
            if let Some(job) = self.jobs.get_mut(change.key) {
                let stored = job.stored_crash_changes.max(change.crash_changes);
                job.stored_crash_changes = stored;
            }
            self.drop_ended_job(change.key);
        }
        for received in &changes.received {
            if let Some(minion) = self.minions.get_mut(received.minion)
                && minion.incarnation() == received.incarnation
            {
                minion.record_stored_ends(received.last_number);
            }
        }
    }

    /// Records that changes couldn't be stored, so that they are taken again.
    pub fn changes_failed(&mut self, changes: &Changes) {
        self.has_urgent_change |= changes
            .jobs
            .iter()
            .any(|change| change.progress.state.is_final());
        for change in &changes.jobs {
            self.storing.remove(&change.key);
        }
        for change in &changes.jobs {
            self.dirty.put_back(change.key, change.place);
        }
    }
    /// Ends a job whose change the store rejects for good: the job fails, as its progress can't be stored.
    ///
    /// If the job has ended already, its end stays unstored for the rest of the term.
    pub fn change_rejected(&mut self, change: &JobChange, unix_ms: u64) {
        self.storing.remove(&change.key);
        self.dirty.remove(change.key);
        if change.progress.state.is_final() {
            self.drop_ended_job(change.key);
        } else {
            self.end_job(change.key, JobState::Failed, unix_ms);
        }
    }
}
