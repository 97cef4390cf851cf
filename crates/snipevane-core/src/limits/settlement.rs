//! Change from one deal of the limits to the next without passing a limit.

use rustc_hash::{FxHashMap, FxHashSet};
use smol_str::SmolStr;

use super::VersionDeal;
use super::history::History;
use crate::shards::ShardName;

/// Most versions that are asked for at a time.
const MAX_MISSING_VERSIONS: usize = 16;

/// Decides how many units of each team the shards of one entry VM may use while the configuration
/// changes.
///
/// A shard *confirms* a version once it is in force there and nothing above that version's deal is
/// in use. Until then it may use whatever any version since the last confirmed one dealt to it.
/// A shard's allowance is lowered as soon as a version lowers it. It is raised only if, for the
/// team, the largest such deals of all shards together are within the limit. Confirmations are
/// idempotent and may arrive in any order; a missing one delays a raise and nothing else.
///
/// The rule is safe only if the holder of a shard never has a version in force that is older than
/// one that its shard confirmed; [`decide_acquisition`](crate::shards::decide_acquisition) says how a new holder ensures it.
#[derive(Clone, Debug, Default)]
pub struct Settlement {
    history: History,
    in_force: u64,
    confirmed: FxHashMap<ShardName, u64>,
    held: FxHashMap<ShardName, FxHashMap<SmolStr, u32>>,
}

impl Settlement {
    /// Starts with version 0, under which no team may use anything.
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts a version in force; an older version than the one in force is only learned.
    pub fn put_in_force(&mut self, deal: VersionDeal) {
        let version = deal.version();
        self.learn(deal);
        if version <= self.in_force {
            return;
        }
        self.in_force = version;
        self.lower();
        self.raise();
        self.forget_settled();
    }

    /// Learns the deal of a version that was never in force here.
    pub fn learn(&mut self, deal: VersionDeal) {
        self.history.add(deal);
        self.raise();
    }

    /// Returns the version in force.
    pub fn in_force(&self) -> u64 {
        self.in_force
    }

    /// Starts to use a shard, once it is usable.
    pub fn hold(&mut self, shard: ShardName) {
        self.held.entry(shard).or_default();
        self.raise();
    }

    /// Stops using a shard.
    ///
    /// What its units run must have ended, or the allowances of the other shards held here must
    /// cover it.
    pub fn let_go(&mut self, shard: &ShardName) {
        self.held.remove(shard);
    }

    /// Takes note that a shard confirmed a version; returns whether that is news.
    pub fn confirm(&mut self, shard: &ShardName, version: u64) -> bool {
        self.confirm_all([(shard, version)])
    }

    /// Takes note of several confirmations; returns whether one of them is news.
    pub fn confirm_all<'a>(
        &mut self,
        confirmations: impl IntoIterator<Item = (&'a ShardName, u64)>,
    ) -> bool {
        let mut news = false;
        for (shard, version) in confirmations {
            let known = self.confirmed.entry(shard.clone()).or_default();
            news |= version > *known;
            *known = version.max(*known);
        }
        if news {
            self.raise();
            self.forget_settled();
        }
        news
    }

    /// Returns the last version that each shard is known to have confirmed.
    pub fn confirmations(&self) -> impl Iterator<Item = (&ShardName, u64)> {
        self.confirmed
            .iter()
            .map(|(shard, &version)| (shard, version))
    }

    /// Returns the last version that all shards are known to have confirmed.
    pub fn settled_version(&self) -> u64 {
        self.oldest_confirmed()
    }

    /// Returns the units of a team that a shard held here may use.
    pub fn allowance(&self, team: &str, shard: &ShardName) -> u32 {
        let units = self.held.get(shard).and_then(|units| units.get(team));
        units.copied().unwrap_or(0)
    }

    /// Returns the units of a team that all shards held here may use together.
    pub fn total_allowance(&self, team: &str) -> u32 {
        self.held
            .values()
            .filter_map(|units| units.get(team))
            .fold(0, |sum, &units| sum.saturating_add(units))
    }

    /// Tells whether the shards held here may confirm a version.
    ///
    /// `in_use` lists the units in use here of every team, also of removed ones.
    pub fn settled<'a>(
        &self,
        version: u64,
        in_use: impl IntoIterator<Item = (&'a str, u32)>,
    ) -> bool {
        if version == 0 || version != self.in_force {
            return false;
        }
        in_use
            .into_iter()
            .all(|(team, units)| units <= self.total_allowance(team))
    }

    /// Returns versions that raises wait for because their deals aren't known here, latest first.
    ///
    /// A peer may know them; without them, raises wait until every shard has confirmed a later one.
    pub fn missing_versions(&self) -> Vec<u64> {
        let oldest = self.oldest_confirmed().max(1);
        self.history
            .missing(oldest..=self.in_force, MAX_MISSING_VERSIONS)
    }

    /// Returns the shards that haven't confirmed the version in force, sorted.
    ///
    /// A shard that a version removed is among them until its holder confirms that nothing runs.
    pub fn unsettled(&self) -> Vec<ShardName> {
        let mut shards: Vec<ShardName> = self
            .shards()
            .into_iter()
            .filter(|shard| self.confirmed_by(shard) < self.in_force)
            .cloned()
            .collect();
        shards.sort_unstable();
        shards
    }

    /// Lowers the allowances of the shards held here to the deal in force.
    fn lower(&mut self) {
        let Some(deal) = self.history.get(self.in_force) else {
            return;
        };
        for (shard, allowances) in &mut self.held {
            for (team, units) in allowances.iter_mut() {
                *units = (*units).min(deal.units(team, shard));
            }
            allowances.retain(|_, units| *units > 0);
        }
    }

    /// Raises the allowances of the shards held here to the deal in force where that is safe.
    fn raise(&mut self) {
        let Some(deal) = self.history.get(self.in_force) else {
            return;
        };
        let shards = self.shards();
        let mut raises = Vec::new();
        for (team, limit) in deal.limits() {
            let below: Vec<(&ShardName, u32)> = self
                .held
                .keys()
                .map(|shard| (shard, deal.units(team, shard)))
                .filter(|&(shard, units)| units > self.allowance(team, shard))
                .collect();
            if below.is_empty() || !self.is_safe(team, limit, &shards) {
                continue;
            }
            let below = below.into_iter();
            raises.extend(below.map(|(shard, units)| (shard.clone(), team.clone(), units)));
        }
        for (shard, team, units) in raises {
            self.held.entry(shard).or_default().insert(team, units);
        }
    }

    /// Tells whether the most that all shards may use of a team's limit is within the limit.
    fn is_safe(&self, team: &str, limit: u32, shards: &FxHashSet<&ShardName>) -> bool {
        let mut sum: u64 = 0;
        for shard in shards {
            let Some(units) = self.most_used(team, shard) else {
                return false;
            };
            sum += u64::from(units);
        }
        sum <= u64::from(limit)
    }

    /// Returns the most units that a shard may use, or `None` if that isn't known.
    fn most_used(&self, team: &str, shard: &ShardName) -> Option<u32> {
        let confirmed = self.confirmed_by(shard);
        // The shard is ahead: what it may use is decided by a version that isn't in force here.
        if confirmed > self.in_force {
            return None;
        }
        self.history.most(team, shard, confirmed..=self.in_force)
    }

    /// Drops the versions that every shard has left behind.
    fn forget_settled(&mut self) {
        let oldest = self.oldest_confirmed().min(self.in_force);
        self.history.forget_before(oldest);
    }

    /// Returns the oldest version that a shard may still use.
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
