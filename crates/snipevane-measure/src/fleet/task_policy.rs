//! What a run asks of a policy for tasks, and the core's policy.

use std::collections::HashMap;

use slotmap::SlotMap;
use smol_str::{SmolStr, format_smolstr};
use snipevane_core::ids::{TaskKey, TeamKey, WorkerKey};
use snipevane_core::placement::{PlacerSettings, Resources, Units};
use snipevane_core::pools::UnixMs;
use snipevane_core::tasks::{
    Report, Scheduler, SchedulerSettings, Start, Submission, Submitted, TaskAction, TaskId,
    TaskState,
};

use super::workload::SimTask;

/// A task that a policy starts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Started {
    pub(super) task: usize,
    pub(super) worker: usize,
    /// Number of the task's start.
    pub(super) attempt: u32,
}

/// What a policy asks of the workers in a round.
#[derive(Clone, Debug, Default)]
pub(super) struct Asked {
    pub(super) start: Vec<Started>,
    pub(super) checkpoint: Vec<Started>,
}

/// A policy for tasks under the events of a run.
pub(super) trait TaskPolicy {
    fn submit(&mut self, index: usize, task: &SimTask, now: UnixMs);
    fn round(&mut self, now: UnixMs) -> Asked;
    fn usage(&mut self, started: Started, used: Resources);
    /// Returns whether the policy takes the task as done.
    fn finished(&mut self, started: Started, now: UnixMs) -> bool;
    fn failed(&mut self, started: Started, now: UnixMs);
    fn checkpointed(&mut self, started: Started, progress: f64, now: UnixMs);
    fn lapsed(&mut self, worker: usize, now: UnixMs);
    fn returned(&mut self, worker: usize);
    /// Returns the tasks of the job that are to be stopped on workers.
    fn cancel_job(&mut self, team: usize, job: &SmolStr, now: UnixMs) -> Vec<Started>;
    /// Returns whether the policy has stopped the task for good, other than by its end.
    fn has_given_up(&self, task: usize) -> bool;
}

/// Units without a limit; the runs measure shares, not limits.
struct Unlimited;

impl Units for Unlimited {
    fn take(&mut self, _: TeamKey) -> bool {
        true
    }

    fn give_back(&mut self, _: TeamKey) {}
}

/// Most claims that are written in one round.
const CLAIMS_IN_ROUND: usize = 4096;

/// The core's scheduler.
pub(super) struct CorePolicy {
    scheduler: Scheduler,
    teams: Vec<TeamKey>,
    workers: Vec<WorkerKey>,
    worker_index: HashMap<WorkerKey, usize>,
    capacity: Resources,
    tasks: Vec<Option<TaskKey>>,
    task_index: HashMap<TaskKey, usize>,
    starts: HashMap<(usize, u32), Start>,
}

impl CorePolicy {
    pub(super) fn new(weights: &[u32], workers: usize, capacity: Resources) -> Self {
        let mut team_keys = SlotMap::with_key();
        let mut worker_keys = SlotMap::with_key();
        let settings = SchedulerSettings {
            placer: PlacerSettings::default(),
            ..SchedulerSettings::default()
        };
        let mut scheduler = Scheduler::new(settings);
        let teams: Vec<TeamKey> = weights.iter().map(|_| team_keys.insert(())).collect();
        for (&team, &weight) in teams.iter().zip(weights) {
            scheduler.set_weight(team, weight);
        }
        let workers: Vec<WorkerKey> = (0..workers).map(|_| worker_keys.insert(())).collect();
        for &worker in &workers {
            scheduler.add_worker(worker, capacity);
        }
        let worker_index = workers.iter().enumerate().map(|(index, &key)| (key, index));
        Self {
            scheduler,
            teams,
            worker_index: worker_index.collect(),
            workers,
            capacity,
            tasks: Vec::new(),
            task_index: HashMap::new(),
            starts: HashMap::new(),
        }
    }

    fn started(&self, start: &Start) -> Option<Started> {
        Some(Started {
            task: *self.task_index.get(&start.task)?,
            worker: *self.worker_index.get(&start.worker)?,
            attempt: start.epoch.0,
        })
    }

    fn start(&mut self, started: Started) -> Option<Start> {
        self.starts.get(&(started.task, started.attempt)).copied()
    }
}

impl TaskPolicy for CorePolicy {
    fn submit(&mut self, index: usize, task: &SimTask, now: UnixMs) {
        let submission = Submission {
            id: TaskId(format_smolstr!("{index}")),
            team: self.teams[task.team],
            job: task.job.clone(),
            size: task.declared,
            run_time: task.declared_run,
            deadline: task.deadline,
            urgency: task.urgency,
        };
        let key = match self.scheduler.submit(submission, now) {
            Ok(Submitted::New(key) | Submitted::Known(key)) => Some(key),
            Err(_) => None,
        };
        self.tasks.resize(index + 1, None);
        self.tasks[index] = key;
        if let Some(key) = key {
            self.task_index.insert(key, index);
        }
    }

    fn round(&mut self, now: UnixMs) -> Asked {
        let claims = self.scheduler.claim(CLAIMS_IN_ROUND);
        self.scheduler.claims_written(&claims, true);
        let mut asked = Asked::default();
        for action in self.scheduler.round(now, &mut Unlimited) {
            match action {
                TaskAction::Start(start) => {
                    if let Some(started) = self.started(&start) {
                        self.starts.insert((started.task, started.attempt), start);
                        asked.start.push(started);
                    }
                }
                TaskAction::Checkpoint(start) => asked.checkpoint.extend(self.started(&start)),
                TaskAction::Stop(_) | TaskAction::Throttle(_) => {}
            }
        }
        asked
    }

    fn usage(&mut self, started: Started, used: Resources) {
        if let Some(start) = self.start(started) {
            self.scheduler.usage(start.task, start.epoch, used);
        }
    }

    fn finished(&mut self, started: Started, now: UnixMs) -> bool {
        let Some(start) = self.start(started) else {
            return false;
        };
        let report = self
            .scheduler
            .finished(start.task, start.epoch, now, &mut Unlimited);
        report == Report::Accepted
    }

    fn failed(&mut self, started: Started, now: UnixMs) {
        if let Some(start) = self.start(started) {
            self.scheduler
                .failed(start.task, start.epoch, now, &mut Unlimited);
        }
    }

    fn checkpointed(&mut self, started: Started, progress: f64, now: UnixMs) {
        if let Some(start) = self.start(started) {
            self.scheduler
                .checkpointed(start.task, start.epoch, progress, now, &mut Unlimited);
        }
    }

    fn lapsed(&mut self, worker: usize, now: UnixMs) {
        let worker = self.workers[worker];
        self.scheduler.lapsed(worker, now, &mut Unlimited);
    }

    fn returned(&mut self, worker: usize) {
        let worker = self.workers[worker];
        self.scheduler.add_worker(worker, self.capacity);
    }

    fn cancel_job(&mut self, team: usize, job: &SmolStr, now: UnixMs) -> Vec<Started> {
        let actions = self.scheduler.cancel_job(self.teams[team], job, now);
        let stopped = actions.iter().filter_map(|action| match action {
            TaskAction::Stop(start) => self.started(start),
            _ => None,
        });
        stopped.collect()
    }

    fn has_given_up(&self, task: usize) -> bool {
        let key = self.tasks.get(task).copied().flatten();
        let state = key.and_then(|key| self.scheduler.ledger().state(key));
        matches!(state, Some(TaskState::Stopped(_)))
    }
}
