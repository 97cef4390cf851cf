//! Retries in proportion to each team's requests.

use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;

use crate::ids::TeamKey;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries that each request earns.
    pub ratio: f64,
    /// Retries that a team saves up at most, and that it starts with.
    pub burst: f64,
    /// Time in which a team without requests earns one retry.
    pub refill: Duration,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            burst: 3.0,
            refill: Duration::from_secs(10),
        }
    }
}

/// Saved retries of one team.
#[derive(Clone, Copy, Debug)]
struct Account {
    saved: f64,
    refilled_at: Option<Instant>,
}

/// Bounds the retries of each team to a part of its requests plus a small burst.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    limits: RetryLimits,
    accounts: FxHashMap<TeamKey, Account>,
}

impl RetryBudget {
    /// Creates a budget in which each team has its full burst.
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            accounts: FxHashMap::default(),
        }
    }

    /// Notes a first try, which earns the team a part of a retry.
    pub fn on_request(&mut self, team: TeamKey) {
        let limits = self.limits;
        let account = self.account(team);
        account.saved = (account.saved + limits.ratio).min(limits.burst);
    }

    /// Takes one retry from the team's budget if it has one.
    pub fn try_retry(&mut self, team: TeamKey, now: Instant) -> bool {
        let limits = self.limits;
        let account = self.account(team);
        let since = account.refilled_at.unwrap_or(now);
        let earned =
            now.saturating_duration_since(since).as_secs_f64() / limits.refill.as_secs_f64();
        account.saved = (account.saved + earned).min(limits.burst);
        account.refilled_at = Some(now);
        if account.saved < 1.0 {
            return false;
        }
        account.saved -= 1.0;
        true
    }

    /// Drops the account of a team that the configuration no longer holds.
    pub fn forget(&mut self, team: TeamKey) {
        self.accounts.remove(&team);
    }

    fn account(&mut self, team: TeamKey) -> &mut Account {
        self.accounts.entry(team).or_insert(Account {
            saved: self.limits.burst,
            refilled_at: None,
        })
    }
}
