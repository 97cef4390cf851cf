//! Crashes of minions under one task.

use std::time::Duration;

use super::crash_evidence::{CrashEvidence, Verdict};
use super::crash_report::CrashReport;
use super::task_crash::TaskCrash;
use super::trial::Trial;
use super::unexplained_crashes::UnexplainedCrashes;
use crate::jobs::model::progress::CrashedRuns;

/// Number of crashes that are kept, the latest ones. It bounds the job's row in the store.
const MAX_KEPT: usize = 8;

/// Crashes of minions shortly after they had started one task, or under a long-running task.
///
/// All runs on a minion end with it, so a crash alone doesn't tell which of their tasks caused it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskCrashes {
    /// Whether the task is long-running.
    long_running: bool,
    /// The crashes, in the order in which they became known.
    crashes: Vec<TaskCrash>,
    /// Number of crashes for which the task's job is the most likely cause.
    attributed: u32,
    /// Attempts whose minions crashed and aren't known to have begun them, the latest ones.
    unconfirmed: Vec<u32>,
    /// Crashes from the first of these to the last that no task explains.
    unexplained: UnexplainedCrashes,
    /// Run on trial.
    on_trial: Option<Trial>,
    /// Earlier runs on trial on minions that were silent after a takeover, the latest ones.
    undecided: Vec<Trial>,
}

impl TaskCrashes {
    /// Creates the record of a task under which no minion has crashed.
    pub(in crate::jobs) fn new(long_running: bool) -> Self {
        Self {
            long_running,
            ..Self::default()
        }
    }

    /// Restores the record from its stored form.
    pub(in crate::jobs) fn restore(&mut self, stored: &CrashedRuns) {
        let work = stored.work_ms.iter().copied().chain(std::iter::repeat(0));
        let crashes = stored.attempts.iter().zip(work);
        let crashes = crashes.map(|(&attempt, work_ms)| TaskCrash {
            attempt,
            work: Duration::from_millis(work_ms),
        });
        self.crashes = crashes.collect();
        self.attributed = stored.attributed;
        self.unconfirmed.clone_from(&stored.unconfirmed);
        self.unexplained = UnexplainedCrashes::restore(stored.unexplained as usize);
        self.on_trial.clone_from(&stored.on_trial);
        self.undecided.clone_from(&stored.undecided);
    }

    /// Adds the record to its stored form, in which the position of the task is set.
    pub(in crate::jobs) fn store(&self, position: CrashedRuns) -> CrashedRuns {
        let long_running = self.crashes.iter().filter(|_| self.long_running);
        let work_ms = long_running.map(|crash| crash.work.as_millis() as u64);
        CrashedRuns {
            attempts: self.attempts().collect(),
            work_ms: work_ms.collect(),
            unexplained: self.unexplained.count() as u32,
            attributed: self.attributed,
            unconfirmed: self.unconfirmed.clone(),
            on_trial: self.on_trial.clone(),
            undecided: self.undecided.clone(),
            ..position
        }
    }

    /// Returns the numbers of the attempts whose minions crashed.
    fn attempts(&self) -> impl Iterator<Item = u32> + '_ {
        self.crashes.iter().map(|crash| crash.attempt)
    }

    /// Returns the highest number of an attempt in the record; 0 if there is none.
    pub(in crate::jobs) fn last_attempt(&self) -> u32 {
        let on_trial = self.on_trial.iter().chain(&self.undecided);
        let on_trial = on_trial.map(|trial| trial.attempt);
        let unconfirmed = self.unconfirmed.iter().copied();
        let attempts = self.attempts().chain(unconfirmed).chain(on_trial);
        attempts.max().unwrap_or(0)
    }

    /// Returns whether there is nothing to store.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.unconfirmed.is_empty()
    }

    /// Returns the number of crashes under runs that had begun.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Returns the number of crashes that are attributed to the task's job.
    pub fn attributed(&self) -> u32 {
        self.attributed
    }

    /// Returns the run on trial, if there is one.
    pub(in crate::jobs) fn on_trial(&self) -> Option<&Trial> {
        self.on_trial.as_ref()
    }

    /// Puts a run on trial.
    pub(in crate::jobs) fn begin_trial(&mut self, trial: Trial) {
        self.on_trial = Some(trial);
    }

    /// Records whether the loss of an attempt's minion is a crash under it, if the attempt is on trial; returns
    /// whether that changes the record.
    pub(in crate::jobs) fn set_trial_began(&mut self, attempt: u32, began: bool) -> bool {
        let on_trial = self.on_trial.as_mut();
        let changed = |trial: &&mut Trial| trial.attempt == attempt && trial.began != began;
        let Some(trial) = on_trial.filter(changed) else {
            return false;
        };
        trial.began = began;
        true
    }

    /// Returns whether the record must be stored before the task starts again, as its starts are limited
    /// over all terms.
    pub(in crate::jobs) fn limits_starts(&self) -> bool {
        !self.is_empty() && !self.long_running
    }

    /// Returns whether an attempt that no minion lists after a takeover may count as a crash. That is thin
    /// evidence, so it doesn't if the starts aren't limited.
    pub(in crate::jobs) fn counts_vanished_attempts(&self) -> bool {
        !self.long_running
    }

    /// Returns whether the task has been a suspect only beside others, and not repeatedly, so that it is
    /// unlikely to be the cause.
    pub(in crate::jobs) fn is_unlikely_cause(&self) -> bool {
        let crashes = self.len() + self.unconfirmed.len();
        !self.is_suspect() || self.attributed == 0 && crashes <= 1
    }

    /// Returns whether the task may be the cause of the crashes.
    pub(in crate::jobs) fn is_suspect(&self) -> bool {
        self.evidence().verdict() != Verdict::Sound
    }

    /// Returns what speaks for and against the task.
    pub(in crate::jobs) fn evidence(&self) -> CrashEvidence {
        let work = self.crashes.iter().map(|crash| crash.work);
        CrashEvidence {
            long_running: self.long_running,
            crashes: self.len(),
            unconfirmed: self.unconfirmed.len(),
            attributed: self.attributed as usize,
            shortest_work: work.min().unwrap_or_default(),
            unexplained: self.unexplained.count(),
        }
    }

    /// Records a crash, unless it is recorded already. One under an attempt that isn't known to have begun is
    /// recorded apart.
    pub(in crate::jobs) fn record(&mut self, report: &CrashReport) {
        self.end_trial(report.attempt);
        if self.attempts().any(|known| known == report.attempt) {
            return;
        }
        let Some(work) = report.work else {
            self.record_unconfirmed(report.attempt);
            return;
        };
        self.unconfirmed.retain(|known| *known != report.attempt);
        self.outlive(work);
        if self.crashes.is_empty() {
            self.unexplained = UnexplainedCrashes::starting_after(report);
        } else {
            self.unexplained.update(report);
        }
        self.crashes.push(TaskCrash {
            attempt: report.attempt,
            work,
        });
        self.attributed += u32::from(report.attributed);
        if self.long_running && self.len() > MAX_KEPT {
            self.crashes.remove(0);
        }
    }

    /// Records the crash of a minion that was ordered to start an attempt and isn't known to have begun it. That
    /// is thin evidence, so nothing is recorded if the starts aren't limited.
    fn record_unconfirmed(&mut self, attempt: u32) {
        if self.long_running || self.unconfirmed.contains(&attempt) {
            return;
        }
        self.unconfirmed.push(attempt);
        if self.unconfirmed.len() > MAX_KEPT {
            self.unconfirmed.remove(0);
        }
    }

    /// Drops the crashes that a long-running task has outlived with an attempt that has worked for `work`;
    /// returns whether there were any.
    pub(in crate::jobs) fn outlive(&mut self, work: Duration) -> bool {
        if !self.long_running {
            return false;
        }
        let before = self.len();
        self.crashes.retain(|crash| !crash.is_outlived_by(work));
        if self.crashes.is_empty() {
            self.attributed = 0;
            self.on_trial = None;
        }
        self.len() < before
    }

    /// Returns the earlier runs on trial whose outcome isn't known.
    pub(in crate::jobs) fn undecided(&self) -> &[Trial] {
        &self.undecided
    }

    /// Records that the minion of an attempt on trial is silent and its lease over, so that the task may start
    /// elsewhere; returns whether the attempt was on trial.
    pub(in crate::jobs) fn leave_undecided(&mut self, attempt: u32) -> bool {
        let Some(trial) = self.on_trial.take_if(|trial| trial.attempt == attempt) else {
            return false;
        };
        self.undecided.push(trial);
        if self.undecided.len() > MAX_KEPT {
            self.undecided.remove(0);
        }
        true
    }

    /// Records that an attempt has ended; returns whether it was on trial.
    pub(in crate::jobs) fn end_trial(&mut self, attempt: u32) -> bool {
        let undecided = self.undecided.len();
        self.undecided.retain(|trial| trial.attempt != attempt);
        let on_trial = self.on_trial.take_if(|trial| trial.attempt == attempt);
        on_trial.is_some() || self.undecided.len() < undecided
    }
}
