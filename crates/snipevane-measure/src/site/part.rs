//! Runs one process of a measured site.

use std::path::Path;
use std::process::ExitCode;

use snipevane_standin::process::{run_backend, run_platform};
use tokio::runtime::Runtime;

use crate::error::MeasureError;

/// Runs an entry VM, the platform stand-in or a backend server stand-in.
///
/// # Errors
///
/// Returns an error if the kind is unknown or the process fails.
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
