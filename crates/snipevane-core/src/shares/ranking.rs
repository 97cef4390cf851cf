//! Ranking by which the waiting teams of one urgency start requests.

use std::collections::BTreeSet;

use crate::ids::TeamKey;

/// Rank of a team: the lowest usage per weight first, then the least recent start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Bits of the non-negative usage per weight, which order like the number itself.
    normalized_usage: u64,
    /// Sequence number of the team's last start among the starts of all teams.
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

/// Teams that have waiting requests of one urgency and aren't skipped, by rank.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamRanking {
    teams: BTreeSet<(Rank, TeamKey)>,
}

impl TeamRanking {
    /// Returns the team that starts the next request.
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
