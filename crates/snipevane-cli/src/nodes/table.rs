//! Table with a row for each entry VM.

use std::net::SocketAddr;

use serde::Serialize;

use super::samples::Samples;

/// State of an entry VM, as reported by its metrics.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct NodeRow {
    /// Address of its metrics endpoint.
    pub address: SocketAddr,
    /// Whether it responded.
    pub reached: bool,
    /// Version of the configuration in force.
    pub config: Option<u64>,
    /// Whether it holds the scheduler's term.
    pub schedules: bool,
    /// Fence of the last term that it held.
    pub fence: Option<u64>,
    /// Number of ready tasks that are waiting to be placed; only known at the scheduler.
    pub waiting: Option<u64>,
    /// Age of the oldest waiting task, in seconds.
    pub oldest_s: Option<f64>,
    /// Free CPU capacity, in cores; only known at the scheduler.
    pub free_cores: Option<f64>,
    /// Whether it can reach the store.
    pub store: Option<bool>,
}

impl NodeRow {
    /// Builds a row from the metrics of a process. `samples` is `None` if it didn't respond.
    pub fn new(address: SocketAddr, samples: Option<&Samples>) -> Self {
        let Some(samples) = samples else {
            return Self {
                address,
                reached: false,
                config: None,
                schedules: false,
                fence: None,
                waiting: None,
                oldest_s: None,
                free_cores: None,
                store: None,
            };
        };
        let integer = |name| samples.value(name).map(|value| value as u64);
        let schedules = samples.value("snipevane_term_held") == Some(1.0);
        Self {
            address,
            reached: true,
            config: integer("snipevane_config_version"),
            schedules,
            fence: integer("snipevane_term_fence"),
            waiting: schedules.then(|| samples.sum("snipevane_tasks_waiting") as u64),
            oldest_s: samples
                .max("snipevane_oldest_waiting_seconds")
                .filter(|_| schedules),
            free_cores: schedules.then(|| samples.sum("snipevane_free_cores")),
            store: samples
                .value("snipevane_store_reached")
                .map(|value| value > 0.0),
        }
    }
}

/// Renders the rows as a table.
pub fn render_nodes(rows: &[NodeRow]) -> String {
    let mut table = format!(
        "{:<22} {:>8} {:>10} {:>6} {:>8} {:>9} {:>11} {}\n",
        "entry VM", "config", "schedules", "fence", "waiting", "oldest s", "free cores", "store"
    );
    for row in rows {
        if !row.reached {
            table += &format!("{:<22} not reached\n", row.address.to_string());
            continue;
        }
        table += &format!(
            "{:<22} {:>8} {:>10} {:>6} {:>8} {:>9} {:>11} {}\n",
            row.address.to_string(),
            or_dash(row.config),
            if row.schedules { "yes" } else { "no" },
            or_dash(row.fence),
            or_dash(row.waiting),
            row.oldest_s.map_or("-".to_owned(), |s| format!("{s:.1}")),
            row.free_cores
                .map_or("-".to_owned(), |cores| format!("{cores:.1}")),
            row.store
                .map_or("-", |reached| if reached { "reached" } else { "away" }),
        );
    }
    table
}

fn or_dash(value: Option<u64>) -> String {
    value.map_or("-".to_owned(), |value| value.to_string())
}
