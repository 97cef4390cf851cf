//! Ways to deal out a limit and to place a request whose entry VM has no free unit.

use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use snipevane_core::shards::{ConcentrationSettings, ShardSet};

use super::hints::Hints;

/// Deal of a limit over the shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Deal {
    /// The same for each shard, but for the remainder.
    Even,
    /// Some units for each zone, the rest on few shards.
    Grains(ConcentrationSettings),
}

impl Deal {
    pub(super) fn units(self, shards: &ShardSet, limit: u32, team: &str) -> Vec<u32> {
        match self {
            Self::Even => shards.allocate(limit, team),
            Self::Grains(grains) => shards.allocate_concentrated(limit, team, grains),
        }
    }
}

/// Choice of the peer that is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Choice {
    /// A random holder, weighted by its units in the deal.
    Holder,
    /// A holder in the own zone first, then as above.
    ZoneFirst,
    /// The holder with the most free units by the hints.
    BestHint,
    /// The better of two random holders that have a free unit by the hints.
    TwoChoices,
    /// As above; what was sent since the last hint and refusals are taken into account.
    TwoChoicesCorrected,
}

/// A team's request at its entry VM, with the peers that refused it.
#[derive(Debug)]
pub(super) struct Place<'a> {
    pub(super) vm: usize,
    pub(super) team: usize,
    pub(super) zones: usize,
    pub(super) tried: &'a [usize],
}

/// Way to deal out limits and to place requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Way {
    pub(super) deal: Deal,
    pub(super) choice: Choice,
    /// Number of peers that are asked at most, one after the other.
    pub(super) attempts: usize,
}

impl Way {
    pub(super) fn name(self) -> String {
        let deal = match self.deal {
            Deal::Even => "even".to_owned(),
            Deal::Grains(grains) => format!(
                "grains of {}, {} holders, {} a zone",
                grains.min_units_per_shard, grains.max_shards_with_units, grains.units_per_zone
            ),
        };
        if self.attempts == 0 {
            return format!("{deal}, no forwarding");
        }
        let choice = match self.choice {
            Choice::Holder => "holder",
            Choice::ZoneFirst => "zone first",
            Choice::BestHint => "best hint",
            Choice::TwoChoices => "two choices",
            Choice::TwoChoicesCorrected => "two choices corrected",
        };
        format!("{deal}, {choice}, {}", self.attempts)
    }

    /// Tells whether an entry VM corrects the hints by what it sent and was refused.
    pub(super) fn corrects(self) -> bool {
        self.choice == Choice::TwoChoicesCorrected
    }

    /// Chooses the peer to ask among the holders of units, given with their units.
    ///
    /// Without a hint of a free unit, a random holder is asked.
    pub(super) fn choose(
        self,
        hints: &Hints,
        holders: &[(usize, u32)],
        place: &Place<'_>,
        rng: &mut ChaCha8Rng,
    ) -> Option<usize> {
        if place.tried.len() >= self.attempts {
            return None;
        }
        let others = holders.iter().copied();
        let others = others.filter(|(vm, _)| *vm != place.vm && !place.tried.contains(vm));
        let others: Vec<(usize, u32)> = others.collect();
        let free = |vm: usize| hints.free(place.vm, vm, place.team);
        let hinted = || others.iter().filter(|(vm, _)| free(*vm) > 0);
        let near = || {
            others
                .iter()
                .filter(|(vm, _)| vm % place.zones == place.vm % place.zones)
        };
        let preferred: Vec<(usize, u32)> = match self.choice {
            Choice::Holder => Vec::new(),
            Choice::ZoneFirst => near().copied().collect(),
            Choice::BestHint => hinted()
                .max_by_key(|(vm, _)| free(*vm))
                .copied()
                .into_iter()
                .collect(),
            Choice::TwoChoices | Choice::TwoChoicesCorrected => {
                let hinted: Vec<(usize, u32)> = hinted().copied().collect();
                let picks = hinted.sample(rng, 2);
                picks
                    .max_by_key(|(vm, _)| free(*vm))
                    .copied()
                    .into_iter()
                    .collect()
            }
        };
        weighted(&preferred, rng).or_else(|| weighted(&others, rng))
    }
}

/// Draws a holder, weighted by its units.
fn weighted(holders: &[(usize, u32)], rng: &mut ChaCha8Rng) -> Option<usize> {
    let total: u32 = holders.iter().map(|(_, units)| units).sum();
    if total == 0 {
        return None;
    }
    let mut drawn = rng.random_range(0..total);
    for &(vm, units) in holders {
        if drawn < units {
            return Some(vm);
        }
        drawn -= units;
    }
    None
}
