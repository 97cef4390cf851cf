//! Report of the demo, which compares the records of the backend stand-ins with the callers'
//! statistics.

use std::collections::BTreeMap;

use serde::Serialize;
use snipevane_proto::platform::BackendRecord;
use snipevane_standin::most_running;

use super::callers::CallerStats;
use super::scenario::total;
use crate::CliError;
use crate::output::print_json;

/// Maximum time until a configuration change or key withdrawal takes effect at every entry VM, in
/// seconds.
const MAX_PROPAGATION_S: f64 = 13.0;
/// Maximum time for which a leaving backend server still receives new requests, in seconds.
const MAX_DRAIN_DELAY_S: f64 = 5.0;

/// Results of the demo.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Report {
    sent: u64,
    answered: u64,
    refused_not_run: u64,
    outcome_unknown: u64,
    runs_recorded: usize,
    run_twice: usize,
    answered_without_run: usize,
    refused_but_run: usize,
    over_a_limit: Vec<String>,
    config_everywhere_s: f64,
    withdrawn_everywhere_s: f64,
    drained_last_start_s: f64,
    withdrawal_stored: bool,
}

impl Report {
    /// Builds the report from the backend servers' records and the callers' statistics.
    ///
    /// `drained` holds the name of the backend server that left and the time at which it began to
    /// leave, in microseconds since the Unix epoch. `seconds` holds how long the configuration
    /// change and the key withdrawal took to reach all entry VMs, in this order.
    pub(super) fn new(
        records: &[BackendRecord],
        team_stats: [CallerStats; 2],
        limits: &[(&str, usize)],
        drained: (&str, u64),
        seconds: [f64; 2],
        withdrawal_stored: bool,
    ) -> Self {
        let runs = runs_by_id(records);
        let sum = total(&team_stats);
        let over_limit = limits.iter().filter_map(|(team, limit)| {
            let max_running = most_running(records, team);
            (max_running > *limit)
                .then(|| format!("{team} ran {max_running} with a limit of {limit}"))
        });
        Self {
            sent: sum.sent,
            answered: sum.answered,
            refused_not_run: sum.not_run,
            outcome_unknown: sum.unknown,
            runs_recorded: records.iter().map(|record| record.runs.len()).sum(),
            run_twice: runs.values().filter(|count| **count > 1).count(),
            answered_without_run: count_answered_without_run(&sum, &runs),
            refused_but_run: sum
                .refused_ids
                .iter()
                .filter(|id| runs.contains_key(*id))
                .count(),
            over_a_limit: over_limit.collect(),
            config_everywhere_s: seconds[0],
            withdrawn_everywhere_s: seconds[1],
            drained_last_start_s: last_start_after(records, drained),
            withdrawal_stored,
        }
    }

    /// Returns a description of each guarantee that didn't hold.
    pub(super) fn violated_guarantees(&self) -> Vec<&'static str> {
        let guarantees = [
            (self.run_twice == 0, "a non-idempotent request ran twice"),
            (
                self.answered_without_run == 0,
                "a request was answered that no backend server ran",
            ),
            (
                self.refused_but_run == 0,
                "a request was refused as not run, but had run",
            ),
            (self.over_a_limit.is_empty(), "a team exceeded its limit"),
            (self.answered > 0, "no request was answered"),
            (
                self.config_everywhere_s <= MAX_PROPAGATION_S,
                "a configuration change took too long to reach all entry VMs",
            ),
            (
                self.withdrawn_everywhere_s <= MAX_PROPAGATION_S,
                "a withdrawn key was accepted for too long",
            ),
            (
                self.drained_last_start_s <= MAX_DRAIN_DELAY_S,
                "a leaving backend server received requests for too long",
            ),
            (
                self.withdrawal_stored,
                "a key withdrawal wasn't stored, or not confirmed by every zone",
            ),
        ];
        guarantees
            .into_iter()
            .filter(|(holds, _)| !holds)
            .map(|(_, what)| what)
            .collect()
    }

    /// Prints the report as text, or as JSON if `json` is set.
    pub(super) fn print(&self, json: bool) -> Result<(), CliError> {
        if json {
            return print_json(self);
        }
        println!("requests sent                      {:>8}", self.sent);
        println!("  answered                         {:>8}", self.answered);
        println!(
            "  refused as not run               {:>8}",
            self.refused_not_run
        );
        println!(
            "  outcome unknown                  {:>8}",
            self.outcome_unknown
        );
        println!(
            "runs that backend servers recorded {:>8}",
            self.runs_recorded
        );
        println!("  non-idempotent, run twice        {:>8}", self.run_twice);
        println!(
            "  answered without a run           {:>8}",
            self.answered_without_run
        );
        println!(
            "  refused as not run, but run      {:>8}",
            self.refused_but_run
        );
        println!(
            "teams over their limit             {:>8}",
            self.over_a_limit.len()
        );
        println!("seconds until a new configuration");
        println!(
            "  was in force everywhere          {:>8.2}",
            self.config_everywhere_s
        );
        println!("seconds until a key, withdrawn with the platform unreachable,");
        println!(
            "  was refused everywhere           {:>8.2}",
            self.withdrawn_everywhere_s
        );
        println!("seconds until a leaving backend server");
        println!(
            "  got its last request             {:>8.2}",
            self.drained_last_start_s
        );
        for line in &self.over_a_limit {
            println!("{line}");
        }
        Ok(())
    }
}

/// Counts the runs of each non-idempotent identifier.
fn runs_by_id(records: &[BackendRecord]) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for run in records.iter().flat_map(|record| &record.runs) {
        if run.queue == "rollups" {
            *runs.entry(run.idempotency_key.clone()).or_default() += 1;
        }
    }
    runs
}

/// Counts the non-idempotent requests that were answered although no backend server recorded a run.
fn count_answered_without_run(stats: &CallerStats, runs: &BTreeMap<String, usize>) -> usize {
    stats
        .answered_non_idempotent_ids
        .iter()
        .filter(|id| !runs.contains_key(*id))
        .count()
}

/// Returns how long after `since_us` the server's last run started, in seconds, or 0 if it started
/// none after that.
fn last_start_after(records: &[BackendRecord], (server, since_us): (&str, u64)) -> f64 {
    let starts = records.iter().filter(|record| record.server == server);
    let starts = starts.flat_map(|record| record.runs.iter().map(|run| run.start_us));
    let last = starts.max().unwrap_or(0).saturating_sub(since_us);
    last as f64 / 1e6
}
