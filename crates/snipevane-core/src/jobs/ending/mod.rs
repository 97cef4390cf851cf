//! Ends of runs and jobs, crashes, and the rows to store.

pub(super) mod changes;
pub(super) mod crash_evidence;
pub(super) mod crash_report;
pub(super) mod crashes;
pub(super) mod dirty_jobs;
pub(super) mod earlier_trials;
pub(super) mod ends;
mod task_crash;
pub(super) mod task_crashes;
pub(super) mod trial;
mod trial_outcome;
pub(super) mod trials;
mod unexplained_crashes;
