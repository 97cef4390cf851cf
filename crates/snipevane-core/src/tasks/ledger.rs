//! The ledger: tasks, their claims and their ends.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;
use slotmap::SlotMap;
use smol_str::SmolStr;

use super::{
    Job, JobKey, Submission, SubmitRefused, Submitted, Task, TaskEpoch, TaskId, TaskState,
};
use crate::ids::{TaskKey, TeamKey, WorkerKey};
use crate::placement::{Class, Resources};
use crate::pools::UnixMs;

/// What a report of a worker changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// The report is of the current claim and was taken in.
    Accepted,
    /// The report is of an earlier claim, or a repeated one, and changed nothing.
    Stale,
}

/// The tasks of all teams.
///
/// A cancelled job costs nothing for the tasks of it that wait: each remembers how often its job had
/// been cancelled when it was submitted.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    tasks: SlotMap<TaskKey, Task>,
    jobs: SlotMap<JobKey, Job>,
    task_ids: FxHashMap<(TeamKey, TaskId), TaskKey>,
    job_names: FxHashMap<(TeamKey, SmolStr), JobKey>,
    unclaimed: [VecDeque<TaskKey>; 3],
    ended: VecDeque<TaskKey>,
}

impl Ledger {
    /// Returns a task.
    pub fn get(&self, task: TaskKey) -> Option<&Task> {
        self.tasks.get(task)
    }

    /// Returns a task by the identifier that its team gave it.
    pub fn find(&self, team: TeamKey, id: &TaskId) -> Option<TaskKey> {
        self.task_ids.get(&(team, id.clone())).copied()
    }

    /// Returns a job.
    pub fn job(&self, job: JobKey) -> Option<&Job> {
        self.jobs.get(job)
    }

    /// Returns all tasks.
    pub fn tasks(&self) -> impl Iterator<Item = (TaskKey, &Task)> {
        self.tasks.iter()
    }

    /// Returns a task's state.
    pub fn state(&self, task: TaskKey) -> Option<TaskState> {
        let found = self.tasks.get(task)?;
        let waits = matches!(
            found.state,
            TaskState::Queued | TaskState::Claiming | TaskState::Claimed
        );
        if waits && self.is_outdated(found) {
            return Some(TaskState::Cancelled);
        }
        Some(found.state)
    }

    /// Adds a task.
    ///
    /// # Errors
    ///
    /// Returns an error if the team submitted another task under the same identifier.
    pub(super) fn submit(
        &mut self,
        submission: Submission,
        now: UnixMs,
    ) -> Result<Submitted, SubmitRefused> {
        let id = (submission.team, submission.id.clone());
        if let Some(&known) = self.task_ids.get(&id) {
            let same = self.tasks.get(known).map(|task| &task.submission) == Some(&submission);
            return if same {
                Ok(Submitted::Known(known))
            } else {
                Err(SubmitRefused::IdReused(known))
            };
        }
        let job = self.job_key(submission.team, &submission.job);
        let class = Class::from(submission.urgency);
        let job_generation = self.jobs[job].generation;
        self.jobs[job].waiting += 1;
        let task = self.tasks.insert(Task {
            submission,
            job,
            state: TaskState::Queued,
            epoch: TaskEpoch(1),
            submitted: now,
            started: None,
            ended: None,
            failed_on: Vec::new(),
            progress: 0.0,
            used: Resources::default(),
            job_generation,
        });
        self.task_ids.insert(id, task);
        self.unclaimed[class as usize].push_back(task);
        Ok(Submitted::New(task))
    }

    /// Adds a task of a predecessor under the epoch of its last claim.
    pub(super) fn restore(
        &mut self,
        submission: Submission,
        epoch: TaskEpoch,
        submitted: UnixMs,
    ) -> Result<TaskKey, SubmitRefused> {
        match self.submit(submission, submitted)? {
            Submitted::New(task) => {
                if let Some(found) = self.tasks.get_mut(task) {
                    found.epoch = epoch;
                }
                Ok(task)
            }
            Submitted::Known(task) => Ok(task),
        }
    }

    /// Takes tasks whose claim is to be written, urgent ones first.
    pub(super) fn claim(&mut self, most: usize) -> Vec<TaskKey> {
        let mut claimed = Vec::new();
        for class in 0..self.unclaimed.len() {
            while claimed.len() < most {
                let Some(task) = self.unclaimed[class].pop_front() else {
                    break;
                };
                if self.drop_if_cancelled(task) {
                    continue;
                }
                // A task that was restored on its worker needs no claim.
                if let Some(found) = self.tasks.get_mut(task)
                    && found.state == TaskState::Queued
                {
                    found.state = TaskState::Claiming;
                    claimed.push(task);
                }
            }
        }
        claimed
    }

    /// Records that a claim was written; returns whether the task still waits.
    pub(super) fn claimed(&mut self, task: TaskKey) -> bool {
        if self.drop_if_cancelled(task) {
            return false;
        }
        let Some(found) = self.tasks.get_mut(task) else {
            return false;
        };
        if found.state != TaskState::Claiming {
            return false;
        }
        found.state = TaskState::Claimed;
        true
    }

    /// Returns whether a task waits for a worker.
    pub(super) fn is_waiting(&self, task: TaskKey) -> bool {
        let found = self.tasks.get(task);
        found.is_some_and(|found| found.state == TaskState::Claimed && !self.is_outdated(found))
    }

    /// Returns the size of a task by what is known now, or `None` if it doesn't wait for a worker.
    pub(super) fn current_size(&self, task: TaskKey, largest: &Resources) -> Option<Resources> {
        if !self.is_waiting(task) {
            return None;
        }
        self.estimated_size(task, largest)
    }

    /// Returns the size of a task by what is known now.
    ///
    /// What was seen of other tasks of its job doesn't make it larger than any worker.
    pub(super) fn estimated_size(&self, task: TaskKey, largest: &Resources) -> Option<Resources> {
        let found = self.tasks.get(task)?;
        let job = self.jobs.get(found.job)?;
        let submission = &found.submission;
        let estimate = job.estimate(&submission.size, submission.run_time);
        if estimate.size.fits_in(largest) {
            return Some(estimate.size);
        }
        Some(submission.size)
    }

    pub(super) fn start(&mut self, task: TaskKey, worker: WorkerKey, now: UnixMs) -> TaskEpoch {
        let Some(found) = self.tasks.get_mut(task) else {
            return TaskEpoch::default();
        };
        found.state = TaskState::Running(worker);
        found.started = Some(now);
        let job = &mut self.jobs[found.job];
        job.waiting = job.waiting.saturating_sub(1);
        job.running.insert(task, ());
        found.epoch
    }

    /// Returns a task on a worker if a report is of its current claim.
    pub(super) fn current(&self, task: TaskKey, epoch: TaskEpoch) -> Option<(&Task, WorkerKey)> {
        let found = self.tasks.get(task)?;
        if found.epoch != epoch {
            return None;
        }
        match found.state {
            TaskState::Running(worker) | TaskState::Stopping(worker) => Some((found, worker)),
            _ => None,
        }
    }

    /// Ends a task for good.
    pub(super) fn end(&mut self, task: TaskKey, state: TaskState, now: UnixMs) {
        let Some(found) = self.tasks.get_mut(task) else {
            return;
        };
        let was_on_worker = matches!(found.state, TaskState::Running(_) | TaskState::Stopping(_));
        found.state = state;
        found.ended = Some(now);
        self.ended.push_back(task);
        let outdated = self.jobs[found.job].generation != found.job_generation;
        let job = &mut self.jobs[found.job];
        job.running.remove(task);
        if !was_on_worker && !outdated {
            job.waiting = job.waiting.saturating_sub(1);
        }
    }

    /// Lets a task wait again, under a later epoch, so that reports of its former claim are stale.
    pub(super) fn requeue(&mut self, task: TaskKey) {
        let Some(found) = self.tasks.get_mut(task) else {
            return;
        };
        found.state = TaskState::Queued;
        found.epoch = TaskEpoch(found.epoch.0 + 1);
        let class = Class::from(found.submission.urgency);
        let job = &mut self.jobs[found.job];
        job.running.remove(task);
        job.waiting += usize::from(job.generation == found.job_generation);
        // It has waited once already.
        self.unclaimed[class as usize].push_front(task);
    }

    /// Raises the epoch of a task that waits, so that reports of its former claim are stale.
    pub(super) fn renew(&mut self, task: TaskKey) {
        if let Some(found) = self.tasks.get_mut(task) {
            found.epoch = TaskEpoch(found.epoch.0 + 1);
        }
    }

    /// Puts a task back whose claim wasn't written.
    pub(super) fn unclaim(&mut self, task: TaskKey) {
        if let Some(found) = self.tasks.get_mut(task)
            && found.state == TaskState::Claiming
        {
            found.state = TaskState::Queued;
            let class = Class::from(found.submission.urgency);
            self.unclaimed[class as usize].push_front(task);
        }
    }

    pub(super) fn get_mut(&mut self, task: TaskKey) -> Option<&mut Task> {
        self.tasks.get_mut(task)
    }

    pub(super) fn job_mut(&mut self, job: JobKey) -> Option<&mut Job> {
        self.jobs.get_mut(job)
    }

    /// Cancels all tasks of a job that wait; returns those on workers.
    pub(super) fn cancel_job(&mut self, team: TeamKey, name: &SmolStr) -> Vec<TaskKey> {
        let key = self.job_names.get(&(team, name.clone()));
        let Some(job) = key.and_then(|&key| self.jobs.get_mut(key)) else {
            return Vec::new();
        };
        job.generation += 1;
        job.waiting = 0;
        job.running.keys().collect()
    }

    /// Forgets tasks that ended before `before`; their identifiers count as new afterwards.
    pub(super) fn forget(&mut self, before: UnixMs) {
        while let Some(&task) = self.ended.front() {
            let ended = self.tasks.get(task).and_then(|found| found.ended);
            if ended.is_some_and(|at| at >= before) {
                return;
            }
            self.ended.pop_front();
            if let Some(found) = self.tasks.remove(task) {
                let id = (found.submission.team, found.submission.id);
                self.task_ids.remove(&id);
            }
        }
    }

    /// Marks a task that waits and was cancelled by then as such.
    fn drop_if_cancelled(&mut self, task: TaskKey) -> bool {
        let Some(found) = self.tasks.get_mut(task) else {
            return true;
        };
        if found.state.is_final() {
            return true;
        }
        if self.jobs[found.job].generation == found.job_generation {
            return false;
        }
        found.state = TaskState::Cancelled;
        found.ended = Some(found.submitted);
        self.ended.push_back(task);
        true
    }

    fn is_outdated(&self, task: &Task) -> bool {
        let job = self.jobs.get(task.job);
        job.is_none_or(|job| job.generation != task.job_generation)
    }

    fn job_key(&mut self, team: TeamKey, name: &SmolStr) -> JobKey {
        let id = (team, name.clone());
        if let Some(&known) = self.job_names.get(&id) {
            return known;
        }
        let job = self.jobs.insert(Job::new(team, name.clone()));
        self.job_names.insert(id, job);
        job
    }
}
