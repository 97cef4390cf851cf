//! Ceilings while the table is away: an entry VM that a shard's row names vouches for them.

use rustc_hash::FxHashMap;

use crate::shards::ShardName;

/// Promise about one shard.
#[derive(Clone, Copy, Debug)]
struct Grant {
    epoch: u64,
    ceiling_ms: u64,
    sealed: bool,
}

/// Promises of one entry VM about the ceilings of other holders' shards.
///
/// The row of a shard may name the process that is its witness. While the table is away, the
/// holder uses a ceiling above the row's one only if the witness promised it. Who takes the shard
/// asks the witness first. Promises live in memory: if the witness is lost, the next floor is the
/// row's ceiling plus the longest extension.
#[derive(Debug, Default)]
pub struct Witness {
    grants: FxHashMap<ShardName, Grant>,
}

impl Witness {
    /// Promises a ceiling to the holder of an epoch; returns whether it may be used.
    ///
    /// Refuses it to a holder whose shard is being taken or was taken.
    pub fn grant(&mut self, shard: &ShardName, epoch: u64, ceiling_ms: u64) -> bool {
        let grant = self.grant_for_epoch(shard, epoch);
        if grant.epoch > epoch || grant.sealed {
            return false;
        }
        grant.ceiling_ms = grant.ceiling_ms.max(ceiling_ms);
        true
    }

    /// Ends the promises to the holder of an epoch; returns the highest one, 0 if there was none.
    pub fn seal(&mut self, shard: &ShardName, epoch: u64) -> u64 {
        let grant = self.grant_for_epoch(shard, epoch);
        if grant.epoch > epoch {
            return 0;
        }
        grant.sealed = true;
        grant.ceiling_ms
    }

    fn grant_for_epoch(&mut self, shard: &ShardName, epoch: u64) -> &mut Grant {
        let new = Grant {
            epoch,
            ceiling_ms: 0,
            sealed: false,
        };
        let grant = self.grants.entry(shard.clone()).or_insert(new);
        if grant.epoch < epoch {
            *grant = new;
        }
        grant
    }
}

/// What the witness of a former holder said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SealOutcome {
    /// The row names no witness, or the shard was released.
    NotNeeded,
    /// The witness ended its promises; the highest one, in Unix milliseconds.
    Sealed(u64),
    /// The witness was lost or can't be reached.
    Unavailable,
}

impl SealOutcome {
    /// Returns the floor of the next holder, in Unix milliseconds.
    ///
    /// `max_extension_ms` is the most that a holder may use above its row's ceiling.
    pub fn next_floor_ms(self, row_ceiling_ms: u64, max_extension_ms: u64) -> u64 {
        match self {
            Self::NotNeeded => row_ceiling_ms,
            Self::Sealed(granted_ms) => row_ceiling_ms.max(granted_ms),
            Self::Unavailable => row_ceiling_ms.saturating_add(max_extension_ms),
        }
    }
}
