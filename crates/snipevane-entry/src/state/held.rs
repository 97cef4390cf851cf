//! A shard that this entry VM holds.

use std::sync::Arc;
use std::time::Instant;

use snipevane_core::claims::{self, Claims};
use snipevane_core::shards::ShardName;
use snipevane_proto::rows::ShardHolder;

use crate::request::Answer;

/// An answer that is kept for retries with the same identifier.
#[derive(Clone, Debug)]
pub(crate) struct KeptAnswer(pub(crate) Arc<Answer>);

impl claims::Answer for KeptAnswer {
    fn bytes(&self) -> usize {
        self.0.size()
    }
}

/// A shard that this entry VM holds, with the claims on its identifiers.
#[derive(Debug)]
pub(crate) struct HeldShard {
    /// Name.
    pub(crate) name: ShardName,
    /// Row as this entry VM wrote it last.
    pub(crate) row: ShardHolder,
    /// Version of the row.
    pub(crate) row_version: u64,
    /// Time from which units and slots may be used.
    pub(crate) usable_at: Instant,
    /// Whether units and slots are in use.
    pub(crate) usable: bool,
    /// Ceiling that peers are told of before it's used, in Unix milliseconds.
    pub(crate) announced_ms: u64,
    /// Claims on the identifiers.
    pub(crate) claims: Claims<KeptAnswer>,
}
