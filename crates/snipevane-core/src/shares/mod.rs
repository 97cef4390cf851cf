//! Weighted fair queue that decides which waiting request starts next when slots are scarce.
//!
//! Urgent requests start first, then normal ones, then overnight ones. Within one urgency, the team
//! with the lowest recent slot usage per weight starts next, which gives each team its weighted
//! max-min fair share. A team's weight is the share that the configuration gives it. Overnight
//! requests become urgent once the estimated time to start all of them, plus a margin, reaches the
//! earliest `start_by` among them.

mod error;
mod queue;
mod ranking;
mod start_interval;
mod team;

pub use error::QueueFull;
pub use queue::{FairQueue, QueueSettings, WaitKey, WaitingRequest};
