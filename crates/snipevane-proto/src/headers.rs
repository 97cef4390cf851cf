//! Names and values of the HTTP headers that callers, entry VMs and backend servers exchange.

use std::fmt;

/// Time remaining until the deadline of a request, in milliseconds. Callers set it, and entry VMs
/// pass it on to backend servers.
pub const DEADLINE_MS: &str = "snipevane-deadline-ms";
/// Outcome of a request; see [`Outcome`].
pub const OUTCOME: &str = "snipevane-outcome";
/// Identifier (a version 7 UUID) under which a non-idempotent request runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Team on whose behalf an entry VM sends a request to a backend server.
pub const TEAM: &str = "snipevane-team";
/// Queue through which a request reached a backend server.
pub const QUEUE: &str = "snipevane-queue";
/// Identifier of a request-response exchange, which backend servers echo in the response.
pub const EXCHANGE: &str = "snipevane-exchange";
/// Set to `leaving` by a backend server that should get no new requests.
pub const SERVER_STATE: &str = "snipevane-server-state";

/// Outcome of a request, as far as it's known when the response is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// A backend server ran the request, and this is its response.
    Answered,
    /// No backend server ran the request.
    NotRun,
    /// A backend server may have run the request.
    Unknown,
}

impl Outcome {
    /// Returns the value of the header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Parses the value of the header.
    pub fn parse(text: &str) -> Option<Self> {
        [Self::Answered, Self::NotRun, Self::Unknown]
            .into_iter()
            .find(|outcome| outcome.as_str() == text)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
