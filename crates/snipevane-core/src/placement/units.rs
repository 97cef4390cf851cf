//! Units of the teams' upper limits.

use crate::ids::TeamKey;

/// Source of the units that a team holds while something of it runs.
pub trait Units {
    /// Takes a unit; returns whether the team had one left.
    fn take(&mut self, team: TeamKey) -> bool;

    /// Gives a unit back after what it was taken for has ended.
    fn give_back(&mut self, team: TeamKey);
}
