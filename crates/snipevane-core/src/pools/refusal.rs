//! Reasons for refusing a drain, move or reboot.

use std::time::Duration;

use thiserror::Error;

use super::{BudgetViolation, Fence, StepError};
use crate::ids::VmKey;

/// Reason for which a drain, move or reboot was refused without being started on any VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OperationError {
    /// The pool has no such VM.
    #[error("the pool has no such VM")]
    UnknownVm(VmKey),
    /// The operation names no VM.
    #[error("the operation names no VM")]
    NoVms,
    /// The VM's row doesn't allow the operation.
    #[error("{reason}")]
    Vm {
        /// VM whose row doesn't allow it.
        vm: VmKey,
        /// Why its row doesn't allow the operation.
        reason: StepError,
    },
    /// The operation would exceed a service's availability budget.
    #[error(
        "{} VMs are unavailable and at most {} may be; the operation would exceed the budget by {}",
        .violation.unavailable, .violation.max_unavailable, .violation.excess
    )]
    Budget {
        /// Service, and by how many VMs its budget would be exceeded.
        violation: BudgetViolation,
        /// Estimated time until the operation could start; `None` unless enough operations that
        /// end by themselves are in progress.
        retry_after: Option<Duration>,
    },
    /// The pool would fall below its minimum size.
    #[error("the pool would keep {left} VMs, fewer than its minimum of {min_vms}")]
    PoolTooSmall {
        /// VMs that would be left in the pool.
        left: u32,
        /// Smallest number of VMs that the pool keeps.
        min_vms: u32,
    },
    /// The target of the move is the VM's own pool.
    #[error("the VM is already in that pool")]
    SamePool,
    /// Another process coordinates the pool now.
    #[error("another process coordinates the pool now")]
    NotCoordinator(Fence),
}
