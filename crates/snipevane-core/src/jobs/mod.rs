//! Scheduling of jobs, which consist of steps and tasks, on minions.
//!
//! [`Scheduler`] makes all decisions and does no input or output: it takes events together with
//! the current time, and returns orders to minions and rows to store. A job passes through the
//! modules in this order: `intake`, `queueing`, `placing`, `running`, `ending`.

mod action;
mod admission;
mod ending;
mod event;
mod intake;
mod interference;
mod minions;
mod model;
mod placing;
mod pools;
mod queueing;
mod running;
mod scheduler;
mod upkeep;

pub use action::{
    Acknowledgement, Action, CpuShareOrder, HoldOrder, Recipient, StartOrder, StopOrder,
};
pub use admission::estimate::{JobDemand, Rejection};
pub use admission::memory::{HeldBytes, JobMemory, NoMemory};
pub use admission::snapshot::AdmissionSnapshot;
pub use ending::changes::{Changes, JobChange, ReceivedEnds};
pub use ending::crash_evidence::{CrashEvidence, Verdict};
pub use ending::crash_finding::{CrashFinding, FindingInputs, StartDoubt};
pub use ending::task_crashes::TaskCrashes;
pub use ending::trial::Trial;
pub use event::{LossReason, RepeatedOrder, SchedulerEvent, StopReason};
pub use minions::leases::longest_lease;
pub use minions::minion::{Minion, MinionEntry};
pub use model::id::{JobId, ParseIdError, StepId, TaskId};
pub use model::job::Job;
pub use model::keys::{JobKey, MinionKey, RunKey, TaskRef};
pub use model::occurrence::Occurrence;
pub use model::progress::{CrashedRuns, DoneTasks, FailedRuns, JobState, Progress};
pub use model::run::{
    ActiveRun, EndedRun, HoldReply, OrderReply, Refusal, Run, RunEnd, RunList, RunPhase,
};
pub use model::site::{Pool, Queue, Site, SiteSpec, Team};
pub use model::spec::{JobSpec, MAX_JOB_TASKS, MAX_STEP_TASKS, MAX_STEPS, Schedule, StepSpec};
pub use model::step::Step;
pub use model::task::Task;
pub use model::terms::JobTerms;
pub use placing::advice::{AdviceReply, AdviceRequest, AdvisorSettings};
pub use placing::silent_minions::{SilentMinion, adopt_silent_minions};
pub use placing::unreported_runs::UnreportedRuns;
pub use placing::wait_reason::WaitReason;
pub use pools::demand::{Demand, Work};
pub use pools::moves::{MoveOutlook, MovePlanner, MoveSettings};
pub use pools::pool_stats::PoolStats;
pub use running::transmissions::Transmissions;
pub use scheduler::{Scheduler, SchedulerSettings};
pub use upkeep::evacuation::EvacuatedZones;
pub use upkeep::maintenance::{MaintenancePlanner, WaveProgress};
pub use upkeep::ordered_vms::{OrderedVm, OrderedVms};
pub use upkeep::pending_shutdowns::PendingShutdowns;
pub use upkeep::vm::{Cordon, MaintenanceWave, Vm, VmOperation, VmOrder, VmReply, VmState};
pub use upkeep::vm_order_budget::VmOrderBudget;
