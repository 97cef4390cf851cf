//! Ends of runs and their consequences for tasks, jobs and minions.

use std::time::Duration;

use crate::jobs::event::{LossReason, SchedulerEvent, StopReason};
use crate::jobs::minions::minion::Minion;
use crate::jobs::model::keys::{JobKey, MinionKey, RunKey, StepRef, TaskRef};
use crate::jobs::model::progress::JobState;
use crate::jobs::model::run::{EndedRun, Run, RunEnd};
use crate::jobs::scheduler::Scheduler;

/// Maximum number of times that the back-off of a failing minion is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Time after its start within which the end of a long-running task is early.
const EARLY_END: Duration = Duration::from_secs(2);

/// Maximum number of times that the delay before a long-running task starts again is doubled.
const MAX_RESTART_DOUBLINGS: u32 = 10;

/// Longest delay before a long-running task starts again.
const MAX_RESTART_DELAY: Duration = Duration::from_secs(4);

impl Scheduler {
    /// Processes an end from a minion's run list.
    pub(in crate::jobs) fn run_ended(
        &mut self,
        minion: MinionKey,
        ended: &EndedRun,
        now: Duration,
        unix_ms: u64,
    ) {
        let run = self.find_run(minion, ended.task, ended.attempt);
        let known = run.and_then(|run| self.runs.get(run));
        let worked = known.map_or(Duration::ZERO, |run| now.saturating_sub(run.since));
        // A run that isn't known any more, as it was given up, and then lapsed or was stopped, has ended as ordered.
        let ends_by_itself = matches!(ended.end, RunEnd::Done | RunEnd::Failed);
        let is_ordered = known.map_or(!ends_by_itself, Run::is_ordered_to_stop);
        if let Some(run) = run {
            if ended.end == RunEnd::Done {
                self.record_duration(run, now);
                self.end_probation_if_on_time(run, now);
            }
            self.release_run(run);
        }
        let found = self.find_task(ended.task);
        let failed_before = found.is_some_and(|(key, task_ref)| self.has_failed(key, task_ref));
        let step = found.map(|(job, task_ref)| StepRef {
            job,
            occurrence: task_ref.occurrence,
            step: task_ref.step,
        });
        self.update_minion_failures(minion, ended.end, step, failed_before, now);
        let Some((key, task_ref)) = found else {
            return;
        };
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        // The step may not have been opened in this term.
        if !job.has_task(task_ref) || job.is_task_done(task_ref) || !job.open_step(task_ref) {
            return;
        }
        job.update_step(task_ref, |step| {
            step.gang_attempt = step.gang_attempt.max(ended.attempt);
        });
        job.record_checkpoint(task_ref, &ended.checkpoint);
        let Some(task) = job.task_mut(task_ref) else {
            return;
        };
        task.last_attempt = task.last_attempt.max(ended.attempt);
        if task.crashes.end_trial(ended.attempt) {
            self.dirty.insert(key);
        }
        let is_long_running = self.is_long_running(key, task_ref);
        match ended.end {
            _ if is_long_running && is_ordered => {}
            _ if is_long_running => {
                self.long_running_task_ended(key, task_ref, ended, minion, worked, now);
            }
            RunEnd::Done => self.task_done(key, task_ref, unix_ms),
            RunEnd::Failed => self.task_failed(key, task_ref, ended.attempt, minion, now, unix_ms),
            RunEnd::Stopped
            | RunEnd::LeaseExpired
            | RunEnd::GangMemberEnded
            | RunEnd::GangIncomplete => {}
        }
        self.requeue(key, task_ref);
    }

    /// Records the duration of a completed run for later estimates.
    ///
    /// Runs that resumed from a checkpoint, ran on a minion on probation, or belong to a
    /// long-running task or a gang don't count.
    fn record_duration(&mut self, key: RunKey, now: Duration) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let Some(spec) = self.jobs.get(run.job).map(|job| job.spec.clone()) else {
            return;
        };
        let Some(step) = spec.steps.get(run.task_ref.step as usize) else {
            return;
        };
        let on_healthy_minion = self
            .minions
            .get(run.minion)
            .is_some_and(|minion| !minion.on_probation && run.since >= minion.cold_until);
        if run.checkpoint.is_empty() && on_healthy_minion && !step.long_running && !step.gang {
            let duration = now.saturating_sub(run.since);
            let image = spec.image_of(step);
            self.durations.learn(image, step.estimate(), duration);
        }
    }

    /// Releases a run that counts as lost, as no run list reports its end, and requeues its task.
    pub(in crate::jobs) fn mark_run_lost(&mut self, key: RunKey, reason: LossReason) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (job, task_ref, attempt) = (run.job, run.task_ref, run.attempt);
        let minion = self.minions.get(run.minion);
        self.events.push(SchedulerEvent::RunLost {
            task: run.task,
            attempt: run.attempt,
            minion: self.minion_id(run.minion),
            reason,
            began: run.began_at.is_some(),
            sent_to: run.sent_to,
            incarnation: minion.and_then(Minion::incarnation),
        });
        self.release_run(key);
        self.end_trial(job, task_ref, attempt);
        self.requeue(job, task_ref);
    }

    /// Allocates the resources of a run on its minion and counts them towards its team's usage.
    pub(in crate::jobs) fn allocate(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        if let Some(minion) = self.minions.get_mut(run.minion) {
            minion.allocated = minion.allocated.plus(&run.allocated);
            minion.runs.insert(key);
        }
        let team = self.jobs.get(run.job).and_then(|job| job.spec.team.clone());
        if let Some(team) = team {
            let usage = self.usage.entry(team).or_default();
            *usage = usage.plus(&run.size);
        }
    }

    /// Removes a run and releases its resources.
    fn release_run(&mut self, key: RunKey) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        self.pending_orders.remove(&key);
        if let Some(minion) = self.minions.get_mut(run.minion) {
            minion.allocated = minion.allocated.minus(&run.allocated);
            minion.runs.remove(&key);
            self.late_starts.remember(&run, &minion.entry.id);
        }
        let Some(job) = self.jobs.get_mut(run.job) else {
            return;
        };
        if let Some(team) = &job.spec.team
            && let Some(usage) = self.usage.get_mut(team)
        {
            *usage = usage.minus(&run.size);
        }
        job.remove_run(run.task_ref, key);
        self.drop_ended_job(run.job);
    }

    /// Puts the step of a task back into the queue of its pool if the step has waiting tasks.
    fn requeue(&mut self, key: JobKey, task_ref: TaskRef) {
        self.enqueue_step(key, task_ref);
    }

    /// Marks a task as completed and stops its other runs.
    ///
    /// If one member of a gang completes, the whole gang counts as completed; the runs of its other
    /// members aren't stopped as redundant.
    fn task_done(&mut self, key: JobKey, task_ref: TaskRef, unix_ms: u64) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let gang = job.spec.steps[task_ref.step as usize].gang;
        let completion = job.complete_task(task_ref);
        self.dirty.insert(key);
        if !gang {
            for run in completion.runs {
                self.stop_run(run, StopReason::Redundant);
            }
        }
        if completion.step_done {
            self.enqueue_opened_steps_in(key, task_ref.occurrence);
            self.open_steps_of(key);
            self.complete_if_done(key, unix_ms);
        }
    }

    /// Returns whether a task is long-running.
    fn is_long_running(&self, key: JobKey, task_ref: TaskRef) -> bool {
        let job = self.jobs.get(key);
        let step = job.and_then(|job| job.spec.steps.get(task_ref.step as usize));
        step.is_some_and(|step| step.long_running)
    }

    /// Lets a long-running task start again, however it has ended by itself.
    ///
    /// A task that ends soon after each start, after it has `worked` only briefly, waits longer each time.
    fn long_running_task_ended(
        &mut self,
        key: JobKey,
        task_ref: TaskRef,
        ended: &EndedRun,
        minion: MinionKey,
        worked: Duration,
        now: Duration,
    ) {
        let first_delay = self.settings.task_retry_delay;
        let failed_on = (ended.end == RunEnd::Failed).then(|| self.minion_id(minion));
        if failed_on.is_some() {
            self.report_failure(key, task_ref, ended.attempt, minion);
        }
        let task = self
            .jobs
            .get_mut(key)
            .and_then(|job| job.task_mut(task_ref));
        let Some(task) = task else {
            return;
        };
        task.early_ends = if worked < EARLY_END {
            task.early_ends.saturating_add(1)
        } else {
            0
        };
        let doublings = task.early_ends.saturating_sub(1).min(MAX_RESTART_DOUBLINGS);
        let delay = first_delay * 2_u32.pow(doublings);
        task.not_before = task.not_before.max(now + delay.min(MAX_RESTART_DELAY));
        task.failed_on = failed_on;
    }

    /// Records a failed attempt of a task, and fails the job once the task has too many.
    fn task_failed(
        &mut self,
        key: JobKey,
        task_ref: TaskRef,
        attempt: u32,
        minion: MinionKey,
        now: Duration,
        unix_ms: u64,
    ) {
        let not_before = now + self.settings.task_retry_delay;
        self.report_failure(key, task_ref, attempt, minion);
        let failed_on = self
            .minions
            .get(minion)
            .map(|minion| minion.entry.id.clone());
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let max_attempts = job.terms.max_attempts.max(1) as usize;
        let spec = &job.spec.steps[task_ref.step as usize];
        let gang = spec.gang;
        // Failed attempts of a gang are counted on its first task.
        let counted_at = TaskRef {
            index: if gang { 0 } else { task_ref.index },
            ..task_ref
        };
        let Some(task) = job.task_mut(counted_at) else {
            return;
        };
        task.not_before = not_before;
        task.failed_on = failed_on;
        if !task.failed_attempts.contains(&attempt) {
            task.failed_attempts.push(attempt);
        }
        let failed = task.failed_attempts.len() >= max_attempts;
        self.dirty.insert(key);
        if failed {
            self.end_job(key, JobState::Failed, unix_ms);
        }
    }

    /// Reports the failure of a run as a scheduler event.
    fn report_failure(&mut self, key: JobKey, task_ref: TaskRef, attempt: u32, minion: MinionKey) {
        if let Some(job) = self.jobs.get(key) {
            self.events.push(SchedulerEvent::RunFailed {
                task: job.task_id(task_ref),
                attempt,
                minion: self.minion_id(minion),
            });
        }
    }

    /// Returns whether an earlier run of a task has failed.
    fn has_failed(&self, key: JobKey, task_ref: TaskRef) -> bool {
        let task = self.jobs.get(key).and_then(|job| job.task(task_ref));
        task.is_some_and(|task| task.failed_on.is_some() || !task.failed_attempts.is_empty())
    }

    /// Updates the failures counted against a minion after a run has ended on it.
    ///
    /// A task that failed before may be one that can't complete on any minion. Its step then says
    /// nothing about the minions on which it failed, so the step's failures so far are removed from
    /// all minions, and this one isn't counted.
    fn update_minion_failures(
        &mut self,
        key: MinionKey,
        end: RunEnd,
        step: Option<StepRef>,
        failed_before: bool,
        now: Duration,
    ) {
        match (end, step) {
            (RunEnd::Done, _) => {
                if let Some(minion) = self.minions.get_mut(key) {
                    minion.failed_steps.clear();
                }
            }
            (RunEnd::Failed, Some(step)) if failed_before => self.clear_step_failures(step),
            (RunEnd::Failed, Some(step)) => self.record_minion_failure(key, step, now),
            (
                RunEnd::Failed
                | RunEnd::Stopped
                | RunEnd::LeaseExpired
                | RunEnd::GangMemberEnded
                | RunEnd::GangIncomplete,
                _,
            ) => {}
        }
    }

    /// Counts a failure against a minion, and backs off from it if several runs failed there in a
    /// row.
    ///
    /// The back-off doubles with each further failure. Afterwards, the minion is on probation.
    fn record_minion_failure(&mut self, key: MinionKey, step: StepRef, now: Duration) {
        let settings = self.settings;
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        minion.failed_steps.push(step);
        let failures = minion.failed_steps.len() as u32;
        let Some(excess) = failures.checked_sub(settings.failure_threshold) else {
            return;
        };
        let backoff = settings.failure_backoff * 2_u32.pow(excess.min(MAX_BACKOFF_DOUBLINGS));
        minion.failure_backoff_until = minion
            .failure_backoff_until
            .max(now + backoff.min(settings.failure_backoff_max));
        minion.on_probation = true;
        let minion = minion.entry.id.clone();
        self.events
            .push(SchedulerEvent::MinionFailing { minion, failures });
    }

    /// Removes the failures of a step from all minions, and ends the back-off and probation of
    /// those that fall below the threshold.
    fn clear_step_failures(&mut self, step: StepRef) {
        let threshold = self.settings.failure_threshold as usize;
        for minion in self.minions.values_mut() {
            let failures = minion.failed_steps.len();
            minion.failed_steps.retain(|failed| *failed != step);
            let cleared = minion.failed_steps.len() < failures;
            if cleared && failures >= threshold && minion.failed_steps.len() < threshold {
                minion.failure_backoff_until = Duration::ZERO;
                minion.on_probation = false;
            }
        }
    }

    /// Marks a queued job as running, as one of its tasks has started.
    pub(in crate::jobs) fn mark_started(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get_mut(key)
            && job.state == JobState::Queued
        {
            job.state = JobState::Running;
            self.dirty.insert(key);
        }
    }

    /// Drops a job from memory once it has ended, its final state is stored, and it has no runs
    /// left.
    pub(in crate::jobs) fn drop_ended_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let has_unstored_changes = self.dirty.contains(key) || self.storing.contains(&key);
        if !job.state.is_final() || has_unstored_changes || job.has_runs() {
            return;
        }
        self.ended.insert(job.id, job.state, job.ended_unix_ms);
        self.job_ids.remove(&job.id);
        self.scheduled.remove(&key);
        self.unopened.remove(&key);
        self.undecided_jobs.remove(&key);
        self.permits.remove_job(key);
        self.jobs.remove(key);
    }
}
