//! Scheduling state of a task that was tried.

use std::time::Duration;

use smol_str::SmolStr;

use super::keys::RunKey;
use crate::jobs::ending::task_crashes::TaskCrashes;

/// Scheduling state of a task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Whether the task has completed.
    pub done: bool,
    /// Runs of the task that may still exist on a minion.
    pub runs: Vec<RunKey>,
    /// Numbers of the attempts that failed.
    pub failed_attempts: Vec<u32>,
    /// Crashes of minions that had a run of the task.
    pub crashes: TaskCrashes,
    /// Highest attempt number that is known to have been used.
    pub last_attempt: u32,
    /// Last checkpoint that the task saved; empty if there is none, or if its step is a gang.
    pub checkpoint: SmolStr,
    /// Time before which the task isn't started again after a failure.
    pub not_before: Duration,
    /// Number of times in a row that a long-running task has ended soon after its start.
    pub early_ends: u32,
    /// Identifier of the minion on which a run last failed.
    pub failed_on: Option<SmolStr>,
    /// Time since which the task, a suspect, waits for a trial that begins.
    pub trial_wanted_since: Option<Duration>,
}

impl Task {
    /// Returns whether the task is to be started, apart from its retry delay.
    pub(in crate::jobs) fn is_waiting(&self) -> bool {
        !self.done && self.runs.is_empty()
    }
}

/// States of the tasks of a step that have no record of their own.
#[derive(Clone, Debug)]
pub(in crate::jobs) struct CommonTasks {
    /// A task that wasn't tried in this term.
    pub(super) untried: Task,
    /// A task that is done and has no runs.
    pub(super) done: Task,
}

impl CommonTasks {
    /// Returns the states of tasks whose attempts up to `used_attempts` may have been used by earlier terms.
    pub(super) fn new(long_running: bool, used_attempts: u32) -> Self {
        let untried = Task {
            crashes: TaskCrashes::new(long_running),
            last_attempt: used_attempts,
            ..Task::default()
        };
        let done = Task {
            done: true,
            ..untried.clone()
        };
        Self { untried, done }
    }
}
