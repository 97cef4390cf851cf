//! Demand on pools, and moves of VMs between them.

pub(super) mod demand;
pub(super) mod moves;
pub(super) mod pool_stats;
