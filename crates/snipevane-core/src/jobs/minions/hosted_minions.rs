//! Minions that exist according to a list of VMs.

use rustc_hash::FxHashSet;
use smol_str::SmolStr;

use crate::jobs::upkeep::vm::{Vm, VmState};

/// Minions that the VMs in a list host.
#[derive(Default)]
pub(in crate::jobs) struct HostedMinions<'a> {
    ids: FxHashSet<&'a SmolStr>,
    /// Pools with a VM that may host a minion that the list doesn't tell.
    uncertain_pools: FxHashSet<&'a SmolStr>,
}

impl<'a> HostedMinions<'a> {
    /// Collects the minions of a list of all VMs.
    pub(in crate::jobs) fn new(vms: &'a [Vm]) -> Self {
        let mut hosted = Self::default();
        for vm in vms {
            match (vm.state, &vm.minion) {
                (VmState::Moving | VmState::Maintenance, _) | (VmState::Down, None) => {}
                (VmState::Up | VmState::Down | VmState::Unknown, Some(minion)) => {
                    hosted.ids.insert(minion);
                }
                (VmState::Up | VmState::Unknown, None) => {
                    hosted.uncertain_pools.insert(&vm.pool);
                }
            }
        }
        hosted
    }

    /// Returns whether a minion of this pool may exist.
    pub(in crate::jobs) fn may_contain(&self, id: &SmolStr, pool: &SmolStr) -> bool {
        self.ids.contains(id) || self.uncertain_pools.contains(pool)
    }
}
