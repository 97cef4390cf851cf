//! Runs seeded tasks on workers with faults under a policy.

use std::collections::HashMap;

use snipevane_core::placement::Resources;
use snipevane_core::pools::UnixMs;
use snipevane_proto::manifest::Urgency;

use super::faults::{Fault, FaultKind, faults};
use super::setting::Size;
use super::share_meter::ShareMeter;
use super::task_policy::{Started, TaskPolicy};
use super::workload::{SimTask, Workload, weights};

const STEP_SECS: f64 = 0.5;

/// Time within which urgent work starts.
const URGENT_START_SECS: f64 = 7.7;

/// Time after which a worker's lease lapses if it doesn't renew it.
const LEASE_SECS: f64 = 10.0;

/// Time after which a broken worker fails a task.
const BROKEN_FAILS_AFTER_SECS: f64 = 1.0;

/// Work that a paused worker reports as done when it goes on.
const NEARLY_DONE_SECS: f64 = 10.0;

/// Time that a run goes on without new tasks, as a multiple of its length.
const SETTLE: f64 = 1.5;

/// What a run of tasks showed.
#[derive(Clone, Debug, Default)]
pub(super) struct TaskResult {
    pub(super) submitted: usize,
    pub(super) cancelled: usize,
    pub(super) done: usize,
    pub(super) urgent: usize,
    pub(super) urgent_late: usize,
    pub(super) urgent_worst_secs: f64,
    pub(super) deferred: usize,
    pub(super) deferred_late: usize,
    pub(super) lost: usize,
    pub(super) doubled: usize,
    pub(super) failed_attempts: usize,
    pub(super) shares: ShareMeter,
}

#[derive(Clone, Copy, Debug)]
struct Execution {
    started: Started,
    left_secs: f64,
    ran_secs: f64,
    reported: bool,
}

#[derive(Clone, Debug, Default)]
struct SimWorker {
    executions: Vec<Execution>,
    down: bool,
    broken: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Fate {
    submitted_secs: f64,
    started: bool,
    waits: bool,
    done: u32,
    cancelled: bool,
}

/// Workers, tasks and faults of a run.
pub(super) struct TaskRun<P> {
    policy: P,
    size: Size,
    workload: Workload,
    faults: Vec<Fault>,
    workers: Vec<SimWorker>,
    tasks: Vec<SimTask>,
    fates: Vec<Fate>,
    /// Progress that checkpoints keep.
    saved: HashMap<usize, f64>,
    used: Vec<f64>,
    waiting: Vec<f64>,
    urgent_waiting: f64,
    open: usize,
    result: TaskResult,
}

impl<P: TaskPolicy> TaskRun<P> {
    pub(super) fn new(policy: P, size: Size, seed: u64) -> Self {
        Self {
            policy,
            size,
            workload: Workload::new(size, seed),
            faults: faults(&size, seed),
            workers: vec![SimWorker::default(); size.workers],
            tasks: Vec::new(),
            fates: Vec::new(),
            saved: HashMap::new(),
            used: vec![0.0; size.teams],
            waiting: vec![0.0; size.teams],
            urgent_waiting: 0.0,
            open: 0,
            result: TaskResult {
                shares: ShareMeter::new(weights(size.teams)),
                ..TaskResult::default()
            },
        }
    }

    /// Runs to the end and returns what was seen.
    pub(super) fn run(mut self) -> TaskResult {
        let run_secs = self.size.tasks_for.as_secs_f64();
        let mut secs = 0.0;
        while secs < run_secs || (self.open > 0 && secs < run_secs * (1.0 + SETTLE)) {
            secs += STEP_SECS;
            self.step(secs);
        }
        self.account(secs);
        self.result
    }

    fn step(&mut self, secs: f64) {
        let now = UnixMs((secs * 1000.0) as u64);
        for task in self.workload.step(secs, STEP_SECS) {
            self.submit(task, secs, now);
        }
        if let Some((team, job)) = self.workload.cancelled(secs, STEP_SECS) {
            self.cancel(team, &job, now);
        }
        self.pass_faults(secs, now);
        for worker in 0..self.workers.len() {
            self.progress(worker, secs, now);
        }
        let asked = self.policy.round(now);
        for started in asked.checkpoint {
            self.checkpoint(started, now);
        }
        for started in asked.start {
            self.start(started, secs);
        }
        let by_day = secs < super::workload::DAY_PART * self.size.tasks_for.as_secs_f64();
        if by_day && secs.fract() == 0.0 {
            let capacity = self.capacity();
            self.result
                .shares
                .sample(secs, &self.used, &self.waiting, capacity);
        }
    }

    fn submit(&mut self, task: SimTask, secs: f64, now: UnixMs) {
        let index = self.tasks.len();
        self.policy.submit(index, &task, now);
        self.fates.push(Fate {
            submitted_secs: secs,
            ..Fate::default()
        });
        self.tasks.push(task);
        self.open += 1;
        self.wait(index);
    }

    fn cancel(&mut self, team: usize, job: &smol_str::SmolStr, now: UnixMs) {
        for index in 0..self.tasks.len() {
            let task = &self.tasks[index];
            let fate = self.fates[index];
            if task.team != team || task.job != *job || fate.done > 0 || fate.cancelled {
                continue;
            }
            self.fates[index].cancelled = true;
            self.open -= 1;
            self.result.cancelled += 1;
            self.wait_no_longer(index);
        }
        for started in self.policy.cancel_job(team, job, now) {
            self.remove(started);
            self.policy.failed(started, now);
        }
    }

    fn pass_faults(&mut self, secs: f64, now: UnixMs) {
        for fault in self.faults.clone() {
            let begins = passes(fault.from_secs, secs);
            let ends = passes(fault.to_secs, secs);
            let lapses = passes(fault.from_secs + LEASE_SECS, secs);
            let worker = fault.worker;
            match fault.kind {
                FaultKind::Broken if begins => self.workers[worker].broken = true,
                FaultKind::Broken if ends => self.workers[worker].broken = false,
                FaultKind::Broken => {}
                _ if begins => self.workers[worker].down = true,
                _ if lapses => self.lapse(fault, now),
                _ if ends => self.come_back(fault, now),
                _ => {}
            }
        }
    }

    fn lapse(&mut self, fault: Fault, now: UnixMs) {
        self.policy.lapsed(fault.worker, now);
        for execution in self.workers[fault.worker].executions.clone() {
            self.use_less(execution.started.task);
            self.wait(execution.started.task);
        }
        if fault.kind == FaultKind::Down {
            self.workers[fault.worker].executions.clear();
        }
    }

    /// Lets a worker go on; one that was paused reports what it had nearly done.
    fn come_back(&mut self, fault: Fault, now: UnixMs) {
        self.workers[fault.worker].down = false;
        for execution in std::mem::take(&mut self.workers[fault.worker].executions) {
            if execution.left_secs <= NEARLY_DONE_SECS && !self.tasks[execution.started.task].broken
            {
                self.finish(execution.started, now);
            }
        }
        self.policy.returned(fault.worker);
    }

    fn progress(&mut self, worker: usize, secs: f64, now: UnixMs) {
        if self.workers[worker].down || self.workers[worker].executions.is_empty() {
            return;
        }
        let broken = self.workers[worker].broken;
        let speed = self.speed(worker);
        let mut ended = Vec::new();
        let mut unreported = Vec::new();
        let executions = &mut self.workers[worker].executions;
        executions.retain_mut(|execution| {
            execution.left_secs -= STEP_SECS * speed;
            execution.ran_secs += STEP_SECS;
            if !execution.reported {
                execution.reported = true;
                unreported.push(execution.started);
            }
            let fails = broken && execution.ran_secs >= BROKEN_FAILS_AFTER_SECS;
            let over = fails || execution.left_secs <= 0.0;
            if over {
                ended.push((execution.started, fails));
            }
            !over
        });
        for started in unreported {
            let used = self.tasks[started.task].actual;
            self.policy.usage(started, used);
        }
        for (started, fails) in ended {
            self.use_less(started.task);
            if fails || self.tasks[started.task].broken {
                self.result.failed_attempts += 1;
                self.wait(started.task);
                self.policy.failed(started, now);
                self.give_up(started.task);
            } else {
                self.finish(started, now);
                self.note_deadline(started.task, secs);
            }
        }
    }

    fn finish(&mut self, started: Started, now: UnixMs) {
        if !self.policy.finished(started, now) {
            return;
        }
        self.wait_no_longer(started.task);
        let fate = &mut self.fates[started.task];
        fate.done += 1;
        if fate.done == 1 && !fate.cancelled {
            self.open -= 1;
        }
    }

    fn note_deadline(&mut self, task: usize, secs: f64) {
        let deadline = self.tasks[task].deadline;
        if deadline.is_some_and(|at| secs * 1000.0 > at.0 as f64) {
            self.result.deferred_late += 1;
        }
    }

    /// Closes a task that the policy stopped for good.
    fn give_up(&mut self, task: usize) {
        if self.policy.has_given_up(task) {
            self.wait_no_longer(task);
            self.open -= 1;
        }
    }

    fn checkpoint(&mut self, started: Started, now: UnixMs) {
        let Some(execution) = self.remove(started) else {
            return;
        };
        let run_secs = self.tasks[started.task].run_secs;
        let progress = (1.0 - execution.left_secs / run_secs).clamp(0.0, 1.0);
        self.saved.insert(started.task, progress);
        self.wait(started.task);
        self.policy.checkpointed(started, progress, now);
    }

    fn remove(&mut self, started: Started) -> Option<Execution> {
        let executions = &mut self.workers[started.worker].executions;
        let at = executions.iter().position(|execution| {
            let other = execution.started;
            other.task == started.task && other.attempt == started.attempt
        })?;
        let execution = executions.swap_remove(at);
        self.use_less(started.task);
        Some(execution)
    }

    fn start(&mut self, started: Started, secs: f64) {
        let task = &self.tasks[started.task];
        let progress = self.saved.get(&started.task).copied().unwrap_or_default();
        let execution = Execution {
            started,
            left_secs: task.run_secs * (1.0 - progress),
            ran_secs: 0.0,
            reported: false,
        };
        let first = !self.fates[started.task].started;
        if task.urgency == Urgency::Urgent && first {
            let waited = secs - self.fates[started.task].submitted_secs;
            self.note_urgent(waited);
        }
        self.fates[started.task].started = true;
        self.wait_no_longer(started.task);
        self.use_more(started.task);
        self.workers[started.worker].executions.push(execution);
    }

    fn note_urgent(&mut self, waited_secs: f64) {
        self.result.urgent_worst_secs = self.result.urgent_worst_secs.max(waited_secs);
        // An order that knew all could have started it, unless urgent work alone fills the fleet.
        let could = self.urgent_waiting < self.capacity();
        self.result.urgent_late += usize::from(waited_secs > URGENT_START_SECS && could);
    }

    fn account(&mut self, secs: f64) {
        self.result.submitted = self.tasks.len();
        for (index, task) in self.tasks.iter().enumerate() {
            let fate = self.fates[index];
            self.result.urgent += usize::from(task.urgency == Urgency::Urgent);
            self.result.deferred += usize::from(task.urgency == Urgency::Overnight);
            self.result.done += usize::from(fate.done > 0);
            self.result.doubled += usize::from(fate.done > 1);
            let lost = fate.done == 0 && !fate.cancelled && !task.broken;
            self.result.lost += usize::from(lost);
            let never = !fate.started && secs - fate.submitted_secs > URGENT_START_SECS;
            let late = task.urgency == Urgency::Urgent && never;
            self.result.urgent_late += usize::from(late);
        }
    }

    /// Returns how fast tasks run on a worker that may be overcommitted.
    fn speed(&self, worker: usize) -> f64 {
        let executions = &self.workers[worker].executions;
        let used = executions.iter().fold(Resources::default(), |sum, one| {
            sum.plus(&self.tasks[one.started.task].actual)
        });
        let capacity = self.size.worker.cpu_millis as f64;
        (capacity / used.cpu_millis as f64).min(1.0)
    }

    /// Returns the cores of the workers that work; no order of tasks could use the others.
    fn capacity(&self) -> f64 {
        let working = self.workers.iter().filter(|one| !one.down && !one.broken);
        working.count() as f64 * cores(&self.size.worker)
    }

    fn use_more(&mut self, task: usize) {
        let task = &self.tasks[task];
        if task.urgency != Urgency::Overnight {
            self.used[task.team] += cores(&task.actual);
        }
    }

    fn use_less(&mut self, task: usize) {
        let task = &self.tasks[task];
        if task.urgency != Urgency::Overnight {
            self.used[task.team] -= cores(&task.actual);
        }
    }

    fn wait(&mut self, index: usize) {
        let fate = &mut self.fates[index];
        if fate.waits || fate.cancelled || fate.done > 0 {
            return;
        }
        fate.waits = true;
        self.count_waiting(index, 1.0);
    }

    fn wait_no_longer(&mut self, index: usize) {
        if !self.fates[index].waits {
            return;
        }
        self.fates[index].waits = false;
        self.count_waiting(index, -1.0);
    }

    fn count_waiting(&mut self, index: usize, sign: f64) {
        let task = &self.tasks[index];
        let work = sign * cores(&task.actual);
        match task.urgency {
            Urgency::Overnight => return,
            Urgency::Urgent => self.urgent_waiting += work,
            Urgency::Normal => {}
        }
        self.waiting[task.team] += work;
    }
}

fn passes(at_secs: f64, secs: f64) -> bool {
    secs - STEP_SECS < at_secs && at_secs <= secs
}

fn cores(size: &Resources) -> f64 {
    size.cpu_millis as f64 / 1000.0
}
