//! The operators' command line, run as a separate process by the tests.

use std::process::ExitCode;

fn main() -> ExitCode {
    snipevane_cli::run(std::env::args_os().skip(1).collect())
}
