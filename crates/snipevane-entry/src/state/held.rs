//! A shard that this entry VM holds.

use std::sync::Arc;
use std::time::Instant;

use snipevane_core::claims::{self, Claims};
use snipevane_core::shards::ShardName;
use snipevane_proto::rows::ShardHolder;

use super::State;
use crate::request::Answer;

/// An answer that is kept for retries with the same identifier.
#[derive(Clone, Debug)]
pub(crate) struct KeptAnswer(pub(crate) Arc<Answer>);

impl claims::StoredResponse for KeptAnswer {
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
    /// Whether the shard is about to be given back; no identifier is accepted any more.
    pub(crate) closing: bool,
    /// Ceiling that peers are told of before it's used, in Unix milliseconds.
    pub(crate) announced_ms: u64,
    /// Claims on the identifiers.
    pub(crate) claims: Claims<KeptAnswer>,
}

impl State {
    /// Tells whether a reachable entry VM of this zone holds no shard.
    pub(crate) fn someone_lacks_a_shard(&self) -> bool {
        let mut zone = self.peers.iter().filter(|(_, peer)| peer.zone == self.zone);
        zone.any(|(_, peer)| peer.takes_requests() && peer.shards.is_empty())
    }

    /// Stops using the shard that was taken last, unless one is closing already.
    pub(crate) fn close_last_shard(&mut self, now: Instant) {
        if self.held.iter().any(|held| held.closing) {
            return;
        }
        // Requests of the former holder may run until the shard is usable.
        let Some(held) = self.held.last_mut().filter(|held| held.usable) else {
            return;
        };
        held.closing = true;
        held.claims.close();
        let name = held.name.clone();
        self.limit_deals.remove_shard(&name);
        self.slot_deals.remove_shard(&name);
        self.refresh_allowances();
        self.sync_servers(now);
    }

    /// Tells whether no unit and no slot is in use, those of requests that may still run included.
    pub(crate) fn is_idle(&self) -> bool {
        let units = self.limits.in_use_by_names().all(|(_, units)| units == 0);
        units && self.router.stats().all(|counts| counts.slots_in_use == 0)
    }
}
