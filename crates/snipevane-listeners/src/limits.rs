//! Limits of a listener.

use std::time::Duration;

/// Smallest limit of a head that the HTTP library takes, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;

/// Number of times a buffer may be larger than what it was asked to hold: the kernel doubles a receive buffer for
/// its overhead, and a buffer for heads doubles as it grows.
const BUFFER_GROWTH: usize = 2;

/// Limits of the connections of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest number of open connections.
    pub max_connections: usize,
    /// Memory for the heads and the receive buffers of all connections together, in bytes.
    pub connection_bytes: usize,
    /// Memory for the bodies of all connections together, in bytes.
    pub body_bytes: usize,
    /// Size of the receive buffer of a connection, in bytes.
    pub receive_buffer_bytes: usize,
    /// Size of the send buffer of a connection, in bytes; `None` leaves it to the system.
    pub send_buffer_bytes: Option<usize>,
    /// Longest time for the body of a request.
    pub body_time: Duration,
    /// Longest queue of connections that aren't accepted yet.
    pub backlog: u32,
    /// Time after which a connection is accepted again if that failed.
    pub accept_retry_delay: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 1_024,
            connection_bytes: 64 << 20,
            body_bytes: 32 << 20,
            receive_buffer_bytes: 16 << 10,
            send_buffer_bytes: Some(32 << 10),
            body_time: Duration::from_secs(10),
            backlog: 1_024,
            accept_retry_delay: Duration::from_millis(100),
        }
    }
}

impl Limits {
    /// Returns the number of connections that fit if the head of a request has up to `max_head_bytes`; one at least.
    pub fn connections(&self, max_head_bytes: usize) -> usize {
        let head_bytes = Self::head_bytes(max_head_bytes);
        let bytes = BUFFER_GROWTH * (head_bytes + self.receive_buffer_bytes);
        (self.connection_bytes / bytes).clamp(1, self.max_connections.max(1))
    }

    /// Returns the size of the buffer for heads of up to `max_head_bytes`, in bytes.
    pub fn head_bytes(max_head_bytes: usize) -> usize {
        max_head_bytes.max(MIN_HEAD_BYTES)
    }
}
