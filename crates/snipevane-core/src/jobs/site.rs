//! The configuration in force: queues, pools, teams and their keys.

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

use crate::placement::Resources;

use super::advice::AdviceTerms;

/// A queue: a host name and path prefix under which jobs are submitted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queue {
    /// Name.
    pub name: SmolStr,
    /// Host name that requests carry.
    pub host: SmolStr,
    /// Prefix of the path; the job's identifier follows.
    pub path_prefix: SmolStr,
    /// Pool whose minions run the tasks.
    pub pool: SmolStr,
    /// Rank; 0 goes first.
    pub priority: u32,
    /// Runs of a task that may fail before its job has failed.
    pub max_attempts: u32,
    /// Factor of the longest chain of steps that the objective allows.
    pub slack_factor: f64,
    /// Time that the objective adds, in milliseconds.
    pub target_latency_ms: u64,
    /// Whether requests need no key.
    pub open: bool,
    /// How the advisor answers, if it must allow the minions of each step.
    pub advisor: Option<AdviceTerms>,
}

/// A pool of minions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    /// Name.
    pub name: SmolStr,
    /// Whether its minions reject what doesn't fit.
    pub enforces_capacity: bool,
    /// Whether its VMs are switched off and only wait to join another pool.
    pub standby: bool,
}

/// A team of a customer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Team {
    /// Name.
    pub name: SmolStr,
    /// Keys.
    pub keys: Vec<SmolStr>,
    /// Jobs a second that it is entitled to when the fleet is full; no bound if 0.
    pub share_per_s: f64,
    /// Most that may run at a time over the whole fleet; 0 means no limit.
    pub quota: Resources,
}

/// A configuration as read from the operator.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteSpec {
    /// Version; rises with each change.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Pools.
    pub pools: Vec<Pool>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
}

/// A configuration with its look-ups.
#[derive(Clone, Debug, Default)]
pub struct Site {
    spec: SiteSpec,
    by_host: FxHashMap<SmolStr, Vec<usize>>,
    by_key: FxHashMap<SmolStr, usize>,
    by_queue: FxHashMap<SmolStr, usize>,
    by_team: FxHashMap<SmolStr, usize>,
    by_pool: FxHashMap<SmolStr, usize>,
}

impl Site {
    /// Builds the look-ups of a configuration.
    pub fn new(spec: SiteSpec) -> Self {
        let mut by_host: FxHashMap<SmolStr, Vec<usize>> = FxHashMap::default();
        for (index, queue) in spec.queues.iter().enumerate() {
            by_host.entry(queue.host.clone()).or_default().push(index);
        }
        for indices in by_host.values_mut() {
            indices.sort_by_key(|&index| std::cmp::Reverse(spec.queues[index].path_prefix.len()));
        }
        let keys = spec.teams.iter().enumerate();
        let by_key = keys.flat_map(|(index, team)| team.keys.iter().map(move |key| (key, index)));
        Self {
            by_key: by_key.map(|(key, index)| (key.clone(), index)).collect(),
            by_queue: index_by_name(spec.queues.iter().map(|queue| &queue.name)),
            by_team: index_by_name(spec.teams.iter().map(|team| &team.name)),
            by_pool: index_by_name(spec.pools.iter().map(|pool| &pool.name)),
            by_host,
            spec,
        }
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.spec.version
    }

    /// Returns the largest body of a request, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.spec.max_body_bytes
    }

    /// Returns the queue with the longest prefix that `path` begins with.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let indices = self.by_host.get(host)?;
        let mut queues = indices.iter().map(|&index| &self.spec.queues[index]);
        queues.find(|queue| path.starts_with(queue.path_prefix.as_str()))
    }

    /// Returns the team that a key belongs to.
    pub fn team_of_key(&self, key: &str) -> Option<&Team> {
        self.by_key.get(key).map(|&index| &self.spec.teams[index])
    }

    /// Returns the queue with this name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.by_queue
            .get(name)
            .map(|&index| &self.spec.queues[index])
    }

    /// Returns the team with this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.by_team.get(name).map(|&index| &self.spec.teams[index])
    }

    /// Returns the pool with this name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.by_pool.get(name).map(|&index| &self.spec.pools[index])
    }

    /// Returns the pools.
    pub fn pools(&self) -> &[Pool] {
        &self.spec.pools
    }
}

fn index_by_name<'a>(names: impl Iterator<Item = &'a SmolStr>) -> FxHashMap<SmolStr, usize> {
    let named = names.enumerate();
    named.map(|(index, name)| (name.clone(), index)).collect()
}
