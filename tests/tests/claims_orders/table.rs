//! Fake of the table.

use snipevane_core::shards::{ShardName, ShardRow};
use uuid::Uuid;

use crate::fleet::SHARDS;

/// Conditional write that was sent to the table and isn't applied yet.
pub(crate) struct PendingWrite {
    pub(crate) vm: usize,
    pub(crate) incarnation: Uuid,
    pub(crate) shard: usize,
    pub(crate) expected_version: usize,
    pub(crate) config_version: usize,
    pub(crate) row: ShardRow,
    pub(crate) witness: (usize, Uuid),
}

/// Fake of the table: all versions of each shard's row, and the lists of shards.
#[derive(Default)]
pub(crate) struct Table {
    pub(crate) rows: [Vec<ShardRow>; SHARDS as usize],
    /// Witness that each version of a row names, with its incarnation.
    pub(crate) witnesses: [Vec<(usize, Uuid)>; SHARDS as usize],
    /// Lists of shards, each with the bound above which identifiers belong to it.
    pub(crate) lists: Vec<(u64, Vec<ShardName>)>,
}
