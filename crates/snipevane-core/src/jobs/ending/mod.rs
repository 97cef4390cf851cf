//! Ends of runs and jobs, crashes, and the rows to store.

pub(super) mod changes;
pub(super) mod crash_evidence;
pub(super) mod crash_finding;
pub(super) mod crash_rate;
pub(super) mod crashes;
pub(super) mod dirty_jobs;
pub(super) mod earlier_trials;
pub(super) mod ends;
pub(super) mod task_crashes;
pub(super) mod trial;
pub(super) mod trials;
pub(super) mod unanswered_starts;
