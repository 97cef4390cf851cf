//! The deal of the teams' limits under one version of the configuration.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

use crate::config::Site;
use crate::shards::{ConcentrationSettings, ShardName, ShardSet, shard_names};

/// How few shards hold a team's limit.
const TEAM_GRAINS: ConcentrationSettings = ConcentrationSettings {
    min_units_per_holder: 64,
    max_holders: 8,
    units_per_zone: 1,
};

/// Limits of all teams and the shards that they are dealt out to, under one version.
#[derive(Clone, Debug, Default)]
pub struct VersionDeal {
    /// First version that the deal holds for.
    first: u64,
    /// Last version that the deal holds for.
    version: u64,
    shards: Vec<ShardName>,
    former: Vec<ShardName>,
    teams: FxHashMap<SmolStr, TeamDeal>,
}

#[derive(Clone, Debug, PartialEq)]
struct TeamDeal {
    limit: u32,
    /// Units for each shard, in the order of the shards.
    units: Arc<[u32]>,
}

impl VersionDeal {
    /// Deals out the limits of some teams evenly over shards.
    ///
    /// `former` names all shards that any earlier version had, such as those that had a row in the
    /// table when this version was accepted or later. Their holders may still run work.
    pub fn new(
        version: u64,
        shards: Vec<ShardName>,
        former: Vec<ShardName>,
        limits: impl IntoIterator<Item = (SmolStr, u32)>,
    ) -> Self {
        Self::dealt(version, shards, former, limits, ShardSet::allocate)
    }

    /// Deals out the limits of a site's teams over its shards, in grains if there are many shards.
    ///
    /// `former` is as for [`VersionDeal::new`].
    pub fn of_site(site: &Site, former: Vec<ShardName>) -> Self {
        let limits = site
            .teams
            .values()
            .map(|team| (team.name.clone(), team.limit));
        let deal =
            |set: &ShardSet, limit, team: &str| set.allocate_concentrated(limit, team, TEAM_GRAINS);
        Self::dealt(site.version, shard_names(site), former, limits, deal)
    }

    fn dealt(
        version: u64,
        mut shards: Vec<ShardName>,
        mut former: Vec<ShardName>,
        limits: impl IntoIterator<Item = (SmolStr, u32)>,
        deal: impl Fn(&ShardSet, u32, &str) -> Vec<u32>,
    ) -> Self {
        shards.sort_unstable();
        shards.dedup();
        former.retain(|shard| shards.binary_search(shard).is_err());
        let set = ShardSet::new(shards);
        let teams = limits
            .into_iter()
            .map(|(team, limit)| {
                let units = deal(&set, limit, &team).into();
                (team, TeamDeal { limit, units })
            })
            .collect();
        Self {
            first: version,
            version,
            shards: set.names().to_vec(),
            former,
            teams,
        }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the shards, sorted.
    pub fn shards(&self) -> &[ShardName] {
        &self.shards
    }

    /// Returns the shards of earlier versions that this one lacks.
    pub fn former(&self) -> &[ShardName] {
        &self.former
    }

    /// Returns the teams with their limits.
    pub fn limits(&self) -> impl Iterator<Item = (&SmolStr, u32)> {
        self.teams.iter().map(|(team, deal)| (team, deal.limit))
    }

    /// Returns the limit of a team over all shards; 0 for an unknown team.
    pub fn limit(&self, team: &str) -> u32 {
        self.teams.get(team).map_or(0, |deal| deal.limit)
    }

    /// Returns the units that a shard has of a team's limit.
    pub fn units(&self, team: &str, shard: &ShardName) -> u32 {
        let Ok(index) = self.shards.binary_search(shard) else {
            return 0;
        };
        let units = self.teams.get(team).and_then(|deal| deal.units.get(index));
        units.copied().unwrap_or(0)
    }

    /// Returns the first version that the deal holds for.
    pub(super) fn first(&self) -> u64 {
        self.first
    }

    /// Tells whether `later` is the next version and deals out the same.
    pub(super) fn is_followed_by_same(&self, later: &Self) -> bool {
        later.first == self.version + 1 && later.shards == self.shards && later.teams == self.teams
    }

    /// Takes over a later version that deals out the same.
    pub(super) fn extend(&mut self, later: Self) {
        self.version = later.version;
        self.former = later.former;
    }

    /// Returns a deal for the versions of both that grants each shard the larger units of both.
    pub(super) fn envelope(&self, later: &Self) -> Self {
        let mut shards = [self.shards.as_slice(), &later.shards].concat();
        shards.sort_unstable();
        shards.dedup();
        let names = self.teams.keys().chain(later.teams.keys());
        let teams = names
            .map(|team| {
                let most = |shard| self.units(team, shard).max(later.units(team, shard));
                let limit = self.limit(team).max(later.limit(team));
                let units = shards.iter().map(most).collect();
                (team.clone(), TeamDeal { limit, units })
            })
            .collect();
        Self {
            first: self.first,
            version: later.version,
            shards,
            former: later.former.clone(),
            teams,
        }
    }
}
