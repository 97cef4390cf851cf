//! Allocation of units and identifiers to shards by rendezvous hashing.

use std::cmp::Reverse;

use rustc_hash::FxHashSet;
use uuid::Uuid;

use super::ShardName;

/// Settings for the allocation of a limit to few shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConcentrationSettings {
    /// Minimum units of each shard that gets units, apart from those allocated to its zone.
    pub min_units_per_shard: u32,
    /// Maximum number of shards that get units, apart from those that get units for a zone.
    ///
    /// If there are no more shards than this in all, the units are allocated evenly.
    pub max_shards_with_units: u32,
    /// Units that each zone gets first, unless that takes more than half of all units.
    pub units_per_zone: u32,
}

/// Set of shards with their hashes, for repeated look-ups.
#[derive(Clone, Debug, Default)]
pub struct ShardSet {
    names: Vec<ShardName>,
    hashes: Vec<u64>,
}

impl ShardSet {
    /// Creates a set and computes the hashes of the shards.
    pub fn new(names: Vec<ShardName>) -> Self {
        let hashes = names.iter().map(hash_shard).collect();
        Self { names, hashes }
    }

    /// Returns the shards' names in the order given.
    pub fn names(&self) -> &[ShardName] {
        &self.names
    }

    /// Returns the index of the shard that an identifier belongs to.
    ///
    /// Returns `None` if there is no shard.
    pub fn owner(&self, id: Uuid) -> Option<usize> {
        let key = hash_id(id);
        let weighted = self.hashes.iter().enumerate();
        weighted
            .max_by_key(|&(_, &hash)| weight(hash, key))
            .map(|(index, _)| index)
    }

    /// Allocates units evenly to the shards; the result sums exactly to `total`.
    ///
    /// Which shards get one unit more than others depends on `salt`, so that small totals with
    /// different salts are spread over different shards.
    pub fn allocate(&self, total: u32, salt: &str) -> Vec<u32> {
        let Ok(count) = u32::try_from(self.names.len()) else {
            return vec![0; self.names.len()];
        };
        if count == 0 {
            return Vec::new();
        }
        let mut units = vec![total / count; self.names.len()];
        let remainder = (total % count) as usize;
        if remainder > 0 {
            for index in self.ranked(salt).into_iter().take(remainder) {
                units[index] += 1;
            }
        }
        units
    }

    /// Allocates units to few shards; the result sums exactly to `total`.
    ///
    /// Each zone gets some units first, so that a zone that is cut off from the others can continue
    /// to serve requests. The rest is allocated evenly to as many shards as `concentration` allows.
    /// If fewer shards get units, the units are used up more evenly, but requests at shards without
    /// units need an additional hop.
    pub fn allocate_concentrated(
        &self,
        total: u32,
        salt: &str,
        concentration: ConcentrationSettings,
    ) -> Vec<u32> {
        let mut units = vec![0; self.names.len()];
        let ranked = self.ranked(salt);
        if count_of(&ranked) <= concentration.max_shards_with_units {
            return self.allocate(total, salt);
        }
        let mut rest = total;
        let bases = self.first_of_each_zone(&ranked);
        let for_zones = concentration
            .units_per_zone
            .saturating_mul(count_of(&bases));
        if for_zones <= total / 2 {
            rest -= for_zones;
            for index in bases {
                units[index] = concentration.units_per_zone;
            }
        }
        let shard_count = (rest / concentration.min_units_per_shard.max(1))
            .min(concentration.max_shards_with_units);
        let shard_count = shard_count.max(1);
        for (rank, &index) in (0..shard_count).zip(&ranked) {
            units[index] += rest / shard_count + u32::from(rank < rest % shard_count);
        }
        units
    }

    /// Returns the indices of the shards by descending weight for `salt`.
    fn ranked(&self, salt: &str) -> Vec<usize> {
        let key = stable_hash(salt.as_bytes());
        let mut ranked: Vec<usize> = (0..self.hashes.len()).collect();
        ranked.sort_unstable_by_key(|&index| (Reverse(weight(self.hashes[index], key)), index));
        ranked
    }

    fn first_of_each_zone(&self, ranked: &[usize]) -> Vec<usize> {
        let mut zones = FxHashSet::default();
        let first = |&index: &usize| zones.insert(&self.names[index].zone);
        ranked.iter().copied().filter(first).collect()
    }
}

/// Allocates units evenly to shards; see [`ShardSet::allocate`].
pub fn allocate(total: u32, shards: &[ShardName], salt: &str) -> Vec<u32> {
    ShardSet::new(shards.to_vec()).allocate(total, salt)
}

/// Returns the index of the shard that an identifier belongs to.
///
/// Returns `None` if there is no shard. [`ShardSet::owner`] is faster for repeated look-ups.
pub fn shard_of(shards: &[ShardName], id: Uuid) -> Option<usize> {
    ShardSet::new(shards.to_vec()).owner(id)
}

fn count_of(shards: &[usize]) -> u32 {
    u32::try_from(shards.len()).unwrap_or(u32::MAX)
}

fn hash_shard(name: &ShardName) -> u64 {
    stable_hash(name.to_string().as_bytes())
}

fn hash_id(id: Uuid) -> u64 {
    let (high, low) = id.as_u64_pair();
    mix(high ^ mix(low))
}

/// Hashes a text to a value that is the same on all machines and in all releases.
fn stable_hash(text: &[u8]) -> u64 {
    let hash = blake3::hash(text);
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

fn weight(shard: u64, key: u64) -> u64 {
    mix(shard ^ key)
}

/// Mixes the bits of a number with the finalizer of SplitMix64.
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
