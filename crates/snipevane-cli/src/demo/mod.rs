//! The `snipevane demo` command: runs a small site inside one process and checks its guarantees
//! while a server drains, the configuration changes and the platform is unreachable.

mod callers;
mod report;
mod scenario;
mod site;

use std::time::Duration;

use tokio::time::sleep;

use crate::CliError;
use crate::output::spinner;
use site::DemoSite;

/// Maximum time for which `demo --stay` keeps the site running.
const MAX_STAY: Duration = Duration::from_secs(24 * 60 * 60);

/// Runs the demo.
///
/// With `stay`, the site keeps running until the process is stopped or [`MAX_STAY`] has passed.
pub(crate) async fn run(stay: bool, json: bool) -> Result<(), CliError> {
    let bar = spinner("starting a site of two zones");
    let mut site = DemoSite::start().await.map_err(CliError::Runtime)?;
    let report = scenario::run(&mut site, &bar).await;
    bar.finish_and_clear();
    let report = report?;
    report.print(json)?;
    if stay {
        site.print_example_commands();
        sleep(MAX_STAY).await;
    }
    site.stop().await;
    match report.violated_guarantees().as_slice() {
        [] => Ok(()),
        violated => Err(CliError::Incomplete(format!(
            "violated guarantees: {}",
            violated.join("; ")
        ))),
    }
}
