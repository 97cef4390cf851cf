//! Decision whether a call to the store that failed is sent again through another entry VM.

use std::time::Duration;

use crate::retry_tokens::RetryTokens;
use crate::write_pacing::exponential_backoff;

/// Settings of a [`RelayPolicy`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RelaySettings {
    /// Number of further attempts that each call adds to the budget.
    pub retries_per_call: f64,
    /// Number of further attempts that each second adds to the budget.
    pub retries_per_s: f64,
    /// Largest number of further attempts in the budget, which is also what it starts with.
    pub max_retries: f64,
    /// Time for which refusals aren't relayed after a relay was refused too; it doubles with each further one.
    pub min_pause: Duration,
    /// Longest such time, before the random factor.
    pub max_pause: Duration,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            retries_per_call: 0.1,
            retries_per_s: 0.2,
            max_retries: 6.0,
            min_pause: Duration::from_millis(500),
            max_pause: Duration::from_secs(8),
        }
    }
}

/// Limits the attempts of calls through other entry VMs to those that may help.
///
/// The store may turn away one entry VM, and others then reach it. If it is at its limit for all of them, or slow,
/// a further attempt only adds to its load: an attempt without an answer may still be carried out.
#[derive(Clone, Copy, Debug)]
pub struct RelayPolicy {
    settings: RelaySettings,
    /// Further attempts that are left.
    budget: RetryTokens,
    refilled_at: Duration,
    /// Number of relayed refusals since the last one that a relay helped with.
    refusals: u32,
    /// Time before which refusals aren't relayed.
    resume_at: Duration,
}

impl Default for RelayPolicy {
    fn default() -> Self {
        Self::new(RelaySettings::default())
    }
}

impl RelayPolicy {
    /// Creates a policy with a full budget.
    pub fn new(settings: RelaySettings) -> Self {
        Self {
            settings,
            budget: RetryTokens::full(settings.max_retries),
            refilled_at: Duration::ZERO,
            refusals: 0,
            resume_at: Duration::ZERO,
        }
    }

    /// Records the first attempt of a call, which adds to the budget.
    pub fn record_call(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let added = self.settings.retries_per_call + elapsed * self.settings.retries_per_s;
        self.budget.add(added);
    }

    /// Takes a further attempt from the budget; returns whether there was one.
    pub fn take_retry(&mut self) -> bool {
        self.budget.take()
    }

    /// Returns whether the store has lately been found to be at its limit for all entry VMs, so that a relay doesn't
    /// help with a refusal.
    pub fn is_store_at_limit(&self, now: Duration) -> bool {
        now < self.resume_at
    }

    /// Records that a call which the store had refused was refused through another entry VM too. `random` is a
    /// random number from 0 to 1.
    pub fn record_relayed_refusal(&mut self, now: Duration, random: f64) {
        if self.is_store_at_limit(now) {
            return;
        }
        if now > self.resume_at + self.settings.max_pause {
            self.refusals = 0;
        }
        let pause = exponential_backoff(
            self.settings.min_pause,
            self.settings.max_pause,
            self.refusals,
        );
        self.refusals = self.refusals.saturating_add(1);
        self.resume_at = now + pause.mul_f64(0.75 + random / 2.0);
    }

    /// Records that another entry VM brought an answer to a call that the store had refused.
    pub fn record_relayed_answer(&mut self) {
        self.refusals = 0;
        self.resume_at = Duration::ZERO;
    }
}
