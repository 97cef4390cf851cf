//! Speculative runs: second runs of tasks whose first run is a straggler.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

use super::candidates::Candidates;
use super::tasks::first_task_ref;
use crate::jobs::event::SchedulerEvent;
use crate::jobs::model::keys::{MinionKey, StepRef, TaskRef};
use crate::jobs::scheduler::Scheduler;

impl Scheduler {
    /// Places speculative runs for the candidates, where room is left.
    pub(in crate::jobs) fn place_speculative_runs(
        &mut self,
        schedulable: &FxHashMap<SmolStr, Vec<MinionKey>>,
        now: Duration,
    ) {
        let candidates: Vec<(StepRef, u32)> = self.speculation_candidates.drain().collect();
        for (step_ref, index) in candidates {
            self.place_speculative_run(step_ref, index, schedulable, now);
        }
    }

    fn place_speculative_run(
        &mut self,
        step_ref: StepRef,
        index: u32,
        schedulable: &FxHashMap<SmolStr, Vec<MinionKey>>,
        now: Duration,
    ) {
        let task = TaskRef {
            index,
            ..first_task_ref(step_ref)
        };
        let Some(job) = self.jobs.get(step_ref.job) else {
            return;
        };
        let has_single_run = job
            .task(task)
            .is_some_and(|task| !task.done && task.runs.len() == 1);
        let spec = job.spec.clone();
        let (Some(step), Some(minions)) = (
            spec.steps.get(step_ref.step as usize),
            schedulable.get(&spec.pool),
        ) else {
            return;
        };
        if !has_single_run
            || self.is_suspect_task(step_ref.job, task)
            || !self.may_place_more()
            || job.state.is_final()
            || !self.is_within_quota(spec.team.as_deref(), step, 1)
        {
            return;
        }
        let healthy = minions.iter().copied();
        let healthy = healthy.filter(|&key| !self.minions[key].on_probation);
        let healthy: Vec<MinionKey> = healthy.collect();
        let healthy = Candidates::shared(&healthy);
        if let Some(minion) = self.choose_minion(task, step_ref, step, healthy, now) {
            self.events.push(SchedulerEvent::SpeculativeRunPlaced {
                task: job.task_id(task),
                minion: self.minion_id(minion),
            });
            self.start_run(step_ref, task, step, minion, None, now);
        }
    }
}
