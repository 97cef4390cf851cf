//! Tasks on workers: the ledger with its epochs, learned sizes and run times, health of workers.

mod action;
mod health;
mod job;
mod ledger;
mod scheduler;
mod submission;
mod task;

pub use action::{Restored, Start, TaskAction};
pub use health::{HealthSettings, Verdict, WorkerHealth};
pub use job::{Estimate, Job, JobKey};
pub use ledger::{Ledger, Report};
pub use scheduler::{Scheduler, SchedulerSettings};
pub use submission::{Submission, SubmitRefused, Submitted, TaskId};
pub use task::{StopReason, Task, TaskEpoch, TaskState};
