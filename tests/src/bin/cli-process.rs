//! The command line for operators, as a process of the tests.

use std::process::ExitCode;

fn main() -> ExitCode {
    snipevane_cli::run(std::env::args_os().skip(1).collect())
}
