//! Assignment of identifiers to shards while the list of shards changes.

use uuid::Uuid;

use super::{ShardName, ShardSet, uuid_unix_ms};

/// Maximum number of lists of shards that are kept.
const MAX_LISTS: usize = 8;

/// Shard that an identifier belongs to, or the reason why there is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner<'a> {
    /// The holder of this shard decides whether the identifier is run.
    Shard(&'a ShardName),
    /// No entry VM runs the identifier yet, because some entry VMs may not know the list of shards
    /// that it belongs to, or because that list is empty.
    Unsettled,
    /// The identifier is older than all known lists, so it may have been run.
    Unknown,
    /// The identifier isn't a UUID of version 7.
    NotUuidV7,
}

#[derive(Clone, Debug)]
struct ShardList {
    version: u64,
    /// Lower bound of the times of the list's identifiers, exclusive and in Unix milliseconds.
    after_ms: u64,
    shards: ShardSet,
}

/// Lists of shards, each for identifiers with a time above a bound.
///
/// Not used by the entry VM, which looks up the owner of each identifier in the list of shards of
/// the version in force.
///
/// With bounds, a version of the configuration that changes the list of shards would state a bound:
/// the highest ceiling that any holder may use. The bound would be computed from the rows of all
/// shards in the transaction that accepts the version. Raising a ceiling later would need a
/// transaction that checks the version in force. An entry VM that doesn't know the version yet
/// would therefore run no identifier above the bound, and all other entry VMs would agree on the
/// owner of each identifier.
///
/// Identifiers above the bound would wait until all entry VMs know the list. Otherwise, an entry VM
/// that doesn't know it could report a request as not run that another one ran.
#[derive(Clone, Debug, Default)]
pub struct IdOwners {
    lists: Vec<ShardList>,
}

impl IdOwners {
    /// Adds the list for identifiers with a time above `after_ms`, in Unix milliseconds.
    ///
    /// Lists are added in the order of their versions. A list with a lower bound than an earlier
    /// one takes effect from the bound of the earlier list on.
    pub fn add(&mut self, version: u64, after_ms: u64, shards: Vec<ShardName>) {
        let newest = self.lists.last();
        if newest.is_some_and(|list| list.version >= version || list.shards.names() == shards) {
            return;
        }
        let after_ms = newest.map_or(after_ms, |list| list.after_ms.max(after_ms));
        self.lists.push(ShardList {
            version,
            after_ms,
            shards: ShardSet::new(shards),
        });
        if self.lists.len() > MAX_LISTS {
            self.lists.remove(0);
        }
    }

    /// Returns the shard that an identifier belongs to.
    ///
    /// `settled_version` is the last version that all shards are known to have confirmed; see
    /// [`AllocationRollout::settled_version`](crate::limits::AllocationRollout::settled_version).
    pub fn owner(&self, id: Uuid, settled_version: u64) -> Owner<'_> {
        let Some(id_ms) = uuid_unix_ms(id) else {
            return Owner::NotUuidV7;
        };
        let Some(index) = self.lists.iter().rposition(|list| id_ms > list.after_ms) else {
            return Owner::Unknown;
        };
        let list = &self.lists[index];
        // The first list has no predecessor that an entry VM could still use.
        if index > 0 && list.version > settled_version {
            return Owner::Unsettled;
        }
        match list.shards.owner(id) {
            Some(shard) => Owner::Shard(&list.shards.names()[shard]),
            None => Owner::Unsettled,
        }
    }

    /// Returns the shards that identifiers with a time above `ms` may belong to, sorted.
    ///
    /// A shard that was removed from the configuration needs a holder as long as it is among them.
    pub fn shards_after(&self, ms: u64) -> Vec<ShardName> {
        let later = self.lists.iter().skip(1);
        let ended = later.filter(|list| list.after_ms <= ms).count();
        let open = self.lists.iter().skip(ended);
        let names = open.flat_map(|list| list.shards.names()).cloned();
        let mut shards: Vec<ShardName> = names.collect();
        shards.sort_unstable();
        shards.dedup();
        shards
    }
}
