//! Names of shards.

use std::fmt;
use std::str::FromStr;

use smol_str::SmolStr;
use thiserror::Error;

use crate::config::Site;

/// Name of a shard: its availability zone and its index within the zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardName {
    /// Availability zone of the shard.
    pub zone: SmolStr,
    /// Index within the zone, from 0.
    pub index: u16,
}

impl fmt::Display for ShardName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.zone, self.index)
    }
}

/// Error for a text that isn't the name of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("invalid shard name {0:?}: expected the form zone/index")]
pub struct ParseShardNameError(SmolStr);

impl FromStr for ShardName {
    type Err = ParseShardNameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let fail = || ParseShardNameError(text.into());
        let (zone, index) = text.rsplit_once('/').ok_or_else(fail)?;
        let index: u16 = index.parse().map_err(|_| fail())?;
        let name = Self {
            zone: zone.into(),
            index,
        };
        // Other spellings of the index, such as `a/+1` and `a/01`, would give one shard two names.
        if zone.is_empty() || name.to_string() != text {
            return Err(fail());
        }
        Ok(name)
    }
}

/// Returns the names of all shards of a site, sorted.
pub fn shard_names(site: &Site) -> Vec<ShardName> {
    let mut names: Vec<ShardName> = site
        .zones
        .values()
        .flat_map(|zone| {
            (0..zone.shards).map(|index| ShardName {
                zone: zone.name.clone(),
                index,
            })
        })
        .collect();
    names.sort_unstable();
    names
}
