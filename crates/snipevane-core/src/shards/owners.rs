//! Which shard an identifier belongs to while the list of shards changes.

use uuid::Uuid;

use super::time::time_of;
use super::{ShardName, ShardSet};

/// Most lists of shards that are kept.
const MAX_LISTS: usize = 8;

/// Lists of shards, each for identifiers with a time above a bound.
///
/// A version that changes the list of shards states a bound: the largest ceiling of all rows of
/// shards, read in the transaction that accepts the version. Raising a ceiling later needs a
/// transaction that checks the version in force. So an entry VM that doesn't know the version
/// yet runs no identifier above the bound, and all others agree on the owner of each.
#[derive(Clone, Debug, Default)]
pub struct IdOwners {
    /// Bounds in Unix milliseconds, ascending, with the list for times above each.
    lists: Vec<(u64, ShardSet)>,
}

impl IdOwners {
    /// Adds the list for identifiers with a time above `after_ms`, in Unix milliseconds.
    ///
    /// Lists are added in the order of their versions; one with a lower bound than an earlier one
    /// takes effect from the earlier bound on.
    pub fn add(&mut self, after_ms: u64, shards: Vec<ShardName>) {
        let newest = self.lists.last();
        if newest.is_some_and(|(_, set)| set.names() == shards) {
            return;
        }
        let after_ms = newest.map_or(after_ms, |&(bound, _)| bound.max(after_ms));
        self.lists.push((after_ms, ShardSet::new(shards)));
        if self.lists.len() > MAX_LISTS {
            self.lists.remove(0);
        }
    }

    /// Returns the shard that an identifier belongs to.
    ///
    /// Returns `None` if the identifier has no time or is older than all known lists; whether it
    /// was run is unknown then.
    pub fn owner(&self, id: Uuid) -> Option<&ShardName> {
        let id_ms = time_of(id)?;
        let (_, set) = self
            .lists
            .iter()
            .rfind(|&&(after_ms, _)| id_ms > after_ms)?;
        set.names().get(set.owner(id)?)
    }

    /// Returns the shards that identifiers with a time above `ms` may belong to, sorted.
    ///
    /// A removed shard needs a holder as long as it is among them.
    pub fn shards_after(&self, ms: u64) -> Vec<ShardName> {
        let ended = self
            .lists
            .iter()
            .skip(1)
            .filter(|&&(after_ms, _)| after_ms <= ms);
        let open = self.lists.iter().skip(ended.count());
        let mut shards: Vec<ShardName> = open.flat_map(|(_, set)| set.names()).cloned().collect();
        shards.sort_unstable();
        shards.dedup();
        shards
    }
}
