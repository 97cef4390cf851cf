//! Maintenance waves: decides when each VM is drained and taken down.
//!
//! A wave may name half of the fleet, and while it lasts, first one pool and then another may be
//! full. So idle VMs go first, only a part of a pool is down at the same time, and long-running
//! tasks are evicted one by one, so that their steps keep the tasks that must stay available.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};
use smol_str::SmolStr;

use super::vm::{Cordon, MaintenanceWave, Vm, VmOperation, VmOrder, VmReply, VmState};
use crate::jobs::event::StopReason;
use crate::jobs::model::keys::MinionKey;
use crate::jobs::scheduler::Scheduler;

/// Part of a pool that may be draining or down at the same time, in percent, unless the wave would
/// be late. Idle VMs may exceed it.
const MAX_POOL_PERCENT: usize = 25;
const PERCENT: usize = 100;

/// Time that the maintenance of a VM takes without delays, including the time to drain it.
const TYPICAL_DURATION: Duration = Duration::from_millis(5_000);

/// Time after which a draining VM is taken down even if tasks that aren't long-running haven't
/// ended.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Time after which the long-running tasks of a draining VM are evicted even if no other minion has room
/// for them. If the VMs of a whole pool drain, none would have room before one of them is done.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(12_000);

/// Longest time from the execution of an order until the list of VMs shows it.
const LIST_LAG: Duration = Duration::from_millis(300);

/// Delay before an order that failed is sent again.
const ORDER_RETRY: Duration = Duration::from_millis(300);

/// Phase of the maintenance of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing new is placed on the VM, and its runs end.
    Draining { since: Duration },
    /// The order is in flight if `retry_at` is `None`. Otherwise it failed or its outcome is
    /// unknown, and it is sent again at `retry_at`.
    Ordered { retry_at: Option<Duration> },
    /// The order was carried out.
    Down { since: Duration },
}

/// What the drain of a VM still waits for.
#[derive(Clone, Copy, Debug)]
struct DrainWaits {
    /// Whether tasks that aren't long-running keep the VM from being taken down.
    for_other_tasks: bool,
    /// Whether the VM is still to be cordoned, so that long-running tasks stay.
    for_cordon: bool,
    /// Whether long-running tasks stay until another minion has room for them.
    for_room: bool,
}

/// A wave and its progress.
#[derive(Clone, Debug)]
struct Wave {
    spec: MaintenanceWave,
    seen_at: Duration,
    seen_unix_ms: u64,
    settled: BTreeSet<SmolStr>,
    phases: BTreeMap<SmolStr, Phase>,
    completed: bool,
}

/// Progress of a wave, as kept in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveProgress {
    /// Number of the wave.
    pub number: u64,
    /// VMs whose maintenance has begun, or whose order the platform rejected for good.
    pub settled: Vec<SmolStr>,
    /// Whether the maintenance of all VMs that still exist has begun or was rejected for good.
    pub completed: bool,
    /// Time at which the wave was first seen, in Unix milliseconds; 0 if unknown.
    pub seen_unix_ms: u64,
}

/// Plans the maintenance of VMs.
#[derive(Clone, Debug, Default)]
pub struct MaintenancePlanner {
    waves: BTreeMap<u64, Wave>,
    /// Waves whose progress has changed since it was last taken to be stored.
    changed: BTreeSet<u64>,
}

impl MaintenancePlanner {
    /// Adds a wave, with the progress that an earlier term stored.
    ///
    /// The time limit of the wave runs from the time at which the first term saw it.
    pub fn add_wave(
        &mut self,
        spec: &MaintenanceWave,
        progress: Option<&WaveProgress>,
        now: Duration,
        unix_ms: u64,
    ) {
        if self.waves.contains_key(&spec.number) {
            return;
        }
        let stored = progress.map_or(0, |progress| progress.seen_unix_ms);
        let seen_unix_ms = if stored == 0 { unix_ms } else { stored };
        let age = Duration::from_millis(unix_ms.saturating_sub(seen_unix_ms));
        let settled = progress.map_or_else(BTreeSet::new, |progress| {
            progress.settled.iter().cloned().collect()
        });
        let wave = Wave {
            spec: spec.clone(),
            seen_at: now.saturating_sub(age),
            seen_unix_ms,
            settled,
            phases: BTreeMap::new(),
            completed: progress.is_some_and(|progress| progress.completed),
        };
        if stored == 0 {
            self.changed.insert(spec.number);
        }
        self.waves.insert(spec.number, wave);
    }

    /// Returns whether some wave isn't completed.
    pub fn has_active_wave(&self) -> bool {
        self.waves.values().any(|wave| !wave.completed)
    }

    /// Returns whether the wave with this number has been added.
    pub fn has_wave(&self, number: u64) -> bool {
        self.waves.contains_key(&number)
    }

    /// Returns the VMs that waves name and whose maintenance hasn't begun.
    pub fn awaiting_vms(&self) -> FxHashSet<&SmolStr> {
        let active = self.waves.values().filter(|wave| !wave.completed);
        let awaiting = active.flat_map(|wave| {
            let named = wave.spec.vms.iter();
            named.filter(|name| !wave.settled.contains(*name))
        });
        awaiting.collect()
    }

    /// Returns the progress that has changed since the last call and is to be stored.
    pub fn take_changes(&mut self) -> Vec<WaveProgress> {
        let changed = std::mem::take(&mut self.changed);
        let mut progress = self.progress();
        progress.retain(|progress| changed.contains(&progress.number));
        progress
    }

    /// Returns the progress of all waves.
    pub fn progress(&self) -> Vec<WaveProgress> {
        let progress = self.waves.values().map(|wave| WaveProgress {
            number: wave.spec.number,
            settled: wave.settled.iter().cloned().collect(),
            completed: wave.completed,
            seen_unix_ms: wave.seen_unix_ms,
        });
        progress.collect()
    }

    /// Decides which VMs to drain, and returns the orders to send now.
    ///
    /// `vms` is the list of VMs that was requested at `asked_at`.
    pub fn decide(
        &mut self,
        scheduler: &mut Scheduler,
        vms: &[Vm],
        asked_at: Duration,
        now: Duration,
    ) -> Vec<VmOrder> {
        let by_name: FxHashMap<&SmolStr, &Vm> = vms.iter().map(|vm| (&vm.name, vm)).collect();
        let mut orders = Vec::new();
        for wave in self.waves.values_mut().filter(|wave| !wave.completed) {
            let before = wave.settled.len();
            wave.remove_returned(&by_name, asked_at);
            wave.start_draining(scheduler, &by_name, now);
            wave.advance(scheduler, &by_name, now, &mut orders);
            wave.completed = wave.is_complete(&by_name);
            if wave.completed || wave.settled.len() != before {
                self.changed.insert(wave.spec.number);
            }
        }
        orders
    }

    /// Returns whether a VM is draining or down for maintenance.
    pub fn is_in_progress(&self, vm: &str) -> bool {
        let mut active = self.waves.values().filter(|wave| !wave.completed);
        active.any(|wave| wave.phases.contains_key(vm))
    }

    /// Returns how the minion of a VM is to be cordoned.
    pub fn cordon(&self, vm: &str) -> Cordon {
        let active = self.waves.values().filter(|wave| !wave.completed);
        let phases = active.filter_map(|wave| wave.phases.get(vm));
        let cordons = phases.map(|phase| match phase {
            Phase::Draining { .. } => Cordon::Draining,
            Phase::Ordered { .. } | Phase::Down { .. } => Cordon::Ordered,
        });
        cordons.max().unwrap_or_default()
    }

    /// Applies the outcome of an order.
    pub fn replied(&mut self, vm: &str, wave: u64, reply: VmReply, now: Duration) {
        let Some(wave) = self.waves.get_mut(&wave) else {
            return;
        };
        let number = wave.spec.number;
        match reply {
            VmReply::Done => {
                wave.settled.insert(vm.into());
                wave.phases.insert(vm.into(), Phase::Down { since: now });
                self.changed.insert(number);
            }
            VmReply::NotInWave | VmReply::Invalid => {
                wave.settled.insert(vm.into());
                wave.phases.remove(vm);
                self.changed.insert(number);
            }
            VmReply::Fenced | VmReply::Busy | VmReply::NotCarriedOut | VmReply::Unknown => {
                let retry_at = Some(now + ORDER_RETRY);
                wave.phases.insert(vm.into(), Phase::Ordered { retry_at });
            }
        }
    }
}

impl Wave {
    /// Removes VMs that are up again or gone after maintenance, according to a recent enough list.
    fn remove_returned(&mut self, vms: &FxHashMap<&SmolStr, &Vm>, asked_at: Duration) {
        self.phases.retain(|name, phase| match phase {
            Phase::Down { since } => {
                let shown = asked_at > *since + LIST_LAG;
                let up = vms.get(name).is_none_or(|vm| vm.state == VmState::Up);
                !(shown && up)
            }
            Phase::Draining { .. } | Phase::Ordered { .. } => true,
        });
    }

    /// Starts to drain VMs: idle ones first, and only a part of each pool unless the wave would be
    /// late.
    fn start_draining(
        &mut self,
        scheduler: &Scheduler,
        vms: &FxHashMap<&SmolStr, &Vm>,
        now: Duration,
    ) {
        let pending: Vec<&Vm> = self.pending(vms);
        let mut pool_sizes: FxHashMap<&SmolStr, usize> = FxHashMap::default();
        for vm in vms.values() {
            *pool_sizes.entry(&vm.pool).or_default() += 1;
        }
        let mut in_progress: FxHashMap<&SmolStr, usize> = FxHashMap::default();
        for name in self.phases.keys() {
            if let Some(vm) = vms.get(name) {
                *in_progress.entry(&vm.pool).or_default() += 1;
            }
        }
        let unavailable = self.other_unavailable(vms);
        let full_rate = self.needs_full_rate(pending.len(), now);
        let mut pending: Vec<(usize, &Vm)> = pending
            .into_iter()
            .map(|vm| (scheduler.run_count_on(vm), vm))
            .collect();
        pending.sort_by_key(|(run_count, vm)| (*run_count, vm.name.clone()));
        for (run_count, vm) in pending {
            if self.phases.len() + unavailable >= self.spec.max_unavailable {
                return;
            }
            let size = pool_sizes.get(&vm.pool).copied().unwrap_or(1);
            let limit = (size * MAX_POOL_PERCENT / PERCENT).max(1);
            let count = in_progress.entry(&vm.pool).or_default();
            if *count >= limit && run_count > 0 && !full_rate {
                continue;
            }
            *count += 1;
            let phase = Phase::Draining { since: now };
            self.phases.insert(vm.name.clone(), phase);
        }
    }

    /// Returns the VMs of the wave that are up and whose maintenance hasn't started.
    fn pending<'a>(&self, vms: &FxHashMap<&SmolStr, &'a Vm>) -> Vec<&'a Vm> {
        let named = self.spec.vms.iter();
        let waiting =
            named.filter(|name| !self.settled.contains(*name) && !self.phases.contains_key(*name));
        let present = waiting.filter_map(|name| vms.get(name).copied());
        present.filter(|vm| vm.state == VmState::Up).collect()
    }

    /// Returns the number of the wave's VMs that are unavailable for other reasons than maintenance
    /// that this term started, for example maintenance that an earlier term started.
    fn other_unavailable(&self, vms: &FxHashMap<&SmolStr, &Vm>) -> usize {
        let named = self
            .spec
            .vms
            .iter()
            .filter(|name| !self.phases.contains_key(*name));
        let unavailable = named
            .filter_map(|name| vms.get(name))
            .filter(|vm| vm.state != VmState::Up);
        unavailable.count()
    }

    /// Returns whether the wave can only be done in time with as many VMs down as it allows.
    fn needs_full_rate(&self, pending: usize, now: Duration) -> bool {
        let rounds = pending.div_ceil(self.spec.max_unavailable.max(1)) as u32 + 1;
        let end = self.seen_at + Duration::from_millis(self.spec.time_limit_ms);
        now + TYPICAL_DURATION * rounds > end
    }

    /// Drains VMs, and orders the maintenance of those that are drained.
    fn advance(
        &mut self,
        scheduler: &mut Scheduler,
        vms: &FxHashMap<&SmolStr, &Vm>,
        now: Duration,
        orders: &mut Vec<VmOrder>,
    ) {
        let down = self
            .phases
            .values()
            .filter(|phase| !matches!(phase, Phase::Draining { .. }));
        let mut down = down.count() + self.other_unavailable(vms);
        let wave = self.spec.number;
        for (name, phase) in &mut self.phases {
            let due = match *phase {
                Phase::Draining { since } => {
                    let Some(vm) = vms.get(name) else {
                        continue;
                    };
                    let waits = DrainWaits {
                        for_other_tasks: now < since + DRAIN_TIMEOUT,
                        // The VMs that begin to drain in this round aren't cordoned yet, so they would
                        // count as room for each other's tasks.
                        for_cordon: now <= since,
                        for_room: now < since + EVICTION_TIMEOUT,
                    };
                    scheduler.drain(vm, waits, now) && down < self.spec.max_unavailable
                }
                Phase::Ordered { retry_at } => retry_at.is_some_and(|at| now >= at),
                Phase::Down { .. } => false,
            };
            if !due {
                continue;
            }
            if matches!(phase, Phase::Draining { .. }) {
                down += 1;
            }
            *phase = Phase::Ordered { retry_at: None };
            orders.push(VmOrder {
                vm: name.clone(),
                operation: VmOperation::Maintenance { wave },
            });
        }
    }

    /// Returns whether the maintenance of all VMs that still exist has begun or was rejected for
    /// good.
    ///
    /// Returns false for an empty list of VMs.
    fn is_complete(&self, vms: &FxHashMap<&SmolStr, &Vm>) -> bool {
        let mut left = self.spec.vms.iter().filter(|name| vms.contains_key(*name));
        !vms.is_empty() && left.all(|name| self.settled.contains(name))
    }
}

impl Scheduler {
    /// Returns the number of runs on a VM.
    pub(in crate::jobs) fn run_count_on(&self, vm: &Vm) -> usize {
        let minion = self.minion_of(vm).and_then(|key| self.minions.get(key));
        minion.map_or(0, |minion| minion.runs.len())
    }

    /// Cordons the minions of these VMs, or uncordons them. Nothing new is placed on a cordoned minion.
    pub fn update_cordons(&mut self, vms: &[Vm], cordon_of: impl Fn(&Vm) -> Cordon) {
        for vm in vms {
            let key = self.minion_of(vm);
            if let Some(minion) = key.and_then(|key| self.minions.get_mut(key)) {
                minion.cordon = cordon_of(vm);
            }
        }
    }

    /// Marks the minions of the VMs whose maintenance is requested and hasn't begun, and no others of `vms`.
    pub fn mark_awaiting_maintenance(&mut self, vms: &[Vm], awaiting: &FxHashSet<&SmolStr>) {
        for vm in vms {
            let key = self.minion_of(vm);
            if let Some(minion) = key.and_then(|key| self.minions.get_mut(key)) {
                minion.awaits_maintenance = awaiting.contains(&vm.name);
            }
        }
    }

    /// Drains a VM as far as its tasks allow now; returns whether it may be taken down.
    ///
    /// Long-running tasks are evicted unless too many others of their steps are unavailable. Tasks
    /// that aren't long-running end by themselves. Unreported runs of an earlier term always do, as any of them
    /// may be long-running.
    fn drain(&mut self, vm: &Vm, waits: DrainWaits, now: Duration) -> bool {
        if self.has_unreported_minion(vm, now) {
            return false;
        }
        let Some(key) = self.minion_of(vm) else {
            return true;
        };
        let Some(minion) = self.minions.get(key) else {
            return true;
        };
        let runs: Vec<_> = minion.runs.iter().copied().collect();
        let mut empty = true;
        for run in runs {
            let is_long_running = self.step_of(run).is_some_and(|step| step.long_running);
            if is_long_running {
                empty = false;
                let may_start_again = !waits.for_room || self.has_room_elsewhere(run, now);
                if !waits.for_cordon && may_start_again {
                    self.evict_run(run, StopReason::Evicted, now);
                }
            } else if waits.for_other_tasks {
                empty = false;
            }
        }
        empty
    }

    /// Returns whether a VM's minion may have unreported runs of an earlier term.
    pub(in crate::jobs) fn has_unreported_minion(&self, vm: &Vm, now: Duration) -> bool {
        let minion = vm.minion.as_ref();
        minion.is_some_and(|id| self.is_unreported(id, now))
    }

    pub(in crate::jobs) fn minion_of(&self, vm: &Vm) -> Option<MinionKey> {
        self.minion_ids.get(vm.minion.as_ref()?).copied()
    }
}
