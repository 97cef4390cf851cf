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
    let targets = Targets::of(&site);
    for target in [&targets.direct, &targets.through] {
        Load::closed_loop(target, WARM_UP_LENGTH).await?;
    }
    let throughput = measure_throughput(&targets).await?;
    let half_rate = throughput.through / 2.0;
    let cpu = measure_cpu(&site, &targets.through, half_rate).await?;
    let latencies = measure_latencies(&targets, half_rate).await?;
    let memory = measure_memory(&site, &targets.through).await?;
    Ok(PathReport {
        direct_per_second: throughput.direct,
        through_per_second: throughput.through,
        relative: throughput.through / throughput.direct,
        paced_per_second: half_rate,
        direct: Latency::of(&latencies.direct),
        through: Latency::of(&latencies.through),
        cpu,
        failed: throughput.failed + latencies.failed,
        memory,
        load_average: load_average(),
    })
}

/// Destinations of the requests, direct and through the entry VM.
struct Targets {
    direct: Target,
    through: Target,
}

impl Targets {
    fn of(site: &MeasuredSite) -> Self {
        let callers = SIZE.backends * SIZE.slots;
        Self {
            direct: Target {
                addresses: site.backend_addresses(),
                path: "/tick".into(),
                key: None,
                callers,
            },
            through: Target {
                addresses: vec![site.caller_address()],
                path: "/v1/queues/ticks/tick".into(),
                key: Some(site.key().to_owned()),
                callers,
            },
        }
    }
}

/// Maximum throughput, in requests per second; median of the rounds.
struct Throughput {
    direct: f64,
    through: f64,
    failed: u64,
}

async fn measure_throughput(targets: &Targets) -> Result<Throughput, MeasureError> {
    let mut direct = Vec::new();
    let mut through = Vec::new();
    let mut failed = 0;
    for _ in 0..ROUNDS {
        for (target, rates) in [
            (&targets.direct, &mut direct),
            (&targets.through, &mut through),
        ] {
            let load = Load::closed_loop(target, ROUND_LENGTH).await?;
            rates.push(load.per_second());
            failed += load.failed;
        }
    }
    Ok(Throughput {
        direct: median(direct),
        through: median(through),
        failed,
    })
}

/// Latencies of all rounds, in microseconds.
struct Latencies {
    direct: Histogram<u64>,
    through: Histogram<u64>,
    failed: u64,
}

/// Measures the latencies at a rate, in requests per second.
async fn measure_latencies(targets: &Targets, per_second: f64) -> Result<Latencies, MeasureError> {
    let mut direct = new_histogram()?;
    let mut through = new_histogram()?;
    let mut failed = 0;
    for _ in 0..ROUNDS {
        for (target, latencies) in [
            (&targets.direct, &mut direct),
            (&targets.through, &mut through),
        ] {
            let load = Load::at_rate(target, per_second, ROUND_LENGTH).await?;
            failed += load.failed;
            latencies
                .add(&load.latencies)
                .map_err(MeasureError::histogram)?;
        }
    }
    Ok(Latencies {
        direct,
        through,
        failed,
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
