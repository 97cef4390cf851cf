//! In-memory state of a job: its occurrences, steps and tasks.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use slotmap::new_key_type;
use smol_str::SmolStr;

use super::id::{JobId, StepId, TaskId};
use super::progress::{CrashedRuns, DoneTasks, FailedRuns, JobState, Progress, collapse_ranges};
use super::run::RunKey;
use super::spec::{JobSpec, StepSpec};
use super::terms::JobTerms;
use crate::jobs::ending::task_crashes::TaskCrashes;
use crate::jobs::ending::trial::Trial;

/// Contiguous ranges of indices, as first and last index.
type IndexRanges = Vec<(u32, u32)>;

new_key_type! {
    /// Key of a job in the scheduler's job map.
    pub struct JobKey;
}

/// Position of a task within its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskRef {
    /// Index of the occurrence.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u32,
    /// Index of the task in its step.
    pub index: u32,
}

/// Scheduling state of a task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Whether the task has completed.
    pub done: bool,
    /// Runs of the task that may still exist on a minion.
    pub runs: Vec<RunKey>,
    /// Numbers of the attempts that failed.
    pub failed_attempts: Vec<u32>,
    /// Crashes of minions that had a run of the task.
    pub crashes: TaskCrashes,
    /// Highest attempt number that is known to have been used.
    pub last_attempt: u32,
    /// Last checkpoint that the task, or another member of its gang, saved; empty if there is none.
    pub checkpoint: SmolStr,
    /// Time before which the task isn't started again after a failure.
    pub not_before: Duration,
    /// Number of times in a row that a long-running task has ended soon after its start.
    pub early_ends: u32,
    /// Identifier of the minion on which a run last failed.
    pub failed_on: Option<SmolStr>,
    /// Time since which the task, a suspect, waits for a trial that begins.
    pub trial_wanted_since: Option<Duration>,
}

/// Scheduling state of a step in one occurrence.
#[derive(Clone, Debug)]
pub struct Step {
    /// Tasks of the step.
    pub tasks: Vec<Task>,
    /// Number of tasks that have completed.
    pub done: u32,
    /// Number of tasks that have no run and haven't completed.
    pub waiting: u32,
    /// Whether the step is in the queue of its pool.
    pub queued: bool,
    /// Whether the tasks form a gang.
    pub is_gang: bool,
    /// Attempt number that all members of the gang share.
    pub gang_attempt: u32,
}

impl Step {
    fn new(spec: &StepSpec) -> Self {
        let task = Task {
            crashes: TaskCrashes::new(spec.long_running),
            ..Task::default()
        };
        Self {
            tasks: vec![task; spec.tasks as usize],
            done: 0,
            waiting: spec.tasks,
            queued: false,
            is_gang: spec.gang,
            gang_attempt: 0,
        }
    }

    /// Returns whether all tasks have completed.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Records the checkpoint that a task has saved; an empty one changes nothing.
    ///
    /// All members of a gang resume from the same checkpoint, and that of any of them is valid for all.
    pub fn record_checkpoint(&mut self, index: u32, checkpoint: &SmolStr) {
        if checkpoint.is_empty() {
            return;
        }
        if self.is_gang {
            for task in &mut self.tasks {
                task.checkpoint.clone_from(checkpoint);
            }
        } else if let Some(task) = self.tasks.get_mut(index as usize) {
            task.checkpoint.clone_from(checkpoint);
        }
    }

    /// Returns the indices of the completed tasks, as ranges with first and last index.
    fn done_ranges(&self) -> IndexRanges {
        let tasks = self.tasks.iter().enumerate();
        let done = tasks.filter(|(_, task)| task.done);
        collapse_ranges(done.map(|(index, _)| index as u32))
    }
}

/// One execution of all steps of a job; a scheduled job has several.
#[derive(Clone, Debug)]
pub struct Occurrence {
    /// Steps, in the order of the job's specification.
    pub steps: Vec<Step>,
}

impl Occurrence {
    /// Returns whether all steps have completed.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }
}

/// A job and its progress.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identifier of the job.
    pub id: JobId,
    /// Specification that the caller submitted.
    pub spec: Rc<JobSpec>,
    /// Payload that is passed to each task.
    pub payload: Rc<str>,
    /// Current state.
    pub state: JobState,
    /// Occurrences that are due or were due earlier, in order.
    pub occurrences: Vec<Occurrence>,
    /// Whether the job was loaded at the start of the term, so that it may have runs that this
    /// scheduler doesn't know.
    pub adopted: bool,
    /// Whether its team had exceeded its share of the job rate when the job was submitted.
    pub over_rate_share: bool,
    /// Time at which the job was accepted, on the scheduler's clock.
    pub accepted_at: Duration,
    /// Estimated time from the start of each step to the completion of the job, along the longest
    /// chain of dependent steps.
    pub critical_paths: Vec<Duration>,
    /// Time by which the job should complete, on the scheduler's clock.
    pub deadline: Duration,
    /// Terms on which it was accepted.
    pub terms: JobTerms,
    /// Number of changes to the record of crashes under its tasks.
    pub crash_changes: u32,
    /// Number of these changes that are known to be stored.
    pub stored_crash_changes: u32,
    /// Number of further rows in which parts of the progress may be stored.
    pub stored_parts: u32,
    /// Time at which the state became final, in Unix milliseconds; 0 before.
    pub ended_unix_ms: u64,
}

impl Job {
    /// Adds the next occurrence, with none of its tasks started.
    pub fn add_occurrence(&mut self) {
        let steps = self.spec.steps.iter().map(Step::new).collect();
        self.occurrences.push(Occurrence { steps });
    }

    /// Returns the index of the next occurrence to add; `None` if all were added or the job has
    /// ended.
    pub fn next_occurrence(&self) -> Option<u32> {
        let next = self.occurrences.len() as u32;
        (next < self.spec.occurrences() && !self.state.is_final()).then_some(next)
    }

    /// Returns the task at a position.
    pub fn task(&self, task_ref: TaskRef) -> Option<&Task> {
        self.step(task_ref)?.tasks.get(task_ref.index as usize)
    }

    /// Returns the task at a position, mutably.
    pub fn task_mut(&mut self, task_ref: TaskRef) -> Option<&mut Task> {
        self.step_mut(task_ref)?
            .tasks
            .get_mut(task_ref.index as usize)
    }

    /// Returns the step that contains the task at a position.
    pub fn step(&self, task_ref: TaskRef) -> Option<&Step> {
        let occurrence = self.occurrences.get(task_ref.occurrence as usize)?;
        occurrence.steps.get(task_ref.step as usize)
    }

    /// Returns the step that contains the task at a position, mutably.
    pub fn step_mut(&mut self, task_ref: TaskRef) -> Option<&mut Step> {
        let occurrence = self.occurrences.get_mut(task_ref.occurrence as usize)?;
        occurrence.steps.get_mut(task_ref.step as usize)
    }

    /// Returns whether all steps that a step depends on have completed.
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

    /// Returns whether changes to the record of crashes under its tasks aren't known to be stored.
    pub fn has_unstored_crashes(&self) -> bool {
        self.stored_crash_changes < self.crash_changes
    }

    /// Returns whether all occurrences were added and have completed.
    pub fn is_done(&self) -> bool {
        self.occurrences.len() as u32 == self.spec.occurrences()
            && self.occurrences.iter().all(Occurrence::is_done)
    }

    /// Returns the identifier of the task at a position.
    pub fn task_id(&self, task_ref: TaskRef) -> TaskId {
        let step = StepId {
            job: self.id,
            occurrence: task_ref.occurrence,
            step: task_ref.step,
        };
        TaskId {
            step,
            index: task_ref.index,
        }
    }

    /// Returns the progress to store: the state alone once it is final, otherwise also the
    /// completed tasks and the failed attempts.
    pub fn progress(&self) -> Progress {
        let mut progress = Progress {
            state: self.state,
            ended_unix_ms: self.ended_unix_ms,
            ..Progress::default()
        };
        if self.state.is_final() {
            return progress;
        }
        self.add_done(&mut progress);
        for (number, occurrence) in self.occurrences.iter().enumerate() {
            for (step, state) in occurrence.steps.iter().enumerate() {
                let position = (number as u32, step as u32);
                add_failed(&mut progress, position, state);
                add_crashed(&mut progress, position, state);
            }
        }
        progress.limit_crashes();
        progress
    }

    /// Adds the completed tasks to the progress to store: one entry for all occurrences of a step in which the
    /// same tasks are completed.
    fn add_done(&self, progress: &mut Progress) {
        let mut occurrences: BTreeMap<(u32, IndexRanges), Vec<u32>> = BTreeMap::new();
        for (number, occurrence) in self.occurrences.iter().enumerate() {
            let steps = occurrence.steps.iter().enumerate();
            for (step, state) in steps.filter(|(_, state)| state.done > 0) {
                let same = occurrences.entry((step as u32, state.done_ranges()));
                same.or_default().push(number as u32);
            }
        }
        for ((step, ranges), occurrences) in &occurrences {
            progress.add_done(*step, ranges, occurrences);
        }
    }

    /// Restores the progress that was read from the store.
    pub fn restore(&mut self, progress: &Progress) {
        self.state = progress.state;
        self.ended_unix_ms = progress.ended_unix_ms;
        self.stored_parts = progress.parts;
        if self.state.is_final() {
            return;
        }
        for done in &progress.done {
            for occurrence in done.occurrences() {
                self.restore_done(occurrence, done);
            }
        }
        for failed in &progress.failed {
            for task in failed.tasks() {
                self.restore_failed(task, failed);
            }
        }
        for crashed in &progress.crashed {
            self.restore_crashed(crashed);
        }
    }

    /// Returns the tasks that aren't done with their undecided runs on trial.
    pub(in crate::jobs) fn undecided_trials(&self) -> impl Iterator<Item = (TaskRef, &Trial)> {
        self.tasks()
            .filter(|(_, task)| !task.done)
            .flat_map(|(task_ref, task)| {
                let trials = task.crashes.undecided().iter();
                trials.map(move |trial| (task_ref, trial))
            })
    }

    /// Returns all tasks of the occurrences so far with their positions.
    pub(in crate::jobs) fn tasks(&self) -> impl Iterator<Item = (TaskRef, &Task)> {
        let occurrences = (0..).zip(&self.occurrences);
        occurrences.flat_map(|(occurrence, state)| {
            (0..).zip(&state.steps).flat_map(move |(step, state)| {
                (0..).zip(&state.tasks).map(move |(index, task)| {
                    let task_ref = TaskRef {
                        occurrence,
                        step,
                        index,
                    };
                    (task_ref, task)
                })
            })
        })
    }

    fn restore_crashed(&mut self, crashed: &CrashedRuns) {
        let task_ref = TaskRef {
            occurrence: crashed.occurrence,
            step: crashed.step,
            index: crashed.task,
        };
        self.add_occurrences_through(crashed.occurrence);
        let Some(task) = self.task_mut(task_ref) else {
            return;
        };
        task.crashes.restore(crashed);
        task.last_attempt = task.last_attempt.max(task.crashes.last_attempt());
    }

    fn restore_failed(&mut self, task: u32, failed: &FailedRuns) {
        let task_ref = TaskRef {
            occurrence: failed.occurrence,
            step: failed.step,
            index: task,
        };
        self.add_occurrences_through(failed.occurrence);
        let Some(task) = self.task_mut(task_ref) else {
            return;
        };
        task.failed_attempts.extend(&failed.attempts);
        let highest = failed.attempts.iter().max().copied();
        task.last_attempt = task.last_attempt.max(highest.unwrap_or(0));
    }

    fn restore_done(&mut self, occurrence: u32, done: &DoneTasks) {
        self.add_occurrences_through(occurrence);
        let task_ref = TaskRef {
            occurrence,
            step: done.step,
            index: 0,
        };
        let Some(step) = self.step_mut(task_ref) else {
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

    /// Adds the missing occurrences up to and including `last`, bounded by the job's schedule.
    fn add_occurrences_through(&mut self, last: u32) {
        let last = last.min(self.spec.occurrences().saturating_sub(1));
        while self.occurrences.len() as u32 <= last {
            self.add_occurrence();
        }
    }
}

/// Adds the failed attempts of a step's tasks to the progress to store: one entry for all tasks with the same
/// attempts. A completed task doesn't start again, so its failures don't count any more.
fn add_failed(progress: &mut Progress, position: (u32, u32), state: &Step) {
    let mut tasks: BTreeMap<&[u32], Vec<u32>> = BTreeMap::new();
    for (index, task) in state.tasks.iter().enumerate() {
        if !task.done && !task.failed_attempts.is_empty() {
            let same = tasks.entry(&task.failed_attempts);
            same.or_default().push(index as u32);
        }
    }
    for (attempts, tasks) in &tasks {
        progress.add_failed(position, attempts, tasks);
    }
}

/// Adds the crashes under a step's tasks to the progress to store.
fn add_crashed(progress: &mut Progress, (occurrence, step): (u32, u32), state: &Step) {
    for (index, task) in state.tasks.iter().enumerate() {
        if !task.done && !task.crashes.is_empty() {
            progress.crashed.push(task.crashes.store(CrashedRuns {
                occurrence,
                step,
                task: index as u32,
                ..CrashedRuns::default()
            }));
        }
    }
}
