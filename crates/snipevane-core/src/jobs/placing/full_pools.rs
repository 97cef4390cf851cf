//! What certainly finds no room in a scheduling round, so that it isn't tried on each minion.

use rustc_hash::{FxHashMap, FxHashSet};
use slotmap::SlotMap;
use smol_str::SmolStr;

use crate::jobs::minions::minion::Minion;
use crate::jobs::model::keys::{JobKey, MinionKey};
use crate::jobs::model::need::Need;
use crate::jobs::model::spec::StepSpec;
use crate::placement::Resources;

/// Largest free amounts of each resource on the minions of a pool as a round began, which may be on different minions.
#[derive(Clone, Debug, Default)]
pub(in crate::jobs) struct LargestRoom {
    of_all: Resources,
    by_label: FxHashMap<SmolStr, Resources>,
}

impl LargestRoom {
    /// Returns whether a minion might have room for a task of a step.
    pub(in crate::jobs) fn may_fit(&self, step: &StepSpec) -> bool {
        let largest = match &step.label {
            Some(label) => self.by_label.get(label),
            None => Some(&self.of_all),
        };
        largest.is_some_and(|largest| step.allocated_size().fits_in(largest))
    }

    /// Returns whether a minion might have room for a size.
    pub(in crate::jobs) fn may_fit_size(&self, size: &Resources) -> bool {
        size.fits_in(&self.of_all)
    }
}

/// What is known of the room of pools in the present round, in which minions only get fuller.
#[derive(Clone, Debug, Default)]
pub(in crate::jobs) struct FullPools {
    rooms: FxHashMap<SmolStr, LargestRoom>,
    /// Needs of untried tasks that found no minion.
    needs: FxHashSet<(JobKey, Need)>,
}

impl FullPools {
    /// Begins a round with the minions that take new work, by pool.
    pub(in crate::jobs) fn begin_round(
        &mut self,
        schedulable: &FxHashMap<SmolStr, Vec<MinionKey>>,
        minions: &SlotMap<MinionKey, Minion>,
    ) {
        self.needs.clear();
        self.rooms.clear();
        for (pool, keys) in schedulable {
            let room = self.rooms.entry(pool.clone()).or_default();
            for minion in keys.iter().filter_map(|&key| minions.get(key)) {
                let free = minion.free_capacity();
                room.of_all = room.of_all.max(&free);
                for label in &minion.entry.labels {
                    let of_label = room.by_label.entry(label.clone()).or_default();
                    *of_label = of_label.max(&free);
                }
            }
        }
    }

    /// Returns the largest room in a pool that has minions that take new work.
    pub(in crate::jobs) fn room_in(&self, pool: &str) -> Option<&LargestRoom> {
        self.rooms.get(pool)
    }

    /// Returns whether a like task of the job has found no minion.
    pub(in crate::jobs) fn contains(&self, job: JobKey, step: &StepSpec) -> bool {
        let need = Need::of(step).filter(|_| !self.needs.is_empty());
        need.is_some_and(|need| self.needs.contains(&(job, need)))
    }

    /// Records that an untried task of a step has found no minion.
    pub(in crate::jobs) fn record(&mut self, job: JobKey, step: &StepSpec) {
        self.needs.extend(Need::of(step).map(|need| (job, need)));
    }
}
