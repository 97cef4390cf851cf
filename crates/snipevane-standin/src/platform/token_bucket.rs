//! A bound on calls a second.

use std::time::Instant;

/// A token bucket that holds the tokens of one second at most.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket; a rate of 0 sets no bound.
    pub(crate) fn new(per_second: u32, now: Instant) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            tokens: per_second,
            refilled_at: now,
        }
    }

    /// Takes `tokens` if they are there, and returns whether they were.
    pub(crate) fn try_take(&mut self, tokens: u32, now: Instant) -> bool {
        if self.per_second == 0.0 {
            return true;
        }
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.per_second);
        // A transaction over a whole second's tokens would never pass, so it may run into debt.
        let needed = f64::from(tokens).min(self.per_second);
        if self.tokens < needed {
            return false;
        }
        self.tokens -= f64::from(tokens);
        true
    }
}
