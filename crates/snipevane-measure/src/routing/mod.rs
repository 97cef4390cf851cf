//! Ways of routing under bursts, in one run of the same requests.
//!
//! Slots dealt to all entry VMs of a zone, with several ways to tell of idle slots; one home entry
//! VM for each backend server; two random choices without ownership; and as a bound one queue for each
//! service that knows all slots at once.

mod demand;
mod entry_vm;
mod events;
mod ideal;
mod layout;
mod network;
mod owned;
mod record;
mod scenario;
mod strategy;
mod two_choices;

pub use record::Figures;

use std::time::Duration;

use owned::OwnedSlotsSimulation;
use strategy::OWNED_SLOT_STRATEGIES;
use two_choices::TwoChoicesSimulation;

use crate::MeasureError;

/// Time that requests arrive for.
const ARRIVAL_PERIOD: Duration = Duration::from_secs(100);
/// Longest time that a request waits before it is refused.
const MAX_WAIT: Duration = Duration::from_secs(3);
/// Time after which a failing server fails a request.
const FAILING_RUN_TIME: Duration = Duration::from_millis(1);
const DEFAULT_SEED: u64 = 7;

/// Runs all ways of routing in all scenarios, with arrivals for `length`.
///
/// # Errors
///
/// Returns an error if a histogram can't be made.
pub fn measure(seed: u64, length: Duration) -> Result<Vec<Figures>, MeasureError> {
    let mut figures = Vec::new();
    for scenario in scenario::all() {
        let requests = demand::draw(seed, length, scenario.burst_load);
        for strategy in OWNED_SLOT_STRATEGIES {
            let run = OwnedSlotsSimulation::new(strategy, &scenario, &requests, seed)?;
            figures.push(run.run());
        }
        figures.push(ideal::run(&scenario, &requests)?);
        let run = TwoChoicesSimulation::new(&scenario, &requests, seed)?;
        figures.push(run.run());
    }
    Ok(figures)
}

/// Runs all ways of routing in all scenarios and prints the figures.
///
/// # Errors
///
/// Returns an error if the figures can't be made or written as JSON.
pub fn run(json: bool, seed: Option<u64>) -> Result<(), MeasureError> {
    let seed = seed.unwrap_or(DEFAULT_SEED);
    let figures = measure(seed, ARRIVAL_PERIOD)?;
    if json {
        println!("{}", serde_json::to_string_pretty(&figures)?);
        return Ok(());
    }
    println!("seed {seed}, {} s of arrivals", ARRIVAL_PERIOD.as_secs());
    println!(
        "{:<22} {:<17} {:>8} {:>7} {:>7} {:>8} {:>7} {:>9} {:>6} {:>6} {:>6} {:>5} {:>8}",
        "scenario",
        "way",
        "requests",
        "p50 ms",
        "p99 ms",
        "refused%",
        "failed%",
        "decl/1000",
        "hops",
        "idle%",
        "lost%",
        "most",
        "notice/s",
    );
    for row in &figures {
        println!(
            "{:<22} {:<17} {:>8} {:>7.1} {:>7.1} {:>8.3} {:>7.3} {:>9.1} {:>6.3} {:>6.1} {:>6.2} \
             {:>5} {:>8.1}",
            row.scenario,
            row.strategy,
            row.requests,
            row.p50_ms,
            row.p99_ms,
            row.refused_percent,
            row.failed_percent,
            row.declined_per_1000,
            row.hops_per_request,
            row.idle_while_waiting_percent,
            row.lost_slot_time_percent,
            row.most_running,
            row.notices_per_second,
        );
    }
    Ok(())
}
