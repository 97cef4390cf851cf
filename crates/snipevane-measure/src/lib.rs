//! Measurements of policies and of the request path.
//!
//! Each subcommand of `snipevane-measure` has a module with a `run` function that takes the
//! subcommand's flags.

pub mod claims;
mod error;
mod event_queue;
mod output;
mod random;
mod site;

pub mod control;
pub mod flags;
pub mod limits;
pub mod path;
pub mod rounds;
pub mod routing;

pub use error::MeasureError;

use flags::{SnipevaneMeasure, SnipevaneMeasureCmd};

/// Runs the subcommand that the flags select.
///
/// # Errors
///
/// Returns an error if the measurement fails or its result can't be written.
pub fn run(flags: &SnipevaneMeasure) -> Result<(), MeasureError> {
    match &flags.subcommand {
        SnipevaneMeasureCmd::Claims(cmd) => claims::run(cmd.json, cmd.seed),
        SnipevaneMeasureCmd::Limits(cmd) => limits::run(cmd.json, cmd.seed),
        SnipevaneMeasureCmd::Routing(cmd) => routing::run(cmd.json, cmd.seed),
        SnipevaneMeasureCmd::Control(cmd) => control::run(cmd),
        SnipevaneMeasureCmd::Path(cmd) => path::run(cmd),
        SnipevaneMeasureCmd::Rounds(cmd) => rounds::run(&cmd.journal),
        SnipevaneMeasureCmd::Part(cmd) => site::run_part(&cmd.kind, &cmd.settings),
    }
}
