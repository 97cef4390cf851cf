//! Refusal of a request that the share queue has no room for.

use std::time::Duration;

use thiserror::Error;

/// The queue holds as many requests as it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the queue is full")]
pub struct QueueFull {
    /// Time after which another try is likely to find room.
    pub retry_after: Duration,
}
