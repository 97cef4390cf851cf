//! Demand of the jobs of each pool, from which the number of its VMs is planned.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

use crate::jobs::model::job::{Job, OpenTasks};
use crate::jobs::model::spec::StepSpec;
use crate::jobs::queueing::rank::EXPIRY_FACTOR;
use crate::jobs::scheduler::Scheduler;

/// Window in which an accepted job counts as a recent arrival.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(800);

/// Number of recent arrivals from which their rate is expected to continue.
const MIN_ARRIVALS: u32 = 4;

/// Fraction of the arrival rate that is planned for; the rest shows in the backlog.
const PLANNED_ARRIVAL_FRACTION: f64 = 0.75;

const MILLIS_PER_CORE: f64 = 1_000.0;

/// Work of a group of jobs, without long-running and best-effort tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// CPU time that the tasks still need, in core-seconds.
    pub core_seconds: f64,
    /// CPU of the running tasks, in thousandths of a core.
    pub running_cpu_millis: u64,
    /// CPU of the tasks that could run now if there were room, in thousandths of a core.
    pub ready_cpu_millis: u64,
}

/// Demand on a pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Work of jobs whose deadline hasn't passed and that are within their team's rate share.
    pub on_time: Work,
    /// Work of other jobs that haven't expired: late ones and those over their team's rate share.
    pub late: Work,
    /// CPU needed to keep up with the rate of recent arrivals, in thousandths of a core; 0 if there
    /// were few.
    pub arrival_cpu_millis: u64,
    recent_arrivals: u32,
    recent_core_seconds: f64,
    /// CPU of long-running tasks, in thousandths of a core.
    pub long_running_cpu_millis: u64,
    /// Memory of long-running tasks, in mebibytes.
    pub long_running_memory_mib: u64,
    /// Largest number of minions that a long-running step needs because of its limit of tasks per
    /// minion.
    pub min_minions: usize,
}

impl Scheduler {
    /// Returns the demand on each pool.
    pub fn demand(&self, now: Duration) -> FxHashMap<SmolStr, Demand> {
        let mut demands: FxHashMap<SmolStr, Demand> = FxHashMap::default();
        let active_jobs = self.jobs.values().filter(|job| !job.state.is_final());
        for job in active_jobs {
            let time_allowed = job.deadline.saturating_sub(job.accepted_at);
            let on_time = now <= job.deadline && !job.over_rate_share;
            let is_useful = now <= job.accepted_at + time_allowed * EXPIRY_FACTOR;
            let demand = demands.entry(job.spec.pool.clone()).or_default();
            if !job.over_rate_share {
                add_arrival(demand, job, now);
            }
            add_long_running_steps(demand, job);
            if on_time {
                add_job(&mut demand.on_time, job);
            } else if is_useful {
                add_job(&mut demand.late, job);
            }
        }
        for demand in demands.values_mut() {
            demand.set_arrival_cpu();
        }
        demands
    }
}

impl Demand {
    /// Sets the CPU needed to keep up with the rate of recent arrivals.
    fn set_arrival_cpu(&mut self) {
        if self.recent_arrivals < MIN_ARRIVALS {
            return;
        }
        let per_s = self.recent_core_seconds / ARRIVAL_WINDOW.as_secs_f64();
        self.arrival_cpu_millis = (per_s * MILLIS_PER_CORE * PLANNED_ARRIVAL_FRACTION) as u64;
    }
}

/// Adds a job to the recent arrivals, if it is one.
fn add_arrival(demand: &mut Demand, job: &Job, now: Duration) {
    if now > job.accepted_at + ARRIVAL_WINDOW {
        return;
    }
    let short = job
        .spec
        .steps
        .iter()
        .filter(|spec| !spec.long_running && !spec.best_effort);
    let core_seconds = short.map(|spec| {
        let cores = spec.cpu_millis as f64 / MILLIS_PER_CORE;
        f64::from(spec.tasks) * cores * spec.estimate().as_secs_f64()
    });
    demand.recent_core_seconds += core_seconds.sum::<f64>();
    demand.recent_arrivals += 1;
}

fn add_long_running_steps(demand: &mut Demand, job: &Job) {
    let steps = job.spec.steps.iter().filter(|spec| spec.long_running);
    for spec in steps {
        add_long_running_step(demand, spec, job.due());
    }
}

fn add_job(work: &mut Work, job: &Job) {
    for (tasks, spec) in job.open_tasks().into_iter().zip(&job.spec.steps) {
        if !spec.long_running && !spec.best_effort {
            add_step(work, tasks, spec);
        }
    }
}

fn add_long_running_step(demand: &mut Demand, spec: &StepSpec, occurrences: u32) {
    let tasks = u64::from(spec.tasks) * u64::from(occurrences);
    let size = spec.allocated_size().times(tasks);
    add_to(&mut demand.long_running_cpu_millis, size.cpu_millis);
    add_to(&mut demand.long_running_memory_mib, size.memory_mib);
    if let Some(limit) = spec.max_per_minion {
        let minions = spec.tasks.div_ceil(limit.max(1)) as usize;
        demand.min_minions = demand.min_minions.max(minions);
    }
}

fn add_step(work: &mut Work, tasks: OpenTasks, spec: &StepSpec) {
    let cores = spec.cpu_millis as f64 / MILLIS_PER_CORE;
    let seconds = spec.estimate().as_secs_f64();
    // On average, a running task has done half of its work.
    let left = tasks.waiting as f64 + tasks.running as f64 / 2.0;
    work.core_seconds += left * cores * seconds;
    let cpu_millis = |tasks: u64| spec.cpu_millis.saturating_mul(tasks);
    add_to(&mut work.running_cpu_millis, cpu_millis(tasks.running));
    add_to(&mut work.ready_cpu_millis, cpu_millis(tasks.ready));
}

/// Adds to a sum that stays at the largest value.
fn add_to(sum: &mut u64, value: u64) {
    *sum = sum.saturating_add(value);
}
