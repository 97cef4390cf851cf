//! What the store keeps of a job beside its submission.

use serde::{Deserialize, Serialize};

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// The caller has cancelled the job.
    Cancelled,
}

impl JobState {
    /// Returns its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }

    /// Returns whether nothing of the job starts any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Tasks of one step that are done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoneTasks {
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u32,
    /// First and last task of each unbroken range.
    pub ranges: Vec<(u32, u32)>,
}

/// Failed runs of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedRuns {
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u32,
    /// Number of the task.
    pub task: u32,
    /// Attempts that failed.
    pub attempts: Vec<u32>,
}

/// Progress of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// State.
    pub state: JobState,
    /// Tasks that are done; empty once the state is final.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<DoneTasks>,
    /// Runs that failed; empty once the state is final.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<FailedRuns>,
    /// Time at which the state became final, in Unix milliseconds; 0 before.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub ended_unix_ms: u64,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// Collapses ascending numbers into unbroken ranges.
pub(super) fn collapse_ranges(numbers: impl Iterator<Item = u32>) -> Vec<(u32, u32)> {
    let mut ranges: Vec<(u32, u32)> = Vec::new();
    for number in numbers {
        match ranges.last_mut() {
            Some((_, last)) if *last + 1 == number => *last = number,
            _ => ranges.push((number, number)),
        }
    }
    ranges
}
