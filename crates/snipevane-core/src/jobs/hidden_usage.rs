//! What teams may have running on minions that a new term hasn't heard yet.

use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};
use smol_str::SmolStr;

use crate::placement::Resources;

use super::job::Job;
use super::scheduler::Scheduler;

impl Scheduler {
    /// Returns for each team the most that an earlier term may have left running out of sight.
    ///
    /// That is each task of a job of an earlier term that could have started, isn't done and is
    /// listed nowhere, as long as a minion of its pool hasn't listed its runs.
    pub(super) fn hidden_usage(
        &self,
        unheard: &FxHashSet<SmolStr>,
    ) -> FxHashMap<SmolStr, Resources> {
        let mut usage: FxHashMap<SmolStr, Resources> = FxHashMap::default();
        if unheard.is_empty() {
            return usage;
        }
        let jobs = self
            .jobs
            .values()
            .filter(|job| job.adopted && !job.state.is_final() && unheard.contains(&job.spec.pool));
        for job in jobs {
            if let Some(team) = &job.spec.team {
                let sum = usage.entry(team.clone()).or_default();
                *sum = sum.plus(&unlisted(job));
            }
        }
        usage
    }

    /// Returns the pools with minions that may run what an earlier term ordered.
    pub(super) fn pools_unheard(&self, now: Duration) -> FxHashSet<SmolStr> {
        self.unreported_minions(now)
            .map(|(_, pool)| pool.clone())
            .collect()
    }
}

/// Returns what the tasks of a job take that may run though no list names them.
fn unlisted(job: &Job) -> Resources {
    let mut sum = Resources::default();
    for (number, occurrence) in job.occurrences.iter().enumerate() {
        let steps = occurrence.steps.iter().zip(&job.spec.steps);
        for (index, (step, spec)) in steps.enumerate() {
            if !job.is_ready(number as u32, index as u32) {
                continue;
            }
            let tasks = step.tasks.iter();
            let unlisted = tasks.filter(|task| !task.done && task.runs.is_empty());
            for _ in unlisted {
                sum = sum.plus(&spec.size());
            }
        }
    }
    sum
}
