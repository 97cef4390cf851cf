//! Gives shards back with nothing running on them.

use snipevane_core::clock::Clock;
use snipevane_proto::rows::{SHARD, ShardHolder};

use crate::control::{Control, Platform};
use crate::journal::kinds;
use crate::state::HeldShard;

/// Attempts to write that a shard is given back.
const RELEASE_ATTEMPTS: u32 = 3;

impl<P: Platform, C: Clock> Control<P, C> {
    /// Gives a shard back if this entry VM holds several and another one of the zone has none.
    pub(super) async fn release_surplus_shard(&self) {
        {
            let now = self.node.now();
            let mut state = self.node.state();
            if state.held.len() > 1 && state.has_peer_without_shard() {
                state.close_last_shard(now);
            }
        }
        let closed = {
            let state = self.node.state();
            // The shard's part may be used elsewhere at once, so nothing may run on it.
            let idle = state.is_within_allocation(state.site.version);
            let closed = state.held.iter().find(|held| held.closing && idle);
            closed.map(|held| (held.name.clone(), released_row(held), held.row_version))
        };
        let Some((name, row, expected)) = closed else {
            return;
        };
        if self
            .write_shard(&name, &row, Some(expected), None)
            .await
            .is_some()
        {
            self.node.state().held.retain(|held| held.name != name);
            self.node.record(&kinds::SHARD_RELEASED, &[&name]);
        }
    }

    /// Gives all shards back with nothing running, at the end of a planned stop.
    pub(crate) async fn release_shards(&self) {
        let held = std::mem::take(&mut self.node.state().held);
        // A shard that isn't usable yet stays held, since a former holder's requests may run.
        for mut shard in held.into_iter().filter(|shard| shard.usable) {
            shard.claims.close();
            if self.release(&shard).await {
                self.node.record(&kinds::SHARD_RELEASED, &[&shard.name]);
            }
        }
    }

    /// Writes that a shard is given back; returns whether that surely took effect.
    async fn release(&self, shard: &HeldShard) -> bool {
        let row = released_row(shard);
        let mut expected = shard.row_version;
        for _ in 0..RELEASE_ATTEMPTS {
            if self
                .write_shard(&shard.name, &row, Some(expected), None)
                .await
                .is_some()
            {
                return true;
            }
            // A write of the ceiling may have come in between.
            let Ok(Some(read)) = self.platform.read(&format!("{SHARD}{}", shard.name)).await else {
                continue;
            };
            let holder = self.parse_row::<ShardHolder>(&read);
            if holder.is_none_or(|holder| holder.incarnation != self.node.incarnation) {
                return false;
            }
            expected = read.version;
        }
        false
    }
}

fn released_row(held: &HeldShard) -> ShardHolder {
    ShardHolder {
        released: true,
        ceiling_ms: held.claims.ceiling_ms(),
        ..held.row.clone()
    }
}
