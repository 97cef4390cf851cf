//! Bounds of the claims of one shard.

use std::time::Duration;

/// Bounds of the claims of one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Most bytes of answers that are kept.
    pub max_stored_response_bytes: usize,
    /// Most claims that are kept.
    pub max_claims: usize,
    /// Largest time by which a caller's clock may be ahead.
    pub max_clock_skew: Duration,
    /// Time by which a new ceiling lies above the clock plus the allowed skew.
    ///
    /// A short one makes more writes to the shard's row, a long one makes more identifiers
    /// unknown after the holder was lost.
    pub ceiling_lead: Duration,
    /// Most that a witness promises above the ceiling of the shard's row.
    pub max_extension: Duration,
    /// Time after which a caller retries if only the ceiling was too low.
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
