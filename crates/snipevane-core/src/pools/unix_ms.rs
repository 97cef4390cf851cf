//! Wall-clock time as stored in rows of the table.

use std::time::Duration;

/// Wall-clock time in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnixMs(pub u64);

impl UnixMs {
    /// Returns the time `delay` later, at most `u64::MAX` milliseconds.
    pub fn after(self, delay: Duration) -> Self {
        Self(self.0.saturating_add(millis(delay)))
    }

    /// Returns the time `duration` earlier, at least 0.
    pub fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(millis(duration)))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
