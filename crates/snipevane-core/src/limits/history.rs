//! Deals of the versions that some shard may still use.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use rustc_hash::FxHashSet;

use super::VersionDeal;
use crate::shards::ShardName;

/// Most deals that are kept; older neighbours are merged.
const MAX_DEALS: usize = 16;

/// Deals of the versions that some shard may still use, in bounded memory.
///
/// Version 0, which deals out nothing, is known implicitly.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    /// Deals by the first version that they hold for.
    deals: BTreeMap<u64, VersionDeal>,
}

impl History {
    /// Adds the deal of a version that isn't known yet.
    pub(super) fn add(&mut self, deal: VersionDeal) {
        if self.get(deal.version()).is_some() {
            return;
        }
        let previous = self.deals.range_mut(..=deal.version()).next_back();
        match previous {
            Some((_, previous)) if previous.is_followed_by_same(&deal) => previous.extend(deal),
            _ => {
                self.deals.insert(deal.first(), deal);
            }
        }
        while self.deals.len() > MAX_DEALS {
            self.merge_oldest();
        }
    }

    /// Returns the deal of a version.
    pub(super) fn get(&self, version: u64) -> Option<&VersionDeal> {
        let (_, deal) = self.deals.range(..=version).next_back()?;
        (version <= deal.version()).then_some(deal)
    }

    /// Returns the largest deal of a shard over some versions, or `None` if one isn't known.
    pub(super) fn most(
        &self,
        team: &str,
        shard: &ShardName,
        versions: RangeInclusive<u64>,
    ) -> Option<u32> {
        let (mut next, last) = ((*versions.start()).max(1), *versions.end());
        let mut most = 0;
        while next <= last {
            let deal = self.get(next)?;
            most = most.max(deal.units(team, shard));
            next = deal.version() + 1;
        }
        Some(most)
    }

    /// Returns the unknown versions among some, the latest first and at most `count`.
    pub(super) fn missing(&self, versions: RangeInclusive<u64>, count: usize) -> Vec<u64> {
        let mut missing = Vec::new();
        let mut version = *versions.end();
        while version >= (*versions.start()).max(1) && missing.len() < count {
            match self.get(version) {
                Some(deal) => version = deal.first(),
                None => missing.push(version),
            }
            version -= 1;
        }
        missing
    }

    /// Drops the deals that end before a version.
    pub(super) fn forget_before(&mut self, version: u64) {
        self.deals.retain(|_, deal| deal.version() >= version);
    }

    /// Returns all shards that the known versions name, each once.
    pub(super) fn shards(&self) -> FxHashSet<&ShardName> {
        self.deals
            .values()
            .flat_map(|deal| deal.shards().iter().chain(deal.former()))
            .collect()
    }

    /// Merges the two oldest deals into one that grants each shard the larger of both.
    ///
    /// If a version between them is unknown, the older one is dropped, which leaves it unknown.
    fn merge_oldest(&mut self) {
        let Some((_, oldest)) = self.deals.pop_first() else {
            return;
        };
        let Some(next) = self.deals.first_entry() else {
            return;
        };
        if next.get().first() != oldest.version() + 1 {
            return;
        }
        let merged = oldest.envelope(next.get());
        next.remove();
        self.deals.insert(merged.first(), merged);
    }
}
