//! Jobs of steps and tasks on minions: intake, placement, orders, leases, ends.
//!
//! [`Scheduler`] is the whole decision: events with the present time go in, orders to minions and
//! rows to store come out. A job's way reads in this order: `intake`, `rank`, `placing`, `orders`,
//! `reports`, `ends`, `changes`.

mod action;
mod advice;
mod changes;
mod copies;
mod demand;
mod durations;
mod ended_jobs;
mod ends;
mod event;
mod figures;
mod gangs;
mod holds;
mod id;
mod intake;
mod job;
mod long_running;
mod maintenance;
mod minion;
mod minions;
mod moves;
mod orders;
mod pending_shutdowns;
mod placing;
mod progress;
mod queue;
mod rank;
mod reports;
mod run;
mod scheduler;
mod shares;
mod sharing;
mod site;
mod spec;
mod stragglers;
mod unreported_runs;
mod unreported_usage;
mod vm;

pub use action::{Action, CpuShareOrder, HoldOrder, Recipient, StartOrder, StopOrder};
pub use advice::{AdviceReply, AdviceRequest, AdvisorSettings};
pub use changes::{Changes, JobChange, ReceivedEnds};
pub use demand::{Demand, Work};
pub use event::{LossReason, SchedulerEvent, StopReason};
pub use figures::PoolFigures;
pub use id::{JobId, ParseIdError, StepId, TaskId};
pub use job::{Job, JobKey, TaskRef};
pub use maintenance::{MaintenancePlanner, WaveProgress};
pub use minion::{Minion, MinionEntry, MinionKey};
pub use moves::{MovePlanner, MoveSettings};
pub use pending_shutdowns::PendingShutdowns;
pub use progress::{DoneTasks, FailedRuns, JobState, Progress};
pub use run::{
    ActiveRun, EndedRun, HoldReply, OrderReply, Refusal, Run, RunEnd, RunKey, RunList, RunPhase,
};
pub use scheduler::{Scheduler, SchedulerSettings};
pub use site::{Pool, Queue, Site, SiteSpec, Team};
pub use spec::{JobSpec, MAX_STEP_TASKS, MAX_STEPS, Schedule, StepSpec};
pub use unreported_runs::UnreportedRuns;
pub use vm::{MaintenanceWave, Vm, VmOperation, VmOrder, VmReply, VmState};
