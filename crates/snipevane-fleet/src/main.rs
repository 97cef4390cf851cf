//! Daemon of an entry VM on the users' platform.

use std::process::ExitCode;

fn main() -> ExitCode {
    snipevane_fleet::process::main()
}
