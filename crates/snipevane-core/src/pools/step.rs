//! State transitions of a VM's row, the only way in which an existing row is changed.

use thiserror::Error;

use super::{Epoch, Operation, OperationId, OperationKind, UnixMs, VmRow, VmState};

/// State transition of a VM's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Starts an operation.
    Begin(Operation),
    /// Records that the VM has no work left.
    Drained,
    /// Assigns the VM to the pool that its move leads to.
    Joined,
    /// Records that the VM is being rebooted.
    RebootStarted,
    /// Records that the VM is up after its reboot.
    Booted,
    /// Ends the operation and lets the VM take new work.
    Admitted,
    /// Cancels an operation before the change of pool and the reboot.
    Cancelled(OperationId),
    /// Records that the VM is down.
    Failed,
    /// Starts the reboot of a failed VM.
    Repaired,
}

/// Reason for which a step can't be applied to a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StepError {
    /// Another operation holds the VM.
    #[error("operation {} already holds the VM", .0.0)]
    Held(OperationId),
    /// The VM is down.
    #[error("the VM has failed")]
    Failed,
    /// The operation has already changed the VM's pool or begun its reboot.
    #[error(
        "the operation can't be cancelled: it has already changed the VM's pool or begun its reboot"
    )]
    TooLate,
    /// A later coordinator has written the row.
    #[error("a later coordinator (epoch {}) has written the row", .0.0)]
    StaleEpoch(Epoch),
    /// The step isn't possible in the row's state.
    #[error("a VM in state {0:?} can't take this step")]
    WrongState(VmState),
}

impl VmRow {
    /// Returns the row with a step applied.
    ///
    /// Applying a step twice in a row leaves the state as after the first time, so that a retry is
    /// harmless. Only [`Step::Joined`] fails the second time.
    ///
    /// # Errors
    ///
    /// Returns an error if the row's state or operation doesn't allow the step, or if a later
    /// coordinator has written the row.
    pub fn apply(&self, step: Step, epoch: Epoch, now: UnixMs) -> Result<Self, StepError> {
        if epoch < self.epoch {
            return Err(StepError::StaleEpoch(self.epoch));
        }
        let mut row = match step {
            Step::Begin(operation) => self.begin(operation)?,
            Step::Drained => self.advance(VmState::Draining, VmState::Empty)?,
            Step::Joined => return self.join(now),
            Step::RebootStarted => self.start_reboot()?,
            Step::Booted => self.advance(VmState::Rebooting, VmState::Ready)?,
            Step::Admitted => self.finish_operation(VmState::Ready)?,
            Step::Cancelled(id) => self.cancel(id)?,
            Step::Failed => self.fail(),
            Step::Repaired => self.advance(VmState::Failed, VmState::Rebooting)?,
        };
        if row.state != self.state {
            row.state_since = now;
        }
        if step == Step::Booted && row.state != self.state {
            row.booted_at = Some(now);
        }
        row.epoch = epoch;
        Ok(row)
    }

    fn begin(&self, operation: Operation) -> Result<Self, StepError> {
        if self.state == VmState::Failed {
            return Err(StepError::Failed);
        }
        if let Some(held) = self.operation {
            return if held.id == operation.id {
                Ok(*self)
            } else {
                Err(StepError::Held(held.id))
            };
        }
        if self.state != VmState::Serving {
            return Err(StepError::WrongState(self.state));
        }
        Ok(Self {
            state: VmState::Draining,
            operation: Some(operation),
            ..*self
        })
    }

    fn join(&self, now: UnixMs) -> Result<Self, StepError> {
        let Some(OperationKind::Move { to }) = self.operation.map(|held| held.kind) else {
            return Err(StepError::WrongState(self.state));
        };
        if self.state != VmState::Empty {
            return Err(StepError::WrongState(self.state));
        }
        Ok(Self {
            pool: to,
            state: VmState::Moving,
            // Epochs are numbered per pool, so any epoch of the new pool's coordinator is valid.
            epoch: Epoch(0),
            state_since: now,
            ..*self
        })
    }

    fn start_reboot(&self) -> Result<Self, StepError> {
        let kind = self.operation.map(|held| held.kind);
        match (self.state, kind) {
            (VmState::Moving, _) | (VmState::Empty, Some(OperationKind::Reboot)) => Ok(Self {
                state: VmState::Rebooting,
                ..*self
            }),
            (VmState::Rebooting, _) => Ok(*self),
            (other, _) => Err(StepError::WrongState(other)),
        }
    }

    fn cancel(&self, id: OperationId) -> Result<Self, StepError> {
        match self.operation {
            Some(held) if held.id == id => {}
            Some(held) => return Err(StepError::Held(held.id)),
            None => return Ok(*self),
        }
        match self.state {
            VmState::Draining | VmState::Empty => Ok(self.without_operation(VmState::Serving)),
            _ => Err(StepError::TooLate),
        }
    }

    fn fail(&self) -> Self {
        // A VM that is being moved into a pool keeps its move operation, so that it doesn't count
        // towards the size of the pool yet.
        let operation = if self.is_arriving() {
            self.operation
        } else {
            None
        };
        Self {
            state: VmState::Failed,
            operation,
            ..*self
        }
    }

    fn advance(&self, from: VmState, to: VmState) -> Result<Self, StepError> {
        if self.state == to {
            return Ok(*self);
        }
        if self.state != from {
            return Err(StepError::WrongState(self.state));
        }
        Ok(Self { state: to, ..*self })
    }

    fn finish_operation(&self, from: VmState) -> Result<Self, StepError> {
        if self.state == VmState::Serving {
            return Ok(*self);
        }
        if self.state != from {
            return Err(StepError::WrongState(self.state));
        }
        Ok(self.without_operation(VmState::Serving))
    }

    fn without_operation(&self, state: VmState) -> Self {
        Self {
            state,
            operation: None,
            ..*self
        }
    }
}
