//! What a caller submits.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::placement::Resources;

/// Largest number of tasks in a step.
pub const MAX_STEP_TASKS: u32 = 10_000;

/// Largest number of steps in a job.
pub const MAX_STEPS: usize = 1_000;

/// A job as submitted: steps of tasks, run once or at regular times.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Queue that took the job.
    pub queue: SmolStr,
    /// Pool whose minions run the tasks.
    pub pool: SmolStr,
    /// Team whose key came with the job; none on a queue open to all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<SmolStr>,
    /// Text handed to each task.
    pub payload: String,
    /// Steps; a step only refers to earlier ones.
    pub steps: Vec<StepSpec>,
    /// Time at which an entry VM accepted the job, in Unix milliseconds.
    pub accepted_unix_ms: u64,
    /// Times at which the steps run; none for a job that runs once, at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
}

/// Times of a job that runs repeatedly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Time of the first occurrence, in Unix milliseconds.
    pub first_unix_ms: u64,
    /// Time between occurrences, in milliseconds.
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

    /// Returns the name of what the tasks of a step run; tasks of one name behave alike.
    pub fn image_of<'a>(&'a self, step: &'a StepSpec) -> &'a SmolStr {
        if step.image.is_empty() {
            &self.queue
        } else {
            &step.image
        }
    }

    /// Returns the length of the longest chain of steps, by their estimates.
    pub fn critical_path(&self) -> Duration {
        self.critical_paths().into_iter().max().unwrap_or_default()
    }

    /// Returns for each step the longest chain of steps that begins with it, by their estimates.
    pub fn critical_paths(&self) -> Vec<Duration> {
        let mut critical_paths: Vec<Duration> = self.steps.iter().map(StepSpec::estimate).collect();
        for index in (0..self.steps.len()).rev() {
            let critical_path = critical_paths[index];
            for &earlier in &self.steps[index].after {
                let Some(step) = self.steps.get(earlier as usize) else {
                    continue;
                };
                let through = step.estimate() + critical_path;
                critical_paths[earlier as usize] = critical_paths[earlier as usize].max(through);
            }
        }
        critical_paths
    }
}

/// A step: a number of like tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// Processor time of a task, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory of a task, in mebibytes.
    pub memory_mib: u64,
    /// Accelerators of a task.
    #[serde(skip_serializing_if = "is_default")]
    pub accelerators: u64,
    /// Rough run time of a task, in milliseconds.
    pub estimate_ms: u64,
    /// Steps whose tasks must all be done before.
    #[serde(skip_serializing_if = "is_default")]
    pub after: Vec<u32>,
    /// Whether a task saves its progress.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Whether the tasks run only all together.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether the tasks of a gang are slower when spread over racks.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "one_rack")]
    pub prefer_one_rack: bool,
    /// Label that a minion must have.
    #[serde(skip_serializing_if = "is_default")]
    pub label: Option<SmolStr>,
    /// Rack near which the tasks run fastest.
    #[serde(skip_serializing_if = "is_default")]
    pub data_rack: Option<SmolStr>,
    /// Most tasks of the step, per occurrence, on one minion; no limit if `None`.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "per_minion")]
    pub max_per_minion: Option<u32>,
    /// Whether copies of a task may run at the same time.
    #[serde(skip_serializing_if = "is_default")]
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Name of what the tasks run.
    #[serde(skip_serializing_if = "is_default")]
    pub image: SmolStr,
    /// Bound of the tail of response times of the tasks' users, in milliseconds; none if 0.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "tail_target_ms")]
    pub tail_latency_target_ms: u64,
    /// Whether the tasks only use processor time that others leave.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Tasks of the step that planned work may have away at the same time; no bound if `None`.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "may_be_away")]
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Returns what a task takes of a minion's capacity.
    pub fn allocated_size(&self) -> Resources {
        let cpu_millis = if self.best_effort { 0 } else { self.cpu_millis };
        Resources {
            cpu_millis,
            ..self.size()
        }
    }

    /// Returns what a task takes of its team's limit.
    pub fn size(&self) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis,
            memory_mib: self.memory_mib,
            accelerators: self.accelerators,
        }
    }

    /// Returns the estimated run time of a task.
    pub fn estimate(&self) -> Duration {
        Duration::from_millis(self.estimate_ms)
    }
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
