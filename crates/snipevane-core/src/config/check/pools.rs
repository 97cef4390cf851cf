//! Checks the pools and their VMs.

use std::collections::HashMap;

use snipevane_proto::manifest::Pool;

use super::checker::{Checker, List, item_pointer};
use super::names::{is_valid_name, name_hint};

impl Checker<'_> {
    /// Checks the pools, that exactly one of them is the spare pool, and that no VM is listed twice.
    pub(super) fn check_pools(&mut self) {
        let manifest = self.manifest;
        for (position, pool) in manifest.pools.iter().enumerate() {
            self.check_min_vms(position, pool);
            self.check_jobs(position, pool);
        }
        self.check_spare_pool();
        self.check_vms();
    }

    fn check_min_vms(&mut self, position: usize, pool: &Pool) {
        let vms = pool.vms.len();
        let has_min_vms = usize::try_from(pool.min_vms).is_ok_and(|min_vms| min_vms <= vms);
        if has_min_vms || !self.matches_schema(List::Pools, position, "vms") {
            return;
        }
        let message = format!(
            "the pool must keep {} VMs but has only {}",
            pool.min_vms,
            plural(vms, "VM")
        );
        let hint = "add VMs or lower min_vms";
        self.add(List::Pools, position, "min_vms", message, hint);
    }

    fn check_jobs(&mut self, position: usize, pool: &Pool) {
        if pool.spare && !pool.jobs.is_empty() {
            let message = "the spare pool can't host jobs";
            let hint = "move them to another pool";
            self.add(List::Pools, position, "jobs", message, hint);
        }
        for (j, job) in pool.jobs.iter().enumerate() {
            let member = format!("jobs/{j}");
            if !is_valid_name(job) {
                let message = format!("{job:?} is not a valid name");
                self.add(List::Pools, position, &member, message, name_hint());
            }
            if pool.jobs[..j].contains(job) {
                let message = format!("the job {job:?} is listed twice");
                self.add(
                    List::Pools,
                    position,
                    &member,
                    message,
                    "remove one of the entries",
                );
            }
            let Some(service) = self.services.get(job.as_str()).copied() else {
                continue;
            };
            let host = &service.item.pool;
            let references_valid = self.matches_schema(List::Pools, position, "name")
                && self.matches_schema(List::Services, service.position, "pool");
            if references_valid && *host != pool.name {
                let message = format!("the service {job:?} belongs to the pool {host:?}");
                let hint = "use the same pool in both places";
                self.add(List::Pools, position, &member, message, hint);
            }
        }
    }

    fn check_spare_pool(&mut self) {
        let manifest = self.manifest;
        let mut first = None;
        for (position, pool) in manifest.pools.iter().enumerate() {
            if !pool.spare {
                continue;
            }
            if let Some(first) = first {
                let message = format!(
                    "{} is already the spare pool",
                    item_pointer(List::Pools, first)
                );
                let hint = "mark only one pool as spare";
                self.add(List::Pools, position, "spare", message, hint);
            }
            first.get_or_insert(position);
        }
        if first.is_none() {
            let hint = "mark one pool with \"spare\": true";
            self.add_at("/pools".to_owned(), "there is no spare pool", hint);
        }
    }

    fn check_vms(&mut self) {
        let manifest = self.manifest;
        let mut owners: HashMap<&str, usize> = HashMap::new();
        for (position, pool) in manifest.pools.iter().enumerate() {
            for (v, vm) in pool.vms.iter().enumerate() {
                let member = format!("vms/{v}");
                if !is_valid_name(vm) {
                    let message = format!("{vm:?} is not a valid name");
                    self.add(List::Pools, position, &member, message, name_hint());
                }
                if let Some(&owner) = owners.get(vm.as_str()) {
                    let owner = item_pointer(List::Pools, owner);
                    let message = format!("the VM {vm:?} is already in {owner}");
                    let hint = "list each VM once, in one pool";
                    self.add(List::Pools, position, &member, message, hint);
                } else {
                    owners.insert(vm, position);
                }
            }
        }
    }
}

/// Formats a count with its noun, which gets a plural "s" unless the count is 1.
pub(super) fn plural(count: usize, noun: &str) -> String {
    let ending = if count == 1 { "" } else { "s" };
    format!("{count} {noun}{ending}")
}
