//! A job in the scheduler's memory.

use std::rc::Rc;
use std::time::Duration;

use slotmap::new_key_type;
use smol_str::SmolStr;

use super::id::{JobId, StepId, TaskId};
use super::progress::{DoneTasks, FailedRuns, JobState, Progress, collapse_ranges};
use super::run::RunKey;
use super::spec::{JobSpec, StepSpec};

new_key_type! {
    /// Key of a job.
    pub struct JobKey;
}

/// Place of a task in its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskRef {
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u32,
    /// Number of the task.
    pub index: u32,
}

/// A task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Whether it is done.
    pub done: bool,
    /// Runs that may exist.
    pub runs: Vec<RunKey>,
    /// Attempts that failed.
    pub failed_attempts: Vec<u32>,
    /// Highest attempt known.
    pub last_attempt: u32,
    /// Last saved progress; empty if none.
    pub checkpoint: SmolStr,
    /// Time before which it isn't started again.
    pub not_before: Duration,
    /// Minion on which a run failed last, by its identifier.
    pub failed_on: Option<SmolStr>,
}

/// A step of an occurrence.
#[derive(Clone, Debug)]
pub struct Step {
    /// Tasks.
    pub tasks: Vec<Task>,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of tasks that neither run nor are done.
    pub waiting: u32,
    /// Whether the step is in its pool's queue.
    pub queued: bool,
    /// Attempt that the members of the gang share.
    pub gang_attempt: u32,
}

impl Step {
    fn new(spec: &StepSpec) -> Self {
        Self {
            tasks: vec![Task::default(); spec.tasks as usize],
            done: 0,
            waiting: spec.tasks,
            queued: false,
            gang_attempt: 0,
        }
    }

    /// Returns whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}

/// One run-through of a job's steps.
#[derive(Clone, Debug)]
pub struct Occurrence {
    /// Steps.
    pub steps: Vec<Step>,
}

impl Occurrence {
    /// Returns whether all steps are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }
}

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identifier.
    pub id: JobId,
    /// What was submitted.
    pub spec: Rc<JobSpec>,
    /// Text handed to each task.
    pub payload: Rc<str>,
    /// State.
    pub state: JobState,
    /// Occurrences that are due or were, in order.
    pub occurrences: Vec<Occurrence>,
    /// Whether it was loaded at the start of the term, so that runs may exist that aren't known.
    pub adopted: bool,
    /// Whether its team had sent more than its share when it came.
    pub over_rate_share: bool,
    /// Time of acceptance on the scheduler's clock.
    pub accepted_at: Duration,
    /// Time from the start of each step to the job's completion, by the estimates.
    pub critical_paths: Vec<Duration>,
    /// Time at which the job is to be completed.
    pub deadline: Duration,
    /// Rank of its queue.
    pub priority: u32,
    /// Runs of a task that may fail.
    pub max_attempts: u32,
    /// Time at which the state became final, in Unix milliseconds.
    pub ended_unix_ms: u64,
}

impl Job {
    /// Adds the next occurrence.
    pub fn add_occurrence(&mut self) {
        let steps = self.spec.steps.iter().map(Step::new).collect();
        self.occurrences.push(Occurrence { steps });
    }

    /// Returns the next occurrence that hasn't been added.
    pub fn next_occurrence(&self) -> Option<u32> {
        let next = self.occurrences.len() as u32;
        (next < self.spec.occurrences() && !self.state.is_final()).then_some(next)
    }

    /// Returns a task.
    pub fn task(&self, at: TaskRef) -> Option<&Task> {
        self.step(at)?.tasks.get(at.index as usize)
    }

    /// Returns a task.
    pub fn task_mut(&mut self, at: TaskRef) -> Option<&mut Task> {
        self.step_mut(at)?.tasks.get_mut(at.index as usize)
    }

    /// Returns the step of a task.
    pub fn step(&self, at: TaskRef) -> Option<&Step> {
        let occurrence = self.occurrences.get(at.occurrence as usize)?;
        occurrence.steps.get(at.step as usize)
    }

    /// Returns the step of a task.
    pub fn step_mut(&mut self, at: TaskRef) -> Option<&mut Step> {
        let occurrence = self.occurrences.get_mut(at.occurrence as usize)?;
        occurrence.steps.get_mut(at.step as usize)
    }

    /// Returns whether all steps that must come before a step are done.
    pub fn is_ready(&self, occurrence: u32, step: u32) -> bool {
        let Some(state) = self.occurrences.get(occurrence as usize) else {
            return false;
        };
        let Some(spec) = self.spec.steps.get(step as usize) else {
            return false;
        };
        let mut dependencies = spec.after.iter();
        dependencies.all(|&step| state.steps.get(step as usize).is_some_and(Step::is_done))
    }

    /// Returns whether all occurrences are done.
    pub fn is_done(&self) -> bool {
        self.occurrences.len() as u32 == self.spec.occurrences()
            && self.occurrences.iter().all(Occurrence::is_done)
    }

    /// Returns the identifier of a task.
    pub fn task_id(&self, at: TaskRef) -> TaskId {
        let step = StepId {
            job: self.id,
            occurrence: at.occurrence,
            step: at.step,
        };
        TaskId {
            step,
            index: at.index,
        }
    }

    /// Returns what the store keeps.
    pub fn progress(&self) -> Progress {
        let mut progress = Progress {
            state: self.state,
            ended_unix_ms: self.ended_unix_ms,
            ..Progress::default()
        };
        if self.state.is_final() {
            return progress;
        }
        for (occurrence, steps) in self.occurrences.iter().enumerate() {
            for (step, tasks) in steps.steps.iter().enumerate() {
                let at = (occurrence as u32, step as u32);
                add_done(&mut progress, at, tasks);
                add_failed(&mut progress, at, tasks);
            }
        }
        progress
    }

    /// Takes in what the store kept.
    pub fn restore(&mut self, progress: &Progress) {
        self.state = progress.state;
        self.ended_unix_ms = progress.ended_unix_ms;
        if self.state.is_final() {
            return;
        }
        for done in &progress.done {
            self.restore_done(done);
        }
        for failed in &progress.failed {
            let at = TaskRef {
                occurrence: failed.occurrence,
                step: failed.step,
                index: failed.task,
            };
            self.add_occurrences_through(failed.occurrence);
            if let Some(task) = self.task_mut(at) {
                task.failed_attempts.clone_from(&failed.attempts);
                let highest = failed.attempts.iter().max().copied();
                task.last_attempt = task.last_attempt.max(highest.unwrap_or(0));
            }
        }
    }

    fn restore_done(&mut self, done: &DoneTasks) {
        self.add_occurrences_through(done.occurrence);
        let at = TaskRef {
            occurrence: done.occurrence,
            step: done.step,
            index: 0,
        };
        let Some(step) = self.step_mut(at) else {
            return;
        };
        for &(first, last) in &done.ranges {
            for index in first..=last {
                let Some(task) = step.tasks.get_mut(index as usize) else {
                    break;
                };
                if !task.done {
                    task.done = true;
                    step.done += 1;
                    step.waiting -= 1;
                }
            }
        }
    }

    fn add_occurrences_through(&mut self, last: u32) {
        let last = last.min(self.spec.occurrences().saturating_sub(1));
        while self.occurrences.len() as u32 <= last {
            self.add_occurrence();
        }
    }
}

fn add_done(progress: &mut Progress, (occurrence, step): (u32, u32), state: &Step) {
    if state.done == 0 {
        return;
    }
    let numbered = state.tasks.iter().enumerate();
    let done = numbered
        .filter(|(_, task)| task.done)
        .map(|(index, _)| index as u32);
    progress.done.push(DoneTasks {
        occurrence,
        step,
        ranges: collapse_ranges(done),
    });
}

fn add_failed(progress: &mut Progress, (occurrence, step): (u32, u32), state: &Step) {
    for (index, task) in state.tasks.iter().enumerate() {
        if !task.failed_attempts.is_empty() {
            progress.failed.push(FailedRuns {
                occurrence,
                step,
                task: index as u32,
                attempts: task.failed_attempts.clone(),
            });
        }
    }
}
