//! The figures of a run, for people and for programs.

use std::fmt;

use serde::Serialize;

use super::pool_run::PoolResult;
use super::task_run::TaskResult;

const PERCENT: f64 = 100.0;
const MINUTE_SECS: f64 = 60.0;

/// A figure of the policy beside the naive version's.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// What is measured.
    pub name: &'static str,
    /// Unit of the figures.
    pub unit: &'static str,
    /// The policy's figure; `None` if it never came to it.
    pub policy: Option<f64>,
    /// The naive version's figure.
    pub naive: Option<f64>,
}

/// All figures of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the setting.
    pub setting: &'static str,
    /// Seed of the demand and the faults.
    pub seed: u64,
    /// The figures.
    pub rows: Vec<Row>,
}

impl Report {
    pub(super) fn new(
        setting: &'static str,
        seed: u64,
        pools: [&PoolResult; 2],
        tasks: [&TaskResult; 2],
    ) -> Self {
        let mut rows = pool_rows(pools);
        rows.extend(task_rows(tasks));
        Self {
            setting,
            seed,
            rows,
        }
    }
}

fn row<T>(
    name: &'static str,
    unit: &'static str,
    results: [&T; 2],
    figure: impl Fn(&T) -> Option<f64>,
) -> Row {
    Row {
        name,
        unit,
        policy: figure(results[0]),
        naive: figure(results[1]),
    }
}

fn pool_rows(results: [&PoolResult; 2]) -> Vec<Row> {
    vec![
        row("buffer", "% of VMs", results, |one| {
            Some(one.buffer * PERCENT)
        }),
        row("roll-out time", "min", results, |one| {
            one.roll_out_secs.map(|secs| secs as f64 / MINUTE_SECS)
        }),
        row("moves", "VMs", results, |one| Some(one.moves as f64)),
        row("over budget", "VM-min", results, |one| {
            Some(one.over_budget_vm_minutes)
        }),
        row("requests late", "% of work", results, |one| {
            Some(one.late * PERCENT)
        }),
    ]
}

fn task_rows(results: [&TaskResult; 2]) -> Vec<Row> {
    let count = |name, figure: fn(&TaskResult) -> usize| {
        row(name, "tasks", results, |one| Some(figure(one) as f64))
    };
    vec![
        row("off share, mean minute", "% of fleet", results, |one| {
            Some(one.shares.mean_distance() * PERCENT)
        }),
        row("off share, worst minute", "% of fleet", results, |one| {
            Some(one.shares.worst_distance() * PERCENT)
        }),
        row("full minutes", "min", results, |one| {
            Some(one.shares.minutes.len() as f64)
        }),
        count("submitted", |one| one.submitted),
        count("done", |one| one.done),
        count("cancelled", |one| one.cancelled),
        count("urgent", |one| one.urgent),
        count("urgent late", |one| one.urgent_late),
        row("urgent, worst start", "s", results, |one| {
            Some(one.urgent_worst_secs)
        }),
        count("deferred", |one| one.deferred),
        count("deferred late", |one| one.deferred_late),
        count("lost", |one| one.lost),
        count("doubled", |one| one.doubled),
        count("failed attempts", |one| one.failed_attempts),
    ]
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} (seed {})", self.setting, self.seed)?;
        writeln!(f, "{:<26}{:>12}{:>12}  unit", "", "policy", "naive")?;
        for row in &self.rows {
            let policy = figure(row.policy);
            let naive = figure(row.naive);
            writeln!(f, "{:<26}{policy:>12}{naive:>12}  {}", row.name, row.unit)?;
        }
        Ok(())
    }
}

fn figure(value: Option<f64>) -> String {
    match value {
        None => "never".to_owned(),
        Some(value) if value.fract() == 0.0 => format!("{value:.0}"),
        Some(value) => format!("{value:.2}"),
    }
}
