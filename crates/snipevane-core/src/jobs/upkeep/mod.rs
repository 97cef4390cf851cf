//! VMs and their maintenance.

pub(super) mod evacuation;
pub(super) mod maintenance;
pub(super) mod ordered_vms;
pub(super) mod pending_shutdowns;
pub(super) mod vm;
pub(super) mod vm_list;
pub(super) mod vm_order_budget;
