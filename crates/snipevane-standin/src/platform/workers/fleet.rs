//! Simulated workers with their leases and tasks.

use std::collections::BTreeMap;

use snipevane_proto::platform::{
    LeaseRequest, Resources, StartTask, TaskAction, TaskCommand, TaskRun, TaskState, WorkerRefusal,
    WorkerReport, WorkerSpec,
};

use super::task::SimulatedTask;

/// Time for which an ended task is still reported, in microseconds.
const ENDED_TASK_RETENTION_US: u64 = 600_000_000;

/// Lease on a worker, without which it runs no tasks.
#[derive(Clone, Debug)]
struct Lease {
    holder: String,
    epoch: u64,
    expires_us: u64,
}

#[derive(Debug)]
struct Worker {
    spec: WorkerSpec,
    lease: Option<Lease>,
    /// All tasks, in the order in which they started.
    tasks: Vec<SimulatedTask>,
    /// Index in `tasks` of the latest run of each task identifier.
    latest: BTreeMap<String, usize>,
}

/// All workers; times are in microseconds since the Unix epoch.
#[derive(Debug, Default)]
pub(crate) struct WorkerFleet {
    workers: BTreeMap<String, Worker>,
}

impl WorkerFleet {
    /// Sets the workers; workers that were there before keep their leases and tasks.
    pub(crate) fn set(&mut self, specs: Vec<WorkerSpec>) {
        let mut previous = std::mem::take(&mut self.workers);
        for spec in specs {
            let worker = previous.remove(&spec.id).map_or_else(
                || Worker {
                    spec: spec.clone(),
                    lease: None,
                    tasks: Vec::new(),
                    latest: BTreeMap::new(),
                },
                |worker| Worker {
                    spec: spec.clone(),
                    ..worker
                },
            );
            self.workers.insert(spec.id, worker);
        }
    }

    /// Acquires or renews the lease on a worker.
    pub(crate) fn lease(&mut self, req: LeaseRequest, now_us: u64) -> Result<(), WorkerRefusal> {
        let worker = self.worker(&req.worker, now_us)?;
        let superseded = worker.lease.as_ref().is_some_and(|lease| {
            let other = lease.holder != req.holder;
            req.epoch < lease.epoch || (req.epoch == lease.epoch && other)
        });
        if superseded {
            return Err(WorkerRefusal::Stale);
        }
        worker.lease = Some(Lease {
            holder: req.holder,
            epoch: req.epoch,
            expires_us: now_us + u64::from(req.term_ms) * 1000,
        });
        Ok(())
    }

    /// Executes a command; if `fails`, a started task fails at once.
    ///
    /// A command that was executed before is accepted again.
    pub(crate) fn command(
        &mut self,
        command: TaskCommand,
        fails: bool,
        now_us: u64,
    ) -> Result<(), WorkerRefusal> {
        let worker = self.worker(&command.worker, now_us)?;
        worker.check_lease(command.lease_epoch, now_us)?;
        let action = match command.action {
            TaskAction::Start(start) => {
                return worker.start(command.task, command.epoch, start, fails, now_us);
            }
            action => action,
        };
        let index = worker.latest.get(&command.task).copied();
        let task = index.and_then(|index| worker.tasks.get_mut(index));
        let task = task.ok_or(WorkerRefusal::UnknownTask)?;
        if task.epoch != command.epoch {
            return Err(WorkerRefusal::Stale);
        }
        match action {
            TaskAction::Checkpoint => task.end(TaskState::Checkpointed, now_us),
            TaskAction::Stop => task.end(TaskState::Stopped, now_us),
            TaskAction::Throttle(throttle) => task.throttle(throttle.percent, now_us),
            TaskAction::Start(_) => {}
        }
        Ok(())
    }

    /// Returns the reports of all workers as of `report_time_us`.
    pub(crate) fn reports(&mut self, report_time_us: u64, now_us: u64) -> Vec<WorkerReport> {
        self.advance(now_us);
        let retained_since_us = report_time_us.saturating_sub(ENDED_TASK_RETENTION_US);
        let reports = self.workers.values().map(|worker| {
            let tasks = worker.tasks.iter();
            let tasks = tasks.filter(|task| !task.ended_before(retained_since_us));
            WorkerReport {
                worker: worker.spec.clone(),
                tasks: tasks
                    .filter_map(|task| task.report(report_time_us))
                    .collect(),
            }
        });
        reports.collect()
    }

    /// Returns all task runs in the order in which they started.
    pub(crate) fn runs(&mut self, now_us: u64) -> Vec<TaskRun> {
        self.advance(now_us);
        let workers = self.workers.iter();
        let runs = workers.flat_map(|(id, worker)| worker.tasks.iter().map(|task| task.run(id)));
        let mut runs: Vec<_> = runs.collect();
        runs.sort_by_key(|run| run.start_us);
        runs
    }

    fn worker(&mut self, id: &str, now_us: u64) -> Result<&mut Worker, WorkerRefusal> {
        let worker = self.workers.get_mut(id);
        let worker = worker.ok_or(WorkerRefusal::UnknownWorker)?;
        worker.advance(now_us);
        Ok(worker)
    }

    fn advance(&mut self, now_us: u64) {
        for worker in self.workers.values_mut() {
            worker.advance(now_us);
        }
    }
}

impl Worker {
    /// Ends the tasks that have finished by `now_us`, and all others if the lease has expired.
    fn advance(&mut self, now_us: u64) {
        let lease_end_us = self.lease.as_ref().map_or(0, |lease| lease.expires_us);
        for task in &mut self.tasks {
            task.advance(now_us.min(lease_end_us));
            if now_us >= lease_end_us {
                task.end(TaskState::Lapsed, lease_end_us);
            }
        }
    }

    fn check_lease(&self, epoch: u64, now_us: u64) -> Result<(), WorkerRefusal> {
        let lease = self.lease.as_ref().ok_or(WorkerRefusal::NoLease)?;
        if epoch != lease.epoch {
            return Err(WorkerRefusal::Stale);
        }
        if now_us >= lease.expires_us {
            return Err(WorkerRefusal::NoLease);
        }
        Ok(())
    }

    fn start(
        &mut self,
        id: String,
        epoch: u32,
        start: StartTask,
        fails: bool,
        now_us: u64,
    ) -> Result<(), WorkerRefusal> {
        let previous = self.latest.get(&id).map(|index| self.tasks[*index].epoch);
        if previous == Some(epoch) {
            return Ok(());
        }
        if previous.is_some_and(|previous| previous > epoch) {
            return Err(WorkerRefusal::Stale);
        }
        if !self.has_capacity(&start.reserved) {
            return Err(WorkerRefusal::NoRoom);
        }
        let mut task = SimulatedTask::start(id.clone(), epoch, start, now_us)?;
        if fails {
            task.end(TaskState::Failed, now_us);
        }
        self.latest.insert(id, self.tasks.len());
        self.tasks.push(task);
        Ok(())
    }

    fn has_capacity(&self, requested: &Resources) -> bool {
        let running = self.tasks.iter().filter(|task| task.is_running());
        let reserved = running.map(|task| &task.reserved).chain([requested]);
        let sum = |part: fn(&Resources) -> u32| -> u64 {
            reserved
                .clone()
                .map(|resources| u64::from(part(resources)))
                .sum()
        };
        let capacity = &self.spec.capacity;
        sum(|resources| resources.processors_milli) <= capacity.processors_milli.into()
            && sum(|resources| resources.memory_mb) <= capacity.memory_mb.into()
            && sum(|resources| resources.accelerators) <= capacity.accelerators.into()
    }
}
