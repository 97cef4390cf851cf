//! Output that the measurements share.

use serde::Serialize;

use crate::MeasureError;

/// Prints a result as indented JSON.
///
/// # Errors
///
/// Returns an error if the result can't be encoded.
pub(crate) fn print_json(result: &impl Serialize) -> Result<(), MeasureError> {
    println!("{}", serde_json::to_string_pretty(result)?);
    Ok(())
}
