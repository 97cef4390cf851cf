//! Jobs that were submitted to this process lately.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use rustc_hash::FxHashMap;
use snipevane_core::jobs::JobId;

/// Time after which the write of a job that was submitted here has been carried out or given up: the write is
/// retried for 2.2 s, its last attempt waits up to 0.8 s for its turn and 1.5 s for the store, and the rest is a
/// margin for a store that carries out a call after its timeout.
const SETTLED_AFTER: Duration = Duration::from_secs(10);

/// Jobs that were submitted lately, so that they may be stored or may still be.
#[derive(Default)]
pub(super) struct RecentSubmissions {
    /// Times of the last submissions.
    submitted_at: RefCell<FxHashMap<JobId, Duration>>,
    /// Time at which the settled ones were last removed.
    pruned_at: Cell<Duration>,
}

impl RecentSubmissions {
    /// Returns whether a job was submitted lately.
    pub(super) fn contains(&self, id: JobId, now: Duration) -> bool {
        let submitted_at = self.submitted_at.borrow().get(&id).copied();
        submitted_at.is_some_and(|at| now < at + SETTLED_AFTER)
    }

    /// Records that a job is being submitted.
    pub(super) fn record(&self, id: JobId, now: Duration) {
        let mut submitted_at = self.submitted_at.borrow_mut();
        submitted_at.insert(id, now);
        if now >= self.pruned_at.get() + SETTLED_AFTER {
            self.pruned_at.set(now);
            submitted_at.retain(|_, at| now < *at + SETTLED_AFTER);
        }
    }
}
