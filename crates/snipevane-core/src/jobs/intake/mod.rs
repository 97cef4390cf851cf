//! Jobs that arrive, and what is known of jobs that have ended.

pub(super) mod durations;
pub(super) mod ended_jobs;
pub(super) mod submissions;
