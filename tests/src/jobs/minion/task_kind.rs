//! How a task runs on a fake minion.

use std::time::Duration;

use smol_str::SmolStr;
use snipevane_core::jobs::RunEnd;
use snipevane_core::placement::Resources;

/// Properties that determine how a task runs.
#[derive(Clone, Debug)]
pub struct TaskKind {
    /// Resources that the task uses.
    pub size: Resources,
    /// Run time; none for a long-running task.
    pub run_time: Option<Duration>,
    /// Whether the task saves checkpoints.
    pub checkpoints: bool,
    /// How the task ends after its run time.
    pub ends_as: RunEnd,
    /// Time after its start at which the task crashes its minion; none for a sound task.
    pub crashes_after: Option<Duration>,
    /// Whether the task is best-effort, and so interferes with latency-sensitive tasks.
    pub best_effort: bool,
    /// Image that the task runs.
    pub image: SmolStr,
    /// Target of the tail latency in milliseconds; 0 if the task isn't latency-sensitive.
    pub tail_target_ms: u64,
}
