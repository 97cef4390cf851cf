//! Runs a stand-in as a process of its own.
//!
//! Prints `listening ADDRESS`, and for a backend server `control ADDRESS`, when it's ready. Exits
//! with code 2 on a wrong command line or settings file, and with 1 if an address can't be bound.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::{fmt, io};

use snipevane_core::config::Findings;
use snipevane_standin::{Backend, Platform, SettingsFile, read_settings};
use thiserror::Error;

mod flags {
    #![allow(
        missing_docs,
        unreachable_pub,
        clippy::unwrap_used,
        clippy::expect_used
    )]

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

/// Why the process ends.
#[derive(Debug, Error)]
enum Failure {
    #[error("{0}")]
    Settings(#[from] Findings),
    #[error("{0}")]
    Io(#[from] io::Error),
}

impl Failure {
    fn code(&self) -> u8 {
        match self {
            Self::Settings(_) => 2,
            Self::Io(_) => 1,
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::Standin::from_env_or_exit();
    let result = match flags.subcommand {
        flags::StandinCmd::Platform(flags) => run_platform(flags.settings).await,
        flags::StandinCmd::Backend(flags) => run_backend(flags.settings).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::from(failure.code())
        }
    }
}

async fn run_platform(path: Option<PathBuf>) -> Result<(), Failure> {
    let platform = Platform::start(settings(path.as_deref())?).await?;
    announce("listening", platform.address());
    tokio::signal::ctrl_c().await?;
    platform.stop().await;
    Ok(())
}

async fn run_backend(path: Option<PathBuf>) -> Result<(), Failure> {
    let backend = Backend::start(settings(path.as_deref())?).await?;
    announce("listening", backend.address());
    announce("control", backend.control_address());
    tokio::signal::ctrl_c().await?;
    backend.stop().await;
    Ok(())
}

fn settings<T: SettingsFile + Default>(path: Option<&Path>) -> Result<T, Findings> {
    path.map_or_else(|| Ok(T::default()), read_settings)
}

fn announce(what: &str, address: impl fmt::Display) {
    println!("{what} {address}");
}
