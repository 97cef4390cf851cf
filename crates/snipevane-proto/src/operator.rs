//! Messages of the operator listener.

pub use crate::generated::operator::{
    Applied, ApplyRequest, Config, DroppedEvents, Event, Events, GiveKey, GivenKey, KeyInfo,
    OperateRequest, Operated, PeerStatus, PoolStatus, PoolVm, Problem, ProblemFinding, ProcessId,
    ServerStatus, Status, TeamStatus, Timeline, Withdrawal,
};

/// Media type of error responses.
pub const PROBLEM_JSON: &str = "application/problem+json";
