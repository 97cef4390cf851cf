//! Upper bound of the resources that teams use on minions that haven't reported to a new term yet.

use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};
use smol_str::SmolStr;

use crate::placement::Resources;

use crate::jobs::model::job::Job;
use crate::jobs::scheduler::Scheduler;

impl Scheduler {
    /// Returns for each team with a quota the most resources that unreported runs of an earlier term may use.
    ///
    /// As long as some minion of a job's pool hasn't reported its runs, this counts each task of a
    /// job from an earlier term that could have started, hasn't completed and has no known run.
    /// `pools` are the pools with such minions.
    pub(in crate::jobs) fn estimate_unreported_usage(
        &self,
        pools: &FxHashSet<SmolStr>,
    ) -> FxHashMap<SmolStr, Resources> {
        let mut usage: FxHashMap<SmolStr, Resources> = FxHashMap::default();
        if pools.is_empty() {
            return usage;
        }
        let jobs = self
            .jobs
            .values()
            .filter(|job| job.adopted && !job.state.is_final() && pools.contains(&job.spec.pool));
        for job in jobs {
            if let Some(team) = job.spec.team.as_ref().filter(|team| self.has_quota(team)) {
                let sum = usage.entry(team.clone()).or_default();
                *sum = sum.plus(&unreported_size(job));
            }
        }
        usage
    }

    fn has_quota(&self, team: &str) -> bool {
        let team = self.site.team(team);
        team.is_some_and(|team| team.quota != Resources::default())
    }

    /// Returns the pools with minions that may have unreported runs of an earlier term.
    pub(in crate::jobs) fn unreported_pools(&self, now: Duration) -> FxHashSet<SmolStr> {
        self.unreported_minions(now)
            .map(|(_, pool)| pool.clone())
            .collect()
    }
}

/// Returns the resources of the tasks of a job that may be running although no run list contains
/// them.
fn unreported_size(job: &Job) -> Resources {
    let mut sum = Resources::default();
    for (tasks, spec) in job.open_tasks().iter().zip(&job.spec.steps) {
        sum = sum.plus(&spec.size().times(tasks.ready));
    }
    sum
}
