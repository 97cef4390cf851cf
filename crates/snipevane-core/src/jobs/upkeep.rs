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
use super::vm::{Vm, VmOrder, VmReply, VmState, VmWork, WaveOrder};

/// Part of a pool that is emptied or down at a time, in percent, while time suffices.
const POOL_SHARE_PERCENT: usize = 25;
const PERCENT: usize = 100;

/// Time that a VM's upkeep takes with emptying it, if all goes well.
const USUAL_TIME: Duration = Duration::from_millis(5_000);

/// Time after which a VM whose short tasks don't end is taken down all the same.
const EMPTYING_LIMIT: Duration = Duration::from_millis(4_000);

/// Time after a carried out order until the list of VMs surely shows it.
const LIST_LAG: Duration = Duration::from_millis(300);

/// Pause before an order that failed is repeated.
const ORDER_RETRY: Duration = Duration::from_millis(300);

/// How far the upkeep of a VM has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing new is placed; what runs there ends.
    Emptying { since: Duration },
    /// The order is under way, or its outcome isn't known.
    Ordered { retry_at: Option<Duration> },
    /// The order was carried out.
    Down { since: Duration },
}

/// A wave that isn't completed.
#[derive(Clone, Debug)]
struct Wave {
    order: WaveOrder,
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
pub struct Upkeep {
    waves: BTreeMap<u64, Wave>,
    /// Waves whose progress is to be stored.
    changed: BTreeSet<u64>,
}

impl Upkeep {
    /// Takes in a wave, with the progress that an earlier term stored.
    ///
    /// The time that it has runs from when the first term saw it.
    pub fn add_wave(
        &mut self,
        order: &WaveOrder,
        progress: Option<&WaveProgress>,
        now: Duration,
        unix_ms: u64,
    ) {
        if self.waves.contains_key(&order.number) {
            return;
        }
        let stored = progress.map_or(0, |progress| progress.seen_unix_ms);
        let seen_unix_ms = if stored == 0 { unix_ms } else { stored };
        let age = Duration::from_millis(unix_ms.saturating_sub(seen_unix_ms));
        let done = progress.map_or_else(BTreeSet::new, |progress| {
            progress.done.iter().cloned().collect()
        });
        let wave = Wave {
            order: order.clone(),
            seen_at: now.saturating_sub(age),
            seen_unix_ms,
            done,
            phases: BTreeMap::new(),
            completed: progress.is_some_and(|progress| progress.completed),
        };
        self.changed.insert(order.number);
        self.waves.insert(order.number, wave);
    }

    /// Returns whether a wave isn't completed.
    pub fn is_active(&self) -> bool {
        self.waves.values().any(|wave| !wave.completed)
    }

    /// Returns whether a wave is known.
    pub fn knows(&self, number: u64) -> bool {
        self.waves.contains_key(&number)
    }

    /// Returns whether a VM is wanted for upkeep that it hasn't had.
    pub fn wants(&self, vm: &str) -> bool {
        let mut open = self.waves.values().filter(|wave| !wave.completed);
        open.any(|wave| {
            let named = wave.order.vms.iter().any(|name| name == vm);
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
            number: wave.order.number,
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
            wave.settle(&by_name, asked_at);
            wave.begin(scheduler, &by_name, now);
            wave.advance(scheduler, &by_name, now, &mut orders);
            wave.completed = wave.is_complete(&by_name);
            if wave.completed || wave.done.len() != before {
                self.changed.insert(wave.order.number);
            }
        }
        orders
    }

    /// Returns whether a VM is being emptied or taken down.
    pub fn occupies(&self, vm: &str) -> bool {
        let mut open = self.waves.values().filter(|wave| !wave.completed);
        open.any(|wave| wave.phases.contains_key(vm))
    }

    /// Takes in what came of an order.
    pub fn replied(&mut self, vm: &str, wave: u64, reply: VmReply, now: Duration) {
        let Some(wave) = self.waves.get_mut(&wave) else {
            return;
        };
        let number = wave.order.number;
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
            VmReply::Fenced | VmReply::Busy | VmReply::TooMany | VmReply::Unknown => {
                let retry_at = Some(now + ORDER_RETRY);
                wave.phases.insert(vm.into(), Phase::Ordered { retry_at });
            }
        }
    }
}

impl Wave {
    /// Forgets VMs that are up again.
    fn settle(&mut self, vms: &FxHashMap<&SmolStr, &Vm>, asked_at: Duration) {
        self.phases.retain(|name, phase| match phase {
            Phase::Down { since } => {
                let shown = asked_at > *since + LIST_LAG;
                let up = vms.get(name).is_none_or(|vm| vm.state == VmState::Up);
                !(shown && up)
            }
            Phase::Emptying { .. } | Phase::Ordered { .. } => true,
        });
    }

    /// Begins to empty VMs: idle ones first, few of a pool at a time while time suffices.
    fn begin(&mut self, scheduler: &Scheduler, vms: &FxHashMap<&SmolStr, &Vm>, now: Duration) {
        let open: Vec<&Vm> = self.open(vms);
        let mut sizes: FxHashMap<&SmolStr, usize> = FxHashMap::default();
        for vm in vms.values() {
            *sizes.entry(&vm.pool).or_default() += 1;
        }
        let mut busy: FxHashMap<&SmolStr, usize> = FxHashMap::default();
        for name in self.phases.keys() {
            if let Some(vm) = vms.get(name) {
                *busy.entry(&vm.pool).or_default() += 1;
            }
        }
        let away = self.away_otherwise(vms);
        let hurry = self.is_late(open.len(), now);
        let mut open: Vec<(usize, &Vm)> = open
            .into_iter()
            .map(|vm| (scheduler.load_of(vm), vm))
            .collect();
        open.sort_by_key(|(load, vm)| (*load, vm.name.clone()));
        for (load, vm) in open {
            if self.phases.len() + away >= self.order.at_once {
                return;
            }
            let size = sizes.get(&vm.pool).copied().unwrap_or(1);
            let most = (size * POOL_SHARE_PERCENT / PERCENT).max(1);
            let taken = busy.entry(&vm.pool).or_default();
            if *taken >= most && load > 0 && !hurry {
                continue;
            }
            *taken += 1;
            let phase = Phase::Emptying { since: now };
            self.phases.insert(vm.name.clone(), phase);
        }
    }

    /// Returns the VMs that are up and have upkeep to come.
    fn open<'a>(&self, vms: &FxHashMap<&SmolStr, &'a Vm>) -> Vec<&'a Vm> {
        let named = self.order.vms.iter();
        let waiting =
            named.filter(|name| !self.done.contains(*name) && !self.phases.contains_key(*name));
        let present = waiting.filter_map(|name| vms.get(name).copied());
        present.filter(|vm| vm.state == VmState::Up).collect()
    }

    /// Returns the number of the wave's VMs that aren't up for a reason that isn't known here, such
    /// as the upkeep that an earlier term began.
    fn away_otherwise(&self, vms: &FxHashMap<&SmolStr, &Vm>) -> usize {
        let named = self
            .order
            .vms
            .iter()
            .filter(|name| !self.phases.contains_key(*name));
        let away = named
            .filter_map(|name| vms.get(name))
            .filter(|vm| vm.state != VmState::Up);
        away.count()
    }

    /// Returns whether the rest of the time needs all VMs that may be down at once.
    fn is_late(&self, open: usize, now: Duration) -> bool {
        let rounds = open.div_ceil(self.order.at_once.max(1)) as u32 + 1;
        let end = self.seen_at + Duration::from_millis(self.order.within_ms);
        now + USUAL_TIME * rounds > end
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
            .filter(|phase| !matches!(phase, Phase::Emptying { .. }));
        let mut down = down.count() + self.away_otherwise(vms);
        let wave = self.order.number;
        for (name, phase) in &mut self.phases {
            let due = match *phase {
                Phase::Emptying { since } => {
                    let Some(vm) = vms.get(name) else {
                        continue;
                    };
                    let patient = now < since + EMPTYING_LIMIT;
                    scheduler.empty(vm, patient, now) && down < self.order.at_once
                }
                Phase::Ordered { retry_at } => retry_at.is_some_and(|at| now >= at),
                Phase::Down { .. } => false,
            };
            if !due {
                continue;
            }
            if matches!(phase, Phase::Emptying { .. }) {
                down += 1;
            }
            *phase = Phase::Ordered { retry_at: None };
            orders.push(VmOrder {
                vm: name.clone(),
                work: VmWork::Upkeep { wave },
            });
        }
    }

    /// Returns whether all VMs that still exist have had their upkeep.
    fn is_complete(&self, vms: &FxHashMap<&SmolStr, &Vm>) -> bool {
        let mut left = self.order.vms.iter().filter(|name| vms.contains_key(*name));
        !vms.is_empty() && left.all(|name| self.done.contains(name))
    }
}

impl Scheduler {
    /// Returns the number of runs on a VM.
    pub(super) fn load_of(&self, vm: &Vm) -> usize {
        let minion = self.minion_of(vm).and_then(|key| self.minions.get(key));
        minion.map_or(0, |minion| minion.runs.len())
    }

    /// Places nothing new on the minions of the VMs that `is_cordoned` names, and only on those.
    pub fn cordon(&mut self, vms: &[Vm], is_cordoned: impl Fn(&Vm) -> bool) {
        for vm in vms {
            let key = self.minion_of(vm);
            if let Some(minion) = key.and_then(|key| self.minions.get_mut(key)) {
                minion.cordoned = is_cordoned(vm);
            }
        }
    }

    /// Returns whether a VM is up and its minion began before a time, in Unix milliseconds.
    pub fn is_settled(&self, vm: &Vm, born_before: u64) -> bool {
        let minion = self.minion_of(vm).and_then(|key| self.minions.get(key));
        let born = minion.and_then(|minion| minion.born);
        vm.state == VmState::Up && born.is_some_and(|born| born < born_before)
    }

    /// Ends what keeps a VM from being taken down, as far as it may; returns whether it is empty.
    ///
    /// Lasting tasks are stopped while their steps allow it. Short tasks end by themselves; if
    /// not `patient`, they no longer count.
    pub(super) fn empty(&mut self, vm: &Vm, patient: bool, now: Duration) -> bool {
        let Some(key) = self.minion_of(vm) else {
            return true;
        };
        let Some(minion) = self.minions.get(key) else {
            return true;
        };
        let runs: Vec<_> = minion.runs.iter().copied().collect();
        let mut empty = true;
        for run in runs {
            let lasting = self.step_of(run).is_some_and(|step| step.long_running);
            if lasting {
                empty = false;
                self.move_away(run, now);
            } else if patient {
                empty = false;
            }
        }
        empty
    }

    pub(super) fn minion_of(&self, vm: &Vm) -> Option<MinionKey> {
        self.minion_ids.get(vm.minion.as_ref()?).copied()
    }
}
