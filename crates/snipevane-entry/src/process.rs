//! The daemon's process: loads settings, sets up the log, handles signals and returns an exit code.

use std::path::Path;
use std::process::ExitCode;

use snipevane_core::clock::SystemClock;
use snipevane_core::config::Findings;
use snipevane_platform::{PlatformClient, PlatformSettings};
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::journal::init_log;
use crate::settings::{Settings, load};
use crate::{Listeners, RunningEntry};

/// Exit code for invalid settings or addresses that can't be bound.
const INVALID_SETTINGS: u8 = 2;
/// Exit code for any other failure to start.
const START_FAILED: u8 = 1;
/// Exit code of a planned stop that a second signal interrupted.
const STOP_INTERRUPTED: u8 = 3;

/// Runs an entry VM until a signal stops it; returns the process's exit code.
///
/// The first SIGTERM or SIGINT begins a planned stop, the second one ends the process at once.
pub fn run(settings_file: &Path) -> ExitCode {
    let settings = match load(settings_file) {
        Ok(settings) => settings,
        Err(findings) => return report_findings(&findings),
    };
    init_log(settings.log_level);
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    runtime.block_on(serve(&settings_file.display().to_string(), settings))
}

async fn serve(file: &str, settings: Settings) -> ExitCode {
    let listeners = match Listeners::bind(file, &settings).await {
        Ok(listeners) => listeners,
        Err(findings) => return report_findings(&findings),
    };
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        eprintln!("the entry VM can't start: signal handlers can't be installed");
        return ExitCode::from(START_FAILED);
    };
    let platform = platform_client(&settings);
    let entry = match RunningEntry::start(settings, listeners, platform, SystemClock) {
        Ok(entry) => entry,
        Err(error) => return fail(&error),
    };
    println!(
        "listening callers={} peers={} operators={}",
        entry.caller_address(),
        entry.peer_address(),
        entry.operator_address()
    );
    wait_for_signal(&mut terminate, &mut interrupt).await;
    let in_flight = entry.in_flight();
    tokio::select! {
        () = entry.stop() => ExitCode::SUCCESS,
        () = wait_for_signal(&mut terminate, &mut interrupt) => {
            eprintln!("stopped by a second signal; up to {in_flight} requests were interrupted");
            ExitCode::from(STOP_INTERRUPTED)
        }
    }
}

/// Creates a client for the platform at the address in the settings.
pub fn platform_client(settings: &Settings) -> PlatformClient {
    let platform = PlatformSettings {
        address: settings.platform_address,
        client: settings.vm.clone(),
        request_timeout: settings.timings.platform_timeout,
        ..PlatformSettings::default()
    };
    PlatformClient::new(platform, SystemClock)
}

async fn wait_for_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

fn report_findings(findings: &Findings) -> ExitCode {
    eprintln!("{findings}");
    ExitCode::from(INVALID_SETTINGS)
}

fn fail(error: &std::io::Error) -> ExitCode {
    eprintln!("the entry VM can't start: {error}");
    ExitCode::from(START_FAILED)
}
