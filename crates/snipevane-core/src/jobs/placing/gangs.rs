//! Placement of gangs, whose tasks run either all together or not at all.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

use super::candidates::Candidates;
use super::tasks::{first_task_ref, has_label};
use super::trial_waits::Admission;
use crate::jobs::model::keys::{MinionKey, StepRef, TaskRef};
use crate::jobs::model::spec::StepSpec;
use crate::jobs::model::step::Step;
use crate::jobs::scheduler::Scheduler;

impl Scheduler {
    /// Places either all tasks of a gang or none.
    pub(in crate::jobs) fn place_gang(
        &mut self,
        step_ref: StepRef,
        step: &StepSpec,
        candidates: Candidates<'_>,
        now: Duration,
    ) {
        if self.startable_count(step_ref, now) < step.tasks {
            return;
        }
        let Some(job) = self.jobs.get(step_ref.job) else {
            return;
        };
        let team = job.spec.team.clone();
        let Some(state) = job.step(first_task_ref(step_ref)) else {
            return;
        };
        let attempt = state.gang_attempt + 1;
        if !self.is_within_quota(team.as_deref(), step, u64::from(step.tasks)) {
            return;
        }
        let Some(chosen) = self.choose_gang(step_ref, step, candidates, now) else {
            self.wait_for_trials_of_gang(step_ref, now);
            return;
        };
        for (index, minion) in (0..step.tasks).zip(chosen) {
            let task = TaskRef {
                index,
                ..first_task_ref(step_ref)
            };
            self.start_run(step_ref, task, step, minion, Some(attempt), now);
        }
        if let Some(job) = self.jobs.get_mut(step_ref.job) {
            job.update_step(first_task_ref(step_ref), |state| {
                state.gang_attempt = attempt;
            });
        }
    }

    /// Notes that the suspects of a gang wait for their trial.
    fn wait_for_trials_of_gang(&mut self, step_ref: StepRef, now: Duration) {
        let job = self.jobs.get(step_ref.job);
        let step = job.and_then(|job| job.step(first_task_ref(step_ref)));
        let tried = step.into_iter().flat_map(Step::records);
        let tried: Vec<u32> = tried.map(|(index, _)| index).collect();
        for index in tried {
            let task = TaskRef {
                index,
                ..first_task_ref(step_ref)
            };
            if self.is_suspect_task(step_ref.job, task) {
                self.wait_for_trial(step_ref, task, now);
            }
        }
    }

    /// Chooses a minion for each member of a gang.
    ///
    /// If the step prefers one rack, racks are tried one by one, the one with the step's data
    /// first; if the gang fits on none, it is spread over racks.
    fn choose_gang(
        &self,
        step_ref: StepRef,
        step: &StepSpec,
        candidates: Candidates<'_>,
        now: Duration,
    ) -> Option<Vec<MinionKey>> {
        if step.prefer_one_rack {
            let mut racks: FxHashMap<&SmolStr, Vec<MinionKey>> = FxHashMap::default();
            for &key in candidates.minions {
                racks
                    .entry(&self.minions[key].entry.rack)
                    .or_default()
                    .push(key);
            }
            let mut racks: Vec<(&SmolStr, Vec<MinionKey>)> = racks.into_iter().collect();
            racks
                .sort_by_key(|(rack, _)| (step.data_rack.as_ref() != Some(*rack), (*rack).clone()));
            let mut fitting = racks
                .iter()
                .filter_map(|(_, rack)| self.fit_gang(step_ref, step, candidates.with(rack), now));
            if let Some(chosen) = fitting.next() {
                return Some(chosen);
            }
        }
        self.fit_gang(step_ref, step, candidates, now)
    }

    fn fit_gang(
        &self,
        step_ref: StepRef,
        step: &StepSpec,
        candidates: Candidates<'_>,
        now: Duration,
    ) -> Option<Vec<MinionKey>> {
        let state = self.jobs.get(step_ref.job);
        let state = state.and_then(|job| job.step(first_task_ref(step_ref)))?;
        let admissions = state
            .distinct_tasks()
            .map(|task| self.admission_of(task, candidates, now));
        let admissions: Vec<Admission> = admissions.collect();
        let may_take_minion = !admissions.contains(&Admission::Wait);
        let is_on_trial = admissions.contains(&Admission::Trial);
        let usable = candidates.minions.iter().copied();
        let usable =
            usable.filter(|&key| self.minions[key].trial_allows(step_ref.job, may_take_minion));
        let mut minions: Vec<MinionKey> = usable.collect();
        if is_on_trial {
            minions.sort_by_cached_key(|&key| self.fresh_run_count(key));
        }
        let size = step.allocated_size();
        let mut chosen = Vec::with_capacity(step.tasks as usize);
        for key in minions {
            let minion = &self.minions[key];
            if !has_label(minion, step) {
                continue;
            }
            let already_here = self.step_tasks_on_minion(step_ref, key);
            let limit = step
                .max_per_minion
                .map_or(u32::MAX, |limit| limit.saturating_sub(already_here));
            let mut room = minion.free_capacity();
            let mut placed = 0;
            while placed < limit && size.fits_in(&room) && chosen.len() < step.tasks as usize {
                room = room.minus(&size);
                placed += 1;
                chosen.push(key);
            }
        }
        (chosen.len() == step.tasks as usize).then_some(chosen)
    }
}
