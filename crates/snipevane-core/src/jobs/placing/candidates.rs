//! Minions among which the waiting tasks of a step are placed.

use crate::jobs::model::keys::MinionKey;

/// Minions that a step's waiting tasks may get.
#[derive(Clone, Copy, Debug)]
pub(in crate::jobs) struct Candidates<'a> {
    /// The minions.
    pub(in crate::jobs) minions: &'a [MinionKey],
    /// Whether these minions have no runs, and no other waiting task has taken them in this round.
    pub(in crate::jobs) are_spare: bool,
}

impl<'a> Candidates<'a> {
    /// Returns minions that other tasks may want as well.
    pub(in crate::jobs) fn shared(minions: &'a [MinionKey]) -> Self {
        Self {
            minions,
            are_spare: false,
        }
    }

    /// Returns minions without runs that are left once all other tasks are placed.
    pub(in crate::jobs) fn spare(minions: &'a [MinionKey]) -> Self {
        Self {
            minions,
            are_spare: true,
        }
    }

    /// Returns these minions, which are some of the candidates, as candidates of the same kind.
    pub(in crate::jobs) fn with(self, minions: &'a [MinionKey]) -> Self {
        Self { minions, ..self }
    }
}
