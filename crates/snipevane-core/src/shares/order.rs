//! Order of the teams that wait within one urgency.

use std::collections::BTreeSet;

use crate::ids::TeamKey;

/// Position of a team: the least use per share first, then the one that started longest ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Bits of the non-negative use per share, which order like the number itself.
    normalized_usage: u64,
    /// Number of the team's last start among all starts.
    last_start_seq: u64,
}

impl Rank {
    pub(super) fn new(normalized_usage: f64, last_start_seq: u64) -> Self {
        Self {
            normalized_usage: normalized_usage.max(0.0).to_bits(),
            last_start_seq,
        }
    }
}

/// Teams with waiting requests of one urgency that may start something.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamOrder {
    teams: BTreeSet<(Rank, TeamKey)>,
}

impl TeamOrder {
    /// Returns the team that starts next.
    pub(super) fn first(&self) -> Option<TeamKey> {
        self.teams.first().map(|&(_, team)| team)
    }

    /// Adds a team.
    pub(super) fn insert(&mut self, rank: Rank, team: TeamKey) {
        self.teams.insert((rank, team));
    }

    /// Removes a team.
    pub(super) fn remove(&mut self, rank: Rank, team: TeamKey) {
        self.teams.remove(&(rank, team));
    }
}
