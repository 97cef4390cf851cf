//! Settings of the platform client.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use smol_str::SmolStr;

use crate::retry::RetryPolicy;

/// Settings of a [`PlatformClient`](crate::PlatformClient).
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Name by which the client identifies itself to the platform.
    pub client: SmolStr,
    /// Timeout of a whole call, including its retries. The body of a response to an idempotent call may
    /// take longer as long as it keeps arriving.
    pub request_timeout: Duration,
    /// Timeout of one attempt of a call that can be retried, and for each part of its response's body.
    pub attempt_timeout: Duration,
    /// Maximum time that the body of a response takes whose parts keep arriving.
    pub transfer_timeout: Duration,
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Maximum number of calls in flight at once.
    pub max_in_flight: usize,
    /// Maximum size of a response body, in bytes.
    pub max_response_bytes: usize,
    /// Limits and delays of retries.
    pub retry: RetryPolicy,
    /// Seed of the random retry delays; if absent, each client chooses its own.
    pub seed: Option<u64>,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7300)),
            client: SmolStr::default(),
            request_timeout: Duration::from_secs(2),
            attempt_timeout: Duration::from_millis(800),
            transfer_timeout: Duration::from_secs(8),
            connect_timeout: Duration::from_millis(500),
            max_in_flight: 32,
            max_response_bytes: 16 << 20,
            retry: RetryPolicy::default(),
            seed: None,
        }
    }
}
