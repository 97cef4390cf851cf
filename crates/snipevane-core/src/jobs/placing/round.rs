//! A scheduling round: which steps are placed, in which order, on which minions.

use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};
use smol_str::SmolStr;

use super::candidates::Candidates;
use super::full_pools::LargestRoom;
use super::tasks::first_task_ref;
use crate::jobs::model::keys::{JobKey, MinionKey, StepRef};
use crate::jobs::model::step::Step;
use crate::jobs::scheduler::Scheduler;

impl Scheduler {
    /// Places the waiting tasks of all pools in the order of their rank, suspects that have waited for long first, and
    /// then speculative runs, as far as the congestion window allows further start orders.
    pub(in crate::jobs) fn place(&mut self, now: Duration) {
        self.placed_this_round = 0;
        if !self.evacuations_confirmed {
            return;
        }
        let schedulable = self.schedulable_minions(now);
        self.probation
            .update(&schedulable, &self.minions, self.settings.failure_threshold);
        let unreported_pools = self.unreported_pools(now);
        self.unreported_usage = self.estimate_unreported_usage(&unreported_pools);
        self.full_pools.begin_round(&schedulable, &self.minions);
        let mut steps = self.long_trial_waits(now);
        self.open_steps(&self.unopened.clone());
        steps.extend(self.ranked_steps(&schedulable, now));
        // Steps are opened as others of their jobs have found room, until none does.
        while !steps.is_empty() && self.may_place_more() {
            let placed = self.place_steps(steps, &schedulable, &unreported_pools, now);
            steps = self.open_steps(&placed);
            steps.sort_by_cached_key(|&(_, step)| self.rank(step, now));
        }
        self.place_trials_on_spare_minions(&schedulable, &unreported_pools, now);
        self.place_speculative_runs(&schedulable, now);
    }

    /// Places the waiting tasks of steps in this order, each on the minions of its pool; returns the jobs of which
    /// tasks were placed.
    fn place_steps(
        &mut self,
        steps: Vec<(SmolStr, StepRef)>,
        schedulable: &FxHashMap<SmolStr, Vec<MinionKey>>,
        unreported_pools: &FxHashSet<SmolStr>,
        now: Duration,
    ) -> FxHashSet<JobKey> {
        let mut placed = FxHashSet::default();
        for (pool, step) in steps {
            if !self.may_place_more() {
                break;
            }
            let Some(minions) = schedulable.get(&pool) else {
                continue;
            };
            let has_unreported_runs = unreported_pools.contains(&pool);
            if self.place_step(step, Candidates::shared(minions), has_unreported_runs, now) {
                placed.insert(step.job);
            }
        }
        placed
    }

    /// Opens further steps of jobs that wait for it; returns these steps with their pools.
    fn open_steps(&mut self, jobs: &FxHashSet<JobKey>) -> Vec<(SmolStr, StepRef)> {
        let mut opened = Vec::new();
        let jobs: Vec<JobKey> = self.unopened.intersection(jobs).copied().collect();
        for key in jobs {
            let steps = self.open_steps_of(key);
            if let Some(job) = self.jobs.get(key) {
                let pool = &job.spec.pool;
                opened.extend(steps.into_iter().map(|step| (pool.clone(), step)));
            }
        }
        opened
    }

    /// Returns whether the congestion window allows another start order.
    pub(in crate::jobs) fn may_place_more(&self) -> bool {
        self.placed_this_round < self.start_window.available()
    }

    /// Returns the minions that take new work, by pool.
    pub(in crate::jobs) fn schedulable_minions(
        &self,
        now: Duration,
    ) -> FxHashMap<SmolStr, Vec<MinionKey>> {
        let mut schedulable: FxHashMap<SmolStr, Vec<MinionKey>> = FxHashMap::default();
        for (key, minion) in &self.minions {
            if minion.is_schedulable(now) && !self.is_evacuated(&minion.entry.zone) {
                schedulable
                    .entry(minion.entry.pool.clone())
                    .or_default()
                    .push(key);
            }
        }
        schedulable.retain(|pool, _| self.has_reliable_capacities(pool, now));
        for minions in schedulable.values_mut() {
            // Gangs take the first minions that have room.
            minions.sort_by_key(|&key| self.minions[key].is_cold(now));
        }
        schedulable
    }

    /// Returns the queued steps for which schedulable minions may have room, with their pools, in the order of their
    /// rank.
    fn ranked_steps(
        &mut self,
        schedulable: &FxHashMap<SmolStr, Vec<MinionKey>>,
        now: Duration,
    ) -> Vec<(SmolStr, StepRef)> {
        let mut ranked = Vec::new();
        let pools: Vec<SmolStr> = self.queues.keys().cloned().collect();
        for pool in pools {
            let queue = self.queues.entry(pool.clone()).or_default();
            let mut steps = std::mem::take(&mut queue.steps);
            steps.retain(|&step| self.update_queued(step));
            if schedulable.contains_key(&pool) {
                let room = self.full_pools.room_in(&pool);
                let tried = steps.iter().filter(|&&step| self.may_find_room(step, room));
                ranked.extend(tried.map(|&step| (pool.clone(), step)));
            }
            self.queues.entry(pool).or_default().steps = steps;
        }
        ranked.sort_by_cached_key(|&(_, step)| self.rank(step, now));
        ranked
    }

    /// Sets a step's `queued` flag and returns it: a step stays queued while it has waiting tasks
    /// and its job hasn't ended.
    fn update_queued(&mut self, step_ref: StepRef) -> bool {
        let Some(job) = self.jobs.get_mut(step_ref.job) else {
            return false;
        };
        let is_final = job.state.is_final();
        let is_queued = job.update_step(first_task_ref(step_ref), |step| {
            step.queued = step.waiting() > 0 && !is_final;
            step.queued
        });
        is_queued.unwrap_or(false)
    }

    /// Returns whether a step is to be tried, given the largest room in its pool. Of steps that were tried before, and of
    /// those that others advise on or that need room for all tasks at once, more is to be found out.
    fn may_find_room(&self, step_ref: StepRef, room: Option<&LargestRoom>) -> bool {
        let Some(job) = self.jobs.get(step_ref.job) else {
            return false;
        };
        let Some(spec) = job.spec.steps.get(step_ref.step as usize) else {
            return false;
        };
        let is_fresh = || {
            job.step(first_task_ref(step_ref))
                .is_some_and(Step::is_fresh)
        };
        spec.gang
            || job.terms.advisor.is_some()
            || room.is_some_and(|room| room.may_fit(spec))
            || !is_fresh()
    }
}
