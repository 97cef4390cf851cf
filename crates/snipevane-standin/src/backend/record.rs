//! Record of a backend server's stand-in.

use std::collections::HashMap;

use snipevane_proto::platform::{BackendRecord, RunEntry};

/// Runs kept.
const MAX_RUNS: usize = 1_000_000;

/// What the stand-in ran, and what runs.
#[derive(Debug, Default)]
pub(crate) struct Record {
    runs: Vec<RunEntry>,
    /// Number of runs before the first one kept, over all resets.
    offset: usize,
    refused: u64,
    running: u32,
    running_by_team: HashMap<String, u32>,
    most_running: u32,
    open_connections: u32,
    most_connections: u32,
}

/// A run that goes on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunId(usize);

impl Record {
    /// Starts a run if a slot is free, and fills in how many run.
    pub(crate) fn start(&mut self, mut entry: RunEntry, slots: u32) -> Option<RunId> {
        if self.running >= slots {
            self.count_refused();
            return None;
        }
        self.running += 1;
        self.most_running = self.most_running.max(self.running);
        let team_running = self.running_by_team.entry(entry.team.clone()).or_default();
        *team_running += 1;
        entry.running_server = self.running;
        entry.running_team = *team_running;
        if self.runs.len() == MAX_RUNS {
            self.clear_runs();
        }
        self.runs.push(entry);
        Some(RunId(self.offset + self.runs.len() - 1))
    }

    /// Ends a run.
    pub(crate) fn end(&mut self, id: RunId, team: &str, end_us: u64) {
        self.running -= 1;
        if let Some(team_running) = self.running_by_team.get_mut(team) {
            *team_running -= 1;
        }
        // A run that started before a reset isn't in the record any more.
        let index = id.0.checked_sub(self.offset);
        if let Some(entry) = index.and_then(|index| self.runs.get_mut(index)) {
            entry.end_us = end_us;
        }
    }

    /// Counts a request that is refused as not run.
    pub(crate) fn count_refused(&mut self) {
        self.refused += 1;
    }

    /// Counts a new connection if there is room for it.
    pub(crate) fn open_connection(&mut self, connections: u32) -> bool {
        if self.open_connections >= connections {
            return false;
        }
        self.open_connections += 1;
        self.most_connections = self.most_connections.max(self.open_connections);
        true
    }

    /// Counts the end of a connection.
    pub(crate) fn close_connection(&mut self) {
        self.open_connections -= 1;
    }

    /// Forgets what was, and keeps what runs and is open.
    pub(crate) fn reset(&mut self) {
        self.clear_runs();
        self.refused = 0;
        self.most_running = self.running;
        self.most_connections = self.open_connections;
    }

    /// Returns a copy of the record.
    pub(crate) fn snapshot(&self, server: &str) -> BackendRecord {
        BackendRecord {
            server: server.to_owned(),
            runs: self.runs.clone(),
            refused: self.refused,
            running: self.running,
            most_running: self.most_running,
            open_connections: self.open_connections,
            most_connections: self.most_connections,
        }
    }

    fn clear_runs(&mut self) {
        self.offset += self.runs.len();
        self.runs.clear();
    }
}

/// Returns the most requests of a team that ran at once over several backend servers.
///
/// A request that ends in the microsecond in which another one starts isn't counted with it.
pub fn most_running(records: &[BackendRecord], team: &str) -> usize {
    let runs = records.iter().flat_map(|record| &record.runs);
    let mut changes: Vec<(u64, bool)> = Vec::new();
    for run in runs.filter(|run| run.team == team) {
        changes.push((run.start_us, true));
        if run.end_us > 0 {
            changes.push((run.end_us.max(run.start_us + 1), false));
        }
    }
    // An end sorts before a start of the same time.
    changes.sort_unstable();
    let mut running = 0_usize;
    let mut most = 0;
    for (_, starts) in changes {
        if starts {
            running += 1;
            most = most.max(running);
        } else {
            running -= 1;
        }
    }
    most
}
