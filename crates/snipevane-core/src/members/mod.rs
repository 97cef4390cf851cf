//! Membership: which VMs serve, from the platform's lagging list, peers' heartbeats and the signs
//! that requests and health checks give.
//!
//! The list alone says that a VM is gone. Any source alone can say that it leaves.

mod gossip;
mod membership;
mod vm;

pub use gossip::{
    Answer, Delta, Digest, Gossip, GossipLimits, Item, News, Rumor, Summary, Topic, Value,
};
pub use membership::{ListEntry, Members, MembersLimits};
pub use vm::{Sign, VmView};
