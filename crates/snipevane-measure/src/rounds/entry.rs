//! Journal entries, with the fields that the table needs.

use std::collections::BTreeMap;

use serde::Deserialize;

/// One invocation of the bench.
#[derive(Debug, Deserialize)]
pub(super) struct Entry {
    /// Start and end times.
    #[serde(default)]
    pub(super) at: Vec<String>,
    /// Subcommand of the bench.
    pub(super) cmd: String,
    /// Arguments of the invocation.
    #[serde(default)]
    pub(super) argv: Vec<String>,
    /// Reason given for the invocation.
    #[serde(default)]
    pub(super) why: Option<String>,
    /// Name of the deployment.
    #[serde(default)]
    pub(super) site: Option<String>,
    /// Simulated days.
    #[serde(default)]
    pub(super) days: Vec<Day>,
}

/// One simulated day.
#[derive(Debug, Deserialize)]
pub(super) struct Day {
    /// Name of the day.
    pub(super) name: String,
    /// Score of the day, `G` in the journal.
    #[serde(rename = "G", default)]
    pub(super) score: Option<f64>,
    /// Number of violations by rule.
    #[serde(default)]
    pub(super) rules: BTreeMap<String, u64>,
}

impl Entry {
    /// Returns whether the run left out processor time, which makes it a trial.
    pub(super) fn is_trial(&self) -> bool {
        self.argv.iter().any(|word| word == "--no-cpu")
    }
}
