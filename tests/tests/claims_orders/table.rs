//! Stand-in of the table.

use snipevane_core::shards::{ShardName, ShardRow};
use uuid::Uuid;

use crate::fleet::SHARDS;

/// A conditional write on its way to the table.
pub(crate) struct PendingWrite {
    pub(crate) vm: usize,
    pub(crate) incarnation: Uuid,
    pub(crate) shard: usize,
    pub(crate) expected_version: usize,
    pub(crate) config_version: usize,
    pub(crate) row: ShardRow,
    pub(crate) witness: (usize, Uuid),
}

/// Stand-in of the table: all former states of each shard's row, and the lists of shards.
#[derive(Default)]
pub(crate) struct Table {
    pub(crate) rows: [Vec<ShardRow>; SHARDS as usize],
    /// Witness that each of the rows names, with its incarnation.
    pub(crate) witnesses: [Vec<(usize, Uuid)>; SHARDS as usize],
    pub(crate) lists: Vec<(u64, Vec<ShardName>)>,
}
