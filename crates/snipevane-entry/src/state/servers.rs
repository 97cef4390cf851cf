//! Backend servers of this entry VM's zone, with the slots dealt to it.

use std::time::Instant;

use smol_str::SmolStr;
use snipevane_core::members::VmView;
use snipevane_core::routing::ServerSpec;
use snipevane_platform::{VmEntry, VmRole};

use super::State;

impl State {
    /// Takes over the platform's list of VMs.
    pub(crate) fn put_list(&mut self, list: Vec<VmEntry>) {
        self.list = list;
    }

    /// Brings the router in line with the list, the configuration and the shards held.
    pub(crate) fn sync_servers(&mut self, now: Instant) {
        let specs = self.server_specs();
        self.router.sync(specs, now);
        let views: Vec<(SmolStr, bool)> = self
            .list
            .iter()
            .filter(|entry| entry.role == VmRole::Backend)
            .map(|entry| {
                (
                    entry.id.clone(),
                    self.members.view(&entry.id, now) != VmView::Serving
                        || !self.takes_work(&entry.id),
                )
            })
            .collect();
        for (vm, leaving) in views {
            self.router.set_leaving(&vm, leaving);
        }
    }

    fn server_specs(&self) -> Vec<ServerSpec> {
        let mut specs = Vec::new();
        for (key, service) in &self.site.services {
            let slots = self.slot_deals.total_allowance(&service.name);
            let Some(pool) = self.site.pools.get(service.pool).filter(|_| slots > 0) else {
                continue;
            };
            let members = self.list.iter().filter(|entry| {
                let here = entry.role == VmRole::Backend && entry.zone == self.zone;
                here && self.belongs_to(&entry.id, pool)
            });
            let slots = u16::try_from(slots).unwrap_or(u16::MAX);
            specs.extend(members.map(|entry| ServerSpec {
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
