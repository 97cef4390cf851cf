//! A task that waits for a worker.

use std::time::Duration;

use snipevane_proto::manifest::Urgency;

use super::Resources;
use crate::ids::{TaskKey, TeamKey, WorkerKey};
use crate::pools::UnixMs;

/// Order in which waiting tasks are taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Before all others.
    Urgent,
    /// After urgent work.
    Normal,
    /// Out of spare capacity, until its latest start; then before normal work.
    Deferred,
}

impl From<Urgency> for Class {
    fn from(urgency: Urgency) -> Self {
        match urgency {
            Urgency::Urgent => Self::Urgent,
            Urgency::Normal => Self::Normal,
            Urgency::Overnight => Self::Deferred,
        }
    }
}

/// A task that waits for a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Task.
    pub task: TaskKey,
    /// Team.
    pub team: TeamKey,
    /// Order in which it's taken.
    pub class: Class,
    /// Estimated size.
    pub size: Resources,
    /// Estimated run time.
    pub run_time: Duration,
    /// Time by which it should be done.
    pub deadline: Option<UnixMs>,
    /// Time since which it waits.
    pub since: UnixMs,
    /// Workers that it isn't placed on, since it failed there.
    pub avoid: [Option<WorkerKey>; 2],
}
