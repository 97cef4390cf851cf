//! A site of fake minions around the scheduler of jobs, on a clock that the test moves.
//!
//! The fake minions keep the record that is judged: which runs there were, where, and from when to
//! when. [`JobSite`] checks with each start that no rule of the callers is broken.

mod job_site;
mod minion;
mod specs;

pub use job_site::{Faults, JobSite, STEP};
pub use minion::{FakeMinion, Record};
pub use specs::{TEAM, entry, job, long_running_step, site, site_spec, step};
