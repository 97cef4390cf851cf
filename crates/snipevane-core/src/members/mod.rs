//! Membership: which VMs serve, according to the platform's list, which lags behind, the peers'
//! heartbeats, and signals from requests and health checks.
//!
//! Only the list can report a VM as gone. Any single source can report it as leaving.

mod membership;
mod vm;

pub use membership::{ListEntry, Members, MembershipSettings};
pub use vm::{HealthSignal, VmStatus};
