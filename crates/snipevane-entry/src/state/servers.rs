//! Backend servers of this entry VM's zone, with the slots allocated to this entry VM.

use std::net::SocketAddr;
use std::time::Instant;

use smol_str::SmolStr;
use snipevane_core::config::Service;
use snipevane_core::members::{HealthSignal, VmStatus};
use snipevane_core::routing::ServerSpec;
use snipevane_platform::{VmEntry, VmRole, VmState};

use super::{ServerChange, State};

/// Name that events use for a signal from the platform's VM list.
const LIST_SIGNAL: &str = "list";
/// Name that events use for a signal in the headers of a backend server's responses.
const HEADER_SIGNAL: &str = "header";

/// A health check to run against a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HealthCheck {
    /// VM of the server.
    pub(crate) vm: SmolStr,
    /// Address of the server.
    pub(crate) address: SocketAddr,
}

impl State {
    /// Stores the platform's list of VMs.
    pub(crate) fn set_vm_list(&mut self, list: Vec<VmEntry>) {
        self.ever_listed
            .extend(list.iter().map(|entry| entry.id.clone()));
        self.list = list;
    }

    /// Updates the router's servers from the VM list, the configuration and the held shards.
    pub(crate) fn sync_servers(&mut self, now: Instant) {
        let specs = self.server_specs();
        self.router.sync(specs, now);
        self.apply_statuses(now);
    }

    /// Updates the router so that servers that are leaving or suspected of leaving get no new
    /// requests.
    ///
    /// This has to be called regularly, because signals arrive between two reads of the list, and a
    /// suspicion takes effect only when the ejection budget has room.
    pub(crate) fn apply_statuses(&mut self, now: Instant) {
        let backends = self
            .list
            .iter()
            .filter(|entry| entry.role == VmRole::Backend && entry.zone == self.zone);
        let vms: Vec<SmolStr> = backends.map(|entry| entry.id.clone()).collect();
        for vm in vms {
            self.apply_status(&vm, now);
        }
    }

    fn apply_status(&mut self, vm: &str, now: Instant) {
        let status = self.members.status(vm, now);
        let leaving = matches!(status, VmStatus::Leaving | VmStatus::Gone) || !self.takes_work(vm);
        self.router.set_leaving(vm, leaving);
        self.router.set_suspect(vm, status == VmStatus::Suspect);
    }

    /// Returns the changes of the zone's servers since the last call, each change once.
    pub(crate) fn server_changes(&mut self, now: Instant) -> Vec<ServerChange> {
        if !self.list_read || self.site.version == 0 {
            return Vec::new();
        }
        let mut present = Vec::new();
        for service in self.site.services.values() {
            let vms = self.servers_of(service).map(|entry| entry.id.clone());
            present.extend(vms.map(|vm| (vm, service.name.clone())));
        }
        let mut changes = self.server_log.update_present(&present);
        for entry in &self.list {
            let signal = match self.members.status(&entry.id, now) {
                VmStatus::Leaving if entry.state == VmState::Leaving => Some(LIST_SIGNAL),
                VmStatus::Leaving => Some(HEADER_SIGNAL),
                // The signal that raised the suspicion was logged when it arrived.
                VmStatus::Suspect => continue,
                VmStatus::Serving | VmStatus::Gone => None,
            };
            changes.extend(self.server_log.update_leaving(&entry.id, signal));
        }
        changes
    }

    /// Applies a health signal of a server.
    ///
    /// Returns the change to log if the server signalled that it takes no new requests.
    pub(crate) fn on_health_signal(
        &mut self,
        vm: &str,
        signal: HealthSignal,
        now: Instant,
    ) -> Option<ServerChange> {
        self.members.on_signal(now, vm, signal);
        let name = match signal {
            HealthSignal::LeavingHeader => HEADER_SIGNAL,
            HealthSignal::HealthCheckRejected => "health check",
            _ => return None,
        };
        self.apply_status(vm, now);
        self.server_log.update_leaving(vm, Some(name))
    }

    /// Returns the health checks that are to be run now.
    ///
    /// Serving servers whose check isn't due otherwise are included only with `include_serving`.
    /// They are checked too because a server may fail its health check before it shows any other
    /// sign of leaving.
    pub(crate) fn health_checks(
        &mut self,
        include_serving: bool,
        now: Instant,
    ) -> Vec<HealthCheck> {
        let due = self.members.checks_due(now);
        let mut checks = Vec::new();
        for service in self.site.services.values() {
            if !self.has_connection_for_checks(service) {
                continue;
            }
            for entry in self.servers_of(service) {
                let serving = self.members.status(&entry.id, now) == VmStatus::Serving;
                let check = HealthCheck {
                    vm: entry.id.clone(),
                    address: entry.address,
                };
                let wanted = due.contains(&entry.id) || (include_serving && serving);
                if wanted && !checks.contains(&check) {
                    checks.push(check);
                }
            }
        }
        checks
    }

    /// Removes the membership state of VMs that are no longer in the list.
    pub(crate) fn remove_gone(&mut self) {
        self.members.remove_gone();
    }

    /// Returns whether slots of the service are allocated to this entry VM, and its servers accept,
    /// besides the connections of all slots, one for health checks for each shard of the zone.
    fn has_connection_for_checks(&self, service: &Service) -> bool {
        let zone_shards = self.shards.names().iter();
        let zone_shards = zone_shards.filter(|shard| shard.zone == self.zone).count();
        let spare = service.connections.saturating_sub(service.slots);
        let allocated = self.slot_rollout.total_allowance(&service.name);
        allocated > 0 && usize::from(spare) >= zone_shards
    }

    /// Returns the servers of a service in this zone that are in the VM list.
    fn servers_of(&self, service: &Service) -> impl Iterator<Item = &VmEntry> {
        let pool = self.site.pools.get(service.pool);
        self.list.iter().filter(move |entry| {
            let here = entry.role == VmRole::Backend && entry.zone == self.zone;
            here && pool.is_some_and(|pool| self.belongs_to(&entry.id, pool))
        })
    }

    fn server_specs(&self) -> Vec<ServerSpec> {
        let mut specs = Vec::new();
        for (key, service) in &self.site.services {
            let slots = self.slot_rollout.total_allowance(&service.name);
            if slots == 0 {
                continue;
            }
            let slots = u16::try_from(slots).unwrap_or(u16::MAX);
            specs.extend(self.servers_of(service).map(|entry| ServerSpec {
                vm: entry.id.clone(),
                address: entry.address,
                service: key,
                slots,
                // A connection carries one exchange at a time, so the number of slots bounds the
                // connections.
                connections: slots,
            }));
        }
        specs
    }
}
