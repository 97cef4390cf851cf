//! Retry budget of the platform client.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use snipevane_core::retry_tokens::RetryTokens;

/// Limits and delays of retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Maximum number of attempts per call, including the first one.
    pub max_attempts: u32,
    /// Number of retries that each call adds to the budget.
    pub retries_per_call: f64,
    /// Number of retries added to the budget each second, independent of the number of calls.
    pub min_retries_per_second: f64,
    /// Maximum number of retries that the budget can hold.
    pub max_tokens: f64,
    /// Upper bound of the delay before the first retry; it doubles with each further retry.
    pub base_delay: Duration,
    /// Upper bound of the delay before any retry.
    pub max_delay: Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            retries_per_call: 0.1,
            min_retries_per_second: 1.0,
            max_tokens: 10.0,
            base_delay: Duration::from_millis(50),
            max_delay: Duration::from_secs(1),
        }
    }
}

/// Token bucket that decides whether a failed call is retried, and after which delay.
///
/// Retries are limited to a fraction of the calls plus a small constant rate, so that they can't
/// multiply the load on a platform on which every call fails. Delays are distributed uniformly
/// between zero and their upper bound.
#[derive(Debug)]
pub struct RetryBudget {
    policy: RetryPolicy,
    tokens: RetryTokens,
    refilled_at: Instant,
    rng: StdRng,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(policy: RetryPolicy, seed: u64, now: Instant) -> Self {
        Self {
            policy,
            tokens: RetryTokens::full(policy.max_tokens),
            refilled_at: now,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Adds the tokens for the first attempt of a call.
    pub fn record_call(&mut self) {
        self.tokens.add(self.policy.retries_per_call);
    }

    /// Takes a token and returns the delay before the next attempt, or `None` if the call isn't
    /// retried.
    ///
    /// `attempts` is the number of attempts made so far.
    pub fn next_delay(&mut self, attempts: u32, now: Instant) -> Option<Duration> {
        self.refill(now);
        if attempts >= self.policy.max_attempts || !self.tokens.take() {
            return None;
        }
        let doublings = attempts.saturating_sub(1).min(16);
        let bound = self.policy.base_delay.saturating_mul(1 << doublings);
        let bound = bound.min(self.policy.max_delay);
        Some(bound.mul_f64(self.rng.random_range(0.0..1.0)))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now.max(self.refilled_at);
        self.tokens
            .add(elapsed.as_secs_f64() * self.policy.min_retries_per_second);
    }
}
