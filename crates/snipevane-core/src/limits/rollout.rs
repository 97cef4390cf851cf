//! Rollout of a new allocation of the limits without exceeding a limit on the way.

use rustc_hash::{FxHashMap, FxHashSet};
use smol_str::SmolStr;

use super::VersionAllocation;
use super::history::History;
use crate::shards::ShardName;

/// Maximum number of missing versions reported at a time.
const MAX_MISSING_VERSIONS: usize = 16;

/// Decides how many units of each resource the shards of one entry VM may use while the
/// configuration changes.
///
/// A resource is a team, whose limit is allocated, or a service, whose slots per backend server
/// are.
///
/// A version is *in force* at an entry VM once the entry VM uses its configuration. A shard
/// *confirms* a version once it is in force there and no more units are in use than the version
/// allocates. Until then, the shard may use as many units as any version since the last confirmed
/// one allocates to it. A version is *settled* once all shards have confirmed it.
///
/// A shard's allowance is lowered as soon as a version lowers its allocation. It is raised only if
/// the most units of the resource that each shard may use add up to no more than the limit.
/// Confirmations are idempotent and may arrive in any order; a missing one only delays a raise.
///
/// These rules are safe only if the holder of a shard never has a version in force that is older
/// than one that the shard confirmed. [`decide_acquisition`](crate::shards::decide_acquisition)
/// describes how a new holder ensures it.
#[derive(Clone, Debug, Default)]
pub struct AllocationRollout {
    history: History,
    in_force: u64,
    /// Last version that each shard is known to have confirmed.
    confirmed: FxHashMap<ShardName, u64>,
    /// Units of each resource that the shards held here may use.
    allowances: FxHashMap<ShardName, FxHashMap<SmolStr, u32>>,
}

impl AllocationRollout {
    /// Creates a rollout at version 0, under which no units may be used.
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts a version in force; a version older than the one in force is only recorded.
    pub fn put_in_force(&mut self, allocation: VersionAllocation) {
        let version = allocation.last_version();
        self.record_version(allocation);
        if version <= self.in_force {
            return;
        }
        self.in_force = version;
        self.lower_allowances();
        self.raise_allowances();
        self.prune_history();
    }

    /// Records the allocation of a version without putting it in force.
    pub fn record_version(&mut self, allocation: VersionAllocation) {
        self.history.add(allocation);
        self.raise_allowances();
    }

    /// Returns the version in force.
    pub fn in_force(&self) -> u64 {
        self.in_force
    }

    /// Adds a shard that is held here, once it may be used.
    pub fn add_shard(&mut self, shard: ShardName) {
        self.allowances.entry(shard).or_default();
        self.raise_allowances();
    }

    /// Removes a shard that is no longer used here.
    ///
    /// The work that uses its units must have ended, or the allowances of the other shards held
    /// here must cover it.
    pub fn remove_shard(&mut self, shard: &ShardName) {
        self.allowances.remove(shard);
    }

    /// Records that a shard confirmed a version; returns whether this is later than known before.
    pub fn confirm(&mut self, shard: &ShardName, version: u64) -> bool {
        self.confirm_all([(shard, version)])
    }

    /// Records several confirmations; returns whether one of them is later than known before.
    pub fn confirm_all<'a>(
        &mut self,
        confirmations: impl IntoIterator<Item = (&'a ShardName, u64)>,
    ) -> bool {
        let mut advanced = false;
        for (shard, version) in confirmations {
            let known = self.confirmed.entry(shard.clone()).or_default();
            advanced |= version > *known;
            *known = version.max(*known);
        }
        if advanced {
            self.raise_allowances();
            self.prune_history();
        }
        advanced
    }

    /// Returns the last version that each shard is known to have confirmed.
    pub fn confirmations(&self) -> impl Iterator<Item = (&ShardName, u64)> {
        self.confirmed
            .iter()
            .map(|(shard, &version)| (shard, version))
    }

    /// Returns the last version that all shards are known to have confirmed.
    ///
    /// It is also the oldest version whose allocation some shard may still use.
    pub fn settled_version(&self) -> u64 {
        self.oldest_confirmed()
    }

    /// Returns the units of a resource that a shard may use; 0 for a shard that isn't held here.
    pub fn allowance(&self, resource: &str, shard: &ShardName) -> u32 {
        let units = self
            .allowances
            .get(shard)
            .and_then(|units| units.get(resource));
        units.copied().unwrap_or(0)
    }

    /// Returns the units of a resource that all shards held here may use together.
    pub fn total_allowance(&self, resource: &str) -> u32 {
        self.allowances
            .values()
            .filter_map(|units| units.get(resource))
            .fold(0, |sum, &units| sum.saturating_add(units))
    }

    /// Returns whether the shards held here may confirm a version.
    ///
    /// `in_use` lists the units in use here for each resource, removed ones included.
    pub fn can_confirm<'a>(
        &self,
        version: u64,
        in_use: impl IntoIterator<Item = (&'a str, u32)>,
    ) -> bool {
        if version == 0 || version != self.in_force {
            return false;
        }
        in_use
            .into_iter()
            .all(|(resource, units)| units <= self.total_allowance(resource))
    }

    /// Returns the versions, latest first, whose unknown allocations block raises here.
    ///
    /// A peer may know them. Without them, raises wait until every shard has confirmed a later
    /// version.
    pub fn missing_versions(&self) -> Vec<u64> {
        let oldest = self.oldest_confirmed().max(1);
        self.history
            .missing(oldest..=self.in_force, MAX_MISSING_VERSIONS)
    }

    /// Returns the shards that haven't confirmed the version in force, sorted.
    ///
    /// A shard that a version removed is among them until its holder confirms that version, which
    /// it does once nothing runs there.
    pub fn unconfirmed_shards(&self) -> Vec<ShardName> {
        let mut shards: Vec<ShardName> = self
            .shards()
            .into_iter()
            .filter(|shard| self.confirmed_by(shard) < self.in_force)
            .cloned()
            .collect();
        shards.sort_unstable();
        shards
    }

    /// Lowers the allowances of the shards held here to the allocation in force.
    fn lower_allowances(&mut self) {
        let Some(allocation) = self.history.get(self.in_force) else {
            return;
        };
        for (shard, allowances) in &mut self.allowances {
            for (resource, units) in allowances.iter_mut() {
                *units = (*units).min(allocation.units(resource, shard));
            }
            allowances.retain(|_, units| *units > 0);
        }
    }

    /// Raises the allowances of the shards held here to the allocation in force where this is safe.
    fn raise_allowances(&mut self) {
        let Some(allocation) = self.history.get(self.in_force) else {
            return;
        };
        let shards = self.shards();
        let mut raises = Vec::new();
        for (resource, limit) in allocation.limits() {
            let raisable: Vec<(&ShardName, u32)> = self
                .allowances
                .keys()
                .map(|shard| (shard, allocation.units(resource, shard)))
                .filter(|&(shard, units)| units > self.allowance(resource, shard))
                .collect();
            if raisable.is_empty() || !self.raise_fits_limit(resource, limit, &shards) {
                continue;
            }
            let raisable = raisable.into_iter();
            raises.extend(raisable.map(|(shard, units)| (shard.clone(), resource.clone(), units)));
        }
        for (shard, resource, units) in raises {
            self.allowances
                .entry(shard)
                .or_default()
                .insert(resource, units);
        }
    }

    /// Returns whether the most units that all shards may use of a resource add up to at most
    /// `limit`.
    fn raise_fits_limit(&self, resource: &str, limit: u32, shards: &FxHashSet<&ShardName>) -> bool {
        let mut sum: u64 = 0;
        for shard in shards {
            let Some(units) = self.max_usable_units(resource, shard) else {
                return false;
            };
            sum += u64::from(units);
        }
        sum <= u64::from(limit)
    }

    /// Returns the most units that a shard may use, or `None` if that isn't known.
    fn max_usable_units(&self, resource: &str, shard: &ShardName) -> Option<u32> {
        let confirmed = self.confirmed_by(shard);
        // What the shard may use depends on a version that isn't in force here yet.
        if confirmed > self.in_force {
            return None;
        }
        self.history
            .max_units(resource, shard, confirmed..=self.in_force)
    }

    /// Removes the versions older than the oldest one that a shard may still use.
    fn prune_history(&mut self) {
        let oldest = self.oldest_confirmed().min(self.in_force);
        self.history.remove_before(oldest);
    }

    /// Returns the oldest version that some shard may still use, which is the settled version.
    fn oldest_confirmed(&self) -> u64 {
        let confirmed = self.shards().into_iter().map(|s| self.confirmed_by(s));
        confirmed.min().unwrap_or(0)
    }

    /// Returns all shards that may use units.
    fn shards(&self) -> FxHashSet<&ShardName> {
        let mut shards = self.history.shards();
        shards.extend(self.confirmed.keys());
        shards
    }

    fn confirmed_by(&self, shard: &ShardName) -> u64 {
        self.confirmed.get(shard).copied().unwrap_or(0)
    }
}
