//! Comparison of strategies by the fraction of requests below a team's limit that are refused.

mod hints;
mod simulation;
mod site;
mod strategy;

use serde::Serialize;
use snipevane_core::shards::ConcentrationSettings;

use crate::MeasureError;
use crate::output::print_json;
use simulation::{Counts, Simulation, count_with_one_counter};
use site::{Size, arrivals};
use strategy::{Allocation, PeerChoice, Strategy};

/// Demand during a burst, as multiples of a team's limit.
const BURST_LOADS: [f64; 3] = [0.5, 0.9, 1.25];
const DEFAULT_SEED: u64 = 4;
/// Length of the simulated time, in milliseconds.
const SIMULATED_TIME_MS: f64 = 30_000.0;

const STRATEGIES: [Strategy; 17] = [
    strategy(Allocation::Even, PeerChoice::Holder, 0),
    strategy(Allocation::Even, PeerChoice::Holder, 1),
    strategy(Allocation::Even, PeerChoice::ZoneFirst, 1),
    strategy(Allocation::Even, PeerChoice::BestHint, 1),
    strategy(Allocation::Even, PeerChoice::TwoChoices, 1),
    strategy(Allocation::Even, PeerChoice::TwoChoicesCorrected, 1),
    strategy(Allocation::Even, PeerChoice::Holder, 3),
    strategy(Allocation::Even, PeerChoice::TwoChoicesCorrected, 3),
    strategy(concentrated(64, 95), PeerChoice::Holder, 1),
    strategy(concentrated(64, 95), PeerChoice::Holder, 3),
    strategy(concentrated(64, 8), PeerChoice::Holder, 3),
    strategy(concentrated(16, 95), PeerChoice::Holder, 3),
    strategy(concentrated(16, 8), PeerChoice::Holder, 3),
    strategy(concentrated(1, 8), PeerChoice::Holder, 3),
    strategy(concentrated(8, 4), PeerChoice::Holder, 3),
    strategy(
        concentrated_without_zone_units(64, 8),
        PeerChoice::Holder,
        3,
    ),
    strategy(concentrated_without_zone_units(1, 1), PeerChoice::Holder, 1),
];

const fn concentrated(min_units_per_shard: u32, max_shards_with_units: u32) -> Allocation {
    Allocation::Concentrated(ConcentrationSettings {
        min_units_per_shard,
        max_shards_with_units,
        units_per_zone: 1,
    })
}

const fn concentrated_without_zone_units(
    min_units_per_shard: u32,
    max_shards_with_units: u32,
) -> Allocation {
    Allocation::Concentrated(ConcentrationSettings {
        min_units_per_shard,
        max_shards_with_units,
        units_per_zone: 0,
    })
}

const fn strategy(allocation: Allocation, peer_choice: PeerChoice, attempts: usize) -> Strategy {
    Strategy {
        allocation,
        peer_choice,
        attempts,
    }
}

#[derive(Serialize)]
struct Line {
    size: Size,
    load: f64,
    #[serde(rename = "way")]
    strategy: String,
    /// Requests that would run if one counter enforced each limit for all entry VMs.
    one_counter_ran: u64,
    #[serde(flatten)]
    counts: Counts,
}

/// Simulates every strategy with the same demand, and prints a line for each.
///
/// # Errors
///
/// Returns an error if the result can't be written as JSON.
pub fn run(json: bool, seed: Option<u64>) -> Result<(), MeasureError> {
    let seed = seed.unwrap_or(DEFAULT_SEED);
    let lines = measure(seed);
    if json {
        return print_json(&lines);
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
        for load in BURST_LOADS {
            let arrivals = arrivals(size, load, SIMULATED_TIME_MS, seed);
            let one_counter_ran = count_with_one_counter(size, &arrivals);
            lines.extend(STRATEGIES.map(|strategy| Line {
                size,
                load,
                strategy: strategy.name(),
                one_counter_ran,
                counts: Simulation::new(size, strategy, seed).run(&arrivals),
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
        line.strategy,
        percent(counts.refused, counts.eligible),
        percent(counts.one_hop, counts.eligible),
        percent(counts.later_hop, counts.eligible),
        percent(counts.ran, line.one_counter_ran),
        counts.above_limit,
    );
}
