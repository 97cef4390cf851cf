//! Pool membership of VMs: rows, drains, moves between pools and availability budgets.
//!
//! A VM's row names its pool, so a VM belongs to exactly one pool at any time. A row is changed
//! only by a compare-and-set that also checks the version of the pool's row, which makes the writes
//! of a former coordinator fail.

mod budget;
mod coordinator;
mod member;
mod moves;
mod pool_row;
mod refusal;
mod step;
mod unix_ms;
mod vm_row;

pub use budget::{Budget, BudgetViolation, Place, RackId, ServiceBudget};
pub use coordinator::{PoolCoordinator, PoolSettings};
pub use member::{PoolAction, VmEvent, VmWrite, WriteOutcome};
pub use moves::{Move, MovePlanner, MoveSettings, PoolLoad};
pub use pool_row::{Epoch, Fence, PoolRow, RowVersion};
pub use refusal::OperationError;
pub use step::{Step, StepError};
pub use unix_ms::UnixMs;
pub use vm_row::{Operation, OperationId, OperationKind, VmRow, VmState};
