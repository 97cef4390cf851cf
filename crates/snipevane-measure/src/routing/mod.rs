//! Comparison of routing strategies by simulations of the same requests under bursts.
//!
//! - Slots are allocated to all entry VMs of a zone, with several modes of load reports.
//! - All slots of a backend server are allocated to one entry VM.
//! - No entry VM owns slots; requests go to the better of two random servers.
//! - One queue per service knows all slots, as the ideal bound.

mod demand;
mod entry_vm;
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
use crate::output::print_json;

/// Length of the time in which requests arrive.
const ARRIVAL_PERIOD: Duration = Duration::from_secs(100);
/// Maximum time that a request waits before it is refused.
const MAX_WAIT: Duration = Duration::from_secs(3);
/// Run time of a request on a failing server.
const FAILING_RUN_TIME: Duration = Duration::from_millis(1);
const DEFAULT_SEED: u64 = 7;

/// Simulates all routing strategies in all scenarios, with arrivals for `length`.
///
/// # Errors
///
/// Returns an error if a histogram can't be created.
pub fn measure(seed: u64, length: Duration) -> Result<Vec<Figures>, MeasureError> {
    let mut figures = Vec::new();
    for scenario in scenario::all() {
        let requests = demand::draw(seed, length, scenario.burst_load);
        for strategy in OWNED_SLOT_STRATEGIES {
            let simulation = OwnedSlotsSimulation::new(strategy, &scenario, &requests, seed)?;
            figures.push(simulation.run());
        }
        figures.push(ideal::run(&scenario, &requests)?);
        let simulation = TwoChoicesSimulation::new(&scenario, &requests, seed)?;
        figures.push(simulation.run());
    }
    Ok(figures)
}

/// Simulates all routing strategies in all scenarios, and prints the figures.
///
/// # Errors
///
/// Returns an error if a histogram can't be created or the figures can't be written as JSON.
pub fn run(json: bool, seed: Option<u64>) -> Result<(), MeasureError> {
    let seed = seed.unwrap_or(DEFAULT_SEED);
    let figures = measure(seed, ARRIVAL_PERIOD)?;
    if json {
        return print_json(&figures);
    }
    println!("seed {seed}, {} s of arrivals", ARRIVAL_PERIOD.as_secs());
    print_table(&figures);
    Ok(())
}

fn print_table(figures: &[Figures]) {
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
    for row in figures {
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
}
