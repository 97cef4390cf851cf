//! The order in which a wave takes VMs.

use std::collections::BTreeMap;

use slotmap::SecondaryMap;

use super::VmView;
use crate::ids::{PoolKey, VmKey, ZoneKey};
use crate::pools::{Budget, Place, RackId};

/// A VM that waits for its reboot.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) vm: VmKey,
    pub(super) pool: PoolKey,
    pub(super) place: Place,
    /// Number of VMs of the same pool and rack that come before.
    rank_in_rack: u32,
    /// Reboots in a row that the pool needs.
    rounds: u32,
}

/// Orders the VMs that wait: pools that need the most rounds first, and within a pool each rack
/// and zone in turn.
pub(super) fn candidates<'a>(
    waiting: impl Iterator<Item = &'a VmView>,
    budgets: &SecondaryMap<PoolKey, Budget>,
) -> Vec<Candidate> {
    let mut ranks: BTreeMap<(PoolKey, RackId), u32> = BTreeMap::new();
    let mut left: SecondaryMap<PoolKey, u32> = SecondaryMap::new();
    let mut list = Vec::new();
    for view in waiting {
        let pool = view.row.pool;
        let rank = ranks.entry((pool, view.place.rack)).or_default();
        list.push(Candidate {
            vm: view.vm,
            pool,
            place: view.place,
            rank_in_rack: *rank,
            rounds: 0,
        });
        *rank += 1;
        if let Some(entry) = left.entry(pool) {
            *entry.or_default() += 1;
        }
    }
    for candidate in &mut list {
        let at_once = budgets
            .get(candidate.pool)
            .map_or(1, |budget| budget.allowed_planned().max(1));
        let left = left.get(candidate.pool).copied().unwrap_or_default();
        candidate.rounds = left.div_ceil(at_once);
    }
    list.sort_by_key(order);
    list
}

type Order = (std::cmp::Reverse<u32>, PoolKey, u32, RackId, ZoneKey, VmKey);

fn order(candidate: &Candidate) -> Order {
    (
        std::cmp::Reverse(candidate.rounds),
        candidate.pool,
        candidate.rank_in_rack,
        candidate.place.rack,
        candidate.place.zone,
        candidate.vm,
    )
}
