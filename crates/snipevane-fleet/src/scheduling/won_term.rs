//! A term that this process has won, before it schedules.

use std::time::Duration;

use rustc_hash::FxHashMap;
use snipevane_core::jobs::{SilentMinion, UnreportedRuns, adopt_silent_minions, longest_lease};

use crate::minion_rows::MinionRows;
use crate::rows::SchedulerRow;

/// Safety margin in [`UnreportedRuns::until`], after which the runs of the last lease that an
/// earlier term may have granted have certainly ended.
///
/// `SchedulerSettings::lease_margin` is a further margin, which the scheduler adds before it treats
/// the runs that it knows of as ended, whichever term granted their leases.
const EARLIER_TERM_LEASE_MARGIN: Duration = Duration::from_millis(200);

/// A term that this process has won.
pub(super) struct WonTerm {
    /// Scheduler's row that was written.
    pub(super) row: SchedulerRow,
    /// Row of the previous term; `None` for the first term.
    pub(super) previous: Option<SchedulerRow>,
    /// Rows of the minions that the previous term used.
    pub(super) minion_rows: MinionRows,
    /// Time by which the row of the previous term had been written.
    pub(super) previous_seen_at: Duration,
    /// Version of the written row.
    pub(super) version: u64,
    /// Time at which the write was sent.
    pub(super) sent_at: Duration,
    /// Time that the write took.
    pub(super) commit_time: Duration,
}

impl WonTerm {
    /// Returns the runs of earlier terms that may still exist on minions that haven't listed them yet.
    pub(super) fn unreported_runs(&self, lease: Duration, now: Duration) -> UnreportedRuns {
        let Some(previous) = &self.previous else {
            return UnreportedRuns::default();
        };
        let in_rows = self.minion_rows.minions().cloned();
        let minions = previous.minions.iter().cloned().chain(in_rows);
        let silent = previous.silent_minions.iter();
        let silent = silent.map(|(id, left_ms)| SilentMinion {
            id: id.clone(),
            leases_left: longest_lease(Duration::from_millis(*left_ms)),
        });
        let silent: Vec<SilentMinion> = silent.collect();
        UnreportedRuns {
            sent_until: Some(now),
            restarted: FxHashMap::default(),
            until: now + longest_lease(lease) + EARLIER_TERM_LEASE_MARGIN,
            minions: minions.collect(),
            silent: adopt_silent_minions(&silent, self.previous_seen_at),
        }
    }
}
