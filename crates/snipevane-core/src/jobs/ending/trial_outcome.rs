//! Outcome of a run on trial.

/// How a run on trial has ended that its minion doesn't list after a takeover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::jobs) enum TrialOutcome {
    /// In another way than by a crash.
    Ended,
    /// With its minion.
    Crashed,
}
