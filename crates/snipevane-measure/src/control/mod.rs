//! Measurement of the control traffic and resources of entry VMs, before, during and after an
//! outage of the platform.

mod report;

use std::time::Duration;

use snipevane_proto::platform::{PlatformFaults, SecondEntry};
use tokio::runtime::Runtime;

pub use report::{ControlReport, PlatformCalls};

use crate::error::MeasureError;
use crate::flags::Control;
use crate::output::print_json;
use crate::site::{MeasuredSite, SiteSize, load_average};

/// Numbers of entry VMs that are measured by default.
const DEFAULT_ENTRIES: [usize; 3] = [2, 4, 8];
/// Time that the site gets to settle after its start.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Length of each measured period: before, during and after the outage.
const PERIOD_LENGTH: Duration = Duration::from_secs(20);

/// Runs the measurement and prints its reports.
///
/// # Errors
///
/// Returns an error if a process doesn't start or the site doesn't become ready.
pub(crate) fn run(flags: &Control) -> Result<(), MeasureError> {
    let runtime = Runtime::new()?;
    let sizes = if flags.entries.is_empty() {
        DEFAULT_ENTRIES.to_vec()
    } else {
        flags.entries.clone()
    };
    let mut reports = Vec::new();
    for entries in sizes {
        let report = runtime.block_on(measure(entries))?;
        if !flags.json {
            println!("{report}");
        }
        reports.push(report);
    }
    if flags.json {
        print_json(&reports)?;
    }
    Ok(())
}

async fn measure(entries: usize) -> Result<ControlReport, MeasureError> {
    let size = SiteSize {
        entries,
        backends: 4,
        slots: 8,
    };
    let site = MeasuredSite::start(size).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let cpu_before = site.cpu_times()?.entries;
    let before = measure_period(&site).await?;
    let cpu = site.cpu_times()?.entries - cpu_before;
    let unavailable = PlatformFaults {
        unavailable: true,
        ..PlatformFaults::default()
    };
    site.set_faults(&unavailable).await?;
    let during = measure_period(&site).await?;
    site.set_faults(&PlatformFaults::default()).await?;
    let after = measure_period(&site).await?;
    Ok(ControlReport {
        entries,
        cpu_percent: cpu.as_secs_f64() / PERIOD_LENGTH.as_secs_f64() / entries as f64 * 100.0,
        rss_mb: site.entry_rss_kb()? as f64 / 1024.0,
        before: PlatformCalls::of(&before, entries),
        outage: PlatformCalls::of(&during, entries),
        after: PlatformCalls::of(&after, entries),
        load_average: load_average(),
    })
}

/// Waits for one period, and returns the platform's load in each of its seconds.
async fn measure_period(site: &MeasuredSite) -> Result<Vec<SecondEntry>, MeasureError> {
    let start = site.platform_record().await?.seconds.len();
    tokio::time::sleep(PERIOD_LENGTH).await;
    let seconds = site.platform_record().await?.seconds;
    Ok(seconds.into_iter().skip(start).collect())
}
