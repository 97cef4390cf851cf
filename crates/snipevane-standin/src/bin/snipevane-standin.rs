//! Command that runs a stand-in for the platform or for a backend server.

use std::process::ExitCode;

use snipevane_standin::process::{run_backend, run_platform};

mod flags {
    #![allow(missing_docs, unreachable_pub)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Stand-ins for the platform and for backend servers.
        cmd standin {
            /// Runs the platform's stand-in.
            cmd platform {
                /// Settings file.
                optional --settings file: PathBuf
            }
            /// Runs a backend server's stand-in.
            cmd backend {
                /// Settings file.
                optional --settings file: PathBuf
            }
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::Standin::from_env_or_exit();
    match flags.subcommand {
        flags::StandinCmd::Platform(flags) => run_platform(flags.settings.as_deref()).await,
        flags::StandinCmd::Backend(flags) => run_backend(flags.settings.as_deref()).await,
    }
}
