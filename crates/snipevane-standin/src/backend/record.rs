//! Record of the requests and connections of a backend server stand-in.

use std::collections::HashMap;

use snipevane_proto::platform::{BackendRecord, RunEntry};

/// Maximum number of recorded runs; the next start then drops all of them.
const MAX_RUNS: usize = 1_000_000;

/// Recorded runs, with counts of running requests and open connections.
#[derive(Debug, Default)]
pub(crate) struct Record {
    runs: Vec<RunEntry>,
    /// Number of runs dropped so far, which is the identifier of the first run in `runs`.
    offset: usize,
    refused: u64,
    running: u32,
    running_by_team: HashMap<String, u32>,
    most_running: u32,
    open_connections: u32,
    most_connections: u32,
}

/// Identifier of a run: its index among all runs since the start, including dropped ones.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunId(usize);

impl Record {
    /// Records the start of a run if a slot is free, and sets its counts of running requests.
    ///
    /// Counts the request as refused and returns `None` otherwise.
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

    /// Records the end of a run.
    pub(crate) fn end(&mut self, id: RunId, team: &str, end_us: u64) {
        self.running -= 1;
        if let Some(team_running) = self.running_by_team.get_mut(team) {
            *team_running -= 1;
        }
        // A run that started before a reset is no longer in the record.
        let index = id.0.checked_sub(self.offset);
        if let Some(entry) = index.and_then(|index| self.runs.get_mut(index)) {
            entry.end_us = end_us;
        }
    }

    /// Counts a request that was refused without being run.
    pub(crate) fn count_refused(&mut self) {
        self.refused += 1;
    }

    /// Counts a new connection unless `connections` are already open, and returns whether it did.
    pub(crate) fn open_connection(&mut self, connections: u32) -> bool {
        if self.open_connections >= connections {
            return false;
        }
        self.open_connections += 1;
        self.most_connections = self.most_connections.max(self.open_connections);
        true
    }

    /// Counts a closed connection.
    pub(crate) fn close_connection(&mut self) {
        self.open_connections -= 1;
    }

    /// Clears the recorded runs and counters.
    ///
    /// Running requests and open connections are still counted, and the maxima restart from them.
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

/// Returns the maximum number of requests of a team that ran concurrently across backend servers.
///
/// A request that ends in the same microsecond as another starts does not overlap with it.
pub fn most_running(records: &[BackendRecord], team: &str) -> usize {
    let runs = records.iter().flat_map(|record| &record.runs);
    let mut changes: Vec<(u64, bool)> = Vec::new();
    for run in runs.filter(|run| run.team == team) {
        changes.push((run.start_us, true));
        if run.end_us > 0 {
            changes.push((run.end_us.max(run.start_us + 1), false));
        }
    }
    // An end sorts before a start at the same time.
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
