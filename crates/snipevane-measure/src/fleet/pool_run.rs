//! Runs pools with bursts in turn, failures, a lasting change of demand and a roll-out.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use snipevane_core::pools::{UnixMs, VmEvent};

use super::demand::burst;
use super::faults;
use super::pool_policy::{BUDGET_PERCENT, Phase, PoolPolicy, SimLoad, rack};
use super::setting::Size;

const HOUR_SECS: u64 = 3600;
const ROLL_OUT_AT_SECS: u64 = 2 * HOUR_SECS;
const RACK_LOST_AT_SECS: u64 = 14 * HOUR_SECS;
const REPAIR_SECS: u64 = 1800;

/// Mean demand of a pool as a part of the VMs that the manifest gives it.
const MEAN_LOAD: f64 = 0.35;

/// Demand of every twentieth pool, from the first on, while it has more to do.
const LASTING_LOAD: f64 = 1.15;
const LASTING_FROM_SECS: u64 = 6 * HOUR_SECS;
const LASTING_TO_SECS: u64 = 9 * HOUR_SECS;
const POOLS_TO_A_LASTING_ONE: usize = 20;

/// Wait beyond which work counts as late, in seconds.
const LATE_SECS: f64 = 10.0;

/// What a run of pools showed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PoolResult {
    pub(super) moves: usize,
    pub(super) roll_out_secs: Option<u64>,
    /// Mean part of all VMs that is held in the spare pool or on its way between pools.
    pub(super) buffer: f64,
    /// VM-minutes by which budgets were passed while planned work was under way in the pool.
    pub(super) over_budget_vm_minutes: f64,
    /// Part of the work that waited for longer than [`LATE_SECS`].
    pub(super) late: f64,
}

/// VMs, pools and faults of a run.
pub(super) struct PoolRun<P> {
    policy: P,
    size: Size,
    rng: ChaCha8Rng,
    phases: Vec<Phase>,
    due: Vec<Option<u64>>,
    failures: Vec<(u64, usize)>,
    backlog: Vec<f64>,
    result: PoolResult,
    buffer_sum: f64,
    work: f64,
    late_work: f64,
}

impl<P: PoolPolicy> PoolRun<P> {
    pub(super) fn new(policy: P, size: Size, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let vms = size.pools * size.pool_vms;
        Self {
            failures: failures(&size, &mut rng),
            policy,
            size,
            rng,
            phases: vec![Phase::Serving; vms],
            due: vec![None; vms],
            backlog: vec![0.0; size.pools],
            result: PoolResult::default(),
            buffer_sum: 0.0,
            work: 0.0,
            late_work: 0.0,
        }
    }

    /// Runs to the end and returns what was seen.
    pub(super) fn run(mut self) -> PoolResult {
        let run_secs = self.size.pools_for.as_secs();
        for secs in 1..=run_secs {
            self.step(secs);
        }
        let vms = self.phases.len() as f64;
        self.result.moves = self.policy.moves();
        self.result.buffer = self.buffer_sum / (vms * run_secs as f64);
        self.result.late = self.late_work / self.work;
        self.result
    }

    fn step(&mut self, secs: u64) {
        let now = UnixMs(secs * 1000);
        for index in 0..self.failures.len() {
            let (at, vm) = self.failures[index];
            if at == secs {
                self.policy.event(vm, VmEvent::Failed, now);
            }
        }
        for vm in 0..self.phases.len() {
            self.follow(vm, secs, now);
        }
        if secs == ROLL_OUT_AT_SECS {
            self.policy.start_roll_out(now);
        }
        let loads = self.serve(secs);
        self.policy.round(&loads, now);
        if self.result.roll_out_secs.is_none() && self.policy.rolled_out() {
            self.result.roll_out_secs = Some(secs - ROLL_OUT_AT_SECS);
        }
    }

    /// Starts a timer for each phase that ends by itself and reports its end.
    fn follow(&mut self, vm: usize, secs: u64, now: UnixMs) {
        let phase = self.policy.status(vm).phase;
        if phase != self.phases[vm] {
            self.phases[vm] = phase;
            self.due[vm] = match phase {
                Phase::Draining => Some(secs + self.rng.random_range(5..40)),
                Phase::Rebooting => Some(secs + self.rng.random_range(120..240)),
                Phase::Failed => Some(secs + REPAIR_SECS),
                Phase::Serving | Phase::Other => None,
            };
        }
        if self.due[vm].is_none_or(|due| due > secs) {
            return;
        }
        self.due[vm] = None;
        let event = match phase {
            Phase::Draining => VmEvent::Emptied,
            Phase::Rebooting => VmEvent::Booted,
            _ => VmEvent::Repaired,
        };
        self.policy.event(vm, event, now);
    }

    /// Serves a second's demand and counts what is out of service.
    fn serve(&mut self, secs: u64) -> Vec<SimLoad> {
        let pools = self.size.pools;
        let mut members = vec![0_u32; pools];
        let mut serving = vec![0_u32; pools];
        let mut planned = vec![false; pools];
        for vm in 0..self.phases.len() {
            let status = self.policy.status(vm);
            let arriving = status.moving && status.phase != Phase::Draining;
            let spare = status.pool == pools - 1;
            self.buffer_sum += f64::from(u8::from(spare || status.moving));
            if arriving {
                continue;
            }
            members[status.pool] += 1;
            serving[status.pool] += u32::from(status.phase == Phase::Serving);
            planned[status.pool] |= matches!(status.phase, Phase::Draining | Phase::Rebooting);
        }
        let mut loads = vec![SimLoad::default(); pools];
        for pool in 0..pools - 1 {
            let allowed = members[pool] * u32::from(BUDGET_PERCENT) / 100;
            let over = (members[pool] - serving[pool]).saturating_sub(allowed);
            if planned[pool] {
                self.result.over_budget_vm_minutes += f64::from(over) / 60.0;
            }
            let demand = self.demand(pool, secs);
            let capacity = f64::from(serving[pool]);
            self.backlog[pool] = (self.backlog[pool] + demand - capacity).max(0.0);
            self.work += demand;
            if self.backlog[pool] > LATE_SECS * capacity {
                self.late_work += demand;
            }
            loads[pool] = SimLoad {
                demand,
                backlog: self.backlog[pool],
            };
        }
        loads
    }

    /// Returns the demand of a pool, in VMs.
    fn demand(&self, pool: usize, secs: u64) -> f64 {
        let lasting = pool.is_multiple_of(POOLS_TO_A_LASTING_ONE)
            && (LASTING_FROM_SECS..LASTING_TO_SECS).contains(&secs);
        let load = if lasting { LASTING_LOAD } else { MEAN_LOAD };
        let level = burst(secs as f64, pool, self.size.pools - 1);
        self.size.pool_vms as f64 * load * level
    }
}

/// Returns failures over the day, and the loss of a rack.
fn failures(size: &Size, rng: &mut ChaCha8Rng) -> Vec<(u64, usize)> {
    let vms = size.pools * size.pool_vms;
    let day = size.pools_for.as_secs();
    let mut failures: Vec<(u64, usize)> = (0..faults::failures(vms))
        .map(|_| (rng.random_range(1..day), rng.random_range(0..vms)))
        .collect();
    let lost = rack(size, rng.random_range(0..vms));
    let in_rack = (0..vms).filter(|&vm| rack(size, vm) == lost);
    failures.extend(in_rack.map(|vm| (RACK_LOST_AT_SECS, vm)));
    failures
}
