//! Runs a stand-in as a separate process.

use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;

use snipevane_core::config::Findings;
use thiserror::Error;

use crate::settings_file::{SettingsFile, read_settings};
use crate::{Backend, Platform};

/// Error that ends the process.
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

/// Runs the platform stand-in until SIGINT, and prints `listening ADDRESS` once it is ready.
///
/// Returns exit code 2 for invalid settings, and 1 for an I/O error such as an address that can't
/// be bound.
pub async fn run_platform(settings: Option<&Path>) -> ExitCode {
    exit(serve_platform(settings).await)
}

/// Runs the backend server stand-in until SIGINT, and prints `listening ADDRESS` and
/// `control ADDRESS` once it is ready.
///
/// Returns exit code 2 for invalid settings, and 1 for an I/O error such as an address that can't
/// be bound.
pub async fn run_backend(settings: Option<&Path>) -> ExitCode {
    exit(serve_backend(settings).await)
}

async fn serve_platform(path: Option<&Path>) -> Result<(), Failure> {
    let platform = Platform::start(load(path)?).await?;
    announce(&format!("listening {}\n", platform.address()));
    tokio::signal::ctrl_c().await?;
    platform.stop().await;
    Ok(())
}

async fn serve_backend(path: Option<&Path>) -> Result<(), Failure> {
    let backend = Backend::start(load(path)?).await?;
    let (address, control) = (backend.address(), backend.control_address());
    announce(&format!("listening {address}\ncontrol {control}\n"));
    tokio::signal::ctrl_c().await?;
    backend.stop().await;
    Ok(())
}

fn load<T: SettingsFile + Default>(path: Option<&Path>) -> Result<T, Findings> {
    path.map_or_else(|| Ok(T::default()), read_settings)
}

/// Prints the addresses on which the process listens.
fn announce(lines: &str) {
    // A parent process that closed the pipe doesn't need the addresses.
    let _ = io::stdout().write_all(lines.as_bytes());
}

fn exit(result: Result<(), Failure>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::from(failure.code())
        }
    }
}
