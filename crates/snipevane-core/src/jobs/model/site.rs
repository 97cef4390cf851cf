//! The site configuration in force: queues, pools, teams and their API keys.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

use crate::placement::Resources;

use super::terms::JobTerms;
use crate::jobs::placing::advice::AdvisorSettings;

/// A queue: a host name and path prefix under which jobs are submitted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: SmolStr,
    /// Host name of requests to the queue.
    pub host: SmolStr,
    /// Prefix of the request path; the job's identifier follows it.
    pub path_prefix: SmolStr,
    /// Pool whose minions run the tasks.
    pub pool: SmolStr,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task at which its job fails.
    pub max_attempts: u32,
    /// Factor by which the length of a job's critical path is multiplied in its deadline.
    pub slack_factor: f64,
    /// Constant time that the deadline adds, in milliseconds.
    pub target_latency_ms: u64,
    /// Whether requests need no API key.
    pub open: bool,
    /// Settings of the advisor, if it must permit the minions of each step.
    pub advisor: Option<AdvisorSettings>,
}

impl Queue {
    /// Returns the time from the acceptance of a job to its deadline, given the length of its critical path.
    pub fn time_allowed(&self, critical_path: Duration) -> Duration {
        JobTerms::from(self).time_allowed(critical_path)
    }
}

/// A pool of minions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    /// Name of the pool.
    pub name: SmolStr,
    /// Whether its minions reject runs that exceed their capacity.
    pub enforces_capacity: bool,
    /// Whether it is a standby pool, whose VMs are powered off until they join another pool.
    pub standby: bool,
}

/// A team of a customer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: SmolStr,
    /// API keys of the team.
    pub keys: Vec<SmolStr>,
    /// Rate share: jobs per second to which the team is entitled when the fleet is full; no bound
    /// if 0.
    pub share_per_s: f64,
    /// Quota of resources that the team's tasks may use at a time in the whole fleet; 0 means no
    /// limit.
    pub quota: Resources,
}

/// The site configuration as read from the operator.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteSpec {
    /// Version, which increases with each change.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All pools, including standby pools.
    pub pools: Vec<Pool>,
    /// All teams.
    pub teams: Vec<Team>,
    /// Largest size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Largest size of the head of a request, in bytes.
    pub max_header_bytes: usize,
}

/// The site configuration with indexes for lookups by host, key and name.
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
    /// Builds the indexes of a configuration.
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

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.spec.version
    }

    /// Returns the largest size of a request body, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.spec.max_body_bytes
    }

    /// Returns the largest size of the head of a request, in bytes.
    pub fn max_header_bytes(&self) -> usize {
        self.spec.max_header_bytes
    }

    /// Returns the queue of a host whose path prefix is the longest one that `path` begins with.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let indices = self.by_host.get(host)?;
        let mut queues = indices.iter().map(|&index| &self.spec.queues[index]);
        queues.find(|queue| path.starts_with(queue.path_prefix.as_str()))
    }

    /// Returns the team to which an API key belongs.
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

    /// Returns all pools.
    pub fn pools(&self) -> &[Pool] {
        &self.spec.pools
    }
}

fn index_by_name<'a>(names: impl Iterator<Item = &'a SmolStr>) -> FxHashMap<SmolStr, usize> {
    let named = names.enumerate();
    named.map(|(index, name)| (name.clone(), index)).collect()
}
