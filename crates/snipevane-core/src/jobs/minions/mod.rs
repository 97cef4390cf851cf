//! Minions in use and what is known of each.

pub(super) mod hosted_minions;
pub(super) mod incarnations;
pub(super) mod leases;
pub(super) mod minion;
pub(super) mod registry;
