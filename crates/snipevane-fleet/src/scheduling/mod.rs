//! The scheduler's term: who holds it, and what its holder does.

mod candidate;
mod feeds;
mod lead;
mod notes;
mod orders;
mod storing;
mod view;
mod vms;

pub use candidate::stand;
pub use lead::Lead;
pub use view::SchedulerView;
