//! The platform as the model sees it: away for a time, and with a bound on its writes.

use std::time::{Duration, Instant};

use snipevane_platform::{CommitError, Committed, PlatformError};

use super::OutageSettings;

/// Pause that the platform asks for over its rate.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The platform's table without its rows.
pub(super) struct PlatformModel {
    down_from: Instant,
    down_until: Instant,
    per_second: f64,
    tokens: f64,
    refilled: Instant,
}

impl PlatformModel {
    /// Creates a platform that goes away as the settings say.
    pub(super) fn new(settings: &OutageSettings, start: Instant) -> Self {
        let per_second = f64::from(settings.writes_per_second);
        let down_from = start + settings.before;
        Self {
            down_from,
            down_until: down_from + settings.outage,
            per_second,
            tokens: per_second,
            refilled: start,
        }
    }

    /// Takes in one commit.
    pub(super) fn commit(&mut self, now: Instant) -> Result<Committed, CommitError> {
        if now >= self.down_from && now < self.down_until {
            return Err(CommitError::NotApplied(PlatformError::Refused(503)));
        }
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.per_second);
        if self.tokens < 1.0 {
            let retry_after = RETRY_AFTER;
            return Err(CommitError::NotApplied(PlatformError::Limited {
                retry_after,
            }));
        }
        self.tokens -= 1.0;
        Ok(Committed::default())
    }
}
