//! Keys and positions by which the parts of the scheduler refer to jobs, tasks, runs and minions.

use slotmap::new_key_type;

new_key_type! {
    /// Key of a job in the scheduler's job map.
    pub struct JobKey;

    /// Key of a run in the scheduler's run map.
    pub struct RunKey;

    /// Key of a minion in the scheduler's minion map.
    pub struct MinionKey;
}

/// Position of a task within its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskRef {
    /// Index of the occurrence.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u32,
    /// Index of the task in its step.
    pub index: u32,
}

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
