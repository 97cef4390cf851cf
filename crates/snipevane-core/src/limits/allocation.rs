//! Allocation of limits to the shards under one version of the configuration.
//!
//! A resource is a team, whose limit is allocated, or a service, whose slots per backend server
//! are.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

use crate::config::Site;
use crate::shards::{ConcentrationSettings, ShardName, ShardSet, shard_names};

/// Bounds on how few shards a team's limit is concentrated on.
const TEAM_CONCENTRATION: ConcentrationSettings = ConcentrationSettings {
    min_units_per_shard: 64,
    max_shards_with_units: 8,
    units_per_zone: 1,
};

/// Limits of all resources and their allocation to shards, under one version of the configuration.
///
/// A resource is a team, whose limit is allocated, or a service, whose slots per backend server
/// are. One allocation holds either teams or services, by name.
///
/// Allocations of consecutive versions can be merged into one that holds for all of them.
#[derive(Clone, Debug, Default)]
pub struct VersionAllocation {
    /// First version that the allocation holds for.
    first_version: u64,
    /// Last version that the allocation holds for.
    last_version: u64,
    shards: Vec<ShardName>,
    /// Shards of earlier versions that aren't in `shards`; their holders may still run work.
    former_shards: Vec<ShardName>,
    resources: FxHashMap<SmolStr, ResourceAllocation>,
}

#[derive(Clone, Debug, PartialEq)]
struct ResourceAllocation {
    limit: u32,
    /// Units of each shard, in the order of [`VersionAllocation::shards`].
    units: Arc<[u32]>,
}

impl VersionAllocation {
    /// Allocates the limits of the given resources evenly to shards.
    ///
    /// `former_shards` has to name the shards of all earlier versions, since their holders may
    /// still run work; those that are also in `shards` are left out. The list of all shards with a
    /// row in the shard table is sufficient if it is read after this version was accepted.
    pub fn new(
        version: u64,
        shards: Vec<ShardName>,
        former_shards: Vec<ShardName>,
        limits: impl IntoIterator<Item = (SmolStr, u32)>,
    ) -> Self {
        Self::allocate_with(version, shards, former_shards, limits, ShardSet::allocate)
    }

    /// Allocates the limits of a site's teams to its shards.
    ///
    /// If there are many shards, each limit is concentrated on a few of them.
    ///
    /// `former_shards` is as for [`VersionAllocation::new`].
    pub fn of_site(site: &Site, former_shards: Vec<ShardName>) -> Self {
        let limits = site
            .teams
            .values()
            .map(|team| (team.name.clone(), team.limit));
        let allocate = |set: &ShardSet, limit, team: &str| {
            set.allocate_concentrated(limit, team, TEAM_CONCENTRATION)
        };
        Self::allocate_with(
            site.version,
            shard_names(site),
            former_shards,
            limits,
            allocate,
        )
    }

    fn allocate_with(
        version: u64,
        mut shards: Vec<ShardName>,
        mut former_shards: Vec<ShardName>,
        limits: impl IntoIterator<Item = (SmolStr, u32)>,
        allocate: impl Fn(&ShardSet, u32, &str) -> Vec<u32>,
    ) -> Self {
        shards.sort_unstable();
        shards.dedup();
        former_shards.retain(|shard| shards.binary_search(shard).is_err());
        let set = ShardSet::new(shards);
        let resources = limits
            .into_iter()
            .map(|(resource, limit)| {
                let units = allocate(&set, limit, &resource).into();
                (resource, ResourceAllocation { limit, units })
            })
            .collect();
        Self {
            first_version: version,
            last_version: version,
            shards: set.names().to_vec(),
            former_shards,
            resources,
        }
    }

    /// Returns the last version of the configuration that the allocation holds for.
    pub fn last_version(&self) -> u64 {
        self.last_version
    }

    /// Returns the shards, sorted.
    pub fn shards(&self) -> &[ShardName] {
        &self.shards
    }

    /// Returns the shards of earlier versions that aren't in [`shards`](Self::shards).
    pub fn former_shards(&self) -> &[ShardName] {
        &self.former_shards
    }

    /// Returns the resources with their limits.
    pub fn limits(&self) -> impl Iterator<Item = (&SmolStr, u32)> {
        self.resources
            .iter()
            .map(|(resource, allocation)| (resource, allocation.limit))
    }

    /// Returns the limit of a resource over all shards; 0 for an unknown resource.
    pub fn limit(&self, resource: &str) -> u32 {
        self.resources
            .get(resource)
            .map_or(0, |allocation| allocation.limit)
    }

    /// Returns the units of a resource that are allocated to a shard; 0 if either is unknown.
    pub fn units(&self, resource: &str, shard: &ShardName) -> u32 {
        let Ok(index) = self.shards.binary_search(shard) else {
            return 0;
        };
        let units = self
            .resources
            .get(resource)
            .and_then(|allocation| allocation.units.get(index));
        units.copied().unwrap_or(0)
    }

    /// Returns the first version that the allocation holds for.
    pub(super) fn first_version(&self) -> u64 {
        self.first_version
    }

    /// Returns whether `later` starts at the next version and allocates the same units.
    pub(super) fn can_extend_to(&self, later: &Self) -> bool {
        later.first_version == self.last_version + 1
            && later.shards == self.shards
            && later.resources == self.resources
    }

    /// Extends the allocation to the versions of `later`, which allocates the same units.
    pub(super) fn extend(&mut self, later: Self) {
        self.last_version = later.last_version;
        self.former_shards = later.former_shards;
    }

    /// Returns an allocation for the versions of both that gives each shard the larger of both.
    pub(super) fn pointwise_max(&self, later: &Self) -> Self {
        let mut shards = [self.shards.as_slice(), &later.shards].concat();
        shards.sort_unstable();
        shards.dedup();
        let names = self.resources.keys().chain(later.resources.keys());
        let resources = names
            .map(|resource| {
                let max_units = |shard| {
                    self.units(resource, shard)
                        .max(later.units(resource, shard))
                };
                let limit = self.limit(resource).max(later.limit(resource));
                let units = shards.iter().map(max_units).collect();
                (resource.clone(), ResourceAllocation { limit, units })
            })
            .collect();
        Self {
            first_version: self.first_version,
            last_version: later.last_version,
            shards,
            former_shards: later.former_shards.clone(),
            resources,
        }
    }
}
