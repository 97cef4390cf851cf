//! Messages between entry VMs and the one that schedules.

use http::StatusCode;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snipevane_adapter::{Method, Request};
use snipevane_core::jobs::{JobId, JobSpec, JobState};

/// Path of [`WatchRequest`].
pub(super) const WATCH_PATH: &str = "/scheduler/watch";

/// Path of [`SubmitRequest`].
pub(super) const ACCEPT_PATH: &str = "/scheduler/accept";

/// Path of [`StateRequest`].
pub(super) const STATE_PATH: &str = "/scheduler/state";

/// Status with which an entry VM says that it doesn't schedule.
pub(super) const NOT_SCHEDULING: StatusCode = StatusCode::CONFLICT;

/// Asks for a [`Heartbeat`], once the scheduler's row has another version or a while has passed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Version that is known.
    pub known: u64,
}

/// What the scheduler says of its term, as last stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Version of the scheduler's row.
    pub version: u64,
    /// Jobs that haven't begun, by queue; none until the term has read all jobs.
    pub waiting: Option<Vec<(SmolStr, u64)>>,
    /// Version of the configuration in force at the scheduler.
    pub config_version: u64,
    /// Time since the store confirmed that version, in milliseconds; none if it didn't.
    pub config_age_ms: Option<u64>,
}

/// Asks the scheduler to store and run a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SubmitRequest {
    /// Identifier.
    pub id: JobId,
    /// Job.
    pub spec: JobSpec,
}

/// Asks for the state of a job.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct StateRequest {
    /// Identifier.
    pub id: JobId,
}

/// State of a job as callers may see it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct StateResponse {
    /// State; none if the scheduler doesn't know the job.
    pub state: Option<JobState>,
}

/// Writes a message to another entry VM.
pub(super) fn post_request<T: Serialize>(path: &str, message: &T) -> Request {
    Request {
        method: Method::Post,
        path: path.to_owned(),
        headers: Vec::new(),
        body: crate::rows::encode(message),
    }
}
