//! Lasting tasks: how many of a step are at work, and which may be moved.

use std::time::Duration;

use super::job::TaskRef;
use super::note::StopReason;
use super::queue::StepRef;
use super::run::{Run, RunKey, RunPhase};
use super::scheduler::Scheduler;
use super::spec::StepSpec;

/// Share of the work at which a lasting task serves its users, in percent.
pub(super) const AT_WORK_PERCENT: u32 = 100;

/// Time that a list of runs may come later than the wait for an end.
const HOLD_DELAY: Duration = Duration::from_millis(500);

/// Tasks of a step that planned work may have away if the step names no number.
const MAY_BE_AWAY: u32 = 1;

impl Scheduler {
    /// Returns the step that a run belongs to.
    pub(super) fn step_of(&self, run: RunKey) -> Option<&StepSpec> {
        let run = self.runs.get(run)?;
        let job = self.jobs.get(run.job)?;
        job.spec.steps.get(run.at.step as usize)
    }

    /// Stops a run of a lasting task, so that it starts elsewhere, if its step may miss it now.
    pub(super) fn move_away(&mut self, key: RunKey, now: Duration) -> bool {
        let Some(run) = self.runs.get(key) else {
            return false;
        };
        if !matches!(run.phase, RunPhase::Live | RunPhase::Ordered) {
            return false;
        }
        let at = run.step();
        let most = self
            .step_of(key)
            .and_then(|step| step.max_unavailable)
            .unwrap_or(MAY_BE_AWAY);
        let away = self.others_away(at, run.at.index, now);
        let movable = away < most.max(1);
        if movable {
            self.stop_run(key, StopReason::Moved);
        }
        movable
    }

    /// Returns the number of other tasks of a step that aren't at work.
    fn others_away(&self, at: StepRef, index: u32, now: Duration) -> u32 {
        let Some(job) = self.jobs.get(at.job) else {
            return 0;
        };
        let first = TaskRef {
            occurrence: at.occurrence,
            step: at.step,
            index: 0,
        };
        let Some(step) = job.step(first) else {
            return 0;
        };
        let others = step
            .tasks
            .iter()
            .enumerate()
            .filter(|(other, _)| *other as u32 != index);
        let away = others.filter(|(_, task)| {
            let mut runs = task.runs.iter().filter_map(|&run| self.runs.get(run));
            !runs.any(|run| self.is_at_work(run, now))
        });
        away.count() as u32
    }

    /// Returns whether a lasting task is at work, as far as is known.
    fn is_at_work(&self, run: &Run, now: Duration) -> bool {
        let Some(minion) = self.minions.get(run.minion) else {
            return false;
        };
        let bound = self.settings.hold_timeout + HOLD_DELAY;
        let heard = minion.last_contact.is_some_and(|at| now < at + bound);
        let working = run.phase == RunPhase::Live && run.percent >= AT_WORK_PERCENT;
        working && heard && !minion.suspect
    }
}
