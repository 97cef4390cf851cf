//! Settings of the platform's client.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use smol_str::SmolStr;

use crate::retry::RetryPolicy;

/// Settings of a [`PlatformClient`](crate::PlatformClient).
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Name that the client gives to the platform.
    pub client: SmolStr,
    /// Time for a call in all, its retries included.
    pub request_timeout: Duration,
    /// Time for one attempt of a read.
    pub attempt_timeout: Duration,
    /// Time to make a connection.
    pub connect_timeout: Duration,
    /// Calls in flight at once.
    pub max_in_flight: usize,
    /// Largest answer, in bytes.
    pub max_response_bytes: usize,
    /// When reads are sent again.
    pub retry: RetryPolicy,
    /// Seed of the jitter; each client draws one of its own if it's absent.
    pub seed: Option<u64>,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7300)),
            client: SmolStr::default(),
            request_timeout: Duration::from_secs(2),
            attempt_timeout: Duration::from_millis(800),
            connect_timeout: Duration::from_millis(500),
            max_in_flight: 32,
            max_response_bytes: 16 << 20,
            retry: RetryPolicy::default(),
            seed: None,
        }
    }
}
