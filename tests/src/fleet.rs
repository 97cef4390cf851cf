//! A table of VM rows in memory, with lost answers and races of coordinators.

use std::collections::{BTreeMap, VecDeque};

use slotmap::SlotMap;
use snipevane_core::ids::{PoolKey, ServiceKey, VmKey, ZoneKey};
use snipevane_core::pools::{
    Epoch, Fence, Place, PoolAction, PoolCoordinator, PoolSettings, RackId, RowVersion,
    ServiceBudget, UnixMs, VmRow, VmWrite, WriteOutcome,
};

/// Keys of a small site.
pub struct Keys {
    /// Pools.
    pub pools: Vec<PoolKey>,
    /// Zones.
    pub zones: Vec<ZoneKey>,
    /// Service of the first pool.
    pub service: ServiceKey,
    /// VMs.
    pub vms: Vec<VmKey>,
}

impl Keys {
    /// Creates keys for two pools, three zones and `vms` VMs.
    pub fn new(vms: usize) -> Self {
        let mut pools = SlotMap::with_key();
        let mut zones = SlotMap::with_key();
        let mut services = SlotMap::with_key();
        let mut members = SlotMap::with_key();
        Self {
            pools: (0..2).map(|_| pools.insert(())).collect(),
            zones: (0..3).map(|_| zones.insert(())).collect(),
            service: services.insert(()),
            vms: (0..vms).map(|_| members.insert(())).collect(),
        }
    }

    /// Returns the place of the VM with this index: three zones in turn, four VMs to a rack.
    pub fn place(&self, index: usize) -> Place {
        let zone = index % 3;
        let rack = index / 12 * 3 + zone;
        Place {
            zone: self.zones[zone],
            rack: RackId(u32::try_from(rack).unwrap_or(u32::MAX)),
        }
    }

    /// Returns the settings of a pool whose service has this budget.
    pub fn settings(&self, max_unavailable_percent: u8) -> PoolSettings {
        PoolSettings {
            services: vec![ServiceBudget {
                service: self.service,
                max_unavailable_percent,
            }],
            ..PoolSettings::default()
        }
    }
}

/// Rows of pools and VMs under conditional writes.
#[derive(Default)]
pub struct FakeTable {
    /// VM rows with their versions.
    pub vms: BTreeMap<VmKey, (RowVersion, VmRow)>,
    /// Versions of the pools' rows.
    pub pools: BTreeMap<PoolKey, RowVersion>,
    /// Every row written, in order.
    pub log: Vec<(VmKey, VmRow)>,
}

impl FakeTable {
    /// Creates a table where all VMs serve in the first pool.
    pub fn new(keys: &Keys) -> Self {
        let row = VmRow::serving(keys.pools[0], UnixMs(0));
        Self {
            vms: keys
                .vms
                .iter()
                .map(|&vm| (vm, (RowVersion(1), row)))
                .collect(),
            pools: keys
                .pools
                .iter()
                .map(|&pool| (pool, RowVersion(0)))
                .collect(),
            log: Vec::new(),
        }
    }

    /// Makes a new coordinator of a pool, which reads all rows.
    pub fn take_over(
        &mut self,
        keys: &Keys,
        pool: PoolKey,
        settings: PoolSettings,
        now: UnixMs,
    ) -> (PoolCoordinator, Vec<PoolAction>) {
        let version = self.pools.entry(pool).or_default();
        version.0 += 1;
        let fence = Fence {
            pool,
            version: *version,
            epoch: Epoch(version.0),
        };
        let mut coordinator = PoolCoordinator::new(fence, settings);
        let mut actions = Vec::new();
        for (index, &vm) in keys.vms.iter().enumerate() {
            let (version, row) = self.vms[&vm];
            actions.extend(coordinator.observe(vm, keys.place(index), version, row, now));
        }
        (coordinator, actions)
    }

    /// Applies a conditional write.
    pub fn write(&mut self, write: &VmWrite) -> WriteOutcome {
        if self.pools[&write.fence.pool] != write.fence.version {
            return WriteOutcome::FenceLost;
        }
        let Some((version, row)) = self.vms.get_mut(&write.vm) else {
            return WriteOutcome::Conflict;
        };
        if *version != write.expected {
            return WriteOutcome::Conflict;
        }
        version.0 += 1;
        *row = write.row;
        self.log.push((write.vm, write.row));
        WriteOutcome::Written(*version)
    }
}

/// Does what the coordinator asks of the table until it asks nothing more.
///
/// Returns the actions that aren't the table's.
pub fn settle(
    table: &mut FakeTable,
    keys: &Keys,
    coordinator: &mut PoolCoordinator,
    actions: Vec<PoolAction>,
    now: UnixMs,
) -> Vec<PoolAction> {
    let mut todo = VecDeque::from(actions);
    let mut others = Vec::new();
    while let Some(action) = todo.pop_front() {
        match action {
            PoolAction::Write(write) => {
                let outcome = table.write(&write);
                todo.extend(coordinator.on_write_outcome(write.vm, outcome, now));
            }
            PoolAction::Read(vm) => todo.extend(read(table, keys, coordinator, vm, now)),
            other => others.push(other),
        }
    }
    others
}

/// Lets the coordinator read a VM's row.
pub fn read(
    table: &FakeTable,
    keys: &Keys,
    coordinator: &mut PoolCoordinator,
    vm: VmKey,
    now: UnixMs,
) -> Vec<PoolAction> {
    let (version, row) = table.vms[&vm];
    let index = keys.vms.iter().position(|&other| other == vm);
    let Some(index) = index else {
        return Vec::new();
    };
    coordinator.observe(vm, keys.place(index), version, row, now)
}
