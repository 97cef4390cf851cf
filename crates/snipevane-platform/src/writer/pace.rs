//! How often a process commits.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::row_write::Importance;

/// Commits that can be saved up.
const MAX_SAVED: f64 = 2.0;

/// Settings of a [`Pace`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceSettings {
    /// Commits a second at most.
    pub max_per_second: f64,
    /// Commits a second while the platform fails.
    pub min_per_second: f64,
    /// Commits a second gained by each commit that was answered.
    pub increase_per_second: f64,
    /// Factor by which a failure lowers the rate.
    pub decrease: f64,
}

impl Default for PaceSettings {
    fn default() -> Self {
        Self {
            max_per_second: 4.0,
            min_per_second: 0.25,
            increase_per_second: 0.25,
            decrease: 0.5,
        }
    }
}

/// Spaces the commits of one process, so that all processes together leave the platform room.
///
/// The rate falls by a factor with each failure and rises by a step with each success. After a
/// failure the next commit waits for a random part of the interval, so that processes that failed
/// together don't come back together. Writes that aren't essential leave one commit in reserve.
#[derive(Debug)]
pub struct Pace {
    settings: PaceSettings,
    per_second: f64,
    saved: f64,
    refilled: Instant,
    held_until: Instant,
    rng: StdRng,
}

impl Pace {
    /// Creates a pace at its highest rate.
    pub fn new(settings: PaceSettings, seed: u64, now: Instant) -> Self {
        Self {
            settings,
            per_second: settings.max_per_second,
            saved: MAX_SAVED,
            refilled: now,
            held_until: now,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the rate, in commits a second.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Returns when a commit of this importance may be sent.
    pub fn ready_at(&mut self, importance: Importance, now: Instant) -> Instant {
        self.refill(now);
        let needed = match importance {
            Importance::Essential | Importance::Normal => 1.0,
            Importance::Bookkeeping => MAX_SAVED,
        };
        let missing = (needed - self.saved).max(0.0);
        let ready = now + Duration::from_secs_f64(missing / self.per_second);
        ready.max(self.held_until)
    }

    /// Counts a commit that is being sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.refill(now);
        self.saved = (self.saved - 1.0).max(0.0);
    }

    /// Counts a commit that the platform answered.
    pub fn record_answered(&mut self) {
        let raised = self.per_second + self.settings.increase_per_second;
        self.per_second = raised.min(self.settings.max_per_second);
    }

    /// Counts a commit that failed; the platform asked for a pause of `retry_after`.
    pub fn record_failed(&mut self, retry_after: Duration, now: Instant) {
        let lowered = self.per_second * self.settings.decrease;
        self.per_second = lowered.max(self.settings.min_per_second);
        self.saved = 0.0;
        self.refilled = now;
        let interval = Duration::from_secs_f64(1.0 / self.per_second);
        let jitter = interval.mul_f64(self.rng.random_range(0.0..1.0));
        self.held_until = now + retry_after + jitter;
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        self.saved = (self.saved + elapsed * self.per_second).min(MAX_SAVED);
    }
}
