//! VMs that planned work is said to have taken down, until that is certain.
//!
//! The platform also confirms an order that was carried out before, as after a takeover. Then the
//! VM is up and all that it runs goes on, so only the list of VMs tells which of both happened.

use std::time::Duration;

use super::scheduler::Scheduler;
use super::vm::{Vm, VmState};

/// Time after a confirmed order until the list of VMs surely shows it.
const LIST_LAG: Duration = Duration::from_millis(300);

/// VMs whose orders were confirmed and that no list has shown since.
#[derive(Clone, Debug, Default)]
pub struct PendingShutdowns {
    waiting: Vec<(Vm, Duration)>,
}

impl PendingShutdowns {
    /// Takes note that an order for a VM was confirmed.
    pub fn add(&mut self, scheduler: &mut Scheduler, vm: Vm, now: Duration) {
        scheduler.mark_vm_suspect(&vm);
        self.waiting.push((vm, now));
    }

    /// Ends the runs on VMs that a list, asked for at `asked_at`, shows as taken down.
    pub fn resolve(&mut self, scheduler: &mut Scheduler, vms: &[Vm], asked_at: Duration) {
        self.waiting.retain(|(vm, confirmed_at)| {
            if asked_at < *confirmed_at {
                return true;
            }
            let listed = vms.iter().find(|listed| listed.name == vm.name);
            let still_up = listed
                .is_some_and(|listed| listed.state == VmState::Up && listed.minion == vm.minion);
            if !still_up {
                scheduler.handle_vm_shutdown(vm);
                return false;
            }
            asked_at < *confirmed_at + LIST_LAG
        });
    }
}

impl Scheduler {
    /// Places nothing on a VM until its minion has listed its runs again.
    fn mark_vm_suspect(&mut self, vm: &Vm) {
        if let Some(key) = self.minion_of(vm) {
            self.doubt(key);
        }
    }

    /// Takes note that planned work has ended all that ran on a VM.
    fn handle_vm_shutdown(&mut self, vm: &Vm) {
        if let Some(key) = self.minion_of(vm) {
            self.handle_lost_incarnation(key);
            self.doubt(key);
        }
    }
}
