//! Budget that limits the retries of each team in proportion to its requests.

use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;

use crate::ids::TeamKey;
use crate::retry_tokens::RetryTokens;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Number of retries that each request adds to the budget of its team.
    pub ratio: f64,
    /// Maximum number of retries that a team can accumulate, which is also what it starts with.
    pub burst: f64,
    /// Time after which one retry is added to a team's budget even without requests.
    pub refill_interval: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            burst: 3.0,
            refill_interval: Duration::from_secs(10),
        }
    }
}

/// Budget of one team.
#[derive(Clone, Copy, Debug)]
struct TeamBudget {
    tokens: RetryTokens,
    refilled_at: Option<Instant>,
}

/// Limits the retries of each team to a fraction of its requests plus a small burst.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    settings: RetrySettings,
    teams: FxHashMap<TeamKey, TeamBudget>,
}

impl RetryBudget {
    /// Creates a budget in which each team has its full burst.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            teams: FxHashMap::default(),
        }
    }

    /// Records the first attempt of a request, which adds a fraction of a retry to the budget.
    pub fn on_request(&mut self, team: TeamKey) {
        let settings = self.settings;
        let budget = self.budget(team);
        budget.tokens.add(settings.ratio);
    }

    /// Takes one retry from the team's budget; returns whether the budget allowed it.
    pub fn try_retry(&mut self, team: TeamKey, now: Instant) -> bool {
        let settings = self.settings;
        let budget = self.budget(team);
        let since = budget.refilled_at.unwrap_or(now);
        let earned = now.saturating_duration_since(since).as_secs_f64()
            / settings.refill_interval.as_secs_f64();
        budget.tokens.add(earned);
        budget.refilled_at = Some(now);
        budget.tokens.take()
    }

    /// Removes a team that is no longer in the configuration.
    pub fn remove_team(&mut self, team: TeamKey) {
        self.teams.remove(&team);
    }

    fn budget(&mut self, team: TeamKey) -> &mut TeamBudget {
        self.teams.entry(team).or_insert(TeamBudget {
            tokens: RetryTokens::full(self.settings.burst),
            refilled_at: None,
        })
    }
}
