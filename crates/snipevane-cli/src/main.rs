//! Executable of the operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    snipevane_cli::run(std::env::args_os().skip(1).collect())
}
