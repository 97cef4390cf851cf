//! Startup and shutdown of the process.

use std::net::IpAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use log::LevelFilter;
use smol_str::SmolStr;
use snipevane_adapter::settings::{DEFAULT_PATH, NodeSettings, SETTINGS_VARIABLE};
use snipevane_listeners::Limits;
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::sleep;

use crate::caller::{self, JobWriter};
use crate::clock::{Clock, SystemClock};
use crate::flags::SnipevaneFleet;
use crate::listeners::Shares;
use crate::metrics::{Metrics, MetricsError};
use crate::node::Node;
use crate::{events, logging, peers, scheduling, site_view};

/// Percentage of the time between SIGTERM and SIGKILL during which callers are still served.
const DRAIN_PERCENT: u32 = 50;
const PERCENT: u32 = 100;

/// Percentage of the time between SIGTERM and SIGKILL after which open requests are answered that their outcome isn't
/// known, and the process ends.
const END_PERCENT: u32 = 90;

/// Time that open connections have at least to finish their requests.
const CONNECTION_DRAIN_TIME: Duration = Duration::from_millis(600);

/// Interval at which a stopping process looks for open requests.
const OPEN_REQUESTS_INTERVAL: Duration = Duration::from_millis(50);

/// Exit code for invalid settings or usage.
const EXIT_BAD_INPUT: u8 = 2;

/// Error that ends the process.
#[derive(Debug, Error)]
enum ProcessError {
    #[error("settings file {path}: {message}")]
    Settings { path: String, message: String },
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Logger(#[from] log::SetLoggerError),
}

/// Runs the daemon until it receives SIGTERM, or only checks the settings if the flag `--check` is
/// set.
pub fn main() -> ExitCode {
    let flags = match SnipevaneFleet::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    let result = read_settings().and_then(|settings| {
        if flags.check {
            println!("the settings are valid");
            return Ok(());
        }
        run(settings, flags.metrics_port)
    });
    let Err(error) = result else {
        return ExitCode::SUCCESS;
    };
    eprintln!("snipevane-fleet: {error}");
    match error {
        ProcessError::Settings { .. } => ExitCode::from(EXIT_BAD_INPUT),
        ProcessError::Metrics(_) | ProcessError::Io(_) | ProcessError::Logger(_) => {
            ExitCode::FAILURE
        }
    }
}

fn run(settings: NodeSettings, metrics_port: Option<u16>) -> Result<(), ProcessError> {
    logging::start(&settings.node, LevelFilter::Info)?;
    events::record(
        &events::PROCESS_STARTED,
        &[
            &env!("CARGO_PKG_VERSION"),
            &settings.zone,
            &settings.caller_address,
        ],
    );
    let metrics = Metrics::start()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        if let Some(port) = metrics_port {
            let limits = Shares::of(&settings.limits).metrics;
            let ip = settings.ip.clone();
            tokio::task::spawn_local(serve_metrics(metrics, ip, port, limits));
        }
        serve(Node::new(settings, SystemClock)).await
    })
}

/// Serves metrics. If their address is invalid or can't be bound, the process continues without.
async fn serve_metrics(metrics: Metrics, ip: SmolStr, port: u16, limits: Limits) {
    let Ok(ip) = ip.parse::<IpAddr>() else {
        log::error!("metrics are not served: {ip} is not an IP address");
        return;
    };
    if let Err(error) = metrics.serve((ip, port).into(), limits).await {
        log::error!("metrics are not served: binding {ip}:{port} failed: {error}");
    }
}

fn read_settings() -> Result<NodeSettings, ProcessError> {
    let path = std::env::var(SETTINGS_VARIABLE).unwrap_or_else(|_| DEFAULT_PATH.to_owned());
    let settings_error = |message: String| ProcessError::Settings {
        path: path.clone(),
        message,
    };
    let text = std::fs::read_to_string(&path).map_err(|error| settings_error(error.to_string()))?;
    NodeSettings::parse(&text).map_err(|error| settings_error(error.to_string()))
}

/// Runs all parts of the process until SIGTERM. SIGHUP checks the settings file.
async fn serve<C: Clock>(node: Rc<Node<C>>) -> Result<(), ProcessError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let job_writer = JobWriter::new(node.clone());
    tokio::task::spawn_local(site_view::follow(node.clone()));
    tokio::task::spawn_local(site_view::keep_confirmed(node.clone()));
    tokio::task::spawn_local(peers::run_discovery(node.clone()));
    tokio::task::spawn_local(scheduling::run_candidate(node.clone()));
    tokio::task::spawn_local(scheduling::report_unheard_terms(node.clone()));
    let callers = caller::serve_callers(node.clone(), job_writer.clone());
    let readiness = caller::serve_readiness(node.clone());
    let peers = peers::serve(node.clone(), job_writer.clone());
    let signals = async {
        loop {
            tokio::select! {
                _ = terminate.recv() => break shut_down(&node).await,
                _ = hangup.recv() => reread_settings(&node.settings),
            }
        }
    };
    // A listener only returns if its address can't be bound.
    tokio::select! {
        result = callers => Ok(result?),
        result = readiness => Ok(result?),
        result = peers => Ok(result?),
        () = signals => Ok(()),
    }
}

/// Reads the settings file again and logs whether it is valid and differs from the running
/// settings. These stay in use until the process is restarted.
fn reread_settings(current: &NodeSettings) {
    match read_settings() {
        Ok(settings) => events::record(&events::SETTINGS_REREAD, &[&(settings != *current)]),
        Err(error) => events::record(&events::SETTINGS_INVALID, &[&error]),
    }
}

/// Shuts down in stages: reports the process as not ready while callers are still served, then asks
/// open connections to finish, and returns once the requests that were read are answered.
async fn shut_down<C: Clock>(node: &Node<C>) {
    events::record(&events::STOPPING, &[&node.leader().is_some()]);
    node.stopping.set(true);
    let grace = node.settings.bounds.shutdown_grace;
    let end_at = node.clock.now() + grace * END_PERCENT / PERCENT;
    sleep(grace * DRAIN_PERCENT / PERCENT).await;
    node.shutdown.notify_waiters();
    sleep(CONNECTION_DRAIN_TIME).await;
    while node.open_requests.get() > 0 && node.clock.now() < end_at {
        sleep(OPEN_REQUESTS_INTERVAL).await;
    }
    node.ending.notify_waiters();
    // The last answers may still be written.
    sleep(OPEN_REQUESTS_INTERVAL).await;
}
