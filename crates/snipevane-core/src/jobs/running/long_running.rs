//! Long-running tasks: how many of a step are ready, and which may be evicted.

use std::time::Duration;

use crate::jobs::event::{SchedulerEvent, StopReason};
use crate::jobs::minions::minion::Minion;
use crate::jobs::model::keys::{RunKey, StepRef, TaskRef};
use crate::jobs::model::progress::JobState;
use crate::jobs::model::run::{Run, RunPhase};
use crate::jobs::model::spec::StepSpec;
use crate::jobs::placing::tasks::has_label;
use crate::jobs::scheduler::Scheduler;

/// Reported progress at which a long-running task is ready to serve its users, in percent.
pub(in crate::jobs) const READY_PERCENT: u32 = 100;

/// Time by which a list of runs may arrive later than the end of the wait of its hold.
const HOLD_GRACE: Duration = Duration::from_millis(500);

/// Longest time from the takeover of a term until the last stop order of the earlier one reaches its minion.
const STOP_TRANSIT: Duration = Duration::from_millis(300);

/// Number of tasks of a step that may be unavailable at the same time for planned work on VMs, if
/// the step names no number.
const DEFAULT_MAX_UNAVAILABLE: u32 = 1;

/// Availability of a step's long-running tasks, apart from one that is to be stopped.
#[derive(Clone, Copy, Debug)]
struct StepAvailability {
    /// Number of the other tasks that aren't ready.
    unavailable: u32,
    /// Number of tasks of the step that may be unavailable at the same time.
    max_unavailable: u32,
}

impl StepAvailability {
    /// Returns whether one more task may become unavailable.
    fn allows_stop(self) -> bool {
        self.unavailable < self.max_unavailable
    }
}

impl Scheduler {
    /// Returns the step that a run belongs to.
    pub(in crate::jobs) fn step_of(&self, run: RunKey) -> Option<&StepSpec> {
        let run = self.runs.get(run)?;
        let job = self.jobs.get(run.job)?;
        job.spec.steps.get(run.task_ref.step as usize)
    }

    /// Relies on no run list from before the end of the runs that an earlier term, which this one took over at
    /// `taken_over_at`, has ordered to stop. Until then, long-running tasks that are being stopped look available.
    pub fn distrust_lists_before_stops(&mut self, taken_over_at: Duration) {
        self.earlier_stops_until = taken_over_at + self.settings.stop_timeout + STOP_TRANSIT;
    }

    /// Stops a run of a long-running task, so that the task starts on another minion, unless too many other
    /// tasks of its step are unavailable.
    pub(in crate::jobs) fn evict_run(&mut self, key: RunKey, reason: StopReason, now: Duration) {
        if self.may_evict(key, now) {
            self.stop_run(key, reason);
        }
    }

    /// Returns whether a run of a long-running task may be evicted, as few enough other tasks of its step
    /// are unavailable.
    pub(in crate::jobs) fn may_evict(&self, key: RunKey, now: Duration) -> bool {
        let Some(run) = self.runs.get(key) else {
            return false;
        };
        if !matches!(run.phase, RunPhase::Running | RunPhase::Starting) {
            return false;
        }
        self.availability_beside(run, now).allows_stop()
    }

    /// Reports the stop order of a long-running task that was ready, before it is first sent.
    pub(in crate::jobs) fn report_long_running_stop(&mut self, key: RunKey, now: Duration) {
        let is_long_running = self.step_of(key).is_some_and(|step| step.long_running);
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let reason = run.unsent_stop.take();
        let was_ready = run.progress_percent >= READY_PERCENT;
        let Some(reason) = reason.filter(|_| is_long_running && was_ready) else {
            return;
        };
        let run = &self.runs[key];
        let job = self.jobs.get(run.job);
        let is_cancelled = job.is_some_and(|job| job.state == JobState::Cancelled);
        let availability = self.availability_beside(run, now);
        self.events.push(SchedulerEvent::LongRunningTaskStopped {
            task: run.task,
            attempt: run.attempt,
            minion: self.minion_id(run.minion),
            reason,
            unavailable: availability.unavailable,
            max_unavailable: availability.max_unavailable,
            over_budget: !is_cancelled && !availability.allows_stop(),
        });
    }

    /// Returns the availability of the other tasks of a run's step.
    fn availability_beside(&self, run: &Run, now: Duration) -> StepAvailability {
        let job = self.jobs.get(run.job);
        let step = job.and_then(|job| job.spec.steps.get(run.task_ref.step as usize));
        let max_unavailable = step
            .and_then(|step| step.max_unavailable)
            .unwrap_or(DEFAULT_MAX_UNAVAILABLE);
        StepAvailability {
            unavailable: self.other_unavailable_tasks(run.step(), run.task_ref.index, now),
            max_unavailable: max_unavailable.max(1),
        }
    }

    /// Returns whether other minions of the pool have room for the task of a run, beside the tasks of its
    /// step that wait already or are being stopped. Otherwise the task would wait although its own minion could
    /// go on serving.
    pub(in crate::jobs) fn has_room_elsewhere(&self, key: RunKey, now: Duration) -> bool {
        let (Some(run), Some(step)) = (self.runs.get(key), self.step_of(key)) else {
            return false;
        };
        let at = run.step();
        let stopping = self.runs.values().filter(|other| {
            other.step() == at
                && matches!(other.phase, RunPhase::Stopping | RunPhase::StopConfirmed)
        });
        let needed = 1 + self.waiting_count(at) + stopping.count() as u32;
        let pool = self.minions.get(run.minion).map(|own| &own.entry.pool);
        let others = self.minions.iter().filter(|(other, minion)| {
            *other != run.minion
                && Some(&minion.entry.pool) == pool
                && minion.is_schedulable(now)
                && !self.is_evacuated(&minion.entry.zone)
                && has_label(minion, step)
        });
        let mut room = 0;
        for (other, minion) in others {
            let present = self.step_tasks_on_minion(at, other);
            let limit = step.max_per_minion.unwrap_or(u32::MAX);
            let limit = limit.saturating_sub(present).min(needed - room);
            room += fitting_tasks(step, minion, limit);
            if room >= needed {
                return true;
            }
        }
        false
    }

    /// Returns the number of other tasks of a step that aren't ready.
    fn other_unavailable_tasks(&self, at: StepRef, index: u32, now: Duration) -> u32 {
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
        let others = step.records().filter(|(other, _)| *other != index);
        let ready = others.filter(|(_, task)| {
            let mut runs = task.runs.iter().filter_map(|&run| self.runs.get(run));
            runs.any(|run| self.is_ready(run, now))
        });
        step.len() - 1 - ready.count() as u32
    }

    /// Returns whether a run of a long-running task is ready, according to a recent list of its
    /// minion's runs.
    fn is_ready(&self, run: &Run, now: Duration) -> bool {
        let Some(minion) = self.minions.get(run.minion) else {
            return false;
        };
        let max_age = self.settings.hold_timeout + HOLD_GRACE;
        let oldest = self.earlier_stops_until;
        let heard = minion
            .last_contact
            .is_some_and(|at| at >= oldest && now < at + max_age);
        let ready = run.phase == RunPhase::Running && run.progress_percent >= READY_PERCENT;
        ready && heard && !minion.suspect
    }
}

/// Returns how many tasks of a step fit in a minion's free capacity, `limit` at most.
fn fitting_tasks(step: &StepSpec, minion: &Minion, limit: u32) -> u32 {
    let size = step.allocated_size();
    let mut free = minion.free_capacity();
    let mut count = 0;
    while count < limit && size.fits_in(&free) {
        free = free.minus(&size);
        count += 1;
    }
    count
}
