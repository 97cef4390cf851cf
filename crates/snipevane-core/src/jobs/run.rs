//! Runs of tasks on minions.

use std::time::Duration;

use slotmap::new_key_type;
use smol_str::SmolStr;

use crate::placement::Resources;

use super::id::TaskId;
use super::job::{JobKey, TaskRef};
use super::minion::MinionKey;
use super::queue::StepRef;

new_key_type! {
    /// Key of a run.
    pub struct RunKey;
}

/// How far a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// The order to start is under way.
    Starting,
    /// The minion has confirmed the start.
    Running,
    /// The run must end; the order to stop is under way.
    Stopping,
    /// The minion has confirmed the order to stop.
    StopConfirmed,
}

/// One attempt of a task on a minion, from its order until its end is known.
#[derive(Clone, Debug)]
pub struct Run {
    /// Job.
    pub job: JobKey,
    /// Place of the task in its job.
    pub task_ref: TaskRef,
    /// Identifier of the task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Minion.
    pub minion: MinionKey,
    /// Capacity that is booked for it.
    pub allocated: Resources,
    /// What it takes of the team's limit.
    pub size: Resources,
    /// Phase.
    pub phase: RunPhase,
    /// Time of the minion's answer that led to this phase, or of the order.
    pub since: Duration,
    /// Copies of the order that were sent.
    pub starts_sent: u32,
    /// Time before which no order is repeated.
    pub retry_at: Duration,
    /// Whether an order is under way.
    pub in_flight: bool,
    /// Progress that the order to start carried.
    pub checkpoint: SmolStr,
    /// Permission of the advisor that the order to start carries.
    pub permit: SmolStr,
    /// Share of the work that is done, in percent, as last listed.
    pub progress_percent: u32,
    /// Time that it takes on a sound minion, as far as is known.
    pub expected_duration: Duration,
    /// Tail of response times in milliseconds for a task with a target, else processor time in
    /// use, as last listed.
    pub load: f64,
    /// Share at which it was last told to work, in percent.
    pub cpu_share: u32,
    /// Whether an order to work at a share is under way.
    pub cpu_share_in_flight: bool,
}

impl Run {
    /// Returns the step that it belongs to.
    pub(super) fn step(&self) -> StepRef {
        StepRef {
            job: self.job,
            occurrence: self.task_ref.occurrence,
            step: self.task_ref.step,
        }
    }
}

/// Reason for which a minion refuses an order to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A higher fencing token was seen.
    Fenced,
    /// The attempt, or a later one, has ended there.
    Outdated,
    /// The lease that came with the order is over.
    LeaseExpired,
    /// The capacity doesn't suffice.
    InsufficientCapacity,
    /// The advisor's permission is missing or has expired.
    NoPermit,
    /// The minion is unhealthy and has done nothing.
    Unhealthy,
    /// The minion can't read the order.
    Invalid,
    /// Another incarnation answers at the address.
    WrongIncarnation,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// It was carried out; with the minion's clock, in milliseconds.
    Done {
        /// The minion's clock, in milliseconds.
        clock_ms: Option<u64>,
    },
    /// It was refused.
    Refused(Refusal),
    /// No answer came; it may be carried out later.
    NoAnswer,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The work is done.
    Done,
    /// The run failed.
    Failed,
    /// It was stopped by order.
    Stopped,
    /// Its lease was over.
    LeaseExpired,
    /// Another member of its gang ended.
    GangMemberEnded,
    /// The other members of its gang didn't come in time.
    GangIncomplete,
}

/// A run that a minion lists as active.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveRun {
    /// Task.
    pub task: TaskId,
    /// Attempt.
    pub attempt: u32,
    /// Last saved progress; empty if none.
    pub checkpoint: SmolStr,
    /// Share of the work that is done, in percent; 100 if a lasting task is at work.
    pub progress_percent: u32,
    /// Tail of response times in milliseconds for a task with a bound of it, else processor time
    /// in use.
    pub load: f64,
}

/// An end that a minion lists.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedRun {
    /// Number of the end in this incarnation, from 1.
    pub number: u64,
    /// Task.
    pub task: TaskId,
    /// Attempt.
    pub attempt: u32,
    /// How it ended.
    pub end: RunEnd,
    /// Last saved progress; empty if none.
    pub checkpoint: SmolStr,
}

/// A minion's list of its runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunList {
    /// Start of the incarnation, in Unix milliseconds.
    pub started_unix_ms: u64,
    /// The minion's clock, in milliseconds.
    pub clock_ms: u64,
    /// Active runs.
    pub active: Vec<ActiveRun>,
    /// Ends that were not acknowledged yet, ascending.
    pub ended: Vec<EndedRun>,
}

/// What came of a hold.
#[derive(Clone, Debug, PartialEq)]
pub enum HoldReply {
    /// The minion listed its runs.
    Listed(RunList),
    /// It refused.
    Refused(Refusal),
    /// No answer came.
    NoAnswer,
}
