//! Checks the services and the queues.

use snipevane_proto::manifest::{Pool, Service};

use super::checker::{Checker, Indexed, List};
use super::pools::plural;

/// All of a pool's VMs, in percent.
const HUNDRED_PERCENT: usize = 100;

impl Checker<'_> {
    /// Checks the services and their references to pools.
    pub(super) fn check_services(&mut self) {
        let manifest = self.manifest;
        for (position, service) in manifest.services.iter().enumerate() {
            self.check_service_limits(position, service);
            match self.pools.get(service.pool.as_str()).copied() {
                Some(pool) => self.check_host_pool(position, service, pool),
                None if !self.names_match_schema(List::Pools, manifest.pools.len()) => {}
                None => {
                    let message = format!("the pool {:?} doesn't exist", service.pool);
                    let hint = "use the name of a pool in the manifest";
                    self.add(List::Services, position, "pool", message, hint);
                }
            }
        }
    }

    /// Checks the queues and their references to services.
    pub(super) fn check_queues(&mut self) {
        let manifest = self.manifest;
        for (position, queue) in manifest.queues.iter().enumerate() {
            let consequence = "no request can be answered in time";
            let deadline_ms = queue.deadline_ms;
            self.require_positive(
                List::Queues,
                position,
                "deadline_ms",
                deadline_ms,
                consequence,
            );
            let known = self.services.contains_key(queue.service.as_str());
            if !known && self.names_match_schema(List::Services, manifest.services.len()) {
                let message = format!("the service {:?} doesn't exist", queue.service);
                let hint = "use the name of a service in the manifest";
                self.add(List::Queues, position, "service", message, hint);
            }
        }
    }

    /// Checks a service's slots, connections and run time.
    fn check_service_limits(&mut self, position: usize, service: &Service) {
        let (slots, connections) = (service.slots, service.connections);
        let consequence = "a backend server can run no request";
        self.require_positive(List::Services, position, "slots", slots.into(), consequence);
        if connections < slots && self.matches_schema(List::Services, position, "slots") {
            let message = format!("{connections} connections are too few to use {slots} slots");
            let hint = "allow at least as many connections as slots";
            self.add(List::Services, position, "connections", message, hint);
        }
        let consequence = "every request exceeds its time limit";
        let longest_run_ms = service.longest_run_ms;
        self.require_positive(
            List::Services,
            position,
            "longest_run_ms",
            longest_run_ms,
            consequence,
        );
    }

    /// Checks the pool that hosts a service.
    fn check_host_pool(&mut self, position: usize, service: &Service, pool: Indexed<'_, Pool>) {
        let Indexed {
            position: host,
            item: pool,
        } = pool;
        if pool.spare {
            let message = format!("{:?} is the spare pool, which can't host jobs", pool.name);
            let hint = "choose another pool";
            self.add(List::Services, position, "pool", message, hint);
            return;
        }
        let lists_jobs = !pool.jobs.is_empty()
            && self.matches_schema(List::Pools, host, "jobs")
            && self.matches_schema(List::Services, position, "name");
        if lists_jobs && !pool.jobs.contains(&service.name) {
            let message = format!("the pool {:?} doesn't list the service as a job", pool.name);
            let hint = "add the service to the pool's jobs";
            self.add(List::Services, position, "pool", message, hint);
        }
        if !self.matches_schema(List::Pools, host, "vms") {
            return;
        }
        if pool.vms.is_empty() {
            let message = format!("the pool {:?} has no VMs", pool.name);
            let hint = "add VMs to the pool";
            self.add(List::Services, position, "pool", message, hint);
            return;
        }
        self.check_budget(position, service, pool.vms.len());
    }

    /// Checks that the unavailability budget is at most 100 percent and allows at least one VM to be
    /// unavailable.
    fn check_budget(&mut self, position: usize, service: &Service, vms: usize) {
        let member = "unavailable_budget_percent";
        let percent = usize::from(service.unavailable_budget_percent);
        if percent > HUNDRED_PERCENT {
            let message = format!("{percent} percent exceeds 100 percent of the backend servers");
            self.add(
                List::Services,
                position,
                member,
                message,
                "set it to at most 100",
            );
            return;
        }
        if vms * percent / HUNDRED_PERCENT == 0 {
            let message = format!(
                "{percent} percent of {} is less than one VM, so no maintenance wave could take a VM",
                plural(vms, "VM")
            );
            let least = HUNDRED_PERCENT.div_ceil(vms);
            let hint = format!("allow at least {least} percent or add VMs to the pool");
            self.add(List::Services, position, member, message, hint);
        }
    }
}
