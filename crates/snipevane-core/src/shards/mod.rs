//! Shards, to which slots, limits and identifiers are allocated, and the entry VMs that hold them.

mod acquire;
mod allocation;
mod lock;
mod name;
mod owners;
mod uuid_time;

pub use acquire::{Acquisition, Holder, ShardRow, decide_acquisition};
pub use allocation::{ConcentrationSettings, ShardSet, allocate, shard_of};
pub use lock::{AcquireContext, HeldLock, ShardLock};
pub use name::{ParseShardNameError, ShardName, shard_names};
pub use owners::{IdOwners, Owner};
pub use uuid_time::uuid_unix_ms;
