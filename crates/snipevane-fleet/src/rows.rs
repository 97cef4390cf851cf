//! The product's rows in the platform's store.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snipevane_core::jobs::JobId;

use crate::events;

/// Table with jobs that haven't ended, and with requests to cancel them.
pub const JOBS_TABLE: &str = "jobs";

/// Table with the progress of jobs, ended ones included.
pub const PROGRESS_TABLE: &str = "progress";

/// Table with the scheduler's row.
pub const SCHEDULERS_TABLE: &str = "schedulers";

/// Table with the addresses of the entry VMs.
pub const PEERS_TABLE: &str = "entry_vms";

/// Table with the progress of waves of upkeep.
pub const WAVES_TABLE: &str = "waves";

/// Key of the scheduler's row.
pub const SCHEDULER_KEY: &str = "all";

/// What ends the key of a request to cancel a job.
const CANCEL_SUFFIX: &str = ".cancel";

/// The scheduler's row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchedulerRow {
    /// Name of the VM that schedules.
    pub holder: SmolStr,
    /// Address at which the holder serves the other entry VMs.
    #[serde(default)]
    pub address: SmolStr,
    /// Start of the holder's process, so that a later process on the VM isn't taken for it.
    pub process: u64,
    /// Fencing token.
    pub fence: u64,
    /// Number of the write within the term.
    pub write: u64,
    /// Whether the holder has given up its term.
    #[serde(default)]
    pub released: bool,
    /// Jobs that haven't begun, by queue; none until the term has read all jobs.
    #[serde(default)]
    pub waiting: Option<Vec<(SmolStr, u64)>>,
    /// Minions that may run something, with their pools.
    #[serde(default)]
    pub minions: Vec<(SmolStr, SmolStr)>,
}

/// Progress of a wave of upkeep.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRow {
    /// VMs whose upkeep has begun.
    pub done: Vec<SmolStr>,
    /// Whether all have had it.
    pub completed: bool,
    /// Time at which the wave was first seen, in Unix milliseconds; 0 if that isn't known.
    #[serde(default)]
    pub seen_unix_ms: u64,
}

/// A key of the inbox.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobsTableKey {
    /// A job.
    Job(JobId),
    /// A request to cancel a job.
    Cancel(JobId),
}

impl JobsTableKey {
    /// Reads a key.
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

/// Writes a row's value.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_else(|error| {
        log::error!("a row can't be written: {error}");
        Vec::new()
    })
}

/// Reads a row's value.
pub fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Option<T> {
    let decoded = serde_json::from_slice(value);
    decoded
        .map_err(|error| events::record(&events::ROW_UNREADABLE, &[&"own", &key, &error]))
        .ok()
}
