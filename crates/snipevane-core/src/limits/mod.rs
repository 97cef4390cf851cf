//! Concurrency limits of teams, and allocation of limits to shards.
//!
//! Each team has a fleet-wide limit, which is allocated to the shards in units. An entry VM may use
//! the units of the shards that it holds: [`TeamLimiter`] counts them, and [`AllocationRollout`]
//! moves from one allocation to the next when the configuration changes. Allocations and rollouts
//! are also used for services, whose slots per backend server are allocated to the shards of one
//! zone.

mod allocation;
mod history;
mod rollout;
mod units;

pub use allocation::VersionAllocation;
pub use rollout::AllocationRollout;
pub use units::{TeamLimiter, Unit};
