//! In-memory state of a job: what of it runs, was tried or is done.
//!
//! Work that hasn't begun is the same for each occurrence and each task of a step, so that it takes a number and no
//! record. A job of any size is held for what its minions run and what was tried.

mod opening;
mod stored;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;

use self::opening::{classes_of, least_size};
use super::id::{JobId, StepId, TaskId};
use super::index_set::IndexSet;
use super::keys::{RunKey, TaskRef};
use super::occurrence::Occurrence;
use super::progress::JobState;
use super::run::Run;
use super::spec::JobSpec;
use super::step::Step;
use super::task::{CommonTasks, Task};
use super::terms::JobTerms;
use crate::jobs::ending::trial::Trial;
use crate::placement::Resources;

/// Memory of an opened step, of a task's record and of a run, in bytes.
const STEP_BYTES: usize = size_of::<Step>() + 64;
const TASK_BYTES: usize = size_of::<Task>() + 96;
const RUN_BYTES: usize = size_of::<Run>() + 64;

/// Consequences of the completion of a task.
#[derive(Debug, Default)]
pub(in crate::jobs) struct Completion {
    /// Runs of the tasks that have completed.
    pub(in crate::jobs) runs: Vec<RunKey>,
    /// Whether the step has completed with it.
    pub(in crate::jobs) step_done: bool,
}

/// A job and its progress.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identifier of the job.
    pub id: JobId,
    /// Specification that the caller submitted, without the payload.
    pub spec: Rc<JobSpec>,
    /// Payload that is passed to each task.
    pub payload: Rc<str>,
    /// Current state.
    pub state: JobState,
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
    /// Longest of these, of the whole job.
    pub critical_path: Duration,
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
    /// Largest size of the stored progress up to which further work begins, in bytes.
    max_record_bytes: usize,
    /// Memory of the specification, in bytes.
    spec_bytes: usize,
    /// States of the tasks without a record: of steps that complete, and of long-running ones.
    common: [Rc<CommonTasks>; 2],
    /// Number of occurrences that are due or were due earlier.
    due: u32,
    /// Occurrences that have begun, until all of their steps are done and they have no runs.
    occurrences: BTreeMap<u32, Occurrence>,
    /// Occurrences of which all steps are done.
    finished: IndexSet,
    /// Occurrence before which all have begun.
    next: u32,
    /// For each step, the begun occurrences in which it is ready and wasn't opened.
    ready: Vec<IndexSet>,
    /// Least amount of each resource that a task of any step takes.
    pub(in crate::jobs) least_size: Resources,
    /// Class of each step: those of a class have the same need.
    classes: Vec<u32>,
    /// For each class, the number of opened steps of which no task was tried.
    fresh: Vec<u32>,
    /// Number of completed tasks of each step in all occurrences.
    done_tasks: Vec<u64>,
    /// Numbers of opened steps that aren't done: those of which no task was tried, and those without runs.
    fresh_steps: usize,
    idle_steps: usize,
    /// Numbers of opened steps, of records of tasks, and of runs.
    opened_steps: usize,
    records: usize,
    runs: usize,
}

/// Tasks of a step that haven't completed, over all occurrences that are due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::jobs) struct OpenTasks {
    /// Number of tasks without a run.
    pub(in crate::jobs) waiting: u64,
    /// Number of these whose turn has come.
    pub(in crate::jobs) ready: u64,
    /// Number of tasks with a run.
    pub(in crate::jobs) running: u64,
}

/// What of a step counts towards the numbers of its job.
#[derive(Clone, Copy, Default)]
struct StepCounts {
    fresh: u32,
    idle: usize,
    records: usize,
}

impl StepCounts {
    fn of(step: &Step) -> Self {
        let is_open = !step.is_done();
        Self {
            fresh: u32::from(is_open && step.is_fresh()),
            idle: usize::from(is_open && step.running_count() == 0),
            records: step.record_count(),
        }
    }
}

/// Parts of a new job that its specification doesn't contain.
#[derive(Clone, Copy, Debug)]
pub(in crate::jobs) struct JobIntake {
    /// Time at which the job was accepted, on the scheduler's clock.
    pub(in crate::jobs) accepted_at: Duration,
    /// Terms on which it was accepted.
    pub(in crate::jobs) terms: JobTerms,
    /// Attempt numbers that earlier terms may have used; 0 if the job is new in this term.
    pub(in crate::jobs) used_attempts: u32,
    /// Largest size of the stored progress up to which further work begins, in bytes.
    pub(in crate::jobs) max_record_bytes: usize,
}

impl Job {
    /// Creates a job of which nothing has begun.
    pub(in crate::jobs) fn new(id: JobId, mut spec: JobSpec, intake: JobIntake) -> Self {
        let payload = Rc::from(std::mem::take(&mut spec.payload));
        let classes = classes_of(&spec.steps);
        let critical_paths = spec.critical_paths();
        let critical_path = critical_paths.iter().max().copied().unwrap_or_default();
        let common = [false, true]
            .map(|long_running| Rc::new(CommonTasks::new(long_running, intake.used_attempts)));
        Self {
            id,
            payload,
            state: JobState::Queued,
            adopted: intake.used_attempts > 0,
            over_rate_share: false,
            accepted_at: intake.accepted_at,
            critical_paths,
            critical_path,
            deadline: intake.accepted_at + intake.terms.time_allowed(critical_path),
            terms: intake.terms,
            crash_changes: 0,
            stored_crash_changes: 0,
            stored_parts: 0,
            ended_unix_ms: 0,
            max_record_bytes: intake.max_record_bytes,
            spec_bytes: spec.held_bytes(),
            common,
            due: u32::from(spec.schedule.is_none()),
            occurrences: BTreeMap::new(),
            finished: IndexSet::default(),
            next: 0,
            ready: vec![IndexSet::default(); spec.steps.len()],
            fresh: vec![0; classes.iter().max().map_or(0, |last| *last as usize + 1)],
            classes,
            least_size: least_size(&spec.steps),
            done_tasks: vec![0; spec.steps.len()],
            fresh_steps: 0,
            idle_steps: 0,
            opened_steps: 0,
            records: 0,
            runs: 0,
            spec: Rc::new(spec),
        }
    }

    /// Returns the number of occurrences that are due or were due earlier.
    pub fn due(&self) -> u32 {
        self.due
    }

    /// Returns the number of occurrences that are due and haven't begun.
    pub fn due_occurrences(&self) -> u32 {
        // Each one that has begun is counted once: those that are finished may have runs still.
        let unfinished = self.occurrences.keys();
        let unfinished = unfinished.filter(|&&number| !self.finished.contains(number));
        let begun = unfinished.count() as u64 + self.finished.len();
        u32::try_from(u64::from(self.due).saturating_sub(begun)).unwrap_or(0)
    }

    /// Makes the occurrences due whose time has come; returns whether there are any new ones.
    pub(in crate::jobs) fn make_due(&mut self, unix_ms: u64) -> bool {
        let due = self.spec.due_occurrences(unix_ms);
        let is_new = due > self.due;
        self.due = self.due.max(due);
        is_new
    }

    /// Returns whether occurrences will be due later.
    pub(in crate::jobs) fn has_later_occurrences(&self) -> bool {
        self.due < self.spec.occurrences() && !self.state.is_final()
    }

    /// Returns whether the job has a task at a position whose occurrence was due.
    pub fn has_task(&self, task_ref: TaskRef) -> bool {
        let spec = self.spec.steps.get(task_ref.step as usize);
        let is_due = task_ref.occurrence < self.due;
        is_due && spec.is_some_and(|spec| task_ref.index < spec.tasks)
    }

    /// Returns the task at a position, if its step was opened.
    pub fn task(&self, task_ref: TaskRef) -> Option<&Task> {
        self.step(task_ref)?.task(task_ref.index)
    }

    /// Returns the record of the task at a position, mutably; `None` if its step isn't open, or if it is done and has no
    /// runs.
    pub(in crate::jobs) fn task_mut(&mut self, task_ref: TaskRef) -> Option<&mut Task> {
        self.update_step(task_ref, |step| step.task_mut(task_ref.index).is_some());
        let occurrence = self.occurrences.get_mut(&task_ref.occurrence)?;
        let step = occurrence.steps.get_mut(&task_ref.step)?;
        step.task_mut(task_ref.index)
    }

    /// Returns the step that contains the task at a position, if it was opened.
    pub fn step(&self, task_ref: TaskRef) -> Option<&Step> {
        let occurrence = self.occurrences.get(&task_ref.occurrence)?;
        occurrence.steps.get(&task_ref.step)
    }

    /// Changes an opened step, and keeps count of what follows from the change.
    pub(in crate::jobs) fn update_step<T>(
        &mut self,
        task_ref: TaskRef,
        change: impl FnOnce(&mut Step) -> T,
    ) -> Option<T> {
        let occurrence = self.occurrences.get_mut(&task_ref.occurrence)?;
        let step = occurrence.steps.get_mut(&task_ref.step)?;
        let before = StepCounts::of(step);
        let result = change(step);
        let after = StepCounts::of(step);
        self.count_step(task_ref.step, before, after);
        Some(result)
    }

    fn count_step(&mut self, step: u32, before: StepCounts, after: StepCounts) {
        let fresh = &mut self.fresh[self.classes[step as usize] as usize];
        *fresh = *fresh + after.fresh - before.fresh;
        self.fresh_steps = self.fresh_steps + after.fresh as usize - before.fresh as usize;
        self.idle_steps = self.idle_steps + after.idle - before.idle;
        self.records = self.records + after.records - before.records;
    }

    /// Returns whether the task at a position has completed.
    pub(in crate::jobs) fn is_task_done(&self, task_ref: TaskRef) -> bool {
        let Some(occurrence) = self.occurrences.get(&task_ref.occurrence) else {
            return self.finished.contains(task_ref.occurrence);
        };
        let task = self.task(task_ref);
        occurrence.done.contains(task_ref.step) || task.is_some_and(|task| task.done)
    }

    /// Returns whether all steps that a step depends on have completed, in an occurrence that is due.
    pub fn is_ready(&self, occurrence: u32, step: u32) -> bool {
        let Some(spec) = self.spec.steps.get(step as usize) else {
            return false;
        };
        match self.occurrences.get(&occurrence) {
            Some(state) => state.are_dependencies_done(spec),
            None if self.finished.contains(occurrence) => true,
            None => occurrence < self.due && spec.after.is_empty(),
        }
    }

    /// Returns the occurrences that have begun, with their numbers, until all of their runs have ended.
    pub(in crate::jobs) fn begun_occurrences(&self) -> impl Iterator<Item = (u32, &Occurrence)> {
        let occurrences = self.occurrences.iter();
        occurrences.map(|(&number, occurrence)| (number, occurrence))
    }

    /// Returns the opened steps of an occurrence with their indices.
    pub(in crate::jobs) fn opened_steps_in(
        &self,
        occurrence: u32,
    ) -> impl Iterator<Item = (u32, &Step)> {
        let occurrence = self.occurrences.get(&occurrence).into_iter();
        occurrence.flat_map(Occurrence::opened_steps)
    }

    /// Returns the opened steps with their positions, as those of their first tasks.
    pub(in crate::jobs) fn opened_steps(&self) -> impl Iterator<Item = (TaskRef, &Step)> {
        self.begun_occurrences().flat_map(|(occurrence, state)| {
            state.opened_steps().map(move |(step, state)| {
                let first = TaskRef {
                    occurrence,
                    step,
                    index: 0,
                };
                (first, state)
            })
        })
    }

    /// Returns the tasks that were tried and aren't done, or have runs, with their positions.
    pub(in crate::jobs) fn tasks(&self) -> impl Iterator<Item = (TaskRef, &Task)> {
        self.opened_steps().flat_map(|(first, step)| {
            let tasks = step.records();
            tasks.map(move |(index, task)| (TaskRef { index, ..first }, task))
        })
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

    /// Returns the tasks of each step that haven't completed, over all occurrences that are due.
    pub(in crate::jobs) fn open_tasks(&self) -> Vec<OpenTasks> {
        let unbegun = u64::from(self.due_occurrences());
        let steps = self.spec.steps.iter().enumerate();
        let steps = steps.map(|(number, spec)| {
            let tasks = u64::from(spec.tasks);
            let in_unbegun = if spec.after.is_empty() { unbegun } else { 0 };
            let remaining = u64::from(self.due) * tasks - self.done_tasks[number];
            OpenTasks {
                waiting: remaining,
                ready: (in_unbegun + self.ready[number].len()) * tasks,
                running: 0,
            }
        });
        let mut open: Vec<OpenTasks> = steps.collect();
        for (first, step) in self.opened_steps() {
            let open = &mut open[first.step as usize];
            let running = u64::from(step.running_count());
            open.running += running;
            open.waiting -= running;
            if self.is_ready(first.occurrence, first.step) {
                open.ready += u64::from(step.waiting());
            }
        }
        open
    }

    /// Returns the memory that the job takes, in bytes, about.
    pub(in crate::jobs) fn held_bytes(&self) -> usize {
        let opened = self.opened_steps * STEP_BYTES + self.records * TASK_BYTES;
        let opened = opened + self.runs * RUN_BYTES;
        size_of::<Self>() + self.spec_bytes + self.payload.len() + opened
    }

    /// Adds a run of the task at a position, whose step is opened if it wasn't; returns whether the task was waiting.
    pub(in crate::jobs) fn add_run(&mut self, task_ref: TaskRef, run: RunKey) -> bool {
        if !self.open_step(task_ref) {
            return false;
        }
        self.runs += 1;
        let added = self.update_step(task_ref, |step| step.add_run(task_ref.index, run));
        added.unwrap_or(false)
    }

    /// Removes a run of the task at a position.
    pub(in crate::jobs) fn remove_run(&mut self, task_ref: TaskRef, run: RunKey) {
        let removed = self.update_step(task_ref, |step| step.remove_run(task_ref.index, run));
        if removed.is_some() {
            self.runs = self.runs.saturating_sub(1);
            self.close_if_done(task_ref);
        }
    }

    /// Returns whether any task has a run.
    pub(in crate::jobs) fn has_runs(&self) -> bool {
        self.runs > 0
    }

    /// Marks the task at a position as completed, or all tasks of its step if that is a gang.
    pub(in crate::jobs) fn complete_task(&mut self, task_ref: TaskRef) -> Completion {
        let Some(spec) = self.spec.steps.get(task_ref.step as usize) else {
            return Completion::default();
        };
        let indices = if spec.gang {
            0..spec.tasks
        } else {
            task_ref.index..task_ref.index + 1
        };
        let completed = self.update_step(task_ref, |step| {
            let runs: Vec<Vec<RunKey>> = indices.filter_map(|index| step.complete(index)).collect();
            (runs, step.is_done())
        });
        let Some((runs, step_done)) = completed.filter(|(runs, _)| !runs.is_empty()) else {
            return Completion::default();
        };
        self.done_tasks[task_ref.step as usize] += runs.len() as u64;
        if step_done {
            self.finish_step(task_ref);
        }
        Completion {
            runs: runs.concat(),
            step_done,
        }
    }

    /// Records that a step has completed, and finds the steps and the occurrence that follow from it.
    fn finish_step(&mut self, task_ref: TaskRef) {
        let Some(occurrence) = self.occurrences.get_mut(&task_ref.occurrence) else {
            return;
        };
        occurrence.done.insert(task_ref.step);
        let ready = occurrence.ready_steps(&self.spec.steps, task_ref.step);
        if occurrence.done.len() == self.spec.steps.len() as u64 {
            self.finished.insert(task_ref.occurrence);
        }
        self.add_ready_steps(task_ref.occurrence, &ready);
        self.close_if_done(task_ref);
    }

    /// Drops the state of a step that is done and has no runs, and that of its occurrence.
    fn close_if_done(&mut self, task_ref: TaskRef) {
        let Some(occurrence) = self.occurrences.get_mut(&task_ref.occurrence) else {
            return;
        };
        let step = occurrence.steps.get(&task_ref.step);
        if step.is_some_and(|step| step.is_done() && !step.has_runs())
            && let Some(step) = occurrence.steps.remove(&task_ref.step)
        {
            self.opened_steps -= 1;
            self.records -= step.record_count();
        }
        if occurrence.steps.is_empty() && self.finished.contains(task_ref.occurrence) {
            self.occurrences.remove(&task_ref.occurrence);
        }
    }

    /// Returns all runs of the job's tasks.
    pub(in crate::jobs) fn run_keys(&self) -> Vec<RunKey> {
        let runs = self.tasks().flat_map(|(_, task)| &task.runs);
        runs.copied().collect()
    }

    /// Records the checkpoint that a task has saved; an empty one changes nothing.
    pub(in crate::jobs) fn record_checkpoint(&mut self, task_ref: TaskRef, checkpoint: &SmolStr) {
        if !checkpoint.is_empty() {
            self.update_step(task_ref, |step| {
                step.record_checkpoint(task_ref.index, checkpoint);
            });
        }
    }

    /// Returns whether changes to the record of crashes under its tasks aren't known to be stored.
    pub fn has_unstored_crashes(&self) -> bool {
        self.stored_crash_changes < self.crash_changes
    }

    /// Returns whether all occurrences have completed.
    pub fn is_done(&self) -> bool {
        self.finished.len() == u64::from(self.spec.occurrences())
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
}
