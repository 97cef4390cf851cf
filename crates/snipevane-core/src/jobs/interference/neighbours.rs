//! Placement away from neighbours that interfere.

use smol_str::SmolStr;

use crate::jobs::model::keys::MinionKey;
use crate::jobs::model::spec::{JobSpec, StepSpec};
use crate::jobs::scheduler::Scheduler;

impl Scheduler {
    /// Returns the images that the tasks of a step are kept apart from: those that disturb a
    /// latency-sensitive step, or those that a best-effort step disturbs.
    pub(in crate::jobs) fn bad_neighbours_of(
        &self,
        spec: &JobSpec,
        step: &StepSpec,
    ) -> Vec<SmolStr> {
        let is_latency_sensitive = step.tail_latency_target_ms > 0;
        if !self.settings.separates_interfering_tasks || !(is_latency_sensitive || step.best_effort)
        {
            return Vec::new();
        }
        let image = spec.image_of(step);
        let pairs = self.interference.pairs_apart().iter();
        let others = pairs.filter_map(|pair| {
            if step.best_effort && pair.best_effort == *image {
                Some(pair.latency_sensitive.clone())
            } else if is_latency_sensitive && pair.latency_sensitive == *image {
                Some(pair.best_effort.clone())
            } else {
                None
            }
        });
        others.collect()
    }

    /// Returns whether a minion has a run of one of these images, as a neighbour of the tasks of a step.
    pub(in crate::jobs) fn has_bad_neighbour(
        &self,
        key: MinionKey,
        images: &[SmolStr],
        step: &StepSpec,
    ) -> bool {
        if images.is_empty() {
            return false;
        }
        let minion = self.minions.get(key);
        let mut runs = minion.into_iter().flat_map(|minion| &minion.runs);
        runs.any(|&run| {
            let is_opposite = self.step_of(run).is_some_and(|other| {
                if step.best_effort {
                    other.tail_latency_target_ms > 0
                } else {
                    other.best_effort
                }
            });
            is_opposite && images.contains(&self.image_of_run(run))
        })
    }
}
