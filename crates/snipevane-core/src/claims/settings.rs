//! Settings of the claims on one shard.

use std::time::Duration;

/// Memory limits, clock limits and ceiling settings of the claims on one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Maximum memory of all stored responses together, in bytes.
    pub max_stored_response_bytes: usize,
    /// Maximum number of claims that are kept.
    pub max_claims: usize,
    /// Maximum time by which a caller's clock may be ahead.
    pub max_clock_skew: Duration,
    /// Time by which a new ceiling is ahead of the holder's clock.
    ///
    /// A short lead causes more writes to the shard's row. A long lead leaves more identifiers with
    /// an unknown outcome after the holder is lost.
    pub ceiling_lead: Duration,
    /// Maximum time by which a witness would grant a ceiling above the one in the shard's row.
    ///
    /// Not used by the entry VM, which announces ceilings to its peers instead.
    pub max_extension: Duration,
    /// Delay after which a caller retries a request that was refused only by the ceiling or for
    /// lack of room for another claim.
    pub ceiling_retry_delay: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            max_stored_response_bytes: 32 << 20,
            max_claims: 100_000,
            max_clock_skew: Duration::from_secs(2),
            ceiling_lead: Duration::from_secs(5),
            max_extension: Duration::from_secs(3600),
            ceiling_retry_delay: Duration::from_millis(100),
        }
    }
}
