//! Output of results and progress.

use std::io::{IsTerminal, stderr};
use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;

use crate::CliError;

/// Interval at which the progress spinner is redrawn.
const REDRAW_INTERVAL: Duration = Duration::from_millis(100);

/// Prints a value as JSON.
///
/// # Errors
///
/// Returns an error if the value can't be serialized.
pub(crate) fn print_json(value: &impl Serialize) -> Result<(), CliError> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| CliError::InvalidResponse(error.to_string()))?;
    println!("{text}");
    Ok(())
}

/// Starts a progress spinner on standard error, which is hidden if that isn't a terminal.
pub(crate) fn spinner(message: &str) -> ProgressBar {
    if !stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new_spinner();
    if let Ok(style) = ProgressStyle::with_template("{spinner} {msg} ({elapsed})") {
        bar.set_style(style);
    }
    bar.set_message(message.to_owned());
    bar.enable_steady_tick(REDRAW_INTERVAL);
    bar
}

/// Formats a boolean as `yes` or `no`.
pub(crate) fn yes_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}
