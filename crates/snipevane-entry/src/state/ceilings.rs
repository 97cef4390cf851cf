//! Ceilings of identifiers that shards' holders have announced to their peers.
//!
//! While the platform is away a holder can't write a new ceiling to its shard's row. It announces
//! the ceiling to its peers instead, and uses it once one of them has heard it. Who takes the
//! shard later asks the peers.

use snipevane_core::shards::ShardName;
use snipevane_platform::VmRole;
use snipevane_proto::peer::{Heartbeat, ShardCeiling};

use super::State;

impl State {
    /// Takes note of the ceilings in a heartbeat.
    pub(crate) fn hear_ceilings(&mut self, heartbeat: &Heartbeat) {
        let own = heartbeat.shards.iter().map(|shard| {
            let zone = shard.zone.as_str().into();
            (
                ShardName {
                    zone,
                    index: shard.index,
                },
                shard.ceiling_ms,
            )
        });
        let zone = self.zone.clone();
        let heard = heartbeat.ceilings.iter().map(|ceiling| {
            (
                ShardName {
                    zone: zone.clone(),
                    index: ceiling.index,
                },
                ceiling.ceiling_ms,
            )
        });
        // A row holds the ceilings of shards that announce none.
        let announced = own.chain(heard).filter(|&(_, ceiling_ms)| ceiling_ms > 0);
        for (name, ceiling_ms) in announced {
            let known = self.ceilings.entry(name).or_default();
            *known = ceiling_ms.max(*known);
        }
    }

    /// Lists the ceilings known here for shards of a peer's zone.
    pub(crate) fn ceilings_for(&self, vm: &str) -> Vec<ShardCeiling> {
        let Some(peer) = self.peers.get(vm) else {
            return Vec::new();
        };
        let known = self
            .ceilings
            .iter()
            .filter(|(name, _)| name.zone == peer.zone);
        known
            .map(|(name, &ceiling_ms)| ShardCeiling {
                index: name.index,
                ceiling_ms,
            })
            .collect()
    }

    /// Returns the highest ceiling that was heard of for a shard, in Unix milliseconds.
    pub(crate) fn heard_ceiling(&self, name: &ShardName) -> u64 {
        self.ceilings.get(name).copied().unwrap_or(0)
    }

    /// Tells whether every other entry VM of the platform's list was heard.
    pub(crate) fn heard_all_listed(&self) -> bool {
        let heard = |vm: &str| {
            self.peers
                .get(vm)
                .is_some_and(|peer| peer.last_heartbeat_at.is_some())
        };
        let mut listed = self.list.iter().filter(|entry| entry.role == VmRole::Entry);
        self.list_read && listed.all(|entry| entry.id == self.vm || heard(&entry.id))
    }

    /// Announces higher ceilings where the rows can't be written.
    pub(crate) fn announce_ceilings(&mut self, unix_ms: u64) {
        for held in &mut self.held {
            if let Some(next) = held.claims.next_ceiling(unix_ms) {
                held.announced_ms = held.announced_ms.max(next);
            }
        }
    }

    /// Uses the announced ceilings, after a peer has heard them.
    pub(crate) fn use_announced(&mut self, announced: &[(ShardName, u64)]) {
        for (name, ceiling_ms) in announced {
            if let Some(held) = self.held.iter_mut().find(|held| held.name == *name) {
                held.claims.set_ceiling(*ceiling_ms);
            }
        }
    }

    /// Returns the ceilings that are announced for the shards held here.
    pub(crate) fn announced(&self) -> Vec<(ShardName, u64)> {
        self.held
            .iter()
            .map(|held| (held.name.clone(), held.announced_ms))
            .collect()
    }
}
