//! Which workers are set aside because they fail what they start.

use std::time::Duration;

use slotmap::SecondaryMap;

use crate::ids::{TaskKey, WorkerKey};
use crate::pools::UnixMs;

/// Settings of the workers' health.
#[derive(Clone, Copy, Debug)]
pub struct HealthSettings {
    /// Different tasks in a row whose failure sets a worker aside.
    pub failures: usize,
    /// Time after which a worker that was set aside is tried again; doubled each time it fails.
    pub first_retry: Duration,
    /// Longest time until a worker is tried again.
    pub longest_retry: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            failures: 3,
            first_retry: Duration::from_secs(60),
            longest_retry: Duration::from_secs(3600),
        }
    }
}

/// What a failure says of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The worker goes on.
    Working,
    /// The worker is set aside, and these tasks failed because of it.
    SetAside(Vec<TaskKey>),
}

#[derive(Clone, Debug, Default)]
struct State {
    /// Different tasks that failed since the last one that ended well.
    failed: Vec<TaskKey>,
    aside_until: Option<UnixMs>,
    /// Whether the worker was let in to be tried and nothing has ended well yet.
    on_trial: bool,
    retry: Duration,
}

/// The health of all workers.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    settings: HealthSettings,
    states: SecondaryMap<WorkerKey, State>,
}

impl WorkerHealth {
    /// Creates the health of workers that have failed nothing.
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            states: SecondaryMap::new(),
        }
    }

    /// Takes in that a task ended well on a worker.
    pub fn succeeded(&mut self, worker: WorkerKey) {
        self.states.remove(worker);
    }

    /// Takes in a failure that isn't the job's own.
    pub fn failed(&mut self, worker: WorkerKey, task: TaskKey, now: UnixMs) -> Verdict {
        let Some(entry) = self.states.entry(worker) else {
            return Verdict::Working;
        };
        let state = entry.or_default();
        if !state.failed.contains(&task) {
            state.failed.push(task);
        }
        let enough = state.on_trial || state.failed.len() >= self.settings.failures;
        if !enough || state.aside_until.is_some() {
            return Verdict::Working;
        }
        state.retry =
            (state.retry * 2).clamp(self.settings.first_retry, self.settings.longest_retry);
        state.aside_until = Some(now.after(state.retry));
        state.on_trial = false;
        Verdict::SetAside(std::mem::take(&mut state.failed))
    }

    /// Returns the workers that are to be tried again now.
    pub fn retry(&mut self, now: UnixMs) -> Vec<WorkerKey> {
        let mut ready = Vec::new();
        for (worker, state) in &mut self.states {
            if state.aside_until.is_some_and(|until| until <= now) {
                state.aside_until = None;
                state.on_trial = true;
                ready.push(worker);
            }
        }
        ready
    }

    /// Returns whether a worker is set aside.
    pub fn is_aside(&self, worker: WorkerKey) -> bool {
        let state = self.states.get(worker);
        state.is_some_and(|state| state.aside_until.is_some())
    }

    /// Returns the number of workers that are set aside.
    pub fn aside(&self) -> usize {
        let aside = self
            .states
            .values()
            .filter(|state| state.aside_until.is_some());
        aside.count()
    }
}
