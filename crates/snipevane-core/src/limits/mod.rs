//! Upper limits of teams: units of an entry VM, and how a changed deal comes into force.

mod allocation;
mod history;
mod rollout;
mod units;

pub use allocation::VersionAllocation;
pub use rollout::AllocationRollout;
pub use units::{TeamLimiter, Unit};
