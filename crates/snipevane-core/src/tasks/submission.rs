//! A task as a team submits it.

use std::time::Duration;

use smol_str::SmolStr;
use snipevane_proto::manifest::Urgency;
use thiserror::Error;

use crate::ids::{TaskKey, TeamKey};
use crate::placement::Resources;
use crate::pools::UnixMs;

/// Identifier that a team gives a task; a repeated submission carries the same one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TaskId(pub SmolStr);

/// A task as a team submits it.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Identifier, unique within the team.
    pub id: TaskId,
    /// Team whose key came with the submission.
    pub team: TeamKey,
    /// Kind of task, by which sizes and run times are learned.
    pub job: SmolStr,
    /// Declared size.
    pub size: Resources,
    /// Declared run time.
    pub run_time: Duration,
    /// Time by which the task should be done.
    pub deadline: Option<UnixMs>,
    /// Order in which waiting work is taken.
    pub urgency: Urgency,
}

/// What became of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// The task is new and waits.
    New(TaskKey),
    /// The task was submitted before.
    Known(TaskKey),
}

/// Why a submission is refused; nothing of it was kept.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SubmitRefused {
    /// The team submitted another task under the same identifier.
    #[error("another task was submitted under this identifier")]
    IdReused(TaskKey),
    /// No worker is large enough, also when it's empty.
    #[error("the task is larger than any worker; the largest has {largest:?}")]
    LargerThanAnyWorker {
        /// Worker that comes nearest; `None` if there are no workers.
        largest: Option<Resources>,
    },
    /// The task needs nothing, so that nothing would bound how many run.
    #[error("the task declares no processor time")]
    NoSize,
}
