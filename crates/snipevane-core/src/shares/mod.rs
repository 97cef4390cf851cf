//! Weighted fair queue that decides which waiting request starts next when slots are scarce.
//!
//! Urgent requests start first, then normal ones, then overnight ones. Within one urgency, the team
//! with the lowest recent slot usage per weight starts next, which gives each team its weighted
//! max-min fair share. A team's weight is the share that the configuration gives it. Overnight
//! requests become urgent at the latest time at which all of them can still start in time.

mod error;
mod queue;
mod ranking;
mod start_interval;
mod team;

pub use error::QueueFull;
pub use queue::{FairQueue, QueueSettings, WaitKey, WaitingRequest};
