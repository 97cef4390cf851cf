//! Runs tasks on workers: claims, placement, reports, cancellations and lapses.

use std::time::Duration;

use smol_str::SmolStr;

use super::{
    HealthSettings, JobKey, Ledger, Report, Restored, Start, StopReason, Submission, SubmitRefused,
    Submitted, TaskAction, TaskEpoch, TaskState, Verdict, WorkerHealth,
};
use crate::ids::{TaskKey, TeamKey, WorkerKey};
use crate::placement::{Class, Placer, PlacerSettings, Resources, Units, Waiting};
use crate::pools::UnixMs;

/// Settings of the scheduler.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerSettings {
    /// Settings of the placement.
    pub placer: PlacerSettings,
    /// Settings of the workers' health.
    pub health: HealthSettings,
    /// Different workers whose failures stop a task.
    pub workers_to_stop: usize,
    /// Most tasks that are placed in one round.
    pub most_in_round: usize,
    /// Time for which a task that ended is remembered, so that a repeated submission is known.
    pub retention: Duration,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            placer: PlacerSettings::default(),
            health: HealthSettings::default(),
            workers_to_stop: 3,
            most_in_round: 8192,
            retention: Duration::from_secs(3600),
        }
    }
}

/// Runs tasks on workers: state, event and time in, actions out.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    settings: SchedulerSettings,
    ledger: Ledger,
    placer: Placer,
    health: WorkerHealth,
}

impl Scheduler {
    /// Creates a scheduler without workers and tasks.
    pub fn new(settings: SchedulerSettings) -> Self {
        Self {
            settings,
            ledger: Ledger::default(),
            placer: Placer::new(settings.placer),
            health: WorkerHealth::new(settings.health),
        }
    }

    /// Returns the ledger.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the placement.
    pub fn placer(&self) -> &Placer {
        &self.placer
    }

    /// Returns the workers' health.
    pub fn health(&self) -> &WorkerHealth {
        &self.health
    }

    /// Sets a team's weight.
    pub fn set_weight(&mut self, team: TeamKey, weight: u32) {
        self.placer.set_weight(team, weight);
    }

    /// Adds a worker whose lease was taken.
    pub fn add_worker(&mut self, worker: WorkerKey, capacity: Resources) {
        self.placer.add_worker(worker, capacity);
        self.placer.set_open(worker, true);
        self.placer.set_aside(worker, self.health.is_aside(worker));
    }

    /// Lets a worker that drains take no new task.
    pub fn drain_worker(&mut self, worker: WorkerKey) {
        self.placer.set_open(worker, false);
    }

    /// Adds a task.
    ///
    /// # Errors
    ///
    /// Returns an error if no worker is large enough, if the task declares no processor time, or if
    /// the team submitted another task under the same identifier.
    pub fn submit(
        &mut self,
        submission: Submission,
        now: UnixMs,
    ) -> Result<Submitted, SubmitRefused> {
        if submission.size.cpu_millis == 0 {
            return Err(SubmitRefused::NoSize);
        }
        if !self.placer.workers().could_hold(&submission.size) {
            let largest = self.placer.workers().largest_for(&submission.size);
            return Err(SubmitRefused::LargerThanAnyWorker { largest });
        }
        self.ledger.submit(submission, now)
    }

    /// Takes over a task of a predecessor, whose last claim had this epoch.
    ///
    /// A task that a worker reports under that epoch goes on there, if the team has a unit for it.
    /// Any other one waits again under a later epoch; the driver restores it only once no worker
    /// can run it any more under a lease of the predecessor.
    ///
    /// # Errors
    ///
    /// Returns an error if another task was restored under the same identifier.
    pub fn restore(
        &mut self,
        submission: Submission,
        epoch: TaskEpoch,
        running_on: Option<WorkerKey>,
        submitted: UnixMs,
        units: &mut impl Units,
    ) -> Result<Restored, SubmitRefused> {
        let team = submission.team;
        if let Some(known) = self.ledger.find(team, &submission.id) {
            return Ok(Restored::Known(known));
        }
        if running_on.is_some() && !units.take(team) {
            return Ok(Restored::StopFirst);
        }
        let task = self.ledger.restore(submission, epoch, submitted)?;
        let waiting = self.waiting(task);
        let (Some(worker), Some(waiting)) = (running_on, waiting) else {
            self.ledger.renew(task);
            return Ok(Restored::Waits(task));
        };
        self.placer.adopt(waiting, worker);
        self.ledger.start(task, worker, submitted);
        if let Some(found) = self.ledger.get_mut(task) {
            // When it started isn't known, so its run time teaches nothing.
            found.started = None;
        }
        Ok(Restored::Runs(task))
    }

    /// Takes up to `most` tasks whose claims are to be written in one batch.
    pub fn claim(&mut self, most: usize) -> Vec<TaskKey> {
        self.ledger.claim(most)
    }

    /// Takes in whether a batch of claims was written.
    ///
    /// After a lost answer the driver reads the batch's row first.
    pub fn claims_written(&mut self, tasks: &[TaskKey], written: bool) {
        for &task in tasks {
            if !written {
                self.ledger.unclaim(task);
            } else if self.ledger.claimed(task)
                && let Some(waiting) = self.waiting(task)
            {
                self.placer.push(waiting);
            }
        }
    }

    /// Places waiting tasks, lets workers back in, and makes room for urgent work.
    pub fn round(&mut self, now: UnixMs, units: &mut impl Units) -> Vec<TaskAction> {
        for worker in self.health.retry(now) {
            self.placer.set_trial(worker, true);
            self.placer.set_aside(worker, false);
        }
        self.ledger.forget(now.before(self.settings.retention));
        let ledger = &self.ledger;
        let largest = *self.placer.workers().largest();
        let current = |waiting: &Waiting| ledger.current_size(waiting.task, &largest);
        let most = self.settings.most_in_round;
        let placed = self.placer.place(now, most, units, current);
        let give_way = self.placer.give_way(now, current);
        let mut actions = Vec::with_capacity(placed.len());
        for one in placed {
            let epoch = self.ledger.start(one.task, one.worker, now);
            actions.push(TaskAction::Start(Start {
                task: one.task,
                worker: one.worker,
                epoch,
            }));
        }
        for task in give_way {
            actions.extend(self.on_worker(task).map(TaskAction::Checkpoint));
        }
        actions
    }

    /// Takes in that a task ended well.
    pub fn finished(
        &mut self,
        task: TaskKey,
        epoch: TaskEpoch,
        now: UnixMs,
        units: &mut impl Units,
    ) -> Report {
        let Some((found, worker)) = self.ledger.current(task, epoch) else {
            return Report::Stale;
        };
        let run_time = found.started.map(|started| now.since(started));
        let used = found.used;
        let (job, progress) = (found.job, found.progress);
        if let (Some(run_time), Some(job)) = (run_time, self.ledger.job_mut(job)) {
            // A task that went on from a checkpoint says little about whole run times.
            if progress == 0.0 && used.cpu_millis > 0 {
                job.observe(&used, run_time);
            }
        }
        self.health.succeeded(worker);
        self.placer.set_trial(worker, false);
        self.release(task, units);
        self.ledger.end(task, TaskState::Done, now);
        Report::Accepted
    }

    /// Takes in that a task failed; it's tried on other workers before it's stopped.
    pub fn failed(
        &mut self,
        task: TaskKey,
        epoch: TaskEpoch,
        now: UnixMs,
        units: &mut impl Units,
    ) -> Report {
        let (worker, job) = match self.take_off(task, epoch, now, units) {
            TakenOff::Stale => return Report::Stale,
            TakenOff::Cancelled => return Report::Accepted,
            TakenOff::From(worker, job) => (worker, job),
        };
        // What fails on a worker that was set aside says nothing against the task.
        if !self.health.is_aside(worker) {
            self.blame(task, job, worker, now);
        }
        let failed_on = self.ledger.get(task).map(|found| found.failed_on.len());
        let workers = failed_on.unwrap_or_default();
        if workers > 0 && workers >= self.workers_to_stop(task) {
            let reason = StopReason::FailsEverywhere { workers };
            self.ledger.end(task, TaskState::Stopped(reason), now);
        } else {
            self.ledger.requeue(task);
        }
        Report::Accepted
    }

    /// Takes in that a task was saved and stopped; it goes on later from this part of its run time.
    pub fn checkpointed(
        &mut self,
        task: TaskKey,
        epoch: TaskEpoch,
        progress: f64,
        now: UnixMs,
        units: &mut impl Units,
    ) -> Report {
        match self.take_off(task, epoch, now, units) {
            TakenOff::Stale => return Report::Stale,
            TakenOff::Cancelled => return Report::Accepted,
            TakenOff::From(..) => {}
        }
        if let Some(found) = self.ledger.get_mut(task) {
            found.progress = progress.clamp(found.progress, 1.0);
        }
        self.ledger.requeue(task);
        Report::Accepted
    }

    /// Takes in what a task uses; holds it back if its worker would be overcommitted.
    pub fn usage(
        &mut self,
        task: TaskKey,
        epoch: TaskEpoch,
        used: Resources,
    ) -> Option<TaskAction> {
        let (found, worker) = self.ledger.current(task, epoch)?;
        let most = found.used.max(&used);
        let reserved = self.placer.size_of(task)?;
        self.ledger.get_mut(task)?.used = most;
        if most.fits_in(&reserved) {
            return None;
        }
        let needed = reserved.max(&most);
        let state = self.placer.workers().get(worker)?;
        let after = state.reserved.minus(&reserved).plus(&needed);
        if !after.fits_in(&state.capacity) {
            return self.on_worker(task).map(TaskAction::Throttle);
        }
        self.placer.resize(task, needed);
        None
    }

    /// Takes in that a worker's lease lapsed, so that nothing of it runs any more.
    ///
    /// Its tasks wait again under later epochs; what it reports afterwards is stale.
    pub fn lapsed(&mut self, worker: WorkerKey, now: UnixMs, units: &mut impl Units) {
        let capacity = self
            .placer
            .workers()
            .get(worker)
            .map(|state| state.capacity);
        for task in self.placer.remove_worker(worker) {
            let state = self.ledger.get(task).map(|found| found.state);
            self.release(task, units);
            if matches!(state, Some(TaskState::Stopping(_))) {
                self.ledger.end(task, TaskState::Cancelled, now);
            } else {
                self.ledger.requeue(task);
            }
        }
        if let Some(capacity) = capacity
            && !self.placer.workers().could_hold(&capacity)
        {
            self.stop_too_large(now);
        }
    }

    /// Cancels a task; returns what to ask of its worker.
    pub fn cancel(&mut self, task: TaskKey, now: UnixMs) -> Option<TaskAction> {
        match self.ledger.state(task)? {
            TaskState::Running(worker) => {
                let start = self.on_worker(task);
                self.ledger.get_mut(task)?.state = TaskState::Stopping(worker);
                start.map(TaskAction::Stop)
            }
            TaskState::Stopping(_) => self.on_worker(task).map(TaskAction::Stop),
            state if state.is_final() => None,
            _ => {
                self.ledger.end(task, TaskState::Cancelled, now);
                None
            }
        }
    }

    /// Cancels all tasks of a job, at no cost for those that wait.
    pub fn cancel_job(&mut self, team: TeamKey, job: &SmolStr, now: UnixMs) -> Vec<TaskAction> {
        let on_workers = self.ledger.cancel_job(team, job);
        on_workers
            .into_iter()
            .filter_map(|task| self.cancel(task, now))
            .collect()
    }

    /// Holds a failure against the task, and against the worker unless the job is the likely cause.
    fn blame(&mut self, task: TaskKey, job: JobKey, worker: WorkerKey, now: UnixMs) {
        if let Some(found) = self.ledger.get_mut(task)
            && !found.failed_on.contains(&worker)
        {
            found.failed_on.push(worker);
        }
        let job_is_cause = self
            .ledger
            .job_mut(job)
            .is_some_and(|job| job.observe_failure(worker));
        if !job_is_cause {
            let verdict = self.health.failed(worker, task, now);
            self.apply(worker, &verdict);
        }
    }

    /// Returns on how many workers a task may fail: on all that could hold it, if they are few.
    fn workers_to_stop(&self, task: TaskKey) -> usize {
        let Some(found) = self.ledger.get(task) else {
            return 0;
        };
        let size = &found.submission.size;
        let workers = self.placer.workers().iter();
        let fitting = workers.filter(|(_, worker)| size.fits_in(&worker.capacity));
        fitting.take(self.settings.workers_to_stop).count()
    }

    fn apply(&mut self, worker: WorkerKey, verdict: &Verdict) {
        let Verdict::SetAside(tasks) = verdict else {
            return;
        };
        self.placer.set_aside(worker, true);
        // The tasks failed because of the worker, so that says nothing against them.
        for &task in tasks {
            if let Some(found) = self.ledger.get_mut(task) {
                found.failed_on.retain(|&other| other != worker);
            }
        }
    }

    /// Takes a task off its worker whose claim ended without success.
    fn take_off(
        &mut self,
        task: TaskKey,
        epoch: TaskEpoch,
        now: UnixMs,
        units: &mut impl Units,
    ) -> TakenOff {
        let Some((found, worker)) = self.ledger.current(task, epoch) else {
            return TakenOff::Stale;
        };
        let (job, state) = (found.job, found.state);
        self.release(task, units);
        if matches!(state, TaskState::Stopping(_)) {
            self.ledger.end(task, TaskState::Cancelled, now);
            return TakenOff::Cancelled;
        }
        TakenOff::From(worker, job)
    }

    fn release(&mut self, task: TaskKey, units: &mut impl Units) {
        let team = self.ledger.get(task).map(|found| found.submission.team);
        if self.placer.end(task)
            && let Some(team) = team
        {
            units.give_back(team);
        }
    }

    fn on_worker(&self, task: TaskKey) -> Option<Start> {
        let worker = self.placer.worker_of(task)?;
        let epoch = self.ledger.get(task)?.epoch;
        Some(Start {
            task,
            worker,
            epoch,
        })
    }

    fn waiting(&self, task: TaskKey) -> Option<Waiting> {
        let found = self.ledger.get(task)?;
        let submission = &found.submission;
        let job = self.ledger.job(found.job)?;
        let estimate = job.estimate(&submission.size, submission.run_time);
        let size = self
            .ledger
            .estimated_size(task, self.placer.workers().largest())?;
        let mut avoid = found.failed_on.iter().rev().copied();
        Some(Waiting {
            task,
            team: submission.team,
            class: Class::from(submission.urgency),
            size,
            run_time: estimate.run_time.mul_f64(1.0 - found.progress),
            deadline: submission.deadline,
            since: found.submitted,
            avoid: [avoid.next(), avoid.next()],
        })
    }

    /// Stops waiting tasks that no worker is large enough for any more.
    fn stop_too_large(&mut self, now: UnixMs) {
        let workers = self.placer.workers();
        let too_large = self.ledger.tasks().filter(|(task, found)| {
            let state = self.ledger.state(*task);
            let waits = matches!(
                state,
                Some(TaskState::Queued | TaskState::Claiming | TaskState::Claimed)
            );
            waits && !workers.could_hold(&found.submission.size)
        });
        let too_large: Vec<(TaskKey, Option<Resources>)> = too_large
            .map(|(task, found)| (task, workers.largest_for(&found.submission.size)))
            .collect();
        for (task, largest) in too_large {
            let reason = StopReason::LargerThanAnyWorker { largest };
            self.ledger.end(task, TaskState::Stopped(reason), now);
        }
    }
}

/// What became of a task that was to be taken off its worker.
enum TakenOff {
    /// The report is of an earlier claim.
    Stale,
    /// It was to be cancelled, which has happened now.
    Cancelled,
    /// It ran on this worker and waits for what comes next.
    From(WorkerKey, JobKey),
}
