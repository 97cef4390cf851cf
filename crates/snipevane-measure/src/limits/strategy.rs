//! Strategies for allocating limits, and for forwarding requests whose entry VM has no free unit.

use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use snipevane_core::shards::{ConcentrationSettings, ShardSet};

use super::hints::Hints;

/// Allocation of a limit to the shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Allocation {
    /// Each shard gets the same number of units, apart from the remainder.
    Even,
    /// Each zone may get a few units; the rest is concentrated on few shards.
    Concentrated(ConcentrationSettings),
}

impl Allocation {
    pub(super) fn allocate(self, shards: &ShardSet, limit: u32, team: &str) -> Vec<u32> {
        match self {
            Self::Even => shards.allocate(limit, team),
            Self::Concentrated(concentrated) => {
                shards.allocate_concentrated(limit, team, concentrated)
            }
        }
    }
}

/// Rule for choosing the peer that is asked for a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerChoice {
    /// A random holder, weighted by its allocated units.
    Holder,
    /// A random holder in the same zone if there is one, otherwise as [`PeerChoice::Holder`].
    ZoneFirst,
    /// The holder with the most free units according to the hints.
    BestHint,
    /// The better of two random holders that have a free unit according to the hints.
    TwoChoices,
    /// As [`PeerChoice::TwoChoices`], with hints that are corrected by the units taken and requests
    /// declined since the last publication.
    TwoChoicesCorrected,
}

/// A request that needs a unit of a peer, and the peers that were asked already.
#[derive(Debug)]
pub(super) struct ForwardContext<'a> {
    pub(super) vm: usize,
    pub(super) team: usize,
    pub(super) zones: usize,
    pub(super) asked_peers: &'a [usize],
}

/// Strategy for allocating limits and forwarding requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Strategy {
    pub(super) allocation: Allocation,
    pub(super) peer_choice: PeerChoice,
    /// Maximum number of peers that are asked, one after the other.
    pub(super) attempts: usize,
}

impl Strategy {
    /// Returns the name in the output, as the design page of limits has it.
    pub(super) fn name(self) -> String {
        let allocation = match self.allocation {
            Allocation::Even => "even".to_owned(),
            Allocation::Concentrated(concentrated) => format!(
                "grains of {}, {} holders, {} a zone",
                concentrated.min_units_per_shard,
                concentrated.max_shards_with_units,
                concentrated.units_per_zone
            ),
        };
        if self.attempts == 0 {
            return format!("{allocation}, no forwarding");
        }
        let peer_choice = match self.peer_choice {
            PeerChoice::Holder => "holder",
            PeerChoice::ZoneFirst => "zone first",
            PeerChoice::BestHint => "best hint",
            PeerChoice::TwoChoices => "two choices",
            PeerChoice::TwoChoicesCorrected => "two choices corrected",
        };
        format!("{allocation}, {peer_choice}, {}", self.attempts)
    }

    /// Returns whether an entry VM corrects its hints by the units taken and requests declined.
    pub(super) fn corrects_hints(self) -> bool {
        self.peer_choice == PeerChoice::TwoChoicesCorrected
    }

    /// Chooses the peer to ask from the holders, which are given with their allocated units.
    ///
    /// A random holder is chosen if no hint shows a free unit. Returns `None` if no peer is left to
    /// ask, or after the last attempt.
    pub(super) fn choose(
        self,
        hints: &Hints,
        holders: &[(usize, u32)],
        cx: &ForwardContext<'_>,
        rng: &mut ChaCha8Rng,
    ) -> Option<usize> {
        if cx.asked_peers.len() >= self.attempts {
            return None;
        }
        let candidates = holders.iter().copied();
        let candidates = candidates.filter(|(vm, _)| *vm != cx.vm && !cx.asked_peers.contains(vm));
        let candidates: Vec<(usize, u32)> = candidates.collect();
        let free = |vm: usize| hints.free(cx.vm, vm, cx.team);
        let hinted = || candidates.iter().filter(|(vm, _)| free(*vm) > 0);
        let same_zone = || {
            candidates
                .iter()
                .filter(|(vm, _)| vm % cx.zones == cx.vm % cx.zones)
        };
        let preferred: Vec<(usize, u32)> = match self.peer_choice {
            PeerChoice::Holder => Vec::new(),
            PeerChoice::ZoneFirst => same_zone().copied().collect(),
            PeerChoice::BestHint => hinted()
                .max_by_key(|(vm, _)| free(*vm))
                .copied()
                .into_iter()
                .collect(),
            PeerChoice::TwoChoices | PeerChoice::TwoChoicesCorrected => {
                let hinted: Vec<(usize, u32)> = hinted().copied().collect();
                let picks = hinted.sample(rng, 2);
                picks
                    .max_by_key(|(vm, _)| free(*vm))
                    .copied()
                    .into_iter()
                    .collect()
            }
        };
        pick_weighted(&preferred, rng).or_else(|| pick_weighted(&candidates, rng))
    }
}

/// Picks a random holder, weighted by its allocated units.
fn pick_weighted(holders: &[(usize, u32)], rng: &mut ChaCha8Rng) -> Option<usize> {
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
