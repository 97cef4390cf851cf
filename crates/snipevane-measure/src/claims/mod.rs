//! Table writes and unknown outcomes of several ways to run a request at most once.

mod run;
mod way;

use serde::Serialize;

use crate::MeasureError;
use run::{Counts, LENGTH_S, Run};
use way::Way;

const DEFAULT_SEED: u64 = 4;
/// Shards and non-idempotent requests a second.
const SIZES: [(usize, f64); 2] = [(7, 100.0), (96, 1000.0)];

const WAYS: [Way; 8] = [
    Way::RowEach,
    Way::OwnerClockFloor { lead_s: 3.0 },
    Way::Owner { lead_s: 3.0 },
    Way::Owner { lead_s: 60.0 },
    Way::Owner { lead_s: 1800.0 },
    Way::OwnerWitness { lead_s: 3.0 },
    Way::OwnerAndRows { lead_s: 3.0 },
    Way::OwnerAndRows { lead_s: 1800.0 },
];

#[derive(Serialize)]
struct Line {
    shards: usize,
    requests_a_second: f64,
    way: String,
    rows_a_second: f64,
    #[serde(flatten)]
    counts: Counts,
}

/// Runs all ways over the same crashes and outage and prints a line for each.
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
        println!("{}", serde_json::to_string_pretty(&lines)?);
        return Ok(());
    }
    println!(
        "seed {seed}; an hour with a crash or a planned stop each minute and a table outage of 10 minutes"
    );
    lines.iter().for_each(print_line);
    Ok(())
}

fn measure((shards, rate): (usize, f64), seed: u64) -> impl Iterator<Item = Line> {
    WAYS.into_iter().map(move |way| {
        let counts = Run::new(way, shards, seed).run(rate);
        Line {
            shards,
            requests_a_second: rate,
            way: way.name(),
            rows_a_second: counts.rows / LENGTH_S,
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
        line.requests_a_second,
        line.way,
        line.rows_a_second,
        percent(counts.answered),
        percent(counts.unknown_ran),
        percent(counts.unknown_not_run),
        percent(counts.not_run),
        percent(counts.not_run_in_outage),
    );
}
