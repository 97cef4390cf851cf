//! The scheduler's term: who holds it, and what its holder does.

mod candidate;
mod feeds;
mod leader;
mod notes;
mod orders;
mod storing;
mod view;
mod vms;

pub use candidate::run_candidate;
pub use leader::Leader;
pub use view::SchedulerView;
