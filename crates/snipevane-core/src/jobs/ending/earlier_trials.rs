//! Jobs with runs on trial that an earlier term placed.

use rustc_hash::{FxHashMap, FxHashSet};
use smol_str::SmolStr;

use super::trial::Trial;
use crate::jobs::model::job::Job;
use crate::jobs::model::keys::JobKey;

/// Incarnation of a minion: the minion's identifier, and its start in Unix milliseconds.
type Incarnation = (SmolStr, u64);

/// Jobs that had runs on trial on a minion when an earlier term ended, by the incarnation.
#[derive(Debug, Default)]
pub(in crate::jobs) struct EarlierTrials {
    jobs: FxHashMap<Incarnation, FxHashSet<JobKey>>,
}

impl EarlierTrials {
    /// Adds the runs on trial of a job, by its stored progress.
    pub(in crate::jobs) fn add(&mut self, key: JobKey, job: &Job) {
        let trials = job.tasks();
        let trials = trials.filter_map(|(_, task)| task.crashes.on_trial());
        for trial in trials {
            self.jobs.entry(incarnation(trial)).or_default().insert(key);
        }
    }

    /// Returns whether only one job had runs on trial where this one was placed.
    ///
    /// If several had, most of them have outlived their start, and it isn't known which.
    pub(in crate::jobs) fn is_of_only_job(&self, trial: &Trial) -> bool {
        let jobs = self.jobs.get(&incarnation(trial));
        jobs.is_some_and(|jobs| jobs.len() == 1)
    }
}

fn incarnation(trial: &Trial) -> Incarnation {
    (trial.minion.clone(), trial.incarnation)
}
