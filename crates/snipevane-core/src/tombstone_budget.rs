//! Budget of the tombstones that requests to cancel jobs which aren't stored may leave in the store.
//!
//! Each takes two rows for minutes, which each term reads when it begins and removes later.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

use crate::token_bucket::TokenBucket;

/// Tombstones of one team that one entry VM may leave at once.
const TEAM_BURST: f64 = 32.0;

/// Tombstones of one team that all entry VMs together may leave in a second over a longer time.
const TEAM_RATE_PER_S: f64 = 16.0;

/// Tombstones of all teams that one entry VM may leave at once.
const BURST: f64 = 128.0;

/// Tombstones of all teams that all entry VMs together may leave in a second over a longer time. The scheduler removes as
/// many with the writes that renew its term.
const RATE_PER_S: f64 = 32.0;

/// Number of teams from which on those that have used nothing lately are forgotten.
const MAX_TEAMS: usize = 1_000;

/// Budget of one entry VM, of all teams together and of each by itself; a token stands for a tombstone.
#[derive(Clone, Debug, Default)]
pub struct TombstoneBudget {
    all: Option<TokenBucket>,
    teams: FxHashMap<Option<SmolStr>, TokenBucket>,
}

impl TombstoneBudget {
    /// Takes a token for a tombstone of a team, on a site of this many entry VMs.
    ///
    /// # Errors
    ///
    /// Returns the time until there is one.
    pub fn take(
        &mut self,
        team: Option<&SmolStr>,
        entry_vms: usize,
        now: Duration,
    ) -> Result<(), Duration> {
        let entry_vms = entry_vms.max(1) as f64;
        let (rate, team_rate) = (RATE_PER_S / entry_vms, TEAM_RATE_PER_S / entry_vms);
        self.forget_idle_teams(team_rate, now);
        let full = TokenBucket::new(BURST, now);
        let all = self.all.get_or_insert(full);
        let full = TokenBucket::new(TEAM_BURST, now);
        let of_team = self.teams.entry(team.cloned()).or_insert(full);
        all.refill(rate, BURST, now);
        of_team.refill(team_rate, TEAM_BURST, now);
        let wait = all.wait(rate).max(of_team.wait(team_rate));
        if !wait.is_zero() {
            return Err(wait);
        }
        all.take();
        of_team.take();
        Ok(())
    }

    fn forget_idle_teams(&mut self, team_rate: f64, now: Duration) {
        if self.teams.len() >= MAX_TEAMS {
            self.teams
                .retain(|_, bucket| bucket.tokens_at(team_rate, now) < TEAM_BURST);
        }
    }
}
