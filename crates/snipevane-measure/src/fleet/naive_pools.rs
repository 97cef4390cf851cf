//! A naive policy for pools: moves by the load of the moment, roll-out pool after pool.

use snipevane_core::pools::{UnixMs, VmEvent};

use super::pool_policy::{BUDGET_PERCENT, Phase, PoolPolicy, SimLoad, VmStatus};
use super::setting::Size;

/// Time between two looks at the load, in seconds.
const LOOK_SECS: u64 = 30;

/// Part of its capacity in use below which a pool gives VMs back.
const GIVE_BACK_BELOW: f64 = 0.3;

#[derive(Clone, Copy, Debug)]
struct NaiveVm {
    pool: usize,
    phase: Phase,
    to: Option<usize>,
    maintained: bool,
}

/// Moves VMs to whichever pool lacks them now. Rolls out to one pool after the other, in batches of
/// what the budget allows less one, each batch once the former serves again;
/// meanwhile it moves nothing.
pub(super) struct NaivePools {
    size: Size,
    vms: Vec<NaiveVm>,
    rolling_out: bool,
    moves: usize,
}

impl NaivePools {
    pub(super) fn new(size: Size) -> Self {
        let vms = (0..size.pools * size.pool_vms).map(|vm| NaiveVm {
            pool: vm / size.pool_vms,
            phase: Phase::Serving,
            to: None,
            maintained: false,
        });
        Self {
            size,
            vms: vms.collect(),
            rolling_out: false,
            moves: 0,
        }
    }

    fn spare(&self) -> usize {
        self.size.pools - 1
    }

    fn serving(&self, pool: usize) -> Vec<usize> {
        let serves =
            |vm: &usize| self.vms[*vm].pool == pool && self.vms[*vm].phase == Phase::Serving;
        (0..self.vms.len()).filter(serves).collect()
    }

    fn arriving(&self, pool: usize) -> usize {
        self.vms.iter().filter(|vm| vm.to == Some(pool)).count()
    }

    fn shift(&mut self, from: usize, to: usize, count: usize) -> usize {
        let chosen: Vec<usize> = self.serving(from).into_iter().take(count).collect();
        for &vm in &chosen {
            self.vms[vm].to = Some(to);
            self.vms[vm].phase = Phase::Draining;
        }
        self.moves += chosen.len();
        chosen.len()
    }

    fn move_by_load(&mut self, loads: &[SimLoad]) {
        let spare = self.spare();
        for (pool, load) in loads.iter().enumerate().take(spare) {
            let serving = self.serving(pool).len();
            let coming = serving + self.arriving(pool);
            let wanted = load.demand.ceil() as usize;
            if wanted > coming {
                let missing = wanted - coming;
                let moved = self.shift(spare, pool, missing);
                self.take_from_idlest(loads, pool, missing - moved);
            } else if load.demand < serving as f64 * GIVE_BACK_BELOW {
                let extra = serving.saturating_sub(self.size.pool_vms);
                self.shift(pool, spare, extra);
            }
        }
    }

    fn take_from_idlest(&mut self, loads: &[SimLoad], to: usize, missing: usize) {
        let least = self.size.pool_vms / 2;
        let idle = (0..self.spare()).filter(|&pool| pool != to);
        let idle = idle.filter(|&pool| self.serving(pool).len() > least);
        let idlest = idle.min_by(|&a, &b| loads[a].demand.total_cmp(&loads[b].demand));
        if let Some(from) = idlest {
            let can_give = self.serving(from).len() - least;
            self.shift(from, to, missing.min(can_give));
        }
    }

    fn roll_out(&mut self) {
        for pool in 0..self.size.pools {
            let members = self.vms.iter().filter(|vm| vm.pool == pool);
            let left = members.clone().any(|vm| !vm.maintained);
            let under_way = members
                .clone()
                .any(|vm| vm.to.is_none() && vm.phase != Phase::Serving);
            if under_way {
                return;
            }
            if !left {
                continue;
            }
            // One VM of the budget is kept for a failure, as by the policy.
            let budget = members.count() * usize::from(BUDGET_PERCENT) / 100;
            let batch = budget.saturating_sub(1).max(1);
            let serving = self.serving(pool).into_iter();
            let chosen = serving.filter(|&vm| !self.vms[vm].maintained).take(batch);
            for vm in chosen.collect::<Vec<usize>>() {
                self.vms[vm].phase = Phase::Draining;
            }
            return;
        }
    }
}

impl PoolPolicy for NaivePools {
    fn status(&self, vm: usize) -> VmStatus {
        let vm = &self.vms[vm];
        VmStatus {
            pool: vm.pool,
            phase: vm.phase,
            moving: vm.to.is_some(),
        }
    }

    fn event(&mut self, vm: usize, event: VmEvent, _: UnixMs) {
        let vm = &mut self.vms[vm];
        match (event, vm.phase) {
            (VmEvent::Emptied, Phase::Draining) => {
                vm.pool = vm.to.unwrap_or(vm.pool);
                vm.phase = Phase::Rebooting;
            }
            (VmEvent::Booted, Phase::Rebooting) => {
                vm.phase = Phase::Serving;
                vm.to = None;
                vm.maintained |= self.rolling_out;
            }
            (VmEvent::Failed, _) => vm.phase = Phase::Failed,
            (VmEvent::Repaired, Phase::Failed) => vm.phase = Phase::Rebooting,
            _ => {}
        }
    }

    fn round(&mut self, loads: &[SimLoad], now: UnixMs) {
        if self.rolling_out && !self.rolled_out() {
            self.roll_out();
        } else if (now.0 / 1000).is_multiple_of(LOOK_SECS) {
            self.move_by_load(loads);
        }
    }

    fn start_roll_out(&mut self, _: UnixMs) {
        self.rolling_out = true;
    }

    fn rolled_out(&self) -> bool {
        self.rolling_out && self.vms.iter().all(|vm| vm.maintained)
    }

    fn moves(&self) -> usize {
        self.moves
    }
}
