//! Whether keys are accepted in a zone that can't learn of withdrawals.

use std::time::{Duration, Instant};

/// For how long keys are accepted after the last contact with the rest of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CutOffPolicy {
    /// Silence of platform and other zones after which the zone counts as cut off.
    pub silence: Duration,
    /// Time for which a cut-off zone goes on accepting keys.
    ///
    /// Zero refuses work with a key as soon as the zone counts as cut off, [`Duration::MAX`]
    /// accepts it for ever.
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
    /// Tells whether work with a key is accepted now.
    ///
    /// `platform` and `other_zone` are the last times at which the zone heard from the platform's
    /// table and from an entry VM of another zone.
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
