//! Backend servers of this entry VM's zone, with the slots dealt to it.

use std::net::SocketAddr;
use std::time::Instant;

use smol_str::SmolStr;
use snipevane_core::config::Service;
use snipevane_core::members::{HealthSignal, VmStatus};
use snipevane_core::routing::ServerSpec;
use snipevane_platform::{VmEntry, VmRole, VmState};

use super::{ServerChange, State};

/// Sign that the events give for the platform's list.
const LIST_SIGNAL: &str = "list";
/// Sign that the events give for what a backend server says in its answers.
const HEADER_SIGNAL: &str = "header";

/// A backend server whose health is to be checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HealthCheck {
    /// VM of the server.
    pub(crate) vm: SmolStr,
    /// Address of the server.
    pub(crate) address: SocketAddr,
}

impl State {
    /// Takes over the platform's list of VMs.
    pub(crate) fn set_vm_list(&mut self, list: Vec<VmEntry>) {
        self.ever_listed
            .extend(list.iter().map(|entry| entry.id.clone()));
        self.list = list;
    }

    /// Brings the router in line with the list, the configuration and the shards held.
    pub(crate) fn sync_servers(&mut self, now: Instant) {
        let specs = self.server_specs();
        self.router.sync(specs, now);
        self.apply_statuses(now);
    }

    /// Keeps new work away from the servers that leave or may leave.
    ///
    /// To be called regularly, because signs come between two reads of the list, and a doubt waits
    /// until the ejection budget has room.
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

    /// Returns what changed of the zone's servers since the last call, each change once.
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
                // The sign that raised the doubt was reported when it came.
                VmStatus::Suspect => continue,
                VmStatus::Serving | VmStatus::Gone => None,
            };
            changes.extend(self.server_log.update_leaving(&entry.id, signal));
        }
        changes
    }

    /// Takes over a sign of a server's state.
    ///
    /// Returns the change to report if the server said that it takes nothing new.
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

    /// Lists the servers whose health is to be checked now.
    ///
    /// Of the servers that serve, only with `include_serving`: one may decline its health check before it
    /// shows any other sign.
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

    /// Drops what is known of the VMs that the list dropped.
    pub(crate) fn remove_gone(&mut self) {
        self.members.remove_gone();
    }

    /// Tells whether a server accepts a connection for checks from each entry VM of the zone,
    /// beside those of all slots.
    fn has_connection_for_checks(&self, service: &Service) -> bool {
        let holders = self.shards.names().iter();
        let holders = holders.filter(|shard| shard.zone == self.zone).count();
        let spare = service.connections.saturating_sub(service.slots);
        let allocated = self.slot_rollout.total_allowance(&service.name);
        allocated > 0 && usize::from(spare) >= holders
    }

    /// Returns the listed servers of a service in this zone.
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
                // One connection carries one exchange, so the slots bound the connections.
                connections: slots,
            }));
        }
        specs
    }
}
