//! Queues of the steps with waiting tasks, one for each pool.

use crate::jobs::model::job::JobKey;

/// Reference to a step of an occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(in crate::jobs) struct StepRef {
    /// Key of the job.
    pub(in crate::jobs) job: JobKey,
    /// Index of the occurrence, from 0.
    pub(in crate::jobs) occurrence: u32,
    /// Index of the step in the job, from 0.
    pub(in crate::jobs) step: u32,
}

/// Steps of a pool whose dependencies are done and that have waiting tasks.
#[derive(Clone, Debug, Default)]
pub(in crate::jobs) struct PoolQueue {
    /// Queued steps, in no particular order.
    pub(in crate::jobs) steps: Vec<StepRef>,
}
