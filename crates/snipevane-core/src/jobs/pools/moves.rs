//! Moves of VMs between pools.
//!
//! The load of a queue varies: at times it is several times the capacity of its pool, and in
//! between it is low. So VMs move to a pool whose backlog would take too long, from standby pools
//! first, and return to standby once they have been idle for a while. A move costs as much as two
//! seconds in a pool, so idle VMs don't leave at once.

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

use super::demand::{Demand, Work};
use crate::jobs::minions::minion::Minion;
use crate::jobs::scheduler::Scheduler;
use crate::jobs::upkeep::vm::{Cordon, Vm, VmOperation, VmOrder, VmReply, VmState};

/// Settings for moves of VMs between pools.
#[derive(Clone, Copy, Debug)]
pub struct MoveSettings {
    /// Time within which a pool should be able to work off its backlog.
    pub backlog_target: Duration,
    /// Time for which a pool must have a surplus of VMs before it gives any to a standby pool.
    pub scale_down_delay: Duration,
    /// Minimum number of VMs that a pool keeps, standby pools aside.
    pub min_vms: usize,
    /// Part of a VM's processors that is planned to be in use, in percent.
    pub target_utilization_percent: u64,
}

impl Default for MoveSettings {
    fn default() -> Self {
        Self {
            backlog_target: Duration::from_millis(800),
            scale_down_delay: Duration::from_millis(2_200),
            min_vms: 3,
            target_utilization_percent: 85,
        }
    }
}

/// Time after which an order whose effect hasn't shown is given up.
const ORDER_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Longest time from an order until the list of VMs shows its effect.
const LIST_LAG: Duration = Duration::from_millis(200);

const PERCENT: u64 = 100;

#[derive(Clone, Debug)]
enum Phase {
    /// The VM gets no new work and moves once it has no runs.
    Draining,
    /// The order was sent at this time; it is in flight or was carried out.
    Ordered { at: Duration },
}

#[derive(Clone, Debug)]
struct Move {
    to: SmolStr,
    phase: Phase,
}

/// Plans moves of VMs between pools.
#[derive(Clone, Debug, Default)]
pub struct MovePlanner {
    settings: MoveSettings,
    moves: BTreeMap<SmolStr, Move>,
    /// Time from which the scale-down delay of a pool with a surplus of VMs counts.
    surplus_since: FxHashMap<SmolStr, Duration>,
    /// VMs that pools could get, as of the last decision.
    outlook: MoveOutlook,
}

/// VMs that pools could get within the time of a move.
#[derive(Clone, Debug, Default)]
pub struct MoveOutlook {
    pools: FxHashMap<SmolStr, PoolOutlook>,
}

#[derive(Clone, Copy, Debug, Default)]
struct PoolOutlook {
    /// Number of VMs that are moving to the pool.
    incoming: usize,
    /// Number of VMs that other pools could get from this one.
    spare: usize,
}

impl MoveOutlook {
    /// Returns the number of VMs that a pool could get at most: those that are moving to it, and those
    /// that other pools could spare.
    pub fn vms_for(&self, pool: &str) -> usize {
        let incoming = self.pools.get(pool).map_or(0, |pool| pool.incoming);
        let others = self.pools.iter().filter(|(name, _)| *name != pool);
        incoming + others.map(|(_, other)| other.spare).sum::<usize>()
    }
}

/// The VMs that a pool has and needs.
struct PoolPlan<'a> {
    name: SmolStr,
    standby: bool,
    /// Usable VMs that are up in the pool and aren't leaving it.
    vms: Vec<&'a Vm>,
    /// Number of VMs that are moving to the pool.
    incoming: usize,
    /// Number of VMs for long-running tasks and jobs that can meet their deadline.
    target_on_time: usize,
    /// Number of VMs if late jobs are included.
    target_with_late: usize,
}

impl MovePlanner {
    /// Returns whether no move is planned or ordered.
    pub fn is_idle(&self) -> bool {
        self.moves.is_empty()
    }

    /// Returns how the minion of a VM is to be cordoned.
    pub fn cordon(&self, vm: &str) -> Cordon {
        let phase = self.moves.get(vm).map(|planned| &planned.phase);
        phase.map_or(Cordon::None, |phase| match phase {
            Phase::Draining => Cordon::Draining,
            Phase::Ordered { .. } => Cordon::Ordered,
        })
    }

    /// Decides which VMs to move, and returns the orders to send now.
    ///
    /// `vms` is the list of VMs that was requested at `asked_at`. VMs for which `is_excluded` is
    /// true are neither counted nor chosen for a move. At most `max_orders` orders are returned; those for
    /// VMs that join a pool in use come before those to standby pools.
    pub fn decide(
        &mut self,
        scheduler: &mut Scheduler,
        vms: &[Vm],
        is_excluded: impl Fn(&Vm) -> bool,
        max_orders: usize,
        asked_at: Duration,
        now: Duration,
    ) -> Vec<VmOrder> {
        self.remove_finished(vms, asked_at, now);
        let mut plans = self.plan(scheduler, vms, &is_excluded, now);
        self.scale_up(scheduler, &mut plans, now);
        self.outlook = outlook(&plans);
        self.scale_down(scheduler, &plans, max_orders, now);
        self.orders(scheduler, vms, max_orders, now)
    }

    /// Returns the VMs that pools could get, as of the last decision.
    pub fn outlook(&self) -> &MoveOutlook {
        &self.outlook
    }

    /// Applies the outcome of an order.
    pub fn replied(&mut self, vm: &str, reply: VmReply) {
        match reply {
            VmReply::Done | VmReply::Unknown => {}
            VmReply::Fenced
            | VmReply::Busy
            | VmReply::NotInWave
            | VmReply::Invalid
            | VmReply::NotCarriedOut => {
                self.moves.remove(vm);
            }
        }
    }

    /// Removes moves that the list shows as done, and those whose effect never showed.
    fn remove_finished(&mut self, vms: &[Vm], asked_at: Duration, now: Duration) {
        let by_name: FxHashMap<&SmolStr, &Vm> = vms.iter().map(|vm| (&vm.name, vm)).collect();
        self.moves.retain(|name, planned| {
            let Some(vm) = by_name.get(name) else {
                return false;
            };
            match planned.phase {
                Phase::Draining => vm.state == VmState::Up && vm.pool != planned.to,
                Phase::Ordered { at } => {
                    let arrived = vm.pool == planned.to && vm.state == VmState::Up;
                    let shown = asked_at > at + LIST_LAG;
                    !(shown && arrived) && now < at + ORDER_TIMEOUT
                }
            }
        });
    }

    fn plan<'a>(
        &self,
        scheduler: &Scheduler,
        vms: &'a [Vm],
        is_excluded: &impl Fn(&Vm) -> bool,
        now: Duration,
    ) -> Vec<PoolPlan<'a>> {
        let demands = scheduler.demand(now);
        let pools = scheduler.site.pools().iter();
        let plans = pools.map(|pool| {
            let present = vms.iter().filter(|vm| {
                vm.pool == pool.name
                    && vm.state == VmState::Up
                    && !is_excluded(vm)
                    && !scheduler.is_evacuated(&vm.zone)
                    && (pool.standby || scheduler.is_usable(vm, now))
                    && !self.moves.contains_key(&vm.name)
            });
            let incoming = self
                .moves
                .values()
                .filter(|planned| planned.to == pool.name);
            let demand = demands.get(&pool.name).cloned().unwrap_or_default();
            let vm = scheduler.largest_capacity(&pool.name);
            let target = |include_late| {
                if pool.standby {
                    0
                } else {
                    self.target(&demand, include_late, vm)
                }
            };
            PoolPlan {
                name: pool.name.clone(),
                standby: pool.standby,
                vms: present.collect(),
                incoming: incoming.count(),
                target_on_time: target(false),
                target_with_late: target(true),
            }
        });
        plans.collect()
    }

    /// Returns the number of VMs that a pool with this demand should have, with or without late
    /// jobs.
    fn target(
        &self,
        demand: &Demand,
        include_late: bool,
        (vm_millis, vm_mib): (u64, u64),
    ) -> usize {
        let usable = (vm_millis * self.settings.target_utilization_percent / PERCENT).max(1);
        let timely = self
            .cpu_millis_for(&demand.on_time)
            .max(demand.arrival_cpu_millis);
        let mut millis = demand.long_running_cpu_millis + timely;
        if include_late {
            millis += self.cpu_millis_for(&demand.late);
        }
        let for_processors = millis.div_ceil(usable) as usize;
        let for_memory = demand.long_running_memory_mib.div_ceil(vm_mib.max(1)) as usize + 1;
        let for_distinct_minions = demand.min_minions;
        for_processors
            .max(for_memory)
            .max(for_distinct_minions)
            .max(self.settings.min_vms)
    }

    /// Returns the processors to plan for this work, in thousandths of a core.
    fn cpu_millis_for(&self, work: &Work) -> u64 {
        let within_target =
            work.core_seconds / self.settings.backlog_target.as_secs_f64() * 1_000.0;
        // More processors than the tasks can use at the same time wouldn't help.
        let useful = (within_target as u64).min(work.running_cpu_millis + work.ready_cpu_millis);
        useful.max(work.running_cpu_millis)
    }

    /// Moves VMs to the pools with the largest shortfall.
    ///
    /// Jobs that can be in time come first: their VMs come from standby pools, then from pools that
    /// have more than such jobs need. Late jobs come second: their VMs come from standby pools,
    /// then from the idle VMs of pools with a surplus.
    fn scale_up(&mut self, scheduler: &Scheduler, plans: &mut [PoolPlan<'_>], now: Duration) {
        for include_late in [false, true] {
            while let Some(to) = largest_shortfall(plans, include_late) {
                let Some((from, vm)) = best_source(scheduler, plans, include_late) else {
                    break;
                };
                let name = plans[from].vms.remove(vm).name.clone();
                plans[to].incoming += 1;
                let planned = Move {
                    to: plans[to].name.clone(),
                    phase: Phase::Draining,
                };
                self.moves.insert(name, planned);
                self.surplus_since.insert(plans[to].name.clone(), now);
            }
        }
    }

    /// Moves idle VMs of pools that have had a surplus for a while to a standby pool.
    ///
    /// No more VMs are drained than can be ordered soon, as they get no work while they wait.
    fn scale_down(
        &mut self,
        scheduler: &Scheduler,
        plans: &[PoolPlan<'_>],
        max_orders: usize,
        now: Duration,
    ) {
        let Some(standby) = plans.iter().find(|plan| plan.standby) else {
            return;
        };
        let draining = self.moves.values();
        let draining = draining.filter(|planned| matches!(planned.phase, Phase::Draining));
        let mut room = max_orders.saturating_sub(draining.count());
        for plan in plans.iter().filter(|plan| !plan.standby) {
            let surplus = plan.surplus(true);
            if surplus == 0 {
                self.surplus_since.remove(&plan.name);
                continue;
            }
            let since = *self.surplus_since.entry(plan.name.clone()).or_insert(now);
            if now < since + self.settings.scale_down_delay {
                continue;
            }
            let mut idle: Vec<&Vm> = plan.vms.clone();
            idle.retain(|vm| scheduler.run_count_on(vm) == 0);
            for vm in idle.into_iter().take(surplus.min(room)) {
                room -= 1;
                let planned = Move {
                    to: standby.name.clone(),
                    phase: Phase::Draining,
                };
                self.moves.insert(vm.name.clone(), planned);
            }
        }
    }

    /// Returns the orders for draining VMs that have no runs any more, `max_orders` at most. Moves to standby
    /// pools come last.
    fn orders(
        &mut self,
        scheduler: &Scheduler,
        vms: &[Vm],
        max_orders: usize,
        now: Duration,
    ) -> Vec<VmOrder> {
        let idle = vms.iter().filter_map(|vm| {
            let planned = self.moves.get(&vm.name)?;
            let is_draining = matches!(planned.phase, Phase::Draining);
            let pool = scheduler.site.pool(&planned.to);
            let to_standby = pool.is_some_and(|pool| pool.standby);
            (is_draining && scheduler.run_count_on(vm) == 0).then_some((to_standby, vm))
        });
        let mut idle: Vec<(bool, &Vm)> = idle.collect();
        idle.sort_by_key(|&(to_standby, _)| to_standby);
        let mut orders = Vec::new();
        for (_, vm) in idle.into_iter().take(max_orders) {
            let Some(planned) = self.moves.get_mut(&vm.name) else {
                continue;
            };
            planned.phase = Phase::Ordered { at: now };
            orders.push(VmOrder {
                vm: vm.name.clone(),
                operation: VmOperation::Move {
                    pool: planned.to.clone(),
                },
            });
        }
        orders
    }
}

impl PoolPlan<'_> {
    fn target(&self, include_late: bool) -> usize {
        if include_late {
            self.target_with_late
        } else {
            self.target_on_time
        }
    }

    fn shortfall(&self, include_late: bool) -> usize {
        self.target(include_late)
            .saturating_sub(self.vms.len() + self.incoming)
    }

    fn surplus(&self, include_late: bool) -> usize {
        (self.vms.len() + self.incoming).saturating_sub(self.target(include_late))
    }
}

/// Returns the VMs that pools could get.
///
/// A standby pool spares all its VMs, another one those beyond the need of jobs that can be in time.
fn outlook(plans: &[PoolPlan<'_>]) -> MoveOutlook {
    let pools = plans.iter().map(|plan| {
        let outlook = PoolOutlook {
            incoming: plan.incoming,
            spare: plan.surplus(false),
        };
        (plan.name.clone(), outlook)
    });
    MoveOutlook {
        pools: pools.collect(),
    }
}

fn largest_shortfall(plans: &[PoolPlan<'_>], include_late: bool) -> Option<usize> {
    let short_pools = (0..plans.len()).filter(|&index| plans[index].shortfall(include_late) > 0);
    short_pools.max_by_key(|&index| plans[index].shortfall(include_late))
}

/// Returns the indices of the pool and VM to take: from a standby pool, else from the pool with the
/// largest surplus that has a suitable VM.
///
/// Outside standby pools, only VMs without long-running tasks are taken, and for late jobs only
/// idle ones.
fn best_source(
    scheduler: &Scheduler,
    plans: &[PoolPlan<'_>],
    include_late: bool,
) -> Option<(usize, usize)> {
    let standby = plans
        .iter()
        .position(|plan| plan.standby && !plan.vms.is_empty());
    if let Some(from) = standby {
        return Some((from, 0));
    }
    let surplus = plans.iter().enumerate();
    let surplus = surplus.filter(|(_, plan)| !plan.standby && plan.surplus(include_late) > 0);
    let mut surplus: Vec<(usize, &PoolPlan<'_>)> = surplus.collect();
    surplus.sort_by_key(|(_, plan)| std::cmp::Reverse(plan.surplus(include_late)));
    surplus.into_iter().find_map(|(from, plan)| {
        let movable = plan.vms.iter().enumerate();
        let movable = movable.filter(|(_, vm)| !scheduler.has_long_running_tasks(vm));
        let (index, vm) = movable.min_by_key(|(_, vm)| scheduler.run_count_on(vm))?;
        (!include_late || scheduler.run_count_on(vm) == 0).then_some((from, index))
    })
}

impl Scheduler {
    /// Returns whether a long-running task runs on a VM.
    fn has_long_running_tasks(&self, vm: &Vm) -> bool {
        let minion = self.minion_of(vm).and_then(|key| self.minions.get(key));
        let mut runs = minion.into_iter().flat_map(|minion| &minion.runs);
        runs.any(|&run| self.step_of(run).is_some_and(|step| step.long_running))
    }

    /// Returns whether a VM's minion is listed, is neither suspect nor draining, and has no
    /// unreported runs of an earlier term.
    fn is_usable(&self, vm: &Vm, now: Duration) -> bool {
        let minion = self.minion_of(vm).and_then(|key| self.minions.get(key));
        minion.is_some_and(|minion| minion.listed && !minion.suspect && !minion.entry.draining)
            && !self.has_unreported_minion(vm, now)
    }

    /// Returns the most processors, in thousandths of a core, and the most memory, in mebibytes, of
    /// any minion of a pool, or of any minion at all if the pool has none.
    pub(in crate::jobs) fn largest_capacity(&self, pool: &str) -> (u64, u64) {
        let of_pool = self
            .minions
            .values()
            .filter(|minion| minion.entry.pool == pool);
        let any = self.minions.values();
        let largest = |capacity: (u64, u64), (millis, mib): (u64, u64)| {
            (capacity.0.max(millis), capacity.1.max(mib))
        };
        let sizes = |minion: &Minion| {
            (
                minion.entry.capacity.cpu_millis,
                minion.entry.capacity.memory_mib,
            )
        };
        let largest_in_pool = of_pool.map(sizes).fold((0, 0), largest);
        if largest_in_pool.0 > 0 {
            largest_in_pool
        } else {
            any.map(sizes).fold((0, 0), largest)
        }
    }
}
