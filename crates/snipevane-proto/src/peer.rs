//! Messages between entry VMs.

pub use crate::generated::peer::{
    ConfigBody, ConfigChange, DrainedVm, Forward, Free, Heartbeat, KeyState, Operate, Operated,
    Purpose, ShardCeiling, ShardState, Verb,
};

/// Version of the protocol between entry VMs.
pub const PROTOCOL: u32 = 1;
