//! Acceptance, cancellation and completion of jobs, and their scheduled occurrences.

use std::time::Duration;

use crate::jobs::event::{SchedulerEvent, StopReason};
use crate::jobs::model::id::JobId;
use crate::jobs::model::job::{Job, JobIntake};
use crate::jobs::model::keys::{JobKey, RunKey, StepRef, TaskRef};
use crate::jobs::model::progress::{JobState, Progress};
use crate::jobs::model::run::RunPhase;
use crate::jobs::model::spec::JobSpec;
use crate::jobs::model::terms::JobTerms;
use crate::jobs::scheduler::Scheduler;

/// Attempt numbers reserved for each earlier term in the tasks of adopted jobs.
const ATTEMPTS_PER_TERM: u64 = 20;

impl Scheduler {
    /// Adds a job that the store holds.
    ///
    /// `progress` is the job's progress as stored by an earlier term. `adopted` means that an
    /// earlier term may have started some of its tasks. Jobs that are known or have ended are
    /// ignored; one with a tombstone isn't, as it was submitted anew.
    pub fn add_job(
        &mut self,
        id: JobId,
        spec: JobSpec,
        progress: Option<&Progress>,
        adopted: bool,
        now: Duration,
        unix_ms: u64,
    ) {
        if self.job_ids.contains_key(&id) || self.ended.state(id).is_some() {
            return;
        }
        // A job with a tombstone is stored only once that is removed, also if the removal had no answer.
        if self.ended.is_tombstone(id) {
            self.ended.remove(id);
        }
        let mut job = self.new_job(id, spec, adopted, now, unix_ms);
        job.over_rate_share = !adopted && !self.is_within_rate_share(&job.spec, now);
        if let Some(progress) = progress {
            job.restore(progress);
        }
        if job.make_due(unix_ms) {
            job.deadline = job.deadline.max(now);
        }
        let has_later_occurrences = job.has_later_occurrences();
        self.events.push(SchedulerEvent::JobEnqueued {
            job: id,
            pool: job.spec.pool.clone(),
            adopted,
            due_in: job.deadline.saturating_sub(now),
            due_occurrences: job.due_occurrences(),
            held_bytes: job.held_bytes(),
        });
        let key = self.jobs.insert(job);
        self.job_ids.insert(id, key);
        if progress.is_some() {
            self.find_crashing_tasks(key);
            self.find_earlier_trials(key);
        }
        if has_later_occurrences {
            self.scheduled.insert(key);
        }
        self.enqueue_opened_steps(key);
        self.open_steps_of(key);
        self.complete_if_done(key, unix_ms);
    }

    /// Records a job that ended in an earlier term.
    pub fn add_ended_job(&mut self, id: JobId, state: JobState, ended_unix_ms: u64) {
        self.ended.insert(id, state, ended_unix_ms);
    }

    /// Records that a job was cancelled at `unix_ms`, in Unix milliseconds, before it was stored.
    pub fn add_tombstone(&mut self, id: JobId, unix_ms: u64) {
        if !self.job_ids.contains_key(&id) {
            self.ended.insert_tombstone(id, unix_ms);
        }
    }

    /// Cancels a job and stops its runs.
    pub fn cancel_job(&mut self, id: JobId, unix_ms: u64) {
        let Some(&key) = self.job_ids.get(&id) else {
            return;
        };
        self.end_job(key, JobState::Cancelled, unix_ms);
    }

    /// Adds the occurrences of scheduled jobs that are due.
    pub(in crate::jobs) fn add_due_occurrences(&mut self, now: Duration, unix_ms: u64) {
        let keys: Vec<JobKey> = self.scheduled.iter().copied().collect();
        for key in keys {
            self.add_due_occurrences_of(key, now, unix_ms);
        }
    }

    fn add_due_occurrences_of(&mut self, key: JobKey, now: Duration, unix_ms: u64) {
        let Some(job) = self.jobs.get_mut(key) else {
            self.scheduled.remove(&key);
            return;
        };
        let is_any_new = job.make_due(unix_ms);
        if is_any_new {
            job.deadline = job.deadline.max(now);
        }
        if !job.has_later_occurrences() {
            self.scheduled.remove(&key);
        }
        if is_any_new {
            self.open_steps_of(key);
        }
    }

    /// Adds the opened steps of a job whose dependencies are done to the pool's queue.
    pub(in crate::jobs) fn enqueue_opened_steps(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let steps = job.opened_steps().map(|(first, _)| first);
        for first in steps.collect::<Vec<TaskRef>>() {
            self.enqueue_step(key, first);
        }
    }

    /// Adds the opened steps of an occurrence whose dependencies are done to the pool's queue.
    pub(in crate::jobs) fn enqueue_opened_steps_in(&mut self, key: JobKey, occurrence: u32) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let steps = job.opened_steps_in(occurrence).map(|(step, _)| TaskRef {
            occurrence,
            step,
            index: 0,
        });
        for first in steps.collect::<Vec<TaskRef>>() {
            self.enqueue_step(key, first);
        }
    }

    /// Adds an opened step to its pool's queue if it has waiting tasks and its dependencies are done.
    pub(in crate::jobs) fn enqueue_step(&mut self, key: JobKey, task_ref: TaskRef) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.state.is_final() || !job.is_ready(task_ref.occurrence, task_ref.step) {
            return;
        }
        let is_added = job.update_step(task_ref, |step| {
            let is_added = step.waiting() > 0 && !step.queued;
            step.queued |= is_added;
            is_added
        });
        if is_added == Some(true) {
            let pool = job.spec.pool.clone();
            self.queues.entry(pool).or_default().steps.push(StepRef {
                job: key,
                occurrence: task_ref.occurrence,
                step: task_ref.step,
            });
        }
    }

    /// Opens further steps of a job, as far as it may have more, and adds them to the pool's queue; returns them.
    pub(in crate::jobs) fn open_steps_of(&mut self, key: JobKey) -> Vec<StepRef> {
        let Some(job) = self.jobs.get_mut(key) else {
            self.unopened.remove(&key);
            return Vec::new();
        };
        let room = self.full_pools.room_in(&job.spec.pool);
        let may_fit_any = room.is_some_and(|room| room.may_fit_size(&job.least_size));
        let opened = if may_fit_any || job.may_open_any() {
            job.open_steps(|step| room.is_some_and(|room| room.may_fit(step)))
        } else {
            Vec::new()
        };
        if job.has_unopened_steps() {
            self.unopened.insert(key);
        } else {
            self.unopened.remove(&key);
        }
        for &first in &opened {
            self.enqueue_step(key, first);
        }
        let steps = opened.into_iter().map(|first| StepRef {
            job: key,
            occurrence: first.occurrence,
            step: first.step,
        });
        steps.collect()
    }

    /// Moves a job to a final state and stops its runs.
    pub(in crate::jobs) fn end_job(&mut self, key: JobKey, state: JobState, unix_ms: u64) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.state.is_final() {
            return;
        }
        job.state = state;
        job.ended_unix_ms = unix_ms;
        let runs = job.run_keys();
        self.dirty.insert(key);
        self.has_urgent_change = true;
        for run in runs {
            self.stop_run(run, StopReason::JobEnded);
        }
    }

    /// Completes a job if all its tasks are done.
    pub(in crate::jobs) fn complete_if_done(&mut self, key: JobKey, unix_ms: u64) {
        let is_done = self.jobs.get(key).is_some_and(Job::is_done);
        if is_done {
            self.end_job(key, JobState::Completed, unix_ms);
        }
    }

    /// Stops a run; the stop order is sent with the next orders.
    pub(in crate::jobs) fn stop_run(&mut self, key: RunKey, reason: StopReason) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if !matches!(run.phase, RunPhase::Starting | RunPhase::Running) {
            return;
        }
        run.phase = RunPhase::Stopping;
        run.unsent_stop = Some(reason);
        run.transmissions.close();
        run.retry_at = Duration::ZERO;
        self.pending_orders.insert(key);
        let (task, attempt, minion) = (run.task, run.attempt, run.minion);
        let minion = self.minion_id(minion);
        self.events.push(SchedulerEvent::RunStopped {
            task,
            attempt,
            minion,
            reason,
        });
    }

    /// Counts a job against its team's rate share and returns whether it is within the share.
    fn is_within_rate_share(&mut self, spec: &JobSpec, now: Duration) -> bool {
        let team = spec.team.as_ref().and_then(|team| self.site.team(team));
        let Some(team) = team.filter(|team| team.share_per_s > 0.0) else {
            return true;
        };
        let (name, per_s) = (team.name.clone(), team.share_per_s);
        self.job_rates.take_token(&name, per_s, now)
    }

    fn new_job(&self, id: JobId, spec: JobSpec, adopted: bool, now: Duration, unix_ms: u64) -> Job {
        let terms = spec.terms.unwrap_or_else(|| {
            let queue = self.site.queue(&spec.queue);
            queue.map(JobTerms::from).unwrap_or_default()
        });
        let age = Duration::from_millis(unix_ms.saturating_sub(spec.accepted_unix_ms));
        let mut job = Job::new(
            id,
            spec,
            JobIntake {
                accepted_at: now.saturating_sub(age),
                terms,
                used_attempts: if adopted { self.used_attempts() } else { 0 },
                max_record_bytes: self.settings.max_progress_bytes,
            },
        );
        job.adopted = adopted;
        job
    }

    /// Returns the highest attempt number that earlier terms may have used.
    fn used_attempts(&self) -> u32 {
        u32::try_from(self.fence.saturating_mul(ATTEMPTS_PER_TERM)).unwrap_or(u32::MAX)
    }
}
