//! The coordinator's record of a VM, and the events, actions and writes that concern it.

use std::collections::VecDeque;

use super::{Fence, OperationId, Place, RowVersion, Step, StepError, VmRow};
use crate::ids::VmKey;

/// A conditional write of a VM's row.
///
/// It takes effect only if the VM's row has version `expected` and the pool's row has the fence's
/// version. Both are checked in one transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmWrite {
    /// Fence of the coordinator, with the version that the pool's row must have.
    pub fence: Fence,
    /// VM whose row is written.
    pub vm: VmKey,
    /// Version that the VM's row must have.
    pub expected: RowVersion,
    /// New row.
    pub row: VmRow,
}

/// Outcome of a [`VmWrite`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect, and the row now has this version.
    Written(RowVersion),
    /// The VM's row had a different version.
    Conflict,
    /// The pool's row had a different version, so another process coordinates the pool.
    FenceLost,
    /// No reply came: the write may have taken effect or may still do so.
    Unknown,
}

/// Event that the driver observed on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmEvent {
    /// The VM has no work in flight and takes none.
    Drained,
    /// The VM is up after a reboot.
    Booted,
    /// The VM went down without a request to do so.
    Failed,
    /// The VM may be rebooted after a failure.
    Repaired,
}

impl VmEvent {
    pub(super) fn step(self) -> Step {
        match self {
            Self::Drained => Step::Drained,
            Self::Booted => Step::Booted,
            Self::Failed => Step::Failed,
            Self::Repaired => Step::Repaired,
        }
    }
}

/// Action that the coordinator requests from its driver. Each action is idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolAction {
    /// Writes a VM's row and reports the outcome to the coordinator.
    Write(VmWrite),
    /// Reads a VM's row and reports it to the coordinator.
    Read(VmKey),
    /// Stops sending new work to a VM and waits for its last work to end.
    StopNewWork(VmKey),
    /// Resumes sending new work to a VM.
    ResumeWork(VmKey),
    /// Reboots a VM, once per operation.
    Reboot(VmKey),
    /// Reports that an operation on a VM was abandoned before it completed.
    Abandoned {
        /// VM on which it was abandoned.
        vm: VmKey,
        /// Operation that was abandoned.
        operation: OperationId,
        /// Why it was abandoned; `None` if it was cancelled to restore the availability budget.
        reason: Option<StepError>,
    },
}

/// VM of the pool, with its row as last read or written, the write in flight and the steps queued
/// behind that write.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) place: Place,
    pub(super) row: VmRow,
    pub(super) version: RowVersion,
    pub(super) pending: Option<(Step, VmRow)>,
    pub(super) queued: VecDeque<Step>,
}

impl Member {
    pub(super) fn new(place: Place, version: RowVersion, row: VmRow) -> Self {
        Self {
            place,
            row,
            version,
            pending: None,
            queued: VecDeque::new(),
        }
    }

    /// Returns the row as it will be once the write in flight has taken effect.
    pub(super) fn latest(&self) -> VmRow {
        self.pending.map_or(self.row, |(_, row)| row)
    }

    /// Returns whether the VM takes new work both before and after the write in flight, and no step
    /// is queued.
    pub(super) fn is_available(&self) -> bool {
        self.row.is_available() && self.latest().is_available() && self.queued.is_empty()
    }
}
