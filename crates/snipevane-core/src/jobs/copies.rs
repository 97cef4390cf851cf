//! Second runs of tasks whose first one is behind.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

use super::event::SchedulerEvent;
use super::job::TaskRef;
use super::minion::MinionKey;
use super::placing::first_task;
use super::queue::StepRef;
use super::scheduler::Scheduler;

impl Scheduler {
    /// Starts second runs of tasks whose first one is behind, where room is left.
    pub(super) fn place_copies(
        &mut self,
        usable: &FxHashMap<SmolStr, Vec<MinionKey>>,
        now: Duration,
    ) {
        let wanted: Vec<(StepRef, u32)> = self.copies_wanted.drain().collect();
        for (at, index) in wanted {
            self.place_copy(at, index, usable, now);
        }
    }

    fn place_copy(
        &mut self,
        at: StepRef,
        index: u32,
        usable: &FxHashMap<SmolStr, Vec<MinionKey>>,
        now: Duration,
    ) {
        let task = TaskRef {
            index,
            ..first_task(at)
        };
        let Some(job) = self.jobs.get(at.job) else {
            return;
        };
        let runs_alone = job
            .task(task)
            .is_some_and(|task| !task.done && task.runs.len() == 1);
        let spec = job.spec.clone();
        let (Some(step), Some(minions)) =
            (spec.steps.get(at.step as usize), usable.get(&spec.pool))
        else {
            return;
        };
        if !runs_alone || job.state.is_final() || !self.within_cap(spec.team.as_deref(), step, 1) {
            return;
        }
        let sound = minions.iter().copied();
        let sound = sound.filter(|&key| !self.minions[key].on_probation);
        let sound: Vec<MinionKey> = sound.collect();
        if let Some(minion) = self.choose(task, at, step, &sound) {
            self.events.push(SchedulerEvent::SpeculativeRunPlaced {
                task: job.task_id(task),
                minion: self.minion_id(minion),
            });
            self.start(at, task, step, minion, None, now);
        }
    }
}
