//! `snipevane demo`: a small site inside one process, put through its paces.

mod callers;
mod report;
mod scenario;
mod site;

use std::time::Duration;

use tokio::time::sleep;

use crate::CliError;
use crate::output::spinner;
use site::DemoSite;

/// Longest time that the site of `demo --stay` is kept up.
const MAX_STAY: Duration = Duration::from_secs(24 * 60 * 60);

/// Runs the demo, and with `stay` keeps its site up until the process is stopped.
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
            "broken: {}",
            violated.join("; ")
        ))),
    }
}
