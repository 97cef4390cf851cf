//! Identifier ceilings that the holders of shards have announced to their peers.
//!
//! While the platform is unreachable, a holder can't write a new ceiling to its shard's row.
//! Instead it announces the ceiling to its peers, and uses it once one of them has received it. The
//! next holder of the shard learns the ceiling from the peers.

use snipevane_core::shards::ShardName;
use snipevane_platform::VmRole;
use snipevane_proto::peer::{Heartbeat, ShardCeiling};

use super::State;

impl State {
    /// Records the ceilings in a heartbeat: those of the sender's shards, and those of this zone's
    /// shards that the sender knows.
    pub(crate) fn record_ceilings(&mut self, heartbeat: &Heartbeat) {
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
        let relayed = heartbeat.ceilings.iter().map(|ceiling| {
            (
                ShardName {
                    zone: zone.clone(),
                    index: ceiling.index,
                },
                ceiling.ceiling_ms,
            )
        });
        // A ceiling of 0 means that none was announced; the shard's row has the ceiling then.
        let announced = own.chain(relayed).filter(|&(_, ceiling_ms)| ceiling_ms > 0);
        for (name, ceiling_ms) in announced {
            let known = self.ceilings.entry(name).or_default();
            *known = ceiling_ms.max(*known);
        }
    }

    /// Returns the announced ceilings known here for the shards of a peer's zone.
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

    /// Returns the highest announced ceiling known for a shard, in Unix milliseconds; 0 if there is
    /// none.
    pub(crate) fn max_announced_ceiling(&self, name: &ShardName) -> u64 {
        self.ceilings.get(name).copied().unwrap_or(0)
    }

    /// Returns whether a heartbeat was received from every other entry VM in the platform's list.
    pub(crate) fn has_heard_all_listed(&self) -> bool {
        let has_heard = |vm: &str| {
            self.peers
                .get(vm)
                .is_some_and(|peer| peer.last_heartbeat_at.is_some())
        };
        let mut listed = self.list.iter().filter(|entry| entry.role == VmRole::Entry);
        self.list_read && listed.all(|entry| entry.id == self.vm || has_heard(&entry.id))
    }

    /// Raises the ceilings to announce for held shards, while the rows can't be written.
    pub(crate) fn announce_ceilings(&mut self, unix_ms: u64) {
        for held in &mut self.held {
            if let Some(next) = held.claims.next_ceiling(unix_ms) {
                held.announced_ceiling_ms = held.announced_ceiling_ms.max(next);
            }
        }
    }

    /// Puts announced ceilings in use, after a peer has received them.
    pub(crate) fn apply_announced_ceilings(&mut self, announced: &[(ShardName, u64)]) {
        for (name, ceiling_ms) in announced {
            if let Some(held) = self.held.iter_mut().find(|held| held.name == *name) {
                held.claims.set_ceiling(*ceiling_ms);
            }
        }
    }

    /// Returns the ceilings that this entry VM announces for the shards that it holds.
    pub(crate) fn announced_ceilings(&self) -> Vec<(ShardName, u64)> {
        self.held
            .iter()
            .map(|held| (held.name.clone(), held.announced_ceiling_ms))
            .collect()
    }
}
