//! The VMs that one entry VM knows.

use std::time::{Duration, Instant};

use rustc_hash::{FxHashMap, FxHashSet};
use smol_str::SmolStr;

use super::vm::{Listed, Sign, Vm, VmView};

/// Settings of [`Members`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembersLimits {
    /// Time without a heartbeat after which a peer is suspect.
    pub heartbeat_timeout: Duration,
    /// Time for which a refused connection makes a VM suspect.
    pub refused_term: Duration,
    /// Longest time that the platform's list takes to show a VM as leaving.
    pub list_lag: Duration,
    /// Time after which a health check without an answer has failed.
    pub check_timeout: Duration,
    /// Time between two health checks of a VM that gets nothing new.
    pub check_every: Duration,
}

impl Default for MembersLimits {
    fn default() -> Self {
        Self {
            heartbeat_timeout: Duration::from_secs(3),
            refused_term: Duration::from_secs(2),
            list_lag: Duration::from_secs(120),
            check_timeout: Duration::from_secs(1),
            check_every: Duration::from_secs(1),
        }
    }
}

/// One VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListEntry {
    /// Name of the VM.
    pub vm: SmolStr,
    /// Whether the list shows the VM as leaving.
    pub leaving: bool,
}

/// Combines the platform's list, peers' heartbeats and signs into one view for each VM.
#[derive(Clone, Debug, Default)]
pub struct Members {
    limits: MembersLimits,
    vms: FxHashMap<SmolStr, Vm>,
}

impl Members {
    /// Creates an empty membership.
    pub fn new(limits: MembersLimits) -> Self {
        Self {
            limits,
            vms: FxHashMap::default(),
        }
    }

    /// Takes over the platform's whole list.
    pub fn on_list(&mut self, now: Instant, entries: impl IntoIterator<Item = ListEntry>) {
        let mut listed = FxHashSet::default();
        for entry in entries {
            let vm = self.vms.entry(entry.vm.clone()).or_insert_with(Vm::new);
            vm.note_listed(now, entry.leaving, &self.limits);
            listed.insert(entry.vm);
        }
        for (name, vm) in &mut self.vms {
            let was_listed = !matches!(vm.listed, Listed::Never);
            if was_listed && !listed.contains(name) {
                vm.listed = Listed::Dropped;
            }
        }
    }

    /// Takes over a peer's heartbeat; one of an earlier incarnation changes nothing.
    pub fn on_heartbeat(&mut self, now: Instant, peer: &str, incarnation: u64, leaving: bool) {
        let vm = self.vms.entry(peer.into()).or_insert_with(Vm::new);
        if !vm.note_incarnation(now, incarnation) {
            return;
        }
        vm.heartbeat_at = Some(now);
        if leaving {
            vm.note_sign(now, Sign::LeavingHeader, &self.limits);
        }
    }

    /// Takes over a sign of a VM whose incarnation isn't known.
    pub fn on_sign(&mut self, now: Instant, vm: &str, sign: Sign) {
        if let Some(vm) = self.vms.get_mut(vm) {
            vm.note_sign(now, sign, &self.limits);
        }
    }

    /// Takes over a sign of one incarnation of a VM; one of an earlier incarnation changes nothing.
    pub fn on_sign_of(&mut self, now: Instant, vm: &str, incarnation: u64, sign: Sign) {
        let Some(vm) = self.vms.get_mut(vm) else {
            return;
        };
        if vm.note_incarnation(now, incarnation) {
            vm.note_sign(now, sign, &self.limits);
        }
    }

    /// Returns the view of a VM.
    pub fn view(&self, vm: &str, now: Instant) -> VmView {
        self.vms
            .get(vm)
            .map_or(VmView::Gone, |vm| vm.view(now, &self.limits))
    }

    /// Returns the highest incarnation seen of a VM.
    pub fn incarnation(&self, vm: &str) -> Option<u64> {
        let vm = self.vms.get(vm)?;
        (vm.incarnation > 0).then_some(vm.incarnation)
    }

    /// Returns the VMs that need a health check now, because they get nothing new.
    ///
    /// Only [`Sign::HealthWell`] brings a VM back soon whose answers asked to close.
    pub fn checks_due(&mut self, now: Instant) -> Vec<SmolStr> {
        let limits = self.limits;
        let mut due = Vec::new();
        for (name, vm) in &mut self.vms {
            let view = vm.view(now, &limits);
            if !matches!(view, VmView::Suspect | VmView::Leaving) {
                continue;
            }
            let waited = vm
                .checked_at
                .is_none_or(|at| now.saturating_duration_since(at) >= limits.check_every);
            if waited {
                vm.checked_at = Some(now);
                due.push(name.clone());
            }
        }
        due
    }

    /// Returns the names and views of all VMs that aren't gone.
    pub fn views(&self, now: Instant) -> impl Iterator<Item = (&SmolStr, VmView)> {
        self.vms
            .iter()
            .map(move |(name, vm)| (name, vm.view(now, &self.limits)))
            .filter(|&(_, view)| view != VmView::Gone)
    }

    /// Drops the record of the VMs that the list dropped.
    pub fn forget_gone(&mut self) {
        self.vms.retain(|_, vm| !vm.is_unknown());
    }
}
