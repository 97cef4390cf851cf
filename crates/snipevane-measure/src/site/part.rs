//! One process of the measured site.

use std::path::Path;
use std::process::ExitCode;

use snipevane_standin::process::{run_backend, run_platform};
use tokio::runtime::Runtime;

use crate::error::MeasureError;

/// Runs the entry VM, the platform's stand-in or a backend server's stand-in.
///
/// # Errors
///
/// Returns an error if the part doesn't end well.
pub(crate) fn run_part(kind: &str, settings: &Path) -> Result<(), MeasureError> {
    let code = match kind {
        "entry" => snipevane_entry::process::run(settings),
        "platform" => Runtime::new()?.block_on(run_platform(Some(settings))),
        "backend" => Runtime::new()?.block_on(run_backend(Some(settings))),
        _ => return Err(MeasureError::Process(format!("{kind} (unknown)"))),
    };
    if code == ExitCode::SUCCESS {
        return Ok(());
    }
    Err(MeasureError::Process(kind.to_owned()))
}
