//! Pools in which minions on probation take one short task at a time.

use rustc_hash::{FxHashMap, FxHashSet};
use slotmap::SlotMap;
use smol_str::SmolStr;

use crate::jobs::minions::minion::{Minion, MinionKey};

/// Pools in which most schedulable minions are on probation.
///
/// Slow is what most minions of a pool aren't. Where most are on probation, their tasks are to blame or nothing
/// better is left, so that they take as many tasks as fit.
#[derive(Clone, Debug, Default)]
pub(in crate::jobs) struct Probation {
    unlimited: FxHashSet<SmolStr>,
}

impl Probation {
    /// Counts the minions on probation in each pool.
    pub(in crate::jobs) fn update(
        &mut self,
        schedulable: &FxHashMap<SmolStr, Vec<MinionKey>>,
        minions: &SlotMap<MinionKey, Minion>,
    ) {
        self.unlimited.clear();
        for (pool, keys) in schedulable {
            let on_probation = keys.iter().filter(|&&key| minions[key].on_probation);
            if on_probation.count() * 2 > keys.len() {
                self.unlimited.insert(pool.clone());
            }
        }
    }

    /// Returns whether the minions on probation of a pool take one short task at a time.
    pub(in crate::jobs) fn limits(&self, pool: &str) -> bool {
        !self.unlimited.contains(pool)
    }
}
