//! VMs for which the platform has confirmed an order that takes them down, until the list of VMs
//! shows whether it did.
//!
//! The platform also confirms an order that was already carried out earlier, as happens after a
//! takeover. In that case the VM is up and its runs continue, so only the list of VMs tells the two
//! cases apart.

use std::time::Duration;

use super::vm::{Vm, VmState};
use crate::jobs::scheduler::Scheduler;

/// Longest time from the confirmation of an order until the list of VMs shows its effect.
const LIST_LAG: Duration = Duration::from_millis(300);

/// Time after the confirmation of an order from which the leases on a VM of which the list tells nothing certain have
/// decided about its runs.
const UNCERTAIN_PERIOD: Duration = Duration::from_secs(10);

/// What a list tells of a VM for which an order was confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    TakenDown,
    StillUp,
    Uncertain,
}

/// VMs whose orders were confirmed, while the list of VMs may not show the effect yet.
#[derive(Clone, Debug, Default)]
pub struct PendingShutdowns {
    waiting: Vec<(Vm, Duration)>,
}

impl PendingShutdowns {
    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a VM for which an order was confirmed, and marks its minion as suspect.
    pub fn add(&mut self, scheduler: &mut Scheduler, vm: Vm, now: Duration) {
        scheduler.mark_vm_suspect(&vm);
        self.waiting.push((vm, now));
    }

    /// Ends the runs on the VMs that a list, requested at `asked_at`, shows as taken down.
    ///
    /// VMs that are still up once the list must show the effect are removed, and their runs
    /// continue. So do those on VMs of which the list doesn't tell whether they are up with the same minion.
    pub fn resolve(&mut self, scheduler: &mut Scheduler, vms: &[Vm], asked_at: Duration) {
        self.waiting.retain(|(vm, confirmed_at)| {
            if asked_at < *confirmed_at {
                return true;
            }
            match fate(vm, vms) {
                Fate::TakenDown => {
                    scheduler.handle_vm_shutdown(vm);
                    false
                }
                Fate::StillUp => asked_at < *confirmed_at + LIST_LAG,
                Fate::Uncertain => asked_at < *confirmed_at + UNCERTAIN_PERIOD,
            }
        });
    }
}

impl Scheduler {
    /// Marks a VM's minion as suspect: nothing is placed on it until it has listed its runs again.
    fn mark_vm_suspect(&mut self, vm: &Vm) {
        if let Some(key) = self.minion_of(vm) {
            self.mark_suspect(key);
        }
    }

    /// Ends the runs on a VM that was taken down, and marks its minion as suspect.
    fn handle_vm_shutdown(&mut self, vm: &Vm) {
        if let Some(key) = self.minion_of(vm) {
            self.end_runs_of_vm_taken_down(key);
            self.mark_suspect(key);
        }
    }
}

/// Returns what a list tells of a VM as it was when an order for it was confirmed.
fn fate(ordered: &Vm, vms: &[Vm]) -> Fate {
    let listed = vms.iter().find(|listed| listed.name == ordered.name);
    let Some(listed) = listed else {
        return Fate::Uncertain;
    };
    match (listed.state, &listed.minion) {
        (VmState::Moving | VmState::Maintenance, _) | (VmState::Down, None) => Fate::TakenDown,
        (_, Some(minion)) if ordered.minion.as_ref() != Some(minion) => Fate::TakenDown,
        (VmState::Up, Some(_)) => Fate::StillUp,
        (VmState::Up | VmState::Unknown, None) | (VmState::Down | VmState::Unknown, Some(_)) => {
            Fate::Uncertain
        }
    }
}
