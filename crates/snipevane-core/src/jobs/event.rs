//! Decisions that are worth a line in the log.

use std::time::Duration;

use smol_str::SmolStr;

use super::id::{JobId, StepId, TaskId};
use super::run::Refusal;

/// Why a run counts as ended though no list names its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// The lease on a minion out of reach is over.
    LeaseExpired,
    /// The minion began anew.
    MinionRestarted,
    /// The minion's list doesn't name the run.
    NotListed,
    /// Another incarnation answers, or the VM was taken down.
    IncarnationGone,
    /// The order to start was refused.
    StartRefused(Refusal),
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Its job has ended.
    JobEnded,
    /// Another run of its task is done.
    Redundant,
    /// It falls behind, and a new start is faster.
    Straggler,
    /// Its VM is to be taken down.
    Evicted,
    /// No order to start it was confirmed.
    StartUnconfirmed,
    /// An earlier term left it, and nothing wants it.
    Orphaned,
}

/// A decision, with what it was based on.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerEvent {
    /// A job was taken in.
    JobAccepted {
        /// Job.
        job: JobId,
        /// Pool.
        pool: SmolStr,
        /// Whether an earlier term may have started it.
        adopted: bool,
        /// Time until its objective.
        due_in: Duration,
    },
    /// Tasks of a step were placed.
    TasksPlaced {
        /// Step.
        step: StepId,
        /// Number of tasks.
        tasks: u32,
        /// Number of tasks of the step that still wait.
        waiting: u32,
        /// Age of the job.
        age: Duration,
    },
    /// A second run of a task was placed.
    SpeculativeRunPlaced {
        /// Task.
        task: TaskId,
        /// Minion.
        minion: SmolStr,
    },
    /// A run failed.
    RunFailed {
        /// Task.
        task: TaskId,
        /// Attempt.
        attempt: u32,
        /// Minion.
        minion: SmolStr,
    },
    /// A run counts as ended.
    RunLost {
        /// Task.
        task: TaskId,
        /// Attempt.
        attempt: u32,
        /// Minion.
        minion: SmolStr,
        /// Reason.
        reason: LossReason,
    },
    /// A run is to be stopped.
    RunStopped {
        /// Task.
        task: TaskId,
        /// Attempt.
        attempt: u32,
        /// Minion.
        minion: SmolStr,
        /// Reason.
        reason: StopReason,
    },
    /// A minion gets no work for a while, as its runs fall behind.
    MinionSlow {
        /// Minion.
        minion: SmolStr,
        /// Mean speed of its runs, as a part of the expected one.
        speed: f64,
        /// Median speed in its pool.
        usual: f64,
    },
    /// A minion gets no work for a while, as run after run fails there.
    MinionFailing {
        /// Minion.
        minion: SmolStr,
        /// Failures in a row.
        failures: u32,
    },
    /// A minion can't be reached, or can be again.
    MinionReachability {
        /// Minion.
        minion: SmolStr,
        /// Whether it answers.
        reachable: bool,
        /// Age of its last list of runs, if there was one.
        last_list: Option<Duration>,
    },
}
