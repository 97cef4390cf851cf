//! Why a drain, move or reboot is refused.

use std::time::Duration;

use thiserror::Error;

use super::{BudgetViolation, Fence, StepError};
use crate::ids::VmKey;

/// Why a drain, move or reboot is refused; nothing of it was started.
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
        /// VM.
        vm: VmKey,
        /// Why its row doesn't allow the operation.
        reason: StepError,
    },
    /// A service's availability budget would be broken.
    #[error(
        "{} VMs are out of service and {} may be: {} too many",
        .violation.unavailable, .violation.max_unavailable, .violation.excess
    )]
    Budget {
        /// Service, and by how much its budget would be passed.
        violation: BudgetViolation,
        /// Time until the operation could go, if only planned work stands in its way.
        retry_after: Option<Duration>,
    },
    /// The pool would fall below its fewest VMs.
    #[error("the pool would keep {left} VMs and needs {min_vms}")]
    PoolTooSmall {
        /// VMs that would be left.
        left: u32,
        /// Fewest VMs that the pool keeps.
        min_vms: u32,
    },
    /// The move would lead to the VM's own pool.
    #[error("the VM is in that pool already")]
    SamePool,
    /// Another process coordinates the pool now.
    #[error("another process coordinates the pool")]
    NotCoordinator(Fence),
}
