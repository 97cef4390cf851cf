//! How far a wave is.

use std::time::Duration;

use slotmap::SecondaryMap;

use super::{FleetView, Pace, Wave, WaveState};
use crate::ids::PoolKey;
use crate::pools::UnixMs;

/// How far a wave is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// VMs of the covered pools.
    pub total: usize,
    /// VMs that were rebooted since the wave began.
    pub done: usize,
    /// VMs that the wave is draining or rebooting.
    pub in_progress: usize,
    /// VMs that are down.
    pub failed: usize,
    /// VMs that the wave hasn't begun with, down ones included.
    pub left: usize,
    /// Time until the wave is done if nothing fails; `None` unless it's running.
    pub remaining: Option<Duration>,
}

impl Wave {
    /// Returns how far the wave is.
    pub fn progress(&self, fleet: &FleetView, now: UnixMs) -> Progress {
        let mut progress = Progress {
            total: fleet.vms.len(),
            ..Progress::default()
        };
        let mut left_in_pool: SecondaryMap<PoolKey, u32> = SecondaryMap::new();
        for view in &fleet.vms {
            let failed = !view.row.is_available() && view.row.operation.is_none();
            progress.failed += usize::from(failed && !self.is_done(view));
            if self.is_done(view) {
                progress.done += 1;
            } else if self.holds(view) {
                progress.in_progress += 1;
            } else {
                progress.left += 1;
                if let Some(entry) = left_in_pool.entry(view.row.pool) {
                    *entry.or_default() += 1;
                }
            }
        }
        if self.state() == WaveState::Running {
            progress.remaining = Some(self.remaining(fleet, &left_in_pool, now));
        }
        progress
    }

    /// Returns the time of the slowest pool, or the paced time if that is longer.
    fn remaining(
        &self,
        fleet: &FleetView,
        left_in_pool: &SecondaryMap<PoolKey, u32>,
        now: UnixMs,
    ) -> Duration {
        let budgets = fleet.budgets();
        let cycle = self.settings().cycle_estimate;
        let mut remaining = Duration::ZERO;
        for (pool, &left) in left_in_pool {
            let at_once = budgets
                .get(pool)
                .map_or(1, |budget| budget.allowed_planned());
            remaining = remaining.max(cycle * left.div_ceil(at_once.max(1)));
        }
        match self.settings().pace {
            Pace::Urgent => remaining,
            Pace::Within(_) if left_in_pool.is_empty() => remaining,
            Pace::Within(period) => remaining.max(self.paced_end(period).since(now)),
        }
    }
}
