//! A VM as its pool's coordinator sees it, and what the coordinator asks for.

use std::collections::VecDeque;

use super::{Fence, OperationId, Place, RowVersion, Step, StepError, VmRow};
use crate::ids::VmKey;

/// A conditional write of a VM's row.
///
/// It takes effect only if the row has version `expected` and the pool's row the fence's version,
/// both checked in one transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmWrite {
    /// Version that the pool's row must have.
    pub fence: Fence,
    /// VM.
    pub vm: VmKey,
    /// Version that the VM's row must have.
    pub expected: RowVersion,
    /// New row.
    pub row: VmRow,
}

/// What became of a [`VmWrite`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect; the row has this version now.
    Written(RowVersion),
    /// The VM's row had another version.
    Conflict,
    /// The pool's row had another version: another process coordinates the pool.
    FenceLost,
    /// No answer came, so that the write may have taken effect or may still do.
    Unknown,
}

/// What is seen of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmEvent {
    /// It has no work in flight and takes none.
    Drained,
    /// It is up after a reboot.
    Booted,
    /// It is down without having been asked to.
    Failed,
    /// It may be rebooted after a failure.
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

/// What the coordinator asks its driver to do. Each action may be repeated without harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolAction {
    /// Writes a row and reports the outcome.
    Write(VmWrite),
    /// Reads a row and reports it.
    Read(VmKey),
    /// Sends no new work to a VM and watches for its last work to end.
    StopNewWork(VmKey),
    /// Sends new work to a VM again.
    ResumeWork(VmKey),
    /// Reboots a VM, once for each operation.
    Reboot(VmKey),
    /// Reports that an operation on a VM ended early.
    Abandoned {
        /// VM.
        vm: VmKey,
        /// Operation that ended.
        operation: OperationId,
        /// Why; `None` if it gave way to the availability budget.
        reason: Option<StepError>,
    },
}

/// A VM of the pool: the row as last read or written, and the write under way.
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

    /// Returns the row as it will be once the write under way has taken effect.
    pub(super) fn latest(&self) -> VmRow {
        self.pending.map_or(self.row, |(_, row)| row)
    }

    /// Returns whether the VM certainly takes new work, whatever became of the write under way.
    pub(super) fn is_available(&self) -> bool {
        self.row.is_available() && self.latest().is_available() && self.queued.is_empty()
    }
}
