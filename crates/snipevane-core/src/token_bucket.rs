//! Token bucket: an allowance that refills at a rate, up to a capacity.

use std::time::Duration;

/// Tokens that are left, as of a time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    updated_at: Duration,
}

impl TokenBucket {
    /// Creates a bucket with this many tokens.
    pub(crate) fn new(tokens: f64, now: Duration) -> Self {
        Self {
            tokens,
            updated_at: now,
        }
    }

    /// Adds the tokens since the last refill.
    pub(crate) fn refill(&mut self, rate_per_s: f64, capacity: f64, now: Duration) {
        self.tokens = self.tokens_at(rate_per_s, now).min(capacity);
        self.updated_at = now;
    }

    /// Returns the tokens at a time, without a bound.
    pub(crate) fn tokens_at(&self, rate_per_s: f64, now: Duration) -> f64 {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        self.tokens + elapsed_s * rate_per_s
    }

    /// Takes a token; returns whether there was one.
    pub(crate) fn take(&mut self) -> bool {
        let is_left = self.tokens >= 1.0;
        if is_left {
            self.tokens -= 1.0;
        }
        is_left
    }

    /// Returns the time from the last refill until there is a token; zero if there is one.
    pub(crate) fn wait(&self, rate_per_s: f64) -> Duration {
        Duration::from_secs_f64((1.0 - self.tokens).max(0.0) / rate_per_s)
    }
}
