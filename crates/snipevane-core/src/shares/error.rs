//! Error for a request that the fair queue has no room for.

use std::time::Duration;

use thiserror::Error;

/// The queue, or the team's share of it, is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the queue is full")]
pub struct QueueFull {
    /// Time after which a retry is likely to find room.
    pub retry_after: Duration,
}
