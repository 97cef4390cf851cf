//! Changes that the scheduler hands out to be written to the store.

use std::time::Duration;

use super::id::JobId;
use super::job::JobKey;
use super::minion::MinionKey;
use super::progress::Progress;
use super::scheduler::Scheduler;

/// Change of a job whose row in the store is out of date.
#[derive(Clone, Debug)]
pub struct JobChange {
    /// Identifier of the job.
    pub id: JobId,
    /// Progress to store.
    pub progress: Progress,
    key: JobKey,
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
    /// Ends that are stored once these changes are; empty if further changes remain to be taken.
    received: Vec<ReceivedEnds>,
}

impl Scheduler {
    /// Returns whether any changes are to be stored.
    pub fn has_changes(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Returns whether a caller may be waiting for a change to be stored.
    pub fn has_urgent_changes(&self) -> bool {
        self.has_unstored_end
    }

    /// Takes the changes of up to `limit` jobs. Jobs that have ended come first, as callers may be
    /// waiting for them.
    pub fn take_changes(&mut self, limit: usize) -> Changes {
        let mut keys: Vec<JobKey> = self.dirty.iter().copied().collect();
        keys.sort_by_key(|&key| !self.jobs.get(key).is_some_and(|job| job.state.is_final()));
        let all = keys.len() <= limit;
        keys.truncate(limit);
        let mut changes = Changes::default();
        for key in keys {
            self.dirty.remove(&key);
            self.storing.insert(key);
            if let Some(job) = self.jobs.get(key) {
                changes.jobs.push(JobChange {
                    id: job.id,
                    progress: job.progress(),
                    key,
                });
            }
        }
        if all {
            self.has_unstored_end = false;
            let received = self.minions.iter().map(|(minion, state)| ReceivedEnds {
                minion,
                incarnation: state.incarnation,
                last_number: state.received_seq,
            });
            changes.received = received.collect();
        }
        changes
    }

    /// Takes up to `limit` jobs that ended longer ago than `retention`, so that their rows can be
    /// deleted. `unix_ms` is the time of day in Unix milliseconds.
    pub fn take_expired(&mut self, retention: Duration, unix_ms: u64, limit: usize) -> Vec<JobId> {
        self.ended.take_expired(retention, unix_ms, limit)
    }

    /// Records that changes were stored, so that the ends in them can be acknowledged to the
    /// minions.
    pub fn changes_stored(&mut self, changes: &Changes) {
        for change in &changes.jobs {
            self.storing.remove(&change.key);
            self.drop_ended_job(change.key);
        }
        for received in &changes.received {
            if let Some(minion) = self.minions.get_mut(received.minion)
                && minion.incarnation == received.incarnation
            {
                minion.stored_seq = minion.stored_seq.max(received.last_number);
            }
        }
    }

    /// Records that changes couldn't be stored, so that they are taken again.
    pub fn changes_failed(&mut self, changes: &Changes) {
        self.has_unstored_end |= changes
            .jobs
            .iter()
            .any(|change| change.progress.state.is_final());
        for change in &changes.jobs {
            self.storing.remove(&change.key);
        }
        self.dirty
            .extend(changes.jobs.iter().map(|change| change.key));
    }
}
