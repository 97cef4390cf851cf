//! Share queue: which waiting request starts next when slots are short.
//!
//! Urgent work goes first, then normal work, then overnight work. Within one urgency the team with
//! the least recent use of slots per share goes first, which gives each team its weighted max-min
//! part. Overnight work counts as urgent from the latest time at which all of it can still start.

mod error;
mod order;
mod queue;
mod start_interval;
mod team;

pub use error::QueueFull;
pub use queue::{FairQueue, QueueSettings, WaitKey, WaitingRequest};
