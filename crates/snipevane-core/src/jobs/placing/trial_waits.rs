//! Suspects that wait for their trial, and the minions that trials may take.
//!
//! A trial keeps its minion from other jobs, so only some minions of a pool have one while other tasks wait for room.
//! Suspects are placed in the order of their rank, as all tasks, until one has waited for long: then it comes first.
//! Minions that are idle once all other tasks are placed are open to all trials.

use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};
use smol_str::SmolStr;

use super::candidates::Candidates;
use super::tasks::first_task_ref;
use crate::jobs::model::keys::{MinionKey, StepRef, TaskRef};
use crate::jobs::model::task::Task;
use crate::jobs::scheduler::Scheduler;

/// Inverse of the share of a pool's minions up to which trials take minions that other tasks may want.
const MAX_TRIAL_SHARE: usize = 3;

/// Inverse of the share of a pool's minions with trials of likely causes up to which another one begins.
const MAX_LIKELY_SHARE: usize = 4;

/// Time after which a suspect has waited for long. A task waits for at most 9 s while there is room; the rest of it is
/// left for those that wait for long at the same time, as a minion has one trial at a time.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(5);

/// How a task may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::jobs) enum Admission {
    /// Beside the runs of other jobs.
    Beside,
    /// On trial.
    Trial,
    /// On trial, but not now on a minion that has none.
    Wait,
}

impl Scheduler {
    /// Returns how a task may start on these minions.
    pub(in crate::jobs) fn admission_of(
        &self,
        task: &Task,
        candidates: Candidates<'_>,
        now: Duration,
    ) -> Admission {
        if !task.crashes.is_suspect() || starts_beside_others(task, now) {
            return Admission::Beside;
        }
        if candidates.are_spare || self.has_room_for_trial(task, candidates.minions, now) {
            Admission::Trial
        } else {
            Admission::Wait
        }
    }

    /// Returns whether a trial of a task may take one of a pool's minions that other tasks may want.
    fn has_room_for_trial(&self, task: &Task, minions: &[MinionKey], now: Duration) -> bool {
        if has_waited_long(task, now) {
            return true;
        }
        let trials = minions.iter();
        let trials = trials.filter_map(|&key| self.minions.get(key)?.trial);
        let reserved = trials.clone().count();
        if reserved > 0 && reserved * MAX_TRIAL_SHARE + 1 >= minions.len() {
            return false;
        }
        let likely = trials.filter(|trial| trial.of_likely_cause).count();
        task.crashes.is_unlikely_cause() || likely * MAX_LIKELY_SHARE < minions.len()
    }

    /// Notes that a suspect waits for its trial.
    pub(in crate::jobs) fn wait_for_trial(
        &mut self,
        step_ref: StepRef,
        task: TaskRef,
        now: Duration,
    ) {
        let job = self.jobs.get_mut(step_ref.job);
        if let Some(task) = job.and_then(|job| job.task_mut(task)) {
            task.trial_wanted_since.get_or_insert(now);
        }
        self.trial_waits.insert(step_ref);
    }

    /// Returns the steps with suspects that have waited for long for their trial, with their pools.
    pub(in crate::jobs) fn long_trial_waits(&mut self, now: Duration) -> Vec<(SmolStr, StepRef)> {
        let waits = self.ordered_trial_waits().into_iter();
        let long = waits.take_while(|&(since, _)| since + MAX_TRIAL_WAIT <= now);
        let long =
            long.filter_map(|(_, step)| Some((self.jobs.get(step.job)?.spec.pool.clone(), step)));
        long.collect()
    }

    /// Places the suspects that have to wait on the minions that are idle though all other tasks are placed.
    pub(in crate::jobs) fn place_trials_on_spare_minions(
        &mut self,
        schedulable: &FxHashMap<SmolStr, Vec<MinionKey>>,
        unreported_pools: &FxHashSet<SmolStr>,
        now: Duration,
    ) {
        for (_, step_ref) in self.ordered_trial_waits() {
            if !self.may_place_more() {
                return;
            }
            let Some(job) = self.jobs.get(step_ref.job) else {
                continue;
            };
            let pool = &job.spec.pool;
            let has_unreported_runs = unreported_pools.contains(pool);
            let minions = schedulable.get(pool).into_iter().flatten().copied();
            let spare = minions.filter(|&key| self.minions[key].runs.is_empty());
            let spare: Vec<MinionKey> = spare.collect();
            if !spare.is_empty() {
                let spare = Candidates::spare(&spare);
                self.place_step(step_ref, spare, has_unreported_runs, now);
            }
        }
    }

    /// Returns the steps with suspects that wait for their trial, and since when, the longest wait first; forgets those
    /// that don't wait any more.
    fn ordered_trial_waits(&mut self) -> Vec<(Duration, StepRef)> {
        let steps = std::mem::take(&mut self.trial_waits).into_iter();
        let waits = steps.filter_map(|step| Some((self.trial_wanted_since(step)?, step)));
        let mut waits: Vec<(Duration, StepRef)> = waits.collect();
        waits.sort_unstable();
        self.trial_waits = waits.iter().map(|&(_, step)| step).collect();
        waits
    }

    /// Returns the time since which a suspect of a step waits for its trial, if one does.
    fn trial_wanted_since(&self, step_ref: StepRef) -> Option<Duration> {
        let job = self
            .jobs
            .get(step_ref.job)
            .filter(|job| !job.state.is_final())?;
        let tasks = job.step(first_task_ref(step_ref))?.records();
        let waits = tasks.filter_map(|(_, task)| waits_for_trial_since(task));
        waits.min()
    }
}

/// Returns the time since which a suspect waits for its trial, if it does.
fn waits_for_trial_since(task: &Task) -> Option<Duration> {
    task.trial_wanted_since.filter(|_| task.is_waiting())
}

/// Returns whether a suspect has waited for long for its trial.
fn has_waited_long(task: &Task, now: Duration) -> bool {
    waits_for_trial_since(task).is_some_and(|since| since + MAX_TRIAL_WAIT <= now)
}

/// Returns whether a suspect starts without a trial: it has waited for long, and one minion at most has crashed with
/// it. Two more crashes on trial make it the cause, so it is still given up before its third start after three crashes.
pub(in crate::jobs) fn starts_beside_others(task: &Task, now: Duration) -> bool {
    task.crashes.has_met_one_crash() && has_waited_long(task, now)
}
