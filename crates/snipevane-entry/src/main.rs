//! Entry VM daemon.

use std::process::ExitCode;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Serves callers of one availability zone.
        cmd snipevane-entry {
            /// File with the settings, in JSON.
            required --settings file: PathBuf
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::SnipevaneEntry::from_env_or_exit();
    snipevane_entry::process::run(&flags.settings)
}
