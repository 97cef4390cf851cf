//! Runs on trial.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// An attempt that was placed after a crash, or whose start wasn't answered, and whose outcome isn't known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Attempt number.
    pub attempt: u32,
    /// Identifier of the minion that the attempt was placed on.
    pub minion: SmolStr,
    /// Start of the minion's incarnation, in Unix milliseconds.
    pub incarnation: u64,
    /// Whether the minion has confirmed that the attempt has begun, and isn't due to leave, so that its loss is a
    /// crash under the attempt.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub began: bool,
    /// Whether its start order wasn't answered, though the minion, which isn't due to leave, had been heard of right
    /// before, and the minion hasn't been heard of since.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub unanswered: bool,
}

/// How a run on trial has ended that its minion doesn't list after a takeover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::jobs) enum TrialOutcome {
    /// In another way than by a crash.
    Ended,
    /// With its minion.
    Crashed,
}
