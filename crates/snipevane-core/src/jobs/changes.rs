//! What is to be stored.

use std::time::Duration;

use super::id::JobId;
use super::job::JobKey;
use super::minion::MinionKey;
use super::progress::Progress;
use super::scheduler::Scheduler;

/// A job whose row is behind.
#[derive(Clone, Debug)]
pub struct JobChange {
    /// Identifier.
    pub id: JobId,
    /// Progress to store.
    pub progress: Progress,
    key: JobKey,
}

/// Ends that a minion had listed when changes were taken.
#[derive(Clone, Copy, Debug)]
pub struct SeenEnds {
    minion: MinionKey,
    born: Option<u64>,
    number: u64,
}

/// Changes to be stored together.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// Jobs.
    pub jobs: Vec<JobChange>,
    /// Ends that are stored once these changes are; empty if more changes wait.
    seen: Vec<SeenEnds>,
}

impl Scheduler {
    /// Returns whether something is to be stored.
    pub fn has_changes(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Returns whether a caller may wait for something to be stored.
    pub fn has_urgent_changes(&self) -> bool {
        self.has_unstored_end
    }

    /// Takes up to `most` jobs to store; the ones that callers wait for come first.
    pub fn take_changes(&mut self, most: usize) -> Changes {
        let mut keys: Vec<JobKey> = self.dirty.iter().copied().collect();
        keys.sort_by_key(|&key| !self.jobs.get(key).is_some_and(|job| job.state.is_final()));
        let all = keys.len() <= most;
        keys.truncate(most);
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
            let seen = self.minions.iter().map(|(minion, state)| SeenEnds {
                minion,
                born: state.born,
                number: state.seen,
            });
            changes.seen = seen.collect();
        }
        changes
    }

    /// Takes up to `most` jobs that ended longer ago than `kept`, so that their rows can go.
    pub fn take_expired(&mut self, kept: Duration, unix_ms: u64, most: usize) -> Vec<JobId> {
        self.ended.take_expired(kept, unix_ms, most)
    }

    /// Takes note that changes are stored: minions may forget the ends in them.
    pub fn changes_stored(&mut self, changes: &Changes) {
        for change in &changes.jobs {
            self.storing.remove(&change.key);
            self.drop_finished(change.key);
        }
        for seen in &changes.seen {
            if let Some(minion) = self.minions.get_mut(seen.minion)
                && minion.born == seen.born
            {
                minion.stored = minion.stored.max(seen.number);
            }
        }
    }

    /// Takes note that changes weren't stored, so that they are taken again.
    pub fn changes_lost(&mut self, changes: &Changes) {
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
