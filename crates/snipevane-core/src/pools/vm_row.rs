//! The row of a VM: its pool, its state, and the operation that holds it.

use super::{Epoch, UnixMs};
use crate::ids::PoolKey;

/// State of a VM within its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum VmState {
    /// Takes new work.
    Serving,
    /// Takes no new work and finishes what it has.
    Draining,
    /// Has no work left.
    Empty,
    /// Belongs to its new pool and has not rebooted yet.
    Moving,
    /// Is being rebooted.
    Rebooting,
    /// Is up and takes no work yet.
    Ready,
    /// Is down without having been asked to.
    Failed,
}

/// Identifier of a drain, move or reboot; an operator's retry carries the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub u64);

/// What is done to a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OperationKind {
    /// Empties the VM and leaves it empty until the operation is cancelled.
    Drain,
    /// Empties and reboots the VM.
    Reboot,
    /// Empties the VM, moves it to another pool and reboots it there.
    Move {
        /// Pool that the VM joins.
        to: PoolKey,
    },
}

/// An operation that holds a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Operation {
    /// Identifier.
    pub id: OperationId,
    /// What is done.
    pub kind: OperationKind,
}

/// The row `vm/{id}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmRow {
    /// The one pool that the VM belongs to.
    pub pool: PoolKey,
    /// State within the pool.
    pub state: VmState,
    /// Epoch of the coordinator that wrote the row last; 0 after a change of pool.
    pub epoch: Epoch,
    /// Operation that holds the VM.
    pub operation: Option<Operation>,
    /// Time of the last change of state.
    pub state_since: UnixMs,
    /// Time at which the VM came up last, as far as a reboot was recorded.
    pub booted_at: Option<UnixMs>,
}

impl VmRow {
    /// Creates the row of a VM that serves in a pool.
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

    /// Returns whether the VM joined its pool by a move and has not served there yet.
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
