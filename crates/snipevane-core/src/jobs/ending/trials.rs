//! Runs on trial: the next runs of tasks under which minions have crashed.
//!
//! A minion has runs on trial of one job only and gets nothing else until it has outlived their
//! start, so that a crash tells whether that job is the cause. It is sent their start orders only once it has outlived
//! the starts of other jobs and has just given a sign of life, so that a crash right after such an order is hardly a
//! coincidence. Crashes, and the attempt that follows them, are stored before the attempt is started, so that a later
//! term knows them.

use std::time::Duration;

use super::crash_evidence::{Begin, CrashReport};
use super::task_crashes::{TRIAL_PERIOD, TaskCrashes};
use super::trial::{Trial, TrialOutcome};
use super::unanswered_starts::MAX_CHANCE;
use crate::jobs::event::LossReason;
use crate::jobs::minions::minion::Reservation;
use crate::jobs::model::keys::{JobKey, MinionKey, RunKey, StepRef, TaskRef};
use crate::jobs::model::run::Run;
use crate::jobs::model::step::Step;
use crate::jobs::placing::tasks::first_task_ref;
use crate::jobs::scheduler::Scheduler;

/// Time for which the outcome of a start order may stay unknown to this term, for one that isn't on trial.
const RECORDED_TIME: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Returns whether a run keeps the runs of other jobs from its minion: it is on trial, and its minion hasn't outlived
    /// the start.
    fn reserves_minion(&self, run: &Run) -> bool {
        run.on_trial && !self.has_outlived(run, TRIAL_PERIOD)
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
        let tasks = step.into_iter().flat_map(Step::records);
        let unlisted = tasks.filter(|(_, task)| task.runs.is_empty() && !task.done);
        let on_trial =
            unlisted.filter_map(|(index, task)| Some((index, task.crashes.on_trial()?.clone())));
        on_trial.collect()
    }

    /// Settles the runs on trial that an earlier term placed and that no minion has listed, now that each minion
    /// of that term has reported, is gone, or has no lease any more.
    ///
    /// A minion that is only silent hasn't crashed. Its runs stay undecided until it is heard of, and their tasks
    /// start elsewhere.
    pub(in crate::jobs) fn settle_earlier_trials(&mut self, step_ref: StepRef) {
        let job = step_ref.job;
        for (index, trial) in self.earlier_trials(step_ref) {
            let task = TaskRef {
                index,
                ..first_task_ref(step_ref)
            };
            if !self.counts_vanished_attempts(job, task) {
                self.end_trial(job, task, trial.attempt);
                continue;
            }
            match self.outcome_of(&trial) {
                Some(TrialOutcome::Ended) => self.end_trial(job, task, trial.attempt),
                Some(TrialOutcome::Crashed) => {
                    let is_only_job = self.earlier_trials.is_of_only_job(&trial);
                    self.record_crash_of_earlier_term(job, task, &trial, is_only_job);
                }
                None => self.leave_undecided(job, task, trial.attempt),
            }
        }
    }

    /// Settles the undecided runs on trial whose outcome has become known.
    ///
    /// Their minions may have crashed after the leases were over, so the crashes are attributed to no job.
    pub(in crate::jobs) fn settle_undecided_trials(&mut self) {
        for (job, task, trial) in self.undecided_trials() {
            match self.outcome_of(&trial) {
                Some(TrialOutcome::Ended) => self.end_trial(job, task, trial.attempt),
                Some(TrialOutcome::Crashed) => {
                    self.record_crash_of_earlier_term(job, task, &trial, false);
                }
                None => {}
            }
        }
        let undecided = self.undecided_trials();
        self.undecided_jobs = undecided.into_iter().map(|(job, ..)| job).collect();
    }

    /// Returns the undecided runs on trial of tasks that aren't done.
    fn undecided_trials(&self) -> Vec<(JobKey, TaskRef, Trial)> {
        let jobs = self.undecided_jobs.iter();
        let jobs = jobs.filter_map(|&key| Some((key, self.jobs.get(key)?)));
        let trials = jobs.flat_map(|(key, job)| {
            let trials = job.undecided_trials();
            trials.map(move |(task, trial)| (key, task, trial.clone()))
        });
        trials.collect()
    }

    /// Remembers which runs of a job were on trial in earlier terms, by its stored progress.
    pub(in crate::jobs) fn find_earlier_trials(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        self.earlier_trials.add(key, job);
        if job.undecided_trials().next().is_some() {
            self.undecided_jobs.insert(key);
        }
    }

    /// Records that the outcome of a run on trial isn't known although its lease is over.
    fn leave_undecided(&mut self, key: JobKey, task: TaskRef, attempt: u32) {
        let task = self.jobs.get_mut(key).and_then(|job| job.task_mut(task));
        if task.is_some_and(|task| task.crashes.leave_undecided(attempt)) {
            self.undecided_jobs.insert(key);
            self.dirty.insert(key);
        }
    }

    /// Records the crash of a minion under a run on trial that an earlier term placed.
    ///
    /// The place of a suspect's run is stored right before its start order is sent, and its begin right after that is
    /// answered. So if the begin wasn't confirmed, and no other job had runs on trial there, the minion was most likely
    /// lost with the order.
    fn record_crash_of_earlier_term(
        &mut self,
        job: JobKey,
        task: TaskRef,
        trial: &Trial,
        is_only_job: bool,
    ) {
        let was_arranged = trial.unanswered || self.is_suspect_task(job, task);
        let begin = if trial.began {
            Begin::Confirmed(Duration::ZERO)
        } else if is_only_job && was_arranged {
            Begin::Unanswered
        } else {
            Begin::Unknown
        };
        let report = CrashReport {
            attempt: trial.attempt,
            attributed: trial.began && is_only_job,
            begin,
            unexplained: self.unexplained_crashes,
            is_unexplained: false,
        };
        self.record_task_crash(job, task, &report);
    }

    /// Returns whether an attempt of a task that no minion lists after a takeover may count as a crash.
    fn counts_vanished_attempts(&self, job: JobKey, task: TaskRef) -> bool {
        let task = self.jobs.get(job).and_then(|job| job.task(task));
        task.is_some_and(|task| task.crashes.counts_vanished_attempts())
    }

    /// Returns how a run on trial has ended that its minion doesn't list: by a crash if the minion has reported in
    /// another incarnation, or if no VM hosts it and it wasn't to leave. Returns `None` while the minion may only be
    /// silent.
    fn outcome_of(&self, trial: &Trial) -> Option<TrialOutcome> {
        let key = self.minion_by_id(&trial.minion);
        let minion = key.and_then(|key| self.minions.get(key));
        let ended_otherwise = match minion.filter(|minion| minion.fence_accepted) {
            Some(minion) => minion.incarnation() == Some(trial.incarnation),
            None if !self.unhosted_minions.contains(&trial.minion) => return None,
            None => key.is_some_and(|key| self.is_leaving(key)),
        };
        Some(if ended_otherwise {
            TrialOutcome::Ended
        } else {
            TrialOutcome::Crashed
        })
    }

    /// Puts a new run on trial if minions have crashed under its task, and reserves its minion for
    /// its job.
    pub(in crate::jobs) fn begin_trial(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (job, task, minion) = (run.job, run.task_ref, run.minion);
        if !self.is_suspect_task(job, task) {
            if self.is_worth_recording(run) {
                self.record_trial(key);
            }
            return;
        }
        if let Some(run) = self.runs.get_mut(key) {
            run.on_trial = true;
            run.may_repeat_start = false;
        }
        self.reserve_minion(minion, job, task);
        self.record_trial(key);
    }

    /// Reserves a minion for the job of a task that begins a trial there.
    fn reserve_minion(&mut self, key: MinionKey, job: JobKey, task: TaskRef) {
        let state = self.jobs.get(job).and_then(|job| job.task(task));
        let is_likely = state.is_some_and(|task| !task.crashes.is_unlikely_cause());
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        let earlier = minion.trial.filter(|trial| trial.job == job);
        minion.trial = Some(Reservation {
            job,
            of_likely_cause: is_likely || earlier.is_some_and(|trial| trial.of_likely_cause),
        });
    }

    /// Returns whether a later term is to know the outcome of a run that isn't on trial: its task was passed over at a
    /// crash. While many minions crash that is no evidence, and there would be many such runs.
    fn is_worth_recording(&self, run: &Run) -> bool {
        let job = self.jobs.get(run.job);
        let task = job.and_then(|job| job.task(run.task_ref));
        let was_passed_over = task.is_some_and(|task| task.crashes.was_passed_over());
        was_passed_over && self.chance_of_crash(run, RECORDED_TIME) <= MAX_CHANCE
    }

    /// Records a run whose outcome a later term is to know.
    pub(in crate::jobs) fn record_trial(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (job, task) = (run.job, run.task_ref);
        let Some(minion) = self.minions.get(run.minion) else {
            return;
        };
        let trial = Trial {
            attempt: run.attempt,
            minion: minion.entry.id.clone(),
            incarnation: minion.incarnation().unwrap_or_default(),
            began: self.loss_is_crash(run),
            unanswered: self.unanswered_start_of(run),
        };
        if let Some(task) = self.jobs.get_mut(job).and_then(|job| job.task_mut(task)) {
            task.crashes.begin_trial(trial);
        }
        self.crash_record_changed(job);
    }

    /// Returns whether the start order of a run may be sent now. One that wasn't answered is sent again only once its
    /// minion has listed its runs, as it may have restarted; one on trial as soon as a crash would tell something.
    pub(in crate::jobs) fn is_ready_to_start(&mut self, key: RunKey, now: Duration) -> bool {
        let Some(run) = self.runs.get(key) else {
            return false;
        };
        let Some(minion) = self.minions.get(run.minion) else {
            return false;
        };
        if run.unanswered_starts > 0 && minion.suspect {
            return false;
        }
        if !run.on_trial {
            return true;
        }
        let alive_at = minion.alive_at;
        match run.asked_at {
            Some(asked_at) => alive_at >= Some(asked_at),
            None if self.may_outlive_other_starts(run, now) => {
                let minion = run.minion;
                self.runs[key].asked_at = Some(now);
                self.ask_for_sign_of_life(minion, now);
                false
            }
            None => false,
        }
    }

    /// Returns whether the minion of a run has outlived the starts of other jobs if it gives a sign of life now.
    fn may_outlive_other_starts(&self, run: &Run, now: Duration) -> bool {
        let runs = self.runs_on(run.minion);
        let mut others = runs.filter(|other| other.job != run.job);
        others.all(|other| {
            let proven_at = other.began_at.map(|at| at + TRIAL_PERIOD);
            proven_at.is_some_and(|at| at <= now)
        })
    }

    /// Returns whether a start order on trial waits for a sign of life of a minion.
    pub(in crate::jobs) fn awaits_sign_of_life(&self, key: MinionKey) -> bool {
        let mut runs = self.runs_on(key);
        runs.any(|run| run.asked_at.is_some() && !run.transmissions.is_open())
    }

    /// Ends the runs on trial whose start order was never sent, as their minions are in doubt.
    pub(in crate::jobs) fn withdraw_trials_on_suspect_minions(&mut self) {
        let unsent = self.pending_orders.iter().copied().filter(|&key| {
            let run = self.runs.get(key);
            let run = run.filter(|run| run.on_trial && run.starts_sent == 0);
            let minion = run.and_then(|run| self.minions.get(run.minion));
            minion.is_some_and(|minion| minion.suspect)
        });
        let unsent: Vec<RunKey> = unsent.collect();
        for key in unsent {
            self.mark_run_lost(key, LossReason::NoSignOfLife);
        }
    }

    /// Records whether the loss of a run's minion is a crash under the run, if it is on trial, so that a later
    /// term knows.
    pub(in crate::jobs) fn update_trial(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (job, task, attempt) = (run.job, run.task_ref, run.attempt);
        let began = self.loss_is_crash(run);
        let unanswered = self.unanswered_start_of(run);
        let task = self.jobs.get_mut(job).and_then(|job| job.task_mut(task));
        if task.is_some_and(|task| task.crashes.update_trial(attempt, began, unanswered)) {
            self.dirty.insert(job);
            self.has_urgent_change = true;
        }
    }

    /// Returns whether a run is known to have begun on a minion that isn't due to leave.
    fn loss_is_crash(&self, run: &Run) -> bool {
        run.began_at.is_some() && !self.is_leaving(run.minion)
    }

    /// Returns whether a run's start order wasn't answered, unless the minion is due to leave.
    fn unanswered_start_of(&self, run: &Run) -> bool {
        run.unanswered && !self.is_leaving(run.minion)
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
            !runs.any(|run| self.reserves_minion(run))
        });
        let over: Vec<MinionKey> = over.map(|(key, _)| key).collect();
        for key in over {
            if let Some(minion) = self.minions.get_mut(key) {
                minion.trial = None;
            }
        }
    }

    /// Returns whether a minion has a fresh run on trial of another job than this one.
    pub(in crate::jobs) fn has_trial_of_other_job(&self, key: MinionKey, job: JobKey) -> bool {
        let mut runs = self.runs_on(key);
        runs.any(|run| run.on_trial && run.job != job && self.is_fresh(run))
    }

    /// Returns the number of fresh runs on a minion.
    pub(in crate::jobs) fn fresh_run_count(&self, key: MinionKey) -> usize {
        let runs = self.runs_on(key);
        runs.filter(|run| self.is_fresh(run)).count()
    }

    /// Returns whether a new run waits until the record of crashes under its job's tasks is stored, as it is a
    /// suspect's.
    pub(in crate::jobs) fn awaits_crash_record(&self, run: &Run) -> bool {
        let job = self.jobs.get(run.job);
        job.is_some_and(|job| {
            let crashes = job.task(run.task_ref).map(|task| &task.crashes);
            let is_suspect = run.on_trial || crashes.is_some_and(TaskCrashes::is_suspect);
            let must_be_stored = crashes.is_some_and(TaskCrashes::limits_starts);
            is_suspect && must_be_stored && job.has_unstored_crashes()
        })
    }
}
