//! Membership: which VMs serve, from the platform's lagging list, peers' heartbeats and the signs
//! that requests and health checks give.
//!
//! The list alone says that a VM is gone. Any source alone can say that it leaves.

mod membership;
mod vm;

pub use membership::{ListEntry, Members, MembershipSettings};
pub use vm::{HealthSignal, VmStatus};
