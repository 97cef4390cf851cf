//! Messages between entry VMs and the one among them that schedules.

use http::StatusCode;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snipevane_adapter::{Method, Request};
use snipevane_core::candidates::VmCapacity;
use snipevane_core::jobs::{JobId, JobSpec, JobState};

/// Path of [`WatchRequest`].
pub(super) const WATCH_PATH: &str = "/scheduler/watch";

/// Path of [`SubmitRequest`].
pub(super) const ACCEPT_PATH: &str = "/scheduler/accept";

/// Path of [`StateRequest`].
pub(super) const STATE_PATH: &str = "/scheduler/state";

/// Status returned by an entry VM that doesn't hold the scheduler's term.
pub(super) const NOT_SCHEDULING: StatusCode = StatusCode::CONFLICT;

/// Status returned by a relay that already passes on a response of the same kind. It isn't one with which
/// the store refuses calls, so that the sender doesn't take the store for unreachable.
pub(super) const RELAY_BUSY: StatusCode = StatusCode::CONFLICT;

/// Requests a [`Heartbeat`], which is sent once the scheduler's row has a version other than
/// `known`, or a wait has expired.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Version of the scheduler's row that the sender knows.
    pub known: u64,
    /// Name of the sender's VM.
    #[serde(default)]
    pub vm: SmolStr,
    /// Capacity of the sender's VM; `None` if the sender can't take over the term at present.
    #[serde(default)]
    pub capacity: Option<VmCapacity>,
}

/// State of the scheduler's term, as last stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Version of the scheduler's row.
    pub version: u64,
    /// Time for which the row asks observers to wait, in milliseconds; `None` if it asks for none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub observer_wait_ms: Option<u64>,
    /// Number of jobs that haven't started, by queue; `None` until this term has loaded all jobs.
    pub waiting: Option<Vec<(SmolStr, u64)>>,
    /// Version of the configuration in force at the scheduler.
    pub config_version: u64,
    /// Time since the store last confirmed that version, in milliseconds; `None` if it never did.
    pub config_age_ms: Option<u64>,
    /// Capacity of the largest VM, apart from the scheduler's, that can take over the term; `None` if
    /// there is none.
    #[serde(default)]
    pub largest_candidate: Option<VmCapacity>,
}

/// Requests that the scheduler store and run a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SubmitRequest {
    /// Identifier of the job.
    pub id: JobId,
    /// Specification of the job.
    pub spec: JobSpec,
    /// Whether the sender knows the outcome [`Outcome::Busy`](crate::caller::Outcome::Busy).
    #[serde(default)]
    pub accepts_busy: bool,
}

/// Requests the state of a job.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct StateRequest {
    /// Identifier of the job.
    pub id: JobId,
}

/// Response to a [`StateRequest`]: the state of a job as shown to callers.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct StateResponse {
    /// State; `None` if the scheduler doesn't know the job.
    pub state: Option<JobState>,
}

/// Returns the kind of the messages with a path, for metrics.
pub(super) fn message_kind(path: &str) -> &'static str {
    match path {
        WATCH_PATH => "heartbeat",
        ACCEPT_PATH => "submission",
        STATE_PATH => "state",
        _ => "relay",
    }
}

/// Builds a POST request that carries a message to another entry VM.
pub(super) fn post_request<T: Serialize>(path: &'static str, message: &T) -> Request {
    Request {
        kind: message_kind(path),
        method: Method::Post,
        path: path.to_owned(),
        headers: Vec::new(),
        body: crate::rows::encode(message),
    }
}
