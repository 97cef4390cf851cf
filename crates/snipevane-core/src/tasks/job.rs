//! What is learned of a team's tasks of one kind.

use std::time::Duration;

use slotmap::{SecondaryMap, new_key_type};
use smol_str::SmolStr;

use crate::ids::{TaskKey, TeamKey, WorkerKey};
use crate::placement::Resources;

/// Weight of a new observation in the means.
const GAIN: f64 = 0.1;

/// Observations before the declared size and run time no longer count.
const TRUSTED_AFTER: u32 = 5;

/// Deviations above the mean that an estimated run time covers.
const DEVIATIONS: f64 = 2.0;

/// Part, in percent, that the largest size seen keeps with each smaller one.
const PEAK_KEPT_PERCENT: u64 = 98;
const PERCENT: u64 = 100;

/// Different workers without any success between that make the job the likely cause of failures.
const SUSPECT_WORKERS: usize = 3;

new_key_type! {
    /// Key of a job: a team's tasks of one kind.
    pub struct JobKey;
}

/// Estimated size and run time of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Size.
    pub size: Resources,
    /// Run time that few tasks pass.
    pub run_time: Duration,
}

/// A team's tasks of one kind.
#[derive(Clone, Debug)]
pub struct Job {
    /// Team.
    pub team: TeamKey,
    /// Name of the kind of task.
    pub name: SmolStr,
    /// Tasks that wait.
    pub waiting: usize,
    /// Tasks on workers.
    pub(super) running: SecondaryMap<TaskKey, ()>,
    /// Number of cancellations of the whole job.
    pub(super) generation: u32,
    observations: u32,
    mean_secs: f64,
    deviation_secs: f64,
    peak: Resources,
    failed_on: Vec<WorkerKey>,
}

impl Job {
    pub(super) fn new(team: TeamKey, name: SmolStr) -> Self {
        Self {
            team,
            name,
            waiting: 0,
            running: SecondaryMap::new(),
            generation: 0,
            observations: 0,
            mean_secs: 0.0,
            deviation_secs: 0.0,
            peak: Resources::default(),
            failed_on: Vec::new(),
        }
    }

    /// Returns the estimate for a task with this declared size and run time.
    ///
    /// Until some tasks have ended, the larger of declared and seen counts; afterwards what was
    /// seen.
    pub fn estimate(&self, declared: &Resources, declared_run: Duration) -> Estimate {
        let declared = Estimate {
            size: *declared,
            run_time: declared_run,
        };
        if self.observations == 0 {
            return declared;
        }
        let learned = Estimate {
            size: self.peak,
            run_time: Duration::from_secs_f64(self.mean_secs + DEVIATIONS * self.deviation_secs),
        };
        if self.observations >= TRUSTED_AFTER {
            return learned;
        }
        Estimate {
            size: learned.size.max(&declared.size),
            run_time: learned.run_time.max(declared.run_time),
        }
    }

    /// Takes in the size and run time of a task that ended well.
    pub(super) fn observe(&mut self, used: &Resources, run_time: Duration) {
        let secs = run_time.as_secs_f64();
        if self.observations == 0 {
            self.mean_secs = secs;
            self.deviation_secs = secs / DEVIATIONS;
            self.peak = *used;
        } else {
            let difference = secs - self.mean_secs;
            self.mean_secs += GAIN * difference;
            self.deviation_secs += GAIN * (difference.abs() - self.deviation_secs);
            self.peak = used.max(&part(&self.peak, PEAK_KEPT_PERCENT));
        }
        self.observations = self.observations.saturating_add(1);
        self.failed_on.clear();
    }

    /// Takes in a failure; returns whether the job itself is the likely cause.
    ///
    /// That is so if none of its tasks has ended well yet, or if they failed on several workers
    /// since.
    pub(super) fn observe_failure(&mut self, worker: WorkerKey) -> bool {
        if !self.failed_on.contains(&worker) && self.failed_on.len() < SUSPECT_WORKERS {
            self.failed_on.push(worker);
        }
        self.observations == 0 || self.failed_on.len() >= SUSPECT_WORKERS
    }
}

fn part(size: &Resources, percent: u64) -> Resources {
    Resources {
        cpu_millis: (size.cpu_millis * percent).div_ceil(PERCENT),
        memory_mib: (size.memory_mib * percent).div_ceil(PERCENT),
        accelerators: (size.accelerators * percent).div_ceil(PERCENT),
    }
}
