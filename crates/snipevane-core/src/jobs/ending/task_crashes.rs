//! Crashes of minions under one task.

use std::time::Duration;

use super::crash_evidence::{Begin, CrashEvidence, CrashReport, PROVEN_AFTER, Verdict};
use super::trial::Trial;
use crate::jobs::model::progress::CrashedRuns;

/// Number of crashes that are kept, the latest ones. It bounds the job's row in the store.
const MAX_KEPT: usize = 8;

/// Shortest time after its start for which a run may be the cause of a crash, if others are older.
pub(super) const TRIAL_PERIOD: Duration = Duration::from_millis(300);

/// Longest such time.
const MAX_TRIAL_PERIOD: Duration = Duration::from_secs(5);

/// Time by which a task may have worked longer before a crash than its minion's last list tells.
const WORK_ERROR: Duration = Duration::from_millis(700);

/// Number of unexplained crashes that a takeover stands for, as the new term doesn't know of those since the
/// record was stored.
const UNSEEN_CRASHES: usize = 1;

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
    /// Start orders with which minions were lost that had been heard of right before, the latest ones.
    lost_starts: Vec<u32>,
    /// Crashes of minions that ran the task at which it was passed over, the latest ones.
    passed_over: Vec<TaskCrash>,
    /// Crashes from the first of these to the last that no task explains.
    unexplained: UnexplainedCrashes,
    /// Run on trial.
    on_trial: Option<Trial>,
    /// Earlier runs on trial on minions that were silent after a takeover, the latest ones.
    undecided: Vec<Trial>,
    /// Number of minions that were lost with the task in earlier terms, as far as they had recorded it.
    lost_in_earlier_terms: usize,
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
        self.lost_starts.clone_from(&stored.lost_starts);
        let passed_over = stored.passed_over.iter();
        let passed_over = passed_over.map(|&(attempt, work_ms)| TaskCrash {
            attempt,
            work: Duration::from_millis(work_ms),
        });
        self.passed_over = passed_over.collect();
        self.unexplained = UnexplainedCrashes::restore(stored.unexplained as usize);
        self.on_trial.clone_from(&stored.on_trial);
        self.undecided.clone_from(&stored.undecided);
        self.lost_in_earlier_terms = self.lost_minions();
    }

    /// Adds the record to its stored form, in which the position of the task is set.
    pub(in crate::jobs) fn store(&self, position: CrashedRuns) -> CrashedRuns {
        let passed_over = self.passed_over.iter();
        let passed_over = passed_over.map(|crash| (crash.attempt, crash.work_ms()));
        CrashedRuns {
            attempts: self.attempts().collect(),
            work_ms: self.crashes.iter().map(TaskCrash::work_ms).collect(),
            passed_over: passed_over.collect(),
            unexplained: self.unexplained.count() as u32,
            attributed: self.attributed,
            unconfirmed: self.unconfirmed.clone(),
            lost_starts: self.lost_starts.clone(),
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
        let lost = self.lost_starts.iter().copied();
        let attempts = self.attempts().chain(unconfirmed).chain(lost);
        let attempts = attempts.chain(on_trial);
        attempts.max().unwrap_or(0)
    }

    /// Returns whether there is nothing to store.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
            && self.unconfirmed.is_empty()
            && self.lost_starts.is_empty()
            && self.passed_over.is_empty()
            && self.on_trial.is_none()
            && self.undecided.is_empty()
    }

    /// Returns the number of crashes under runs that had begun.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Returns the number of crashes that the task may have caused.
    pub(in crate::jobs) fn count(&self) -> usize {
        self.len() + self.unconfirmed.len() + self.lost_starts.len()
    }

    /// Returns the number of minions that were lost with the task, whatever that says of it.
    pub(in crate::jobs) fn lost_minions(&self) -> usize {
        self.count() + self.passed_over.len() + self.undecided.len()
    }

    /// Returns how many of these earlier terms had recorded.
    pub(in crate::jobs) fn lost_in_earlier_terms(&self) -> usize {
        self.lost_in_earlier_terms
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

    /// Records what the loss of an attempt's minion would say, if the attempt is on trial: whether it is a crash
    /// under the attempt, and whether its start order wasn't answered. Returns whether that changes the record.
    pub(in crate::jobs) fn update_trial(
        &mut self,
        attempt: u32,
        began: bool,
        unanswered: bool,
    ) -> bool {
        let on_trial = self.on_trial.as_mut();
        let is_changed = |trial: &&mut Trial| {
            trial.attempt == attempt && (trial.began, trial.unanswered) != (began, unanswered)
        };
        let Some(trial) = on_trial.filter(is_changed) else {
            return false;
        };
        trial.began = began;
        trial.unanswered = unanswered;
        true
    }

    /// Takes back what was concluded from a start order of an attempt whose minion has confirmed its begin after all;
    /// returns whether that changes the record.
    pub(in crate::jobs) fn confirm_begin(&mut self, attempt: u32) -> bool {
        let before = self.lost_starts.len();
        self.lost_starts.retain(|lost| *lost != attempt);
        self.lost_starts.len() < before
    }

    /// Takes back what was concluded from a start order of an attempt that never left; returns whether that changes
    /// the record.
    pub(in crate::jobs) fn forget_unsent(&mut self, attempt: u32) -> bool {
        let before = self.unconfirmed.len();
        self.unconfirmed.retain(|known| *known != attempt);
        let was_lost_start = self.confirm_begin(attempt);
        was_lost_start || self.unconfirmed.len() < before
    }

    /// Returns whether the record must be stored before the task starts again, as its starts are limited
    /// over all terms.
    pub(in crate::jobs) fn limits_starts(&self) -> bool {
        let has_trials = self.on_trial.is_some() || !self.undecided.is_empty();
        !self.long_running && (has_trials || self.is_suspect())
    }

    /// Returns whether an attempt that no minion lists after a takeover may count as a crash. That is thin
    /// evidence, so it doesn't if the starts aren't limited.
    pub(in crate::jobs) fn counts_vanished_attempts(&self) -> bool {
        !self.long_running
    }

    /// Returns whether the task has been a suspect only beside others, and not repeatedly, so that it is
    /// unlikely to be the cause.
    pub(in crate::jobs) fn is_unlikely_cause(&self) -> bool {
        !self.is_suspect() || self.attributed == 0 && self.count() <= 1
    }

    /// Returns whether one minion at most has crashed with a run of the task, and others were on it.
    pub(in crate::jobs) fn has_met_one_crash(&self) -> bool {
        self.attributed == 0 && self.count() + self.passed_over.len() <= 1
    }

    /// Returns whether minions have crashed with runs of the task while others were more likely causes.
    pub(in crate::jobs) fn was_passed_over(&self) -> bool {
        !self.passed_over.is_empty()
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
            lost_starts: self.lost_starts.len(),
            passed_over: self.passed_over.len(),
            attributed: self.attributed as usize,
            shortest_work: work.min().unwrap_or_default(),
            unexplained: self.unexplained.count(),
        }
    }

    /// Records a crash, unless it is recorded already.
    pub(in crate::jobs) fn record(&mut self, report: &CrashReport) {
        self.end_trial(report.attempt);
        if self.attempts().any(|known| known == report.attempt) {
            return;
        }
        match report.begin {
            Begin::Confirmed(work) => self.record_under_run(report, work),
            Begin::Unanswered => self.record_lost_start(report.attempt),
            Begin::Unknown => self.record_unconfirmed(report.attempt),
        }
    }

    /// Records a crash under an attempt that had worked for `work`.
    fn record_under_run(&mut self, report: &CrashReport, work: Duration) {
        self.unconfirmed.retain(|known| *known != report.attempt);
        self.confirm_begin(report.attempt);
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

    /// Records a crash under an attempt that had worked for `work`, at which others were more likely causes; returns
    /// whether that changes the record. A long-running task meets many such crashes.
    pub(in crate::jobs) fn pass_over(&mut self, attempt: u32, work: Duration) -> bool {
        let is_known = self
            .passed_over
            .iter()
            .any(|crash| crash.attempt == attempt);
        if self.long_running || is_known {
            return false;
        }
        self.passed_over.push(TaskCrash { attempt, work });
        if self.passed_over.len() > MAX_KEPT {
            self.passed_over.remove(0);
        }
        true
    }

    /// Returns the time for which a run on trial must have worked to have outlived its start: longer than before any
    /// crash of a minion that ran the task. A long-running task would keep its minion from others for too long.
    pub(in crate::jobs) fn trial_period(&self) -> Duration {
        let crashes = self.crashes.iter().chain(&self.passed_over);
        let longest = crashes.map(|crash| crash.work).max().unwrap_or_default();
        if self.long_running || longest < TRIAL_PERIOD {
            return TRIAL_PERIOD;
        }
        (longest * 3 / 2 + WORK_ERROR).min(MAX_TRIAL_PERIOD)
    }

    /// Records that a minion was lost with the start order of an attempt.
    fn record_lost_start(&mut self, attempt: u32) {
        if self.lost_starts.contains(&attempt) {
            return;
        }
        self.unconfirmed.retain(|known| *known != attempt);
        self.lost_starts.push(attempt);
        if self.lost_starts.len() > MAX_KEPT {
            self.lost_starts.remove(0);
        }
    }

    /// Records the crash of a minion that was ordered to start an attempt and isn't known to have begun it. That
    /// is thin evidence, so nothing is recorded if the starts aren't limited.
    fn record_unconfirmed(&mut self, attempt: u32) {
        let is_known = self.unconfirmed.contains(&attempt) || self.lost_starts.contains(&attempt);
        if self.long_running || is_known {
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
        let before = self.len() + self.lost_starts.len();
        self.crashes.retain(|crash| !crash.is_outlived_by(work));
        if work > PROVEN_AFTER {
            self.lost_starts.clear();
        }
        if self.crashes.is_empty() && self.lost_starts.is_empty() {
            self.attributed = 0;
            self.on_trial = None;
        }
        self.len() + self.lost_starts.len() < before
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

/// A crash under a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TaskCrash {
    /// Attempt that ended with the minion.
    attempt: u32,
    /// Time for which the attempt is known to have worked before.
    work: Duration,
}

impl TaskCrash {
    /// Returns the time for which the attempt is known to have worked, in milliseconds.
    fn work_ms(&self) -> u64 {
        self.work.as_millis() as u64
    }

    /// Returns whether an attempt that has worked for this long speaks against the task as the cause of the
    /// crash.
    fn is_outlived_by(&self, work: Duration) -> bool {
        work > self.work * 2 + PROVEN_AFTER
    }
}

/// Number of unexplained crashes without a task since the first crash under it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct UnexplainedCrashes {
    /// Number until the last crash under the task.
    count: usize,
    /// Number in earlier terms.
    earlier_terms: usize,
    /// Number in this term before the first crash under the task, and of those under it.
    ignored: usize,
}

impl UnexplainedCrashes {
    /// Restores the count that an earlier term stored.
    fn restore(count: usize) -> Self {
        Self {
            count,
            earlier_terms: count + UNSEEN_CRASHES,
            ignored: 0,
        }
    }

    /// Returns the number of crashes until the last one under the task.
    fn count(&self) -> usize {
        self.count
    }

    /// Starts to count after the first crash under a task.
    fn starting_after(report: &CrashReport) -> Self {
        Self {
            ignored: report.unexplained,
            ..Self::default()
        }
    }

    /// Counts up to another crash under the task, which isn't counted itself.
    fn update(&mut self, report: &CrashReport) {
        self.ignored += usize::from(report.is_unexplained);
        self.count = self.earlier_terms + report.unexplained.saturating_sub(self.ignored);
    }
}
