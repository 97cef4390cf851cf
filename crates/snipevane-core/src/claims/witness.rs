//! Ceilings that an entry VM grants as the witness of a shard while the table is unreachable.

use rustc_hash::FxHashMap;

use crate::shards::ShardName;

/// Highest ceiling granted to the holder of one epoch of a shard.
#[derive(Clone, Copy, Debug)]
struct Grant {
    epoch: u64,
    ceiling_ms: u64,
    /// Whether no further ceiling is granted in this epoch.
    sealed: bool,
}

/// Ceilings that one entry VM granted, as their witness, to the holders of other shards.
///
/// Not used by the entry VM, which announces ceilings to its peers instead.
///
/// With witnesses, the row of a shard would name a process as the shard's witness. While the table
/// is unreachable, the holder would use a ceiling above the one in the row only if the witness
/// granted it. A process that acquires the shard would seal the grant first. Grants are kept in
/// memory: if the witness were lost, the next holder's floor would be the row's ceiling plus the
/// maximum extension.
#[derive(Debug, Default)]
pub struct Witness {
    grants: FxHashMap<ShardName, Grant>,
}

impl Witness {
    /// Grants a ceiling to the holder of an epoch, and returns whether it may be used.
    ///
    /// The ceiling is in Unix milliseconds. It is refused if another process is acquiring the shard
    /// or has acquired it.
    pub fn grant(&mut self, shard: &ShardName, epoch: u64, ceiling_ms: u64) -> bool {
        let grant = self.grant_for_epoch(shard, epoch);
        if grant.epoch > epoch || grant.sealed {
            return false;
        }
        grant.ceiling_ms = grant.ceiling_ms.max(ceiling_ms);
        true
    }

    /// Stops granting ceilings to the holder of an epoch, and returns the highest one that was
    /// granted.
    ///
    /// The result is in Unix milliseconds, and 0 if no ceiling was granted in the epoch or a later
    /// epoch is known.
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

/// Result of sealing the grant that a former holder has from its witness.
///
/// Not used by the entry VM; see [`Witness`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SealOutcome {
    /// The row names no witness, or the shard was released, so there is nothing to seal.
    NotNeeded,
    /// The witness grants no further ceiling; holds the highest one that it granted, in Unix
    /// milliseconds.
    Sealed(u64),
    /// The witness was lost or can't be reached.
    Unavailable,
}

impl SealOutcome {
    /// Returns the floor of the next holder, in Unix milliseconds.
    ///
    /// `max_extension_ms` is the maximum time by which a ceiling that a holder uses may exceed the
    /// one in the row.
    pub fn next_floor_ms(self, row_ceiling_ms: u64, max_extension_ms: u64) -> u64 {
        match self {
            Self::NotNeeded => row_ceiling_ms,
            Self::Sealed(granted_ms) => row_ceiling_ms.max(granted_ms),
            Self::Unavailable => row_ceiling_ms.saturating_add(max_extension_ms),
        }
    }
}
