//! Runs on trial: the next runs of tasks under which minions have crashed.
//!
//! A minion has runs on trial of one job only and gets nothing else until it has outlived their
//! start, so that a crash tells whether that job is the cause. Crashes, and the attempt that
//! follows them, are stored before the attempt is started, so that a later term knows them.

use std::time::Duration;

use super::crash_report::CrashReport;
use super::task_crashes::TaskCrashes;
use super::trial::Trial;
use crate::jobs::minions::minion::MinionKey;
use crate::jobs::model::job::{JobKey, TaskRef};
use crate::jobs::model::run::{Run, RunKey};
use crate::jobs::placing::tasks::first_task_ref;
use crate::jobs::queueing::queue::StepRef;
use crate::jobs::scheduler::Scheduler;

/// Inverse of the share of a pool's minions with runs on trial up to which a likely cause of crashes
/// gets another one.
const MAX_TRIAL_SHARE: usize = 4;

impl Scheduler {
    /// Returns whether minions have crashed under a run's task and the run is fresh.
    fn is_on_trial(&self, run: &Run) -> bool {
        self.is_suspect_task(run.job, run.task_ref) && self.is_fresh(run)
    }

    /// Ends the trial of an attempt that has ended in another way than by a crash.
    pub(in crate::jobs) fn end_trial(&mut self, key: JobKey, task: TaskRef, attempt: u32) {
        let task = self.jobs.get_mut(key).and_then(|job| job.task_mut(task));
        if task.is_some_and(|task| task.crashes.end_trial(attempt)) {
            self.dirty.insert(key);
        }
    }

    /// Returns whether an earlier term placed a run on trial of a step's tasks whose outcome isn't
    /// known.
    pub(in crate::jobs) fn has_earlier_trials(&self, step_ref: StepRef) -> bool {
        !self.earlier_trials(step_ref).is_empty()
    }

    /// Returns the tasks of a step, by index, whose run on trial was placed by an earlier term and is
    /// listed by no minion, with these runs.
    fn earlier_trials(&self, step_ref: StepRef) -> Vec<(u32, Trial)> {
        let job = self.jobs.get(step_ref.job).filter(|job| job.adopted);
        let step = job.and_then(|job| job.step(first_task_ref(step_ref)));
        let tasks = step.into_iter().flat_map(|step| &step.tasks).enumerate();
        let unlisted = tasks.filter(|(_, task)| task.runs.is_empty() && !task.done);
        let on_trial = unlisted
            .filter_map(|(index, task)| Some((index as u32, task.crashes.on_trial()?.clone())));
        on_trial.collect()
    }

    /// Settles the runs on trial that an earlier term placed and that no minion has listed, now that
    /// all minions of that term have reported or are gone: their minions have crashed, or the runs
    /// never started. Only a run whose begin was confirmed counts as a crash.
    pub(in crate::jobs) fn settle_earlier_trials(&mut self, step_ref: StepRef) {
        for (index, trial) in self.earlier_trials(step_ref) {
            let task = TaskRef {
                index,
                ..first_task_ref(step_ref)
            };
            if self.has_outlived(&trial) || !self.counts_vanished_attempts(step_ref.job, task) {
                self.end_trial(step_ref.job, task, trial.attempt);
            } else {
                let report = CrashReport {
                    attempt: trial.attempt,
                    attributed: trial.began,
                    work: trial.began.then_some(Duration::ZERO),
                    unexplained: self.unexplained_crashes,
                    is_unexplained: false,
                };
                self.record_task_crash(step_ref.job, task, &report);
            }
        }
    }

    /// Returns whether an attempt of a task that no minion lists after a takeover counts as a crash.
    fn counts_vanished_attempts(&self, job: JobKey, task: TaskRef) -> bool {
        let task = self.jobs.get(job).and_then(|job| job.task(task));
        task.is_some_and(|task| task.crashes.counts_vanished_attempts())
    }

    /// Returns whether the minion of a run on trial has reported in the incarnation on which the run
    /// was placed.
    fn has_outlived(&self, trial: &Trial) -> bool {
        let key = self.minion_by_id(&trial.minion);
        let minion = key.and_then(|key| self.minions.get(key));
        minion.is_some_and(|minion| {
            minion.fence_accepted && minion.incarnation() == Some(trial.incarnation)
        })
    }

    /// Puts a new run on trial if minions have crashed under its task, and reserves its minion for
    /// its job.
    pub(in crate::jobs) fn begin_trial(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (job, task, attempt, minion) = (run.job, run.task_ref, run.attempt, run.minion);
        let began = self.loss_is_crash(run);
        if !self.is_suspect_task(job, task) {
            return;
        }
        let Some(minion) = self.minions.get_mut(minion) else {
            return;
        };
        minion.trial = Some(job);
        let trial = Trial {
            attempt,
            minion: minion.entry.id.clone(),
            incarnation: minion.incarnation().unwrap_or_default(),
            began,
        };
        if let Some(task) = self.jobs.get_mut(job).and_then(|job| job.task_mut(task)) {
            task.crashes.begin_trial(trial);
        }
        self.crash_record_changed(job);
    }

    /// Records whether the loss of a run's minion is a crash under the run, if it is on trial, so that a later
    /// term knows.
    pub(in crate::jobs) fn update_trial(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (job, task, attempt) = (run.job, run.task_ref, run.attempt);
        let began = self.loss_is_crash(run);
        let task = self.jobs.get_mut(job).and_then(|job| job.task_mut(task));
        if task.is_some_and(|task| task.crashes.set_trial_began(attempt, began)) {
            self.dirty.insert(job);
            self.has_urgent_change = true;
        }
    }

    /// Returns whether a run is known to have begun on a minion that isn't due to leave.
    fn loss_is_crash(&self, run: &Run) -> bool {
        run.began_at.is_some() && !self.is_leaving(run.minion)
    }

    /// Updates the runs on trial on the minions that are due to leave.
    pub(in crate::jobs) fn update_trials_on_leaving_minions(&mut self) {
        let leaving = self.minions.keys().filter(|&key| self.is_leaving(key));
        let runs = leaving.flat_map(|key| &self.minions[key].runs);
        let runs: Vec<RunKey> = runs.copied().collect();
        for run in runs {
            self.update_trial(run);
        }
    }

    /// Ends the trials on the minions that have outlived them.
    pub(in crate::jobs) fn end_trials(&mut self) {
        let reserved = self.minions.iter();
        let reserved = reserved.filter(|(_, minion)| minion.trial.is_some());
        let over = reserved.filter(|(_, minion)| {
            let mut runs = minion.runs.iter().filter_map(|&run| self.runs.get(run));
            !runs.any(|run| self.is_on_trial(run))
        });
        let over: Vec<MinionKey> = over.map(|(key, _)| key).collect();
        for key in over {
            if let Some(minion) = self.minions.get_mut(key) {
                minion.trial = None;
            }
        }
    }

    /// Returns whether another of these minions may get a run of a task with these crashes, on trial if
    /// there are any.
    pub(in crate::jobs) fn may_begin_trial(
        &self,
        crashes: &TaskCrashes,
        minions: &[MinionKey],
    ) -> bool {
        if crashes.is_unlikely_cause() {
            return true;
        }
        let on_trial = minions.iter().filter(|&&key| {
            let minion = self.minions.get(key);
            minion.is_some_and(|minion| minion.trial.is_some())
        });
        on_trial.count() * MAX_TRIAL_SHARE < minions.len()
    }

    /// Returns the number of fresh runs on a minion.
    pub(in crate::jobs) fn fresh_run_count(&self, key: MinionKey) -> usize {
        let runs = self.minions.get(key).map(|minion| &minion.runs);
        let runs = runs.into_iter().flatten();
        let runs = runs.filter_map(|&run| self.runs.get(run));
        runs.filter(|run| self.is_fresh(run)).count()
    }

    /// Returns whether a new run waits until the record of crashes under its job's tasks is stored.
    pub(in crate::jobs) fn awaits_crash_record(&self, run: &Run) -> bool {
        let job = self.jobs.get(run.job);
        job.is_some_and(|job| {
            let task = job.task(run.task_ref);
            let crashes = task.map(|task| &task.crashes);
            let on_trial = crashes.and_then(TaskCrashes::on_trial);
            let is_on_trial = on_trial.is_some_and(|trial| trial.attempt == run.attempt);
            let must_be_stored = crashes.is_some_and(TaskCrashes::limits_starts);
            is_on_trial && must_be_stored && job.has_unstored_crashes()
        })
    }
}
