//! Rate limit for calls.

use std::time::Instant;

/// A token bucket that holds at most the tokens of one second.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket; a rate of 0 sets no limit.
    pub(crate) fn new(per_second: u32, now: Instant) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            tokens: per_second,
            refilled_at: now,
        }
    }

    /// Takes `tokens` if enough are available, and returns whether it did.
    pub(crate) fn try_take(&mut self, tokens: u32, now: Instant) -> bool {
        if self.per_second == 0.0 {
            return true;
        }
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.per_second);
        // A transaction that costs more than one second's tokens would never be admitted, so it
        // only needs a full bucket and may leave the balance negative.
        let needed = f64::from(tokens).min(self.per_second);
        if self.tokens < needed {
            return false;
        }
        self.tokens -= f64::from(tokens);
        true
    }
}
