//! Runs of tasks on minions, and the replies in which minions report on them.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::placement::Resources;

use super::id::TaskId;
use super::keys::{JobKey, MinionKey, StepRef, TaskRef};
use crate::jobs::ending::crash_finding::StartDoubt;
use crate::jobs::event::StopReason;
use crate::jobs::running::transmissions::Transmissions;

/// Phase of a run's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// The start order is to be sent, or its reply is outstanding.
    Starting,
    /// The minion has confirmed the start.
    Running,
    /// The run must end; the stop order is to be sent, or its reply is outstanding.
    Stopping,
    /// The minion has confirmed the stop order; it has yet to report the end of the run.
    StopConfirmed,
}

/// One attempt of a task on a minion, from its placement until its end is known.
#[derive(Clone, Debug)]
pub struct Run {
    /// Job that the task belongs to.
    pub job: JobKey,
    /// Position of the task within its job.
    pub task_ref: TaskRef,
    /// Identifier of the task.
    pub task: TaskId,
    /// Attempt number.
    pub attempt: u32,
    /// Minion that executes the run.
    pub minion: MinionKey,
    /// Capacity of the minion that is allocated to the run.
    pub allocated: Resources,
    /// Resources that count against the quota of the team.
    pub size: Resources,
    /// Current phase.
    pub phase: RunPhase,
    /// Time of the minion's reply that last changed the phase; the time of the placement before.
    pub since: Duration,
    /// Number of times that the start order was sent.
    pub starts_sent: u32,
    /// Time at which the start order was first sent, or the run was adopted.
    pub first_sent_at: Option<Duration>,
    /// Start of the incarnation of the minion that was known when the start order was last sent, in Unix
    /// milliseconds.
    pub sent_to: Option<u64>,
    /// Time at which the start order was last sent.
    pub last_start_at: Option<Duration>,
    /// Time at which the minion first confirmed that the run has begun, by its reply or its list.
    pub began_at: Option<Duration>,
    /// Whether minions had crashed under the task when the run was placed, so that its minion is watched.
    pub on_trial: bool,
    /// Whether its start order may be sent again before its timeout. A suspect might crash the next incarnation of its
    /// minion too.
    pub may_repeat_start: bool,
    /// Time since which its start order waits for a sign of life of the minion.
    pub asked_at: Option<Duration>,
    /// Whether its last start order wasn't answered, though the minion had been heard of right before, and the minion
    /// hasn't been heard of since.
    pub unanswered: bool,
    /// What was known as its start order without an answer was last judged.
    pub doubt: Option<StartDoubt>,
    /// Time before which no order for the run is sent again.
    pub retry_at: Duration,
    /// Number of times that the start order got no reply until its timeout.
    pub unanswered_starts: u32,
    /// Transmissions of its start or stop order.
    pub transmissions: Transmissions,
    /// Checkpoint that the start order carries; empty if there is none.
    pub checkpoint: SmolStr,
    /// Permit of the advisor that the start order carries; empty if none is needed.
    pub permit: SmolStr,
    /// Progress in percent, as last reported by the minion.
    pub progress_percent: u32,
    /// Expected duration on a healthy minion, from estimates and earlier runs.
    pub expected_duration: Duration,
    /// Load as last reported by the minion: the tail latency in milliseconds for a task with a
    /// tail latency target, otherwise the CPU time in use.
    pub load: f64,
    /// CPU share that the minion last confirmed for the run, in percent.
    pub cpu_share: u32,
    /// Whether the reply to an order that sets the CPU share is outstanding.
    pub cpu_share_in_flight: bool,
    /// Time since which the CPU share is known to be in force. That of an adopted run isn't known, as
    /// run lists don't contain it.
    pub cpu_share_since: Option<Duration>,
    /// Time since which the CPU share is less than half, if it is.
    pub throttled_since: Option<Duration>,
    /// Reason of the stop order, until the order is first sent.
    pub unsent_stop: Option<StopReason>,
}

impl Run {
    /// Returns the step that the run belongs to.
    pub(in crate::jobs) fn step(&self) -> StepRef {
        StepRef {
            job: self.job,
            occurrence: self.task_ref.occurrence,
            step: self.task_ref.step,
        }
    }

    /// Returns whether the scheduler has decided that the run must end.
    pub(in crate::jobs) fn is_ordered_to_stop(&self) -> bool {
        matches!(self.phase, RunPhase::Stopping | RunPhase::StopConfirmed)
    }
}

/// Reason for which a minion refuses an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The minion has seen a higher fencing token.
    Fenced,
    /// The attempt, or a later one of the same task, has already ended on the minion.
    Outdated,
    /// The lease that came with the order has expired.
    LeaseExpired,
    /// The minion has too little free capacity.
    InsufficientCapacity,
    /// The advisor's permit is missing or has expired.
    NoPermit,
    /// The minion is unhealthy and has not carried out the order.
    Unhealthy,
    /// The minion can't parse the order.
    Invalid,
    /// Another incarnation than the addressed one answers at the address.
    WrongIncarnation,
}

/// Reply to an order that starts or changes a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderReply {
    /// The order was carried out.
    Done {
        /// Reading of the minion's clock in milliseconds, if the reply contains one.
        clock_ms: Option<u64>,
    },
    /// The minion refused the order.
    Refused(Refusal),
    /// No reply arrived, or one that doesn't tell whether the order was refused. The order may
    /// still be carried out later.
    NoAnswer,
    /// The order wasn't sent, as no connection could be opened.
    NotSent,
}

impl OrderReply {
    /// Returns whether the minion has replied.
    pub fn is_reply(self) -> bool {
        !matches!(self, Self::NoAnswer | Self::NotSent)
    }
}

/// How a run ended, as reported by the minion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The task completed.
    Done,
    /// The run failed.
    Failed,
    /// A stop order ended the run.
    Stopped,
    /// The lease expired.
    LeaseExpired,
    /// Another member of the gang ended.
    GangMemberEnded,
    /// The other members of the gang didn't start in time.
    GangIncomplete,
}

/// Active run in a minion's run list.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveRun {
    /// Task that runs.
    pub task: TaskId,
    /// Attempt number.
    pub attempt: u32,
    /// Last saved checkpoint; empty if there is none.
    pub checkpoint: SmolStr,
    /// Progress in percent; 100 if a long-running task is ready.
    pub progress_percent: u32,
    /// Tail latency in milliseconds for a task with a tail latency target, otherwise the CPU time
    /// in use.
    pub load: f64,
}

/// Ended run in a minion's run list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedRun {
    /// Sequence number of the end in this incarnation of the minion, from 1.
    pub number: u64,
    /// Task that ran.
    pub task: TaskId,
    /// Attempt number.
    pub attempt: u32,
    /// How the run ended.
    pub end: RunEnd,
    /// Last saved checkpoint; empty if there is none.
    pub checkpoint: SmolStr,
}

/// Run list: a minion's report of its active runs and of the ends to acknowledge.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunList {
    /// Time at which this incarnation of the minion started, in Unix milliseconds.
    pub started_unix_ms: u64,
    /// Reading of the minion's clock, in milliseconds.
    pub clock_ms: u64,
    /// Runs that are active.
    pub active: Vec<ActiveRun>,
    /// Ends that the scheduler hasn't acknowledged, by ascending sequence number.
    pub ended: Vec<EndedRun>,
}

/// Reply to a hold.
#[derive(Clone, Debug, PartialEq)]
pub enum HoldReply {
    /// The minion reported its runs.
    Listed(RunList),
    /// The minion refused the hold.
    Refused(Refusal),
    /// No reply arrived.
    NoAnswer,
}
