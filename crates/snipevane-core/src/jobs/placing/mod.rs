//! Choice of minions for waiting tasks.

pub(super) mod advice;
pub(super) mod candidates;
pub(super) mod full_pools;
pub(super) mod gangs;
pub(super) mod long_running_waits;
pub(super) mod probation;
pub(super) mod round;
pub(super) mod silent_minions;
pub(super) mod speculation;
pub(super) mod tasks;
pub(super) mod trial_waits;
pub(super) mod unreported_runs;
pub(super) mod unreported_usage;
pub(super) mod wait_reason;
