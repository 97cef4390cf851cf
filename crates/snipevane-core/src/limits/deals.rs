//! The deal of the teams' limits under one version of the configuration.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

use crate::config::Site;
use crate::shards::{ShardName, ShardSet, shard_names};

/// Limits of all teams and the shards that they are dealt out to, under one version.
#[derive(Clone, Debug, Default)]
pub struct VersionDeal {
    version: u64,
    shards: Vec<ShardName>,
    teams: FxHashMap<SmolStr, TeamDeal>,
}

#[derive(Clone, Debug)]
struct TeamDeal {
    limit: u32,
    /// Units for each shard, in the order of the shards.
    units: Arc<[u32]>,
}

impl VersionDeal {
    /// Deals out the limits of some teams over shards, which are sorted first.
    pub fn new(
        version: u64,
        mut shards: Vec<ShardName>,
        limits: impl IntoIterator<Item = (SmolStr, u32)>,
    ) -> Self {
        shards.sort_unstable();
        shards.dedup();
        let set = ShardSet::new(shards);
        let teams = limits
            .into_iter()
            .map(|(team, limit)| {
                let units = set.deal(limit, &team).into();
                (team, TeamDeal { limit, units })
            })
            .collect();
        Self {
            version,
            shards: set.names().to_vec(),
            teams,
        }
    }

    /// Deals out the limits of a site's teams over its shards.
    pub fn of_site(site: &Site) -> Self {
        let limits = site
            .teams
            .values()
            .map(|team| (team.name.clone(), team.limit));
        Self::new(site.version, shard_names(site), limits)
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the shards, sorted.
    pub fn shards(&self) -> &[ShardName] {
        &self.shards
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
}
