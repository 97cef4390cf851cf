//! Tables and rows that this product keeps in the platform's store.

use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snipevane_core::jobs::{JobId, OrderedVm};

use crate::events;

/// Table of jobs that haven't ended, and of requests to cancel them.
pub const JOBS_TABLE: &str = "jobs";

/// Table of the progress of jobs, including those that have ended.
pub const PROGRESS_TABLE: &str = "progress";

/// Table of the scheduler's row, and of the rows that name the minions in use.
pub const SCHEDULERS_TABLE: &str = "schedulers";

/// Table of the addresses of the entry VMs.
pub const PEERS_TABLE: &str = "entry_vms";

/// Table of the reports of entry VMs that get no heartbeats of a term.
pub const REACH_TABLE: &str = "reach";

/// Table of the progress of maintenance waves.
pub const WAVES_TABLE: &str = "waves";

/// Key of the scheduler's row.
pub const SCHEDULER_KEY: &str = "all";

/// Smallest key after [`SCHEDULER_KEY`].
pub const SCHEDULER_KEY_END: &str = "all\0";

/// Suffix of the key of a request to cancel a job.
const CANCEL_SUFFIX: &str = ".cancel";

/// The scheduler's row, which records who holds the scheduler's term.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchedulerRow {
    /// Name of the entry VM that holds the term.
    pub holder: SmolStr,
    /// Address on which the holder listens for the other entry VMs.
    #[serde(default)]
    pub address: SmolStr,
    /// Start time of the holder's process, in Unix milliseconds; tells it from a later process on
    /// the same VM.
    pub process: u64,
    /// Fencing token of the term.
    pub fence: u64,
    /// Number of the write within the term.
    pub write: u64,
    /// Latest time on the store's clock at which the write was sent, in milliseconds; `None` if the holder
    /// doesn't know the clock.
    #[serde(default)]
    pub sent_clock_ms: Option<u64>,
    /// Time, in milliseconds and in place of the term's length, that observers wait for a change of the row
    /// before they take over; `None` while the store is as fast as usual.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub observer_wait_ms: Option<u64>,
    /// Whether the holder has released its term.
    #[serde(default)]
    pub released: bool,
    /// Whether the holder has released its term because most entry VMs can't reach it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub released_unreached: bool,
    /// Number of jobs that haven't started, by queue; `None` until the term has loaded all jobs, and while so many
    /// queues have such jobs that only heartbeats carry the counts.
    #[serde(default)]
    pub waiting: Option<Vec<(SmolStr, u64)>>,
    /// Minions that may have runs, with their pools, if the holder's version kept them here.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub minions: Vec<(SmolStr, SmolStr)>,
    /// Minions of earlier terms that this term hasn't reached, with the time until their leases are over, in
    /// milliseconds. Whoever holds the term grants them nothing until a row without them is stored.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub silent_minions: Vec<(SmolStr, u64)>,
    /// VMs that were ordered lately by this term or the one before; `None` if the holder doesn't record
    /// them.
    #[serde(default)]
    pub ordered_vms: Option<Vec<OrderedVm>>,
}

impl SchedulerRow {
    /// Returns whether two rows are of the same write, of which one may be a later attempt.
    pub fn is_same_write(&self, other: &Self) -> bool {
        self.is_of_same_term(other) && self.write == other.write
    }

    /// Returns whether two rows are of the same term of the same process.
    pub fn is_of_same_term(&self, other: &Self) -> bool {
        self.holder == other.holder && self.process == other.process && self.fence == other.fence
    }

    /// Returns the time for which the row asks observers to wait; zero if it asks for none.
    pub fn observer_wait(&self) -> Duration {
        Duration::from_millis(self.observer_wait_ms.unwrap_or(0))
    }

    /// Returns the least time since the write, if the store's clock shows `clock_ms` now.
    pub fn least_age(&self, clock_ms: u64) -> Duration {
        let sent_ms = self.sent_clock_ms.unwrap_or(clock_ms);
        Duration::from_millis(clock_ms.saturating_sub(sent_ms))
    }
}

/// Largest size of the numbers of waiting jobs in the scheduler's row, in bytes. With the VMs ordered lately, they stay
/// within the size of a row.
const MAX_COUNTS_BYTES: usize = 12_000;

/// Returns the numbers of waiting jobs if they have room in the scheduler's row.
pub fn bounded_counts(waiting: &[(SmolStr, u64)]) -> Option<Vec<(SmolStr, u64)>> {
    let has_room = encode(&waiting).len() <= MAX_COUNTS_BYTES;
    has_room.then(|| waiting.to_vec())
}

/// Report of an entry VM that it gets no heartbeats of a term that is being renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachRow {
    /// Fencing token of the term.
    pub fence: u64,
    /// Interval at which the report is repeated, in milliseconds; `None` if the sender's version doesn't tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub interval_ms: Option<u64>,
}

/// Progress of a maintenance wave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRow {
    /// VMs whose maintenance has begun, or whose order the platform rejected for good.
    pub done: Vec<SmolStr>,
    /// Whether the maintenance of all VMs that still exist has begun or was rejected for good.
    pub completed: bool,
    /// Time at which the wave was first seen, in Unix milliseconds; 0 if unknown.
    #[serde(default)]
    pub seen_unix_ms: u64,
}

/// Request to cancel a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRow {
    /// Time of the request, in Unix milliseconds, if no submission of the job was stored by then: the row stands beside
    /// the job's tombstone. 0 if the job was stored.
    #[serde(default)]
    pub tombstone_unix_ms: u64,
}

/// A key in the jobs table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobsTableKey {
    /// A job.
    Job(JobId),
    /// A request to cancel a job.
    Cancel(JobId),
}

impl JobsTableKey {
    /// Parses a key; returns `None` if it isn't the key of a job or of a cancellation.
    pub fn parse(key: &str) -> Option<Self> {
        match key.strip_suffix(CANCEL_SUFFIX) {
            Some(id) => id.parse().ok().map(Self::Cancel),
            None => key.parse().ok().map(Self::Job),
        }
    }
}

/// Returns the key of a request to cancel a job.
pub fn cancel_key(id: JobId) -> SmolStr {
    format!("{id}{CANCEL_SUFFIX}").into()
}

/// Returns the key of a job.
pub fn job_key(id: JobId) -> SmolStr {
    id.to_string().into()
}

/// Encodes a row's value or a message as JSON; returns an empty buffer if that fails.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_else(|error| {
        log::error!("can't encode a value as JSON, using an empty one: {error}");
        Vec::new()
    })
}

/// Decodes a row's value or a message; if that fails, records an event and returns `None`.
pub fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Option<T> {
    let decoded = serde_json::from_slice(value);
    decoded
        .map_err(|error| events::record(&events::ROW_UNREADABLE, &[&"own", &key, &error]))
        .ok()
}
