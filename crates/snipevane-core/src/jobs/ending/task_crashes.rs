//! Crashes of minions under one task.

use super::trial::Trial;

/// Number of crashes attributed to a task's job at which the task is given up.
const MAX_ATTRIBUTED: u32 = 2;

/// Number of crashes at which a task is given up whatever they are attributed to.
const MAX_CRASHES: usize = 4;

/// Crashes of minions shortly after they had started one task.
///
/// All runs on a minion end with it, so a crash alone doesn't tell which of their tasks caused it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskCrashes {
    /// Numbers of the attempts whose minions crashed.
    pub attempts: Vec<u32>,
    /// Number of these crashes for which the task's job is the most likely cause.
    pub attributed: u32,
    /// Run on trial.
    pub on_trial: Option<Trial>,
}

impl TaskCrashes {
    /// Returns whether no minion has crashed under the task.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns whether the task has been a suspect only beside others, and not repeatedly, so that it is
    /// unlikely to be the cause.
    pub(in crate::jobs) fn is_unlikely_cause(&self) -> bool {
        self.attributed == 0 && self.attempts.len() <= 1
    }

    /// Records the crash of an attempt's minion.
    pub(in crate::jobs) fn record(&mut self, attempt: u32, is_attributed: bool) {
        self.end_trial(attempt);
        if !self.attempts.contains(&attempt) {
            self.attempts.push(attempt);
            self.attributed += u32::from(is_attributed);
        }
    }

    /// Records that an attempt has ended; returns whether it was on trial.
    pub(in crate::jobs) fn end_trial(&mut self, attempt: u32) -> bool {
        let is_over = |trial: &mut Trial| trial.attempt == attempt;
        self.on_trial.take_if(is_over).is_some()
    }

    /// Returns whether the task is to be given up as the cause of the crashes.
    pub fn exceeds_limit(&self) -> bool {
        self.attributed >= MAX_ATTRIBUTED || self.attempts.len() >= MAX_CRASHES
    }
}
