//! Messages between entry VMs and the one among them that schedules.

use http::StatusCode;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snipevane_adapter::{Method, Request};
use snipevane_core::candidates::VmCapacity;
use snipevane_core::jobs::{AdmissionSnapshot, JobId, JobSpec, JobState};
use snipevane_core::senders::{SenderOffer, TermGrant};

use crate::senders::messages::STARTS_PATH;

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
    /// Offer to send start orders; `None` if the sender is stopping or of a version that can't.
    #[serde(default)]
    pub offer: Option<SenderOffer>,
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
    /// Grant to send start orders; `None` if no orders may be sent at present, or if the scheduler's version
    /// uses no senders.
    #[serde(default)]
    pub grant: Option<TermGrant>,
    /// Committed work of loaded pools; `None` while it isn't known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub admission: Option<AdmissionReport>,
}

/// Committed work of loaded pools, with the time at which it was summed up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmissionReport {
    /// Committed work.
    pub snapshot: AdmissionSnapshot,
    /// Time from the arrival of the request for the heartbeat until the snapshot was taken, in milliseconds;
    /// negative if it was taken before.
    pub taken_after_ms: i64,
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
    /// Whether the sender understands [`Outcome::Rejected`].
    #[serde(default)]
    pub accepts_rejected: bool,
    /// Whether the sender understands [`Outcome::Cancelled`](crate::caller::Outcome::Cancelled).
    #[serde(default)]
    pub accepts_cancelled: bool,
    /// Whether the sender understands [`Outcome::Unheld`](crate::caller::Outcome::Unheld).
    #[serde(default)]
    pub accepts_unheld: bool,
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
    /// Whether the job was submitted to the scheduler's process lately, so that it may be stored or may still
    /// be; `None` if the process doesn't tell.
    #[serde(default)]
    pub may_be_stored: Option<bool>,
    /// Whether a submission waits at the scheduler, is being written or may have been written.
    #[serde(default)]
    pub in_doubt: bool,
}

/// Returns the kind of the messages with a path, for metrics.
pub(super) fn message_kind(path: &str) -> &'static str {
    match path {
        WATCH_PATH => "heartbeat",
        ACCEPT_PATH => "submission",
        STATE_PATH => "state",
        STARTS_PATH => "start_batch",
        _ => "relay",
    }
}

/// Builds a POST request that carries a message to another entry VM.
pub(crate) fn post_request<T: Serialize>(path: &'static str, message: &T) -> Request {
    Request {
        kind: message_kind(path),
        method: Method::Post,
        path: path.to_owned(),
        headers: Vec::new(),
        body: crate::rows::encode(message),
    }
}
