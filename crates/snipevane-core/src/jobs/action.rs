//! Orders that the scheduler wants sent to minions.

use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;

use super::advice::AdviceRequest;
use super::id::TaskId;
use super::minion::MinionKey;
use super::run::RunKey;

/// Where an order goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recipient {
    /// Key of the minion.
    pub minion: MinionKey,
    /// Identifier that must answer.
    pub id: SmolStr,
    /// Address with port.
    pub address: SmolStr,
    /// Fencing token of the scheduler's term.
    pub fence: u64,
}

/// An order to start a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// Minion.
    pub to: Recipient,
    /// Run.
    pub run: RunKey,
    /// Task.
    pub task: TaskId,
    /// Attempt.
    pub attempt: u32,
    /// Text of the job.
    pub payload: Rc<str>,
    /// End of the lease on the minion's clock, in milliseconds.
    pub lease_end_ms: u64,
    /// Progress to resume from; empty for none.
    pub checkpoint: SmolStr,
    /// Permission of the advisor; empty for none.
    pub permit: SmolStr,
}

/// An order to stop a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// Minion.
    pub to: Recipient,
    /// Run.
    pub run: RunKey,
    /// Task.
    pub task: TaskId,
    /// Attempt.
    pub attempt: u32,
}

/// An order to let a task that fills work at a share of its processors.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceOrder {
    /// Minion.
    pub to: Recipient,
    /// Run.
    pub run: RunKey,
    /// Task.
    pub task: TaskId,
    /// Attempt.
    pub attempt: u32,
    /// Share, in percent.
    pub percent: u32,
}

/// A request for a minion's list of runs, which extends the leases there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldOrder {
    /// Minion.
    pub to: Recipient,
    /// End of the leases on the minion's clock, in milliseconds; none if the clock is unknown.
    pub lease_end_ms: Option<u64>,
    /// Ends up to this number may be forgotten.
    pub ack: u64,
    /// Longest time that the minion waits for an end.
    pub wait: Duration,
}

/// An order to a minion, or a question for the advisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a task.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// List the runs.
    Hold(HoldOrder),
    /// Work at a share.
    Pace(PaceOrder),
    /// Ask the advisor which minions may run a step.
    Ask(AdviceRequest),
}
