//! Membership of VMs, which decides where new work is sent.
//!
//! The sources are the platform's list, which lags behind, the peers' heartbeats, and the signals
//! that requests and health checks give. Only the list can report a VM as gone. Any single source
//! can report it as leaving.

mod membership;
mod vm;

pub use membership::{ListEntry, Members, MembershipSettings};
pub use vm::{HealthSignal, VmStatus};
