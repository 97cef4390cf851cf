//! Where and how the result of a run goes.

use std::path::PathBuf;

const DEFAULT_SEED: u64 = 7;

/// Where and how the result of a run goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// Whether JSON is printed in place of the table.
    pub json: bool,
    /// File that takes the picture of shares over time.
    pub svg: Option<PathBuf>,
    /// Seed of the demand and the faults.
    pub seed: u64,
}

impl Output {
    pub(crate) fn new(json: bool, svg: Option<PathBuf>, seed: Option<u64>) -> Self {
        Self {
            json,
            svg,
            seed: seed.unwrap_or(DEFAULT_SEED),
        }
    }
}
