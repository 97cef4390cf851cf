//! Part of the work below a team's limit that is refused, for several ways to place requests.

mod hints;
mod run;
mod site;
mod way;

use serde::Serialize;
use snipevane_core::shards::ConcentrationSettings;

use crate::MeasureError;
use run::{Counts, Run, run_with_one_counter};
use site::{Size, arrivals};
use way::{Choice, Deal, Way};

/// Demand in a burst, as multiples of a team's limit.
const LOADS: [f64; 3] = [0.5, 0.9, 1.25];
const DEFAULT_SEED: u64 = 4;
/// Length of a run, in milliseconds.
const LENGTH_MS: f64 = 30_000.0;

const WAYS: [Way; 17] = [
    way(Deal::Even, Choice::Holder, 0),
    way(Deal::Even, Choice::Holder, 1),
    way(Deal::Even, Choice::ZoneFirst, 1),
    way(Deal::Even, Choice::BestHint, 1),
    way(Deal::Even, Choice::TwoChoices, 1),
    way(Deal::Even, Choice::TwoChoicesCorrected, 1),
    way(Deal::Even, Choice::Holder, 3),
    way(Deal::Even, Choice::TwoChoicesCorrected, 3),
    way(grains(64, 95), Choice::Holder, 1),
    way(grains(64, 95), Choice::Holder, 3),
    way(grains(64, 8), Choice::Holder, 3),
    way(grains(16, 95), Choice::Holder, 3),
    way(grains(16, 8), Choice::Holder, 3),
    way(grains(1, 8), Choice::Holder, 3),
    way(grains(8, 4), Choice::Holder, 3),
    way(without_zones(64, 8), Choice::Holder, 3),
    way(without_zones(1, 1), Choice::Holder, 1),
];

const fn grains(min_units_per_shard: u32, max_shards_with_units: u32) -> Deal {
    Deal::Grains(ConcentrationSettings {
        min_units_per_shard,
        max_shards_with_units,
        units_per_zone: 1,
    })
}

const fn without_zones(min_units_per_shard: u32, max_shards_with_units: u32) -> Deal {
    Deal::Grains(ConcentrationSettings {
        min_units_per_shard,
        max_shards_with_units,
        units_per_zone: 0,
    })
}

const fn way(deal: Deal, choice: Choice, attempts: usize) -> Way {
    Way {
        deal,
        choice,
        attempts,
    }
}

#[derive(Serialize)]
struct Line {
    size: Size,
    load: f64,
    way: String,
    /// Requests that one counter for the whole fleet would run.
    one_counter_ran: u64,
    #[serde(flatten)]
    counts: Counts,
}

/// Runs all ways over the same demand and prints a line for each.
///
/// # Errors
///
/// Returns an error if the result can't be written as JSON.
pub fn run(json: bool, seed: Option<u64>) -> Result<(), MeasureError> {
    let seed = seed.unwrap_or(DEFAULT_SEED);
    let lines = measure(seed);
    if json {
        println!("{}", serde_json::to_string_pretty(&lines)?);
        return Ok(());
    }
    println!(
        "seed {seed}; refused and hops in % of the requests that arrived below their team's limit"
    );
    for line in &lines {
        print_line(line);
    }
    Ok(())
}

fn measure(seed: u64) -> Vec<Line> {
    let mut lines = Vec::new();
    for size in [Size::Today, Size::Target] {
        for load in LOADS {
            let arrivals = arrivals(size, load, LENGTH_MS, seed);
            let one_counter_ran = run_with_one_counter(size, &arrivals);
            lines.extend(WAYS.map(|way| Line {
                size,
                load,
                way: way.name(),
                one_counter_ran,
                counts: Run::new(size, way, seed).run(&arrivals),
            }));
        }
    }
    lines
}

fn print_line(line: &Line) {
    let counts = &line.counts;
    let percent = |part: u64, of: u64| 100.0 * part as f64 / of.max(1) as f64;
    println!(
        "{} load {:.2} {:<34} refused {:6.2} one hop {:6.2} later hop {:6.2} ran {:6.2} % of one counter, above limit {}",
        line.size.name(),
        line.load,
        line.way,
        percent(counts.refused, counts.eligible),
        percent(counts.one_hop, counts.eligible),
        percent(counts.later_hop, counts.eligible),
        percent(counts.ran, line.one_counter_ran),
        counts.above_limit,
    );
}
