//! What of a job's progress is stored, and how it is restored from that.

use std::collections::BTreeMap;

use super::Job;
use crate::jobs::model::index_set::IndexSet;
use crate::jobs::model::keys::TaskRef;
use crate::jobs::model::progress::{CrashedRuns, DoneTasks, FailedRuns, Progress};
use crate::jobs::model::step::Step;

/// Contiguous ranges of indices, as first and last index.
type IndexRanges = Vec<(u32, u32)>;

impl Job {
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
        progress.finished = self.finished.ranges().collect();
        if !progress.finished.is_empty() {
            let tasks = self.spec.steps.iter().map(|step| step.tasks);
            progress.step_tasks = tasks.collect();
        }
        self.add_done(&mut progress);
        for (first, step) in self.opened_steps() {
            let position = (first.occurrence, first.step);
            add_failed(&mut progress, position, step);
            add_crashed(&mut progress, position, step);
        }
        progress.limit_crashes();
        progress
    }

    /// Adds the completed tasks of the occurrences that aren't finished to the progress to store: one entry for all
    /// occurrences of a step in which the same tasks are completed.
    fn add_done(&self, progress: &mut Progress) {
        let mut occurrences: BTreeMap<(u32, IndexRanges), Vec<u32>> = BTreeMap::new();
        let unfinished = self.begun_occurrences();
        let unfinished = unfinished.filter(|(number, _)| !self.finished.contains(*number));
        for (number, occurrence) in unfinished {
            for (first, last) in occurrence.done.ranges() {
                for step in first..=last {
                    let tasks = self.spec.steps[step as usize].tasks;
                    let all = vec![(0, tasks.saturating_sub(1))];
                    occurrences.entry((step, all)).or_default().push(number);
                }
            }
            let partly = occurrence.opened_steps();
            let partly = partly.filter(|(_, step)| step.done_count() > 0 && !step.is_done());
            for (step, state) in partly {
                let same = occurrences.entry((step, state.done_ranges()));
                same.or_default().push(number);
            }
        }
        for ((step, ranges), occurrences) in &occurrences {
            progress.add_done(*step, ranges, occurrences);
        }
    }

    /// Restores the progress that was read from the store.
    pub(in crate::jobs) fn restore(&mut self, progress: &Progress) {
        self.state = progress.state;
        self.ended_unix_ms = progress.ended_unix_ms;
        self.stored_parts = progress.parts;
        if self.state.is_final() {
            return;
        }
        self.restore_finished(progress);
        for done in &progress.done {
            self.restore_done(done);
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

    /// Restores the occurrences of which all steps are completed: those that are stored as such, and those in which
    /// each step is stored as completed.
    fn restore_finished(&mut self, progress: &Progress) {
        let mut finished: Option<IndexSet> = None;
        for (number, spec) in (0..).zip(&self.spec.steps) {
            let of_step = progress.done.iter().filter(|done| done.step == number);
            let whole = of_step.filter(|done| done.is_whole(spec.tasks));
            let mut occurrences = IndexSet::default();
            for (first, last) in whole.flat_map(DoneTasks::occurrence_ranges) {
                occurrences.insert_range(first, last);
            }
            finished = Some(match finished {
                Some(finished) => finished.intersection(&occurrences),
                None => occurrences,
            });
        }
        let last = self.spec.occurrences().saturating_sub(1);
        let ranges: Vec<(u32, u32)> = finished.iter().flat_map(IndexSet::ranges).collect();
        for (first, to) in progress.finished.iter().copied().chain(ranges) {
            self.finished.insert_range(first, to.min(last));
        }
        for (done, spec) in self.done_tasks.iter_mut().zip(&self.spec.steps) {
            *done = self.finished.len() * u64::from(spec.tasks);
        }
        if let Some((_, last)) = self.finished.ranges().last() {
            self.due = self.due.max(last + 1);
        }
    }

    /// Restores the completed tasks of a step in occurrences that aren't finished.
    fn restore_done(&mut self, done: &DoneTasks) {
        let mut occurrences = IndexSet::default();
        for (first, last) in done.occurrence_ranges() {
            occurrences.insert_range(first, last);
        }
        let rest = occurrences.difference(&self.finished);
        let rest: Vec<(u32, u32)> = rest.ranges().collect();
        for occurrence in rest.into_iter().flat_map(|(first, last)| first..=last) {
            let task_ref = TaskRef {
                occurrence,
                step: done.step,
                index: 0,
            };
            if !self.open_restored(task_ref) {
                return;
            }
            let restored = self.update_step(task_ref, |step| {
                let before = step.done_count();
                for &(first, last) in &done.ranges {
                    step.restore_done(first, last);
                }
                (step.done_count() - before, step.is_done())
            });
            let Some((completed, is_done)) = restored else {
                continue;
            };
            self.done_tasks[done.step as usize] += u64::from(completed);
            if is_done {
                self.finish_step(task_ref);
            }
        }
    }

    fn restore_crashed(&mut self, crashed: &CrashedRuns) {
        let task_ref = TaskRef {
            occurrence: crashed.occurrence,
            step: crashed.step,
            index: crashed.task,
        };
        self.open_restored(task_ref);
        if let Some(task) = self.task_mut(task_ref) {
            task.crashes.restore(crashed);
            task.last_attempt = task.last_attempt.max(task.crashes.last_attempt());
        }
    }

    fn restore_failed(&mut self, task: u32, failed: &FailedRuns) {
        let task_ref = TaskRef {
            occurrence: failed.occurrence,
            step: failed.step,
            index: task,
        };
        self.open_restored(task_ref);
        if let Some(task) = self.task_mut(task_ref) {
            task.failed_attempts.extend(&failed.attempts);
            let highest = failed.attempts.iter().max().copied();
            task.last_attempt = task.last_attempt.max(highest.unwrap_or(0));
        }
    }

    /// Opens the step at a position of which progress is stored, so that its occurrence was due.
    fn open_restored(&mut self, task_ref: TaskRef) -> bool {
        if task_ref.occurrence >= self.spec.occurrences() {
            return false;
        }
        self.due = self.due.max(task_ref.occurrence + 1);
        self.open_step(task_ref)
    }
}

/// Adds the failed attempts of a step's tasks to the progress to store: one entry for all tasks with the same
/// attempts. A completed task doesn't start again, so its failures don't count any more.
fn add_failed(progress: &mut Progress, position: (u32, u32), state: &Step) {
    let mut tasks: BTreeMap<&[u32], Vec<u32>> = BTreeMap::new();
    for (index, task) in state.records() {
        if !task.done && !task.failed_attempts.is_empty() {
            let same = tasks.entry(&task.failed_attempts);
            same.or_default().push(index);
        }
    }
    for (attempts, tasks) in &tasks {
        progress.add_failed(position, attempts, tasks);
    }
}

/// Adds the crashes under a step's tasks to the progress to store.
fn add_crashed(progress: &mut Progress, (occurrence, step): (u32, u32), state: &Step) {
    for (index, task) in state.records() {
        if !task.done && !task.crashes.is_empty() {
            progress.crashed.push(task.crashes.store(CrashedRuns {
                occurrence,
                step,
                task: index,
                ..CrashedRuns::default()
            }));
        }
    }
}
