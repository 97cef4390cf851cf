//! Queues of the steps with waiting tasks, one for each pool.

use crate::jobs::model::keys::StepRef;

/// Steps of a pool whose dependencies are done and that have waiting tasks.
#[derive(Clone, Debug, Default)]
pub(in crate::jobs) struct PoolQueue {
    /// Queued steps, in no particular order.
    pub(in crate::jobs) steps: Vec<StepRef>,
}
