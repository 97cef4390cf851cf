//! A simulated site with fake minions for tests of the job scheduler, on a clock that the test
//! advances.
//!
//! The fake minions record every run with its minion, start and end, and the tests check these
//! records. [`JobSite`] checks at each start that no guarantee towards callers is broken.

mod interference;
mod job_site;
mod link;
mod minion;
mod network;
mod specs;

pub use interference::Interference;
pub use job_site::{Faults, JobSite, Restart, TICK, room_for};
pub use minion::{FakeMinion, Record};
pub use network::Network;
pub use specs::{TEAM, entry, job, long_running_step, site, site_spec, step};
