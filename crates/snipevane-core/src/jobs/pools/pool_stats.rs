//! Statistics of each pool for operators.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

use crate::jobs::scheduler::Scheduler;

/// Backlog and free capacity of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolStats {
    /// Number of waiting tasks whose step has no unfinished dependencies.
    pub waiting: u64,
    /// Age of the oldest job with such a task, since its acceptance.
    pub oldest_age: Duration,
    /// Number of long-running tasks whose turn has come and that have no run that works.
    pub long_running_waiting: u64,
    /// Number of runs that may exist.
    pub runs: u64,
    /// Number of schedulable minions.
    pub minions: u64,
    /// Free CPU of the schedulable minions, in thousandths of a core.
    pub free_cpu_millis: u64,
}

impl Scheduler {
    /// Returns the statistics of each pool.
    pub fn pool_stats(&self, now: Duration) -> FxHashMap<SmolStr, PoolStats> {
        let mut pool_stats: FxHashMap<SmolStr, PoolStats> = FxHashMap::default();
        for pool in self.site.pools() {
            pool_stats.entry(pool.name.clone()).or_default();
        }
        for minion in self.minions.values() {
            let pool = pool_stats.entry(minion.entry.pool.clone()).or_default();
            pool.runs += minion.runs.len() as u64;
            if minion.is_schedulable(now) && !self.is_evacuated(&minion.entry.zone) {
                pool.minions += 1;
                pool.free_cpu_millis += minion.free_capacity().cpu_millis;
            }
        }
        for (pool, waiting) in self.long_running_waits_by_pool() {
            pool_stats.entry(pool).or_default().long_running_waiting = waiting;
        }
        for job in self.jobs.values().filter(|job| !job.state.is_final()) {
            let ready: u64 = job.open_tasks().iter().map(|tasks| tasks.ready).sum();
            if ready > 0 {
                let pool = pool_stats.entry(job.spec.pool.clone()).or_default();
                pool.waiting += ready;
                pool.oldest_age = pool.oldest_age.max(now.saturating_sub(job.accepted_at));
            }
        }
        pool_stats
    }
}
