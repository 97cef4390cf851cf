//! Recent interval between the starts of waiting requests.

use std::time::Instant;

/// Weight of the newest interval in the moving average.
const AVERAGE_WEIGHT: f64 = 1.0 / 32.0;

/// Exponentially weighted moving average of the time between two starts while requests wait.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StartInterval {
    mean_seconds: Option<f64>,
    /// Time of the last start, unless no request was left waiting after it.
    last: Option<Instant>,
}

impl StartInterval {
    /// Records a start; `still_waiting` tells whether other requests wait.
    pub(super) fn record_start(&mut self, now: Instant, still_waiting: bool) {
        if let Some(last) = self.last {
            let interval = now.saturating_duration_since(last).as_secs_f64();
            let mean = self.mean_seconds.unwrap_or(interval);
            self.mean_seconds = Some(mean + (interval - mean) * AVERAGE_WEIGHT);
        }
        self.last = still_waiting.then_some(now);
    }

    /// Returns the average interval in seconds, or `None` if no interval has been seen.
    pub(super) fn seconds(&self, now: Instant) -> Option<f64> {
        let mean = self.mean_seconds?;
        let Some(last) = self.last else {
            return Some(mean);
        };
        // The interval that hasn't ended yet counts too, so that a stall raises the estimate.
        let open = now.saturating_duration_since(last).as_secs_f64() * AVERAGE_WEIGHT;
        Some(mean.max(open))
    }
}
