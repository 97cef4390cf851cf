//! What a run asks of a policy for pools, and the core's policy.

use std::time::Duration;

use slotmap::{SecondaryMap, SlotMap};
use snipevane_core::ids::{PoolKey, ServiceKey, VmKey, ZoneKey};
use snipevane_core::pools::{
    Epoch, Fence, MovePlanner, MoveSettings, Operation, OperationId, OperationKind, Place,
    PoolAction, PoolCoordinator, PoolLoad, PoolSettings, RackId, RowVersion, ServiceBudget, UnixMs,
    VmEvent, VmRow, VmState, WriteOutcome,
};
use snipevane_core::waves::{FleetView, Pace, VmView, Wave, WaveSettings, WaveState};

use super::setting::Size;

/// Part of a pool's VMs, in percent, that may be out of service at once.
pub(super) const BUDGET_PERCENT: u8 = 25;

/// Part of its VMs, in percent, below which a pool is filled up from the spare pool.
const LEAST_PERCENT: usize = 80;

const RACK_VMS: usize = 4;

/// Time between two rounds of a wave, in seconds.
const WAVE_ROUND_SECS: u64 = 10;

const WAVE: OperationId = OperationId(1);

/// What a VM does, as far as the run is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Serving,
    Draining,
    Rebooting,
    Failed,
    /// Between two phases.
    Other,
}

/// A VM's pool and phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct VmStatus {
    pub(super) pool: usize,
    pub(super) phase: Phase,
    /// Whether it's on its way between two pools.
    pub(super) moving: bool,
}

/// Demand and backlog of a pool, in VMs and VM-seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SimLoad {
    pub(super) demand: f64,
    pub(super) backlog: f64,
}

/// A policy for pools under the events of a run.
pub(super) trait PoolPolicy {
    fn status(&self, vm: usize) -> VmStatus;
    fn event(&mut self, vm: usize, event: VmEvent, now: UnixMs);
    fn round(&mut self, loads: &[SimLoad], now: UnixMs);
    fn start_roll_out(&mut self, now: UnixMs);
    fn rolled_out(&self) -> bool;
    /// Returns the number of VMs whose move was begun.
    fn moves(&self) -> usize;
}

/// Returns the rack of a VM: four VMs of different pools to a rack.
pub(super) fn rack(size: &Size, vm: usize) -> usize {
    let in_pool = vm % size.pool_vms;
    let pool = vm / size.pool_vms;
    (in_pool * size.pools + pool) / RACK_VMS
}

/// The core's coordinators, move planner and wave, with a table that answers at once.
pub(super) struct CorePools {
    size: Size,
    pools: Vec<PoolKey>,
    vms: Vec<VmKey>,
    vm_index: SecondaryMap<VmKey, usize>,
    places: Vec<Place>,
    rows: Vec<VmRow>,
    versions: Vec<RowVersion>,
    services: SecondaryMap<PoolKey, Vec<ServiceBudget>>,
    coordinators: Vec<PoolCoordinator>,
    planner: MovePlanner,
    wave: Option<Wave>,
    next_operation: u64,
    moves: usize,
}

impl CorePools {
    pub(super) fn new(size: Size) -> Self {
        let mut pool_keys: SlotMap<PoolKey, ()> = SlotMap::with_key();
        let mut zone_keys: SlotMap<ZoneKey, ()> = SlotMap::with_key();
        let mut vm_keys: SlotMap<VmKey, ()> = SlotMap::with_key();
        let pools: Vec<PoolKey> = (0..size.pools).map(|_| pool_keys.insert(())).collect();
        let zones: Vec<ZoneKey> = (0..size.zones).map(|_| zone_keys.insert(())).collect();
        let count = size.pools * size.pool_vms;
        let vms: Vec<VmKey> = (0..count).map(|_| vm_keys.insert(())).collect();
        let places = (0..count).map(|vm| {
            let rack = rack(&size, vm);
            Place {
                zone: zones[rack % size.zones],
                rack: RackId(u32::try_from(rack).unwrap_or(u32::MAX)),
            }
        });
        let rows = (0..count).map(|vm| VmRow::serving(pools[vm / size.pool_vms], UnixMs(0)));
        let services = services(&pools);
        let coordinators = pools.iter().map(|&pool| coordinator(pool, &services));
        let mut this = Self {
            places: places.collect(),
            rows: rows.collect(),
            versions: vec![RowVersion(1); count],
            coordinators: coordinators.collect(),
            vm_index: vms.iter().enumerate().map(|(vm, &key)| (key, vm)).collect(),
            services,
            size,
            pools,
            vms,
            planner: MovePlanner::new(MoveSettings::default()),
            wave: None,
            next_operation: WAVE.0,
            moves: 0,
        };
        for vm in 0..count {
            this.observe(vm, UnixMs(0));
        }
        this
    }

    fn pool_of(&self, vm: usize) -> usize {
        let pool = self.rows[vm].pool;
        self.pools
            .iter()
            .position(|&other| other == pool)
            .unwrap_or_default()
    }

    fn observe(&mut self, vm: usize, now: UnixMs) {
        let pool = self.pool_of(vm);
        let (place, version, row) = (self.places[vm], self.versions[vm], self.rows[vm]);
        let actions = self.coordinators[pool].observe(self.vms[vm], place, version, row, now);
        self.act(pool, actions, now);
    }

    /// Applies writes to the rows; a VM that changes its pool is seen by the new coordinator.
    fn act(&mut self, pool: usize, actions: Vec<PoolAction>, now: UnixMs) {
        for action in actions {
            let PoolAction::Write(write) = action else {
                continue;
            };
            let Some(&vm) = self.vm_index.get(write.vm) else {
                continue;
            };
            self.rows[vm] = write.row;
            self.versions[vm] = RowVersion(self.versions[vm].0 + 1);
            let outcome = WriteOutcome::Written(self.versions[vm]);
            let next = self.coordinators[pool].written(write.vm, outcome, now);
            self.act(pool, next, now);
            if self.pool_of(vm) != pool && self.rows[vm].state == VmState::Moving {
                self.observe(vm, now);
            }
        }
    }

    fn begin(&mut self, pool: usize, vm: VmKey, operation: Operation, now: UnixMs) -> bool {
        let Ok(actions) = self.coordinators[pool].begin(operation, &[vm], now) else {
            return false;
        };
        self.act(pool, actions, now);
        true
    }

    fn view(&self) -> FleetView {
        let vms = (0..self.vms.len()).map(|vm| VmView {
            vm: self.vms[vm],
            place: self.places[vm],
            row: self.rows[vm],
        });
        FleetView {
            vms: vms.collect(),
            services: self.services.clone(),
        }
    }

    fn loads(&self, loads: &[SimLoad]) -> Vec<PoolLoad> {
        let home_vms = u32::try_from(self.size.pool_vms).unwrap_or(u32::MAX);
        let least = u32::try_from(self.size.pool_vms * LEAST_PERCENT / 100).unwrap_or_default();
        let last = self.pools.len() - 1;
        let load = |(index, &pool): (usize, &PoolKey)| PoolLoad {
            pool,
            serving: 0,
            arriving: 0,
            min_vms: if index == last { 0 } else { least },
            home_vms,
            spare: index == last,
            demand: loads[index].demand,
            backlog: loads[index].backlog,
        };
        let mut all: Vec<PoolLoad> = self.pools.iter().enumerate().map(load).collect();
        for row in &self.rows {
            let target = match row.operation.map(|held| held.kind) {
                Some(OperationKind::Move { to }) => Some(to),
                _ => None,
            };
            for load in &mut all {
                load.serving += u32::from(row.pool == load.pool && row.is_available());
                load.arriving += u32::from(target == Some(load.pool));
            }
        }
        all
    }

    fn plan_moves(&mut self, loads: &[SimLoad], now: UnixMs) {
        let loads = self.loads(loads);
        for planned in self.planner.decide(&loads, now) {
            let free = |vm: &usize| {
                let row = &self.rows[*vm];
                row.pool == planned.from && row.is_available()
            };
            let free: Vec<usize> = (0..self.vms.len()).filter(free).collect();
            for vm in free.into_iter().take(planned.vms as usize) {
                self.next_operation += 1;
                let operation = Operation {
                    id: OperationId(self.next_operation),
                    kind: OperationKind::Move { to: planned.to },
                };
                let begun = self.begin(self.pool_of(vm), self.vms[vm], operation, now);
                self.moves += usize::from(begun);
            }
        }
    }

    fn roll_out(&mut self, now: UnixMs) {
        let view = self.view();
        let Some(wave) = &mut self.wave else {
            return;
        };
        // Someone looks at a halted wave and lets it go on.
        if matches!(wave.state(), WaveState::Halted(_)) {
            wave.resume();
        }
        for reboot in wave.round(&view, now) {
            let pool = self.pools.iter().position(|&pool| pool == reboot.pool);
            self.begin(pool.unwrap_or_default(), reboot.vm, reboot.operation, now);
        }
    }
}

impl PoolPolicy for CorePools {
    fn status(&self, vm: usize) -> VmStatus {
        let row = &self.rows[vm];
        let phase = match row.state {
            VmState::Serving => Phase::Serving,
            VmState::Draining => Phase::Draining,
            VmState::Rebooting => Phase::Rebooting,
            VmState::Failed => Phase::Failed,
            VmState::Empty | VmState::Moving | VmState::Ready => Phase::Other,
        };
        let kind = row.operation.map(|held| held.kind);
        VmStatus {
            pool: self.pool_of(vm),
            phase,
            moving: matches!(kind, Some(OperationKind::Move { .. })),
        }
    }

    fn event(&mut self, vm: usize, event: VmEvent, now: UnixMs) {
        let pool = self.pool_of(vm);
        let actions = self.coordinators[pool].vm_event(self.vms[vm], event, now);
        self.act(pool, actions, now);
    }

    fn round(&mut self, loads: &[SimLoad], now: UnixMs) {
        self.plan_moves(loads, now);
        if (now.0 / 1000).is_multiple_of(WAVE_ROUND_SECS) && !self.rolled_out() {
            self.roll_out(now);
        }
    }

    fn start_roll_out(&mut self, now: UnixMs) {
        let settings = WaveSettings {
            pace: Pace::Urgent,
            watch: Duration::from_secs(120),
            ..WaveSettings::default()
        };
        self.wave = Wave::new(WAVE, settings, &self.view(), now).ok();
    }

    fn rolled_out(&self) -> bool {
        let state = self.wave.as_ref().map(Wave::state);
        state == Some(WaveState::Done)
    }

    fn moves(&self) -> usize {
        self.moves
    }
}

/// Returns the budgets of the pools; the last pool is the spare pool and has none.
fn services(pools: &[PoolKey]) -> SecondaryMap<PoolKey, Vec<ServiceBudget>> {
    let mut service_keys: SlotMap<ServiceKey, ()> = SlotMap::with_key();
    let mut services = SecondaryMap::new();
    for (index, &pool) in pools.iter().enumerate() {
        let budget = ServiceBudget {
            service: service_keys.insert(()),
            unavailable_percent: BUDGET_PERCENT,
        };
        let spare = index + 1 == pools.len();
        services.insert(pool, if spare { Vec::new() } else { vec![budget] });
    }
    services
}

fn coordinator(
    pool: PoolKey,
    services: &SecondaryMap<PoolKey, Vec<ServiceBudget>>,
) -> PoolCoordinator {
    let fence = Fence {
        pool,
        version: RowVersion(1),
        epoch: Epoch(1),
    };
    let settings = PoolSettings {
        services: services.get(pool).cloned().unwrap_or_default(),
        ..PoolSettings::default()
    };
    PoolCoordinator::new(fence, settings)
}
