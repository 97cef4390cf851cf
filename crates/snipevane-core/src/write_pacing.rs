//! Pacing of the writes that entry VMs send without a scheduler.

use std::time::Duration;

/// Settings of a [`WritePacing`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PacingSettings {
    /// Pause after a write, as a multiple of the time that the write took.
    pub pause_factor: f64,
    /// Time that a write is taken to need when the process starts. Processes that start together know nothing of
    /// each other's writes yet.
    pub initial_write_time: Duration,
    /// Part of the difference by which the time that a write needs approaches a shorter one, as a divisor. A queue
    /// that is short for a moment would otherwise let many processes write at once.
    pub decrease: u32,
    /// Time without a write after which the time that writes needed no longer counts.
    pub validity: Duration,
    /// Longest pause after a write that was answered, before the random factor. A caller waits 3 s, and
    /// its change may arrive when the pause begins.
    pub max_pause: Duration,
    /// Longest time for which a process that has just started holds back its first write. Processes that start
    /// together would write at once.
    pub max_start_pause: Duration,
    /// Pause after a write that was refused or not answered; it doubles with each further one.
    pub min_backoff: Duration,
    /// Longest pause after a write that was refused or not answered, before the random factor.
    pub max_backoff: Duration,
    /// Largest part by which the random factor of a pause differs from 1.
    pub jitter: f64,
}

impl Default for PacingSettings {
    fn default() -> Self {
        Self {
            pause_factor: 9.0,
            initial_write_time: Duration::from_millis(150),
            decrease: 8,
            validity: Duration::from_secs(4),
            max_pause: Duration::from_millis(1_800),
            max_start_pause: Duration::from_millis(1_800),
            min_backoff: Duration::from_millis(400),
            max_backoff: Duration::from_millis(3_200),
            jitter: 0.15,
        }
    }
}

impl PacingSettings {
    /// Returns the settings of a process whose first write and those of the others are spread over this time.
    ///
    /// In a closed loop with the pause after each write, a write is then taken to need as long as if all others
    /// wrote too, so that few processes don't wait for a queue that can't form.
    pub fn with_start_spread(self, spread: Duration) -> Self {
        let pause_time = self.initial_write_time.mul_f64(self.pause_factor);
        let share = spread.as_secs_f64() / pause_time.as_secs_f64();
        Self {
            max_start_pause: self.max_start_pause.min(spread),
            initial_write_time: self.initial_write_time.mul_f64(share.min(1.0)),
            ..self
        }
    }
}

/// Decides when a process may send its next write.
///
/// The store carries out the transactions of all processes one after another. With a pause of nine times what a
/// write takes, a process has a write under way for a tenth of the time. So the queue of the store stays ten
/// times shorter than the number of processes that have changes to write, and the scheduler's writes pass it
/// soon, without a process that knows the number of others.
#[derive(Clone, Copy, Debug)]
pub struct WritePacing {
    settings: PacingSettings,
    /// Time before which no write is sent.
    resume_at: Duration,
    /// Number of writes that failed since the last one that was answered.
    failures: u32,
    /// Time that a write needs: a longer one counts at once, shorter ones by and by.
    write_time: Duration,
    /// Time of the last answer, or of the start of the process.
    measured_at: Duration,
}

impl WritePacing {
    /// Creates the pacing of a process that starts at `now`. `random` is a random number from 0 to 1.
    pub fn new(settings: PacingSettings, now: Duration, random: f64) -> Self {
        Self {
            settings,
            resume_at: now + settings.max_start_pause.mul_f64(random),
            failures: 0,
            write_time: settings.initial_write_time,
            measured_at: now,
        }
    }

    /// Returns the time until the next write may be sent.
    pub fn delay(&self, now: Duration) -> Duration {
        self.resume_at.saturating_sub(now)
    }

    /// Records that a write was answered at `now`, after `elapsed`. `random` is a random number from 0 to 1.
    pub fn record_answer(&mut self, elapsed: Duration, now: Duration, random: f64) {
        self.failures = 0;
        let is_valid = now <= self.measured_at + self.settings.validity;
        let previous = if is_valid { self.write_time } else { elapsed };
        let decrease = previous.saturating_sub(elapsed) / self.settings.decrease;
        self.write_time = elapsed.max(previous - decrease);
        self.measured_at = now;
        let pause = self.write_time.mul_f64(self.settings.pause_factor);
        self.pause(pause.min(self.settings.max_pause), now, random);
    }

    /// Records that a write was refused or not answered by `now`. `random` is a random number from 0 to 1.
    pub fn record_failure(&mut self, now: Duration, random: f64) {
        let backoff = exponential_backoff(
            self.settings.min_backoff,
            self.settings.max_backoff,
            self.failures,
        );
        self.failures = self.failures.saturating_add(1);
        self.pause(backoff, now, random);
    }

    fn pause(&mut self, pause: Duration, now: Duration, random: f64) {
        let factor = 1.0 + self.settings.jitter * (2.0 * random - 1.0);
        self.resume_at = now + pause.mul_f64(factor);
    }
}

/// Returns the pause after a failure that follows `earlier` others: `min`, doubled for each of them, up to `max`.
pub(crate) fn exponential_backoff(min: Duration, max: Duration, earlier: u32) -> Duration {
    let factor = 1_u32.checked_shl(earlier).unwrap_or(u32::MAX);
    min.saturating_mul(factor).min(max)
}
