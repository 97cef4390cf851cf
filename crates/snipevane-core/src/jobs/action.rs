//! Actions that the scheduler decides on: orders to minions and requests to the advisor.
//!
//! An order is a request to a minion that carries the fencing token of the scheduler's term. A
//! minion refuses orders whose token is lower than one that it has seen.

use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;

use super::minions::minion::MinionKey;
use super::model::id::TaskId;
use super::model::run::RunKey;
use super::placing::advice::AdviceRequest;

/// Minion that an order is addressed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recipient {
    /// Key of the minion in the scheduler.
    pub minion: MinionKey,
    /// Identifier of the minion that must answer at the address.
    pub id: SmolStr,
    /// Network address of the minion, with the port.
    pub address: SmolStr,
    /// Fencing token of the scheduler's term.
    pub fence: u64,
}

/// Order to start a run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// Recipient of the order.
    pub to: Recipient,
    /// Key of the run in the scheduler.
    pub run: RunKey,
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Attempt number.
    pub attempt: u32,
    /// Payload of the job, which is passed to the task.
    pub payload: Rc<str>,
    /// Time on the minion's clock at which the lease expires, in milliseconds.
    pub lease_end_ms: u64,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: SmolStr,
    /// Permit of the advisor; empty if none is needed.
    pub permit: SmolStr,
    /// Number of transmissions of the order, including this one.
    pub transmission: u32,
}

/// Order to stop a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// Recipient of the order.
    pub to: Recipient,
    /// Key of the run in the scheduler.
    pub run: RunKey,
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Attempt number.
    pub attempt: u32,
}

/// Order to limit the run of a best-effort task to a share of its CPUs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CpuShareOrder {
    /// Recipient of the order.
    pub to: Recipient,
    /// Key of the run in the scheduler.
    pub run: RunKey,
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Attempt number.
    pub attempt: u32,
    /// CPU share in percent.
    pub percent: u32,
}

/// Hold: a long poll for a minion's run list, which also renews the lease on its runs and
/// acknowledges ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldOrder {
    /// Recipient of the order.
    pub to: Recipient,
    /// Time on the minion's clock at which the renewed lease expires, in milliseconds; `None` if
    /// the lease isn't renewed or the clock is unknown.
    pub lease_end_ms: Option<u64>,
    /// Sequence number up to which the minion may forget ends.
    pub ack: u64,
    /// Longest time that the minion waits for a run to end before it replies.
    pub wait: Duration,
}

/// Order to a minion, or request to the advisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Starts a run.
    Start(StartOrder),
    /// Stops a run.
    Stop(StopOrder),
    /// Polls a minion for its run list.
    Hold(HoldOrder),
    /// Limits a run to a CPU share.
    SetCpuShare(CpuShareOrder),
    /// Asks the advisor which minions may run a step.
    RequestAdvice(AdviceRequest),
}
