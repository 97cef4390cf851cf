//! Record of a run on a fake minion.

use std::time::Duration;

use smol_str::SmolStr;
use snipevane_core::jobs::{RunEnd, TaskId};

/// Record of a run on a minion, which outlives the minion.
#[derive(Clone, Debug)]
pub struct Record {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Attempt number.
    pub attempt: u32,
    /// Identifier of the minion that executed the run.
    pub minion: SmolStr,
    /// Start time that identifies the incarnation of the minion, in milliseconds.
    pub incarnation: u64,
    /// Sequence number of the end in the incarnation; 0 while the run is active.
    pub end_number: u64,
    /// Checkpoint from which the run was told to resume; empty if there was none.
    pub checkpoint: SmolStr,
    /// Time at which the run started.
    pub from: Duration,
    /// Time at which the run ended.
    pub to: Option<Duration>,
    /// How the run ended; none while it is active or if the minion crashed.
    pub end: Option<RunEnd>,
    /// Whether the end was acknowledged before a lease of the minion expired.
    pub acked_before_lapse: bool,
    /// Whether a run list contained the end before a lease of the minion expired.
    pub listed_before_lapse: bool,
}
