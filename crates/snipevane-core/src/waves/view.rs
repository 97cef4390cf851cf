//! The fleet as a wave sees it.

use slotmap::SecondaryMap;

use crate::ids::{PoolKey, VmKey};
use crate::pools::{Budget, Place, ServiceBudget, VmRow};

/// A VM, its place and its row.
#[derive(Clone, Copy, Debug)]
pub struct VmView {
    /// VM.
    pub vm: VmKey,
    /// Failure domains.
    pub place: Place,
    /// Row.
    pub row: VmRow,
}

/// The VMs of the pools that a wave covers, and the pools' budgets.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// VMs of all covered pools.
    pub vms: Vec<VmView>,
    /// Availability budgets of each pool's services.
    pub services: SecondaryMap<PoolKey, Vec<ServiceBudget>>,
}

impl FleetView {
    /// Counts each pool's VMs for its availability budget.
    pub(super) fn budgets(&self) -> SecondaryMap<PoolKey, Budget> {
        let mut budgets = SecondaryMap::new();
        for (pool, services) in &self.services {
            budgets.insert(pool, Budget::new(services.clone()));
        }
        for view in &self.vms {
            if view.row.is_arriving() {
                continue;
            }
            if let Some(budget) = budgets.get_mut(view.row.pool) {
                budget.add(view.place, view.row.is_available());
            }
        }
        budgets
    }
}
