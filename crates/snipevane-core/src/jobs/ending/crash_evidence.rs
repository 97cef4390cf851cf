//! Judgement of whether a task crashes minions.

use std::time::Duration;

/// Number of crashes attributed to a task's job at which the task is taken for their cause.
const MAX_ATTRIBUTED: usize = 2;

/// Number of crashes at which a task is taken for their cause whatever they are attributed to.
const MAX_CRASHES: usize = 4;

/// Number of start orders with which minions were lost at which the task is taken for the cause.
///
/// A crash of another cause meets an order only within the moments for which nothing is known of the minion, so three
/// such orders are hardly a coincidence.
const MAX_LOST_STARTS: usize = 3;

/// Number of start orders with which minions were lost from which on all other crashes of minions with the task count.
const MIN_TELLING_LOST_STARTS: usize = 2;

/// Number of crashes at which a long-running task may be taken for their cause. It is higher, as such a task
/// meets many crashes of other causes, and its users lose it until it starts again.
const MIN_LONG_RUNNING_CRASHES: usize = 5;

/// Number of crashes under a long-running task that are excused by each unexplained crash without it.
const EXCUSED_CRASHES: usize = 4;

/// Number of crashes at which a short task was passed over that make it a suspect.
const MIN_PASSED_OVER: usize = 2;

/// Number of crashes from which a task explains the next one.
const MIN_LIKELY_CRASHES: usize = 3;

/// Time after which a long-running task has shown that it works, so that one crash doesn't make it a suspect.
pub(in crate::jobs) const PROVEN_AFTER: Duration = Duration::from_secs(5);

/// What is known of the begin of a run whose minion was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::jobs) enum Begin {
    /// The minion had confirmed it, and the run is known to have worked for this long.
    Confirmed(Duration),
    /// The minion wasn't heard of since it was sent the start order, though it had been right before, and no other
    /// job had just started there.
    Unanswered,
    /// The order may have begun the run, or not.
    Unknown,
}

/// A crash of a minion that had a run of a task.
#[derive(Clone, Copy, Debug)]
pub(in crate::jobs) struct CrashReport {
    /// Attempt that ended with the minion.
    pub(in crate::jobs) attempt: u32,
    /// What is known of the attempt's begin.
    pub(in crate::jobs) begin: Begin,
    /// Whether the task's job is the most likely cause.
    pub(in crate::jobs) attributed: bool,
    /// Number of crashes of this term so far that no task explains.
    pub(in crate::jobs) unexplained: usize,
    /// Whether this crash is one of those.
    pub(in crate::jobs) is_unexplained: bool,
}

/// What is known of the crashes of minions under one task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashEvidence {
    /// Whether the task is long-running.
    pub long_running: bool,
    /// Number of crashes under runs of the task that had begun and that it hasn't outlived since.
    pub crashes: usize,
    /// Number of crashes of minions that were ordered to start the task and aren't known to have begun to.
    pub unconfirmed: usize,
    /// Number of start orders of the task with which minions were lost that had been heard of right before.
    pub lost_starts: usize,
    /// Number of other crashes at which the task was passed over, as others were more likely causes.
    pub passed_over: usize,
    /// Number of the crashes for which the task's job is the most likely cause.
    pub attributed: usize,
    /// Shortest time for which the task worked before one of these crashes.
    pub shortest_work: Duration,
    /// Number of other crashes of minions since the first of these that no task explains.
    pub unexplained: usize,
}

/// Whether a task crashes minions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against the task.
    Sound,
    /// The task may crash minions. It runs on trial, apart from others.
    Suspect,
    /// The task most likely crashes minions, and isn't started again, or only after a long pause.
    Cause,
}

impl CrashEvidence {
    /// Judges the task.
    pub fn verdict(&self) -> Verdict {
        let (is_cause, is_suspect) = if self.long_running {
            (self.is_long_running_cause(), self.is_long_running_suspect())
        } else {
            let crashes = self.crashes + self.unconfirmed + self.lost_starts;
            let is_suspect = crashes > 0 || self.passed_over >= MIN_PASSED_OVER;
            (self.is_short_cause(), is_suspect)
        };
        if is_cause || self.lost_starts >= MAX_LOST_STARTS {
            Verdict::Cause
        } else if is_suspect || self.lost_starts > 0 {
            Verdict::Suspect
        } else {
            Verdict::Sound
        }
    }

    /// Returns whether a short task is most likely the cause of the crashes.
    fn is_short_cause(&self) -> bool {
        let mut crashes = self.crashes + self.lost_starts;
        if self.lost_starts >= MIN_TELLING_LOST_STARTS {
            crashes += self.unconfirmed + self.passed_over;
        }
        self.attributed >= MAX_ATTRIBUTED || crashes >= MAX_CRASHES
    }

    /// Returns whether the task explains the crash of another minion that runs it.
    pub(in crate::jobs) fn is_likely_cause(&self) -> bool {
        self.crashes + self.lost_starts >= MIN_LIKELY_CRASHES
    }

    /// Returns whether minions crash under the task, and hardly without it.
    fn is_long_running_cause(&self) -> bool {
        let excused = self.unexplained * EXCUSED_CRASHES;
        self.crashes >= MIN_LONG_RUNNING_CRASHES && self.crashes > excused
    }

    /// Returns whether a minion crashed soon after the task's start, or several crashed.
    fn is_long_running_suspect(&self) -> bool {
        match self.crashes {
            0 => false,
            1 => self.shortest_work < PROVEN_AFTER,
            _ => true,
        }
    }
}
