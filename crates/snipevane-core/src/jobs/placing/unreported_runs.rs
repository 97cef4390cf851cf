//! Runs of an earlier term on minions that haven't reported to the present term yet.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

use crate::jobs::minions::hosted_minions::HostedMinions;
use crate::jobs::scheduler::Scheduler;
use crate::jobs::upkeep::vm::Vm;

/// Minions that may have runs from an earlier term, and the time until which they may have them.
///
/// A scheduler places work only on minions that its stored row names. The row of the previous term
/// thus names all minions that may have runs, including those that have disappeared from the list
/// of minions.
#[derive(Clone, Debug, Default)]
pub struct UnreportedRuns {
    /// Time at which the last lease granted by an earlier term is certain to have expired.
    pub until: Duration,
    /// Identifiers of the minions that the earlier term used and that haven't listed their runs
    /// yet, with their pools.
    pub minions: FxHashMap<SmolStr, SmolStr>,
    /// Times at which the leases of minions are over that the earlier term's row named as silent. They
    /// replace [`UnreportedRuns::until`].
    pub silent: FxHashMap<SmolStr, Duration>,
}

impl UnreportedRuns {
    /// Returns the time at which the last lease that an earlier term granted to a minion is certain to have
    /// expired.
    pub(in crate::jobs) fn until_of(&self, id: &str) -> Duration {
        let silent_until = self.silent.get(id).copied();
        silent_until.unwrap_or(self.until).min(self.until)
    }

    /// Returns whether the earlier term's row named a minion as silent.
    pub(in crate::jobs) fn was_silent(&self, id: &str) -> bool {
        self.silent.contains_key(id)
    }

    /// Removes the minions that no longer exist according to a list of VMs, such as those whose VM
    /// was moved right before the term ended. Returns their identifiers.
    ///
    /// Pools with a VM that may host a minion that the list doesn't tell keep all their minions.
    fn remove_unhosted(&mut self, vms: &[Vm]) -> Vec<SmolStr> {
        let hosted = HostedMinions::new(vms);
        let unhosted = self
            .minions
            .extract_if(|id, pool| !hosted.may_contain(id, pool));
        unhosted.map(|(id, _)| id).collect()
    }
}

impl Scheduler {
    /// Stops waiting for reports of minions of an earlier term that no longer exist.
    ///
    /// `vms` is a list of all VMs that shows every order of the earlier term.
    pub fn forget_unhosted_minions(&mut self, vms: &[Vm]) {
        if vms.is_empty() {
            return;
        }
        let unhosted = self.unreported.remove_unhosted(vms);
        if !unhosted.is_empty() {
            self.unhosted_minions.extend(unhosted);
            self.settle_undecided_trials();
        }
    }
}
