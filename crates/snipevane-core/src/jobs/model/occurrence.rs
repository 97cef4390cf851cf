//! One execution of all steps of a job.

use std::collections::BTreeMap;

use super::index_set::IndexSet;
use super::spec::StepSpec;
use super::step::Step;

/// One execution of all steps of a job, from its first step that is opened to the end of its last run; a scheduled job
/// has several.
#[derive(Clone, Debug, Default)]
pub struct Occurrence {
    /// Steps that were opened to be placed, until they are done and have no runs.
    pub(super) steps: BTreeMap<u32, Step>,
    /// Steps that have completed.
    pub(super) done: IndexSet,
}

impl Occurrence {
    /// Returns whether all steps that a step depends on have completed.
    pub(super) fn are_dependencies_done(&self, spec: &StepSpec) -> bool {
        let mut dependencies = spec.after.iter();
        dependencies.all(|&earlier| self.done.contains(earlier))
    }

    /// Returns the steps from `from` on whose dependencies are done and that aren't opened or done.
    pub(super) fn ready_steps(&self, specs: &[StepSpec], from: u32) -> Vec<u32> {
        let steps = (from..).zip(specs.iter().skip(from as usize));
        let ready = steps.filter(|(number, spec)| {
            let is_known = self.done.contains(*number) || self.steps.contains_key(number);
            !is_known && self.are_dependencies_done(spec)
        });
        ready.map(|(number, _)| number).collect()
    }

    /// Returns the opened steps with their indices.
    pub(in crate::jobs) fn opened_steps(&self) -> impl Iterator<Item = (u32, &Step)> {
        self.steps.iter().map(|(&number, step)| (number, step))
    }
}
