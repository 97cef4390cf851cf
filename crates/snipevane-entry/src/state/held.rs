//! Shards that this entry VM holds.

use std::sync::Arc;
use std::time::Instant;

use snipevane_core::claims::{self, Claims};
use snipevane_core::shards::ShardName;
use snipevane_proto::rows::ShardHolder;

use super::State;
use crate::request::UpstreamResponse;

/// A response that is kept for retries with the same identifier.
#[derive(Clone, Debug)]
pub(crate) struct CachedResponse(pub(crate) Arc<UpstreamResponse>);

impl claims::StoredResponse for CachedResponse {
    fn bytes(&self) -> usize {
        self.0.size()
    }
}

/// A shard that this entry VM holds, with the claims on its identifiers.
#[derive(Debug)]
pub(crate) struct HeldShard {
    /// Name.
    pub(crate) name: ShardName,
    /// Row as last written by this entry VM.
    pub(crate) row: ShardHolder,
    /// Version of the row.
    pub(crate) row_version: u64,
    /// Time from which the shard's units and slots may be used.
    pub(crate) usable_at: Instant,
    /// Whether the shard's units and slots have been put in use.
    pub(crate) usable: bool,
    /// Whether the shard is about to be released; new identifiers are no longer accepted.
    pub(crate) closing: bool,
    /// Ceiling announced to peers before it's used, in Unix milliseconds.
    pub(crate) announced_ceiling_ms: u64,
    /// Claims on the shard's identifiers.
    pub(crate) claims: Claims<CachedResponse>,
}

impl State {
    /// Returns whether another entry VM of this zone takes requests but holds no shard.
    pub(crate) fn has_peer_without_shard(&self) -> bool {
        let mut zone = self.peers.iter().filter(|(_, peer)| peer.zone == self.zone);
        zone.any(|(_, peer)| peer.accepts_requests() && peer.shards.is_empty())
    }

    /// Stops using the most recently acquired shard, unless one is already closing.
    pub(crate) fn close_last_shard(&mut self, now: Instant) {
        if self.held.iter().any(|held| held.closing) {
            return;
        }
        // Until the shard is usable, requests of its former holder may still be running.
        let Some(held) = self.held.last_mut().filter(|held| held.usable) else {
            return;
        };
        held.closing = true;
        held.claims.close();
        let name = held.name.clone();
        self.limit_rollout.remove_shard(&name);
        self.slot_rollout.remove_shard(&name);
        self.refresh_allowances();
        self.sync_servers(now);
    }

    /// Returns whether no unit and no slot is in use, including those of requests that may still be
    /// running.
    pub(crate) fn is_idle(&self) -> bool {
        let units = self.limits.in_use_by_names().all(|(_, units)| units == 0);
        units && self.router.stats().all(|stats| stats.slots_in_use == 0)
    }
}
