//! Recent pace at which waiting requests start.

use std::time::Instant;

/// Weight of the newest gap in the average.
const AVERAGE_WEIGHT: f64 = 1.0 / 32.0;

/// Average time between two starts while requests wait.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StartInterval {
    mean_seconds: Option<f64>,
    /// Last start, unless nothing was left waiting after it.
    last: Option<Instant>,
}

impl StartInterval {
    /// Notes a start; `still_waiting` tells whether other requests wait.
    pub(super) fn record_start(&mut self, now: Instant, still_waiting: bool) {
        if let Some(last) = self.last {
            let interval = now.saturating_duration_since(last).as_secs_f64();
            let mean = self.mean_seconds.unwrap_or(interval);
            self.mean_seconds = Some(mean + (interval - mean) * AVERAGE_WEIGHT);
        }
        self.last = still_waiting.then_some(now);
    }

    /// Returns the time in seconds from one start to the next, if it is known.
    pub(super) fn seconds(&self, now: Instant) -> Option<f64> {
        let mean = self.mean_seconds?;
        let Some(last) = self.last else {
            return Some(mean);
        };
        // Counts a gap that hasn't ended, so that a standstill shows.
        let open = now.saturating_duration_since(last).as_secs_f64() * AVERAGE_WEIGHT;
        Some(mean.max(open))
    }
}
