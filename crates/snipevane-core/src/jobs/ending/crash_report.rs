//! Report of a crash under one task.

use std::time::Duration;

/// A crash of a minion that had a run of a task.
#[derive(Clone, Copy, Debug)]
pub(in crate::jobs) struct CrashReport {
    /// Attempt that ended with the minion.
    pub(in crate::jobs) attempt: u32,
    /// Whether the task's job is the most likely cause.
    pub(in crate::jobs) attributed: bool,
    /// Time for which the attempt is known to have worked; `None` if it isn't known to have begun.
    pub(in crate::jobs) work: Option<Duration>,
    /// Number of crashes of this term so far that no task explains.
    pub(in crate::jobs) unexplained: usize,
    /// Whether this crash is one of those.
    pub(in crate::jobs) is_unexplained: bool,
}
