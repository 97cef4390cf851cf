//! Estimate of how long the replies of a peer take.

use std::time::Duration;

/// Weight of a new reply in the smoothed reply time and its deviation, as a divisor.
const SMOOTHING: u32 = 16;

/// Number of mean deviations that a reply may exceed the smoothed reply time by before it is overdue.
const DEVIATIONS: u32 = 4;

/// Time after which a measured reply time no longer counts, by default.
const DEFAULT_VALIDITY: Duration = Duration::from_millis(1_500);

/// Smoothed reply time and its mean deviation, as TCP estimates them for its retransmission timer.
#[derive(Clone, Copy, Debug)]
pub struct ReplyTime {
    /// Time after which a measured reply time no longer counts.
    validity: Duration,
    mean: Duration,
    deviation: Duration,
    /// Time of the last reply; `None` before the first one.
    measured_at: Option<Duration>,
}

impl Default for ReplyTime {
    fn default() -> Self {
        Self::new(DEFAULT_VALIDITY)
    }
}

impl ReplyTime {
    /// Creates an estimate without measurements, in which each counts for `validity`.
    pub fn new(validity: Duration) -> Self {
        Self {
            validity,
            mean: Duration::ZERO,
            deviation: Duration::ZERO,
            measured_at: None,
        }
    }

    /// Records a reply that arrived at `now` and took `elapsed`.
    pub fn record(&mut self, elapsed: Duration, now: Duration) {
        if self.is_valid(now) {
            let difference = elapsed.abs_diff(self.mean);
            self.mean = smooth(self.mean, elapsed);
            self.deviation = smooth(self.deviation, difference);
        } else {
            self.mean = elapsed;
            self.deviation = elapsed / 2;
        }
        self.measured_at = Some(now);
    }

    /// Returns the smoothed reply time; zero if it wasn't measured lately.
    pub fn mean(&self, now: Duration) -> Duration {
        if self.is_valid(now) {
            self.mean
        } else {
            Duration::ZERO
        }
    }

    /// Returns the time after which a reply is overdue; `None` if no reply time was measured lately.
    pub fn upper_bound(&self, now: Duration) -> Option<Duration> {
        self.is_valid(now)
            .then(|| self.mean + self.deviation * DEVIATIONS)
    }

    fn is_valid(&self, now: Duration) -> bool {
        self.measured_at.is_some_and(|at| now <= at + self.validity)
    }
}

fn smooth(previous: Duration, new: Duration) -> Duration {
    previous - previous / SMOOTHING + new / SMOOTHING
}
