//! What the scheduler asks of workers, and what became of restored tasks.

use super::TaskEpoch;
use crate::ids::{TaskKey, WorkerKey};

/// A task on a worker, with the epoch that its reports carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// Task.
    pub task: TaskKey,
    /// Worker.
    pub worker: WorkerKey,
    /// Epoch of the claim.
    pub epoch: TaskEpoch,
}

/// What became of a predecessor's task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restored {
    /// It waits again.
    Waits(TaskKey),
    /// It goes on where it runs.
    Runs(TaskKey),
    /// It was restored before.
    Known(TaskKey),
    /// The team has no unit for it: it wasn't restored, and its worker has to stop it first.
    StopFirst,
}

/// What the scheduler asks of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskAction {
    /// Starts a task under the worker's lease.
    Start(Start),
    /// Saves what a task has done and stops it.
    Checkpoint(Start),
    /// Stops a task.
    Stop(Start),
    /// Holds a task to the size that is reserved for it.
    Throttle(Start),
}
