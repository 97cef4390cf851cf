//! Queues of the steps with waiting tasks, one for each pool.

use super::job::JobKey;

/// Reference to a step of an occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct StepRef {
    /// Key of the job.
    pub(super) job: JobKey,
    /// Index of the occurrence, from 0.
    pub(super) occurrence: u32,
    /// Index of the step in the job, from 0.
    pub(super) step: u32,
}

/// Steps of a pool whose dependencies are done and that have waiting tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolQueue {
    /// Queued steps, in no particular order.
    pub(super) steps: Vec<StepRef>,
}
