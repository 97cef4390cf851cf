//! Moves of VMs between pools.
//!
//! Answers queues that in turn ask for several times what their pool holds and for little in
//! between: VMs join a pool whose backlog would take too long, from standby pools first, and go
//! back to standby once they have been idle. A move costs as much as two seconds in a pool, so
//! idle VMs wait a while before they go.

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

use super::demand::{Demand, Work};
use super::scheduler::Scheduler;
use super::vm::{Vm, VmOrder, VmReply, VmState, VmWork};

/// Settings of moves.
#[derive(Clone, Copy, Debug)]
pub struct MoveSettings {
    /// Time within which a pool should work off what its jobs ask for.
    pub drain: Duration,
    /// Time for which a pool must have VMs to spare before one goes.
    pub patience: Duration,
    /// VMs that a pool keeps at least.
    pub fewest: usize,
    /// Part of a VM's processors that is planned with, in percent.
    pub planned_percent: u64,
}

impl Default for MoveSettings {
    fn default() -> Self {
        Self {
            drain: Duration::from_millis(800),
            patience: Duration::from_millis(2_200),
            fewest: 3,
            planned_percent: 85,
        }
    }
}

/// Time after which an order without an outcome is forgotten.
const FORGET: Duration = Duration::from_millis(4_000);

/// Time after a carried out order until the list of VMs surely shows it.
const LIST_LAG: Duration = Duration::from_millis(200);

const PERCENT: u64 = 100;

#[derive(Clone, Debug)]
enum Phase {
    /// The VM takes no new work and goes once it is empty.
    Emptying,
    /// The order is under way or carried out.
    Ordered { at: Duration },
}

#[derive(Clone, Debug)]
struct Move {
    to: SmolStr,
    phase: Phase,
}

/// Decides on moves.
#[derive(Clone, Debug, Default)]
pub struct Moves {
    settings: MoveSettings,
    moves: BTreeMap<SmolStr, Move>,
    /// Since when a pool has had VMs to spare.
    spare_since: FxHashMap<SmolStr, Duration>,
}

/// A pool with the VMs that count for it.
struct PoolPlan<'a> {
    name: SmolStr,
    standby: bool,
    /// VMs that are there and stay.
    vms: Vec<&'a Vm>,
    /// VMs that are coming.
    coming: usize,
    /// VMs for lasting tasks and jobs that can meet their objective.
    timely: usize,
    /// VMs for late jobs as well.
    wanted: usize,
}

impl Moves {
    /// Returns whether a VM is about to leave its pool.
    pub fn occupies(&self, vm: &str) -> bool {
        self.moves.contains_key(vm)
    }

    /// Decides which VMs move, and returns the orders to send now.
    ///
    /// `vms` is the list of VMs, asked for at `asked_at`; those that `taken` names are left alone.
    pub fn decide(
        &mut self,
        scheduler: &mut Scheduler,
        vms: &[Vm],
        taken: impl Fn(&Vm) -> bool,
        asked_at: Duration,
        now: Duration,
    ) -> Vec<VmOrder> {
        self.settle(vms, asked_at, now);
        let mut plans = self.plan(scheduler, vms, &taken, now);
        self.fill(scheduler, &mut plans, now);
        self.release(scheduler, &plans, now);
        self.orders(scheduler, vms, now)
    }

    /// Takes in what came of an order.
    pub fn replied(&mut self, vm: &str, reply: VmReply) {
        match reply {
            VmReply::Done | VmReply::Unknown => {}
            VmReply::Fenced
            | VmReply::Busy
            | VmReply::NotInWave
            | VmReply::Invalid
            | VmReply::TooMany => {
                self.moves.remove(vm);
            }
        }
    }

    /// Forgets moves that the list shows as done, and those whose outcome never showed.
    fn settle(&mut self, vms: &[Vm], asked_at: Duration, now: Duration) {
        let by_name: FxHashMap<&SmolStr, &Vm> = vms.iter().map(|vm| (&vm.name, vm)).collect();
        self.moves.retain(|name, planned| {
            let Some(vm) = by_name.get(name) else {
                return false;
            };
            match planned.phase {
                Phase::Emptying => vm.state == VmState::Up && vm.pool != planned.to,
                Phase::Ordered { at } => {
                    let arrived = vm.pool == planned.to && vm.state == VmState::Up;
                    let shown = asked_at > at + LIST_LAG;
                    !(shown && arrived) && now < at + FORGET
                }
            }
        });
    }

    fn plan<'a>(
        &self,
        scheduler: &Scheduler,
        vms: &'a [Vm],
        taken: &impl Fn(&Vm) -> bool,
        now: Duration,
    ) -> Vec<PoolPlan<'a>> {
        let demands = scheduler.demand(now);
        let pools = scheduler.site.pools().iter();
        let plans = pools.map(|pool| {
            let present = vms.iter().filter(|vm| {
                vm.pool == pool.name
                    && vm.state == VmState::Up
                    && !taken(vm)
                    && (pool.standby || scheduler.works(vm))
                    && !self.moves.contains_key(&vm.name)
            });
            let coming = self
                .moves
                .values()
                .filter(|planned| planned.to == pool.name);
            let demand = demands.get(&pool.name).cloned().unwrap_or_default();
            let vm = scheduler.usual_capacity(&pool.name);
            let wanted = |late| {
                if pool.standby {
                    0
                } else {
                    self.wanted(&demand, late, vm)
                }
            };
            PoolPlan {
                name: pool.name.clone(),
                standby: pool.standby,
                vms: present.collect(),
                coming: coming.count(),
                timely: wanted(false),
                wanted: wanted(true),
            }
        });
        plans.collect()
    }

    /// Returns the number of VMs that a pool with this demand should have, for late jobs as well
    /// or only for those in time.
    fn wanted(&self, demand: &Demand, late: bool, (vm_millis, vm_mib): (u64, u64)) -> usize {
        let usable = (vm_millis * self.settings.planned_percent / PERCENT).max(1);
        let timely = self
            .processors_for(&demand.on_time)
            .max(demand.arrival_cpu_millis);
        let mut millis = demand.long_running_cpu_millis + timely;
        if late {
            millis += self.processors_for(&demand.late);
        }
        let for_processors = millis.div_ceil(usable) as usize;
        let for_memory = demand.long_running_memory_mib.div_ceil(vm_mib.max(1)) as usize + 1;
        let for_lasting = demand.min_minions;
        for_processors
            .max(for_memory)
            .max(for_lasting)
            .max(self.settings.fewest)
    }

    /// Returns the processors that work should have, in thousandths of a core.
    fn processors_for(&self, work: &Work) -> u64 {
        let within_drain = work.core_seconds / self.settings.drain.as_secs_f64() * 1_000.0;
        // No more than what could run at the same time.
        let useful = (within_drain as u64).min(work.running_cpu_millis + work.ready_cpu_millis);
        useful.max(work.running_cpu_millis)
    }

    /// Sends VMs to the pools that lack most: first for jobs that can be in time, from standby
    /// pools and from pools that have more than such jobs need; then for late jobs, from standby
    /// pools and idle VMs to spare.
    fn fill(&mut self, scheduler: &Scheduler, plans: &mut [PoolPlan<'_>], now: Duration) {
        for late in [false, true] {
            while let Some(to) = most_lacking(plans, late) {
                let Some((from, vm)) = best_source(scheduler, plans, late) else {
                    break;
                };
                let name = plans[from].vms.remove(vm).name.clone();
                plans[to].coming += 1;
                let planned = Move {
                    to: plans[to].name.clone(),
                    phase: Phase::Emptying,
                };
                self.moves.insert(name, planned);
                self.spare_since.insert(plans[to].name.clone(), now);
            }
        }
    }

    /// Sends VMs that a pool has had to spare for a while to a standby pool.
    fn release(&mut self, scheduler: &Scheduler, plans: &[PoolPlan<'_>], now: Duration) {
        let Some(standby) = plans.iter().find(|plan| plan.standby) else {
            return;
        };
        for plan in plans.iter().filter(|plan| !plan.standby) {
            let spare = plan.spare(true);
            if spare == 0 {
                self.spare_since.remove(&plan.name);
                continue;
            }
            let since = *self.spare_since.entry(plan.name.clone()).or_insert(now);
            if now < since + self.settings.patience {
                continue;
            }
            let mut idle: Vec<&Vm> = plan.vms.clone();
            idle.retain(|vm| scheduler.load_of(vm) == 0);
            for vm in idle.into_iter().take(spare) {
                let planned = Move {
                    to: standby.name.clone(),
                    phase: Phase::Emptying,
                };
                self.moves.insert(vm.name.clone(), planned);
            }
        }
    }

    /// Returns the orders for VMs that are empty.
    fn orders(&mut self, scheduler: &mut Scheduler, vms: &[Vm], now: Duration) -> Vec<VmOrder> {
        let mut orders = Vec::new();
        for vm in vms {
            let Some(planned) = self.moves.get_mut(&vm.name) else {
                continue;
            };
            let waits = matches!(planned.phase, Phase::Emptying);
            if !waits || scheduler.load_of(vm) > 0 {
                continue;
            }
            planned.phase = Phase::Ordered { at: now };
            orders.push(VmOrder {
                vm: vm.name.clone(),
                work: VmWork::Move {
                    pool: planned.to.clone(),
                },
            });
        }
        orders
    }
}

impl PoolPlan<'_> {
    fn wanted(&self, late: bool) -> usize {
        if late { self.wanted } else { self.timely }
    }

    fn lacks(&self, late: bool) -> usize {
        self.wanted(late)
            .saturating_sub(self.vms.len() + self.coming)
    }

    fn spare(&self, late: bool) -> usize {
        (self.vms.len() + self.coming).saturating_sub(self.wanted(late))
    }
}

fn most_lacking(plans: &[PoolPlan<'_>], late: bool) -> Option<usize> {
    let lacking = (0..plans.len()).filter(|&index| plans[index].lacks(late) > 0);
    lacking.max_by_key(|&index| plans[index].lacks(late))
}

/// Returns the pool and VM to take: of a standby pool, else of the pool with most to spare.
///
/// Only VMs without lasting tasks are taken; for late jobs, only idle ones.
fn best_source(
    scheduler: &Scheduler,
    plans: &[PoolPlan<'_>],
    late: bool,
) -> Option<(usize, usize)> {
    let standby = plans
        .iter()
        .position(|plan| plan.standby && !plan.vms.is_empty());
    if let Some(from) = standby {
        return Some((from, 0));
    }
    let spare = plans.iter().enumerate();
    let spare = spare.filter(|(_, plan)| !plan.standby && plan.spare(late) > 0);
    let mut spare: Vec<(usize, &PoolPlan<'_>)> = spare.collect();
    spare.sort_by_key(|(_, plan)| std::cmp::Reverse(plan.spare(late)));
    spare.into_iter().find_map(|(from, plan)| {
        let movable = plan.vms.iter().enumerate();
        let movable = movable.filter(|(_, vm)| !scheduler.has_lasting_tasks(vm));
        let (index, vm) = movable.min_by_key(|(_, vm)| scheduler.load_of(vm))?;
        (!late || scheduler.load_of(vm) == 0).then_some((from, index))
    })
}

impl Scheduler {
    /// Returns whether a lasting task runs on a VM.
    fn has_lasting_tasks(&self, vm: &Vm) -> bool {
        let minion = self.minion_of(vm).and_then(|key| self.minions.get(key));
        let mut runs = minion.into_iter().flat_map(|minion| &minion.runs);
        runs.any(|&run| self.step_of(run).is_some_and(|step| step.long_running))
    }

    /// Returns whether a VM's minion is in reach and stays.
    fn works(&self, vm: &Vm) -> bool {
        let minion = self.minion_of(vm).and_then(|key| self.minions.get(key));
        minion.is_some_and(|minion| minion.listed && !minion.suspect && !minion.entry.draining)
    }

    /// Returns the processors, in thousandths, and memory, in mebibytes, of a usual minion of a
    /// pool, or of any if the pool has none.
    fn usual_capacity(&self, pool: &str) -> (u64, u64) {
        let of_pool = self
            .minions
            .values()
            .filter(|minion| minion.entry.pool == pool);
        let any = self.minions.values();
        let largest = |capacity: (u64, u64), (millis, mib): (u64, u64)| {
            (capacity.0.max(millis), capacity.1.max(mib))
        };
        let sizes = |minion: &super::minion::Minion| {
            (
                minion.entry.capacity.cpu_millis,
                minion.entry.capacity.memory_mib,
            )
        };
        let usual = of_pool.map(sizes).fold((0, 0), largest);
        if usual.0 > 0 {
            usual
        } else {
            any.map(sizes).fold((0, 0), largest)
        }
    }
}
