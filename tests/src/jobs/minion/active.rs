//! A run that is active on a fake minion.

use std::collections::VecDeque;
use std::time::Duration;

use smol_str::{SmolStr, format_smolstr};
use snipevane_core::jobs::TaskId;

use super::{STARTUP_TIME, TaskKind};

/// Time between two checkpoints of a run.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(2);

/// A run that hasn't ended.
#[derive(Clone, Debug)]
pub(super) struct Active {
    pub(super) kind: TaskKind,
    pub(super) record: usize,
    pub(super) started: Duration,
    pub(super) ends_at: Option<Duration>,
    pub(super) stops_at: Option<Duration>,
    pub(super) crashes_at: Option<Duration>,
    pub(super) cpu_share: u32,
    /// CPU share that takes effect later, with the time from which on it does.
    pub(super) next_cpu_share: Option<(Duration, u32)>,
    /// Tail latencies within the last [`FIGURE_WINDOW`](super::tail_latencies::FIGURE_WINDOW).
    pub(super) tails_ms: VecDeque<(Duration, f64)>,
}

impl Active {
    /// Returns the last checkpoint that a run has saved; each task saves others.
    pub(super) fn checkpoint(&self, task: TaskId, now: Duration) -> SmolStr {
        let number = (now - self.started).as_millis() / CHECKPOINT_INTERVAL.as_millis();
        if !self.kind.checkpoints || number == 0 {
            return SmolStr::default();
        }
        format_smolstr!("{number:08}-{}", task.index)
    }

    /// Returns the progress of the run, in percent.
    pub(super) fn percent(&self, now: Duration) -> u32 {
        let whole = self.kind.run_time.unwrap_or(STARTUP_TIME);
        let done = (now - self.started).as_secs_f64() / whole.as_secs_f64();
        (done.min(1.0) * 100.0) as u32
    }
}
