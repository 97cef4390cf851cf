//! Membership of the VMs that one entry VM knows.

use std::time::{Duration, Instant};

use rustc_hash::{FxHashMap, FxHashSet};
use smol_str::SmolStr;

use super::vm::{HealthSignal, ListState, Vm, VmStatus};

/// Settings of [`Members`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipSettings {
    /// Time since its last heartbeat after which a peer is suspect.
    pub heartbeat_timeout: Duration,
    /// Time for which a VM stays suspect after it refused a connection.
    pub refused_suspicion: Duration,
    /// Maximum delay until the platform's list shows a VM as leaving.
    pub max_list_lag: Duration,
    /// Time after which a health check without a response has failed.
    pub check_timeout: Duration,
    /// Interval between two health checks of a VM that gets no new work.
    pub check_interval: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            heartbeat_timeout: Duration::from_secs(3),
            refused_suspicion: Duration::from_secs(2),
            max_list_lag: Duration::from_secs(120),
            check_timeout: Duration::from_secs(1),
            check_interval: Duration::from_secs(1),
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

/// Combines the platform's list, peers' heartbeats and health signals into a status for each VM.
#[derive(Clone, Debug, Default)]
pub struct Members {
    settings: MembershipSettings,
    vms: FxHashMap<SmolStr, Vm>,
}

impl Members {
    /// Creates an empty membership.
    pub fn new(settings: MembershipSettings) -> Self {
        Self {
            settings,
            vms: FxHashMap::default(),
        }
    }

    /// Records the platform's complete list; a VM that it no longer contains is gone.
    pub fn on_list(&mut self, now: Instant, entries: impl IntoIterator<Item = ListEntry>) {
        let mut listed = FxHashSet::default();
        for entry in entries {
            let vm = self.vms.entry(entry.vm.clone()).or_insert_with(Vm::new);
            vm.record_listed(now, entry.leaving, &self.settings);
            listed.insert(entry.vm);
        }
        for (name, vm) in &mut self.vms {
            let was_listed = !matches!(vm.list_state, ListState::Never);
            if was_listed && !listed.contains(name) {
                vm.list_state = ListState::Dropped;
            }
        }
    }

    /// Records a peer's heartbeat; one of an earlier incarnation is ignored.
    pub fn on_heartbeat(&mut self, now: Instant, peer: &str, incarnation: u64, leaving: bool) {
        let vm = self.vms.entry(peer.into()).or_insert_with(Vm::new);
        if !vm.record_incarnation(now, incarnation) {
            return;
        }
        vm.heartbeat_at = Some(now);
        if leaving {
            vm.record_signal(now, HealthSignal::LeavingHeader, &self.settings);
        }
    }

    /// Records a signal of a VM whose incarnation isn't known; one of an unknown VM is ignored.
    pub fn on_signal(&mut self, now: Instant, vm: &str, signal: HealthSignal) {
        if let Some(vm) = self.vms.get_mut(vm) {
            vm.record_signal(now, signal, &self.settings);
        }
    }

    /// Records a signal of one incarnation of a VM.
    ///
    /// A signal of an earlier incarnation or of an unknown VM is ignored.
    pub fn on_incarnation_signal(
        &mut self,
        now: Instant,
        vm: &str,
        incarnation: u64,
        signal: HealthSignal,
    ) {
        let Some(vm) = self.vms.get_mut(vm) else {
            return;
        };
        if vm.record_incarnation(now, incarnation) {
            vm.record_signal(now, signal, &self.settings);
        }
    }

    /// Returns the status of a VM; an unknown VM is gone.
    pub fn status(&self, vm: &str, now: Instant) -> VmStatus {
        self.vms
            .get(vm)
            .map_or(VmStatus::Gone, |vm| vm.status(now, &self.settings))
    }

    /// Returns the highest incarnation of a VM seen so far, if any.
    pub fn incarnation(&self, vm: &str) -> Option<u64> {
        let vm = self.vms.get(vm)?;
        (vm.incarnation > 0).then_some(vm.incarnation)
    }

    /// Returns the VMs that need a health check now because they get no new work.
    ///
    /// The check of each returned VM counts as sent. After a response that asked to close the
    /// connection, only [`HealthSignal::HealthCheckPassed`] restores a VM to service soon.
    pub fn checks_due(&mut self, now: Instant) -> Vec<SmolStr> {
        let settings = self.settings;
        let mut due = Vec::new();
        for (name, vm) in &mut self.vms {
            let status = vm.status(now, &settings);
            if !matches!(status, VmStatus::Suspect | VmStatus::Leaving) {
                continue;
            }
            let is_due = vm
                .checked_at
                .is_none_or(|at| now.saturating_duration_since(at) >= settings.check_interval);
            if is_due {
                vm.checked_at = Some(now);
                due.push(name.clone());
            }
        }
        due
    }

    /// Returns the names and statuses of all VMs that aren't gone.
    pub fn statuses(&self, now: Instant) -> impl Iterator<Item = (&SmolStr, VmStatus)> {
        self.vms
            .iter()
            .map(move |(name, vm)| (name, vm.status(now, &self.settings)))
            .filter(|&(_, status)| status != VmStatus::Gone)
    }

    /// Removes the VMs that the platform's list dropped.
    pub fn remove_gone(&mut self) {
        self.vms.retain(|_, vm| !vm.is_dropped());
    }
}
