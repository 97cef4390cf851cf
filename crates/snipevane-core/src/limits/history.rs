//! Allocations of the versions that some shard may still use.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use rustc_hash::FxHashSet;

use super::VersionAllocation;
use crate::shards::ShardName;

/// Maximum number of allocations kept; beyond it, the two oldest are merged.
const MAX_ALLOCATIONS: usize = 16;

/// Allocations of the versions that some shard may still use, in bounded memory.
///
/// Version 0, which allocates nothing, is known implicitly.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    /// Allocations by the first version that they hold for.
    allocations: BTreeMap<u64, VersionAllocation>,
}

impl History {
    /// Adds the allocation of a version; one that is known already changes nothing.
    pub(super) fn add(&mut self, allocation: VersionAllocation) {
        if self.get(allocation.last_version()).is_some() {
            return;
        }
        let previous = self
            .allocations
            .range_mut(..=allocation.last_version())
            .next_back();
        match previous {
            Some((_, previous)) if previous.can_extend_to(&allocation) => {
                previous.extend(allocation)
            }
            _ => {
                self.allocations
                    .insert(allocation.first_version(), allocation);
            }
        }
        while self.allocations.len() > MAX_ALLOCATIONS {
            self.merge_oldest();
        }
    }

    /// Returns the allocation of a version, if it is known.
    pub(super) fn get(&self, version: u64) -> Option<&VersionAllocation> {
        let (_, allocation) = self.allocations.range(..=version).next_back()?;
        (version <= allocation.last_version()).then_some(allocation)
    }

    /// Returns the most units that any of the versions allocates to a shard.
    ///
    /// Returns `None` if one of the versions isn't known.
    pub(super) fn max_units(
        &self,
        resource: &str,
        shard: &ShardName,
        versions: RangeInclusive<u64>,
    ) -> Option<u32> {
        let (mut next, last) = ((*versions.start()).max(1), *versions.end());
        let mut max_units = 0;
        while next <= last {
            let allocation = self.get(next)?;
            max_units = max_units.max(allocation.units(resource, shard));
            next = allocation.last_version() + 1;
        }
        Some(max_units)
    }

    /// Returns at most `count` of the given versions that aren't known, the latest first.
    pub(super) fn missing(&self, versions: RangeInclusive<u64>, count: usize) -> Vec<u64> {
        let mut missing = Vec::new();
        let mut version = *versions.end();
        while version >= (*versions.start()).max(1) && missing.len() < count {
            match self.get(version) {
                Some(allocation) => version = allocation.first_version(),
                None => missing.push(version),
            }
            version -= 1;
        }
        missing
    }

    /// Removes the allocations whose last version is before `version`.
    pub(super) fn remove_before(&mut self, version: u64) {
        self.allocations
            .retain(|_, allocation| allocation.last_version() >= version);
    }

    /// Returns all shards that the known versions name, former ones included.
    pub(super) fn shards(&self) -> FxHashSet<&ShardName> {
        self.allocations
            .values()
            .flat_map(|allocation| allocation.shards().iter().chain(allocation.former_shards()))
            .collect()
    }

    /// Merges the two oldest allocations into one that gives each shard the larger of both.
    ///
    /// If a version between them is unknown, the older allocation is dropped instead, and its
    /// versions become unknown.
    fn merge_oldest(&mut self) {
        let Some((_, oldest)) = self.allocations.pop_first() else {
            return;
        };
        let Some(next) = self.allocations.first_entry() else {
            return;
        };
        if next.get().first_version() != oldest.last_version() + 1 {
            return;
        }
        let merged = oldest.pointwise_max(next.get());
        next.remove();
        self.allocations.insert(merged.first_version(), merged);
    }
}
