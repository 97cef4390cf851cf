//! Scheduling state of a step in one occurrence of a job.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use smol_str::SmolStr;

use super::index_set::IndexSet;
use super::keys::RunKey;
use super::spec::StepSpec;
use super::task::{CommonTasks, Task};

/// Scheduling state of a step in one occurrence, which has a record of each task that was tried.
///
/// All tasks of a step are alike until they are tried, so that the others need none.
#[derive(Clone, Debug)]
pub struct Step {
    /// Number of tasks.
    tasks: u32,
    /// States of the tasks without a record.
    common: Rc<CommonTasks>,
    /// Tasks that were tried and aren't done, or have runs.
    records: BTreeMap<u32, Task>,
    /// Tasks that have or had a record.
    tried: IndexSet,
    /// Tasks that have completed.
    done: IndexSet,
    /// Tasks that were tried, aren't done and have no run.
    retried: BTreeSet<u32>,
    /// Number of tasks that have runs and aren't done.
    running: u32,
    /// Whether the step is in the queue of its pool.
    pub queued: bool,
    /// Attempt number that all members of the gang share.
    pub gang_attempt: u32,
    /// Whether the tasks form a gang.
    is_gang: bool,
    /// Last checkpoint that a member of the gang saved.
    gang_checkpoint: SmolStr,
}

impl Step {
    /// Creates a step whose tasks weren't tried.
    pub(super) fn new(spec: &StepSpec, common: Rc<CommonTasks>) -> Self {
        Self {
            tasks: spec.tasks,
            gang_attempt: common.untried.last_attempt,
            common,
            records: BTreeMap::new(),
            tried: IndexSet::default(),
            done: IndexSet::default(),
            retried: BTreeSet::new(),
            running: 0,
            queued: false,
            is_gang: spec.gang,
            gang_checkpoint: SmolStr::default(),
        }
    }

    /// Creates a step whose tasks are all done.
    pub(super) fn completed(spec: &StepSpec, common: Rc<CommonTasks>) -> Self {
        let mut step = Self::new(spec, common);
        step.restore_done(0, spec.tasks.saturating_sub(1));
        step
    }

    /// Returns the number of tasks.
    pub fn len(&self) -> u32 {
        self.tasks
    }

    /// Returns whether the step has no tasks.
    pub fn is_empty(&self) -> bool {
        self.tasks == 0
    }

    /// Returns the number of tasks that have completed.
    pub fn done_count(&self) -> u32 {
        // A step has fewer than 2^32 tasks.
        self.done.len() as u32
    }

    /// Returns the number of tasks that have runs and haven't completed.
    pub fn running_count(&self) -> u32 {
        self.running
    }

    /// Returns the number of tasks that have no run and haven't completed.
    pub fn waiting(&self) -> u32 {
        self.tasks - self.done_count() - self.running
    }

    /// Returns whether all tasks have completed.
    pub fn is_done(&self) -> bool {
        self.done_count() == self.tasks
    }

    /// Returns whether no task was tried.
    pub(in crate::jobs) fn is_fresh(&self) -> bool {
        self.tried.is_empty() && self.done.is_empty()
    }

    /// Returns whether any task has a run, also one that is done.
    pub(in crate::jobs) fn has_runs(&self) -> bool {
        self.records.values().any(|task| !task.runs.is_empty())
    }

    /// Returns the number of tasks with a record.
    pub(in crate::jobs) fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Returns the tasks with a record, by index: those that were tried and aren't done, or have runs.
    pub(in crate::jobs) fn records(&self) -> impl Iterator<Item = (u32, &Task)> {
        self.records.iter().map(|(&index, task)| (index, task))
    }

    /// Returns the state of a task.
    pub fn task(&self, index: u32) -> Option<&Task> {
        if index >= self.tasks {
            return None;
        }
        let record = self.records.get(&index);
        Some(record.unwrap_or(if self.done.contains(index) {
            &self.common.done
        } else {
            &self.common.untried
        }))
    }

    /// Returns the states of the tasks that haven't completed, of which those without a record are alike and
    /// returned once.
    pub(in crate::jobs) fn distinct_tasks(&self) -> impl Iterator<Item = &Task> {
        let untried = (self.untried_count() > 0).then_some(&self.common.untried);
        let open = self.records.values().filter(|task| !task.done);
        open.chain(untried)
    }

    /// Returns the number of tasks that weren't tried and aren't done.
    fn untried_count(&self) -> u32 {
        let open = self.records.values().filter(|task| !task.done).count();
        self.tasks - self.done_count() - open as u32
    }

    /// Returns the record of a task, which is created if the task has none; `None` if it is done without runs.
    pub(super) fn task_mut(&mut self, index: u32) -> Option<&mut Task> {
        if self.done.contains(index) && !self.records.contains_key(&index) {
            return None;
        }
        self.record_mut(index)
    }

    /// Returns the record of a task, which is created if the task has none.
    fn record_mut(&mut self, index: u32) -> Option<&mut Task> {
        if index >= self.tasks {
            return None;
        }
        if !self.records.contains_key(&index) {
            let is_done = self.done.contains(index);
            let common = if is_done {
                &self.common.done
            } else {
                &self.common.untried
            };
            self.records.insert(index, common.clone());
            self.tried.insert(index);
            if !is_done {
                self.retried.insert(index);
            }
        }
        self.records.get_mut(&index)
    }

    /// Adds a run of a task, which may be done; returns whether the task was waiting.
    pub(super) fn add_run(&mut self, index: u32, run: RunKey) -> bool {
        let Some(task) = self.record_mut(index) else {
            return false;
        };
        let was_waiting = task.is_waiting();
        task.runs.push(run);
        if was_waiting {
            self.retried.remove(&index);
            self.running += 1;
        }
        was_waiting
    }

    /// Removes a run of a task.
    pub(super) fn remove_run(&mut self, index: u32, run: RunKey) {
        let Some(task) = self.records.get_mut(&index) else {
            return;
        };
        let had_runs = !task.runs.is_empty();
        task.runs.retain(|&other| other != run);
        if !had_runs || !task.runs.is_empty() {
            return;
        }
        if task.done {
            self.records.remove(&index);
        } else {
            self.running -= 1;
            self.retried.insert(index);
        }
    }

    /// Marks a task as completed; returns its runs, or `None` if it had completed before.
    pub(super) fn complete(&mut self, index: u32) -> Option<Vec<RunKey>> {
        if index >= self.tasks || !self.done.insert(index) {
            return None;
        }
        self.tried.insert(index);
        self.retried.remove(&index);
        let Some(task) = self.records.get_mut(&index) else {
            return Some(Vec::new());
        };
        task.done = true;
        let runs = task.runs.clone();
        if runs.is_empty() {
            self.records.remove(&index);
        } else {
            self.running -= 1;
        }
        Some(runs)
    }

    /// Marks tasks as completed that have no runs yet, from the stored progress.
    pub(super) fn restore_done(&mut self, first: u32, last: u32) {
        if self.tasks > 0 && first < self.tasks {
            self.done.insert_range(first, last.min(self.tasks - 1));
        }
    }

    /// Returns the first task from `from` on that may be started: one that was never tried, unless `retries_only` is
    /// set, or one that has no run and for which `may_retry` holds.
    pub(in crate::jobs) fn next_startable(
        &self,
        from: u32,
        retries_only: bool,
        may_retry: impl Fn(&Task) -> bool,
    ) -> Option<u32> {
        let mut retried = self.retried.range(from..).copied();
        let retried = retried.find(|index| self.records.get(index).is_some_and(&may_retry));
        let untried = self.next_untried(from).filter(|_| !retries_only);
        match (retried, untried) {
            (Some(retried), Some(untried)) => Some(retried.min(untried)),
            (retried, untried) => retried.or(untried),
        }
    }

    fn next_untried(&self, mut from: u32) -> Option<u32> {
        while from < self.tasks {
            let candidate = self.done.first_absent(self.tried.first_absent(from));
            if candidate == from {
                return Some(from);
            }
            from = candidate;
        }
        None
    }

    /// Returns the first `max` tasks that were never tried and aren't done.
    pub(in crate::jobs) fn untried(&self, max: usize) -> impl Iterator<Item = u32> + '_ {
        let first = self.next_untried(0);
        let untried = std::iter::successors(first, |&index| self.next_untried(index + 1));
        untried.take(max)
    }

    /// Returns the number of tasks that may be started, as [`Self::next_startable`] tells.
    pub(in crate::jobs) fn startable_count(&self, may_retry: impl Fn(&Task) -> bool) -> u32 {
        let retried = self.retried.iter();
        let retried = retried.filter(|index| self.records.get(index).is_some_and(&may_retry));
        self.untried_count() + retried.count() as u32
    }

    /// Returns the checkpoint from which a task resumes; empty if there is none.
    pub(in crate::jobs) fn checkpoint_of(&self, index: u32) -> SmolStr {
        if self.is_gang {
            return self.gang_checkpoint.clone();
        }
        let task = self.records.get(&index);
        task.map(|task| task.checkpoint.clone()).unwrap_or_default()
    }

    /// Records the checkpoint that a task has saved; an empty one changes nothing.
    ///
    /// All members of a gang resume from the same checkpoint, and that of any of them is valid for all.
    pub(super) fn record_checkpoint(&mut self, index: u32, checkpoint: &SmolStr) {
        if checkpoint.is_empty() {
            return;
        }
        if self.is_gang {
            self.gang_checkpoint.clone_from(checkpoint);
        } else if let Some(task) = self.task_mut(index) {
            task.checkpoint.clone_from(checkpoint);
        }
    }

    /// Returns the indices of the completed tasks, as ranges with first and last index.
    pub(in crate::jobs) fn done_ranges(&self) -> Vec<(u32, u32)> {
        self.done.ranges().collect()
    }
}
