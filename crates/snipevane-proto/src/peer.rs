//! What entry VMs tell each other.

pub use crate::generated::peer::{
    ConfigBody, ConfigChange, Forward, Free, Heartbeat, KeyState, Purpose, ShardCeiling, ShardState,
};

/// Version of the protocol between entry VMs.
pub const PROTOCOL: u32 = 1;
