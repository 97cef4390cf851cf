//! Actions that the scheduler decides on: orders to minions and requests to the advisor.
//!
//! An order is a request to a minion that carries the fencing token of the scheduler's term. A
//! minion refuses orders whose token is lower than one that it has seen.

use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;

use super::model::id::TaskId;
use super::model::keys::{MinionKey, RunKey};
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

/// Acknowledgement of the ends of one incarnation of a minion.
///
/// The next incarnation would forget its own ends with the same sequence numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Acknowledgement {
    /// Sequence number up to which the minion may forget ends; 0 for none.
    pub last_end: u64,
    /// Time before which the connection must have been opened that carries it, so that it leads to no later
    /// incarnation, as a connection doesn't outlive its process; `None` if any connection may.
    pub connected_before: Option<Duration>,
}

impl Acknowledgement {
    /// Returns the sequence number to acknowledge on a connection that was opened at `opened_at`; 0 for none.
    pub fn on_connection(&self, opened_at: Duration) -> u64 {
        let may_be_later = self.connected_before.is_some_and(|at| opened_at >= at);
        if may_be_later { 0 } else { self.last_end }
    }
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
    /// Ends that the minion may forget.
    pub ack: Acknowledgement,
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
