//! Comparison of strategies for at-most-once execution by their table writes and unknown outcomes.

mod simulation;
mod strategy;

use serde::Serialize;

use crate::MeasureError;
use crate::output::print_json;
use simulation::{Counts, SIMULATED_TIME_S, Simulation};
use strategy::Strategy;

const DEFAULT_SEED: u64 = 4;
/// Number of shards, and non-idempotent requests per second.
const SIZES: [(usize, f64); 2] = [(7, 100.0), (96, 1000.0)];

const STRATEGIES: [Strategy; 8] = [
    Strategy::RowPerRequest,
    Strategy::OwnerClockFloor { lead_s: 3.0 },
    Strategy::Owner { lead_s: 3.0 },
    Strategy::Owner { lead_s: 60.0 },
    Strategy::Owner { lead_s: 1800.0 },
    Strategy::OwnerWitness { lead_s: 3.0 },
    Strategy::OwnerAndRows { lead_s: 3.0 },
    Strategy::OwnerAndRows { lead_s: 1800.0 },
];

#[derive(Serialize)]
struct Line {
    shards: usize,
    #[serde(rename = "requests_a_second")]
    requests_per_second: f64,
    #[serde(rename = "way")]
    strategy: String,
    #[serde(rename = "rows_a_second")]
    rows_per_second: f64,
    #[serde(flatten)]
    counts: Counts,
}

/// Simulates every strategy with the same crashes and outage, and prints a line for each.
///
/// # Errors
///
/// Returns an error if the result can't be written as JSON.
pub fn run(json: bool, seed: Option<u64>) -> Result<(), MeasureError> {
    let seed = seed.unwrap_or(DEFAULT_SEED);
    let lines: Vec<Line> = SIZES
        .into_iter()
        .flat_map(|size| measure(size, seed))
        .collect();
    if json {
        return print_json(&lines);
    }
    println!(
        "seed {seed}; an hour with a crash or a planned stop each minute and a table outage of 10 minutes"
    );
    lines.iter().for_each(print_line);
    Ok(())
}

fn measure((shards, rate): (usize, f64), seed: u64) -> impl Iterator<Item = Line> {
    STRATEGIES.into_iter().map(move |strategy| {
        let counts = Simulation::new(strategy, shards, seed).run(rate);
        Line {
            shards,
            requests_per_second: rate,
            strategy: strategy.name(),
            rows_per_second: counts.rows / SIMULATED_TIME_S,
            counts,
        }
    })
}

fn print_line(line: &Line) {
    let counts = &line.counts;
    let percent = |part: u64| 100.0 * part as f64 / counts.requests.max(1) as f64;
    println!(
        "{:3} shards {:5} req/s {:<34} rows/s {:7.1} answered {:7.3} % unknown: ran {:6.3} %, \
         not run {:6.3} % not run {:6.3} % (in the outage {:6.3} %)",
        line.shards,
        line.requests_per_second,
        line.strategy,
        line.rows_per_second,
        percent(counts.answered),
        percent(counts.unknown_ran),
        percent(counts.unknown_not_run),
        percent(counts.not_run),
        percent(counts.not_run_in_outage),
    );
}
