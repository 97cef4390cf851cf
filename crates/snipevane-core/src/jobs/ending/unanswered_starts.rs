//! Start orders that minions don't answer, and what their loss says of the tasks.
//!
//! An order may be lost with its minion because its task crashes it. It speaks against the task only if the minion had
//! been heard of right before and crashes of other causes are rare.

use std::time::Duration;

use super::crash_finding::StartDoubt;
use super::task_crashes::TaskCrashes;
use crate::jobs::model::keys::{MinionKey, RunKey};
use crate::jobs::model::run::{Run, RunPhase};
use crate::jobs::scheduler::Scheduler;

/// Longest time from the last sign of life of a minion until a call fails for which a start order speaks against its
/// task that isn't on trial.
const MAX_TIME_AT_ONCE: Duration = Duration::from_millis(300);

/// Largest probability that a crash of another cause meets a start order, for the order to speak against its task.
pub(super) const MAX_CHANCE: f64 = 0.03;

impl Scheduler {
    /// Records that a start order without an answer went to a minion that had been heard of right before, if it did.
    pub(in crate::jobs) fn watch_unanswered_start(&mut self, key: RunKey, now: Duration) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let doubt = self.doubt_of(run, now);
        let is_telling = |doubt| self.is_telling(run, doubt);
        let (on_trial, unanswered) = (run.on_trial, doubt.as_ref().is_some_and(is_telling));
        if let Some(run) = self.runs.get_mut(key) {
            run.unanswered = unanswered;
            run.doubt = doubt;
        }
        if on_trial {
            self.update_trial(key);
        } else if unanswered {
            self.record_trial(key);
        }
    }

    /// Records the start orders that a minion hasn't answered which doesn't answer its holds either.
    pub(in crate::jobs) fn watch_starts_on_silent_minion(&mut self, key: MinionKey) {
        let runs = self.run_keys_on(key);
        let unanswered = runs.filter(|&run| {
            let run = self.runs.get(run);
            run.is_some_and(|run| {
                let is_unanswered = run.unanswered_starts > 0 && run.began_at.is_none();
                is_unanswered && !self.has_recorded_trial(run)
            })
        });
        let unanswered: Vec<RunKey> = unanswered.collect();
        for run in unanswered {
            self.record_trial(run);
        }
    }

    /// Returns whether a later term is to know the outcome of a run.
    fn has_recorded_trial(&self, run: &Run) -> bool {
        let job = self.jobs.get(run.job);
        let task = job.and_then(|job| job.task(run.task_ref));
        let trial = task.and_then(|task| task.crashes.on_trial());
        trial.is_some_and(|trial| trial.attempt == run.attempt)
    }

    /// Returns what is known of a run's start order that wasn't answered until now and that its minion hasn't outlived;
    /// `None` if there is none.
    fn doubt_of(&self, run: &Run, now: Duration) -> Option<StartDoubt> {
        let alive_at = self.minions.get(run.minion)?.alive_at?;
        if run.began_at.is_some() || run.phase != RunPhase::Starting {
            return None;
        }
        let silent_for = now.saturating_sub(alive_at);
        let doubt = StartDoubt {
            silent_for,
            chance: self.chance_of_crash(run, silent_for),
            crashes: self.crash_rate.crashes(),
        };
        (alive_at <= run.last_start_at?).then_some(doubt)
    }

    /// Returns whether the loss of a run's minion would speak against its task, as the minion had been heard of right
    /// before its start order, and a crash of another cause hardly met that moment.
    fn is_telling(&self, run: &Run, doubt: &StartDoubt) -> bool {
        let is_watched = run.on_trial || doubt.silent_for <= MAX_TIME_AT_ONCE;
        is_watched && doubt.chance <= MAX_CHANCE
    }

    /// Records what the restart of a minion says of the start orders that it hasn't answered, and that were sent
    /// before its list was asked for. Returns their runs.
    pub(in crate::jobs) fn watch_outstanding_starts(
        &mut self,
        key: MinionKey,
        asked_at: Duration,
        now: Duration,
    ) -> Vec<RunKey> {
        let runs = self.run_keys_on(key);
        let outstanding = runs.filter(|&run| {
            self.runs.get(run).is_some_and(|run| {
                let is_earlier = run.first_sent_at.is_some_and(|at| at < asked_at);
                is_earlier && run.began_at.is_none() && run.transmissions.is_outstanding()
            })
        });
        let outstanding: Vec<RunKey> = outstanding.collect();
        for &run in &outstanding {
            self.watch_unanswered_start(run, now);
            if let Some(run) = self.runs.get_mut(run) {
                run.may_repeat_start = false;
            }
        }
        outstanding
    }

    /// Drops what was recorded of start orders without an answer that a minion has outlived, as it has listed its
    /// runs since: its list was asked for at `asked_at`.
    pub(in crate::jobs) fn drop_outlived_starts(&mut self, key: MinionKey, asked_at: Duration) {
        let runs = self.run_keys_on(key);
        let outlived = runs.filter(|&run| {
            self.runs.get(run).is_some_and(|run| {
                run.unanswered_starts > 0 && run.last_start_at.is_some_and(|at| at < asked_at)
            })
        });
        let outlived: Vec<RunKey> = outlived.collect();
        for run in outlived {
            self.start_outlived(run);
        }
    }

    /// Drops what was recorded of a start order without an answer, as its minion has outlived it.
    pub(in crate::jobs) fn start_outlived(&mut self, key: RunKey) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.unanswered = false;
        let (job, task, attempt) = (run.job, run.task_ref, run.attempt);
        if run.on_trial {
            self.update_trial(key);
        } else {
            self.end_trial(job, task, attempt);
        }
    }

    /// Takes back what was concluded from a start order that turns out to have begun its run.
    pub(in crate::jobs) fn take_back_lost_start(&mut self, key: RunKey) {
        self.start_outlived(key);
        self.correct_record(key, TaskCrashes::confirm_begin);
    }

    /// Takes back what was concluded from a start order that turns out never to have left.
    pub(in crate::jobs) fn forget_unsent_start(&mut self, key: RunKey) {
        self.correct_record(key, TaskCrashes::forget_unsent);
    }

    /// Corrects the record of crashes under a run's task; `correct` returns whether it changed for the attempt.
    fn correct_record(&mut self, key: RunKey, correct: fn(&mut TaskCrashes, u32) -> bool) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (job, task, attempt) = (run.job, run.task_ref, run.attempt);
        let task = self.jobs.get_mut(job).and_then(|job| job.task_mut(task));
        if task.is_some_and(|task| correct(&mut task.crashes, attempt)) {
            self.crash_record_changed(job);
        }
    }
}
