//! Jobs whose row in the store is out of date, in the order in which they became so.

use crate::jobs::model::keys::JobKey;
use rustc_hash::FxHashMap;

/// Number of the oldest jobs that go before urgent ones.
const OLDEST_FIRST: usize = 12;

/// Set of the jobs whose row in the store is out of date.
#[derive(Clone, Debug, Default)]
pub(in crate::jobs) struct DirtyJobs {
    /// Sequence number of the change that first made the job's row out of date.
    since: FxHashMap<JobKey, u64>,
    next: u64,
}

impl DirtyJobs {
    /// Adds a job; one that is already in the set keeps its place.
    pub(in crate::jobs) fn insert(&mut self, key: JobKey) {
        self.since.entry(key).or_insert(self.next);
        self.next += 1;
    }

    /// Removes a job.
    pub(in crate::jobs) fn remove(&mut self, key: JobKey) {
        self.since.remove(&key);
    }

    /// Returns the place of a job; behind all others if it isn't in the set.
    pub(in crate::jobs) fn place(&self, key: JobKey) -> u64 {
        self.since.get(&key).copied().unwrap_or(u64::MAX)
    }

    /// Puts a job that was removed back in its place.
    pub(in crate::jobs) fn put_back(&mut self, key: JobKey, place: u64) {
        let since = self.since.entry(key).or_insert(place);
        *since = place.min(*since);
    }

    /// Returns whether a job is in the set.
    pub(in crate::jobs) fn contains(&self, key: JobKey) -> bool {
        self.since.contains_key(&key)
    }

    /// Returns whether the set is empty.
    pub(in crate::jobs) fn is_empty(&self) -> bool {
        self.since.is_empty()
    }

    /// Returns a few of the oldest jobs, so that none waits forever, then the jobs that `is_urgent`
    /// holds for, and then the others, each oldest first.
    pub(in crate::jobs) fn in_order(&self, is_urgent: impl Fn(JobKey) -> bool) -> Vec<JobKey> {
        let mut keys: Vec<JobKey> = self.since.keys().copied().collect();
        keys.sort_unstable_by_key(|key| self.since[key]);
        if let Some(rest) = keys.get_mut(OLDEST_FIRST..) {
            rest.sort_by_cached_key(|&key| !is_urgent(key));
        }
        keys
    }
}
