//! Specification of a job as submitted by a caller.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::terms::JobTerms;
use crate::placement::Resources;

/// Largest number of tasks in a step.
pub const MAX_STEP_TASKS: u32 = 10_000;

/// Largest number of steps in a job.
pub const MAX_STEPS: usize = 1_000;

/// Largest number of tasks in one occurrence of a job.
pub const MAX_JOB_TASKS: u64 = 100_000;

/// Longest estimate of a task's run time that decisions depend on: ten years.
const MAX_ESTIMATE: Duration = Duration::from_secs(10 * 365 * 24 * 60 * 60);

/// Memory of a step of a specification and of the numbers that the scheduler keeps beside it, in bytes.
const STEP_BYTES: usize = size_of::<StepSpec>() + 80;

/// Length up to which a text needs no memory of its own, in bytes.
const INLINE_TEXT_BYTES: usize = 23;

/// A job as submitted: steps of tasks that run once or at regular intervals.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Queue to which the job was submitted.
    pub queue: SmolStr,
    /// Pool whose minions run the tasks.
    pub pool: SmolStr,
    /// Team whose API key came with the job; none on a queue that requires no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<SmolStr>,
    /// Text passed to each task.
    pub payload: String,
    /// Steps; a step depends only on earlier ones.
    pub steps: Vec<StepSpec>,
    /// Time at which an entry VM accepted the job, in Unix milliseconds.
    pub accepted_unix_ms: u64,
    /// Times at which the steps run; none for a job that runs once and immediately.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
    /// Terms on which the job was accepted; none if an earlier version accepted it, so that its queue decides.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub terms: Option<JobTerms>,
}

/// Schedule of a job that runs repeatedly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Time of the first occurrence, in Unix milliseconds.
    pub first_unix_ms: u64,
    /// Interval between occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub occurrences: u32,
}

impl JobSpec {
    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Returns the time at which an occurrence is due, in Unix milliseconds.
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        match self.schedule {
            None => self.accepted_unix_ms,
            Some(schedule) => {
                let offset = schedule.interval_ms.saturating_mul(u64::from(occurrence));
                schedule.first_unix_ms.saturating_add(offset)
            }
        }
    }

    /// Returns the number of occurrences whose time has come at `unix_ms`, in Unix milliseconds.
    pub fn due_occurrences(&self, unix_ms: u64) -> u32 {
        let Some(schedule) = self.schedule else {
            return 1;
        };
        let Some(elapsed) = unix_ms.checked_sub(schedule.first_unix_ms) else {
            return 0;
        };
        let Some(intervals) = elapsed.checked_div(schedule.interval_ms) else {
            return schedule.occurrences;
        };
        let due = u32::try_from(intervals.saturating_add(1)).unwrap_or(u32::MAX);
        due.min(schedule.occurrences)
    }

    /// Returns the memory that the specification takes, in bytes, about, without its payload. The scheduler keeps a few
    /// numbers for each step beside it.
    pub fn held_bytes(&self) -> usize {
        let lists = self.steps.iter().map(|step| {
            let texts = [&step.label, &step.data_rack];
            let texts = texts.into_iter().flatten().chain([&step.image]);
            let long = texts
                .map(SmolStr::len)
                .filter(|&len| len > INLINE_TEXT_BYTES);
            step.after.len() * size_of::<u32>() + long.sum::<usize>()
        });
        size_of::<Self>() + self.steps.len() * STEP_BYTES + lists.sum::<usize>()
    }

    /// Returns the name of the image that the tasks of a step run, or the queue's name if the step
    /// names none. Tasks with the same image have similar run times.
    pub fn image_of<'a>(&'a self, step: &'a StepSpec) -> &'a SmolStr {
        if step.image.is_empty() {
            &self.queue
        } else {
            &step.image
        }
    }

    /// Returns the length of the job's critical path, from the estimated run times of its steps.
    pub fn critical_path(&self) -> Duration {
        self.critical_paths().into_iter().max().unwrap_or_default()
    }

    /// Returns for each step the length of the critical path from its start to the job's end, from
    /// the estimated run times.
    pub fn critical_paths(&self) -> Vec<Duration> {
        let mut critical_paths: Vec<Duration> = self.steps.iter().map(StepSpec::estimate).collect();
        for index in (0..self.steps.len()).rev() {
            let critical_path = critical_paths[index];
            for &earlier in &self.steps[index].after {
                let Some(step) = self.steps.get(earlier as usize) else {
                    continue;
                };
                let via_step = step.estimate() + critical_path;
                critical_paths[earlier as usize] = critical_paths[earlier as usize].max(via_step);
            }
        }
        critical_paths
    }
}

/// A step: a number of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// CPU of a task, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory of a task, in mebibytes.
    pub memory_mib: u64,
    /// Number of accelerators of a task.
    #[serde(skip_serializing_if = "is_default")]
    pub accelerators: u64,
    /// Estimated run time of a task, in milliseconds.
    pub estimate_ms: u64,
    /// Indices of the steps that must be done before this one starts.
    #[serde(skip_serializing_if = "is_default")]
    pub after: Vec<u32>,
    /// Whether a task saves checkpoints of its progress.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Whether the tasks form a gang, which runs either completely or not at all.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether the tasks of a gang are placed on one rack if possible, since they run slower when
    /// spread over racks.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "one_rack")]
    pub prefer_one_rack: bool,
    /// Label that a minion must have to run the tasks.
    #[serde(skip_serializing_if = "is_default")]
    pub label: Option<SmolStr>,
    /// Rack on which the tasks run fastest, since their data is there.
    #[serde(skip_serializing_if = "is_default")]
    pub data_rack: Option<SmolStr>,
    /// Largest number of the step's tasks, per occurrence, on one minion; no limit if `None`.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "per_minion")]
    pub max_per_minion: Option<u32>,
    /// Whether a task may have several runs at the same time, so that speculative runs are allowed.
    #[serde(skip_serializing_if = "is_default")]
    pub speculative: bool,
    /// Whether the tasks are long-running: they run until the job is cancelled.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Name of the image that the tasks run; the queue's name is used if empty.
    #[serde(skip_serializing_if = "is_default")]
    pub image: SmolStr,
    /// Target for the tail latency of responses to the tasks' users, in milliseconds; none if 0.
    /// Tasks with a target are latency-sensitive.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "tail_target_ms")]
    pub tail_latency_target_ms: u64,
    /// Whether the tasks are best-effort: they only use CPU time that other tasks leave idle.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Largest number of the step's tasks that planned maintenance may make unavailable at the same
    /// time; 1 if `None` or 0.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "may_be_away")]
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Returns the resources that a task takes of a minion's capacity. A best-effort task takes no
    /// CPU.
    pub fn allocated_size(&self) -> Resources {
        let cpu_millis = if self.best_effort { 0 } else { self.cpu_millis };
        Resources {
            cpu_millis,
            ..self.size()
        }
    }

    /// Returns the resources that a task takes of its team's quota.
    pub fn size(&self) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis,
            memory_mib: self.memory_mib,
            accelerators: self.accelerators,
        }
    }

    /// Returns the estimated run time of a task, which is bounded so that sums over a job's steps stay in range.
    pub fn estimate(&self) -> Duration {
        Duration::from_millis(self.estimate_ms).min(MAX_ESTIMATE)
    }
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
