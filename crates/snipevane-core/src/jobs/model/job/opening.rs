//! Which steps of a job are opened to be placed: a few at a time, so that each that could run gets its turn.

use rustc_hash::FxHashMap;

use super::{Job, StepCounts};
use crate::jobs::model::keys::TaskRef;
use crate::jobs::model::need::Need;
use crate::jobs::model::occurrence::Occurrence;
use crate::jobs::model::spec::StepSpec;
use crate::jobs::model::step::Step;
use crate::placement::Resources;

/// Number of opened steps of a job of which no task was tried yet, shared among its classes of steps. Beyond it, each
/// class may have one for which there may be room, as it may find it where the others don't.
const MAX_FRESH_STEPS: usize = 64;

/// Largest number of opened steps of a job of which no task runs.
const MAX_IDLE_STEPS: usize = 1_024;

/// Size of the stored record of an occurrence that has begun, in bytes, at most.
const OCCURRENCE_RECORD_BYTES: usize = 80;

/// Size of the stored record of a task that has begun, in bytes, as far as it is like those of others.
const TASK_RECORD_BYTES: usize = 24;

impl Job {
    /// Opens further steps to be placed, each in the order of the occurrences in which its turn has come: those that
    /// have begun, and then those that are due. Returns the positions of their first tasks.
    pub(in crate::jobs) fn open_steps(
        &mut self,
        may_fit: impl Fn(&StepSpec) -> bool,
    ) -> Vec<TaskRef> {
        let mut opened = Vec::new();
        if self.state.is_final() {
            return opened;
        }
        loop {
            self.open_ready_steps(&may_fit, &mut opened);
            if !self.begin_next_occurrence(&may_fit) {
                return opened;
            }
        }
    }

    /// Returns whether steps may be opened although there is no room for them.
    pub(in crate::jobs) fn may_open_any(&self) -> bool {
        self.fresh_steps < MAX_FRESH_STEPS
    }

    /// Opens the steps that are ready in occurrences that have begun.
    fn open_ready_steps(
        &mut self,
        may_fit: &impl Fn(&StepSpec) -> bool,
        opened: &mut Vec<TaskRef>,
    ) {
        for step in 0..self.spec.steps.len() as u32 {
            while !self.ready[step as usize].is_empty()
                && self.may_open(step, may_fit)
                && let Some(occurrence) = self.ready[step as usize].pop_first()
            {
                let first = TaskRef {
                    occurrence,
                    step,
                    index: 0,
                };
                self.open_step(first);
                opened.push(first);
            }
        }
    }

    /// Begins the next occurrence that is due if one of its first steps may be opened; returns whether it has begun.
    fn begin_next_occurrence(&mut self, may_fit: &impl Fn(&StepSpec) -> bool) -> bool {
        let Some(next) = self.first_unbegun() else {
            return false;
        };
        let steps = self.spec.steps.iter().enumerate();
        let mut first_steps = steps.filter(|(_, spec)| spec.after.is_empty());
        let is_wanted = first_steps
            .any(|(step, _)| self.ready[step].is_empty() && self.may_open(step as u32, may_fit));
        if is_wanted {
            self.next = next + 1;
            self.begin_occurrence(next);
        }
        is_wanted
    }

    /// Returns whether steps or occurrences wait to be opened.
    pub(in crate::jobs) fn has_unopened_steps(&self) -> bool {
        let is_any_ready = || self.ready.iter().any(|ready| !ready.is_empty());
        !self.state.is_final() && (self.first_unbegun().is_some() || is_any_ready())
    }

    /// Returns whether tasks may begin that were never tried: the stored progress has room for what follows.
    pub(in crate::jobs) fn may_begin_tasks(&self) -> bool {
        self.record_bytes() < self.max_record_bytes
    }

    /// Returns whether a step may be opened in a further occurrence.
    fn may_open(&self, step: u32, may_fit: &impl Fn(&StepSpec) -> bool) -> bool {
        let max_of_class = (MAX_FRESH_STEPS / self.fresh.len()).max(1);
        let class = self.classes[step as usize] as usize;
        let has_room = || self.spec.schedule.is_none() || self.may_begin_tasks();
        (self.fresh[class] as usize) < max_of_class
            && self.idle_steps < MAX_IDLE_STEPS
            && has_room()
            && (self.may_open_any() || may_fit(&self.spec.steps[step as usize]))
    }

    /// Returns the size of the stored progress, in bytes, as far as it depends on what runs and was tried.
    fn record_bytes(&self) -> usize {
        let gaps = self.finished.range_count();
        let occurrences = self.occurrences.len().max(gaps) * OCCURRENCE_RECORD_BYTES;
        occurrences + self.records * TASK_RECORD_BYTES
    }

    /// Returns the first occurrence that is due and hasn't begun.
    fn first_unbegun(&self) -> Option<u32> {
        let mut next = self.next;
        while next < self.due {
            let candidate = self.finished.first_absent(next);
            if candidate == next && !self.occurrences.contains_key(&next) {
                return Some(next);
            }
            next = candidate.max(next + u32::from(candidate == next));
        }
        None
    }

    fn begin_occurrence(&mut self, number: u32) {
        let occurrence = Occurrence::default();
        let ready = occurrence.ready_steps(&self.spec.steps, 0);
        self.occurrences.insert(number, occurrence);
        self.add_ready_steps(number, &ready);
    }

    pub(super) fn add_ready_steps(&mut self, occurrence: u32, steps: &[u32]) {
        for &step in steps {
            self.ready[step as usize].insert(occurrence);
        }
    }

    /// Opens the step at a position, which may be done, unless it is open; returns whether the job has such a step.
    pub(in crate::jobs) fn open_step(&mut self, task_ref: TaskRef) -> bool {
        let spec = self.spec.clone();
        let Some(spec) = spec.steps.get(task_ref.step as usize) else {
            return false;
        };
        if task_ref.occurrence >= self.due {
            return false;
        }
        if !self.occurrences.contains_key(&task_ref.occurrence) {
            self.begin_out_of_turn(task_ref.occurrence);
        }
        self.ready[task_ref.step as usize].remove(task_ref.occurrence);
        let Some(occurrence) = self.occurrences.get_mut(&task_ref.occurrence) else {
            return false;
        };
        if occurrence.steps.contains_key(&task_ref.step) {
            return true;
        }
        let common = self.common[usize::from(spec.long_running)].clone();
        let step = if occurrence.done.contains(task_ref.step) {
            Step::completed(spec, common)
        } else {
            Step::new(spec, common)
        };
        let counts = StepCounts::of(&step);
        occurrence.steps.insert(task_ref.step, step);
        self.opened_steps += 1;
        self.count_step(task_ref.step, StepCounts::default(), counts);
        true
    }

    /// Begins an occurrence out of turn, or again if it is finished.
    fn begin_out_of_turn(&mut self, number: u32) {
        if !self.finished.contains(number) {
            self.begin_occurrence(number);
            return;
        }
        let mut occurrence = Occurrence::default();
        let steps = self.spec.steps.len() as u32;
        occurrence.done.insert_range(0, steps.saturating_sub(1));
        self.occurrences.insert(number, occurrence);
    }
}

/// Returns the least amount of each resource that a task of any of the steps takes.
pub(super) fn least_size(steps: &[StepSpec]) -> Resources {
    let sizes = steps.iter().map(StepSpec::allocated_size);
    sizes
        .reduce(|least, size| least.min(&size))
        .unwrap_or_default()
}

/// Returns the class of each step: steps of the same need are of one class, and all others of their own.
pub(super) fn classes_of(steps: &[StepSpec]) -> Vec<u32> {
    let mut known: FxHashMap<Need, u32> = FxHashMap::default();
    let mut next = 0..;
    let mut new_class = || next.next().unwrap_or(u32::MAX);
    let classes = steps.iter().map(|step| match Need::of(step) {
        Some(need) => *known.entry(need).or_insert_with(&mut new_class),
        None => new_class(),
    });
    classes.collect()
}
