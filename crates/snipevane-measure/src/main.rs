//! Command line of the measurements.

use std::process::ExitCode;

use snipevane_measure::flags::SnipevaneMeasure;

fn main() -> ExitCode {
    let flags = SnipevaneMeasure::from_env_or_exit();
    match snipevane_measure::run(&flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("snipevane-measure: {err}");
            ExitCode::FAILURE
        }
    }
}
