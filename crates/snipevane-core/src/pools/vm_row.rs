//! Row of a VM, with its pool, its state and the operation that holds it.

use super::{Epoch, UnixMs};
use crate::ids::PoolKey;

/// State of a VM within its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum VmState {
    /// Takes new work.
    Serving,
    /// Takes no new work and finishes what it has.
    Draining,
    /// Is drained and has no work left.
    Empty,
    /// Belongs to its new pool and has not rebooted yet.
    Moving,
    /// Is being rebooted.
    Rebooting,
    /// Is up and takes no work yet.
    Ready,
    /// Is down without a request to do so.
    Failed,
}

/// Identifier of a drain, move or reboot. An operator's retry carries the same identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub u64);

/// Kind of an operation on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OperationKind {
    /// Drains the VM and keeps it drained until the operation is cancelled.
    Drain,
    /// Drains and reboots the VM.
    Reboot,
    /// Drains the VM, moves it to another pool and reboots it there.
    Move {
        /// Pool that the VM joins.
        to: PoolKey,
    },
}

/// Operation that holds a VM, so that no other one can start on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Operation {
    /// Identifier of the operation.
    pub id: OperationId,
    /// Kind of the operation.
    pub kind: OperationKind,
}

/// Row `vm/{id}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmRow {
    /// The one pool that the VM belongs to.
    pub pool: PoolKey,
    /// State of the VM within the pool.
    pub state: VmState,
    /// Epoch of the coordinator that last wrote the row, or 0 after a change of pool.
    pub epoch: Epoch,
    /// Operation that holds the VM, if any.
    pub operation: Option<Operation>,
    /// Time of the last change of the state.
    pub state_since: UnixMs,
    /// Time at which the VM last came up, or `None` if no reboot was recorded.
    pub booted_at: Option<UnixMs>,
}

impl VmRow {
    /// Creates the row of a VM that takes new work in a pool.
    pub fn serving(pool: PoolKey, now: UnixMs) -> Self {
        Self {
            pool,
            state: VmState::Serving,
            epoch: Epoch(0),
            operation: None,
            state_since: now,
            booted_at: None,
        }
    }

    /// Returns whether the VM takes new work.
    pub fn is_available(&self) -> bool {
        self.state == VmState::Serving
    }

    /// Returns whether the VM joined its pool by a move and hasn't taken work there yet.
    ///
    /// Such a VM doesn't count towards the size of its pool.
    pub fn is_arriving(&self) -> bool {
        let moved = matches!(
            self.operation,
            Some(Operation {
                kind: OperationKind::Move { to },
                ..
            }) if to == self.pool
        );
        moved
            && matches!(
                self.state,
                VmState::Moving | VmState::Rebooting | VmState::Ready | VmState::Failed
            )
    }
}
