//! Ends of runs and what follows from them.

use std::time::Duration;

use super::job::{Job, JobKey, TaskRef};
use super::minion::MinionKey;
use super::note::{Loss, Note, StopReason};
use super::progress::JobState;
use super::queue::StepRef;
use super::run::{EndedRun, RunEnd, RunKey};
use super::scheduler::Scheduler;

/// Largest doubling of the time for which a failing minion gets no work.
const MAX_AVOID_DOUBLINGS: u32 = 4;

impl Scheduler {
    /// Takes in an end that a minion lists.
    pub(super) fn run_ended(
        &mut self,
        minion: MinionKey,
        ended: &EndedRun,
        now: Duration,
        unix_ms: u64,
    ) {
        if let Some(run) = self.find_run(minion, ended.task, ended.attempt) {
            if ended.end == RunEnd::Done {
                self.learn_duration(run, now);
                self.end_probation_if_on_time(run, now);
            }
            self.release(run);
        }
        let found = self.find_task(ended.task);
        let failed_before = found.is_some_and(|(key, at)| self.has_failed(key, at));
        let step = found.map(|(job, at)| StepRef {
            job,
            occurrence: at.occurrence,
            step: at.step,
        });
        self.learn_from_end(minion, ended.end, step, failed_before, now);
        let Some((key, at)) = found else {
            return;
        };
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let Some(step) = job.step_mut(at) else {
            return;
        };
        step.gang_attempt = step.gang_attempt.max(ended.attempt);
        let Some(task) = step.tasks.get_mut(at.index as usize) else {
            return;
        };
        task.last_attempt = task.last_attempt.max(ended.attempt);
        if !ended.checkpoint.is_empty() {
            task.checkpoint = ended.checkpoint.clone();
        }
        match ended.end {
            RunEnd::Done => self.task_done(key, at, unix_ms),
            RunEnd::Failed => self.task_failed(key, at, ended.attempt, minion, now, unix_ms),
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => {}
        }
        self.requeue(key, at);
    }

    /// Learns how long a task takes from a run that began afresh and is done.
    fn learn_duration(&mut self, key: RunKey, now: Duration) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let Some(spec) = self.jobs.get(run.job).map(|job| job.spec.clone()) else {
            return;
        };
        let Some(step) = spec.steps.get(run.at.step as usize) else {
            return;
        };
        let on_sound_minion = self
            .minions
            .get(run.minion)
            .is_some_and(|minion| !minion.on_trial);
        if run.checkpoint.is_empty() && on_sound_minion && !step.long_running && !step.gang {
            let took = now.saturating_sub(run.since);
            let image = spec.image_of(step);
            self.durations.learn(image, step.estimate(), took);
        }
    }

    /// Ends a run of which no end is listed.
    pub(super) fn end_run(&mut self, key: RunKey, why: Loss) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (job, at) = (run.job, run.at);
        self.notes.push(Note::RunLost {
            task: run.task,
            attempt: run.attempt,
            minion: self.minion_id(run.minion),
            why,
        });
        self.release(key);
        self.requeue(job, at);
    }

    /// Books what a run takes.
    pub(super) fn book(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        if let Some(minion) = self.minions.get_mut(run.minion) {
            minion.booked = minion.booked.plus(&run.booked);
            minion.runs.insert(key);
        }
        let team = self.jobs.get(run.job).and_then(|job| job.spec.team.clone());
        if let Some(team) = team {
            let usage = self.usage.entry(team).or_default();
            *usage = usage.plus(&run.size);
        }
    }

    /// Gives back what a run takes and forgets it.
    fn release(&mut self, key: RunKey) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        self.pending_orders.remove(&key);
        if let Some(minion) = self.minions.get_mut(run.minion) {
            minion.booked = minion.booked.minus(&run.booked);
            minion.runs.remove(&key);
        }
        let Some(job) = self.jobs.get_mut(run.job) else {
            return;
        };
        if let Some(team) = &job.spec.team
            && let Some(usage) = self.usage.get_mut(team)
        {
            *usage = usage.minus(&run.size);
        }
        let Some(step) = job.step_mut(run.at) else {
            return;
        };
        let Some(task) = step.tasks.get_mut(run.at.index as usize) else {
            return;
        };
        let had_runs = !task.runs.is_empty();
        task.runs.retain(|&run| run != key);
        if had_runs && task.runs.is_empty() && !task.done {
            step.waiting += 1;
        }
        self.drop_finished(run.job);
    }

    /// Puts a task that waits again into its pool's queue.
    fn requeue(&mut self, key: JobKey, at: TaskRef) {
        let waits = self.jobs.get(key).and_then(|job| job.step(at));
        if waits.is_some_and(|step| step.waiting > 0 && !step.queued) {
            self.enqueue_ready_steps(key);
        }
    }

    fn task_done(&mut self, key: JobKey, at: TaskRef, unix_ms: u64) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let gang = job.spec.steps[at.step as usize].gang;
        let Some(step) = job.step_mut(at) else {
            return;
        };
        let indices = if gang {
            0..step.tasks.len()
        } else {
            at.index as usize..at.index as usize + 1
        };
        let mut surplus = Vec::new();
        for index in indices {
            let task = &mut step.tasks[index];
            if task.done {
                continue;
            }
            task.done = true;
            step.done += 1;
            if task.runs.is_empty() {
                step.waiting -= 1;
            } else if !gang {
                surplus.extend(task.runs.iter().copied());
            }
        }
        let step_done = step.is_done();
        self.dirty.insert(key);
        for run in surplus {
            self.stop_run(run, StopReason::Surplus);
        }
        if step_done {
            self.enqueue_ready_steps(key);
            self.complete_if_done(key, unix_ms);
        }
    }

    fn task_failed(
        &mut self,
        key: JobKey,
        at: TaskRef,
        attempt: u32,
        minion: MinionKey,
        now: Duration,
        unix_ms: u64,
    ) {
        let pause = now + self.settings.task_retry_delay;
        self.note_failure(key, at, attempt, minion);
        let failed_on = self
            .minions
            .get(minion)
            .map(|minion| minion.entry.id.clone());
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let max_attempts = job.max_attempts as usize;
        let spec = &job.spec.steps[at.step as usize];
        let (lasting, gang) = (spec.long_running, spec.gang);
        // The failures of a gang are counted at its first member.
        let counted_at = TaskRef {
            index: if gang { 0 } else { at.index },
            ..at
        };
        let Some(task) = job.task_mut(counted_at) else {
            return;
        };
        task.not_before = pause;
        task.failed_on = failed_on;
        if lasting {
            return;
        }
        if !task.failed.contains(&attempt) {
            task.failed.push(attempt);
        }
        let failed = task.failed.len() >= max_attempts;
        self.dirty.insert(key);
        if failed {
            self.finish_job(key, JobState::Failed, unix_ms);
        }
    }

    fn note_failure(&mut self, key: JobKey, at: TaskRef, attempt: u32, minion: MinionKey) {
        if let Some(job) = self.jobs.get(key) {
            self.notes.push(Note::RunFailed {
                task: job.task_id(at),
                attempt,
                minion: self.minion_id(minion),
            });
        }
    }

    /// Returns whether a run of a task has failed before.
    fn has_failed(&self, key: JobKey, at: TaskRef) -> bool {
        let task = self.jobs.get(key).and_then(|job| job.task(at));
        task.is_some_and(|task| task.failed_on.is_some() || !task.failed.is_empty())
    }

    /// Avoids a minion on which run after run fails.
    ///
    /// A task that has failed before may be one that can never be done: then its step tells
    /// nothing of the minions on which it failed.
    fn learn_from_end(
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
            (RunEnd::Failed, Some(step)) if failed_before => self.forgive(step),
            (RunEnd::Failed, Some(step)) => self.blame(key, step, now),
            (
                RunEnd::Failed | RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone,
                _,
            ) => {}
        }
    }

    /// Avoids a minion for a while if several runs have failed there in a row.
    fn blame(&mut self, key: MinionKey, step: StepRef, now: Duration) {
        let settings = self.settings;
        let Some(minion) = self.minions.get_mut(key) else {
            return;
        };
        minion.failed_steps.push(step);
        let failures = minion.failed_steps.len() as u32;
        let Some(excess) = failures.checked_sub(settings.failure_threshold) else {
            return;
        };
        let pause = settings.failure_backoff * 2_u32.pow(excess.min(MAX_AVOID_DOUBLINGS));
        minion.avoid_until = minion
            .avoid_until
            .max(now + pause.min(settings.failure_backoff_max));
        minion.on_trial = true;
        let minion = minion.entry.id.clone();
        self.notes.push(Note::MinionFailing { minion, failures });
    }

    /// Takes back what failures of a step were held against minions.
    fn forgive(&mut self, step: StepRef) {
        let tolerated = self.settings.failure_threshold as usize;
        for minion in self.minions.values_mut() {
            let failures = minion.failed_steps.len();
            minion.failed_steps.retain(|failed| *failed != step);
            let forgiven = minion.failed_steps.len() < failures;
            if forgiven && failures >= tolerated && minion.failed_steps.len() < tolerated {
                minion.avoid_until = Duration::ZERO;
                minion.on_trial = false;
            }
        }
    }

    /// Takes note that a task of a job has started.
    pub(super) fn note_started(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get_mut(key)
            && job.state == JobState::Queued
        {
            job.state = JobState::Running;
            self.dirty.insert(key);
        }
    }

    /// Drops a job that has ended, is stored so, and runs nothing any more.
    pub(super) fn drop_finished(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let is_behind = self.dirty.contains(&key) || self.storing.contains(&key);
        if !job.state.is_final() || is_behind || has_runs(job) {
            return;
        }
        self.ended.insert(job.id, job.state, job.ended_unix_ms);
        self.job_ids.remove(&job.id);
        self.scheduled.remove(&key);
        self.permits.forget(key);
        self.jobs.remove(key);
    }
}

fn has_runs(job: &Job) -> bool {
    let mut steps = job
        .occurrences
        .iter()
        .flat_map(|occurrence| &occurrence.steps);
    steps.any(|step| step.tasks.iter().any(|task| !task.runs.is_empty()))
}
