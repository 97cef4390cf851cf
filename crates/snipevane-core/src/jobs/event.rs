//! Events that the scheduler reports for the log.

use std::time::Duration;

use smol_str::SmolStr;

use super::ending::crash_evidence::CrashEvidence;
use super::ending::crash_finding::{CrashFinding, FindingInputs};
use super::model::id::{JobId, StepId, TaskId};
use super::model::run::Refusal;
use super::placing::wait_reason::WaitReason;

/// Reason for which a run counts as lost although no run list reports its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// The lease on an unreachable minion has expired.
    LeaseExpired,
    /// The minion has restarted.
    MinionRestarted,
    /// The minion's run list doesn't contain the run.
    NotListed,
    /// Another incarnation answers at the minion's address, or the VM was taken down.
    IncarnationGone,
    /// The minion doesn't answer, and no VM hosts it.
    NotHosted,
    /// The start order hadn't been sent when the minion's availability zone was evacuated.
    ZoneEvacuated,
    /// The start order hadn't been sent, as the minion gave no sign of life.
    NoSignOfLife,
    /// The minion refused the start order.
    StartRefused(Refusal),
}

/// Reason for which a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The job has ended.
    JobEnded,
    /// Another run of the task has completed.
    Redundant,
    /// The run is a straggler, and starting the task again is faster.
    Straggler,
    /// The minion's availability zone is evacuated, and the start isn't confirmed.
    ZoneEvacuated,
    /// The VM is to be taken down.
    Evicted,
    /// It can't work beside a latency-sensitive task that it disturbs, and another minion has room.
    Interference,
    /// The start wasn't confirmed.
    StartUnconfirmed,
    /// An earlier term started the run, and it is no longer needed.
    Orphaned,
}

/// Order that is sent again before its timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatedOrder {
    /// Order to start an attempt of a task.
    Start(TaskId, u32),
    /// Order to stop an attempt of a task.
    Stop(TaskId, u32),
    /// Hold.
    Hold,
}

/// Event in the scheduler, with the values that it was based on.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerEvent {
    /// A job was enqueued in its pool.
    JobEnqueued {
        /// Job that was enqueued.
        job: JobId,
        /// Pool that the job runs in.
        pool: SmolStr,
        /// Whether an earlier term may have started the job.
        adopted: bool,
        /// Time until the deadline of the job; 0 if it has passed.
        due_in: Duration,
        /// Number of occurrences that are due and haven't begun.
        due_occurrences: u32,
        /// Memory that the job takes, in bytes, about.
        held_bytes: usize,
    },
    /// Tasks of a step were placed.
    TasksPlaced {
        /// Step that the tasks belong to.
        step: StepId,
        /// Number of tasks that were placed.
        tasks: u32,
        /// Number of tasks of the step that are still waiting.
        waiting: u32,
        /// Time since the job was accepted.
        age: Duration,
    },
    /// A speculative run of a task was placed.
    SpeculativeRunPlaced {
        /// Task that is run a second time.
        task: TaskId,
        /// Minion that executes the speculative run.
        minion: SmolStr,
    },
    /// A run failed.
    RunFailed {
        /// Task that the run belongs to.
        task: TaskId,
        /// Attempt number.
        attempt: u32,
        /// Minion that the run was placed on.
        minion: SmolStr,
    },
    /// A run counts as lost.
    RunLost {
        /// Task that the run belongs to.
        task: TaskId,
        /// Attempt number.
        attempt: u32,
        /// Minion that the run was placed on.
        minion: SmolStr,
        /// Reason for which it counts as lost.
        reason: LossReason,
        /// Whether the minion has confirmed that the run had begun.
        began: bool,
        /// Start of the incarnation to which the start order was last sent, in Unix milliseconds; `None` if it
        /// wasn't sent.
        sent_to: Option<u64>,
        /// Start of the incarnation that is known now, in Unix milliseconds.
        incarnation: Option<u64>,
    },
    /// A minion has restarted under its identifier.
    MinionRestarted {
        /// Minion that has restarted.
        minion: SmolStr,
        /// Start of the earlier incarnation, in Unix milliseconds.
        from: u64,
        /// Start of the present incarnation, in Unix milliseconds.
        to: u64,
        /// Number of runs that ended with the earlier incarnation.
        ended: usize,
        /// Number of runs that the present incarnation lists, or may have begun.
        kept: usize,
        /// Time since a call with a lease on the earlier clock was last sent; `None` if none was.
        since_lease: Option<Duration>,
        /// Time until all leases of the present incarnation are over, whichever clock they were given on.
        leases_left: Duration,
    },
    /// A run list was ignored, as it may be of an earlier incarnation of the minion.
    RunListIgnored {
        /// Minion that sent the list.
        minion: SmolStr,
        /// Start of the incarnation that sent the list, in Unix milliseconds.
        listed: u64,
        /// Start of the incarnation that is known, in Unix milliseconds.
        known: u64,
    },
    /// A minion has crashed.
    MinionCrashed {
        /// Minion that has crashed.
        minion: SmolStr,
        /// Number of runs that it had.
        runs: usize,
        /// Job that is the most likely cause, if there is one.
        cause: Option<JobId>,
    },
    /// A job is given up, as one of its tasks crashes minions.
    TaskGivenUp {
        /// Task that crashes minions.
        task: TaskId,
        /// Number of minions that have crashed under it.
        crashes: usize,
        /// Number of minions that were lost with its start orders.
        lost_starts: usize,
        /// Number of these crashes for which its job is the most likely cause.
        attributed: u32,
    },
    /// A long-running task isn't started for a while, as it crashes minions.
    TaskSuspended {
        /// Task that crashes minions.
        task: TaskId,
        /// Number of minions that have crashed under it.
        crashes: usize,
        /// Number of minions that were lost with its start orders.
        lost_starts: usize,
        /// Number of crashes of minions meanwhile that no task explains.
        unexplained: usize,
        /// Time for which it isn't started.
        pause: Duration,
    },
    /// A run is to be stopped.
    RunStopped {
        /// Task that the run belongs to.
        task: TaskId,
        /// Attempt number.
        attempt: u32,
        /// Minion that the run was placed on.
        minion: SmolStr,
        /// Reason for which it is stopped.
        reason: StopReason,
    },
    /// A minion gets no work for a while, as its runs are stragglers.
    MinionSlow {
        /// Minion that is slow.
        minion: SmolStr,
        /// Mean speed of its runs, as a fraction of the expected speed.
        speed: f64,
        /// Median speed of the minions of its pool, as a fraction of the expected speed and at most
        /// 1.
        usual: f64,
    },
    /// A long-running task that was ready is stopped by an order.
    LongRunningTaskStopped {
        /// Task that the run belongs to.
        task: TaskId,
        /// Attempt number.
        attempt: u32,
        /// Minion that the run was placed on.
        minion: SmolStr,
        /// Reason for which it is stopped.
        reason: StopReason,
        /// Number of other tasks of its step that aren't ready or are being stopped.
        unavailable: u32,
        /// Number of tasks of its step that may be unavailable at the same time.
        max_unavailable: u32,
        /// Whether the order isn't allowed by that number. A job that its caller has cancelled has no limit.
        over_budget: bool,
    },
    /// A long-running task whose turn has come has had no run that works for a while.
    LongRunningTaskWaits {
        /// Task that waits.
        task: TaskId,
        /// Pool of its job.
        pool: SmolStr,
        /// Reason for which it waits now.
        reason: WaitReason,
        /// Time for which it has waited in this term.
        waited: Duration,
        /// Time until the reason is over, if that is known.
        left: Option<Duration>,
        /// Number of minions of the pool that take new work.
        minions: usize,
    },
    /// A run is stopped whose task the scheduler doesn't know.
    UnknownRunStopped {
        /// Task that the run belongs to.
        task: TaskId,
        /// Attempt number.
        attempt: u32,
        /// Minion that listed the run.
        minion: SmolStr,
    },
    /// A run that has ended is stopped on the next incarnation of its minion, which may start it late.
    LateStartStopped {
        /// Task that the run belongs to.
        task: TaskId,
        /// Attempt number.
        attempt: u32,
        /// Minion that has restarted.
        minion: SmolStr,
        /// Number of transmissions of the stop order, including this one.
        transmissions: u32,
    },
    /// A crash of a minion counts against one of the tasks that ran on it.
    CrashBlamed {
        /// Task that the crash counts against.
        task: TaskId,
        /// Attempt that ended with the minion.
        attempt: u32,
        /// Time from the start of the attempt until its minion was last heard of; `None` if it wasn't seen to
        /// run.
        at_work: Option<Duration>,
        /// Number of crashes that count against the task, this one included.
        crashes: usize,
        /// Number of start orders of the task with which minions were lost, this one included.
        lost_starts: usize,
        /// Number of crashes of minions since the first of these that no task explains.
        unexplained: usize,
        /// Whether the task's job is the most likely cause.
        attributed: bool,
    },
    /// A minion has crashed with a task aboard that is a suspect.
    CrashWeighed {
        /// The task.
        task: TaskId,
        /// Attempt that ended with the minion.
        attempt: u32,
        /// Identifier of the minion.
        minion: SmolStr,
        /// What the crash is recorded as.
        finding: CrashFinding,
        /// Why.
        inputs: FindingInputs,
    },
    /// A task with which three minions or more were lost is placed again.
    PlacedAfterCrashes {
        /// The task.
        task: TaskId,
        /// Attempt that is placed.
        attempt: u32,
        /// Identifier of the minion.
        minion: SmolStr,
        /// What speaks for and against the task.
        evidence: CrashEvidence,
        /// Number of attempts whose outcome isn't known, as their minions are silent.
        undecided: usize,
        /// Number of pieces of the evidence that earlier terms have recorded.
        of_earlier_terms: usize,
    },
    /// Two images are kept apart from now on, or no longer.
    PairSeparation {
        /// Image of the latency-sensitive tasks.
        latency_sensitive: SmolStr,
        /// Image of the best-effort tasks that disturb them.
        best_effort: SmolStr,
        /// Whether they are kept apart from now on.
        apart: bool,
        /// Estimated amount that a best-effort task at its full CPU share adds to the tail latency,
        /// in milliseconds.
        added_ms: f64,
        /// Target of the tail latency, in milliseconds.
        target_ms: f64,
        /// Probability that the amount exceeds a tenth of the target.
        confidence: f64,
        /// Number of changes that the estimate was learned from.
        changes: u32,
        /// Number of pairs that are kept apart now.
        pairs_apart: usize,
    },
    /// A minion gets no work for a while, as several runs in a row failed there.
    MinionFailing {
        /// Minion that fails runs.
        minion: SmolStr,
        /// Number of failures in a row.
        failures: u32,
    },
    /// Fewer start orders may be in flight, as replies are slow.
    StartsLimited {
        /// Number of start orders that may be in flight.
        limit: usize,
        /// Smoothed time that minions take to reply, as it appears to the scheduler.
        reply_time: Duration,
    },
    /// An order was sent again, as its reply is overdue.
    OrderRepeated {
        /// Order that was sent again.
        order: RepeatedOrder,
        /// Minion that hasn't replied.
        minion: SmolStr,
        /// Number of transmissions of the order so far.
        transmissions: u32,
    },
    /// Nothing new starts in an availability zone, as the operator has requested its evacuation.
    ZoneEvacuated {
        /// The zone.
        zone: SmolStr,
        /// Number of its minions.
        minions: usize,
        /// Number of runs that may exist there.
        runs: usize,
    },
    /// The operator has withdrawn the request to evacuate an availability zone.
    ZoneRestored {
        /// The zone.
        zone: SmolStr,
    },
    /// Nothing starts anywhere while the operator's requests to evacuate zones aren't confirmed.
    PlacementPaused {
        /// Whether the pause begins; otherwise it ends.
        paused: bool,
    },
    /// An entry was left out, as the configuration doesn't name its pool.
    MinionLeftOut {
        /// Minion that the entry names.
        minion: SmolStr,
        /// Pool that the entry names.
        pool: SmolStr,
    },
    /// A minion became unreachable, or reachable again.
    MinionReachability {
        /// Minion whose reachability changed.
        minion: SmolStr,
        /// Whether the minion answers.
        reachable: bool,
        /// Time since its last run list, if there was one.
        last_list: Option<Duration>,
    },
}
