//! Minions on probation, which take one short task at a time.

use rustc_hash::{FxHashMap, FxHashSet};
use slotmap::SlotMap;
use smol_str::SmolStr;

use crate::jobs::minions::minion::Minion;
use crate::jobs::model::keys::MinionKey;

/// Pools in which most schedulable minions are on probation because they were slow.
///
/// A minion is slow compared with the others of its pool. Where most are, their tasks are long or there is nothing
/// better, so that such minions take as many tasks as fit. Minions that fail tasks stay limited.
#[derive(Clone, Debug, Default)]
pub(in crate::jobs) struct Probation {
    mostly_slow: FxHashSet<SmolStr>,
}

impl Probation {
    /// Counts the slow minions on probation in each pool.
    pub(in crate::jobs) fn update(
        &mut self,
        schedulable: &FxHashMap<SmolStr, Vec<MinionKey>>,
        minions: &SlotMap<MinionKey, Minion>,
        failure_threshold: u32,
    ) {
        self.mostly_slow.clear();
        for (pool, keys) in schedulable {
            let slow = keys.iter().filter(|&&key| {
                let minion = &minions[key];
                minion.on_probation && !minion.is_failing(failure_threshold)
            });
            if slow.count() * 2 > keys.len() {
                self.mostly_slow.insert(pool.clone());
            }
        }
    }

    /// Returns whether a minion takes one short task at a time.
    pub(in crate::jobs) fn limits(&self, minion: &Minion, failure_threshold: u32) -> bool {
        let is_exempt =
            self.mostly_slow.contains(&minion.entry.pool) && !minion.is_failing(failure_threshold);
        minion.on_probation && !is_exempt
    }
}
