//! Releases shards on which nothing is running.

use snipevane_core::clock::Clock;
use snipevane_proto::rows::{SHARD_PREFIX, ShardHolder};

use crate::control::{Control, Platform};
use crate::journal::kinds;
use crate::state::HeldShard;

/// Maximum number of attempts to write a shard's release.
const RELEASE_ATTEMPTS: u32 = 3;

impl<P: Platform, C: Clock> Control<P, C> {
    /// Releases a shard if this entry VM holds several and another one in the zone has none.
    ///
    /// The shard is closed first, and released by this or a later call, once no more runs here than
    /// the remaining shards allow.
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
            // The next holder may use the shard's allocation at once, so nothing may run on it
            // here.
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

    /// Releases all usable shards at the end of a planned shutdown, when nothing is running any
    /// more.
    pub(crate) async fn release_shards(&self) {
        let held = std::mem::take(&mut self.node.state().held);
        // A shard that isn't usable yet isn't released, since requests of a former holder may still
        // be running.
        for mut shard in held.into_iter().filter(|shard| shard.usable) {
            shard.claims.close();
            if self.release(&shard).await {
                self.node.record(&kinds::SHARD_RELEASED, &[&shard.name]);
            }
        }
    }

    /// Writes a shard's release; returns whether the write is known to have taken effect.
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
            // A write of the ceiling may have changed the row's version in between.
            let Ok(Some(read)) = self
                .platform
                .read(&format!("{SHARD_PREFIX}{}", shard.name))
                .await
            else {
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
