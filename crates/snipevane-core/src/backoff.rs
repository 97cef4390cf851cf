//! Exponential backoff with jitter between attempts of a call that fails.

use std::time::Duration;

/// Least share of a delay that jitter leaves.
const MIN_JITTER: f64 = 0.6;

/// Delay between attempts. It doubles with each failure, up to a limit, and a success resets it.
///
/// Calls of many VMs that fail at the same time are so spread, and load a service less that refuses them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose delays grow from `first` to `max`.
    pub fn new(first: Duration, max: Duration) -> Self {
        Self {
            first,
            max,
            failures: 0,
        }
    }

    /// Records a failure; returns the delay until the next attempt. `random` is drawn from 0 to 1.
    pub fn next_delay(&mut self, random: f64) -> Duration {
        let factor = 2_u32.saturating_pow(self.failures);
        self.failures = self.failures.saturating_add(1);
        jittered(self.first.saturating_mul(factor).min(self.max), random)
    }

    /// Records a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

/// Returns a delay shortened by a random part. `random` is drawn from 0 to 1.
pub fn jittered(delay: Duration, random: f64) -> Duration {
    delay.mul_f64(MIN_JITTER + (1.0 - MIN_JITTER) * random)
}
