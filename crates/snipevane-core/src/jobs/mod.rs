//! Scheduling of jobs, which consist of steps and tasks, on minions.
//!
//! [`Scheduler`] makes all decisions and does no input or output: it takes events together with
//! the current time, and returns orders to minions and rows to store. The modules handle a job in
//! this order: `intake`, `rank`, `placing`, `orders`, `reports`, `ends`, `changes`.

mod action;
mod advice;
mod best_effort;
mod changes;
mod demand;
mod durations;
mod ended_jobs;
mod ends;
mod gangs;
mod hidden;
mod hidden_usage;
mod holds;
mod id;
mod intake;
mod job;
mod lasting;
mod minion;
mod minions;
mod moves;
mod note;
mod orders;
mod placing;
mod pool_stats;
mod progress;
mod queue;
mod rank;
mod reports;
mod run;
mod scheduler;
mod shares;
mod site;
mod spec;
mod speculation;
mod stragglers;
mod taken_down;
mod upkeep;
mod vm;

pub use action::{Action, HoldOrder, PaceOrder, Recipient, StartOrder, StopOrder};
pub use advice::{AdviceOrder, AdviceReply, AdviceTerms};
pub use changes::{Changes, JobChange, SeenEnds};
pub use demand::{Demand, Work};
pub use hidden::HiddenRuns;
pub use id::{BadId, JobId, StepId, TaskId};
pub use job::{Job, JobKey, TaskRef};
pub use minion::{Minion, MinionEntry, MinionKey};
pub use moves::{MoveSettings, Moves};
pub use note::{Loss, Note, StopReason};
pub use pool_stats::PoolStats;
pub use progress::{DoneTasks, FailedRuns, JobState, Progress};
pub use run::{
    ActiveRun, EndedRun, HoldReply, OrderReply, Refusal, Run, RunEnd, RunKey, RunList, RunPhase,
};
pub use scheduler::{Scheduler, SchedulerSettings};
pub use site::{Pool, Queue, Site, SiteSpec, Team};
pub use spec::{JobSpec, MAX_STEP_TASKS, MAX_STEPS, Schedule, StepSpec};
pub use taken_down::TakenDown;
pub use upkeep::{Upkeep, WaveProgress};
pub use vm::{Vm, VmOrder, VmReply, VmState, VmWork, WaveOrder};
