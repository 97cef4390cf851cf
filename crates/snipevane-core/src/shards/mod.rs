//! Shards: the names that slots, limits and identifiers are dealt out to, and who holds them.

mod acquire;
mod deal;
mod name;
mod owners;
mod tenure;
mod time;

pub use acquire::{Acquisition, Holder, ShardRow, decide};
pub use deal::{Grains, ShardSet, deal, shard_of};
pub use name::{ParseShardNameError, ShardName, shard_names};
pub use owners::{IdOwners, Owner};
pub use tenure::{Held, Observation, Tenure};
pub use time::time_of;
