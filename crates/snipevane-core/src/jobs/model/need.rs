//! What decides whether an untried task finds a minion.

use smol_str::SmolStr;

use super::spec::StepSpec;
use crate::placement::Resources;

/// Need of the untried tasks of a step. If one of them finds no minion, others of the same need of the job find none
/// either.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(in crate::jobs) struct Need {
    size: Resources,
    label: Option<SmolStr>,
    long_running: bool,
    best_effort: bool,
}

impl Need {
    /// Returns the need of a step's tasks; `None` if each step of this kind has its own: a gang, and one that limits its
    /// tasks on a minion.
    pub(in crate::jobs) fn of(step: &StepSpec) -> Option<Self> {
        let is_shared = !step.gang && step.max_per_minion.is_none();
        is_shared.then(|| Self {
            size: step.allocated_size(),
            label: step.label.clone(),
            long_running: step.long_running,
            best_effort: step.best_effort,
        })
    }
}
