//! Pools and states of the VMs according to their rows.

use rustc_hash::FxHashMap;
use smol_str::SmolStr;
use snipevane_core::config::SitePool;
use snipevane_proto::peer::DrainedVm;
use snipevane_proto::rows::{PoolCoordination, VmRecord, VmStage};

use super::State;

/// A row with its version.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Versioned<T> {
    /// Version of the row.
    pub(crate) version: u64,
    /// The row.
    pub(crate) row: T,
}

/// Rows of the pools' coordinators and of the VMs, as last read.
#[derive(Debug, Default)]
pub(crate) struct PoolRows {
    /// Rows of the coordinators, by pool.
    pub(crate) pools: FxHashMap<SmolStr, Versioned<PoolCoordination>>,
    /// Rows of the VMs, by VM.
    pub(crate) vms: FxHashMap<SmolStr, Versioned<VmRecord>>,
}

impl State {
    /// Returns whether a VM belongs to a pool, according to its row or, without a row, the
    /// manifest.
    pub(crate) fn belongs_to(&self, vm: &SmolStr, pool: &SitePool) -> bool {
        match self.pool_rows.vms.get(vm) {
            Some(record) => record.row.pool == pool.name.as_str(),
            None => pool.vms.contains(vm),
        }
    }

    /// Returns whether a VM may get new work: it has no row, or its row says that it serves.
    pub(crate) fn takes_work(&self, vm: &str) -> bool {
        let record = self.pool_rows.vms.get(vm);
        record.is_none_or(|record| record.row.state == VmStage::Serving)
    }

    /// Stores rows of VMs; a row that isn't newer than the known one is ignored.
    pub(crate) fn upsert_vm_rows(
        &mut self,
        rows: impl IntoIterator<Item = (SmolStr, Versioned<VmRecord>)>,
    ) {
        for (vm, read) in rows {
            let known = self.pool_rows.vms.get(&vm);
            if known.is_none_or(|known| known.version < read.version) {
                self.pool_rows.vms.insert(vm, read);
            }
        }
    }

    /// Returns the draining VMs on which this entry VM has no running requests.
    pub(crate) fn drained_vms(&self) -> Vec<DrainedVm> {
        let draining = self.pool_rows.vms.iter();
        let draining = draining.filter(|(_, record)| record.row.state == VmStage::Draining);
        draining
            .filter(|(vm, _)| {
                self.router
                    .stats()
                    .all(|stats| stats.vm != **vm || stats.slots_in_use == 0)
            })
            .map(|(vm, record)| DrainedVm {
                vm: vm.to_string(),
                since_ms: record.row.since_ms,
            })
            .collect()
    }

    /// Returns whether every entry VM of a VM's zone reports that it has had no running requests on
    /// the VM since the drain began.
    pub(crate) fn is_drained(&self, vm: &SmolStr) -> bool {
        let Some(entry) = self.list.iter().find(|entry| entry.id == *vm) else {
            return false;
        };
        let Some(record) = self.pool_rows.vms.get(vm) else {
            return false;
        };
        let drained = DrainedVm {
            vm: vm.to_string(),
            since_ms: record.row.since_ms,
        };
        let reports = |id: &SmolStr| {
            if *id == self.vm {
                return self.drained_vms().contains(&drained);
            }
            self.peers
                .get(id)
                .is_some_and(|peer| peer.drained.contains(&drained))
        };
        let mut entries = self.list.iter().filter(|other| {
            other.role == snipevane_platform::VmRole::Entry && other.zone == entry.zone
        });
        entries.all(|other| reports(&other.id))
    }
}
