//! Comparison of the request path through an entry VM with direct requests to backend servers.
//!
//! The platform, the backend servers and the entry VM run as separate processes. The load is
//! generated in this process.

mod load;
mod report;

use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::runtime::Runtime;

pub use report::PathReport;

use crate::error::MeasureError;
use crate::flags::Path;
use crate::output::print_json;
use crate::site::{MeasuredSite, SiteSize, load_average};
use load::{Load, Target};
use report::{CpuPerRequest, Latency, Memory};

/// Size of the site.
const SIZE: SiteSize = SiteSize {
    entries: 1,
    backends: 4,
    slots: 8,
};
/// Length of one round of load.
const ROUND_LENGTH: Duration = Duration::from_secs(3);
/// Length of the warm-up before the first round.
const WARM_UP_LENGTH: Duration = Duration::from_secs(1);
/// Number of rounds, direct and through the entry VM each.
const ROUNDS: usize = 5;
/// Number of callers' connections that are opened to measure memory.
const OPEN_CONNECTIONS: usize = 1_000;

/// Runs the measurement and prints its report.
///
/// # Errors
///
/// Returns an error if a process doesn't start, the site doesn't become ready or a request can't be
/// sent.
pub(crate) fn run(flags: &Path) -> Result<(), MeasureError> {
    let report = Runtime::new()?.block_on(measure())?;
    if flags.json {
        print_json(&report)?;
    } else {
        println!("{report}");
    }
    Ok(())
}

async fn measure() -> Result<PathReport, MeasureError> {
    let site = MeasuredSite::start(SIZE).await?;
    let callers = SIZE.backends * SIZE.slots;
    let direct = Target {
        addresses: site.backend_addresses(),
        path: "/tick".into(),
        key: None,
        callers,
    };
    let through = Target {
        addresses: vec![site.caller_address()],
        path: "/v1/queues/ticks/tick".into(),
        key: Some(site.key().to_owned()),
        callers,
    };
    for target in [&direct, &through] {
        Load::closed_loop(target, WARM_UP_LENGTH).await?;
    }
    let mut direct_rates = Vec::new();
    let mut through_rates = Vec::new();
    let mut failed = 0;
    for _ in 0..ROUNDS {
        for (target, rates) in [(&direct, &mut direct_rates), (&through, &mut through_rates)] {
            let load = Load::closed_loop(target, ROUND_LENGTH).await?;
            rates.push(load.per_second());
            failed += load.failed;
        }
    }
    let (direct_rate, through_rate) = (median(direct_rates), median(through_rates));
    let half_rate = through_rate / 2.0;
    let cpu = measure_cpu(&site, &through, half_rate).await?;
    let mut direct_latencies = new_histogram()?;
    let mut through_latencies = new_histogram()?;
    for _ in 0..ROUNDS {
        for (target, latencies) in [
            (&direct, &mut direct_latencies),
            (&through, &mut through_latencies),
        ] {
            let load = Load::at_rate(target, half_rate, ROUND_LENGTH).await?;
            failed += load.failed;
            latencies
                .add(&load.latencies)
                .map_err(MeasureError::histogram)?;
        }
    }
    let memory = measure_memory(&site, &through).await?;
    Ok(PathReport {
        direct_per_second: direct_rate,
        through_per_second: through_rate,
        relative: through_rate / direct_rate,
        paced_per_second: half_rate,
        direct: Latency::of(&direct_latencies),
        through: Latency::of(&through_latencies),
        cpu,
        failed,
        memory,
        load_average: load_average(),
    })
}

/// Measures the processor time per request at a rate.
async fn measure_cpu(
    site: &MeasuredSite,
    through: &Target,
    per_second: f64,
) -> Result<CpuPerRequest, MeasureError> {
    let before = site.cpu_times()?;
    let load = Load::at_rate(through, per_second, ROUND_LENGTH).await?;
    let after = site.cpu_times()?;
    let requests = load.latencies.len().max(1) as f64;
    let per_request = |used: Duration| used.as_secs_f64() * 1e6 / requests;
    Ok(CpuPerRequest {
        entry_us: per_request(after.entries - before.entries),
        backends_us: per_request(after.backends - before.backends),
    })
}

async fn measure_memory(site: &MeasuredSite, through: &Target) -> Result<Memory, MeasureError> {
    let before = site.entry_rss_kb()?;
    let open = load::open_connections(through, OPEN_CONNECTIONS).await?;
    let after = site.entry_rss_kb()?;
    drop(open);
    Ok(Memory {
        connections: OPEN_CONNECTIONS,
        before_kb: before,
        after_kb: after,
    })
}

/// Creates a histogram of latencies in microseconds.
fn new_histogram() -> Result<Histogram<u64>, MeasureError> {
    Histogram::new(3).map_err(MeasureError::histogram)
}

fn median(mut rates: Vec<f64>) -> f64 {
    rates.sort_by(f64::total_cmp);
    rates.get(rates.len() / 2).copied().unwrap_or_default()
}
