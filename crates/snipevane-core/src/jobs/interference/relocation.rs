//! Relocation of best-effort tasks that can't work beside a latency-sensitive one.

use std::time::Duration;

use crate::jobs::event::StopReason;
use crate::jobs::model::keys::{MinionKey, RunKey};
use crate::jobs::model::run::{Run, RunPhase};
use crate::jobs::model::spec::StepSpec;
use crate::jobs::placing::candidates::Candidates;
use crate::jobs::scheduler::Scheduler;

/// Time for which a run must have had less than half of its CPU before it is relocated. The load of a
/// latency-sensitive task changes within seconds, and a run that is relocated loses up to 1 s.
const MIN_THROTTLED_TIME: Duration = Duration::from_secs(4);

/// Time for which a task stays where it is after it was relocated, so that it isn't moved to and fro.
const TASK_PAUSE: Duration = Duration::from_secs(30);

/// Time between two searches for another minion for the runs of one minion. It bounds both the
/// relocations from a minion and the time that the searches take.
const MINION_PAUSE: Duration = Duration::from_secs(5);

/// Progress in percent from which a run without checkpoints isn't relocated, as that would lose its
/// work.
const MAX_LOST_PERCENT: u32 = 50;

/// Number of pauses from which those that are over are dropped.
const MAX_PAUSES: usize = 256;

impl Scheduler {
    /// Stops a best-effort run that has been throttled for a while beside a task that its image is kept
    /// apart from, if another minion without such a neighbour has room for it.
    pub(in crate::jobs) fn relocate_interfering_run(&mut self, key: MinionKey, now: Duration) {
        if self.interference.pairs_apart().is_empty() || !self.evacuations_confirmed {
            return;
        }
        let pause = self.interference.minion_pauses.get(&key);
        if pause.is_some_and(|&until| now < until) {
            return;
        }
        let runs = self.minions.get(key).map(|minion| &minion.runs);
        let mut runs = runs.into_iter().flatten().copied();
        let Some(run) = runs.find(|&run| self.may_relocate(run, now)) else {
            return;
        };
        self.interference.drop_ended_pauses(now);
        let until = now + MINION_PAUSE;
        self.interference.minion_pauses.insert(key, until);
        if !self.has_better_minion(run, now) {
            return;
        }
        let task = self.runs[run].task;
        let until = now + TASK_PAUSE;
        self.interference.task_pauses.insert(task, until);
        if self.step_of(run).is_some_and(|step| step.long_running) {
            self.evict_run(run, StopReason::Interference, now);
        } else {
            self.stop_run(run, StopReason::Interference);
        }
    }

    /// Returns whether a run may be relocated, if there is a better minion.
    fn may_relocate(&self, key: RunKey, now: Duration) -> bool {
        let (Some(run), Some(step)) = (self.runs.get(key), self.step_of(key)) else {
            return false;
        };
        let has_waited = run
            .throttled_since
            .is_some_and(|since| now >= since + MIN_THROTTLED_TIME);
        let pause = self.interference.task_pauses.get(&run.task);
        has_waited
            && step.best_effort
            && !step.gang
            && run.phase == RunPhase::Running
            && pause.is_none_or(|&until| now >= until)
            && keeps_most_work(run, step)
            && (!step.long_running || self.may_evict(key, now))
            && self.is_beside_bad_neighbour(key)
    }

    fn is_beside_bad_neighbour(&self, key: RunKey) -> bool {
        let Some(run) = self.runs.get(key) else {
            return false;
        };
        let (Some(job), Some(step)) = (self.jobs.get(run.job), self.step_of(key)) else {
            return false;
        };
        let images = self.bad_neighbours_of(&job.spec, step);
        self.has_bad_neighbour(run.minion, &images, step)
    }

    /// Returns whether another minion has room for a run and no neighbour that it is kept apart from.
    ///
    /// Steps that need a permit of the advisor stay where they are.
    fn has_better_minion(&self, key: RunKey, now: Duration) -> bool {
        let (Some(run), Some(step)) = (self.runs.get(key), self.step_of(key)) else {
            return false;
        };
        let Some(job) = self.jobs.get(run.job) else {
            return false;
        };
        let pool = &job.spec.pool;
        if self.advisor_settings(run.job).is_some() || !self.has_reliable_capacities(pool, now) {
            return false;
        }
        let images = self.bad_neighbours_of(&job.spec, step);
        let others = self.minions.iter().filter(|(other, minion)| {
            *other != run.minion
                && minion.entry.pool == *pool
                && minion.is_schedulable(now)
                && !self.is_evacuated(&minion.entry.zone)
                && !self.has_bad_neighbour(*other, &images, step)
        });
        let others: Vec<MinionKey> = others.map(|(other, _)| other).collect();
        let chosen = self.choose_minion(
            run.task_ref,
            run.step(),
            step,
            Candidates::shared(&others),
            now,
        );
        chosen.is_some()
    }
}

impl super::effects::Interference {
    fn drop_ended_pauses(&mut self, now: Duration) {
        if self.task_pauses.len() + self.minion_pauses.len() > MAX_PAUSES {
            self.task_pauses.retain(|_, until| now < *until);
            self.minion_pauses.retain(|_, until| now < *until);
        }
    }
}

/// Returns whether a run loses little work when it is stopped.
fn keeps_most_work(run: &Run, step: &StepSpec) -> bool {
    step.checkpoints || step.long_running || run.progress_percent < MAX_LOST_PERCENT
}
