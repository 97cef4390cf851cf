//! Coordinators of the pools that this entry VM coordinates, with the keys of their VMs and racks.

use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use slotmap::{SecondaryMap, SlotMap};
use smol_str::SmolStr;
use snipevane_core::config::{Site, SitePool};
use snipevane_core::ids::{PoolKey, VmKey};
use snipevane_core::pools::{
    Epoch, Fence, Place, PoolAction, PoolCoordinator, PoolSettings, RackId, RowVersion,
    ServiceBudget, UnixMs, VmRow,
};
use snipevane_proto::rows::{PoolCoordination, VmRecord};

use super::core_row;
use crate::state::{State, Versioned};

/// The coordinator of one pool.
pub(super) struct Coordination {
    /// State machine of the coordinator, from the core.
    pub(super) core: PoolCoordinator,
    fence: Fence,
    /// Version of the configuration from which the settings were derived.
    version: u64,
    names: SlotMap<VmKey, SmolStr>,
    keys: FxHashMap<SmolStr, VmKey>,
    racks: FxHashMap<(SmolStr, SmolStr), RackId>,
}

impl Coordination {
    /// Derives a pool's settings from the configuration.
    pub(super) fn settings(site: &Site, key: PoolKey, pool: &SitePool) -> PoolSettings {
        let hosted = site
            .services
            .iter()
            .filter(|(_, service)| service.pool == key);
        let services = hosted.map(|(service, settings)| ServiceBudget {
            service,
            max_unavailable_percent: settings.unavailable_budget_percent,
        });
        PoolSettings {
            services: services.collect(),
            min_vms: pool.min_vms,
            ..PoolSettings::default()
        }
    }

    fn new(fence: Fence, version: u64, settings: PoolSettings) -> Self {
        Self {
            core: PoolCoordinator::new(fence, settings),
            fence,
            version,
            names: SlotMap::with_key(),
            keys: FxHashMap::default(),
            racks: FxHashMap::default(),
        }
    }

    /// Returns the key of a VM, and allocates one if it has none yet.
    pub(super) fn key_or_insert(&mut self, vm: &SmolStr) -> VmKey {
        if let Some(key) = self.keys.get(vm) {
            return *key;
        }
        let key = self.names.insert(vm.clone());
        self.keys.insert(vm.clone(), key);
        key
    }

    /// Returns the name of a VM.
    pub(super) fn name(&self, vm: VmKey) -> Option<SmolStr> {
        self.names.get(vm).cloned()
    }

    /// Returns the keys, names and rows of the pool's VMs.
    pub(super) fn rows(&self) -> Vec<(VmKey, SmolStr, VmRow)> {
        let rows = self.core.vms();
        rows.filter_map(|(vm, row)| Some((vm, self.name(vm)?, *row)))
            .collect()
    }

    /// Passes a row to the core and returns the actions that follow.
    ///
    /// A row is skipped if it names an unknown pool or if the VM's zone and rack aren't known.
    pub(super) fn observe(
        &mut self,
        state: &State,
        vm: &SmolStr,
        read: &Versioned<VmRecord>,
        now: UnixMs,
    ) -> Vec<PoolAction> {
        let Some(row) = core_row(&state.site, &read.row) else {
            return Vec::new();
        };
        let Some(place) = self.place(state, vm) else {
            return Vec::new();
        };
        let key = self.key_or_insert(vm);
        self.core
            .observe(key, place, RowVersion(read.version), row, now)
    }

    fn place(&mut self, state: &State, vm: &SmolStr) -> Option<Place> {
        let entry = state.list.iter().find(|entry| entry.id == *vm);
        let (zone, rack) = match entry {
            Some(entry) => (entry.zone.clone(), entry.rack.clone()),
            // A VM that is no longer listed keeps its last known zone and rack.
            None => return self.last_known_place(vm),
        };
        let next = RackId(u32::try_from(self.racks.len()).unwrap_or(u32::MAX));
        let rack = *self.racks.entry((zone.clone(), rack)).or_insert(next);
        Some(Place {
            zone: state.site.zone(&zone)?,
            rack,
        })
    }

    fn last_known_place(&self, vm: &SmolStr) -> Option<Place> {
        let key = self.keys.get(vm)?;
        self.core.place(*key)
    }
}

/// Coordinators of all pools that this entry VM coordinates.
#[derive(Default)]
pub(crate) struct Coordinators {
    pools: SecondaryMap<PoolKey, Coordination>,
    /// Current version of each pool's row, with the time at which this process first read it.
    first_read: FxHashMap<SmolStr, (u64, Instant)>,
}

impl Coordinators {
    /// Ensures that a pool has a coordinator for this version of its row and of the configuration.
    ///
    /// A coordinator with another fence or configuration version, or one that was deposed, is
    /// replaced by a new one.
    pub(super) fn ensure_coordinator(
        &mut self,
        pool: PoolKey,
        read: &Versioned<PoolCoordination>,
        version: u64,
        settings: PoolSettings,
    ) {
        let fence = Fence {
            pool,
            version: RowVersion(read.version),
            epoch: Epoch(read.row.epoch),
        };
        let same = self.pools.get(pool).is_some_and(|known| {
            known.fence == fence && known.version == version && !known.core.is_deposed()
        });
        if !same {
            let coordination = Coordination::new(fence, version, settings);
            self.pools.insert(pool, coordination);
        }
    }

    /// Returns for how long this process has seen a pool's row at the given version.
    pub(super) fn unchanged_for(&mut self, pool: &SmolStr, version: u64, now: Instant) -> Duration {
        let first = self
            .first_read
            .entry(pool.clone())
            .or_insert((version, now));
        if first.0 != version {
            *first = (version, now);
        }
        now.saturating_duration_since(first.1)
    }

    /// Removes the coordinator of a pool that this entry VM doesn't coordinate.
    pub(super) fn drop_pool(&mut self, pool: PoolKey) {
        self.pools.remove(pool);
    }

    /// Returns the coordinator of a pool.
    pub(super) fn get_mut(&mut self, pool: PoolKey) -> Option<&mut Coordination> {
        self.pools.get_mut(pool)
    }

    /// Returns the fence that makes the writes of a pool's coordinator conditional.
    pub(super) fn fence(&self, pool: PoolKey) -> Option<Fence> {
        self.pools.get(pool).map(|coordination| coordination.fence)
    }

    /// Returns the name of a VM of a pool.
    pub(super) fn name(&self, pool: PoolKey, vm: VmKey) -> Option<SmolStr> {
        self.pools.get(pool)?.name(vm)
    }
}
