//! What the crash of a minion says of a task that was aboard, and with which inputs.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use super::crash_evidence::Begin;
use crate::jobs::event::SchedulerEvent;
use crate::jobs::minions::minion::Crash;
use crate::jobs::model::keys::RunKey;
use crate::jobs::model::run::Run;
use crate::jobs::scheduler::Scheduler;

/// What a crash of a minion is recorded as for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashFinding {
    /// Nothing: the start order found no connection.
    NotSent,
    /// Nothing: the start order was sent when the minion was most likely gone.
    SentLate,
    /// Passed over, as others were more likely causes.
    PassedOver,
    /// A crash under a run that had begun.
    UnderRun,
    /// A start order with which the minion was lost.
    LostStart,
    /// An order that may have begun a run, or not.
    Unconfirmed,
}

impl CrashFinding {
    /// Returns the finding that is recorded for a run of which this is known.
    pub(super) fn recorded(begin: Begin) -> Self {
        match begin {
            Begin::Confirmed(_) => Self::UnderRun,
            Begin::Unanswered => Self::LostStart,
            Begin::Unknown => Self::Unconfirmed,
        }
    }
}

impl Display for CrashFinding {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotSent => "not sent",
            Self::SentLate => "sent late",
            Self::PassedOver => "passed over",
            Self::UnderRun => "under its run",
            Self::LostStart => "lost start",
            Self::Unconfirmed => "unconfirmed",
        })
    }
}

/// What was known when a start order without an answer was judged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartDoubt {
    /// Time for which nothing had been known of the minion.
    pub silent_for: Duration,
    /// Probability that a crash of another cause met the order.
    pub chance: f64,
    /// Number of crashes, of the last seconds, that the probability comes from.
    pub crashes: usize,
}

/// Inputs of a finding.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FindingInputs {
    /// Whether the task's job is the only one whose start the minion isn't known to have outlived.
    pub is_only_start: bool,
    /// Number of jobs with starts on the minion that it hadn't answered.
    pub unanswered_jobs: usize,
    /// Whether a task aboard had likely crashed others before.
    pub has_likely_cause: bool,
    /// Whether another job than the task's is taken for the cause.
    pub has_other_cause: bool,
    /// What was known when the task's start order was judged, if it got no answer.
    pub doubt: Option<StartDoubt>,
}

impl Scheduler {
    /// Returns what the crash of a run's minion is recorded as.
    pub(super) fn finding_of(&self, run: &Run, crash: &Crash) -> CrashFinding {
        if !self.may_have_begun(run) {
            return CrashFinding::NotSent;
        }
        if self.may_be_lost_with(run) && run.last_start_at > crash.starts_until {
            return CrashFinding::SentLate;
        }
        let is_latest = self.is_fresh(run) || !crash.had_fresh_runs;
        let begin = self.begin_of(run, crash);
        let is_one_of_many = begin == Begin::Unknown && crash.is_crowded();
        if has_other_cause(run, crash) || !is_latest || is_one_of_many {
            return CrashFinding::PassedOver;
        }
        CrashFinding::recorded(begin)
    }

    /// Reports what the crash of a run's minion was recorded as, if its task is a suspect by now.
    pub(super) fn report_finding(&mut self, key: RunKey, crash: &Crash, finding: CrashFinding) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        if !self.is_suspect_task(run.job, run.task_ref) {
            return;
        }
        let event = SchedulerEvent::CrashWeighed {
            task: run.task,
            attempt: run.attempt,
            minion: self.minion_id(run.minion),
            finding,
            inputs: FindingInputs {
                is_only_start: crash.latest_job == Some(run.job),
                unanswered_jobs: crash.unanswered_jobs,
                has_likely_cause: crash.has_likely_cause,
                has_other_cause: has_other_cause(run, crash),
                doubt: run.doubt,
            },
        };
        self.events.push(event);
    }
}

/// Returns whether another job than a run's is taken for the cause of a crash.
fn has_other_cause(run: &Run, crash: &Crash) -> bool {
    let cause = crash.lost_with.or(crash.cause);
    cause.is_some_and(|cause| cause != run.job)
}
