//! Deals of the versions that some shard may still use.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use rustc_hash::FxHashSet;

use super::VersionAllocation;
use crate::shards::ShardName;

/// Most deals that are kept; older neighbours are merged.
const MAX_ALLOCATIONS: usize = 16;

/// Deals of the versions that some shard may still use, in bounded memory.
///
/// Version 0, which deals out nothing, is known implicitly.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    /// Deals by the first version that they hold for.
    allocations: BTreeMap<u64, VersionAllocation>,
}

impl History {
    /// Adds the deal of a version that isn't known yet.
    pub(super) fn add(&mut self, allocation: VersionAllocation) {
        if self.get(allocation.version()).is_some() {
            return;
        }
        let previous = self
            .allocations
            .range_mut(..=allocation.version())
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

    /// Returns the deal of a version.
    pub(super) fn get(&self, version: u64) -> Option<&VersionAllocation> {
        let (_, allocation) = self.allocations.range(..=version).next_back()?;
        (version <= allocation.version()).then_some(allocation)
    }

    /// Returns the largest deal of a shard over some versions, or `None` if one isn't known.
    pub(super) fn max_units(
        &self,
        team: &str,
        shard: &ShardName,
        versions: RangeInclusive<u64>,
    ) -> Option<u32> {
        let (mut next, last) = ((*versions.start()).max(1), *versions.end());
        let mut max_units = 0;
        while next <= last {
            let allocation = self.get(next)?;
            max_units = max_units.max(allocation.units(team, shard));
            next = allocation.version() + 1;
        }
        Some(max_units)
    }

    /// Returns the unknown versions among some, the latest first and at most `count`.
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

    /// Drops the deals that end before a version.
    pub(super) fn remove_before(&mut self, version: u64) {
        self.allocations
            .retain(|_, allocation| allocation.version() >= version);
    }

    /// Returns all shards that the known versions name, each once.
    pub(super) fn shards(&self) -> FxHashSet<&ShardName> {
        self.allocations
            .values()
            .flat_map(|allocation| allocation.shards().iter().chain(allocation.former()))
            .collect()
    }

    /// Merges the two oldest deals into one that grants each shard the larger of both.
    ///
    /// If a version between them is unknown, the older one is dropped, which leaves it unknown.
    fn merge_oldest(&mut self) {
        let Some((_, oldest)) = self.allocations.pop_first() else {
            return;
        };
        let Some(next) = self.allocations.first_entry() else {
            return;
        };
        if next.get().first_version() != oldest.version() + 1 {
            return;
        }
        let merged = oldest.pointwise_max(next.get());
        next.remove();
        self.allocations.insert(merged.first_version(), merged);
    }
}
