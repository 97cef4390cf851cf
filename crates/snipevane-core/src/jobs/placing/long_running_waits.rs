//! Long-running tasks that have no run that works, and the reasons.

use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};
use smol_str::SmolStr;

use super::tasks::first_task_ref;
use super::wait_reason::WaitOutlook;
use crate::jobs::event::SchedulerEvent;
use crate::jobs::model::job::Job;
use crate::jobs::model::keys::{JobKey, MinionKey, StepRef, TaskRef};
use crate::jobs::model::run::RunPhase;
use crate::jobs::scheduler::Scheduler;

/// Interval at which waiting tasks are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a task waits before it is reported.
const REPORT_AFTER: Duration = Duration::from_secs(3);

/// Interval at which a task that goes on waiting is reported again.
const REPORT_INTERVAL: Duration = Duration::from_secs(4);

/// Largest number of tasks of a step that were never started and count as waiting.
const MAX_UNTRIED: usize = 100;

/// Largest number of tasks that are reported in one round.
const MAX_REPORTS: usize = 20;

/// Wait of a task that has no run that works.
#[derive(Clone, Copy, Debug)]
struct Wait {
    since: Duration,
    reported_at: Option<Duration>,
}

impl Wait {
    fn is_due(&self, now: Duration) -> bool {
        let last = self.reported_at.map(|at| at + REPORT_INTERVAL);
        now >= last.unwrap_or(self.since + REPORT_AFTER)
    }
}

/// Long-running tasks that have no run that works.
#[derive(Clone, Debug, Default)]
pub(in crate::jobs) struct LongRunningWaits {
    waits: FxHashMap<(JobKey, TaskRef), Wait>,
    check_at: Duration,
}

impl LongRunningWaits {
    /// Records which tasks wait now. Those that wait on keep the beginning of their wait.
    fn record(&mut self, waiting: &[(JobKey, TaskRef)], now: Duration) {
        let present: FxHashSet<_> = waiting.iter().collect();
        self.waits.retain(|task, _| present.contains(task));
        for &task in waiting {
            self.waits.entry(task).or_insert(Wait {
                since: now,
                reported_at: None,
            });
        }
    }

    /// Returns the tasks to report now with the times for which they have waited, the longest first, and records
    /// that they are reported.
    fn take_due(&mut self, now: Duration) -> Vec<(JobKey, TaskRef, Duration)> {
        let due = self.waits.iter().filter(|(_, wait)| wait.is_due(now));
        let due = due.map(|(&(job, task), wait)| (job, task, now.saturating_sub(wait.since)));
        let mut due: Vec<_> = due.collect();
        due.sort_by_key(|&(job, task, waited)| (std::cmp::Reverse(waited), job, task));
        due.truncate(MAX_REPORTS);
        for &(job, task, _) in &due {
            if let Some(wait) = self.waits.get_mut(&(job, task)) {
                wait.reported_at = Some(now);
            }
        }
        due
    }
}

impl Scheduler {
    /// Reports the long-running tasks that have waited for a while, each with the reason.
    pub(in crate::jobs) fn report_long_running_waits(&mut self, now: Duration) {
        if now < self.long_running_waits.check_at {
            return;
        }
        let waiting = self.waiting_long_running_tasks();
        self.long_running_waits.check_at = now + CHECK_INTERVAL;
        self.long_running_waits.record(&waiting, now);
        let due = self.long_running_waits.take_due(now);
        if due.is_empty() {
            return;
        }
        let schedulable = self.schedulable_minions(now);
        let unreported_pools = self.unreported_pools(now);
        for (job, task, waited) in due {
            self.report_long_running_wait(job, task, waited, &schedulable, &unreported_pools, now);
        }
    }

    fn report_long_running_wait(
        &mut self,
        key: JobKey,
        task: TaskRef,
        waited: Duration,
        schedulable: &FxHashMap<SmolStr, Vec<MinionKey>>,
        unreported_pools: &FxHashSet<SmolStr>,
        now: Duration,
    ) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let (id, pool) = (job.task_id(task), job.spec.pool.clone());
        let outlook = WaitOutlook {
            minions: schedulable.get(&pool).map_or(&[][..], Vec::as_slice),
            has_unreported_runs: unreported_pools.contains(&pool),
            now,
        };
        let reason = self.wait_reason(key, task, &outlook);
        self.events.push(SchedulerEvent::LongRunningTaskWaits {
            task: id,
            reason,
            waited,
            left: reason.until().map(|until| until.saturating_sub(now)),
            minions: outlook.minions.len(),
            pool,
        });
    }

    /// Returns the number of long-running tasks without a run that works, by pool.
    pub(in crate::jobs) fn long_running_waits_by_pool(&self) -> FxHashMap<SmolStr, u64> {
        let mut counts: FxHashMap<SmolStr, u64> = FxHashMap::default();
        for (job, _) in self.long_running_waits.waits.keys() {
            if let Some(job) = self.jobs.get(*job) {
                *counts.entry(job.spec.pool.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// Returns the long-running tasks whose turn has come and that have no run that works, as far as is known.
    fn waiting_long_running_tasks(&self) -> Vec<(JobKey, TaskRef)> {
        let live = self.jobs.iter().filter(|(_, job)| !job.state.is_final());
        let waiting = live.flat_map(|(key, job)| {
            let steps = long_running_steps(key, job);
            let tasks = steps.flat_map(|step| self.tasks_without_work(job, step));
            tasks.map(move |task| (key, task))
        });
        waiting.collect()
    }

    fn tasks_without_work(&self, job: &Job, at: StepRef) -> Vec<TaskRef> {
        let Some(step) = job.step(first_task_ref(at)) else {
            return Vec::new();
        };
        let waiting = step.records().filter(|(_, task)| {
            let mut runs = task.runs.iter().filter_map(|&run| self.runs.get(run));
            let works = runs.any(|run| {
                let minion = self.minions.get(run.minion);
                run.phase == RunPhase::Running && minion.is_some_and(|minion| !minion.suspect)
            });
            !task.done && !works
        });
        let waiting = waiting.map(|(index, _)| index);
        let waiting = waiting.chain(step.untried(MAX_UNTRIED));
        let refs = waiting.map(|index| TaskRef {
            index,
            ..first_task_ref(at)
        });
        refs.collect()
    }
}

/// Returns the opened long-running steps of a job whose dependencies are done.
fn long_running_steps(key: JobKey, job: &Job) -> impl Iterator<Item = StepRef> + '_ {
    let steps = job.opened_steps().filter(|(first, _)| {
        let spec = job.spec.steps.get(first.step as usize);
        spec.is_some_and(|spec| spec.long_running) && job.is_ready(first.occurrence, first.step)
    });
    steps.map(move |(first, _)| StepRef {
        job: key,
        occurrence: first.occurrence,
        step: first.step,
    })
}
