//! A task in the ledger.

use super::{JobKey, Submission};
use crate::ids::WorkerKey;
use crate::placement::Resources;
use crate::pools::UnixMs;

/// Number of a task's claim among all its claims; a report of an earlier one changes nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskEpoch(pub u32);

/// Why a task was stopped for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// It failed on several different workers.
    FailsEverywhere {
        /// Number of different workers.
        workers: usize,
    },
    /// No worker is large enough any more.
    LargerThanAnyWorker {
        /// Worker that comes nearest; `None` if there are no workers.
        largest: Option<Resources>,
    },
}

/// State of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Waits to be claimed.
    Queued,
    /// Its claim is being written.
    Claiming,
    /// Is claimed and waits for a worker.
    Claimed,
    /// Runs on a worker.
    Running(WorkerKey),
    /// Was asked to stop and may still run.
    Stopping(WorkerKey),
    /// Is done.
    Done,
    /// Was cancelled.
    Cancelled,
    /// Was stopped for good.
    Stopped(StopReason),
}

impl TaskState {
    /// Returns whether nothing more happens to the task.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Cancelled | Self::Stopped(_))
    }
}

/// A task in the ledger.
#[derive(Clone, Debug)]
pub struct Task {
    /// What was submitted.
    pub submission: Submission,
    /// Job of the team that the task belongs to.
    pub job: JobKey,
    /// State.
    pub state: TaskState,
    /// Number of the current claim.
    pub epoch: TaskEpoch,
    /// Time of the submission.
    pub submitted: UnixMs,
    /// Time of the latest start.
    pub started: Option<UnixMs>,
    /// Time of the end.
    pub ended: Option<UnixMs>,
    /// Different workers that the task failed on, as far as they work otherwise.
    pub failed_on: Vec<WorkerKey>,
    /// Part of the run time that a checkpoint keeps, from 0 to 1.
    pub progress: f64,
    /// Most of the resources that the task was seen to use.
    pub used: Resources,
    /// Number of cancellations of the job at the time of the submission.
    pub(super) job_generation: u32,
}
