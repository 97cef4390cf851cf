//! Waves of upkeep: which VM is emptied and taken down when.
//!
//! Answers waves that name half of the fleet while each pool in turn is full: idle VMs go first, a
//! pool gives few at a time, and lasting tasks leave one by one, so that their steps keep what
//! they may not miss.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

use super::minion::MinionKey;
use super::scheduler::Scheduler;
use super::vm::{MaintenanceWave, Vm, VmOperation, VmOrder, VmReply, VmState};

/// Part of a pool that is emptied or down at a time, in percent, while time suffices.
const MAX_POOL_PERCENT: usize = 25;
const PERCENT: usize = 100;

/// Time that a VM's upkeep takes with emptying it, if all goes well.
const TYPICAL_DURATION: Duration = Duration::from_millis(5_000);

/// Time after which a VM whose short tasks don't end is taken down all the same.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Time after a carried out order until the list of VMs surely shows it.
const LIST_LAG: Duration = Duration::from_millis(300);

/// Pause before an order that failed is repeated.
const ORDER_RETRY: Duration = Duration::from_millis(300);

/// How far the upkeep of a VM has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing new is placed; what runs there ends.
    Draining { since: Duration },
    /// The order is under way, or its outcome isn't known.
    Ordered { retry_at: Option<Duration> },
    /// The order was carried out.
    Down { since: Duration },
}

/// A wave that isn't completed.
#[derive(Clone, Debug)]
struct Wave {
    spec: MaintenanceWave,
    seen_at: Duration,
    seen_unix_ms: u64,
    done: BTreeSet<SmolStr>,
    phases: BTreeMap<SmolStr, Phase>,
    completed: bool,
}

/// Progress of a wave that the store keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveProgress {
    /// Number.
    pub number: u64,
    /// VMs whose upkeep has begun.
    pub done: Vec<SmolStr>,
    /// Whether all have had it.
    pub completed: bool,
    /// Time at which the wave was first seen, in Unix milliseconds; 0 if that isn't known.
    pub seen_unix_ms: u64,
}

/// Decides on the upkeep of VMs.
#[derive(Clone, Debug, Default)]
pub struct MaintenancePlanner {
    waves: BTreeMap<u64, Wave>,
    /// Waves whose progress is to be stored.
    changed: BTreeSet<u64>,
}

impl MaintenancePlanner {
    /// Takes in a wave, with the progress that an earlier term stored.
    ///
    /// The time that it has runs from when the first term saw it.
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
        let done = progress.map_or_else(BTreeSet::new, |progress| {
            progress.done.iter().cloned().collect()
        });
        let wave = Wave {
            spec: spec.clone(),
            seen_at: now.saturating_sub(age),
            seen_unix_ms,
            done,
            phases: BTreeMap::new(),
            completed: progress.is_some_and(|progress| progress.completed),
        };
        self.changed.insert(spec.number);
        self.waves.insert(spec.number, wave);
    }

    /// Returns whether a wave isn't completed.
    pub fn has_active_wave(&self) -> bool {
        self.waves.values().any(|wave| !wave.completed)
    }

    /// Returns whether a wave is known.
    pub fn has_wave(&self, number: u64) -> bool {
        self.waves.contains_key(&number)
    }

    /// Returns whether a VM is wanted for upkeep that it hasn't had.
    pub fn needs_maintenance(&self, vm: &str) -> bool {
        let mut active = self.waves.values().filter(|wave| !wave.completed);
        active.any(|wave| {
            let named = wave.spec.vms.iter().any(|name| name == vm);
            named && !wave.done.contains(vm)
        })
    }

    /// Returns the waves whose progress is to be stored.
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
            done: wave.done.iter().cloned().collect(),
            completed: wave.completed,
            seen_unix_ms: wave.seen_unix_ms,
        });
        progress.collect()
    }

    /// Decides which VMs are emptied, and returns the orders to send now.
    ///
    /// `vms` is the list of VMs, asked for at `asked_at`.
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
            let before = wave.done.len();
            wave.remove_returned(&by_name, asked_at);
            wave.start_draining(scheduler, &by_name, now);
            wave.advance(scheduler, &by_name, now, &mut orders);
            wave.completed = wave.is_complete(&by_name);
            if wave.completed || wave.done.len() != before {
                self.changed.insert(wave.spec.number);
            }
        }
        orders
    }

    /// Returns whether a VM is being emptied or taken down.
    pub fn is_in_progress(&self, vm: &str) -> bool {
        let mut active = self.waves.values().filter(|wave| !wave.completed);
        active.any(|wave| wave.phases.contains_key(vm))
    }

    /// Takes in what came of an order.
    pub fn replied(&mut self, vm: &str, wave: u64, reply: VmReply, now: Duration) {
        let Some(wave) = self.waves.get_mut(&wave) else {
            return;
        };
        let number = wave.spec.number;
        match reply {
            VmReply::Done => {
                wave.done.insert(vm.into());
                wave.phases.insert(vm.into(), Phase::Down { since: now });
                self.changed.insert(number);
            }
            VmReply::NotInWave | VmReply::Invalid => {
                wave.done.insert(vm.into());
                wave.phases.remove(vm);
                self.changed.insert(number);
            }
            VmReply::Fenced | VmReply::Busy | VmReply::Throttled | VmReply::Unknown => {
                let retry_at = Some(now + ORDER_RETRY);
                wave.phases.insert(vm.into(), Phase::Ordered { retry_at });
            }
        }
    }
}

impl Wave {
    /// Forgets VMs that are up again.
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

    /// Begins to empty VMs: idle ones first, few of a pool at a time while time suffices.
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

    /// Returns the VMs that are up and have upkeep to come.
    fn pending<'a>(&self, vms: &FxHashMap<&SmolStr, &'a Vm>) -> Vec<&'a Vm> {
        let named = self.spec.vms.iter();
        let waiting =
            named.filter(|name| !self.done.contains(*name) && !self.phases.contains_key(*name));
        let present = waiting.filter_map(|name| vms.get(name).copied());
        present.filter(|vm| vm.state == VmState::Up).collect()
    }

    /// Returns the number of the wave's VMs that aren't up for a reason that isn't known here, such
    /// as the upkeep that an earlier term began.
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

    /// Returns whether the rest of the time needs all VMs that may be down at once.
    fn needs_full_rate(&self, pending: usize, now: Duration) -> bool {
        let rounds = pending.div_ceil(self.spec.max_unavailable.max(1)) as u32 + 1;
        let end = self.seen_at + Duration::from_millis(self.spec.time_limit_ms);
        now + TYPICAL_DURATION * rounds > end
    }

    /// Moves lasting tasks away and orders the upkeep of VMs that are empty.
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
                    let wait_for_short_tasks = now < since + DRAIN_TIMEOUT;
                    scheduler.drain(vm, wait_for_short_tasks, now)
                        && down < self.spec.max_unavailable
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

    /// Returns whether all VMs that still exist have had their upkeep.
    fn is_complete(&self, vms: &FxHashMap<&SmolStr, &Vm>) -> bool {
        let mut left = self.spec.vms.iter().filter(|name| vms.contains_key(*name));
        !vms.is_empty() && left.all(|name| self.done.contains(name))
    }
}

impl Scheduler {
    /// Returns the number of runs on a VM.
    pub(super) fn run_count_on(&self, vm: &Vm) -> usize {
        let minion = self.minion_of(vm).and_then(|key| self.minions.get(key));
        minion.map_or(0, |minion| minion.runs.len())
    }

    /// Places nothing new on the minions of the VMs that `is_cordoned` names, and only on those.
    pub fn update_cordons(&mut self, vms: &[Vm], is_cordoned: impl Fn(&Vm) -> bool) {
        for vm in vms {
            let key = self.minion_of(vm);
            if let Some(minion) = key.and_then(|key| self.minions.get_mut(key)) {
                minion.cordoned = is_cordoned(vm);
            }
        }
    }

    /// Returns whether a VM is up and its minion began before a time, in Unix milliseconds.
    pub fn is_up_since(&self, vm: &Vm, started_before: u64) -> bool {
        let minion = self.minion_of(vm).and_then(|key| self.minions.get(key));
        let incarnation = minion.and_then(|minion| minion.incarnation);
        vm.state == VmState::Up
            && incarnation.is_some_and(|incarnation| incarnation < started_before)
    }

    /// Ends what keeps a VM from being taken down, as far as it may; returns whether it is empty.
    ///
    /// Lasting tasks are stopped while their steps allow it. Short tasks end by themselves; if
    /// not `wait_for_short_tasks`, they no longer count.
    pub(super) fn drain(&mut self, vm: &Vm, wait_for_short_tasks: bool, now: Duration) -> bool {
        let Some(key) = self.minion_of(vm) else {
            return true;
        };
        let Some(minion) = self.minions.get(key) else {
            return true;
        };
        let runs: Vec<_> = minion.runs.iter().copied().collect();
        let mut empty = true;
        for run in runs {
            let is_long_running = self.step_of(run).is_some_and(|step| step.lasting);
            if is_long_running {
                empty = false;
                self.evict_run(run, now);
            } else if wait_for_short_tasks {
                empty = false;
            }
        }
        empty
    }

    pub(super) fn minion_of(&self, vm: &Vm) -> Option<MinionKey> {
        self.minion_ids.get(vm.minion.as_ref()?).copied()
    }
}
