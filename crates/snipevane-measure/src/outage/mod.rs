//! Writes to the platform during and after an outage: group commit beside a naive version.

mod demand;
mod grouped;
mod naive;
mod platform_model;
mod report;

use std::time::{Duration, Instant};

pub use report::OutageReport;

use crate::error::MeasureError;
use crate::flags::Outage;
use demand::Demand;
use grouped::GroupedNode;
use naive::NaiveNode;
use platform_model::PlatformModel;
use report::Log;

/// Step of the time in the model.
const STEP: Duration = Duration::from_millis(50);

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutageSettings {
    /// Entry VMs.
    pub nodes: usize,
    /// Commits that the platform takes each second.
    pub writes_per_second: u32,
    /// Time before the outage.
    pub before: Duration,
    /// Time for which the platform is away.
    pub outage: Duration,
    /// Time after the outage.
    pub after: Duration,
    /// Time between two essential rows of a node.
    pub essential_every: Duration,
    /// Rows of bookkeeping of a node.
    pub bookkeeping_rows: usize,
    /// Time between two writes of a row of bookkeeping.
    pub bookkeeping_every: Duration,
    /// Seed of the demand and of the jitter.
    pub seed: u64,
}

impl Default for OutageSettings {
    fn default() -> Self {
        Self {
            nodes: 96,
            writes_per_second: 300,
            before: Duration::from_secs(60),
            outage: Duration::from_secs(30 * 60),
            after: Duration::from_secs(120),
            essential_every: Duration::from_secs(2),
            bookkeeping_rows: 50,
            bookkeeping_every: Duration::from_secs(10),
            seed: 1,
        }
    }
}

/// How one node writes its rows.
trait Node {
    /// Takes in a row to write.
    fn submit(&mut self, row: demand::DueRow, now: Instant);

    /// Sends what is due.
    fn step(&mut self, now: Instant, platform: &mut PlatformModel, log: &mut Log);
}

/// Prints the measurement.
///
/// # Errors
///
/// Returns an error if the report can't be written as JSON.
pub(crate) fn run(flags: &Outage) -> Result<(), MeasureError> {
    let settings = OutageSettings {
        seed: flags.seed.unwrap_or(1),
        ..OutageSettings::default()
    };
    let reports = [measure_grouped(&settings), measure_naive(&settings)];
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&reports)?);
        return Ok(());
    }
    for report in &reports {
        println!("{report}");
    }
    Ok(())
}

/// Runs the model with group commit.
pub fn measure_grouped(settings: &OutageSettings) -> OutageReport {
    let start = Instant::now();
    let nodes =
        (0..settings.nodes as u64).map(|node| GroupedNode::new(settings.seed + node, start));
    simulate(settings, "group commit", start, nodes.collect())
}

/// Runs the model with a commit for each row, sent again each second until it's applied.
pub fn measure_naive(settings: &OutageSettings) -> OutageReport {
    let start = Instant::now();
    let nodes = (0..settings.nodes).map(|_| NaiveNode::default());
    simulate(settings, "naive", start, nodes.collect())
}

fn simulate<N: Node>(
    settings: &OutageSettings,
    policy: &'static str,
    start: Instant,
    mut nodes: Vec<N>,
) -> OutageReport {
    let mut platform = PlatformModel::new(settings, start);
    let mut log = Log::new(settings, start);
    let mut demands: Vec<_> = (0..nodes.len())
        .map(|node| Demand::new(settings, node, start))
        .collect();
    let end = start + settings.before + settings.outage + settings.after;
    let mut now = start;
    while now < end {
        for (node, demand) in nodes.iter_mut().zip(&mut demands) {
            while let Some(row) = demand.next_due(now) {
                log.submitted(&row, now);
                node.submit(row, now);
            }
            node.step(now, &mut platform, &mut log);
        }
        now += STEP;
    }
    log.report(policy)
}
