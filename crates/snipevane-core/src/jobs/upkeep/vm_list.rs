//! When the list of VMs must be read as often as possible.
//!
//! Its pages of 28 KB, five times a second, are a third of what the scheduler's VM receives.

use crate::jobs::minions::minion::Minion;
use crate::jobs::scheduler::Scheduler;

impl Scheduler {
    /// Returns whether the list of VMs may soon tell what has become of a minion: one that doesn't answer,
    /// or one that had runs under an earlier term and hasn't listed them.
    pub fn awaits_vm_list(&self) -> bool {
        !self.unreported.minions.is_empty() || self.minions.values().any(is_silent)
    }
}

fn is_silent(minion: &Minion) -> bool {
    !minion.reachable || minion.suspect || minion.repeats_since_reply > 0
}
