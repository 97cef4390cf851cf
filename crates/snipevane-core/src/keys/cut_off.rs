//! Acceptance of keys in a zone that can't receive withdrawals.

use std::time::{Duration, Instant};

/// Time for which a zone accepts keys after its last contact with the rest of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CutOffPolicy {
    /// Time without contact to the platform and other zones after which the zone counts as cut off
    /// (partitioned from the rest of the fleet).
    pub silence: Duration,
    /// Time for which a zone that is cut off continues to accept keys.
    ///
    /// With zero, requests with a key are refused as soon as the zone counts as cut off. With
    /// [`Duration::MAX`], they are accepted without a time limit.
    pub cut_off_serve: Duration,
}

impl Default for CutOffPolicy {
    fn default() -> Self {
        Self {
            silence: Duration::from_secs(2),
            cut_off_serve: Duration::from_secs(5),
        }
    }
}

impl CutOffPolicy {
    /// Returns whether requests with a key are accepted now.
    ///
    /// `platform` and `other_zone` are the times of the zone's last contact with the platform's
    /// table and with an entry VM of another zone. Without any contact so far, no key is accepted.
    pub fn accepts(
        &self,
        now: Instant,
        platform: Option<Instant>,
        other_zone: Option<Instant>,
    ) -> bool {
        let Some(last_contact) = platform.max(other_zone) else {
            return false;
        };
        let accepted_for = self.silence.saturating_add(self.cut_off_serve);
        now.saturating_duration_since(last_contact) <= accepted_for
    }
}
